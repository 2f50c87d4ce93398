#pragma once

#include <poll.h>

#include "flow/compact_token.h"
#include "platform/soak/fault_injection.h"

namespace lugfork::soak {

/** How large a soak is, and what it allows the machine. */
struct SoakSettings {
  std::size_t nodes = 6;
  /** Balancers and servers are in these by turns. */
  std::vector<std::string> zones{"lac"};
  PromiseBounds bounds;
};

/**
 * A fleet of lugfork-packetd processes on loopback with a store, servers and clients that speak the
 * users' protocol, and the faults of a plan injected from outside. Ends only processes that it
 * started.
 */
class SoakWorld {
 public:
  SoakWorld(std::uint64_t seed, const SoakSettings& settings)
      : zones_(settings.zones),
        random_(makeSeededRandom(seed)),
        monitor_(settings.bounds),
        tokens_(keyOfTests()),
        client_(kClientAddress, *random_, monitor_, sent_times_,
                [this](const EndPacket& packet) { route(packet); }),
        routes_(store_, monitor_),
        client_socket_(kClientAddress, port_.number()),
        pool_(store_, zone_cut_, monitor_, sent_times_, port_.number(),
              [this](milliseconds delay, std::function<void()> function) {
                schedule_.after(delay, std::move(function));
              }) {
    client_.setServerNames(
        [this](std::uint32_t echo, Endpoint source) { return serverOf(echo, source); });
    for (const char* service : {kFirstService, kSecondService}) {
      for (int count = 0; count < kServersOfService; ++count) {
        pool_.start(service, zones_[static_cast<std::size_t>(count) % zones_.size()]);
      }
    }
    nodes_ = std::make_unique<NodeFleet>(settings.nodes, zones_, port_.number(), store_.address(),
                                         zone_cut_, monitor_);
    faults_ = std::make_unique<FaultInjection>(FaultTargets{*nodes_, pool_, store_, routes_, links_,
                                                            zone_cut_, zones_, client_, monitor_,
                                                            schedule_, *random_});
    if (zones_.size() > 1) {
      monitor_.setInOneZone([this](Endpoint balancer, const std::string& server) {
        return zone_cut_.zoneOf(balancer) == pool_.zoneOf(server);
      });
    }
  }

  SoakWorld(const SoakWorld&) = delete;
  SoakWorld& operator=(const SoakWorld&) = delete;

  /** Runs the faults, then a time with planned work only. */
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
    const std::size_t asked = client_.asked();
    const std::size_t served = client_.served();
    runUntil(settled + kQuietTime);
    monitor_.onQuietTime(client_.asked() - asked, client_.served() - served);
    monitor_.onConnections(nodes_->answeredOnConnections(), nodes_->connectionsCutShort());
  }

  const PromiseMonitor& monitor() const { return monitor_; }
  const PacketClient& client() const { return client_; }
  const NodeFleet& nodes() const { return *nodes_; }

 private:
  /** Beyond those of the balancers. */
  static constexpr std::uint32_t kClientAddress = platform::kLoopback + 0x10000;
  static constexpr int kServersOfService = 4;
  static constexpr milliseconds kOpeningInterval{12};
  static constexpr milliseconds kTick{5};
  static constexpr milliseconds kLongestFault{5000};
  static constexpr milliseconds kRecovery{12000};
  static constexpr milliseconds kQuietTime{9000};
  static constexpr double kLostPackets = 0.1;
  static constexpr double kDoubledPackets = 0.1;
  static constexpr double kLatePackets = 0.2;

  static CompactTokenKey keyOfTests() {
    CompactTokenKey key{};
    std::size_t size = 0;
    sodium_hex2bin(key.data(), key.size(), platform::kKey.data(), platform::kKey.size(), nullptr,
                   &size, nullptr);
    return key;
  }

  /** Planned work that disturbs nothing, so that every promise is judged after it. */
  void doPlannedWork() {
    routes_.moveRoute();
    pool_.replace(static_cast<std::uint32_t>(random_->below(kServersOfService)));
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
    std::vector<PacketServer*> readers{nullptr};
    for (PacketServer& server : pool_.servers()) {
      descriptors.push_back({server.descriptor(), POLLIN, 0});
      readers.push_back(&server);
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

  // Traffic.
  void openFlow() {
    if (random_->below(2) == 0) {
      client_.open(kFixedRoute, kFirstService);
    } else {
      // The route moves: whichever of its services runs the request was allowed to by some version.
      client_.open(kMovingRoute, "");
    }
  }

  void route(const EndPacket& packet) {
    const bool is_lost = links_.loses && random_->unit() < kLostPackets;
    const std::uint16_t flow = packet.source.port;
    // Every second flow's router does not notice that a balancer is about to stop.
    const bool holds = flow % 2 == 1;
    // Routers send a client's flows to the balancers of its zone.
    const std::string zone = zones_.size() == 1 ? "" : zones_[flow / 2 % zones_.size()];
    const auto balancer = nodes_->pick(flow, packet.has(EndPacket::kSyn), holds, zone);
    if (is_lost || !balancer) {
      return;
    }
    const auto bytes = packet.encode();
    if (links_.disorders && random_->unit() < kDoubledPackets) {
      client_socket_.send(*balancer, bytes);
    }
    if (links_.disorders && random_->unit() < kLatePackets) {
      const milliseconds delay(random_->below(static_cast<std::uint64_t>(kLatestPacket.count())));
      schedule_.after(delay, [this, to = *balancer, bytes] { client_socket_.send(to, bytes); });
      return;
    }
    client_socket_.send(*balancer, bytes);
  }

  std::string serverOf(std::uint32_t echo, Endpoint source) const {
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
  ZoneCut zone_cut_;
  PromiseMonitor monitor_;
  CallSchedule schedule_;
  CompactTokenCodec tokens_;
  PacketServer::SentTimes sent_times_;
  PacketClient client_;
  platform::FakeStore store_;
  RoutePublisher routes_;
  LinkFaults links_;
  const platform::ReservedPort port_;
  platform::TestSocket client_socket_;
  ServerPool pool_;
  std::unique_ptr<NodeFleet> nodes_;
  std::unique_ptr<FaultInjection> faults_;
  SoakTime opened_at_;
};

}  // namespace lugfork::soak
