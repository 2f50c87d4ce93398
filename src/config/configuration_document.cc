#include "config/configuration_document.h"

#include <sodium.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>
#include <unordered_map>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validator.hpp>

#include "common/endpoint_parser.h"

namespace lugfork {

namespace {

using nlohmann::json;

/** Path of a resource in the document, for example "/backends/3/zone". */
std::string pathOf(const char* collection, std::size_t index, const char* field) {
  return std::string("/") + collection + "/" + std::to_string(index) + "/" + field;
}

std::unique_ptr<valijson::Schema> compileSchema() {
  auto schema = std::make_unique<valijson::Schema>();
  const json schema_json = json::parse(kConfigurationSchema);
  valijson::SchemaParser parser;
  parser.populateSchema(valijson::adapters::NlohmannJsonAdapter(schema_json), *schema);
  return schema;
}

const valijson::Schema& compiledSchema() {
  static const std::unique_ptr<valijson::Schema> kSchema = compileSchema();
  return *kSchema;
}

/** Converts the schema validator's context, such as "<root>[a][0]", to a JSON pointer. */
std::string pointerFromContext(const std::vector<std::string>& context) {
  std::string pointer;
  for (std::size_t index = 1; index < context.size(); ++index) {
    std::string part = context[index];
    part.erase(std::remove_if(part.begin(), part.end(),
                              [](char c) { return c == '[' || c == ']' || c == '"'; }),
               part.end());
    pointer += "/" + part;
  }
  return pointer;
}

DocumentProblems schemaProblems(const json& document) {
  valijson::Validator validator;
  valijson::ValidationResults results;
  const valijson::adapters::NlohmannJsonAdapter adapter(document);
  DocumentProblems problems;
  if (validator.validate(compiledSchema(), adapter, &results)) {
    return problems;
  }
  valijson::ValidationResults::Error error;
  while (results.popError(error)) {
    problems.push_back({pointerFromContext(error.context), error.description});
  }
  return problems;
}

/** Builds a Configuration from a document that matches the schema and collects problems. */
class DocumentReader {
 public:
  explicit DocumentReader(const json& document) : document_(document) {}

  Configuration read() {
    configuration_.version = ConfigVersion(document_["version"].get<std::uint64_t>());
    configuration_.system = document_["system"].get<std::string>();
    readZones();
    readServices();
    readBackends();
    readKeys();
    return std::move(configuration_);
  }

  DocumentProblems takeProblems() { return std::move(problems_); }

 private:
  void addProblem(std::string path, std::string message) {
    problems_.push_back({std::move(path), std::move(message)});
  }

  template <typename Value>
  void requireUnique(std::set<Value>& seen, const Value& value, const std::string& path) {
    if (!seen.insert(value).second) {
      addProblem(path, "is used by another resource of this kind");
    }
  }

  Endpoint readEndpoint(const json& resource, const char* collection, std::size_t index,
                        const char* field) {
    const auto endpoint = parseEndpoint(resource[field].get<std::string>());
    if (!endpoint) {
      addProblem(pathOf(collection, index, field),
                 "must be an IPv4 address and a port, for example 10.0.0.1:443");
    }
    return endpoint.value_or(Endpoint{});
  }

  void readZones() {
    std::set<std::uint16_t> ids;
    std::set<std::string> names;
    const json& zones = document_["zones"];
    for (std::size_t index = 0; index < zones.size(); ++index) {
      Zone zone;
      zone.id = ZoneId(zones[index]["id"].get<std::uint16_t>());
      zone.name = zones[index]["name"].get<std::string>();
      zone.region = zones[index]["region"].get<std::string>();
      requireUnique(ids, zone.id.value(), pathOf("zones", index, "id"));
      requireUnique(names, zone.name, pathOf("zones", index, "name"));
      zones_by_name_[zone.name] = zone.id;
      configuration_.zones.push_back(std::move(zone));
    }
  }

  void readServices() {
    std::set<std::uint32_t> ids;
    std::set<std::string> names;
    std::set<Endpoint> addresses;
    const json& services = document_["services"];
    for (std::size_t index = 0; index < services.size(); ++index) {
      const json& resource = services[index];
      Service service;
      service.id = ServiceId(resource["id"].get<std::uint32_t>());
      service.name = resource["name"].get<std::string>();
      service.address = readEndpoint(resource, "services", index, "address");
      for (const json& zone_name : resource["allowed_zones"]) {
        service.allowed_zones.push_back(
            zoneNamed(zone_name.get<std::string>(), pathOf("services", index, "allowed_zones")));
      }
      requireUnique(ids, service.id.value(), pathOf("services", index, "id"));
      requireUnique(names, service.name, pathOf("services", index, "name"));
      requireUnique(addresses, service.address, pathOf("services", index, "address"));
      services_by_name_[service.name] = service.id;
      configuration_.services.push_back(std::move(service));
    }
  }

  void readBackends() {
    std::set<std::uint32_t> ids;
    std::set<std::string> names;
    std::set<Endpoint> addresses;
    const json& backends = document_["backends"];
    for (std::size_t index = 0; index < backends.size(); ++index) {
      const json& resource = backends[index];
      Backend backend;
      backend.id = BackendId(resource["id"].get<std::uint32_t>());
      backend.name = resource["name"].get<std::string>();
      backend.service = serviceNamed(resource["service"].get<std::string>(),
                                     pathOf("backends", index, "service"));
      backend.zone =
          zoneNamed(resource["zone"].get<std::string>(), pathOf("backends", index, "zone"));
      backend.address = readEndpoint(resource, "backends", index, "address");
      backend.probe_address = readEndpoint(resource, "backends", index, "probe_address");
      backend.slots = resource["slots"].get<std::uint32_t>();
      backend.connections = resource["connections"].get<std::uint32_t>();
      backend.draining = resource.value("draining", false);
      requireUnique(ids, backend.id.value(), pathOf("backends", index, "id"));
      requireUnique(names, backend.name, pathOf("backends", index, "name"));
      requireUnique(addresses, backend.address, pathOf("backends", index, "address"));
      configuration_.backends.push_back(std::move(backend));
    }
  }

  void readKeys() {
    std::set<std::uint16_t> ids;
    std::size_t sealing_keys = 0;
    const json& keys = document_["keys"];
    for (std::size_t index = 0; index < keys.size(); ++index) {
      TokenKey key;
      key.id = KeyId(keys[index]["id"].get<std::uint16_t>());
      key.seals = keys[index]["seals"].get<bool>();
      readSecret(keys[index]["secret"].get<std::string>(), key, pathOf("keys", index, "secret"));
      requireUnique(ids, key.id.value(), pathOf("keys", index, "id"));
      sealing_keys += key.seals ? 1 : 0;
      configuration_.keys.push_back(key);
    }
    if (sealing_keys != 1) {
      addProblem("/keys", "exactly one key must have \"seals\": true");
    }
  }

  void readSecret(const std::string& text, TokenKey& key, const std::string& path) {
    std::size_t length = 0;
    const int status = sodium_hex2bin(key.secret.data(), key.secret.size(), text.data(),
                                      text.size(), nullptr, &length, nullptr);
    if (status != 0 || length != kTokenSecretBytes || text.size() != 2 * kTokenSecretBytes) {
      addProblem(path, "must be 64 hexadecimal digits");
    }
  }

  ZoneId zoneNamed(const std::string& name, const std::string& path) {
    const auto found = zones_by_name_.find(name);
    if (found == zones_by_name_.end()) {
      addProblem(path, "names no declared zone: " + name);
      return ZoneId();
    }
    return found->second;
  }

  ServiceId serviceNamed(const std::string& name, const std::string& path) {
    const auto found = services_by_name_.find(name);
    if (found == services_by_name_.end()) {
      addProblem(path, "names no declared service: " + name);
      return ServiceId();
    }
    return found->second;
  }

  const json& document_;
  Configuration configuration_;
  DocumentProblems problems_;
  std::unordered_map<std::string, ZoneId> zones_by_name_;
  std::unordered_map<std::string, ServiceId> services_by_name_;
};

template <typename Resource>
std::vector<Resource> sortedById(std::vector<Resource> resources) {
  std::sort(resources.begin(), resources.end(),
            [](const Resource& left, const Resource& right) { return left.id < right.id; });
  return resources;
}

std::string hexSecret(const TokenKey& key) {
  std::string text(2 * kTokenSecretBytes + 1, '\0');
  sodium_bin2hex(text.data(), text.size(), key.secret.data(), key.secret.size());
  text.pop_back();
  return text;
}

}  // namespace

Result<Configuration, DocumentProblems> parseConfigurationDocument(std::string_view json_text) {
  const json document = json::parse(json_text, nullptr, false);
  if (document.is_discarded()) {
    return DocumentProblems{{"", "is not valid JSON"}};
  }
  DocumentProblems problems = schemaProblems(document);
  if (!problems.empty()) {
    return problems;
  }
  DocumentReader reader(document);
  Configuration configuration = reader.read();
  problems = reader.takeProblems();
  if (!problems.empty()) {
    return problems;
  }
  return configuration;
}

std::string writeConfigurationDocument(const Configuration& configuration, SecretHandling secrets) {
  const ConfigurationView view(configuration);
  json document = {{"version", configuration.version.value()}, {"system", configuration.system}};
  document["zones"] = json::array();
  for (const Zone& zone : sortedById(configuration.zones)) {
    document["zones"].push_back(
        {{"id", zone.id.value()}, {"name", zone.name}, {"region", zone.region}});
  }
  document["services"] = json::array();
  for (const Service& service : sortedById(configuration.services)) {
    json allowed = json::array();
    for (const ZoneId zone : service.allowed_zones) {
      allowed.push_back(view.zone(zone)->name);
    }
    document["services"].push_back({{"id", service.id.value()},
                                    {"name", service.name},
                                    {"address", toString(service.address)},
                                    {"allowed_zones", allowed}});
  }
  document["backends"] = json::array();
  for (const Backend& backend : sortedById(configuration.backends)) {
    document["backends"].push_back({{"id", backend.id.value()},
                                    {"name", backend.name},
                                    {"service", view.service(backend.service)->name},
                                    {"zone", view.zone(backend.zone)->name},
                                    {"address", toString(backend.address)},
                                    {"probe_address", toString(backend.probe_address)},
                                    {"slots", backend.slots},
                                    {"connections", backend.connections},
                                    {"draining", backend.draining}});
  }
  document["keys"] = json::array();
  for (const TokenKey& key : sortedById(configuration.keys)) {
    json entry = {{"id", key.id.value()}, {"seals", key.seals}};
    if (secrets == SecretHandling::Include) {
      entry["secret"] = hexSecret(key);
    }
    document["keys"].push_back(entry);
  }
  return document.dump();
}

std::string describeProblems(const DocumentProblems& problems) {
  std::string text;
  for (const DocumentProblem& problem : problems) {
    text += (text.empty() ? "" : "; ") + problem.path + " " + problem.message;
  }
  return text;
}

}  // namespace lugfork
