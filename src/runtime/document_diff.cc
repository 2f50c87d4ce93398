#include "runtime/document_diff.h"

#include <map>
#include <nlohmann/json.hpp>

#include "config/configuration_document.h"

namespace lugfork {

namespace {

using nlohmann::json;

using ResourcesByName = std::map<std::string, json>;

ResourcesByName resourcesOf(const Configuration& configuration, const char* collection) {
  const json document =
      json::parse(writeConfigurationDocument(configuration, SecretHandling::Include));
  ResourcesByName resources;
  for (const json& resource : document[collection]) {
    const json& name = resource.contains("name") ? resource["name"] : resource["id"];
    const std::string text = name.is_string() ? name.get<std::string>() : name.dump();
    resources[std::string(collection) + "/" + text] = resource;
  }
  return resources;
}

std::vector<std::string> changedFields(const json& before, const json& after) {
  std::vector<std::string> fields;
  for (const auto& [name, value] : after.items()) {
    if (before.value(name, json()) == value) {
      continue;
    }
    fields.push_back(name == "secret"
                         ? "secret: changed"
                         : name + ": " + before.value(name, json()).dump() + " -> " + value.dump());
  }
  return fields;
}

void diffCollection(const ResourcesByName& before, const ResourcesByName& after,
                    std::vector<ResourceChange>& changes) {
  for (const auto& [name, resource] : before) {
    if (!after.contains(name)) {
      changes.push_back({ResourceChange::Kind::Removed, name, {}});
    }
  }
  for (const auto& [name, resource] : after) {
    const auto previous = before.find(name);
    if (previous == before.end()) {
      changes.push_back({ResourceChange::Kind::Added, name, {}});
    } else if (previous->second != resource) {
      changes.push_back(
          {ResourceChange::Kind::Changed, name, changedFields(previous->second, resource)});
    }
  }
}

}  // namespace

std::vector<ResourceChange> diffConfigurations(const Configuration& before,
                                               const Configuration& after) {
  std::vector<ResourceChange> changes;
  if (before.system != after.system) {
    changes.push_back(
        {ResourceChange::Kind::Changed, "system", {before.system + " -> " + after.system}});
  }
  for (const char* collection : {"zones", "services", "backends", "keys"}) {
    diffCollection(resourcesOf(before, collection), resourcesOf(after, collection), changes);
  }
  return changes;
}

std::string describeChanges(const std::vector<ResourceChange>& changes) {
  std::string text;
  for (const ResourceChange& change : changes) {
    const bool added = change.kind == ResourceChange::Kind::Added;
    const bool removed = change.kind == ResourceChange::Kind::Removed;
    text += std::string(added ? "+ " : removed ? "- " : "~ ") + change.resource;
    for (std::size_t index = 0; index < change.fields.size(); ++index) {
      text += (index == 0 ? "  " : ", ") + change.fields[index];
    }
    text += '\n';
  }
  return text.empty() ? "no changes\n" : text;
}

}  // namespace lugfork
