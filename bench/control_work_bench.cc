#include <benchmark/benchmark.h>

#include <utility>

#include "balancer/packet_node.h"
#include "discovery/upstream_selector.h"
#include "wire/record_codec.h"
#include "wire/view_transfer_codec.h"

/** Cost of the control plane: views, changes, configurations, and the directory of peers. */
namespace lugfork {
namespace {

constexpr std::uint32_t kBackends = 3000;
constexpr std::uint32_t kRoutes = 1700;
constexpr std::uint32_t kBalancers = 300;
const Endpoint kRouteAddress{0x0a140001, 443};
const std::string kPrefix = "platform/";

class SettableTime : public TimeSource {
 public:
  MonotonicTime monotonicTime() const override { return MonotonicTime() + elapsed; }
  SystemTime systemTime() const override { return SystemTime() + elapsed; }
  Duration elapsed = seconds(1000);
};

/** Queues calls until runAll(); ignores periodic timers, which have longer delays. */
class QueueScheduler : public Scheduler {
 public:
  void callAfter(Duration delay, std::function<void()> function) override {
    if (delay <= kMaxDelay) {
      calls.push_back(std::move(function));
    }
  }
  void runAll() {
    for (auto& call : std::exchange(calls, {})) {
      call();
    }
  }
  std::vector<std::function<void()>> calls;

 private:
  static constexpr Duration kMaxDelay = milliseconds(10);
};

class ManualItemSource : public ItemSource {
 public:
  void readPage(const PageRequest&, PageCallback callback) override { page = std::move(callback); }
  void watch(const WatchRequest&, WatchCallback callback) override {
    changes = std::move(callback);
  }
  PageCallback page;
  WatchCallback changes;
};

class DiscardingSender : public PacketSender {
 public:
  void forwardPacket(const Backend&, CompactToken sent_token) override { token = sent_token; }
  void resetClient(const FlowPacket&) override {}
  CompactToken token;
};

Item backendItem(std::uint32_t number, Revision revision,
                 BackendState state = BackendState::Ready) {
  BackendRecord record;
  record.server_id = 0x9e3779b97f4a7c15ULL * (number + 1);
  record.service = number % 5 == 0 ? "imagenes" : "catalogo";
  record.address = Endpoint{0x0b000000 + number, 9000};
  record.zone = "los-rios-" + std::string(1, static_cast<char>('a' + number % 3));
  record.slots = 2;
  record.state = state;
  const std::string key = kPrefix + "endpoints/s-" + std::to_string(1000000 + number);
  return {key, encodeRecord(PlatformRecord(record)), revision, number + 1};
}

Item routesItem(std::uint64_t version, std::uint32_t routes) {
  RouteTable table;
  table.version = version;
  table.routes.push_back({kRouteAddress, {{"catalogo", 1}}});
  for (std::uint32_t number = 1; number < routes; ++number) {
    table.routes.push_back(
        {Endpoint{0x0a150000 + number, 443}, {{"catalogo", 1}, {"imagenes", 2}}});
  }
  return {kPrefix + "routes", encodeRecord(PlatformRecord(table)), version, 1};
}

ItemPage fullView(std::uint32_t backends, std::uint32_t routes) {
  ItemPage page;
  page.is_whole_view = true;
  page.at = backends + 10;
  for (std::uint32_t number = 0; number < backends; ++number) {
    page.items.push_back(backendItem(number, number + 1));
  }
  page.items.push_back(routesItem(backends + 5, routes));
  return page;
}

struct NodeHarness {
  explicit NodeHarness(const TimeSource& used_time) : time(used_time) {}

  void start() { node.start(); }

  void applyChange(Item item) {
    const Revision at = item.revision;
    if (!source.changes) {
      scheduler.runAll();
    }
    auto callback = std::exchange(source.changes, nullptr);
    callback(ItemChanges{{{std::move(item), false}}, at, 0});
    scheduler.runAll();
  }

  const TimeSource& time;
  QueueScheduler scheduler;
  ManualItemSource source;
  DiscardingSender sender;
  NullEventLog log;
  CompactRecordDecoder decoder;
  std::unique_ptr<RandomGenerator> random = makeSeededRandom(1);
  PacketNode node{PacketNodeSettings(),
                  {kPrefix, "", "", decoder},
                  source,
                  sender,
                  scheduler,
                  time,
                  *random,
                  log};
};

void measureFirstViewToReady(benchmark::State& state) {
  const SettableTime time;
  const ItemPage page = fullView(static_cast<std::uint32_t>(state.range(0)), 50);
  for (auto _ : state) {
    state.PauseTiming();
    auto harness = std::make_unique<NodeHarness>(time);
    harness->start();
    state.ResumeTiming();
    harness->source.page(page);
    state.PauseTiming();
    if (!harness->node.isReady()) {
      state.SkipWithError("the node is not ready");
    }
    harness.reset();
    state.ResumeTiming();
  }
}
BENCHMARK(measureFirstViewToReady)->Arg(150)->Arg(kBackends)->Unit(benchmark::kMicrosecond);

void measureServerChange(benchmark::State& state) {
  const SettableTime time;
  NodeHarness harness(time);
  harness.start();
  const auto backends = static_cast<std::uint32_t>(state.range(0));
  harness.source.page(fullView(backends, 50));
  Revision revision = backends + 10;
  for (auto _ : state) {
    ++revision;
    const auto number = static_cast<std::uint32_t>(revision % backends);
    const bool drains = revision % 2 == 0;
    harness.applyChange(
        backendItem(number, revision, drains ? BackendState::Draining : BackendState::Ready));
  }
}
BENCHMARK(measureServerChange)->Arg(150)->Arg(kBackends)->Unit(benchmark::kMicrosecond);

void measureRoutesChange(benchmark::State& state) {
  const SettableTime time;
  NodeHarness harness(time);
  harness.start();
  harness.source.page(fullView(kBackends, 50));
  const auto routes = static_cast<std::uint32_t>(state.range(0));
  Revision revision = kBackends + 10;
  for (auto _ : state) {
    state.PauseTiming();
    Item item = routesItem(++revision, routes);
    state.ResumeTiming();
    harness.applyChange(std::move(item));
  }
}
BENCHMARK(measureRoutesChange)->Arg(50)->Arg(kRoutes)->Unit(benchmark::kMicrosecond);

/** @param time_step time between openings; a long one makes candidate lists expire. */
void openFlows(benchmark::State& state, Duration time_step) {
  SettableTime time;
  NodeHarness harness(time);
  harness.start();
  harness.source.page(fullView(static_cast<std::uint32_t>(state.range(0)), 50));
  std::uint16_t port = 0;
  for (auto _ : state) {
    time.elapsed += time_step;
    FlowPacket packet;
    packet.client = {0x7f000001, ++port};
    packet.service = kRouteAddress;
    packet.opens = true;
    harness.node.onPacket(packet);
    // The flow is answered and closed, so that its backend counts as alive and idle.
    state.PauseTiming();
    packet.opens = false;
    packet.token = harness.sender.token;
    packet.acknowledged = 1;
    harness.node.onPacket(packet);
    packet.closes = true;
    harness.node.onPacket(packet);
    state.ResumeTiming();
  }
}
void measureOpening(benchmark::State& state) {
  openFlows(state, milliseconds(1));
}
BENCHMARK(measureOpening)->Arg(150)->Arg(kBackends)->Unit(benchmark::kMicrosecond);
void measureOpeningWithOldList(benchmark::State& state) {
  openFlows(state, milliseconds(300));
}
BENCHMARK(measureOpeningWithOldList)->Arg(150)->Arg(kBackends)->Unit(benchmark::kMicrosecond);

ViewBody viewBody(std::uint32_t backends) {
  ItemPage page = fullView(backends, 50);
  ViewBody body{{}, page.at, true, {}};
  for (Item& item : page.items) {
    body.changes.push_back({std::move(item), false});
  }
  return body;
}

void measureEncodeView(benchmark::State& state) {
  const ViewBody body = viewBody(static_cast<std::uint32_t>(state.range(0)));
  for (auto _ : state) {
    benchmark::DoNotOptimize(encodeViewBody(body));
  }
}
BENCHMARK(measureEncodeView)->Arg(150)->Arg(kBackends)->Unit(benchmark::kMicrosecond);

void measureDecodeView(benchmark::State& state) {
  const Bytes bytes = encodeViewBody(viewBody(static_cast<std::uint32_t>(state.range(0))));
  for (auto _ : state) {
    benchmark::DoNotOptimize(decodeViewBody(bytes));
  }
}
BENCHMARK(measureDecodeView)->Arg(150)->Arg(kBackends)->Unit(benchmark::kMicrosecond);

PeerInfo peerOf(std::uint32_t number) {
  return {{0x0c000000 + number, 8000}, linkClassOf(number % 50 == 0 ? 200 : 10)};
}

struct DirectoryHarness {
  DirectoryHarness() {
    for (std::uint32_t number = 1; number < kBalancers; ++number) {
      directory.onContact(peerOf(number));
    }
  }
  SettableTime time;
  std::unique_ptr<RandomGenerator> random = makeSeededRandom(1);
  PeerDirectory directory{{}, peerOf(kBalancers + 1), {peerOf(1).address}, time, *random};
};

void measurePeersTold(benchmark::State& state) {
  DirectoryHarness harness;
  std::vector<PeerInfo> reported;
  for (std::uint32_t number = 1; number <= 100; ++number) {
    reported.push_back(peerOf(number * 2));
  }
  for (auto _ : state) {
    harness.directory.onPeersReported(reported);
  }
}
BENCHMARK(measurePeersTold)->Unit(benchmark::kMicrosecond);

void measurePeerShown(benchmark::State& state) {
  DirectoryHarness harness;
  std::uint32_t number = 0;
  for (auto _ : state) {
    harness.directory.onContact(peerOf(++number % kBalancers));
  }
}
BENCHMARK(measurePeerShown)->Unit(benchmark::kMicrosecond);

void measureChooseUpstreams(benchmark::State& state) {
  DirectoryHarness harness;
  UpstreamSelector selector({}, peerOf(kBalancers + 1).address, harness.directory);
  for (auto _ : state) {
    benchmark::DoNotOptimize(selector.upstreams());
  }
}
BENCHMARK(measureChooseUpstreams)->Unit(benchmark::kMicrosecond);

void measureOwnerOfColdServer(benchmark::State& state) {
  DirectoryHarness harness;
  std::uint64_t key = 0;
  for (auto _ : state) {
    benchmark::DoNotOptimize(harness.directory.isOwner(++key, kOwnersPerColdBackend));
  }
}
BENCHMARK(measureOwnerOfColdServer)->Unit(benchmark::kMicrosecond);

}  // namespace
}  // namespace lugfork
