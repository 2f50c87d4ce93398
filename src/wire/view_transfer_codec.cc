#include "wire/view_transfer_codec.h"

#include <lz4.h>
#include <sodium.h>
#include <xxhash.h>

#include <algorithm>

#include "wire/message_codec.h"
#include "wire/record_codec.h"

namespace lugfork {

namespace {

constexpr std::string_view kPeerKeyContext = "lugfork view transfer";
constexpr std::size_t kTagBytes = 16;
/** Maximum size of a message: a full part or a full list of peers, and the other fields. */
constexpr std::size_t kMaxMessageBytes = kPartBytes + 100;

/** A compressed body starts with its format version and its uncompressed size. */
constexpr std::uint8_t kBodyVersion = 1;
constexpr std::size_t kBodyHeaderBytes = 5;
constexpr std::uint32_t kMaxUncompressedBytes = 16 * 1024 * 1024;
/** Limit of LZ4. A body that claims a higher ratio is rejected before memory is allocated. */
constexpr std::uint32_t kMaxCompressionRatio = 255;

using Tag = std::array<std::uint8_t, kTagBytes>;

Tag computeTag(std::span<const std::uint8_t> body, const PeerKey& key) {
  Tag tag{};
  crypto_generichash(tag.data(), tag.size(), body.data(), body.size(), key.data(), key.size());
  return tag;
}

/** Wire format of one change. It is flat because changes make up most of the bytes of a view. */
struct PackedChange {
  std::string key;
  message_codec::BinaryText value;
  Revision revision = 0;
  Revision created = 0;
  bool deleted = false;
  auto fields() { return std::tie(key, value, revision, created, deleted); }
};

struct PackedBody {
  std::vector<PackedChange> changes;
  Revision at = 0;
  bool is_full_view = false;
  std::vector<PeerInfo> peers;
  auto fields() { return std::tie(changes, at, is_full_view, peers); }
};

/**
 * Start times of the backends in a body, in the order of its changes. Encoded after the body, where
 * balancers without support for start times ignore them.
 */
struct PackedStartTimes {
  /** One millisecond before the earliest start time [Unix ms], so that no difference is 0. */
  std::uint64_t base_ms = 0;
  /** Number of bytes that encode each difference. */
  std::uint8_t difference_bytes = 0;
  /** Differences from base_ms, byte plane by byte plane; 0 if a start time is unknown. */
  Bytes differences;
  auto fields() { return std::tie(base_ms, difference_bytes, differences); }
};

constexpr std::uint8_t kMaxDifferenceBytes = 8;
constexpr unsigned kBitsPerByte = 8;

PackedStartTimes packStartTimes(const std::vector<std::uint64_t>& start_times) {
  PackedStartTimes packed;
  std::uint64_t earliest = ~0ULL;
  std::uint64_t latest = 0;
  for (const std::uint64_t start : start_times) {
    earliest = start == 0 ? earliest : std::min(earliest, start);
    latest = std::max(latest, start);
  }
  if (latest == 0) {
    return packed;
  }
  packed.base_ms = earliest - 1;
  for (std::uint64_t rest = latest - packed.base_ms; rest != 0; rest >>= kBitsPerByte) {
    ++packed.difference_bytes;
  }
  // Byte planes, highest byte first: the high bytes are mostly equal and compress well.
  for (unsigned byte = packed.difference_bytes; byte > 0; --byte) {
    for (const std::uint64_t start : start_times) {
      const std::uint64_t difference = start == 0 ? 0 : start - packed.base_ms;
      packed.differences.push_back(
          static_cast<std::uint8_t>(difference >> (kBitsPerByte * (byte - 1))));
    }
  }
  return packed;
}

/** @return the start times; empty if they don't match a body with this number of changes. */
std::vector<std::uint64_t> unpackStartTimes(const PackedStartTimes& packed, std::size_t count) {
  if (packed.difference_bytes == 0 || packed.difference_bytes > kMaxDifferenceBytes ||
      packed.differences.size() != packed.difference_bytes * count) {
    return {};
  }
  std::vector<std::uint64_t> start_times(count, 0);
  for (std::size_t index = 0; index < packed.differences.size(); ++index) {
    std::uint64_t& start = start_times[index % count];
    start = start << kBitsPerByte | packed.differences[index];
  }
  for (std::uint64_t& start : start_times) {
    start = start == 0 ? 0 : start + packed.base_ms;
  }
  return start_times;
}

/** @return the body as msgpack, followed by the start times of its backends if any is known. */
Bytes pack(const ViewBody& body) {
  PackedBody packed{{}, body.at, body.is_full_view, body.peers};
  packed.changes.reserve(body.changes.size());
  std::vector<std::uint64_t> start_times;
  start_times.reserve(body.changes.size());
  for (const ItemChange& change : body.changes) {
    const Item& item = change.item;
    packed.changes.push_back({item.key, {item.value}, item.revision, item.created, change.deleted});
    start_times.push_back(extractStartTime(packed.changes.back().value.text));
  }
  Bytes bytes = message_codec::encodeStruct(packed);
  const PackedStartTimes packed_start_times = packStartTimes(start_times);
  if (packed_start_times.difference_bytes != 0) {
    const Bytes tail = message_codec::encodeStruct(packed_start_times);
    bytes.insert(bytes.end(), tail.begin(), tail.end());
  }
  return bytes;
}

ViewBody unpack(PackedBody packed, const std::vector<std::uint64_t>& start_times) {
  ViewBody body{{}, packed.at, packed.is_full_view, std::move(packed.peers)};
  body.changes.reserve(packed.changes.size());
  for (std::size_t index = 0; index < packed.changes.size(); ++index) {
    PackedChange& change = packed.changes[index];
    insertStartTime(start_times.empty() ? 0 : start_times[index], change.value.text);
    body.changes.push_back(
        {{std::move(change.key), std::move(change.value.text), change.revision, change.created},
         change.deleted});
  }
  return body;
}

void writeSize(std::uint32_t size, std::uint8_t* out) {
  for (int index = 0; index < 4; ++index) {
    out[index] = static_cast<std::uint8_t>(size >> (8 * index));
  }
}

std::uint32_t readSize(const std::uint8_t* in) {
  std::uint32_t size = 0;
  for (int index = 0; index < 4; ++index) {
    size |= static_cast<std::uint32_t>(in[index]) << (8 * index);
  }
  return size;
}

}  // namespace

PeerKey derivePeerKey(std::span<const std::uint8_t> fleet_secret) {
  PeerKey key{};
  crypto_generichash(key.data(), key.size(),
                     reinterpret_cast<const unsigned char*>(kPeerKeyContext.data()),
                     kPeerKeyContext.size(), fleet_secret.data(), fleet_secret.size());
  return key;
}

Bytes encodeViewMessage(const ViewMessage& message, const PeerKey& key) {
  Bytes datagram = message_codec::encodeVariant(message);
  const Tag tag = computeTag(datagram, key);
  datagram.insert(datagram.end(), tag.begin(), tag.end());
  return datagram;
}

Result<ViewMessage, CodecError> decodeViewMessage(std::span<const std::uint8_t> datagram,
                                                  const PeerKey& key) {
  if (datagram.size() <= kTagBytes) {
    return CodecError::Malformed;
  }
  if (datagram.size() > kMaxMessageBytes + kTagBytes) {
    return CodecError::TooLarge;
  }
  const auto body = datagram.first(datagram.size() - kTagBytes);
  const Tag expected = computeTag(body, key);
  if (sodium_memcmp(expected.data(), datagram.data() + body.size(), kTagBytes) != 0) {
    return CodecError::Malformed;
  }
  return message_codec::decodeVariant<ViewMessage>(body.data(), body.size());
}

Bytes encodeViewBody(const ViewBody& body) {
  const Bytes plain = pack(body);
  const int size = static_cast<int>(plain.size());
  Bytes packed(kBodyHeaderBytes + static_cast<std::size_t>(LZ4_compressBound(size)));
  packed[0] = kBodyVersion;
  writeSize(static_cast<std::uint32_t>(size), packed.data() + 1);
  const int written =
      LZ4_compress_default(reinterpret_cast<const char*>(plain.data()),
                           reinterpret_cast<char*>(packed.data()) + kBodyHeaderBytes, size,
                           static_cast<int>(packed.size() - kBodyHeaderBytes));
  packed.resize(kBodyHeaderBytes + static_cast<std::size_t>(written));
  packed.shrink_to_fit();
  return packed;
}

Result<ViewBody, CodecError> decodeViewBody(const Bytes& bytes) {
  if (bytes.size() <= kBodyHeaderBytes || bytes[0] != kBodyVersion) {
    return CodecError::Malformed;
  }
  const std::uint32_t size = readSize(bytes.data() + 1);
  const auto packed_size = static_cast<std::uint32_t>(bytes.size() - kBodyHeaderBytes);
  if (size > kMaxUncompressedBytes || size / kMaxCompressionRatio > packed_size) {
    return CodecError::TooLarge;
  }
  Bytes plain(size);
  const int unpacked = LZ4_decompress_safe(
      reinterpret_cast<const char*>(bytes.data()) + kBodyHeaderBytes,
      reinterpret_cast<char*>(plain.data()), static_cast<int>(packed_size), static_cast<int>(size));
  PackedBody body;
  std::size_t consumed = 0;
  if (unpacked != static_cast<int>(size) || !message_codec::decodeStruct(plain, body, consumed)) {
    return CodecError::Malformed;
  }
  PackedStartTimes start_times;
  const Bytes tail(plain.begin() + static_cast<std::ptrdiff_t>(consumed), plain.end());
  if (!tail.empty() && !message_codec::decodeStruct(tail, start_times, consumed)) {
    return CodecError::Malformed;
  }
  const std::size_t count = body.changes.size();
  return unpack(std::move(body), unpackStartTimes(start_times, count));
}

std::uint64_t hashBody(const Bytes& body) {
  return std::max<std::uint64_t>(1, XXH3_64bits(body.data(), body.size()));
}

}  // namespace lugfork
