#pragma once

#include <array>
#include <span>
#include <variant>

#include "common/result.h"
#include "discovery/item_view.h"
#include "discovery/peer_client.h"
#include "wire/codec_error.h"
#include "wire/datagram.h"

/**
 * Datagrams in which balancers ask each other what is new in their views: a msgpack body and behind
 * it a tag over the body (BLAKE2b, 16 bytes) under a key that all balancers of a fleet share.
 */
namespace lugfork {

inline constexpr std::size_t kNewsKeyBytes = 32;
/** Changes up to this size go into one datagram, which no link has to cut. */
inline constexpr std::size_t kMaxChangeBytes = 1200;
using NewsKey = std::array<std::uint8_t, kNewsKeyBytes>;

/** Asks what is new after a revision. */
struct NewsQuestion {
  /** Chosen by who asks; the answer repeats it. */
  std::uint64_t question = 0;
  Revision after = 0;
  auto fields() { return std::tie(question, after); }
};

/** Answers a NewsQuestion. */
struct NewsAnswer {
  std::uint64_t question = 0;
  ViewNews news;
  auto fields() { return std::tie(question, news); }
};

using NewsMessage = std::variant<NewsQuestion, NewsAnswer>;

/** @return the key for these datagrams, derived from the fleet's secret. */
NewsKey deriveNewsKey(std::span<const std::uint8_t> fleet_secret);

/**
 * Makes an answer of what a view holds beyond a revision.
 * @param status of the view; what its position covers is told.
 */
ViewNews makeNews(const ItemView& view, const ViewStatus& status, Revision after);

Bytes encodeNewsMessage(const NewsMessage& message, const NewsKey& key);

/** Reads a datagram. @return Malformed where it is of another form or its tag is wrong. */
Result<NewsMessage, CodecError> decodeNewsMessage(std::span<const std::uint8_t> datagram,
                                                  const NewsKey& key);

}  // namespace lugfork
