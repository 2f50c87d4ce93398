#include "store_client.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <optional>

#include "platform/fake_store.h"
#include "store_codec.h"
#include "wire/record_codec.h"

namespace lugfork::platform {
namespace {

std::string routesJson(int version) {
  return R"({"version":)" + std::to_string(version) +
         R"(,"routes":[{"host":"198.18.0.1","path_prefix":"/443/","service":"s"}]})";
}

/** @return all changes in the history of the store. */
std::optional<ItemChanges> watchAll(const FakeStore& store) {
  boost::asio::io_context io_context;
  HttpGetClient http_client(io_context, seconds(1));
  const RealTimeSource time;
  const StoreRecordDecoder decoder{time};
  StoreClient client(http_client, {store.address()}, decoder);
  std::optional<ItemChanges> changes;
  client.watch({"", 0, milliseconds(1)}, [&](Result<ItemChanges, SourceError> answer) {
    if (answer) {
      changes = std::move(answer.value());
    }
    io_context.stop();
  });
  io_context.run_for(std::chrono::seconds(10));
  return changes;
}

TEST_CASE("only the latest change of each key in a response is passed on", "[store_client]") {
  FakeStore store;
  for (int version = 1; version <= 5; ++version) {
    store.put("op/config", routesJson(version));
  }
  store.put("op/evacuate/lac", "{}");
  store.remove("op/evacuate/lac");
  const auto changes = watchAll(store);
  REQUIRE(changes.has_value());
  REQUIRE(changes->changes.size() == 2);
  const auto routes = CompactRecordDecoder().decode("op/config", changes->changes[0].item.value);
  REQUIRE(routes);
  CHECK(std::get<RouteTable>(routes.value()).version == 5);
  CHECK(changes->changes[1].item.key == "op/evacuate/lac");
  CHECK(changes->changes[1].deleted);
}

}  // namespace
}  // namespace lugfork::platform
