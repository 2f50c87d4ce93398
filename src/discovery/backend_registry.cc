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
/** Backends per line of a snapshot; gives lines of about 1 kB. */
constexpr std::size_t kBackendsPerLine = 40;

const char* nameOf(BackendState state) {
  return state == BackendState::Ready ? "ready" : "draining";
}

std::string stateText(const std::string& name, const char* state) {
  return name + "=" + state;
}

/** @return the texts joined by spaces, kBackendsPerLine to a line. */
std::vector<std::string> linesOf(const std::vector<std::string>& texts) {
  std::vector<std::string> lines;
  for (std::size_t index = 0; index < texts.size(); ++index) {
    if (index % kBackendsPerLine == 0) {
      lines.emplace_back();
    } else {
      lines.back() += ' ';
    }
    lines.back() += texts[index];
  }
  return lines;
}

/** @return the id of a name; ids are assigned in the order of first use. */
template <typename Id>
Id internedId(std::map<std::string, Id>& ids, const std::string& name) {
  using Value = decltype(Id().value());
  const auto next = static_cast<Value>(ids.size() + kFirstId);
  return ids.try_emplace(name, Id(next)).first->second;
}

}  // namespace

BackendRegistry::BackendRegistry(Duration retired_ttl, const TimeSource& time_source, EventLog& log)
    : retired_ttl_(retired_ttl), time_source_(time_source), log_(log) {}

void BackendRegistry::onBackend(const std::string& key, const BackendRecord& record,
                                Revision revision, Revision created) {
  // The first view arrives sorted by key, so that appending avoids a lookup in the map.
  const bool is_last = backends_.empty() || std::prev(backends_.end())->first < key;
  Entry& entry = is_last ? backends_.try_emplace(backends_.end(), key)->second : backends_[key];
  const bool is_new = entry.revision == 0;
  if (!is_new && isOfEarlierIncarnation(entry, record)) {
    log_.write(LogLevel::Warn, "discovery", "record_of_earlier_run",
               {{"backend", record.name},
                {"started_ms", record.started_ms},
                {"known_started_ms", entry.record.started_ms},
                {"revision", revision}});
    return;
  }
  const bool state_changed = is_new || entry.retired || entry.record.state != record.state ||
                             entry.record.address != record.address;
  if (!is_new) {
    detectRestart(entry, record, revision);
  }
  const std::uint64_t known_started_ms = entry.record.started_ms;
  entry.record = record;
  if (record.started_ms == 0) {
    // The record comes from a balancer version without start times.
    entry.record.started_ms = known_started_ms;
  }
  entry.revision = revision;
  entry.created = created;
  if (is_new) {
    setId(key, entry);
  }
  entry.cold_until = time_source_.monotonicTime() + milliseconds(record.warmup_left_ms);
  entry.retired = false;
  entry.missing_at = 0;
  missing_.erase(key);
  markChanged(entry);
  if (isConfigured(record.service)) {
    retireMissingAt(record.address);
  }
  if (state_changed && logs_backends_ && !collectState(entry, nameOf(record.state), revision)) {
    log_.write(LogLevel::Info, "discovery", "backend_state",
               {{"backend", record.name},
                {"backend_id", entry.id.value()},
                {"service", record.service},
                {"address", toString(record.address)},
                {"backend_zone", record.zone},
                {"state", nameOf(record.state)},
                {"revision", revision}});
  }
}

bool BackendRegistry::isOfEarlierIncarnation(const Entry& entry,
                                             const BackendRecord& record) const {
  return record.started_ms != 0 && record.started_ms < entry.record.started_ms;
}

void BackendRegistry::detectRestart(const Entry& entry, const BackendRecord& record,
                                    Revision revision) {
  const std::uint64_t previous_started_ms = entry.record.started_ms;
  if (previous_started_ms == 0 || record.started_ms <= previous_started_ms) {
    return;
  }
  restarted_ids_.insert(entry.id);
  log_.write(LogLevel::Info, "discovery", "backend_restarted",
             {{"backend", record.name},
              {"backend_id", entry.id.value()},
              {"started_ms", record.started_ms},
              {"started_before_ms", previous_started_ms},
              {"revision", revision}});
}

void BackendRegistry::onBackendUnreadable(const std::string& key, Revision revision) {
  const auto found = backends_.find(key);
  if (found == backends_.end() || found->second.retired) {
    return;
  }
  missing_.erase(key);
  retire(found->second, revision, "unreadable");
}

void BackendRegistry::onBackendDeleted(const std::string& key, Revision revision) {
  const auto found = backends_.find(key);
  if (found == backends_.end() || found->second.retired) {
    return;
  }
  missing_.erase(key);
  retire(found->second, revision);
}

void BackendRegistry::onBackendMissing(const std::string& key, Revision revision) {
  const auto found = backends_.find(key);
  if (found == backends_.end() || found->second.retired) {
    return;
  }
  Entry& entry = found->second;
  entry.missing_at = revision;
  missing_.insert(key);
  log_.write(LogLevel::Info, "discovery", "backend_missing",
             {{"backend", entry.record.name},
              {"backend_id", entry.id.value()},
              {"state", nameOf(entry.record.state)},
              {"revision", revision}});
}

bool BackendRegistry::retireMissing() {
  const std::set<std::string> keys = std::exchange(missing_, {});
  for (const std::string& key : keys) {
    Entry& entry = backends_.at(key);
    retire(entry, entry.missing_at);
  }
  return !keys.empty();
}

void BackendRegistry::retireMissingAt(Endpoint address) {
  std::erase_if(missing_, [&](const std::string& key) {
    Entry& entry = backends_.at(key);
    const bool is_replaced = entry.record.address == address;
    if (is_replaced) {
      retire(entry, entry.missing_at);
    }
    return is_replaced;
  });
}

void BackendRegistry::setId(const std::string& key, Entry& entry) {
  const BackendId id = backendIdOfServer(entry.record.server_id);
  indexId(key, entry, id);
  if (keys_by_id_[id].size() > 1) {
    resolveIdCollision(id);
  }
}

void BackendRegistry::indexId(const std::string& key, Entry& entry, BackendId id) {
  entry.id = id;
  keys_by_id_[id].push_back(&backends_.find(key)->first);
}

void BackendRegistry::resolveIdCollision(BackendId id) {
  const std::string* oldest = oldestOf(id);
  const std::vector<const std::string*> keys = keys_by_id_[id];
  for (const std::string* key : keys) {
    Entry& entry = backends_.at(*key);
    const BackendId second = secondaryBackendIdOfServer(entry.record.server_id);
    const bool may_move = key != oldest && entry.id != second;
    if (may_move && !keys_by_id_.contains(second)) {
      reportIdCollision(entry, backends_.at(*oldest), "uses its secondary id");
      unindexId(*key, id);
      indexId(*key, entry, second);
      markChanged(entry);
    }
  }
}

void BackendRegistry::unindexId(const std::string& key, BackendId id) {
  const auto found = keys_by_id_.find(id);
  if (found == keys_by_id_.end()) {
    return;
  }
  changed_ids_.insert(id);
  std::erase_if(found->second, [&](const std::string* other) { return *other == key; });
  if (found->second.empty()) {
    keys_by_id_.erase(found);
  }
}

void BackendRegistry::markColdBackendsChanged() {
  for (const auto& [key, entry] : backends_) {
    if (entry.record.warmup_left_ms > 0) {
      markChanged(entry);
    }
  }
}

void BackendRegistry::retire(Entry& entry, Revision revision, const char* state) {
  entry.retired = true;
  entry.retired_at = time_source_.monotonicTime();
  entry.missing_at = 0;
  markChanged(entry);
  if (collectState(entry, state, revision)) {
    return;
  }
  log_.write(LogLevel::Info, "discovery", "backend_state",
             {{"backend", entry.record.name},
              {"backend_id", entry.id.value()},
              {"service", entry.record.service},
              {"address", toString(entry.record.address)},
              {"state", state},
              {"state_before", nameOf(entry.record.state)},
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
    markColdBackendsChanged();
  }
  routes_ = std::move(table);
  has_routes_ = true;
  routes_changed_ = true;
  addConfiguredServices();
}

void BackendRegistry::addConfiguredServices() {
  const std::size_t known_before = configured_services_.size();
  for (const ServiceWarmup& service : routes_.warmups) {
    configured_services_.insert(service.service);
  }
  for (const RouteRecord& route : routes_.routes) {
    for (const WeightedService& target : route.services) {
      configured_services_.insert(target.service);
    }
  }
  if (configured_services_.size() != known_before) {
    for (const auto& [key, entry] : backends_) {
      markChanged(entry);
    }
  }
}

void BackendRegistry::onZoneOutOfService(const std::string& key, const ZoneOutOfService& record,
                                         Revision revision) {
  services_changed_ = true;
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
  services_changed_ = true;
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
  for (const auto& [key, entry] : backends_) {
    if (entry.retired) {
      ++summary.retired;
    } else if (entry.record.state == BackendState::Draining) {
      ++summary.draining;
    } else {
      ++summary.ready;
    }
    summary.digest ^= XXH3_64bits_withSeed(key.data(), key.size(), entry.revision);
  }
  return summary;
}

std::vector<std::string> BackendRegistry::snapshotLines() const {
  std::vector<std::string> states;
  states.reserve(backends_.size());
  for (const auto& [key, entry] : backends_) {
    states.push_back(stateText(entry.record.name, nameOf(entry.record.state)));
  }
  return linesOf(states);
}

bool BackendRegistry::collectState(const Entry& entry, const char* state, Revision revision) {
  if (!is_batch_) {
    return false;
  }
  batch_states_.push_back(stateText(entry.record.name, state));
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

bool BackendRegistry::pruneRetired() {
  const MonotonicTime now = time_source_.monotonicTime();
  const auto is_expired = [&](const auto& element) {
    const auto& [key, entry] = element;
    const bool expired = entry.retired && now - entry.retired_at > retired_ttl_;
    if (expired) {
      unindexId(key, entry.id);
    }
    return expired;
  };
  return std::erase_if(backends_, is_expired) > 0;
}

ConfigurationChanges BackendRegistry::updateConfiguration() {
  ConfigurationChanges changes;
  const auto restarted = std::exchange(restarted_ids_, {});
  changes.restarted.assign(restarted.begin(), restarted.end());
  configuration_->setVersion(ConfigVersion(++counters_.updates));
  for (const BackendId id : std::exchange(changed_ids_, {})) {
    updateBackend(id, changes);
  }
  // Routes and backends may have added services and zones; update these last.
  changes.routes = std::exchange(routes_changed_, false);
  if (changes.routes) {
    updateRoutes();
  }
  changes.services = std::exchange(services_changed_, false);
  if (changes.services) {
    updateServices();
  }
  return changes;
}

void BackendRegistry::updateBackend(BackendId id, ConfigurationChanges& changes) {
  const Entry* owner = ownerOf(id);
  if (owner != nullptr && isConfigured(owner->record.service)) {
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
  // No fallback of placement overrides a service's allowed zones: a zone that is out of service
  // gets no new flows even if all other backends are silent or full.
  const std::vector<ZoneId> in_service = zonesInService();
  std::vector<Service> services;
  for (const auto& [name, id] : service_ids_) {
    services.push_back({id, name, Endpoint(), in_service});
    ++counters_.services_built;
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
    const Revision left_created = backends_.at(*left).created;
    const Revision right_created = backends_.at(*right).created;
    return left_created == right_created ? *left < *right : left_created < right_created;
  };
  return *std::min_element(keys->second.begin(), keys->second.end(), is_older);
}

const BackendRegistry::Entry* BackendRegistry::ownerOf(BackendId id) {
  const std::string* oldest = oldestOf(id);
  if (oldest == nullptr) {
    return nullptr;
  }
  const Entry& owner = backends_.at(*oldest);
  for (const std::string* key : keys_by_id_.at(id)) {
    if (key != oldest) {
      reportIdCollision(backends_.at(*key), owner, "gets no flows");
    }
  }
  return &owner;
}

void BackendRegistry::reportIdCollision(const Entry& other, const Entry& owner,
                                        const char* outcome) {
  if (reported_collisions_.insert(other.record.server_id).second) {
    log_.write(
        LogLevel::Warn, "discovery", "backend_id_clash",
        {{"backend", other.record.name}, {"owner", owner.record.name}, {"outcome", outcome}});
  }
}

ServiceId BackendRegistry::serviceIdOf(const std::string& name) {
  const std::size_t known = service_ids_.size();
  const ServiceId id = internedId(service_ids_, name);
  services_changed_ = services_changed_ || service_ids_.size() != known;
  return id;
}

ZoneId BackendRegistry::zoneIdOf(const std::string& name) {
  const std::size_t known = zone_ids_.size();
  const ZoneId id = internedId(zone_ids_, name);
  services_changed_ = services_changed_ || zone_ids_.size() != known;
  return id;
}

Backend BackendRegistry::makeBackend(const Entry& entry) {
  ++counters_.backends_built;
  const BackendRecord& record = entry.record;
  Backend backend;
  backend.id = entry.id;
  backend.name = record.name;
  backend.service = serviceIdOf(record.service);
  backend.zone = zoneIdOf(record.zone);
  backend.address = record.address;
  backend.slots = std::max(record.slots, 1U);
  backend.connections = 1;
  backend.draining = record.state == BackendState::Draining;
  backend.retired = entry.retired;
  backend.server_id = record.server_id;
  if (record.warmup_left_ms > 0) {
    backend.cold_until = entry.cold_until;
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
  ++counters_.routes_built;
  Route route;
  route.address = record.address;
  route.bulk = record.bulk;
  route.request_class = {record.priority, milliseconds(record.target_ms),
                         milliseconds(record.timeout_ms)};
  for (const WeightedService& target : record.services) {
    route.targets.push_back({serviceIdOf(target.service), target.weight});
  }
  return route;
}

}  // namespace lugfork
