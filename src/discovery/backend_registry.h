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

/** Work that a BackendRegistry has done on its configuration. */
struct BackendRegistryCounters {
  std::uint64_t updates = 0;
  std::uint64_t backends_built = 0;
  std::uint64_t routes_built = 0;
  std::uint64_t services_built = 0;
};

/**
 * Servers: ready, draining, and those that are gone from the platform but may
 * still hold flows. Keeps the configuration that the data path decides by, and notes what must be
 * made anew in it: a change costs what has changed, however many servers there are.
 */
class BackendRegistry {
 public:
  /** @param retired_for time for which a server that is gone stays reachable for open flows. */
  BackendRegistry(Duration retired_for, const TimeSource& time_source, EventLog& log);

  /**
   * Takes a server's newest record. A later start under a known key begins another run: what was
   * seen of the server holds no longer. An earlier one is a write that came late, and is ignored.
   */
  void onBackend(const std::string& key, const BackendRecord& record, Revision revision,
                 Revision created);

  /** The server's record is gone from the platform. */
  void onBackendDeleted(const std::string& key, Revision revision);

  /**
   * The server's record can't be used, so that it names no server: the one that it named before
   * keeps its open flows and gets nothing new until a record can be used again.
   */
  void onBackendUnreadable(const std::string& key, Revision revision);

  /**
   * The server's record has vanished, perhaps only because the platform was away: the server goes
   * on as it is until it is written again, found gone, or retireMissing().
   */
  void onBackendMissing(const std::string& key, Revision revision);

  /** Takes servers that are still missing for gone. @return true if the configuration changes. */
  bool retireMissing();

  /** Takes the newest routes; an older version than the one in force is ignored. */
  void onRoutes(RouteTable table, Revision revision);

  /** Servers of the zone get no new flow until the item with that key is gone. */
  void onZoneOutOfService(const std::string& key, const ZoneOutOfService& record,
                          Revision revision);

  /** The item with that key is gone. @return true if it had taken a zone out of service. */
  bool onZoneBackInService(const std::string& key, Revision revision);

  std::size_t zonesOutOfService() const { return zones_out_of_service_.size(); }

  /**
   * While a first view is taken in, servers are not logged one by one; summary() and
   * snapshotLines() tell them all.
   */
  void setLogsBackends(bool logs) { logs_servers_ = logs; }

  /** Until endBatch() the states that change are collected, and not logged one by one. */
  void beginBatch() { is_batch_ = true; }

  /** How a batch is logged. */
  enum class BatchLog {
    /** All states, a few dozen servers to a line. */
    Lists,
    /** How many have changed, and the digest of the view that they lead to. */
    Digest,
  };
  void endBatch(BatchLog form);

  /** How many servers are known in which state. */
  struct Summary {
    std::uint64_t ready = 0;
    std::uint64_t draining = 0;
    std::uint64_t retired = 0;
    /** Hash over the servers' keys and revisions: equal views have equal digests. */
    std::uint64_t digest = 0;
  };
  Summary summary() const;

  /** @return all servers as "name=state", a few dozen to a line. */
  std::vector<std::string> snapshotLines() const;

  bool hasRoutes() const { return has_routes_; }
  std::uint64_t routesVersion() const { return routes_.version; }

  /** Forgets servers that have been gone for long. @return true if the configuration changes. */
  bool pruneRetired();

  /**
   * Brings the configuration up to date with all that is known. It counts as a new version each
   * time.
   * @return how it has changed.
   */
  ConfigurationChanges updateConfiguration();

  /** @return the configuration as of the last update; the same object at all times. */
  ConfigurationViewPtr configuration() const { return configuration_; }

  const BackendRegistryCounters& counters() const { return counters_; }

 private:
  struct Server {
    BackendRecord record;
    BackendId id;
    Revision revision = 0;
    Revision created = 0;
    /** Until then it is warming up, counted from when this balancer learnt of it. */
    MonotonicTime cold_until;
    bool retired = false;
    MonotonicTime retired_at;
    /** Its record has vanished, at this revision; 0 where it has not. */
    Revision missing_since = 0;
  };

  using ServersById = std::unordered_map<BackendId, std::vector<const std::string*>>;

  /** Takes missing servers at the address for gone: another server has it now. */
  void retireMissingAt(Endpoint address);
  void retire(Server& server, Revision revision, const char* state = "retired");
  /** @return true where the record is of an earlier run than the one that is known. */
  bool isOfEarlierRun(const Server& server, const BackendRecord& record) const;
  void noteRestart(const Server& server, const BackendRecord& record, Revision revision);
  void nameServices();
  /** @return true where the state is collected for the batch's lists. */
  bool collectState(const Server& server, const char* state, Revision revision);

  /** Notes that the back end with the server's id must be made anew. */
  void touch(const Server& server) { touched_.insert(server.id); }
  void touchColdServers();
  /** Chooses the id by which tokens name the server, and indexes the server by it. */
  void setId(const std::string& key, Server& server);
  void indexId(const std::string& key, Server& server, BackendId id);
  void forgetId(const std::string& key, BackendId id);
  /** Gives those that another server keeps from their id a second one, which they keep. */
  void resolveClash(BackendId id);

  void updateRoutes();
  void updateServices();
  void updateBackend(BackendId id, ConfigurationChanges& changes);

  /** @return the key of the oldest server with an id in tokens; nullptr where none has it. */
  const std::string* oldestOf(BackendId id) const;
  /** @return that server; others with the id get no flows. */
  const Server* ownerOf(BackendId id);
  void reportClash(const Server& other, const Server& owner, const char* outcome);
  ServiceId serviceIdOf(const std::string& name);
  ZoneId zoneIdOf(const std::string& name);
  bool isOutOfService(const std::string& zone) const;
  std::vector<ZoneId> zonesInService() const;
  Backend makeBackend(const Server& server);
  /** @return new flows a second that a cold server of the service bears; 0 for no limit. */
  double coldFlowsPerSecond(const std::string& service) const;
  Route makeRoute(const RouteRecord& record);

  /** @return true where a configuration has named the service, or none is known yet. */
  bool isNamed(const std::string& service) const {
    return !has_routes_ || named_services_.contains(service);
  }

  const Duration retired_for_;
  const TimeSource& time_source_;
  EventLog& log_;
  std::map<std::string, Server> servers_;
  /** Keys of the servers that have an id in tokens; nearly always one. */
  ServersById keys_by_id_;
  /** Keys of servers whose record has vanished. */
  std::set<std::string> missing_;
  /** Names of the zones that are out of service, by the keys of their items. */
  std::map<std::string, std::string> zones_out_of_service_;
  RouteTable routes_;
  bool has_routes_ = false;
  /**
   * Services that any configuration has named: only their servers are used. One that is named no
   * longer keeps its open flows.
   */
  std::set<std::string> named_services_;
  std::map<std::string, ServiceId> service_ids_;
  std::map<std::string, ZoneId> zone_ids_;
  std::set<std::uint64_t> reported_clashes_;
  bool logs_servers_ = true;
  bool is_batch_ = false;
  /** States that have changed in this batch, as "name=state". */
  std::vector<std::string> batch_states_;
  Revision batch_revision_ = 0;
  /** What has changed since the last update. */
  std::unordered_set<BackendId> touched_;
  std::unordered_set<BackendId> restarted_;
  bool routes_touched_ = false;
  bool services_touched_ = false;
  std::shared_ptr<LiveConfiguration> configuration_ = std::make_shared<LiveConfiguration>();
  BackendRegistryCounters counters_;
};

}  // namespace lugfork
