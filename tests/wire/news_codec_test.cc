#include "wire/news_codec.h"

#include <catch2/catch.hpp>

namespace lugfork {
namespace {

const NewsKey kKey = deriveNewsKey(std::array<std::uint8_t, 3>{1, 2, 3});
const NewsMessage kAnswer =
    NewsAnswer{0xfedcba9876543210, {{77, 1200, true}, {{{"a", "v", 77, 70}, false}}, 77, true, 9}};

TEST_CASE("a question and an answer are read as they were written", "[news_codec]") {
  const auto question = decodeNewsMessage(encodeNewsMessage(NewsQuestion{42, 7}, kKey), kKey);
  REQUIRE(question);
  CHECK(std::get<NewsQuestion>(question.value()).question == 42);
  CHECK(std::get<NewsQuestion>(question.value()).after == 7);
  const auto answer = decodeNewsMessage(encodeNewsMessage(kAnswer, kKey), kKey);
  REQUIRE(answer);
  const auto& read = std::get<NewsAnswer>(answer.value());
  CHECK(read.question == 0xfedcba9876543210);
  CHECK(read.news.status.position == 77);
  CHECK(read.news.status.age_ms == 1200);
  CHECK(read.news.status.serves_view);
  CHECK(read.news.withheld);
  CHECK(read.news.change_bytes == 9);
  REQUIRE(read.news.changes.size() == 1);
  CHECK(read.news.changes[0].item.value == "v");
}

TEST_CASE("news hold as many changes as fit into a datagram, the oldest first", "[news_codec]") {
  ItemView view;
  view.startFullRead();
  view.applyPage({{}, false, 1});
  view.finishFullRead();
  for (Revision revision = 2; revision <= 11; ++revision) {
    const std::string key = "key" + std::to_string(revision);
    view.apply({{key, std::string(300, 'v'), revision, revision}, false});
  }
  view.setPosition(11);
  const ViewStatus status{11, 5, true};

  const ViewNews first = makeNews(view, status, 1);
  REQUIRE(first.changes.size() == 3);
  CHECK(first.changes[0].item.revision == 2);
  CHECK(first.at == 4);
  CHECK_FALSE(first.withheld);
  CHECK(encodeNewsMessage(NewsAnswer{1, first}, kKey).size() < 1400);
  CHECK(decodeNewsMessage(encodeNewsMessage(NewsAnswer{1, first}, kKey), kKey));

  CHECK(makeNews(view, status, 9).at == 11);
  CHECK(makeNews(view, status, 11).changes.empty());
  CHECK(makeNews(view, status, 15).at == 15);

  view.apply({{"key2", std::string(5000, 'v'), 12, 2}, false});
  view.setPosition(12);
  const ViewNews large = makeNews(view, {12, 5, true}, 11);
  CHECK(large.withheld);
  CHECK(large.at == 11);
  CHECK(large.change_bytes > 5000);

  // What was before this view began is not known.
  CHECK(makeNews(view, status, 0).withheld);
}

TEST_CASE("no changed byte, cut or foreign key is believed", "[news_codec]") {
  const Bytes good = encodeNewsMessage(kAnswer, kKey);
  for (std::size_t index = 0; index < good.size(); ++index) {
    Bytes changed = good;
    changed[index] ^= 1;
    CHECK_FALSE(decodeNewsMessage(changed, kKey));
    CHECK_FALSE(decodeNewsMessage(std::span(good).first(index), kKey));
  }
  const NewsKey foreign = deriveNewsKey(std::array<std::uint8_t, 3>{1, 2, 4});
  CHECK_FALSE(decodeNewsMessage(good, foreign));
  CHECK_FALSE(decodeNewsMessage(Bytes(5000), kKey));
}

}  // namespace
}  // namespace lugfork
