#include <benchmark/benchmark.h>
#include <malloc.h>

#include "common/rate_limited_event_log.h"
#include "flow/flow_router.h"
#include "flow/packet_router.h"
#include "wire/datagram_codec.h"

/** Cost of the data path: one forwarding decision, one placement, memory per open flow. */
namespace lugfork {
namespace {

const Endpoint kServiceAddress{0x0a140001, 443};
const Endpoint kCaller{0x7f000001, 5000};

class CountingSender : public DatagramSender {
 public:
  void sendDatagram(Endpoint, const Datagram& datagram) override {
    ++sent;
    if (const Placed* placed = std::get_if<Placed>(&datagram)) {
      last_token = placed->token;
    }
  }
  std::uint64_t sent = 0;
  TokenBytes last_token;
};

class OpenHost : public FlowRouterHost {
 public:
  Reason placementBlockedBy() const override { return Reason::None; }
  void onNewerConfigurationSeen(ConfigVersion) override {}
  void onBackendDraining(BackendId) override {}
};

struct BenchRouter {
  explicit BenchRouter(std::uint32_t backends) {
    Configuration configuration;
    configuration.version = ConfigVersion(1);
    configuration.services = {{ServiceId(1), "service", kServiceAddress, {ZoneId(1)}}};
    for (std::uint32_t id = 1; id <= backends; ++id) {
      Backend backend;
      backend.id = BackendId(id);
      backend.service = ServiceId(1);
      backend.zone = ZoneId(1);
      backend.address = Endpoint{0x0b000000 + id, 9000};
      backend.slots = 2;
      backend.connections = 2000;
      configuration.backends.push_back(backend);
    }
    TokenKey key;
    key.id = KeyId(1);
    key.secret.fill(7);
    key.seals = true;
    configuration.keys = {key};
    view = std::make_shared<const ConfigurationView>(configuration);
    router.setConfiguration(view);
  }

  /** @return encoded Data datagrams of the given number of flows, each with its own token. */
  std::vector<Bytes> openFlows(std::int64_t flows) {
    std::vector<Bytes> datagrams;
    datagrams.reserve(static_cast<std::size_t>(flows));
    for (std::int64_t flow = 0; flow < flows; ++flow) {
      const FlowKey key{{random->next(), random->next()}, 0};
      router.onDatagram(encodeDatagram(Open{kServiceAddress, key}), kCaller);
      datagrams.push_back(encodeDatagram(
          Data{kServiceAddress, key, sender.last_token, 0, true, 5000, Bytes(200, 1)}));
    }
    return datagrams;
  }

  ConfigurationViewPtr view;
  RealTimeSource time;
  std::unique_ptr<RandomGenerator> random = makeSeededRandom(1);
  CountingSender sender;
  OpenHost host;
  BackendLoadTable loads{LoadEstimateSettings(), time};
  PlacementEngine placement{PlacementSettings(), makePlacementPolicy("power_of_two"), loads, time,
                            *random};
  FlowRouter router{FlowRouterSettings(), time, sender, placement, loads, host};
};

/** Decoding, token check and forwarding of a 200-byte payload; flows in random order. */
void forwardDatagram(benchmark::State& state) {
  BenchRouter bench(static_cast<std::uint32_t>(state.range(1)));
  const std::vector<Bytes> datagrams = bench.openFlows(state.range(0));
  for (auto _ : state) {
    bench.router.onDatagram(datagrams[bench.random->below(datagrams.size())], kCaller);
  }
  state.SetItemsProcessed(state.iterations());
}
BENCHMARK(forwardDatagram)
    ->ArgNames({"flows", "backends"})
    ->ArgsProduct({{1000, 100000, 1000000}, {15, 1000, 14000}});

/** From Open to Placed, after the given number of flows was placed. */
void placeFlow(benchmark::State& state) {
  BenchRouter bench(static_cast<std::uint32_t>(state.range(1)));
  for (std::int64_t flow = 0; flow < state.range(0); ++flow) {
    const FlowKey key{{bench.random->next(), bench.random->next()}, 0};
    bench.router.onDatagram(encodeDatagram(Open{kServiceAddress, key}), kCaller);
  }
  std::vector<Bytes> opens;
  for (int index = 0; index < 1024; ++index) {
    const FlowKey key{{bench.random->next(), bench.random->next()}, 0};
    opens.push_back(encodeDatagram(Open{kServiceAddress, key}));
  }
  std::size_t next = 0;
  for (auto _ : state) {
    bench.router.onDatagram(opens[next++ % opens.size()], kCaller);
  }
  state.SetItemsProcessed(state.iterations());
}
BENCHMARK(placeFlow)
    ->ArgNames({"flows", "backends"})
    ->ArgsProduct({{1000, 100000, 1000000}, {15, 1000, 14000}});

/** Packet router with compact tokens, and a log that drops all but 100 lines per second. */
struct PacketBench : PacketSender, PacketRouterHost {
  explicit PacketBench(std::uint32_t backends) : services(backends) {
    decider.setConfiguration(services.view);
    decider.setCompactTokens(&tokens);
    placement.setRequestsInFlight(&observer.requestsInFlight());
    placement.setBackendHealth(&silence);
  }

  void forwardPacket(const Backend&, CompactToken sent) override { token = sent; }
  void resetClient(const FlowPacket&) override {}
  Reason placementBlockedBy() const override { return Reason::None; }
  void onNewerConfigurationSeen(ConfigVersion) override {}
  void onBackendDraining(BackendId) override {}
  bool viewIsFresh() const override { return true; }
  bool backendListIsComplete() const override { return true; }
  bool resetsFlowsOfDeadBackends() const override { return true; }
  ViewStamp viewStamp() const override { return {}; }
  void onHandshake(Duration) override {}
  void onRequest(BackendId) override {}
  void onResponse(BackendId, Duration, ResponseTiming) override {}

  FlowPacket opening(Endpoint service = kServiceAddress) {
    FlowPacket packet;
    packet.client = {kCaller.address + next / 50000, static_cast<std::uint16_t>(next % 50000)};
    packet.service = service;
    packet.opens = true;
    ++next;
    return packet;
  }

  /** Opens a flow and completes its handshake, so that it doesn't count as in flight. */
  FlowPacket openFlow() {
    FlowPacket packet = opening();
    router.onPacket(packet);
    packet.opens = false;
    packet.token = token;
    packet.sequence = 1;
    packet.acknowledged = 1;
    router.onPacket(packet);
    return packet;
  }

  BenchRouter services;
  RealTimeSource time;
  NullEventLog dropped;
  RateLimitedEventLog log{dropped, LogLimits(), time};
  std::unique_ptr<RandomGenerator> random = makeSeededRandom(1);
  BackendLoadTable loads{LoadEstimateSettings(), time};
  PlacementEngine placement{PlacementSettings(), makePlacementPolicy("bounded_rendezvous"), loads,
                            time, *random};
  FlowDecider decider{FlowDeciderSettings(), time, placement, *this};
  FlowObserver observer{FlowObserverSettings(), time};
  SilenceDetector silence{SilenceDetectorSettings(), time, log};
  CompactTokenCodec tokens{CompactTokenKey{9, 9, 9}};
  PacketRouter router{decider, silence, observer, tokens, *this, *this, log};
  CompactToken token;
  std::uint32_t next = 0;
};

/** An opening and the end of its handshake, above the rate limit of the log. */
void packetOpening(benchmark::State& state) {
  PacketBench bench(150);
  for (auto _ : state) {
    bench.openFlow();
  }
}
BENCHMARK(packetOpening);

/** A packet of an open flow, without payload. */
void packetForward(benchmark::State& state) {
  PacketBench bench(150);
  FlowPacket packet = bench.openFlow();
  for (auto _ : state) {
    bench.router.onPacket(packet);
  }
}
BENCHMARK(packetForward);

/** An opening to an unknown service, above the rate limit of the log. */
void packetReset(benchmark::State& state) {
  PacketBench bench(150);
  for (auto _ : state) {
    bench.router.onPacket(bench.opening({kServiceAddress.address + 1, 443}));
  }
}
BENCHMARK(packetReset);

/** Heap bytes in use per flow, for a million flows that were placed and forwarded once. */
void memoryOfOpenFlows(benchmark::State& state) {
  constexpr std::int64_t kFlows = 1000000;
  for (auto _ : state) {
    BenchRouter bench(1000);
    const auto run = [&](std::int64_t flows) {
      for (std::int64_t flow = 0; flow < flows; ++flow) {
        const FlowKey key{{bench.random->next(), bench.random->next()}, 0};
        bench.router.onDatagram(encodeDatagram(Open{kServiceAddress, key}), kCaller);
        bench.router.onDatagram(encodeDatagram(Data{kServiceAddress, key, bench.sender.last_token,
                                                    0, true, 5000, Bytes(200, 1)}),
                                kCaller);
      }
    };
    run(20000);
    const std::size_t before = mallinfo2().uordblks;
    run(kFlows);
    const std::size_t after = mallinfo2().uordblks;
    state.counters["heap_bytes_per_flow"] =
        (static_cast<double>(after) - static_cast<double>(before)) / kFlows;
  }
}
BENCHMARK(memoryOfOpenFlows)->Iterations(1)->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace lugfork
