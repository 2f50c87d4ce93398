#include "flow/compact_token.h"

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

namespace lugfork {
namespace {

const CompactTokenKey kKey = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16};

TEST_CASE("a compact token decodes to the backend of its flow", "[compact_token]") {
  rc::prop("decode is the inverse of encode",
           [](std::uint64_t high, std::uint64_t low, std::uint32_t id) {
             const CompactTokenCodec codec(kKey);
             const FlowId flow{high, low};
             RC_ASSERT(codec.decode(flow, codec.encode(flow, BackendId(id))) == BackendId(id));
           });
}

TEST_CASE("a compact token decoded for another flow or key names another backend",
          "[compact_token]") {
  const CompactTokenCodec codec(kKey);
  const FlowId flow = flowIdOf({0x64400007, 40001}, {0xc6120001, 443});
  const FlowId other_port = flowIdOf({0x64400007, 40002}, {0xc6120001, 443});
  const FlowId other_service = flowIdOf({0x64400007, 40001}, {0xc6120002, 443});
  const CompactToken token = codec.encode(flow, BackendId(7));
  CHECK(codec.decode(other_port, token) != BackendId(7));
  CHECK(codec.decode(other_service, token) != BackendId(7));
  CHECK(CompactTokenCodec(CompactTokenKey{}).decode(flow, token) != BackendId(7));
}

TEST_CASE("server ids that differ only above 32 bits get different backend ids",
          "[compact_token]") {
  CHECK(backendIdOfServer(0xf3030f7cad) != backendIdOfServer(0x030f7cad));
  CHECK(backendIdOfServer(0xf3030f7cad) == backendIdOfServer(0xf3030f7cad));
}

}  // namespace
}  // namespace lugfork
