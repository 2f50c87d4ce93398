#include <iostream>
#include <nlohmann/json.hpp>
#include <thread>

#include "programs/ctl_commands.h"
#include "runtime/http_client.h"
#include "runtime/program.h"

namespace lugfork {

namespace {

constexpr int kOk = 200;

struct ReadSettings {
  Endpoint node;
  std::string resource = "configuration";
  Duration interval = seconds(1);
  std::uint32_t count = 0;
};

int printResource(const ReadSettings& settings, const std::string& resource) {
  HttpCall call;
  call.server = settings.node;
  call.target = "/v1/" + resource;
  const auto reply = httpRequest(call);
  if (!reply) {
    std::cerr << toString(settings.node) << ": " << reply.error().message << '\n';
    return kExitFailure;
  }
  const auto document = nlohmann::json::parse(reply.value().body, nullptr, false);
  std::cout << (document.is_discarded() ? reply.value().body : document.dump(2)) << std::endl;
  return reply.value().status == kOk ? kExitSuccess : kExitFailure;
}

int watch(const ReadSettings& settings) {
  int exit_code = kExitSuccess;
  for (std::uint32_t round = 0; settings.count == 0 || round < settings.count; ++round) {
    if (round > 0) {
      std::this_thread::sleep_for(settings.interval);
    }
    exit_code = printResource(settings, "status");
  }
  return exit_code;
}

}  // namespace

void addReadCommands(CLI::App& app, CommandBody& run) {
  const auto settings = std::make_shared<ReadSettings>();
  CLI::App* get = app.add_subcommand("get", "prints declared resources in force at a node");
  addEndpointOption(*get, "--node", settings->node, "node's API address")->required();
  get->add_option("resource", settings->resource, "configuration, zones, services or backends")
      ->check(CLI::IsMember({"configuration", "zones", "services", "backends"}));
  get->callback([&run, settings] {
    run = [settings] { return printResource(*settings, settings->resource); };
  });

  CLI::App* status = app.add_subcommand("status", "prints a node's status");
  addEndpointOption(*status, "--node", settings->node, "node's API address")->required();
  status->callback(
      [&run, settings] { run = [settings] { return printResource(*settings, "status"); }; });

  CLI::App* watch_command = app.add_subcommand("watch", "prints a node's status again and again");
  addEndpointOption(*watch_command, "--node", settings->node, "node's API address")->required();
  addMillisecondsOption(*watch_command, "--interval", settings->interval, milliseconds(100),
                        milliseconds(3600000), "time between two reads");
  watch_command->add_option("--count", settings->count, "reads in all; 0 for no end");
  watch_command->callback([&run, settings] { run = [settings] { return watch(*settings); }; });
}

}  // namespace lugfork
