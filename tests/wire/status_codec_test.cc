#include "wire/status_codec.h"

#include <catch2/catch.hpp>

namespace lugfork {
namespace {

const StatusKey kKey = deriveStatusKey(std::array<std::uint8_t, 3>{1, 2, 3});
const StatusMessage kAnswer = StatusAnswer{0xfedcba9876543210, {77, 1200, true}};

TEST_CASE("a question and an answer are read as they were written", "[status_codec]") {
  const auto question = decodeStatusMessage(encodeStatusMessage(StatusQuestion{42}, kKey), kKey);
  REQUIRE(question);
  CHECK(std::get<StatusQuestion>(question.value()).question == 42);
  const auto answer = decodeStatusMessage(encodeStatusMessage(kAnswer, kKey), kKey);
  REQUIRE(answer);
  const auto& read = std::get<StatusAnswer>(answer.value());
  CHECK(read.question == 0xfedcba9876543210);
  CHECK(read.status.position == 77);
  CHECK(read.status.age_ms == 1200);
  CHECK(read.status.serves_view);
}

TEST_CASE("no changed byte, cut or foreign key is believed", "[status_codec]") {
  const Bytes good = encodeStatusMessage(kAnswer, kKey);
  for (std::size_t index = 0; index < good.size(); ++index) {
    Bytes changed = good;
    changed[index] ^= 1;
    CHECK_FALSE(decodeStatusMessage(changed, kKey));
    CHECK_FALSE(decodeStatusMessage(std::span(good).first(index), kKey));
  }
  const StatusKey foreign = deriveStatusKey(std::array<std::uint8_t, 3>{1, 2, 4});
  CHECK_FALSE(decodeStatusMessage(good, foreign));
  CHECK_FALSE(decodeStatusMessage(Bytes(1000), kKey));
}

}  // namespace
}  // namespace lugfork
