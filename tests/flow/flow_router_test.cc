#include "flow/flow_router.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>

#include "flow/router_harness.h"

namespace lugfork {
namespace {

const FlowKey kKey{{1, 2}, 0};

TEST_CASE("an Open that can't be placed is rejected at once with a retry delay") {
  struct Row {
    const char* name;
    Reason reason;
    Endpoint service;
    std::function<void(RouterHarness&)> arrange;
  };
  const auto nothing = [](RouterHarness&) {};
  const Row rows[] = {
      {"unknown service", Reason::UnknownService, kUnknownEndpoint, nothing},
      {"placement blocked", Reason::ViewNotFresh, kListen,
       [](RouterHarness& harness) { harness.blocked_by = Reason::ViewNotFresh; }},
      {"only backend is in a zone that is not allowed", Reason::NoBackendInAllowedZones, kListen,
       [](RouterHarness& harness) {
         Configuration configuration = twoServices(11);
         configuration.backends.erase(configuration.backends.begin(),
                                      configuration.backends.begin() + 2);
         harness.router.setConfiguration(viewOf(configuration));
       }},
  };
  for (const Row& row : rows) {
    INFO(row.name);
    RouterHarness harness;
    row.arrange(harness);
    harness.receive(Open{row.service, kKey});
    const auto refused = harness.takeOnly<Refused>();
    REQUIRE(refused);
    CHECK(refused->reason == row.reason);
    CHECK(refused->retry_after_ms > 0);
    CHECK(refused->scope == RefusalScope::Placement);
    CHECK(harness.last_destination == kClient);
  }
}

enum class Expected { Forwarded, Reset, Dropped };

struct TokenRow {
  const char* name;
  Expected expected;
  Reason reason;
  /** Modifies the datagram or the harness between placement and forwarding. */
  std::function<void(RouterHarness&, Data&)> fault;
};

/** Sets a modified copy of the harness's configuration. */
auto reconfigure(std::uint64_t version, const std::function<void(Configuration&)>& change) {
  return [version, change](RouterHarness& harness, Data&) {
    Configuration configuration = twoServices(version);
    change(configuration);
    harness.router.setConfiguration(viewOf(configuration));
  };
}

void forEachBackend(Configuration& configuration, const std::function<void(Backend&)>& change) {
  std::for_each(configuration.backends.begin(), configuration.backends.end(), change);
}

void moveBackends(Configuration& configuration) {
  forEachBackend(configuration, [](Backend& backend) { backend.address.port = 9999; });
}

void reuseAddresses(Configuration& configuration) {
  forEachBackend(configuration,
                 [](Backend& backend) { backend.id = BackendId(backend.id.value() + 100); });
}

void allowOnlyAriana(Configuration& configuration) {
  configuration.services[0].allowed_zones = {kAriana};
}

void swapServiceAddresses(Configuration& configuration) {
  std::swap(configuration.services[0].address, configuration.services[1].address);
}

TEST_CASE("a datagram is forwarded to the backend named by its token, or reset, or dropped") {
  const TokenRow rows[] = {
      {"valid token", Expected::Forwarded, Reason::None, [](RouterHarness&, Data&) {}},
      {"one bit of the token changed", Expected::Reset, Reason::TokenInvalid,
       [](RouterHarness&, Data& data) { data.token[20] ^= 1; }},
      {"no token", Expected::Reset, Reason::TokenInvalid,
       [](RouterHarness&, Data& data) { data.token.clear(); }},
      {"token of another flow", Expected::Reset, Reason::TokenInvalid,
       [](RouterHarness&, Data& data) { ++data.key.flow.low; }},
      {"token of another attempt", Expected::Reset, Reason::TokenInvalid,
       [](RouterHarness&, Data& data) { ++data.key.attempt; }},
      {"addressed to another service", Expected::Reset, Reason::TokenForOtherService,
       [](RouterHarness&, Data& data) { data.service = kIngest; }},
      {"unknown key", Expected::Dropped, Reason::None,
       reconfigure(10, [](Configuration& c) { c.keys[0].id = KeyId(9); })},
      {"backend draining", Expected::Forwarded, Reason::None,
       reconfigure(
           11, [](Configuration& c) { forEachBackend(c, [](auto& b) { b.draining = true; }); })},
      {"backend removed", Expected::Forwarded, Reason::None,
       reconfigure(11, [](Configuration& c) { c.backends.clear(); })},
      {"address reused by another backend", Expected::Reset, Reason::BackendGone,
       reconfigure(11, reuseAddresses)},
      {"backend address changed", Expected::Reset, Reason::BackendGone,
       reconfigure(11, moveBackends)},
      {"zone no longer allowed", Expected::Reset, Reason::ZoneNotAllowed,
       reconfigure(11, allowOnlyAriana)},
      {"service removed", Expected::Reset, Reason::TokenForOtherService,
       reconfigure(11, [](Configuration& c) { c.services.erase(c.services.begin()); })},
      // An outdated configuration must not break a flow that other balancers still forward.
      {"service not declared yet", Expected::Dropped, Reason::None,
       reconfigure(9, [](Configuration& c) { c.services.erase(c.services.begin()); })},
      {"zone not allowed yet", Expected::Dropped, Reason::None, reconfigure(9, allowOnlyAriana)},
      {"backend address not changed yet", Expected::Dropped, Reason::None,
       reconfigure(9, moveBackends)},
      {"address still assigned to an earlier backend", Expected::Dropped, Reason::None,
       reconfigure(9, reuseAddresses)},
      {"service address not changed yet", Expected::Dropped, Reason::None,
       reconfigure(9, swapServiceAddresses)},
      {"backend not declared yet", Expected::Forwarded, Reason::None,
       reconfigure(9, [](Configuration& c) { c.backends.clear(); })},
  };
  for (const TokenRow& row : rows) {
    INFO(row.name);
    RouterHarness harness;
    Data data{kListen, kKey, harness.open(kKey), 0, true, 0, Bytes(10, 1)};
    row.fault(harness, data);
    harness.receive(data);
    if (row.expected == Expected::Dropped) {
      CHECK(harness.sent.empty());
      CHECK(harness.newer_seen);
      CHECK(harness.router.counters().drops_configuration_behind == 1);
    } else if (row.expected == Expected::Reset) {
      const auto reset = harness.takeOnly<Reset>();
      REQUIRE(reset);
      CHECK(reset->reason == row.reason);
      CHECK(harness.last_destination == kClient);
    } else {
      const auto forward = harness.takeOnly<Forward>();
      REQUIRE(forward);
      CHECK(harness.last_destination == addressOf(forward->backend.value()));
      CHECK(forward->client == kClient);
      CHECK(forward->service == ServiceId(1));
      CHECK(forward->mode == ForwardMode::MayStart);
      CHECK(forward->datagram == encodeDatagram(data));
    }
  }
}

TEST_CASE("a token may start work only within the placement TTL") {
  struct Row {
    Duration age;
    ForwardMode mode;
  };
  const Row rows[] = {{seconds(0), ForwardMode::MayStart},
                      {seconds(3), ForwardMode::MayStart},
                      {seconds(3) + Duration(1), ForwardMode::ContinueOnly},
                      {seconds(86400), ForwardMode::ContinueOnly}};
  for (const Row& row : rows) {
    RouterHarness harness;
    const Data data{kListen, kKey, harness.open(kKey), 0, true, 0, {}};
    harness.time.elapsed += row.age;
    harness.receive(data);
    const auto forward = harness.takeOnly<Forward>();
    REQUIRE(forward);
    CHECK(forward->mode == row.mode);
  }
}

TEST_CASE("acknowledgements and cancellations are forwarded by token, also through the fabric") {
  RouterHarness harness;
  const TokenBytes token = harness.open(kKey);
  const Datagram datagrams[] = {AnswerAck{kListen, kKey, token, 3}, Cancel{kListen, kKey, token}};
  for (const Datagram& datagram : datagrams) {
    harness.receive(Sprayed{kClient, encodeDatagram(datagram)}, kUnknownEndpoint);
    const auto forward = harness.takeOnly<Forward>();
    REQUIRE(forward);
    CHECK(forward->client == kClient);
    CHECK(forward->datagram == encodeDatagram(datagram));
  }
  harness.receive(Answer{kKey, ServiceId(1), BackendId(1), 0, true, {}});
  CHECK(harness.sent.empty());
  CHECK(harness.router.counters().drops_unexpected_type == 1);
}

BackendRefusal refusalBy(std::uint32_t backend, Reason reason, bool not_run) {
  return {kClient, kKey, ServiceId(1), BackendId(backend), reason, not_run, 700};
}

TEST_CASE(
    "a backend's refusal is recorded and forwarded with a replacement if a retry is allowed") {
  struct Row {
    Reason reason;
    bool replaced;
  };
  const Row rows[] = {{Reason::Overloaded, true},
                      {Reason::Draining, true},
                      {Reason::PlacementExpired, true},
                      {Reason::Cancelled, false},
                      {Reason::DeadlineExceeded, false}};
  for (const Row& row : rows) {
    INFO(toString(row.reason));
    RouterHarness harness;
    harness.receive(refusalBy(1, row.reason, true), addressOf(1));
    const auto refused = harness.takeOnly<Refused>();
    REQUIRE(refused);
    CHECK(harness.last_destination == kClient);
    CHECK(refused->key == kKey);
    CHECK(refused->reason == row.reason);
    CHECK(refused->retry_after_ms == 700);
    CHECK(refused->scope == RefusalScope::Attempt);
    CHECK(refused->replacement.empty() != row.replaced);
    CHECK(harness.draining_seen.has_value() == (row.reason == Reason::Draining));
    if (row.replaced) {
      const FlowKey next{kKey.flow, 1};
      harness.receive(Data{kListen, next, refused->replacement, 0, true, 0, {}});
      const auto forward = harness.takeOnly<Forward>();
      REQUIRE(forward);
      CHECK(forward->backend == BackendId(2));
    }
  }
}

TEST_CASE("a refusal of work that may have run is forwarded as a reset without a replacement") {
  RouterHarness harness;
  harness.receive(refusalBy(1, Reason::BackendGone, false), addressOf(1));
  const auto reset = harness.takeOnly<Reset>();
  REQUIRE(reset);
  CHECK(reset->reason == Reason::BackendGone);
}

TEST_CASE("a refusal that does not match its backend's address and service is dropped") {
  RouterHarness harness;
  harness.receive(refusalBy(1, Reason::Draining, true), kUnknownEndpoint);
  CHECK(harness.sent.empty());
  CHECK_FALSE(harness.draining_seen);
  CHECK(harness.router.counters().drops_unverified_refusal == 1);
  BackendRefusal other_service = refusalBy(1, Reason::Draining, true);
  other_service.service = ServiceId(2);
  harness.receive(other_service, addressOf(1));
  CHECK(harness.sent.empty());
  // A backend that is no longer declared may still refuse requests of its clients.
  harness.receive(refusalBy(77, Reason::Draining, true), addressOf(77));
  CHECK(harness.takeOnly<Refused>());
}

TEST_CASE(
    "duplicates of a refusal get the same replacement, and the retry budget limits replacements") {
  RouterHarness harness;
  harness.receive(refusalBy(1, Reason::Overloaded, true), addressOf(1));
  const auto first = harness.takeOnly<Refused>();
  harness.receive(refusalBy(1, Reason::Overloaded, true), addressOf(1));
  const auto duplicate = harness.takeOnly<Refused>();
  REQUIRE((first && duplicate));
  CHECK(first->replacement == duplicate->replacement);
  CHECK(harness.router.counters().replacements == 1);
  for (std::uint64_t flow = 100; flow < 200; ++flow) {
    BackendRefusal refusal = refusalBy(1, Reason::PlacementExpired, true);
    refusal.key.flow.low = flow;
    harness.receive(refusal, addressOf(1));
  }
  CHECK(harness.router.counters().replacements == 50);
  CHECK(harness.router.counters().replacements_over_budget == 51);
}

TEST_CASE("a balancer that may not place flows forwards a refusal without a replacement") {
  RouterHarness harness;
  harness.blocked_by = Reason::Joining;
  harness.receive(refusalBy(1, Reason::Overloaded, true), addressOf(1));
  const auto refused = harness.takeOnly<Refused>();
  REQUIRE(refused);
  CHECK(refused->replacement.empty());
  CHECK(refused->retry_after_ms == 700);
}

}  // namespace
}  // namespace lugfork
