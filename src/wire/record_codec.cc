#include "wire/record_codec.h"

#include "wire/message_codec.h"

namespace lugfork {

namespace {

constexpr char kFormVersion = 1;

/** Bounds of what a record may hold; a larger one is no record of ours. */
constexpr std::size_t kMaxRecordBytes = std::size_t{1024} * 1024;

/** Order of the kinds on the wire: a new kind comes last. */
using CompactRecord =
    std::variant<IrrelevantItem, ServerRecord, RouteTable, RecordProblem, ZoneOutOfService>;

CompactRecord toCompact(const Result<PlatformRecord, RecordProblem>& record) {
  if (!record) {
    return record.error();
  }
  return std::visit([](const auto& body) { return CompactRecord(body); }, record.value());
}

std::string nameOfKey(const std::string& key) {
  const auto slash = key.rfind('/');
  return slash == std::string::npos ? key : key.substr(slash + 1);
}

}  // namespace

std::string encodeRecord(const Result<PlatformRecord, RecordProblem>& record) {
  const Bytes body = message_codec::encodeVariant(toCompact(record));
  std::string text(1, kFormVersion);
  text.append(body.begin(), body.end());
  return text;
}

Result<PlatformRecord, RecordProblem> CompactRecordDecoder::decode(const std::string& key,
                                                                   const std::string& value) const {
  if (value.empty() || value.front() != kFormVersion) {
    return RecordProblem{"the record has an unknown form"};
  }
  if (value.size() > kMaxRecordBytes) {
    return RecordProblem{"the record is too large"};
  }
  const auto* body = reinterpret_cast<const std::uint8_t*>(value.data()) + 1;
  auto decoded = message_codec::decodeVariant<CompactRecord>(body, value.size() - 1);
  if (!decoded) {
    return RecordProblem{std::string("the record can't be read: ") + toString(decoded.error())};
  }
  if (auto* server = std::get_if<ServerRecord>(&decoded.value())) {
    server->name = nameOfKey(key);
    return PlatformRecord(std::move(*server));
  }
  if (auto* routes = std::get_if<RouteTable>(&decoded.value())) {
    return PlatformRecord(std::move(*routes));
  }
  if (auto* zone = std::get_if<ZoneOutOfService>(&decoded.value())) {
    return PlatformRecord(std::move(*zone));
  }
  if (auto* problem = std::get_if<RecordProblem>(&decoded.value())) {
    return std::move(*problem);
  }
  return PlatformRecord(IrrelevantItem{});
}

}  // namespace lugfork
