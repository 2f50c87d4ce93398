#pragma once

#include <poll.h>

#include "flow/compact_token.h"
#include "platform/soak/fault_plan.h"
#include "platform/soak/node_fleet.h"
#include "platform/soak/packet_client.h"
#include "platform/soak/server_pool.h"

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
        port_(platform::TestSocket().address().port),
        client_socket_(kClientAddress, port_),
        pool_(store_, zone_cut_, monitor_, sent_times_, port_,
              [this](milliseconds delay, std::function<void()> function) {
                scheduleAfter(delay, std::move(function));
              }) {
    client_.setServerNames(
        [this](std::uint32_t echo, Endpoint source) { return serverOf(echo, source); });
    publishRoutes();
    for (const char* service : {kFirstService, kSecondService}) {
      for (int count = 0; count < kServersOfService; ++count) {
        pool_.start(service, zones_[static_cast<std::size_t>(count) % zones_.size()]);
      }
    }
    nodes_ = std::make_unique<NodeFleet>(settings.nodes, zones_, port_, store_.address(), zone_cut_,
                                         monitor_);
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
      schedule(start + fault.at, [this, fault] { inject(fault); });
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
  static constexpr const char* kFirstService = "a";
  static constexpr const char* kSecondService = "b";
  static constexpr milliseconds kOpeningInterval{12};
  static constexpr milliseconds kTick{5};
  static constexpr milliseconds kLongestFault{5000};
  static constexpr milliseconds kRecovery{12000};
  static constexpr milliseconds kQuietTime{9000};
  static constexpr double kLostPackets = 0.1;
  static constexpr double kDoubledPackets = 0.1;
  static constexpr double kLatePackets = 0.2;
  /** A late packet is overtaken by the copy that its sender makes after 200 ms. */
  static constexpr milliseconds kLatest{500};
  /** A series of planned work: steps, and the pause between two. */
  static constexpr std::uint32_t kSeriesSteps = 4;
  static constexpr milliseconds kSeriesGap{250};
  /** From so long after the start of a cut on, new flows go to servers that can be reached. */
  static constexpr milliseconds kCutIsKnown{2500};
  /** All balancers but one in so many get slow processors. */
  static constexpr std::uint32_t kNodesToOneFast = 3;
  const Endpoint fixed_route_{0xc6120001, 443};
  const Endpoint moving_route_{0xc6120001, 8443};

  static CompactTokenKey keyOfTests() {
    CompactTokenKey key{};
    std::size_t size = 0;
    sodium_hex2bin(key.data(), key.size(), platform::kKey.data(), platform::kKey.size(), nullptr,
                   &size, nullptr);
    return key;
  }

  /** Planned work that disturbs nothing, so that every promise is judged after it. */
  void doPlannedWork() {
    moveRoute();
    pool_.replace(static_cast<std::uint32_t>(random_->below(kServersOfService)));
    nodes_->stop(static_cast<std::uint32_t>(random_->below(nodes_->size())));
  }

  // Time.
  void schedule(SoakTime at, std::function<void()> function) {
    calls_.emplace(at, std::move(function));
  }
  void scheduleAfter(milliseconds delay, std::function<void()> function) {
    schedule(SoakClock::now() + delay, std::move(function));
  }

  void runUntil(SoakTime end) {
    while (SoakClock::now() < end) {
      const SoakTime now = SoakClock::now();
      while (!calls_.empty() && calls_.begin()->first <= now) {
        const auto function = std::move(calls_.begin()->second);
        calls_.erase(calls_.begin());
        function();
      }
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
      client_.open(fixed_route_, kFirstService);
    } else {
      // The route moves: whichever of its services runs the request was allowed to by some version.
      client_.open(moving_route_, "");
    }
  }

  void route(const EndPacket& packet) {
    const bool is_lost = losing_packets_ && random_->unit() < kLostPackets;
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
    if (disordering_packets_ && random_->unit() < kDoubledPackets) {
      client_socket_.send(*balancer, bytes);
    }
    if (disordering_packets_ && random_->unit() < kLatePackets) {
      const milliseconds delay(random_->below(static_cast<std::uint64_t>(kLatest.count())));
      scheduleAfter(delay, [this, to = *balancer, bytes] { client_socket_.send(to, bytes); });
      return;
    }
    client_socket_.send(*balancer, bytes);
  }

  std::string serverOf(std::uint32_t echo, Endpoint source) const {
    for (const Endpoint& route : {fixed_route_, moving_route_}) {
      const BackendId id = tokens_.decode(flowIdOf(source, route), CompactToken{echo});
      std::string name = pool_.nameOf(id);
      if (!name.empty()) {
        return name;
      }
    }
    return "";
  }

  // Routes.
  void publishRoutes() {
    store_.put("op/config",
               R"({"version":)" + std::to_string(++version_) +
                   R"(,"routes":[{"host":"198.18.0.1","path_prefix":"/443/","service":"a"},)" +
                   R"({"host":"198.18.0.1","path_prefix":"/8443/","service":")" + moving_service_ +
                   R"("}]})");
    monitor_.onRouteMoved(moving_route_, moving_service_, SoakClock::now());
  }

  void moveRoute() {
    moving_service_ = moving_service_ == kFirstService ? kSecondService : kFirstService;
    publishRoutes();
  }

  // Balancers.
  void killNode(std::uint32_t target, milliseconds duration) {
    if (nodes_->kill(target)) {
      scheduleAfter(duration, [this, target] { nodes_->startAgain(target); });
    }
  }

  void pauseNode(std::uint32_t target, milliseconds duration) {
    if (nodes_->pause(target)) {
      scheduleAfter(duration, [this, target] { nodes_->wake(target); });
    }
  }

  /** Does something several times, each time before the last one can be over. */
  void inSeries(const std::function<void(std::uint32_t step)>& function) {
    for (std::uint32_t step = 0; step < kSeriesSteps; ++step) {
      scheduleAfter(step * kSeriesGap, [function, step] { function(step); });
    }
  }

  /** Settings are read again while the balancer is about to stop, and it is asked to stop twice. */
  void signalNode(std::uint32_t target) {
    inSeries([this, target](std::uint32_t step) {
      nodes_->reload(target);
      if (step > 0) {
        nodes_->stop(target);
      }
    });
  }

  // Zones.
  void cutZone(std::uint32_t target, milliseconds duration) {
    zone_cut_.cutOff(zones_[target % zones_.size()]);
    monitor_.onZoneCut(SoakClock::now() + duration);
    scheduleAfter(kCutIsKnown, [this, rest = duration - kCutIsKnown] {
      const std::size_t started = client_.flowsStarted();
      const std::size_t opened = client_.flowsOpened();
      scheduleAfter(rest, [this, started, opened] {
        monitor_.onFlowsInCut(client_.flowsStarted() - started, client_.flowsOpened() - opened);
        zone_cut_.heal();
      });
    });
  }

  void slowNodes(std::uint32_t target, milliseconds duration) {
    for (std::uint32_t node = 0; node < nodes_->size(); ++node) {
      if ((node + target) % kNodesToOneFast == 0) {
        continue;
      }
      nodes_->slowDown(node);
      scheduleAfter(duration, [this, node] { nodes_->endSlowness(node); });
    }
  }

  // Faults.
  void disturb(milliseconds duration) { monitor_.onDisturbed(SoakClock::now() + duration); }

  void failStore(int status, milliseconds duration) {
    disturb(duration);
    store_.failWith(status);
    scheduleAfter(duration, [this] { store_.failWith(200); });
  }

  /** The store is away and drops the servers' entries; living servers write theirs again. */
  void loseEntries(milliseconds duration) {
    const milliseconds away = duration + ServerPool::kLapse;
    failStore(503, away);
    disturb(pool_.loseEntries(away, *random_));
  }

  void inject(const Fault& fault) {
    std::printf("  %s target %u for %lld ms\n", toString(fault.kind), fault.target,
                static_cast<long long>(fault.duration.count()));
    switch (fault.kind) {
      case FaultKind::KillNode:
        disturb(fault.duration);
        return killNode(fault.target, fault.duration);
      case FaultKind::KillAllNodes:
        disturb(fault.duration);
        for (std::uint32_t node = 0; node < nodes_->size(); ++node) {
          killNode(node, fault.duration);
        }
        return;
      case FaultKind::PauseNode:
        disturb(fault.duration);
        return pauseNode(fault.target, fault.duration);
      case FaultKind::StopNode:
        return nodes_->stop(fault.target);
      case FaultKind::ReloadNode:
        return nodes_->reload(fault.target);
      case FaultKind::StoreUnavailable:
        return failStore(503, fault.duration);
      case FaultKind::StoreThrottled:
        return failStore(429, fault.duration);
      case FaultKind::StoreCutsAnswers:
        disturb(fault.duration);
        store_.cutAnswers(true);
        return scheduleAfter(fault.duration, [this] { store_.cutAnswers(false); });
      case FaultKind::StoreForgets:
        disturb(milliseconds(0));
        return store_.forgetHistory();
      case FaultKind::StoreLosesEntries:
        return loseEntries(fault.duration);
      case FaultKind::CrashServer:
        return pool_.crash(fault.target, fault.duration);
      case FaultKind::PauseServer:
        return pool_.pause(fault.target, fault.duration);
      case FaultKind::ReplaceServer:
        return pool_.replace(fault.target);
      case FaultKind::MoveRoute:
        return moveRoute();
      case FaultKind::LosePackets:
        disturb(fault.duration);
        losing_packets_ = true;
        return scheduleAfter(fault.duration, [this] { losing_packets_ = false; });
      case FaultKind::DisorderPackets:
        disturb(fault.duration + kLatest);
        disordering_packets_ = true;
        return scheduleAfter(fault.duration, [this] { disordering_packets_ = false; });
      case FaultKind::RollNodes:
        return inSeries([this, fault](std::uint32_t step) { nodes_->stop(fault.target + step); });
      case FaultKind::SignalNode:
        return signalNode(fault.target);
      case FaultKind::ReleaseServers:
        return inSeries([this, fault](std::uint32_t step) { pool_.replace(fault.target + step); });
      case FaultKind::MoveRoutes:
        return inSeries([this](std::uint32_t) { moveRoute(); });
      case FaultKind::CutZone:
        return cutZone(fault.target, fault.duration);
      case FaultKind::SlowNodes:
        return slowNodes(fault.target, fault.duration);
    }
  }

  const std::vector<std::string> zones_;
  std::unique_ptr<RandomGenerator> random_;
  ZoneCut zone_cut_;
  PromiseMonitor monitor_;
  CompactTokenCodec tokens_;
  PacketServer::SentTimes sent_times_;
  PacketClient client_;
  platform::StoreStandin store_;
  const std::uint16_t port_;
  platform::TestSocket client_socket_;
  ServerPool pool_;
  std::unique_ptr<NodeFleet> nodes_;
  std::multimap<SoakTime, std::function<void()>> calls_;
  std::string moving_service_ = kFirstService;
  int version_ = 0;
  bool losing_packets_ = false;
  bool disordering_packets_ = false;
  SoakTime opened_at_;
};

}  // namespace lugfork::soak
