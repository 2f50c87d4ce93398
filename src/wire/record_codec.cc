#include "wire/record_codec.h"

#include "wire/message_codec.h"

namespace lugfork {

namespace {

constexpr char kFormatWithoutStart = 1;
/** The format byte is followed by the start time of the backend [Unix ms], little-endian. */
constexpr char kFormatWithStart = 2;
constexpr std::size_t kStartTimeBytes = 6;
constexpr unsigned kBitsPerByte = 8;

/** Maximum size of an encoded record; a larger one was not written by encodeRecord. */
constexpr std::size_t kMaxRecordBytes = std::size_t{1024} * 1024;

/** The order defines the type numbers on the wire; new types are appended. */
using CompactRecord =
    std::variant<IrrelevantItem, BackendRecord, RouteTable, RecordProblem, ZoneOutOfService>;

CompactRecord toCompact(const Result<PlatformRecord, RecordProblem>& record) {
  if (!record) {
    return record.error();
  }
  return std::visit([](const auto& body) { return CompactRecord(body); }, record.value());
}

std::uint64_t startTimeOf(const std::string& value) {
  std::uint64_t started_ms = 0;
  for (std::size_t index = kStartTimeBytes; index > 0; --index) {
    started_ms = started_ms << kBitsPerByte | static_cast<std::uint8_t>(value[index]);
  }
  return started_ms;
}

std::uint64_t startTimeOf(const Result<PlatformRecord, RecordProblem>& record) {
  const auto* backend = record ? std::get_if<BackendRecord>(&record.value()) : nullptr;
  return backend == nullptr ? 0 : backend->started_ms;
}

std::string nameFromKey(const std::string& key) {
  const auto slash = key.rfind('/');
  return slash == std::string::npos ? key : key.substr(slash + 1);
}

}  // namespace

std::string encodeRecord(const Result<PlatformRecord, RecordProblem>& record) {
  const Bytes body = message_codec::encodeVariant(toCompact(record));
  std::string text(1, kFormatWithoutStart);
  text.append(body.begin(), body.end());
  insertStartTime(startTimeOf(record), text);
  return text;
}

std::uint64_t extractStartTime(std::string& value) {
  if (value.size() <= kStartTimeBytes || value.front() != kFormatWithStart) {
    return 0;
  }
  const std::uint64_t started_ms = startTimeOf(value);
  value.erase(1, kStartTimeBytes);
  value.front() = kFormatWithoutStart;
  return started_ms;
}

void insertStartTime(std::uint64_t started_ms, std::string& value) {
  if (started_ms == 0 || value.empty() || value.front() != kFormatWithoutStart) {
    return;
  }
  value.front() = kFormatWithStart;
  std::string bytes(kStartTimeBytes, '\0');
  for (std::size_t index = 0; index < kStartTimeBytes; ++index) {
    bytes[index] = static_cast<char>(started_ms >> (kBitsPerByte * index));
  }
  value.insert(1, bytes);
}

Result<PlatformRecord, RecordProblem> CompactRecordDecoder::decode(const std::string& key,
                                                                   const std::string& value) const {
  const bool has_start = value.size() > kStartTimeBytes && value.front() == kFormatWithStart;
  if (!has_start && (value.empty() || value.front() != kFormatWithoutStart)) {
    return RecordProblem{"the record has an unknown form"};
  }
  if (value.size() > kMaxRecordBytes) {
    return RecordProblem{"the record is too large"};
  }
  const std::size_t header_bytes = has_start ? 1 + kStartTimeBytes : 1;
  const auto* body = reinterpret_cast<const std::uint8_t*>(value.data()) + header_bytes;
  auto decoded = message_codec::decodeVariant<CompactRecord>(body, value.size() - header_bytes);
  if (!decoded) {
    return RecordProblem{std::string("the record can't be read: ") + toString(decoded.error())};
  }
  if (auto* backend = std::get_if<BackendRecord>(&decoded.value())) {
    backend->name = nameFromKey(key);
    backend->started_ms = has_start ? startTimeOf(value) : 0;
    return PlatformRecord(std::move(*backend));
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
