#include <iostream>
#include <nlohmann/json.hpp>

#include "programs/ctl_commands.h"
#include "programs/ctl_table.h"
#include "runtime/http_client.h"
#include "runtime/program.h"

namespace lugfork {

namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kNotModified = 304;
/** Maximum wait of one watch request at the node; the command repeats the request. */
constexpr milliseconds kWatchTimeout{20000};

struct ReadSettings {
  Endpoint node;
  std::string resource = "configuration";
  std::string name;
  std::string output = "table";
  std::string token;
  std::uint32_t count = 0;
};

/** Response of a node; failures have been printed already. */
struct NodeResponse {
  int status = 0;
  json document;
};

NodeResponse requestNode(const ReadSettings& settings, const std::string& target,
                         Duration timeout) {
  HttpCall call;
  call.server = settings.node;
  call.target = target;
  call.timeout = timeout;
  call.bearer_token = settings.token;
  const auto reply = httpRequest(call);
  if (!reply) {
    std::cerr << toString(settings.node) << ": " << reply.error().message << '\n';
    return {};
  }
  NodeResponse response{reply.value().status, json::parse(reply.value().body, nullptr, false)};
  if (response.status != kOk && response.status != kNotModified) {
    std::cerr << toString(settings.node) << ": " << reply.value().body << '\n';
  }
  return response;
}

std::string cell(const json& value) {
  return value.is_string() ? value.get<std::string>() : value.dump();
}

/** Formats conditions as "TakesNewFlows=false(declared_draining)". */
std::string conditionsCell(const json& status) {
  std::string text;
  for (const json& condition : status.value("conditions", json::array())) {
    text += (text.empty() ? "" : " ") + cell(condition["type"]) + "=" + cell(condition["status"]) +
            "(" + cell(condition["reason"]) + ")";
  }
  return text;
}

/** Formats resources as a table with name, declared fields and conditions. */
std::string resourceTable(const json& items) {
  std::vector<std::vector<std::string>> rows;
  for (const json& item : items) {
    if (rows.empty()) {
      rows.push_back({"NAME"});
      for (const auto& [field, value] : item["spec"].items()) {
        rows.front().push_back(field);
      }
      rows.front().emplace_back("CONDITIONS");
    }
    std::vector<std::string> row = {cell(item["metadata"]["name"])};
    for (std::size_t column = 1; column + 1 < rows.front().size(); ++column) {
      row.push_back(cell(item["spec"].value(rows.front()[column], json("-"))));
    }
    row.push_back(conditionsCell(item["status"]));
    rows.push_back(row);
  }
  return formatTable(rows);
}

std::string fieldTable(const json& document) {
  std::vector<std::vector<std::string>> rows;
  for (const auto& [field, value] : document.items()) {
    rows.push_back({field, cell(value)});
  }
  return formatTable(rows);
}

int print(const ReadSettings& settings, const json& document) {
  if (settings.output == "json") {
    std::cout << document.dump(2) << std::endl;
  } else if (document.contains("items")) {
    std::cout << "version " << document["version"] << '\n'
              << resourceTable(document["items"]) << std::flush;
  } else if (document.contains("metadata")) {
    std::cout << resourceTable(json::array({document})) << std::flush;
  } else {
    std::cout << fieldTable(document) << std::flush;
  }
  return kExitSuccess;
}

int get(const ReadSettings& settings, const std::string& resource) {
  const std::string name = settings.name.empty() ? "" : "/" + settings.name;
  const NodeResponse response = requestNode(settings, "/v1/" + resource + name, seconds(5));
  return response.status == kOk ? print(settings, response.document) : kExitFailure;
}

/** Prints the current status, and again at each new version in force. */
int watch(const ReadSettings& settings) {
  std::string target = "/v1/status";
  for (std::uint32_t printed = 0; settings.count == 0 || printed < settings.count;) {
    const NodeResponse response = requestNode(settings, target, kWatchTimeout + seconds(5));
    if (response.status == kNotModified) {
      continue;
    }
    if (response.status != kOk) {
      return kExitFailure;
    }
    print(settings, response.document);
    ++printed;
    target = "/v1/status?watch_from=" + response.document["version_in_force"].dump() +
             "&timeout_ms=" + std::to_string(kWatchTimeout.count());
  }
  return kExitSuccess;
}

CLI::App* addReadCommand(CLI::App& app, ReadSettings& settings, const std::string& name,
                         const std::string& description) {
  CLI::App* command = app.add_subcommand(name, description);
  addEndpointOption(*command, "--node", settings.node, "API address of the node")->required();
  command->add_option("-o,--output", settings.output, "output format: table or json")
      ->check(CLI::IsMember({"table", "json"}))
      ->capture_default_str();
  addTokenOption(*command, settings.token);
  return command;
}

}  // namespace

void addReadCommands(CLI::App& app, CommandBody& run) {
  const auto settings = std::make_shared<ReadSettings>();
  CLI::App* get_command =
      addReadCommand(app, *settings, "get",
                     "prints resources with their declared state and their state at a node");
  get_command->add_option("resource", settings->resource, "kind of resource")
      ->check(CLI::IsMember({"configuration", "zones", "services", "backends", "nodes"}));
  get_command->add_option("name", settings->name, "print only the resource with this name");
  get_command->callback(
      [&run, settings] { run = [settings] { return get(*settings, settings->resource); }; });

  CLI::App* status = addReadCommand(app, *settings, "status", "prints the status of a node");
  status->callback([&run, settings] { run = [settings] { return get(*settings, "status"); }; });

  CLI::App* watch_command = addReadCommand(
      app, *settings, "watch", "prints the status of a node now and at each new version");
  watch_command->add_option("--count", settings->count,
                            "number of status outputs; 0 for unlimited");
  watch_command->callback([&run, settings] { run = [settings] { return watch(*settings); }; });
}

}  // namespace lugfork
