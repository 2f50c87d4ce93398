#include "wire/news_codec.h"

#include <catch2/catch.hpp>

namespace lugfork {
namespace {

const NewsKey kKey = deriveNewsKey(std::array<std::uint8_t, 3>{1, 2, 3});
const NewsMessage kAnswer =
    NewsAnswer{0xfedcba9876543210, {{77, 1200, true}, {{{"a", "v", 77, 70}, false}}, true, 9}};

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
