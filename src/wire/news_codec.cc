#include "wire/news_codec.h"

#include <sodium.h>

#include <algorithm>
#include <limits>

#include "wire/message_codec.h"

namespace lugfork {

namespace {

constexpr std::string_view kPurpose = "lugfork view news";
constexpr std::size_t kTagBytes = 16;
/** No message is longer: changes and the fields around them. */
constexpr std::size_t kMaxBodyBytes = kMaxChangeBytes + 100;
/** No change is so small that more of them fit. */
constexpr std::size_t kMaxChangesTold = 64;

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

ViewNews makeNews(const ItemView& view, const ViewStatus& status, Revision after) {
  ViewNews news;
  news.status = status;
  news.at = std::max(after, status.position);
  if (status.position <= after) {
    return news;
  }
  auto known = view.changesAfter(after, kMaxChangesTold);
  if (!known) {
    news.withheld = true;
    news.change_bytes = std::numeric_limits<std::uint32_t>::max();
    return news;
  }
  std::size_t bytes = 0;
  news.at = known->at;
  for (ItemChange& change : known->changes) {
    const std::size_t size = message_codec::encodeStruct(change).size();
    if (bytes + size > kMaxChangeBytes) {
      news.withheld = news.changes.empty();
      news.change_bytes = static_cast<std::uint32_t>(size);
      news.at = news.changes.empty() ? after : news.changes.back().item.revision;
      break;
    }
    bytes += size;
    news.changes.push_back(std::move(change));
  }
  return news;
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
