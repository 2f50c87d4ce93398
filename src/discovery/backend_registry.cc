#include "discovery/backend_registry.h"

#include <xxhash.h>

#include <algorithm>
#include <iterator>
#include <utility>

#include "flow/compact_token.h"

namespace lugfork {

namespace {

constexpr std::uint32_t kFirstId = 1;
constexpr double kSecondsInMinute = 60;
/** Servers in a line of a snapshot: about a kilobyte. */
constexpr std::size_t kServersInLine = 40;

const char* nameOf(ServerState state) {
  return state == ServerState::Ready ? "ready" : "draining";
}

std::string stateText(const std::string& name, const char* state) {
  return name + "=" + state;
}

/** @return the texts with a blank between them, a few dozen to a line. */
std::vector<std::string> linesOf(const std::vector<std::string>& texts) {
  std::vector<std::string> lines;
  for (std::size_t index = 0; index < texts.size(); ++index) {
    if (index % kServersInLine == 0) {
      lines.emplace_back();
    } else {
      lines.back() += ' ';
    }
    lines.back() += texts[index];
  }
  return lines;
}

/** @return the id of a name; names get ids in the order in which they are first met. */
template <typename Id>
Id internedId(std::map<std::string, Id>& ids, const std::string& name) {
  using Value = decltype(Id().value());
  const auto next = static_cast<Value>(ids.size() + kFirstId);
  return ids.try_emplace(name, Id(next)).first->second;
}

}  // namespace

BackendRegistry::BackendRegistry(Duration retired_for, const TimeSource& time_source, EventLog& log)
    : retired_for_(retired_for), time_source_(time_source), log_(log) {}

void BackendRegistry::onServer(const std::string& key, const ServerRecord& record,
                               Revision revision, Revision created) {
  // A first view comes in the order of the keys: appending spares the search in the map.
  const bool comes_last = servers_.empty() || std::prev(servers_.end())->first < key;
  Server& server = comes_last ? servers_.try_emplace(servers_.end(), key)->second : servers_[key];
  const bool is_new = server.revision == 0;
  if (!is_new && isOfEarlierRun(server, record)) {
    log_.write(LogLevel::Warn, "discovery", "record_of_earlier_run",
               {{"backend", record.name},
                {"started_ms", record.started_ms},
                {"known_started_ms", server.record.started_ms},
                {"revision", revision}});
    return;
  }
  const bool state_changed = is_new || server.retired || server.record.state != record.state ||
                             server.record.address != record.address;
  if (!is_new) {
    noteRestart(server, record, revision);
  }
  const std::uint64_t known_start = server.record.started_ms;
  server.record = record;
  if (record.started_ms == 0) {
    // Told by a balancer that does not know of starts.
    server.record.started_ms = known_start;
  }
  server.revision = revision;
  server.created = created;
  if (is_new) {
    setId(key, server);
  }
  server.cold_until = time_source_.monotonicTime() + milliseconds(record.warmup_left_ms);
  server.retired = false;
  server.missing_since = 0;
  missing_.erase(key);
  touch(server);
  if (isNamed(record.service)) {
    retireMissingAt(record.address);
  }
  if (state_changed && logs_servers_ && !collectState(server, nameOf(record.state), revision)) {
    log_.write(LogLevel::Info, "discovery", "backend_state",
               {{"backend", record.name},
                {"backend_id", server.id.value()},
                {"service", record.service},
                {"address", toString(record.address)},
                {"backend_zone", record.zone},
                {"state", nameOf(record.state)},
                {"revision", revision}});
  }
}

bool BackendRegistry::isOfEarlierRun(const Server& server, const ServerRecord& record) const {
  return record.started_ms != 0 && record.started_ms < server.record.started_ms;
}

void BackendRegistry::noteRestart(const Server& server, const ServerRecord& record,
                                  Revision revision) {
  const std::uint64_t started_before = server.record.started_ms;
  if (started_before == 0 || record.started_ms <= started_before) {
    return;
  }
  restarted_.insert(server.id);
  log_.write(LogLevel::Info, "discovery", "backend_restarted",
             {{"backend", record.name},
              {"backend_id", server.id.value()},
              {"started_ms", record.started_ms},
              {"started_before_ms", started_before},
              {"revision", revision}});
}

void BackendRegistry::onServerUnreadable(const std::string& key, Revision revision) {
  const auto found = servers_.find(key);
  if (found == servers_.end() || found->second.retired) {
    return;
  }
  missing_.erase(key);
  retire(found->second, revision, "unreadable");
}

void BackendRegistry::onServerGone(const std::string& key, Revision revision) {
  const auto found = servers_.find(key);
  if (found == servers_.end() || found->second.retired) {
    return;
  }
  missing_.erase(key);
  retire(found->second, revision);
}

void BackendRegistry::onServerMissing(const std::string& key, Revision revision) {
  const auto found = servers_.find(key);
  if (found == servers_.end() || found->second.retired) {
    return;
  }
  Server& server = found->second;
  server.missing_since = revision;
  missing_.insert(key);
  log_.write(LogLevel::Info, "discovery", "backend_missing",
             {{"backend", server.record.name},
              {"backend_id", server.id.value()},
              {"state", nameOf(server.record.state)},
              {"revision", revision}});
}

bool BackendRegistry::retireMissing() {
  const std::set<std::string> keys = std::exchange(missing_, {});
  for (const std::string& key : keys) {
    Server& server = servers_.at(key);
    retire(server, server.missing_since);
  }
  return !keys.empty();
}

void BackendRegistry::retireMissingAt(Endpoint address) {
  std::erase_if(missing_, [&](const std::string& key) {
    Server& server = servers_.at(key);
    const bool is_replaced = server.record.address == address;
    if (is_replaced) {
      retire(server, server.missing_since);
    }
    return is_replaced;
  });
}

void BackendRegistry::setId(const std::string& key, Server& server) {
  const BackendId id = backendIdOfServer(server.record.server_id);
  indexId(key, server, id);
  if (keys_by_id_[id].size() > 1) {
    resolveClash(id);
  }
}

void BackendRegistry::indexId(const std::string& key, Server& server, BackendId id) {
  server.id = id;
  keys_by_id_[id].push_back(&servers_.find(key)->first);
}

void BackendRegistry::resolveClash(BackendId id) {
  const std::string* oldest = oldestOf(id);
  const std::vector<const std::string*> keys = keys_by_id_[id];
  for (const std::string* key : keys) {
    Server& server = servers_.at(*key);
    const BackendId second = secondBackendIdOfServer(server.record.server_id);
    const bool may_move = key != oldest && server.id != second;
    if (may_move && !keys_by_id_.contains(second)) {
      reportClash(server, servers_.at(*oldest), "goes by its second id");
      forgetId(*key, id);
      indexId(*key, server, second);
      touch(server);
    }
  }
}

void BackendRegistry::forgetId(const std::string& key, BackendId id) {
  const auto found = keys_by_id_.find(id);
  if (found == keys_by_id_.end()) {
    return;
  }
  touched_.insert(id);
  std::erase_if(found->second, [&](const std::string* other) { return *other == key; });
  if (found->second.empty()) {
    keys_by_id_.erase(found);
  }
}

void BackendRegistry::touchColdServers() {
  for (const auto& [key, server] : servers_) {
    if (server.record.warmup_left_ms > 0) {
      touch(server);
    }
  }
}

void BackendRegistry::retire(Server& server, Revision revision, const char* state) {
  server.retired = true;
  server.retired_at = time_source_.monotonicTime();
  server.missing_since = 0;
  touch(server);
  if (collectState(server, state, revision)) {
    return;
  }
  log_.write(LogLevel::Info, "discovery", "backend_state",
             {{"backend", server.record.name},
              {"backend_id", server.id.value()},
              {"service", server.record.service},
              {"address", toString(server.record.address)},
              {"state", state},
              {"state_before", nameOf(server.record.state)},
              {"revision", revision}});
}

void BackendRegistry::onRoutes(RouteTable table, Revision revision) {
  if (has_routes_ && table.version < routes_.version) {
    return;
  }
  log_.write(LogLevel::Info, "discovery", "routes_in_force",
             {{"version", table.version},
              {"version_before", routes_.version},
              {"routes", static_cast<std::uint64_t>(table.routes.size())},
              {"revision", revision}});
  if (table.warmups != routes_.warmups) {
    touchColdServers();
  }
  routes_ = std::move(table);
  has_routes_ = true;
  routes_touched_ = true;
  nameServices();
}

void BackendRegistry::nameServices() {
  const std::size_t known_before = named_services_.size();
  for (const ServiceWarmup& service : routes_.warmups) {
    named_services_.insert(service.service);
  }
  for (const RouteRecord& route : routes_.routes) {
    for (const RouteShare& share : route.shares) {
      named_services_.insert(share.service);
    }
  }
  if (named_services_.size() != known_before) {
    for (const auto& [key, server] : servers_) {
      touch(server);
    }
  }
}

void BackendRegistry::onZoneOutOfService(const std::string& key, const ZoneOutOfService& record,
                                         Revision revision) {
  services_touched_ = true;
  if (zones_out_of_service_.insert_or_assign(key, record.zone).second) {
    log_.write(LogLevel::Info, "discovery", "zone_out_of_service",
               {{"out_of_service", record.zone}, {"revision", revision}});
  }
}

bool BackendRegistry::onZoneBackInService(const std::string& key, Revision revision) {
  const auto found = zones_out_of_service_.extract(key);
  if (found.empty()) {
    return false;
  }
  services_touched_ = true;
  log_.write(LogLevel::Info, "discovery", "zone_back_in_service",
             {{"back_in_service", found.mapped()}, {"revision", revision}});
  return true;
}

bool BackendRegistry::isOutOfService(const std::string& zone) const {
  return std::any_of(zones_out_of_service_.begin(), zones_out_of_service_.end(),
                     [&](const auto& entry) { return entry.second == zone; });
}

BackendRegistry::Summary BackendRegistry::summary() const {
  Summary summary;
  for (const auto& [key, server] : servers_) {
    if (server.retired) {
      ++summary.retired;
    } else if (server.record.state == ServerState::Draining) {
      ++summary.draining;
    } else {
      ++summary.ready;
    }
    summary.digest ^= XXH3_64bits_withSeed(key.data(), key.size(), server.revision);
  }
  return summary;
}

std::vector<std::string> BackendRegistry::snapshotLines() const {
  std::vector<std::string> states;
  states.reserve(servers_.size());
  for (const auto& [key, server] : servers_) {
    states.push_back(stateText(server.record.name, nameOf(server.record.state)));
  }
  return linesOf(states);
}

bool BackendRegistry::collectState(const Server& server, const char* state, Revision revision) {
  if (!is_batch_) {
    return false;
  }
  batch_states_.push_back(stateText(server.record.name, state));
  batch_revision_ = std::max(batch_revision_, revision);
  return true;
}

void BackendRegistry::endBatch(BatchLog form) {
  is_batch_ = false;
  const std::vector<std::string> states = std::exchange(batch_states_, {});
  if (form == BatchLog::Digest) {
    log_.write(LogLevel::Info, "discovery", "backends_changed",
               {{"revision", batch_revision_},
                {"backends", static_cast<std::uint64_t>(states.size())},
                {"digest", summary().digest}});
    return;
  }
  for (const std::string& line : linesOf(states)) {
    log_.write(LogLevel::Info, "discovery", "backend_states",
               {{"revision", batch_revision_}, {"backends", line}});
  }
}

bool BackendRegistry::forgetRetired() {
  const MonotonicTime now = time_source_.monotonicTime();
  const auto is_over = [&](const auto& entry) {
    const auto& [key, server] = entry;
    const bool over = server.retired && now - server.retired_at > retired_for_;
    if (over) {
      forgetId(key, server.id);
    }
    return over;
  };
  return std::erase_if(servers_, is_over) > 0;
}

ConfigurationChanges BackendRegistry::updateConfiguration() {
  ConfigurationChanges changes;
  const auto restarted = std::exchange(restarted_, {});
  changes.restarted.assign(restarted.begin(), restarted.end());
  configuration_->setVersion(ConfigVersion(++counters_.updates));
  for (const BackendId id : std::exchange(touched_, {})) {
    updateBackend(id, changes);
  }
  // Routes and servers may have brought services and zones that were not known before.
  changes.routes = std::exchange(routes_touched_, false);
  if (changes.routes) {
    updateRoutes();
  }
  changes.services = std::exchange(services_touched_, false);
  if (changes.services) {
    updateServices();
  }
  return changes;
}

void BackendRegistry::updateBackend(BackendId id, ConfigurationChanges& changes) {
  const Server* owner = ownerOf(id);
  if (owner != nullptr && isNamed(owner->record.service)) {
    changes.backends.push_back(configuration_->put(makeBackend(*owner)));
    return;
  }
  auto removed = configuration_->extract(id);
  if (removed != nullptr) {
    changes.removed.push_back(std::move(removed));
  }
}

void BackendRegistry::updateRoutes() {
  std::vector<Route> routes;
  routes.reserve(routes_.routes.size());
  for (const RouteRecord& record : routes_.routes) {
    routes.push_back(makeRoute(record));
  }
  configuration_->setRoutes(std::move(routes));
}

void BackendRegistry::updateServices() {
  std::vector<Zone> zones;
  for (const auto& [name, id] : zone_ids_) {
    zones.push_back({id, name, ""});
  }
  // A service's allowed zones stand above every fallback of placement: one that is out of service
  // gets nothing new even where all other servers are silent or full.
  const std::vector<ZoneId> in_service = zonesInService();
  std::vector<Service> services;
  for (const auto& [name, id] : service_ids_) {
    services.push_back({id, name, Endpoint(), in_service});
    ++counters_.services_made;
  }
  configuration_->setServices(std::move(zones), std::move(services));
}

std::vector<ZoneId> BackendRegistry::zonesInService() const {
  std::vector<ZoneId> zones;
  for (const auto& [name, id] : zone_ids_) {
    if (!isOutOfService(name)) {
      zones.push_back(id);
    }
  }
  return zones;
}

const std::string* BackendRegistry::oldestOf(BackendId id) const {
  const auto keys = keys_by_id_.find(id);
  if (keys == keys_by_id_.end()) {
    return nullptr;
  }
  const auto is_older = [this](const std::string* left, const std::string* right) {
    const Revision left_created = servers_.at(*left).created;
    const Revision right_created = servers_.at(*right).created;
    return left_created == right_created ? *left < *right : left_created < right_created;
  };
  return *std::min_element(keys->second.begin(), keys->second.end(), is_older);
}

const BackendRegistry::Server* BackendRegistry::ownerOf(BackendId id) {
  const std::string* oldest = oldestOf(id);
  if (oldest == nullptr) {
    return nullptr;
  }
  const Server& owner = servers_.at(*oldest);
  for (const std::string* key : keys_by_id_.at(id)) {
    if (key != oldest) {
      reportClash(servers_.at(*key), owner, "gets no flows");
    }
  }
  return &owner;
}

void BackendRegistry::reportClash(const Server& other, const Server& owner, const char* outcome) {
  if (reported_clashes_.insert(other.record.server_id).second) {
    log_.write(
        LogLevel::Warn, "discovery", "backend_id_clash",
        {{"backend", other.record.name}, {"owner", owner.record.name}, {"outcome", outcome}});
  }
}

ServiceId BackendRegistry::serviceIdOf(const std::string& name) {
  const std::size_t known = service_ids_.size();
  const ServiceId id = internedId(service_ids_, name);
  services_touched_ = services_touched_ || service_ids_.size() != known;
  return id;
}

ZoneId BackendRegistry::zoneIdOf(const std::string& name) {
  const std::size_t known = zone_ids_.size();
  const ZoneId id = internedId(zone_ids_, name);
  services_touched_ = services_touched_ || zone_ids_.size() != known;
  return id;
}

Backend BackendRegistry::makeBackend(const Server& server) {
  ++counters_.backends_made;
  const ServerRecord& record = server.record;
  Backend backend;
  backend.id = server.id;
  backend.name = record.name;
  backend.service = serviceIdOf(record.service);
  backend.zone = zoneIdOf(record.zone);
  backend.address = record.address;
  backend.slots = std::max(record.slots, 1U);
  backend.connections = 1;
  backend.draining = record.state == ServerState::Draining;
  backend.retired = server.retired;
  backend.server_id = record.server_id;
  if (record.warmup_left_ms > 0) {
    backend.cold_until = server.cold_until;
    backend.cold_flows_per_second = coldFlowsPerSecond(record.service);
  }
  return backend;
}

double BackendRegistry::coldFlowsPerSecond(const std::string& service) const {
  const auto found =
      std::find_if(routes_.warmups.begin(), routes_.warmups.end(),
                   [&](const ServiceWarmup& warmup) { return warmup.service == service; });
  return found == routes_.warmups.end() ? 0 : found->flows_per_minute / kSecondsInMinute;
}

Route BackendRegistry::makeRoute(const RouteRecord& record) {
  ++counters_.routes_made;
  Route route;
  route.address = record.address;
  route.bulk = record.bulk;
  route.request_class = {record.priority, milliseconds(record.target_ms),
                         milliseconds(record.timeout_ms)};
  for (const RouteShare& share : record.shares) {
    route.targets.push_back({serviceIdOf(share.service), share.weight});
  }
  return route;
}

}  // namespace lugfork
