#include "discovery/view_assembly.h"

#include <catch2/catch.hpp>

namespace lugfork {
namespace {

Bytes bodyOf(std::size_t size, std::uint8_t seed) {
  Bytes body(size);
  for (std::size_t index = 0; index < size; ++index) {
    body[index] = static_cast<std::uint8_t>(index * 31 + seed);
  }
  return body;
}

ViewPart partOf(const Bytes& body, std::uint32_t part, Revision position = 10) {
  const std::size_t begin = static_cast<std::size_t>(part) * kPartBytes;
  const std::size_t end = std::min(body.size(), begin + kPartBytes);
  return {1,
          {position, 0, true},
          hashBody(body),
          static_cast<std::uint32_t>(body.size()),
          part,
          Bytes(body.begin() + static_cast<long>(begin), body.begin() + static_cast<long>(end))};
}

TEST_CASE("parts in any order and duplicate parts complete the body", "[view_assembly]") {
  const Bytes body = bodyOf(5000, 1);
  ViewAssembly assembly;
  CHECK_FALSE(assembly.hasParts());
  for (const std::uint32_t part : {4U, 0U, 3U, 1U}) {
    CHECK(assembly.onPart(partOf(body, part)));
    CHECK_FALSE(assembly.onPart(partOf(body, part)));
    CHECK_FALSE(assembly.isComplete());
  }
  ViewRequest request;
  assembly.fillRequest(request);
  CHECK(request.body_hash == hashBody(body));
  CHECK(request.first_part == 2);
  CHECK(request.parts == 1);
  CHECK(assembly.onPart(partOf(body, 2)));
  CHECK(assembly.isComplete());
  CHECK(assembly.body() == body);
}

TEST_CASE("a newer body replaces an older one, never the reverse", "[view_assembly]") {
  const Bytes older = bodyOf(3000, 1);
  const Bytes newer = bodyOf(2000, 2);
  ViewAssembly assembly;
  assembly.onPart(partOf(older, 0, 10));
  assembly.onPart(partOf(newer, 0, 11));
  CHECK_FALSE(assembly.onPart(partOf(older, 1, 10)));
  CHECK(assembly.onPart(partOf(newer, 1, 11)));
  CHECK(assembly.isComplete());
  CHECK(assembly.body() == newer);
}

TEST_CASE("invalid parts are ignored", "[view_assembly]") {
  const Bytes body = bodyOf(3000, 1);
  ViewAssembly assembly;
  ViewPart part = partOf(body, 0);
  SECTION("body size 0") {
    part.body_bytes = 0;
  }
  SECTION("body too large") {
    part.body_bytes = kMaxBodyBytes + 1;
  }
  SECTION("hash 0") {
    part.body_hash = 0;
  }
  SECTION("part just past the end") {
    part.part = 3;
  }
  SECTION("part far past the end") {
    part.part = ~0U;
  }
  SECTION("part too short") {
    part.bytes.pop_back();
  }
  SECTION("part too long") {
    part.bytes.push_back(0);
  }
  CHECK_FALSE(assembly.onPart(part));
  CHECK_FALSE(assembly.hasParts());
}

TEST_CASE("a body with a wrong hash is never complete", "[view_assembly]") {
  const Bytes body = bodyOf(1000, 1);
  ViewPart part = partOf(body, 0);
  part.bytes[5] ^= 1;
  ViewAssembly assembly;
  CHECK(assembly.onPart(part));
  CHECK_FALSE(assembly.isComplete());
}

}  // namespace
}  // namespace lugfork
