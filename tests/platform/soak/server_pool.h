#pragma once

#include <list>
#include <set>

#include "flow/compact_token.h"
#include "platform/soak/packet_server.h"

namespace lugfork::soak {

/** The servers of a soak, with their entries in the store: they start, leave, crash and freeze. */
class ServerPool {
 public:
  /** Calls a function after a while, on the soak's own thread. */
  using CallAfter = std::function<void(std::chrono::milliseconds, std::function<void()>)>;

  /** @param client_port port at which clients take the servers' packets. */
  ServerPool(platform::FakeStore& store, const ZoneCut& zone_cut, PromiseMonitor& monitor,
             const PacketServer::SentTimes& sent_times, std::uint16_t client_port,
             CallAfter call_after)
      : store_(store),
        zone_cut_(zone_cut),
        monitor_(monitor),
        sent_times_(sent_times),
        client_port_(client_port),
        call_after_(std::move(call_after)) {}

  std::list<PacketServer>& servers() { return servers_; }

  /** @return the name of the server with that id, also where it has ended; empty for none. */
  std::string nameOf(BackendId id) const {
    const auto found = names_by_id_.find(id);
    return found == names_by_id_.end() ? "" : found->second;
  }

  /** @return the zone of the server of that name, also where it has ended; empty for none. */
  std::string zoneOf(const std::string& name) const {
    const auto found = zones_by_name_.find(name);
    return found == zones_by_name_.end() ? "" : found->second;
  }

  void start(const std::string& service, const std::string& zone) {
    const std::uint64_t server_id = kFirstServerId + next_server_id_++;
    PacketServer& server =
        servers_.emplace_back(server_id, service, zone, zone_cut_, monitor_, sent_times_);
    zones_by_name_[server.name()] = zone;
    server.setClientPort(client_port_);
    names_by_id_[backendIdOfServer(server_id)] = server.name();
    announced_.insert(server.key());
    store_.put(server.key(), server.entry("ready"));
  }

  /** A new server starts, an old one drains, leaves the store, serves on for a while, and ends. */
  void replace(std::uint32_t target) {
    PacketServer* old_server = pick(target);
    if (old_server == nullptr) {
      return;
    }
    start(old_server->service(), old_server->zone());
    const std::string key = old_server->key();
    const std::string name = old_server->name();
    announced_.erase(key);
    store_.put(key, old_server->entry("draining"));
    monitor_.onLeaving(name, SoakClock::now());
    call_after_(kDrain, [this, key] { store_.remove(key); });
    call_after_(kDrain + kServesOn, [this, key, name] {
      monitor_.onServerDisturbed(name, kForGood);
      end(key);
    });
  }

  /** A server falls silent for good; its entry lapses, and another one starts. */
  void crash(std::uint32_t target, std::chrono::milliseconds duration) {
    PacketServer* server = pick(target);
    if (server == nullptr) {
      return;
    }
    const std::string key = server->key();
    const std::string service = server->service();
    const std::string zone = server->zone();
    announced_.erase(key);
    server->setSilent(true);
    monitor_.onServerDisturbed(server->name(), kForGood);
    call_after_(kLapse, [this, key] { store_.remove(key); });
    call_after_(duration, [this, service, zone] { start(service, zone); });
    call_after_(kLapse + kServesOn, [this, key] { end(key); });
  }

  void pause(std::uint32_t target, std::chrono::milliseconds duration) {
    PacketServer* server = pick(target);
    if (server == nullptr) {
      return;
    }
    const std::string key = server->key();
    server->setSilent(true);
    monitor_.onServerDisturbed(server->name(), SoakClock::now() + duration);
    call_after_(duration, [this, key] { wake(key); });
  }

  /**
   * All entries are gone; living servers write theirs again.
   * @param back_after least time until a server does.
   * @return time after which all have.
   */
  std::chrono::milliseconds loseEntries(std::chrono::milliseconds back_after,
                                        RandomGenerator& random) {
    for (const PacketServer& server : servers_) {
      store_.remove(server.key());
    }
    for (const PacketServer& server : servers_) {
      const std::chrono::milliseconds beat(
          random.below(static_cast<std::uint64_t>(kHeartbeat.count())));
      call_after_(back_after + beat, [this, key = server.key()] { announceAgain(key); });
    }
    return back_after + kHeartbeat;
  }

  /** Time after which the entry of a silent server is gone. */
  static constexpr std::chrono::milliseconds kLapse{2000};

 private:
  static constexpr std::uint64_t kFirstServerId = 0x0badca0000;
  static constexpr std::chrono::milliseconds kDrain{3500};
  static constexpr std::chrono::milliseconds kServesOn{4000};
  static constexpr std::chrono::milliseconds kHeartbeat{800};
  static constexpr SoakTime kForGood = SoakTime::max() - std::chrono::hours(1);

  /** @return a server that neither leaves nor has crashed; null where there is none. */
  PacketServer* pick(std::uint32_t target) {
    std::vector<PacketServer*> ready;
    for (PacketServer& server : servers_) {
      if (announced_.contains(server.key())) {
        ready.push_back(&server);
      }
    }
    return ready.empty() ? nullptr : ready[target % ready.size()];
  }

  void end(const std::string& key) {
    servers_.remove_if([&](const PacketServer& server) { return server.key() == key; });
  }

  void wake(const std::string& key) {
    for (PacketServer& server : servers_) {
      if (server.key() == key) {
        server.setSilent(false);
      }
    }
  }

  void announceAgain(const std::string& key) {
    for (const PacketServer& server : servers_) {
      if (server.key() == key && announced_.contains(key)) {
        store_.put(key, server.entry("ready"));
      }
    }
  }

  platform::FakeStore& store_;
  const ZoneCut& zone_cut_;
  PromiseMonitor& monitor_;
  const PacketServer::SentTimes& sent_times_;
  const std::uint16_t client_port_;
  const CallAfter call_after_;
  std::list<PacketServer> servers_;
  std::map<BackendId, std::string> names_by_id_;
  std::map<std::string, std::string> zones_by_name_;
  /** Keys of servers that want to be found. */
  std::set<std::string> announced_;
  std::uint64_t next_server_id_ = 0;
};

}  // namespace lugfork::soak
