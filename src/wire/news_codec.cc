#include "wire/news_codec.h"

#include <sodium.h>

#include "wire/message_codec.h"

namespace lugfork {

namespace {

constexpr std::string_view kPurpose = "lugfork view news";
constexpr std::size_t kTagBytes = 16;
/** No message is longer: changes and the fields around them. */
constexpr std::size_t kMaxBodyBytes = kMaxChangeBytes + 100;

using Tag = std::array<std::uint8_t, kTagBytes>;

Tag tagOf(std::span<const std::uint8_t> body, const NewsKey& key) {
  Tag tag{};
  crypto_generichash(tag.data(), tag.size(), body.data(), body.size(), key.data(), key.size());
  return tag;
}

}  // namespace

NewsKey deriveNewsKey(std::span<const std::uint8_t> fleet_secret) {
  NewsKey key{};
  crypto_generichash(key.data(), key.size(),
                     reinterpret_cast<const unsigned char*>(kPurpose.data()), kPurpose.size(),
                     fleet_secret.data(), fleet_secret.size());
  return key;
}

std::uint32_t encodedSize(const std::vector<ItemChange>& changes) {
  return static_cast<std::uint32_t>(message_codec::encodeStruct(changes).size());
}

Bytes encodeNewsMessage(const NewsMessage& message, const NewsKey& key) {
  Bytes datagram = message_codec::encodeVariant(message);
  const Tag tag = tagOf(datagram, key);
  datagram.insert(datagram.end(), tag.begin(), tag.end());
  return datagram;
}

Result<NewsMessage, CodecError> decodeNewsMessage(std::span<const std::uint8_t> datagram,
                                                  const NewsKey& key) {
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
  return message_codec::decodeVariant<NewsMessage>(body.data(), body.size());
}

}  // namespace lugfork
