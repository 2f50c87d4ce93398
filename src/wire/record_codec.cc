#include "wire/record_codec.h"

#include "wire/message_codec.h"

namespace lugfork {

namespace {

constexpr char kPlainForm = 1;
/** The form's byte is followed by the time of the server's start [Unix ms], the lowest byte first.
 */
constexpr char kFormWithStart = 2;
constexpr std::size_t kStartBytes = 6;
constexpr unsigned kBitsInByte = 8;

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

std::uint64_t startOf(const std::string& value) {
  std::uint64_t started_ms = 0;
  for (std::size_t index = kStartBytes; index > 0; --index) {
    started_ms = started_ms << kBitsInByte | static_cast<std::uint8_t>(value[index]);
  }
  return started_ms;
}

std::uint64_t startOf(const Result<PlatformRecord, RecordProblem>& record) {
  const auto* server = record ? std::get_if<ServerRecord>(&record.value()) : nullptr;
  return server == nullptr ? 0 : server->started_ms;
}

std::string nameOfKey(const std::string& key) {
  const auto slash = key.rfind('/');
  return slash == std::string::npos ? key : key.substr(slash + 1);
}

}  // namespace

std::string encodeRecord(const Result<PlatformRecord, RecordProblem>& record) {
  const Bytes body = message_codec::encodeVariant(toCompact(record));
  std::string text(1, kPlainForm);
  text.append(body.begin(), body.end());
  insertStartTime(startOf(record), text);
  return text;
}

std::uint64_t extractStartTime(std::string& value) {
  if (value.size() <= kStartBytes || value.front() != kFormWithStart) {
    return 0;
  }
  const std::uint64_t started_ms = startOf(value);
  value.erase(1, kStartBytes);
  value.front() = kPlainForm;
  return started_ms;
}

void insertStartTime(std::uint64_t started_ms, std::string& value) {
  if (started_ms == 0 || value.empty() || value.front() != kPlainForm) {
    return;
  }
  value.front() = kFormWithStart;
  std::string bytes(kStartBytes, '\0');
  for (std::size_t index = 0; index < kStartBytes; ++index) {
    bytes[index] = static_cast<char>(started_ms >> (kBitsInByte * index));
  }
  value.insert(1, bytes);
}

Result<PlatformRecord, RecordProblem> CompactRecordDecoder::decode(const std::string& key,
                                                                   const std::string& value) const {
  const bool has_start = value.size() > kStartBytes && value.front() == kFormWithStart;
  if (!has_start && (value.empty() || value.front() != kPlainForm)) {
    return RecordProblem{"the record has an unknown form"};
  }
  if (value.size() > kMaxRecordBytes) {
    return RecordProblem{"the record is too large"};
  }
  const std::size_t head_bytes = has_start ? 1 + kStartBytes : 1;
  const auto* body = reinterpret_cast<const std::uint8_t*>(value.data()) + head_bytes;
  auto decoded = message_codec::decodeVariant<CompactRecord>(body, value.size() - head_bytes);
  if (!decoded) {
    return RecordProblem{std::string("the record can't be read: ") + toString(decoded.error())};
  }
  if (auto* server = std::get_if<ServerRecord>(&decoded.value())) {
    server->name = nameOfKey(key);
    server->started_ms = has_start ? startOf(value) : 0;
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
