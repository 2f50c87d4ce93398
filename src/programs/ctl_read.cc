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
/** Longest wait of one watch at the node; the command asks again and again. */
constexpr milliseconds kWatchTimeout{20000};

struct ReadSettings {
  Endpoint node;
  std::string resource = "configuration";
  std::string name;
  std::string output = "table";
  std::string token;
  std::uint32_t count = 0;
};

/** What a node answered; a failure is printed already. */
struct NodeAnswer {
  int status = 0;
  json document;
};

NodeAnswer ask(const ReadSettings& settings, const std::string& target, Duration timeout) {
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
  NodeAnswer answer{reply.value().status, json::parse(reply.value().body, nullptr, false)};
  if (answer.status != kOk && answer.status != kNotModified) {
    std::cerr << toString(settings.node) << ": " << reply.value().body << '\n';
  }
  return answer;
}

std::string cell(const json& value) {
  return value.is_string() ? value.get<std::string>() : value.dump();
}

/** Conditions as "TakesNewFlows=false(declared_draining)". */
std::string conditionsCell(const json& status) {
  std::string text;
  for (const json& condition : status.value("conditions", json::array())) {
    text += (text.empty() ? "" : " ") + cell(condition["type"]) + "=" + cell(condition["status"]) +
            "(" + cell(condition["reason"]) + ")";
  }
  return text;
}

/** Columns of a resource: name, what is declared, and the conditions. */
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
  const NodeAnswer answer = ask(settings, "/v1/" + resource + name, seconds(5));
  return answer.status == kOk ? print(settings, answer.document) : kExitFailure;
}

/** Prints the status now and at each new version in force. */
int watch(const ReadSettings& settings) {
  std::string target = "/v1/status";
  for (std::uint32_t printed = 0; settings.count == 0 || printed < settings.count;) {
    const NodeAnswer answer = ask(settings, target, kWatchTimeout + seconds(5));
    if (answer.status == kNotModified) {
      continue;
    }
    if (answer.status != kOk) {
      return kExitFailure;
    }
    print(settings, answer.document);
    ++printed;
    target = "/v1/status?watch_from=" + answer.document["version_in_force"].dump() +
             "&timeout_ms=" + std::to_string(kWatchTimeout.count());
  }
  return kExitSuccess;
}

CLI::App* addReadCommand(CLI::App& app, ReadSettings& settings, const std::string& name,
                         const std::string& description) {
  CLI::App* command = app.add_subcommand(name, description);
  addEndpointOption(*command, "--node", settings.node, "node's API address")->required();
  command->add_option("-o,--output", settings.output, "table or json")
      ->check(CLI::IsMember({"table", "json"}))
      ->capture_default_str();
  addTokenOption(*command, settings.token);
  return command;
}

}  // namespace

void addReadCommands(CLI::App& app, CommandBody& run) {
  const auto settings = std::make_shared<ReadSettings>();
  CLI::App* get_command =
      addReadCommand(app, *settings, "get", "prints resources: declared, and as a node sees them");
  get_command->add_option("resource", settings->resource, "what to print")
      ->check(CLI::IsMember({"configuration", "zones", "services", "backends", "nodes"}));
  get_command->add_option("name", settings->name, "only the resource of this name");
  get_command->callback(
      [&run, settings] { run = [settings] { return get(*settings, settings->resource); }; });

  CLI::App* status = addReadCommand(app, *settings, "status", "prints a node's status");
  status->callback([&run, settings] { run = [settings] { return get(*settings, "status"); }; });

  CLI::App* watch_command =
      addReadCommand(app, *settings, "watch", "prints a node's status now and at each new version");
  watch_command->add_option("--count", settings->count, "prints in all; 0 for no end");
  watch_command->callback([&run, settings] { run = [settings] { return watch(*settings); }; });
}

}  // namespace lugfork
