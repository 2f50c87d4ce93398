#include "balancer/machine_list.h"

#include <nlohmann/json.hpp>

#include "common/endpoint_parser.h"

namespace lugfork {

namespace {

using nlohmann::json;

/** @return the text of the field; empty if it is missing or not a string. */
std::string textField(const json& object, const char* name) {
  const auto found = object.find(name);
  return found != object.end() && found->is_string() ? found->get<std::string>() : std::string();
}

}  // namespace

Result<std::vector<Machine>, std::string> parseMachineList(const std::string& json_text) {
  const json document = json::parse(json_text, nullptr, false);
  if (!document.is_object() || !document.contains("machines") || !document["machines"].is_array()) {
    return std::string("the machine list must be an object with an array \"machines\"");
  }
  std::vector<Machine> machines;
  for (const json& entry : document["machines"]) {
    Machine machine;
    machine.name = textField(entry, "name");
    machine.zone = textField(entry, "zone");
    machine.leaving = textField(entry, "state") == "leaving";
    const auto data_address = parseEndpoint(textField(entry, "data_address"));
    const auto peer_address = parseEndpoint(textField(entry, "peer_address"));
    const auto api_address = parseEndpoint(textField(entry, "api_address"));
    if (machine.name.empty() || !data_address || !peer_address || !api_address) {
      return "machine \"" + machine.name +
             "\" must have a name, data_address, peer_address and api_address";
    }
    machine.data_address = *data_address;
    machine.peer_address = *peer_address;
    machine.api_address = *api_address;
    machines.push_back(std::move(machine));
  }
  return machines;
}

}  // namespace lugfork
