#pragma once

#include <poll.h>

#include "flow/compact_token.h"
#include "platform/soak/fault_injection.h"

namespace lugfork::soak {

/** Size of a soak and bounds of its checks. */
struct SoakSettings {
  std::size_t nodes = 6;
  /** Balancers and backends are spread over these in turn. */
  std::vector<std::string> zones{"lac"};
  PromiseBounds bounds;
};

/**
 * A fleet of lugfork-packetd processes on loopback with a store, and backends and clients that
 * speak the flow protocol. Injects the faults of a plan from outside. Ends only processes that it
 * started.
 */
class SoakWorld {
 public:
  SoakWorld(std::uint64_t seed, const SoakSettings& settings)
      : zones_(settings.zones),
        random_(makeSeededRandom(seed)),
        monitor_(settings.bounds),
        tokens_(testKey()),
        client_(kClientAddress, *random_, monitor_, sent_times_,
                [this](const EndPacket& packet) { route(packet); }),
        routes_(store_, monitor_),
        client_socket_(kClientAddress, port_.number()),
        pool_(store_, zone_partition_, monitor_, sent_times_, port_.number(),
              [this](milliseconds delay, std::function<void()> function) {
                schedule_.after(delay, std::move(function));
              }) {
    client_.setBackendNames(
        [this](std::uint32_t echo, Endpoint source) { return backendOf(echo, source); });
    for (const char* service : {kFirstService, kSecondService}) {
      for (int count = 0; count < kBackendsPerService; ++count) {
        pool_.start(service, zones_[static_cast<std::size_t>(count) % zones_.size()]);
      }
    }
    nodes_ = std::make_unique<NodeFleet>(settings.nodes, zones_, port_.number(), store_.address(),
                                         zone_partition_, monitor_);
    faults_ = std::make_unique<FaultInjection>(FaultTargets{*nodes_, pool_, store_, routes_, links_,
                                                            zone_partition_, zones_, client_,
                                                            monitor_, schedule_, *random_});
    if (zones_.size() > 1) {
      monitor_.setInOneZone([this](Endpoint balancer, const std::string& backend) {
        return zone_partition_.zoneOf(balancer) == pool_.zoneOf(backend);
      });
    }
  }

  SoakWorld(const SoakWorld&) = delete;
  SoakWorld& operator=(const SoakWorld&) = delete;

  /** Runs the faults, then a period with planned changes only. */
  void run(const std::vector<Fault>& faults, std::chrono::milliseconds length) {
    REQUIRE(platform::Packetd::eventually([&] { return nodes_->allReady(); }));
    const SoakTime start = SoakClock::now();
    for (const Fault& fault : faults) {
      schedule_.at(start + fault.at, [this, fault] { faults_->inject(fault); });
    }
    runUntil(start + length + kLongestFault);
    const SoakTime settled = SoakClock::now() + kRecovery;
    runUntil(settled);
    doPlannedWork();
    const std::size_t requests_sent = client_.requestsSent();
    const std::size_t served = client_.served();
    runUntil(settled + kRecoveryPeriod);
    monitor_.onRecoveryPeriod(client_.requestsSent() - requests_sent, client_.served() - served);
    monitor_.onConnections(nodes_->answeredOnConnections(), nodes_->truncatedAnswers());
  }

  const PromiseMonitor& monitor() const { return monitor_; }
  const PacketClient& client() const { return client_; }
  const NodeFleet& nodes() const { return *nodes_; }

 private:
  /** Above the balancers' addresses. */
  static constexpr std::uint32_t kClientAddress = platform::kLoopback + 0x10000;
  static constexpr int kBackendsPerService = 4;
  static constexpr milliseconds kOpeningInterval{12};
  static constexpr milliseconds kTick{5};
  static constexpr milliseconds kLongestFault{5000};
  static constexpr milliseconds kRecovery{12000};
  static constexpr milliseconds kRecoveryPeriod{9000};
  static constexpr double kDroppedFraction = 0.1;
  static constexpr double kDuplicatedFraction = 0.1;
  static constexpr double kDelayedFraction = 0.2;

  static CompactTokenKey testKey() {
    CompactTokenKey key{};
    std::size_t size = 0;
    sodium_hex2bin(key.data(), key.size(), platform::kKey.data(), platform::kKey.size(), nullptr,
                   &size, nullptr);
    return key;
  }

  /** Planned changes that disturb nothing, so that every promise is checked after them. */
  void doPlannedWork() {
    routes_.moveRoute();
    pool_.replace(static_cast<std::uint32_t>(random_->below(kBackendsPerService)));
    nodes_->stop(static_cast<std::uint32_t>(random_->below(nodes_->size())));
  }

  void runUntil(SoakTime end) {
    while (SoakClock::now() < end) {
      const SoakTime now = SoakClock::now();
      schedule_.runDue(now);
      if (now - opened_at_ >= kOpeningInterval) {
        opened_at_ = now;
        openFlow();
      }
      client_.tick(now);
      nodes_->reapStopped();
      readSockets();
    }
  }

  void readSockets() {
    std::vector<pollfd> descriptors{{client_socket_.descriptor(), POLLIN, 0}};
    std::vector<PacketBackend*> readers{nullptr};
    for (PacketBackend& backend : pool_.backends()) {
      descriptors.push_back({backend.descriptor(), POLLIN, 0});
      readers.push_back(&backend);
    }
    ::poll(descriptors.data(), descriptors.size(), static_cast<int>(kTick.count()));
    for (std::size_t index = 0; index < descriptors.size(); ++index) {
      if ((descriptors[index].revents & POLLIN) == 0) {
        continue;
      }
      if (readers[index] != nullptr) {
        readers[index]->onReadable();
      } else {
        readForClient();
      }
    }
  }

  void readForClient() {
    const auto [bytes, sender] = client_socket_.receiveFrom();
    if (const auto packet = EndPacket::decode(bytes)) {
      client_.onPacket(*packet, sender);
    }
  }

  void openFlow() {
    if (random_->below(2) == 0) {
      client_.open(kFixedRoute, kFirstService);
    } else {
      // The route moves, so either of its services may run the request.
      client_.open(kMovingRoute, "");
    }
  }

  void route(const EndPacket& packet) {
    const bool is_lost = links_.drops && random_->unit() < kDroppedFraction;
    const std::uint16_t flow = packet.source.port;
    // Routers of every second flow do not detect that a balancer is stopping.
    const bool keeps_balancer = flow % 2 == 1;
    // Routers send a client's flows to the balancers of its zone.
    const std::string zone = zones_.size() == 1 ? "" : zones_[flow / 2 % zones_.size()];
    const auto balancer = nodes_->pick(flow, packet.has(EndPacket::kSyn), keeps_balancer, zone);
    if (is_lost || !balancer) {
      return;
    }
    const auto bytes = packet.encode();
    if (links_.reorders && random_->unit() < kDuplicatedFraction) {
      client_socket_.send(*balancer, bytes);
    }
    if (links_.reorders && random_->unit() < kDelayedFraction) {
      const milliseconds delay(random_->below(static_cast<std::uint64_t>(kMaxPacketDelay.count())));
      schedule_.after(delay, [this, to = *balancer, bytes] { client_socket_.send(to, bytes); });
      return;
    }
    client_socket_.send(*balancer, bytes);
  }

  std::string backendOf(std::uint32_t echo, Endpoint source) const {
    for (const Endpoint& route : {kFixedRoute, kMovingRoute}) {
      const BackendId id = tokens_.decode(flowIdOf(source, route), CompactToken{echo});
      std::string name = pool_.nameOf(id);
      if (!name.empty()) {
        return name;
      }
    }
    return "";
  }

  const std::vector<std::string> zones_;
  std::unique_ptr<RandomGenerator> random_;
  ZonePartition zone_partition_;
  PromiseMonitor monitor_;
  CallSchedule schedule_;
  CompactTokenCodec tokens_;
  PacketBackend::SentTimes sent_times_;
  PacketClient client_;
  platform::FakeStore store_;
  RoutePublisher routes_;
  LinkFaults links_;
  const platform::ReservedPort port_;
  platform::TestSocket client_socket_;
  SimulatedBackendPool pool_;
  std::unique_ptr<NodeFleet> nodes_;
  std::unique_ptr<FaultInjection> faults_;
  SoakTime opened_at_;
};

}  // namespace lugfork::soak
