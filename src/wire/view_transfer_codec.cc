#include "wire/view_transfer_codec.h"

#include <lz4.h>
#include <sodium.h>
#include <xxhash.h>

#include <algorithm>

#include "wire/message_codec.h"
#include "wire/record_codec.h"

namespace lugfork {

namespace {

constexpr std::string_view kPurpose = "lugfork view transfer";
constexpr std::size_t kTagBytes = 16;
/** A part or a full list of peers and the fields around it. */
constexpr std::size_t kMaxMessageBytes = kPartBytes + 100;

/** A compressed body begins with the version of its form and the size of what it unpacks to. */
constexpr std::uint8_t kBodyVersion = 1;
constexpr std::size_t kBodyHeadBytes = 5;
constexpr std::uint32_t kMaxUnpackedBytes = 16 * 1024 * 1024;
/** LZ4 packs no tighter: a body that claims more is wrong, and gets no memory. */
constexpr std::uint32_t kMaxCompression = 255;

using Tag = std::array<std::uint8_t, kTagBytes>;

Tag tagOf(std::span<const std::uint8_t> body, const PeerKey& key) {
  Tag tag{};
  crypto_generichash(tag.data(), tag.size(), body.data(), body.size(), key.data(), key.size());
  return tag;
}

/** One change as it is passed on: flat, since most of a view's bytes are in these. */
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
  std::vector<KnownPeer> peers;
  auto fields() { return std::tie(changes, at, is_full_view, peers); }
};

/**
 * When the servers of a body were started, in the order of its changes. Stands behind the body,
 * where balancers without knowledge of starts read no further.
 */
struct PackedStarts {
  /** The earliest start but one millisecond [Unix ms], so that no difference is 0. */
  std::uint64_t base_ms = 0;
  /** Bytes of each difference, the lowest first. */
  std::uint8_t width = 0;
  /** Differences from the base; 0 where no start is known. */
  Bytes differences;
  auto fields() { return std::tie(base_ms, width, differences); }
};

constexpr std::uint8_t kMaxWidth = 8;
constexpr unsigned kBitsInByte = 8;

PackedStarts packStarts(const std::vector<std::uint64_t>& starts) {
  PackedStarts packed;
  std::uint64_t earliest = ~0ULL;
  std::uint64_t latest = 0;
  for (const std::uint64_t start : starts) {
    earliest = start == 0 ? earliest : std::min(earliest, start);
    latest = std::max(latest, start);
  }
  if (latest == 0) {
    return packed;
  }
  packed.base_ms = earliest - 1;
  for (std::uint64_t rest = latest - packed.base_ms; rest != 0; rest >>= kBitsInByte) {
    ++packed.width;
  }
  // One byte of all differences after the other: the high ones are alike, and take no room packed.
  for (unsigned byte = packed.width; byte > 0; --byte) {
    for (const std::uint64_t start : starts) {
      const std::uint64_t difference = start == 0 ? 0 : start - packed.base_ms;
      packed.differences.push_back(
          static_cast<std::uint8_t>(difference >> (kBitsInByte * (byte - 1))));
    }
  }
  return packed;
}

/** @return the starts, or nothing where they do not belong to a body of that many changes. */
std::vector<std::uint64_t> unpackStarts(const PackedStarts& packed, std::size_t count) {
  if (packed.width == 0 || packed.width > kMaxWidth ||
      packed.differences.size() != packed.width * count) {
    return {};
  }
  std::vector<std::uint64_t> starts(count, 0);
  for (std::size_t index = 0; index < packed.differences.size(); ++index) {
    std::uint64_t& start = starts[index % count];
    start = start << kBitsInByte | packed.differences[index];
  }
  for (std::uint64_t& start : starts) {
    start = start == 0 ? 0 : start + packed.base_ms;
  }
  return starts;
}

/** @return the body as msgpack, and behind it the starts of its servers where any is known. */
Bytes pack(const ViewBody& body) {
  PackedBody packed{{}, body.at, body.is_full_view, body.peers};
  packed.changes.reserve(body.changes.size());
  std::vector<std::uint64_t> starts;
  starts.reserve(body.changes.size());
  for (const ItemChange& change : body.changes) {
    const Item& item = change.item;
    packed.changes.push_back({item.key, {item.value}, item.revision, item.created, change.deleted});
    starts.push_back(extractStartTime(packed.changes.back().value.text));
  }
  Bytes bytes = message_codec::encodeStruct(packed);
  const PackedStarts packed_starts = packStarts(starts);
  if (packed_starts.width != 0) {
    const Bytes tail = message_codec::encodeStruct(packed_starts);
    bytes.insert(bytes.end(), tail.begin(), tail.end());
  }
  return bytes;
}

ViewBody unpack(PackedBody packed, const std::vector<std::uint64_t>& starts) {
  ViewBody body{{}, packed.at, packed.is_full_view, std::move(packed.peers)};
  body.changes.reserve(packed.changes.size());
  for (std::size_t index = 0; index < packed.changes.size(); ++index) {
    PackedChange& change = packed.changes[index];
    insertStartTime(starts.empty() ? 0 : starts[index], change.value.text);
    body.changes.push_back(
        {{std::move(change.key), std::move(change.value.text), change.revision, change.created},
         change.deleted});
  }
  return body;
}

void putSize(std::uint32_t size, std::uint8_t* out) {
  for (int index = 0; index < 4; ++index) {
    out[index] = static_cast<std::uint8_t>(size >> (8 * index));
  }
}

std::uint32_t getSize(const std::uint8_t* in) {
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
                     reinterpret_cast<const unsigned char*>(kPurpose.data()), kPurpose.size(),
                     fleet_secret.data(), fleet_secret.size());
  return key;
}

Bytes encodeViewMessage(const ViewMessage& message, const PeerKey& key) {
  Bytes datagram = message_codec::encodeVariant(message);
  const Tag tag = tagOf(datagram, key);
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
  const Tag expected = tagOf(body, key);
  if (sodium_memcmp(expected.data(), datagram.data() + body.size(), kTagBytes) != 0) {
    return CodecError::Malformed;
  }
  return message_codec::decodeVariant<ViewMessage>(body.data(), body.size());
}

Bytes encodeViewBody(const ViewBody& body) {
  const Bytes plain = pack(body);
  const int size = static_cast<int>(plain.size());
  Bytes packed(kBodyHeadBytes + static_cast<std::size_t>(LZ4_compressBound(size)));
  packed[0] = kBodyVersion;
  putSize(static_cast<std::uint32_t>(size), packed.data() + 1);
  const int written = LZ4_compress_default(reinterpret_cast<const char*>(plain.data()),
                                           reinterpret_cast<char*>(packed.data()) + kBodyHeadBytes,
                                           size, static_cast<int>(packed.size() - kBodyHeadBytes));
  packed.resize(kBodyHeadBytes + static_cast<std::size_t>(written));
  packed.shrink_to_fit();
  return packed;
}

Result<ViewBody, CodecError> decodeViewBody(const Bytes& bytes) {
  if (bytes.size() <= kBodyHeadBytes || bytes[0] != kBodyVersion) {
    return CodecError::Malformed;
  }
  const std::uint32_t size = getSize(bytes.data() + 1);
  const auto packed_size = static_cast<std::uint32_t>(bytes.size() - kBodyHeadBytes);
  if (size > kMaxUnpackedBytes || size / kMaxCompression > packed_size) {
    return CodecError::TooLarge;
  }
  Bytes plain(size);
  const int unpacked = LZ4_decompress_safe(
      reinterpret_cast<const char*>(bytes.data()) + kBodyHeadBytes,
      reinterpret_cast<char*>(plain.data()), static_cast<int>(packed_size), static_cast<int>(size));
  PackedBody body;
  std::size_t consumed = 0;
  if (unpacked != static_cast<int>(size) || !message_codec::decodeStruct(plain, body, consumed)) {
    return CodecError::Malformed;
  }
  PackedStarts starts;
  const Bytes tail(plain.begin() + static_cast<std::ptrdiff_t>(consumed), plain.end());
  if (!tail.empty() && !message_codec::decodeStruct(tail, starts, consumed)) {
    return CodecError::Malformed;
  }
  const std::size_t count = body.changes.size();
  return unpack(std::move(body), unpackStarts(starts, count));
}

std::uint64_t hashBody(const Bytes& body) {
  return std::max<std::uint64_t>(1, XXH3_64bits(body.data(), body.size()));
}

}  // namespace lugfork
