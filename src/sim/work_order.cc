#include "sim/work_order.h"

#include <xxhash.h>

#include <cstring>

#include "wire/message_codec.h"

namespace lugfork {

Bytes encodeWorkOrder(const WorkOrder& order) {
  return message_codec::encodeVariant(std::variant<WorkOrder>(order));
}

Result<WorkOrder, CodecError> decodeWorkOrder(const Bytes& bytes) {
  auto decoded = message_codec::decodeVariant<std::variant<WorkOrder>>(bytes.data(), bytes.size());
  if (!decoded) {
    return decoded.error();
  }
  return std::get<WorkOrder>(decoded.value());
}

Bytes answerPayload(ServiceId service, const FlowId& flow, std::uint32_t sequence) {
  const std::uint64_t content[] = {service.value(), flow.high, flow.low, sequence};
  const XXH64_hash_t digest = XXH3_64bits(content, sizeof(content));
  Bytes payload(sizeof(digest));
  std::memcpy(payload.data(), &digest, sizeof(digest));
  return payload;
}

}  // namespace lugfork
