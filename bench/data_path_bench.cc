#include <benchmark/benchmark.h>
#include <malloc.h>

#include "flow/flow_router.h"
#include "wire/datagram_codec.h"

/** Cost of the data path: one forwarding decision, one placement, memory for each open flow. */
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
    router.setConfiguration(std::make_shared<const ConfigurationView>(configuration));
  }

  /** @return encoded Data datagrams of that many flows, each with its own token. */
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

  RealTimeSource time;
  std::unique_ptr<RandomGenerator> random = makeSeededRandom(1);
  CountingSender sender;
  OpenHost host;
  BackendLoadTable loads{LoadEstimateSettings(), time};
  PlacementEngine placement{PlacementSettings(), makePlacementPolicy("power_of_two"), loads, time,
                            *random};
  FlowRouter router{FlowRouterSettings(), time, sender, placement, loads, host};
};

/** Decode, token check, forward, for a 200-byte payload; flows are visited in random order. */
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

/** Open to Placed, with that many flows placed before. */
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

/** Bytes of the heap in use for each of a million flows that were placed and forwarded once. */
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
