#include <catch2/catch.hpp>
#include <map>

#include "balancer/packet_node.h"
#include "discovery/discovery_fixture.h"
#include "wire/record_codec.h"

/** Counts the work that changes cause at a node with 3,000 backends, without timing it. */
namespace lugfork {
namespace {

const std::string kPrefix = "platform/";
constexpr std::uint32_t kBackendCount = 3000;
constexpr std::uint32_t kRoutes = 1700;

Item backendItem(std::uint32_t number, Revision revision,
                 BackendState state = BackendState::Ready) {
  BackendRecord record;
  record.server_id = number + 1;
  record.service = number % 5 == 0 ? "ingest" : "listen";
  record.zone = number % 2 == 0 ? "lac" : "ariana";
  record.address = addressOf(number);
  record.slots = 2;
  record.state = state;
  return {kPrefix + "endpoints/" + std::to_string(100000 + number),
          encodeRecord(PlatformRecord(record)), revision, revision};
}

Item routesItem(Revision revision) {
  RouteTable table;
  table.version = revision;
  table.routes.push_back({kListen, {{"listen", 1}}});
  for (std::uint32_t number = 1; number < kRoutes; ++number) {
    table.routes.push_back({Endpoint{0x0a150000 + number, 443}, {{"listen", 1}, {"ingest", 1}}});
  }
  return {kPrefix + "routes", encodeRecord(PlatformRecord(table)), revision, 1};
}

/** Counts the lines of each event. */
class CountingLog : public EventLog {
 public:
  void write(LogLevel, std::string_view, std::string_view event,
             std::initializer_list<LogField>) override {
    ++lines_[std::string(event)];
  }
  std::size_t lines(const std::string& event) const {
    const auto found = lines_.find(event);
    return found == lines_.end() ? 0 : found->second;
  }

 private:
  std::map<std::string, std::size_t> lines_;
};

struct LargeNode : PacketSender {
  LargeNode() {
    node.start();
    ItemPage page{{routesItem(1)}, false, 10};
    for (std::uint32_t number = 0; number < kBackendCount; ++number) {
      page.items.push_back(backendItem(number, 2));
    }
    source.answerPage(kPrefix, std::move(page));
    source.answerWatch(kPrefix, ItemChanges{{}, 10});
    settle();
  }

  void settle() { scheduler.advance(milliseconds(10)); }

  void change(std::vector<ItemChange> changes) {
    source.answerWatch(kPrefix, ItemChanges{std::move(changes), ++revision});
    settle();
  }

  /** @return the backend to which the flow is forwarded; empty for none. */
  std::string open(std::uint16_t port) {
    forwarded.clear();
    FlowPacket packet;
    packet.client = {kClient.address, port};
    packet.service = kListen;
    packet.opens = true;
    node.onPacket(packet);
    return forwarded;
  }

  void forwardPacket(const Backend& backend, CompactToken) override { forwarded = backend.name; }
  void resetClient(const FlowPacket&) override {}

  ManualTimeSource time;
  ManualScheduler scheduler{time};
  ManualSource source;
  CountingLog log;
  CompactRecordDecoder decoder;
  std::unique_ptr<RandomGenerator> random = makeSeededRandom(1);
  PacketNode node{PacketNodeSettings(),
                  {kPrefix, "", "", decoder},
                  source,
                  *this,
                  scheduler,
                  time,
                  *random,
                  log};
  Revision revision = 10;
  std::string forwarded;
};

TEST_CASE("a change of one backend rebuilds one backend and no route, independent of their number",
          "[control_work]") {
  LargeNode harness;
  harness.open(1);
  const BackendRegistryCounters before = harness.node.registryCounters();
  const std::uint64_t candidates_before = harness.node.candidatesEvaluated();
  harness.change({{backendItem(77, 11, BackendState::Draining), false}});
  harness.open(2);
  CHECK(harness.node.registryCounters().backends_built == before.backends_built + 1);
  CHECK(harness.node.registryCounters().routes_built == before.routes_built);
  CHECK(harness.node.registryCounters().services_built == before.services_built);
  CHECK(harness.node.candidatesEvaluated() <= candidates_before + 1);
}

TEST_CASE("many changes at once are logged as lists, a few with a line each", "[control_work]") {
  LargeNode harness;
  constexpr std::uint32_t kSmallBatch = 3;
  std::vector<ItemChange> changes;
  for (std::uint32_t number = 0; number < kSmallBatch; ++number) {
    changes.push_back({backendItem(number, 11, BackendState::Draining), false});
  }
  harness.change(changes);
  CHECK(harness.log.lines("backend_state") == kSmallBatch);
  CHECK(harness.log.lines("backend_states") == 0);
  constexpr std::uint32_t kLargeBatch = 600;
  for (std::uint32_t number = kSmallBatch; number < kLargeBatch; ++number) {
    changes.push_back({backendItem(number, 12, BackendState::Draining), false});
  }
  harness.change(changes);
  CHECK(harness.log.lines("backend_state") == kSmallBatch);
  CHECK(harness.log.lines("backend_states") == (kLargeBatch - kSmallBatch + 39) / 40);
}

TEST_CASE("a large batch of changes that a peer relays is logged as one line", "[control_work]") {
  LargeNode harness;
  const bool reads_platform = GENERATE(true, false);
  harness.node.setReadsPlatform([reads_platform] { return reads_platform; });
  std::vector<ItemChange> changes;
  for (std::uint32_t number = 0; number < 600; ++number) {
    changes.push_back({backendItem(number, 12, BackendState::Draining), false});
  }
  harness.change(changes);
  CHECK(harness.log.lines("backend_states") == (reads_platform ? 15 : 0));
  CHECK(harness.log.lines("backends_changed") == (reads_platform ? 0 : 1));
}

TEST_CASE("new routes rebuild no backend", "[control_work]") {
  LargeNode harness;
  const BackendRegistryCounters before = harness.node.registryCounters();
  harness.change({{routesItem(11), false}});
  CHECK(harness.node.registryCounters().routes_built == before.routes_built + kRoutes);
  CHECK(harness.node.registryCounters().backends_built == before.backends_built);
}

TEST_CASE("a first view builds each backend once", "[control_work]") {
  const LargeNode harness;
  CHECK(harness.node.registryCounters().backends_built == kBackendCount);
  CHECK(harness.node.registryCounters().routes_built == kRoutes);
}

}  // namespace
}  // namespace lugfork
