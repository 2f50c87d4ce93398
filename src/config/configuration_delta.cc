#include "config/configuration_delta.h"

#include <xxhash.h>

#include <algorithm>
#include <map>
#include <unordered_set>

#include "wire/message_codec.h"

namespace lugfork {

namespace {

constexpr std::size_t kKeyBytes = 8;

template <typename Resource>
std::optional<ResourceRecord> encodeIfPresent(ResourceKey key, const Resource* resource) {
  if (resource == nullptr) {
    return std::nullopt;
  }
  return ResourceRecord{key, message_codec::encodeStruct(*resource)};
}

template <typename Resource>
void appendKeys(std::vector<ResourceKey>& keys, ResourceKind kind,
                const std::vector<Resource>& resources) {
  for (const Resource& resource : resources) {
    keys.push_back({kind, resource.id.value()});
  }
}

template <typename Resource>
bool idLess(const Resource& left, const Resource& right) {
  return left.id < right.id;
}

template <typename Resource>
void sortById(std::vector<Resource>& resources) {
  if (!std::is_sorted(resources.begin(), resources.end(), idLess<Resource>)) {
    std::sort(resources.begin(), resources.end(), idLess<Resource>);
  }
}

/** Inserts the encoded resource into the sorted list or replaces the one with the same id. */
template <typename Resource>
bool putResource(std::vector<Resource>& resources, const ResourceRecord& record) {
  Resource resource;
  if (!message_codec::decodeStruct(record.body, resource) || resource.id.value() != record.key.id) {
    return false;
  }
  const auto position =
      std::lower_bound(resources.begin(), resources.end(), resource, idLess<Resource>);
  if (position != resources.end() && position->id == resource.id) {
    *position = std::move(resource);
  } else {
    resources.insert(position, std::move(resource));
  }
  return true;
}

bool putRecord(Configuration& configuration, const ResourceRecord& record) {
  switch (record.key.kind) {
    case ResourceKind::System:
      configuration.system.assign(record.body.begin(), record.body.end());
      return true;
    case ResourceKind::Zone:
      return putResource(configuration.zones, record);
    case ResourceKind::Service:
      return putResource(configuration.services, record);
    case ResourceKind::Backend:
      return putResource(configuration.backends, record);
    case ResourceKind::TokenKey:
      return putResource(configuration.keys, record);
  }
  return false;
}

template <typename Resource>
void removeResource(std::vector<Resource>& resources, std::uint32_t id) {
  std::erase_if(resources, [id](const Resource& resource) { return resource.id.value() == id; });
}

void removeRecord(Configuration& configuration, ResourceKey key) {
  switch (key.kind) {
    case ResourceKind::System:
      return;
    case ResourceKind::Zone:
      return removeResource(configuration.zones, key.id);
    case ResourceKind::Service:
      return removeResource(configuration.services, key.id);
    case ResourceKind::Backend:
      return removeResource(configuration.backends, key.id);
    case ResourceKind::TokenKey:
      return removeResource(configuration.keys, key.id);
  }
}

/** Collects the values of one field and reports duplicates. */
template <typename Value>
class UniqueField {
 public:
  UniqueField(DocumentProblems& problems, const char* path) : problems_(problems), path_(path) {}

  void add(const Value& value) {
    if (!seen_.insert(value).second) {
      problems_.push_back({path_, "is used by another resource of this kind"});
    }
  }

 private:
  DocumentProblems& problems_;
  const char* path_;
  std::unordered_set<Value> seen_;
};

void require(DocumentProblems& problems, bool condition, const char* path, const char* message) {
  if (!condition) {
    problems.push_back({path, message});
  }
}

void checkZones(const Configuration& configuration, DocumentProblems& problems) {
  UniqueField<ZoneId> ids(problems, "/zones/id");
  UniqueField<std::string> names(problems, "/zones/name");
  require(problems, !configuration.zones.empty(), "/zones", "must not be empty");
  for (const Zone& zone : configuration.zones) {
    ids.add(zone.id);
    names.add(zone.name);
    require(problems, !zone.name.empty() && !zone.region.empty() && zone.id.value() != 0, "/zones",
            "must have an id, a name and a region");
  }
}

void checkServices(const Configuration& configuration,
                   const std::unordered_set<ZoneId>& known_zones, DocumentProblems& problems) {
  UniqueField<ServiceId> ids(problems, "/services/id");
  UniqueField<std::string> names(problems, "/services/name");
  UniqueField<Endpoint> addresses(problems, "/services/address");
  for (const Service& service : configuration.services) {
    ids.add(service.id);
    names.add(service.name);
    addresses.add(service.address);
    require(problems, service.id.value() != 0 && !service.name.empty(), "/services",
            "must have an id and a name");
    require(problems, service.address.isSet() && service.address.address != 0, "/services/address",
            "must be an IPv4 address and a port");
    require(problems, !service.allowed_zones.empty(), "/services/allowed_zones",
            "must not be empty");
    for (const ZoneId zone : service.allowed_zones) {
      require(problems, known_zones.contains(zone), "/services/allowed_zones",
              "names no declared zone");
    }
  }
}

void checkBackends(const Configuration& configuration,
                   const std::unordered_set<ZoneId>& known_zones, DocumentProblems& problems) {
  UniqueField<BackendId> ids(problems, "/backends/id");
  UniqueField<std::string> names(problems, "/backends/name");
  UniqueField<Endpoint> addresses(problems, "/backends/address");
  std::unordered_set<ServiceId> known_services;
  for (const Service& service : configuration.services) {
    known_services.insert(service.id);
  }
  for (const Backend& backend : configuration.backends) {
    ids.add(backend.id);
    names.add(backend.name);
    addresses.add(backend.address);
    require(problems, backend.id.value() != 0 && !backend.name.empty(), "/backends",
            "must have an id and a name");
    require(problems, known_services.contains(backend.service), "/backends/service",
            "names no declared service");
    require(problems, known_zones.contains(backend.zone), "/backends/zone",
            "names no declared zone");
    require(problems, backend.address.isSet() && backend.probe_address.isSet(), "/backends",
            "must have an address and a probe address");
    require(problems, backend.slots > 0 && backend.connections > 0, "/backends",
            "must have slots and connections");
  }
}

void checkKeys(const Configuration& configuration, DocumentProblems& problems) {
  UniqueField<KeyId> ids(problems, "/keys/id");
  for (const TokenKey& key : configuration.keys) {
    ids.add(key.id);
    require(problems, key.id.value() != 0, "/keys/id", "must not be 0");
  }
  const auto sealing = std::count_if(configuration.keys.begin(), configuration.keys.end(),
                                     [](const TokenKey& key) { return key.seals; });
  require(problems, sealing == 1, "/keys", "exactly one key must have \"seals\": true");
}

}  // namespace

std::optional<ResourceRecord> encodeResource(const ConfigurationView& view, ResourceKey key) {
  const auto short_id = static_cast<std::uint16_t>(key.id);
  switch (key.kind) {
    case ResourceKind::System: {
      const std::string& system = view.document().system;
      return ResourceRecord{key, Bytes(system.begin(), system.end())};
    }
    case ResourceKind::Zone:
      return encodeIfPresent(key, view.zone(ZoneId(short_id)));
    case ResourceKind::Service:
      return encodeIfPresent(key, view.service(ServiceId(key.id)));
    case ResourceKind::Backend:
      return encodeIfPresent(key, view.backend(BackendId(key.id)));
    case ResourceKind::TokenKey:
      return encodeIfPresent(key, view.key(KeyId(short_id)));
  }
  return std::nullopt;
}

std::vector<ResourceKey> resourceKeys(const Configuration& configuration) {
  std::vector<ResourceKey> keys{{ResourceKind::System, 0}};
  appendKeys(keys, ResourceKind::Zone, configuration.zones);
  appendKeys(keys, ResourceKind::Service, configuration.services);
  appendKeys(keys, ResourceKind::Backend, configuration.backends);
  appendKeys(keys, ResourceKind::TokenKey, configuration.keys);
  return keys;
}

std::vector<ResourceRecord> encodeResources(const ConfigurationView& view) {
  std::vector<ResourceRecord> records;
  for (const ResourceKey key : resourceKeys(view.document())) {
    records.push_back(*encodeResource(view, key));
  }
  return records;
}

std::uint64_t resourceDigest(const ResourceRecord& record) {
  const std::uint64_t seed = (static_cast<std::uint64_t>(record.key.kind) << 32) | record.key.id;
  return XXH64(record.body.data(), record.body.size(), seed);
}

std::uint64_t configurationDigest(const ConfigurationView& view) {
  std::uint64_t digest = 0;
  for (const ResourceKey key : resourceKeys(view.document())) {
    digest += resourceDigest(*encodeResource(view, key));
  }
  return digest;
}

ConfigurationDelta makeDelta(const ConfigurationView* from, ConfigurationId from_id,
                             const ConfigurationView& to, ConfigurationId to_id) {
  ConfigurationDelta delta{from_id, to_id, {}, {}};
  for (ResourceRecord& record : encodeResources(to)) {
    const auto old = from == nullptr ? std::nullopt : encodeResource(*from, record.key);
    if (!old || old->body != record.body) {
      delta.changed.push_back(std::move(record));
    }
  }
  if (from == nullptr) {
    return delta;
  }
  for (const ResourceKey key : resourceKeys(from->document())) {
    if (!encodeResource(to, key)) {
      delta.removed.push_back(key);
    }
  }
  return delta;
}

ConfigurationDelta mergeDeltas(const ConfigurationDelta& first, const ConfigurationDelta& second) {
  // For each resource the later delta that contains it takes precedence.
  std::map<ResourceKey, std::optional<ResourceRecord>> last;
  for (const ConfigurationDelta* delta : {&first, &second}) {
    for (const ResourceRecord& record : delta->changed) {
      last[record.key] = record;
    }
    for (const ResourceKey key : delta->removed) {
      last[key] = std::nullopt;
    }
  }
  ConfigurationDelta merged{first.from, second.to, {}, {}};
  for (auto& [key, record] : last) {
    if (record) {
      merged.changed.push_back(std::move(*record));
    } else {
      merged.removed.push_back(key);
    }
  }
  return merged;
}

std::size_t estimatedBytes(const ConfigurationDelta& delta) {
  std::size_t bytes = 64 + delta.removed.size() * kKeyBytes;
  for (const ResourceRecord& record : delta.changed) {
    bytes += kKeyBytes + 4 + record.body.size();
  }
  return bytes;
}

Result<Configuration, DocumentProblems> applyDelta(const ConfigurationView* base,
                                                   std::uint64_t base_digest,
                                                   const ConfigurationDelta& delta) {
  Configuration result = base == nullptr ? Configuration() : base->document();
  std::uint64_t digest = base_digest;
  const auto subtract_old_digest = [&](ResourceKey key) {
    const auto old = base == nullptr ? std::nullopt : encodeResource(*base, key);
    digest -= old ? resourceDigest(*old) : 0;
  };
  for (const ResourceKey key : delta.removed) {
    subtract_old_digest(key);
    removeRecord(result, key);
  }
  for (const ResourceRecord& record : delta.changed) {
    subtract_old_digest(record.key);
    digest += resourceDigest(record);
    if (!putRecord(result, record)) {
      return DocumentProblems{{"", "cannot decode a resource of the delta"}};
    }
  }
  if (digest != delta.to.digest) {
    return DocumentProblems{{"", "digest of the result differs from the digest in the delta"}};
  }
  result.version = delta.to.version;
  DocumentProblems problems = checkConfiguration(result);
  if (!problems.empty()) {
    return problems;
  }
  return result;
}

void sortResources(Configuration& configuration) {
  sortById(configuration.zones);
  sortById(configuration.services);
  sortById(configuration.backends);
  sortById(configuration.keys);
}

DocumentProblems checkConfiguration(const Configuration& configuration) {
  DocumentProblems problems;
  require(problems, configuration.version.value() != 0, "/version", "must be 1 or more");
  require(problems, !configuration.system.empty(), "/system", "must not be empty");
  std::unordered_set<ZoneId> known_zones;
  for (const Zone& zone : configuration.zones) {
    known_zones.insert(zone.id);
  }
  checkZones(configuration, problems);
  checkServices(configuration, known_zones, problems);
  checkBackends(configuration, known_zones, problems);
  checkKeys(configuration, problems);
  return problems;
}

}  // namespace lugfork
