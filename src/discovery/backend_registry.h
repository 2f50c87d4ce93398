#pragma once

#include <map>
#include <set>
#include <unordered_map>
#include <unordered_set>

#include "common/event_log.h"
#include "common/time_source.h"
#include "config/live_configuration.h"
#include "discovery/item_source.h"
#include "discovery/platform_records.h"

namespace lugfork {

/** Counts of the work that a BackendRegistry has done on its configuration. */
struct BackendRegistryCounters {
  std::uint64_t updates = 0;
  std::uint64_t backends_built = 0;
  std::uint64_t routes_built = 0;
  std::uint64_t services_built = 0;
};

/**
 * Backends that are ready, draining, or retired: deleted from the platform but possibly still
 * holding flows. Maintains the configuration that the data path uses. Updates are incremental: the
 * cost of an update depends on the number of changes, not on the number of backends.
 */
class BackendRegistry {
 public:
  /** @param retired_ttl time for which a retired backend stays reachable for open flows. */
  BackendRegistry(Duration retired_ttl, const TimeSource& time_source, EventLog& log);

  /**
   * Applies a backend's newest record. A later start time under a known key begins a new
   * incarnation: earlier observations of the backend no longer apply. A record with an earlier
   * start time is a delayed write and is ignored.
   */
  void onBackend(const std::string& key, const BackendRecord& record, Revision revision,
                 Revision created);

  /** The backend's record was deleted from the platform. */
  void onBackendDeleted(const std::string& key, Revision revision);

  /**
   * The backend's record can't be decoded. The backend that it described before keeps its open
   * flows and gets no new ones until a valid record arrives.
   */
  void onBackendUnreadable(const std::string& key, Revision revision);

  /**
   * The backend's record is missing, possibly only because the platform was unavailable. The
   * backend stays in use until its record is written again, its deletion is confirmed, another
   * backend takes its address, or retireMissing() is called.
   */
  void onBackendMissing(const std::string& key, Revision revision);

  /** Retires backends that are still missing. @return true if the configuration changes. */
  bool retireMissing();

  /** Applies the newest routes; a version older than the current one is ignored. */
  void onRoutes(RouteTable table, Revision revision);

  /** Backends of the zone get no new flows until the item with that key is deleted. */
  void onZoneOutOfService(const std::string& key, const ZoneOutOfService& record,
                          Revision revision);

  /** The item with that key was deleted. @return true if it had taken a zone out of service. */
  bool onZoneBackInService(const std::string& key, Revision revision);

  std::size_t zonesOutOfService() const { return zones_out_of_service_.size(); }

  /**
   * Enables a log line for each change of a backend's state. It is disabled while the first view is
   * loaded; summary() and snapshotLines() then report all backends.
   */
  void setLogsBackends(bool logs) { logs_backends_ = logs; }

  /** Until endBatch(), state changes are collected instead of logged one by one. */
  void beginBatch() { is_batch_ = true; }

  /** How a batch is logged. */
  enum class BatchLog {
    /** All changed states, a few dozen backends to a line. */
    Lists,
    /** The number of changes and the digest of the resulting view. */
    Digest,
  };
  void endBatch(BatchLog form);

  /** Number of backends by state. */
  struct Summary {
    std::uint64_t ready = 0;
    std::uint64_t draining = 0;
    std::uint64_t retired = 0;
    /** Hash over the backends' keys and revisions: equal views have equal digests. */
    std::uint64_t digest = 0;
  };
  Summary summary() const;

  /** @return all backends as "name=state", a few dozen to a line. */
  std::vector<std::string> snapshotLines() const;

  bool hasRoutes() const { return has_routes_; }
  std::uint64_t routesVersion() const { return routes_.version; }

  /** Removes backends whose retirement has expired. @return true if the configuration changes. */
  bool pruneRetired();

  /**
   * Applies all pending changes to the configuration. Each call creates a new version.
   * @return what has changed.
   */
  ConfigurationChanges updateConfiguration();

  /** @return the configuration as of the last update; always the same object. */
  ConfigurationViewPtr configuration() const { return configuration_; }

  const BackendRegistryCounters& counters() const { return counters_; }

 private:
  struct Entry {
    BackendRecord record;
    BackendId id;
    Revision revision = 0;
    Revision created = 0;
    /** End of its warm-up, counted from when this balancer received the record. */
    MonotonicTime cold_until;
    bool retired = false;
    MonotonicTime retired_at;
    /** Revision at which its record was found missing; 0 if it isn't missing. */
    Revision missing_at = 0;
  };

  using KeysById = std::unordered_map<BackendId, std::vector<const std::string*>>;

  /** Retires missing backends at the address, since another backend uses it now. */
  void retireMissingAt(Endpoint address);
  void retire(Entry& entry, Revision revision, const char* state = "retired");
  /** @return true if the record belongs to an earlier incarnation than the known one. */
  bool isOfEarlierIncarnation(const Entry& entry, const BackendRecord& record) const;
  void detectRestart(const Entry& entry, const BackendRecord& record, Revision revision);
  void addConfiguredServices();
  /** @return true if the state was added to the current batch. */
  bool collectState(const Entry& entry, const char* state, Revision revision);

  /** Marks the backend with the entry's id to be rebuilt by the next update. */
  void markChanged(const Entry& entry) { changed_ids_.insert(entry.id); }
  void markColdBackendsChanged();
  /** Chooses the id that tokens carry for the backend, and indexes the backend by it. */
  void setId(const std::string& key, Entry& entry);
  void indexId(const std::string& key, Entry& entry, BackendId id);
  void unindexId(const std::string& key, BackendId id);
  /** Assigns a permanent secondary id to backends whose primary id an older backend uses. */
  void resolveIdCollision(BackendId id);

  void updateRoutes();
  void updateServices();
  void updateBackend(BackendId id, ConfigurationChanges& changes);

  /** @return the key of the oldest backend with a token id; nullptr if there is none. */
  const std::string* oldestOf(BackendId id) const;
  /** @return that backend; others with the same id get no flows. */
  const Entry* ownerOf(BackendId id);
  void reportIdCollision(const Entry& other, const Entry& owner, const char* outcome);
  ServiceId serviceIdOf(const std::string& name);
  ZoneId zoneIdOf(const std::string& name);
  bool isOutOfService(const std::string& zone) const;
  std::vector<ZoneId> zonesInService() const;
  Backend makeBackend(const Entry& entry);
  /** @return limit of new flows per second for a cold backend of the service; 0 for none. */
  double coldFlowsPerSecond(const std::string& service) const;
  Route makeRoute(const RouteRecord& record);

  /** @return true if a configuration has named the service, or no configuration is known yet. */
  bool isConfigured(const std::string& service) const {
    return !has_routes_ || configured_services_.contains(service);
  }

  const Duration retired_ttl_;
  const TimeSource& time_source_;
  EventLog& log_;
  std::map<std::string, Entry> backends_;
  /** Keys of the backends with a token id; more than one only after a collision. */
  KeysById keys_by_id_;
  /** Keys of backends whose record is missing. */
  std::set<std::string> missing_;
  /** Names of the zones that are out of service, by item key. */
  std::map<std::string, std::string> zones_out_of_service_;
  RouteTable routes_;
  bool has_routes_ = false;
  /**
   * Services that any configuration so far has named. Only their backends are used. A service that
   * is no longer named stays in the set, so that its backends keep their open flows.
   */
  std::set<std::string> configured_services_;
  std::map<std::string, ServiceId> service_ids_;
  std::map<std::string, ZoneId> zone_ids_;
  std::set<std::uint64_t> reported_collisions_;
  bool logs_backends_ = true;
  bool is_batch_ = false;
  /** States that have changed in this batch, each as "name=state". */
  std::vector<std::string> batch_states_;
  Revision batch_revision_ = 0;
  /** Changes since the last update. */
  std::unordered_set<BackendId> changed_ids_;
  std::unordered_set<BackendId> restarted_ids_;
  bool routes_changed_ = false;
  bool services_changed_ = false;
  std::shared_ptr<LiveConfiguration> configuration_ = std::make_shared<LiveConfiguration>();
  BackendRegistryCounters counters_;
};

}  // namespace lugfork
