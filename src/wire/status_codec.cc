#include "wire/status_codec.h"

#include <sodium.h>

#include "wire/message_codec.h"

namespace lugfork {

namespace {

constexpr std::string_view kPurpose = "lugfork view status";
constexpr std::size_t kTagBytes = 16;
/** No message is longer. */
constexpr std::size_t kMaxBodyBytes = 64;

using Tag = std::array<std::uint8_t, kTagBytes>;

Tag tagOf(std::span<const std::uint8_t> body, const StatusKey& key) {
  Tag tag{};
  crypto_generichash(tag.data(), tag.size(), body.data(), body.size(), key.data(), key.size());
  return tag;
}

}  // namespace

StatusKey deriveStatusKey(std::span<const std::uint8_t> fleet_secret) {
  StatusKey key{};
  crypto_generichash(key.data(), key.size(),
                     reinterpret_cast<const unsigned char*>(kPurpose.data()), kPurpose.size(),
                     fleet_secret.data(), fleet_secret.size());
  return key;
}

Bytes encodeStatusMessage(const StatusMessage& message, const StatusKey& key) {
  Bytes datagram = message_codec::encodeVariant(message);
  const Tag tag = tagOf(datagram, key);
  datagram.insert(datagram.end(), tag.begin(), tag.end());
  return datagram;
}

Result<StatusMessage, CodecError> decodeStatusMessage(std::span<const std::uint8_t> datagram,
                                                      const StatusKey& key) {
  if (datagram.size() <= kTagBytes) {
    return CodecError::Malformed;
  }
  if (datagram.size() > kMaxBodyBytes + kTagBytes) {
    return CodecError::TooLarge;
  }
  const auto body = datagram.first(datagram.size() - kTagBytes);
  const Tag expected = tagOf(body, key);
  if (sodium_memcmp(expected.data(), datagram.data() + body.size(), kTagBytes) != 0) {
    return CodecError::Malformed;
  }
  return message_codec::decodeVariant<StatusMessage>(body.data(), body.size());
}

}  // namespace lugfork
