#pragma once

#include <list>
#include <set>

#include "flow/compact_token.h"
#include "platform/soak/packet_backend.h"

namespace lugfork::soak {

/** The backends of a soak and their items in the store: they start, drain, crash and pause. */
class SimulatedBackendPool {
 public:
  /** Calls a function after a delay, on the thread that runs the soak. */
  using CallAfter = std::function<void(std::chrono::milliseconds, std::function<void()>)>;

  /** @param client_port port at which clients receive the backends' packets. */
  SimulatedBackendPool(platform::FakeStore& store, const ZonePartition& zone_partition,
                       PromiseMonitor& monitor, const PacketBackend::SentTimes& sent_times,
                       std::uint16_t client_port, CallAfter call_after)
      : store_(store),
        zone_partition_(zone_partition),
        monitor_(monitor),
        sent_times_(sent_times),
        client_port_(client_port),
        call_after_(std::move(call_after)) {}

  std::list<PacketBackend>& backends() { return backends_; }

  /** @return name of the backend with that id, also after its end; empty if there was none. */
  std::string nameOf(BackendId id) const {
    const auto found = names_by_id_.find(id);
    return found == names_by_id_.end() ? "" : found->second;
  }

  /** @return zone of the backend of that name, also after its end; empty if there was none. */
  std::string zoneOf(const std::string& name) const {
    const auto found = zones_by_name_.find(name);
    return found == zones_by_name_.end() ? "" : found->second;
  }

  void start(const std::string& service, const std::string& zone) {
    const std::uint64_t backend_number = kFirstBackendNumber + next_backend_number_++;
    PacketBackend& backend = backends_.emplace_back(backend_number, service, zone, zone_partition_,
                                                    monitor_, sent_times_);
    zones_by_name_[backend.name()] = zone;
    backend.setClientPort(client_port_);
    names_by_id_[backendIdOfServer(backend_number)] = backend.name();
    announced_.insert(backend.key());
    store_.put(backend.key(), backend.entry("ready"));
  }

  /** Starts a new backend; an old one drains, is removed from the store, serves on and ends. */
  void replace(std::uint32_t target) {
    PacketBackend* old_backend = pick(target);
    if (old_backend == nullptr) {
      return;
    }
    start(old_backend->service(), old_backend->zone());
    const std::string key = old_backend->key();
    const std::string name = old_backend->name();
    announced_.erase(key);
    store_.put(key, old_backend->entry("draining"));
    monitor_.onDraining(name, SoakClock::now());
    call_after_(kDrain, [this, key] { store_.remove(key); });
    call_after_(kDrain + kServiceAfterRemoval, [this, key, name] {
      monitor_.onBackendDisturbed(name, kPermanently);
      end(key);
    });
  }

  /** Makes a backend silent permanently; its item expires, and another backend starts. */
  void crash(std::uint32_t target, std::chrono::milliseconds duration) {
    PacketBackend* backend = pick(target);
    if (backend == nullptr) {
      return;
    }
    const std::string key = backend->key();
    const std::string service = backend->service();
    const std::string zone = backend->zone();
    announced_.erase(key);
    backend->setSilent(true);
    monitor_.onBackendDisturbed(backend->name(), kPermanently);
    call_after_(kItemTtl, [this, key] { store_.remove(key); });
    call_after_(duration, [this, service, zone] { start(service, zone); });
    call_after_(kItemTtl + kServiceAfterRemoval, [this, key] { end(key); });
  }

  void pause(std::uint32_t target, std::chrono::milliseconds duration) {
    PacketBackend* backend = pick(target);
    if (backend == nullptr) {
      return;
    }
    const std::string key = backend->key();
    backend->setSilent(true);
    monitor_.onBackendDisturbed(backend->name(), SoakClock::now() + duration);
    call_after_(duration, [this, key] { resume(key); });
  }

  /**
   * Removes all items; live backends write theirs again.
   * @param back_after minimum time until a backend writes its item.
   * @return time after which all have written theirs.
   */
  std::chrono::milliseconds loseItems(std::chrono::milliseconds back_after,
                                      RandomGenerator& random) {
    for (const PacketBackend& backend : backends_) {
      store_.remove(backend.key());
    }
    for (const PacketBackend& backend : backends_) {
      const std::chrono::milliseconds delay(
          random.below(static_cast<std::uint64_t>(kHeartbeat.count())));
      call_after_(back_after + delay, [this, key = backend.key()] { announce(key); });
    }
    return back_after + kHeartbeat;
  }

  /** Time after which the item of a silent backend expires. */
  static constexpr std::chrono::milliseconds kItemTtl{2000};

 private:
  static constexpr std::uint64_t kFirstBackendNumber = 0x0badca0000;
  static constexpr std::chrono::milliseconds kDrain{3500};
  static constexpr std::chrono::milliseconds kServiceAfterRemoval{4000};
  static constexpr std::chrono::milliseconds kHeartbeat{800};
  static constexpr SoakTime kPermanently = SoakTime::max() - std::chrono::hours(1);

  /** @return a backend that is neither draining nor crashed; null if there is none. */
  PacketBackend* pick(std::uint32_t target) {
    std::vector<PacketBackend*> ready;
    for (PacketBackend& backend : backends_) {
      if (announced_.contains(backend.key())) {
        ready.push_back(&backend);
      }
    }
    return ready.empty() ? nullptr : ready[target % ready.size()];
  }

  void end(const std::string& key) {
    backends_.remove_if([&](const PacketBackend& backend) { return backend.key() == key; });
  }

  void resume(const std::string& key) {
    for (PacketBackend& backend : backends_) {
      if (backend.key() == key) {
        backend.setSilent(false);
      }
    }
  }

  void announce(const std::string& key) {
    for (const PacketBackend& backend : backends_) {
      if (backend.key() == key && announced_.contains(key)) {
        store_.put(key, backend.entry("ready"));
      }
    }
  }

  platform::FakeStore& store_;
  const ZonePartition& zone_partition_;
  PromiseMonitor& monitor_;
  const PacketBackend::SentTimes& sent_times_;
  const std::uint16_t client_port_;
  const CallAfter call_after_;
  std::list<PacketBackend> backends_;
  std::map<BackendId, std::string> names_by_id_;
  std::map<std::string, std::string> zones_by_name_;
  /** Keys of backends that announce themselves in the store. */
  std::set<std::string> announced_;
  std::uint64_t next_backend_number_ = 0;
};

}  // namespace lugfork::soak
