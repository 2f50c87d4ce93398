#include <fstream>
#include <iostream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <thread>

#include "config/configuration_document.h"
#include "programs/ctl_commands.h"
#include "runtime/http_client.h"
#include "runtime/program.h"

namespace lugfork {

namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kNoContent = 204;
constexpr int kPreconditionFailed = 412;
constexpr Duration kWaitPollInterval = milliseconds(200);

struct DeclareSettings {
  std::string file;
  Endpoint platform;
  std::vector<Endpoint> nodes;
  bool wait = false;
  bool dry_run = false;
  Duration wait_limit = seconds(30);
};

std::string readFile(const std::string& path) {
  std::ifstream file(path);
  return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

/** Prints every problem of an invalid document. @return true if it is valid. */
bool checkDocument(const DeclareSettings& settings, const std::string& text) {
  const auto parsed = parseConfigurationDocument(text);
  if (parsed) {
    return true;
  }
  for (const DocumentProblem& problem : parsed.error()) {
    std::cerr << settings.file << ": " << problem.path << " " << problem.message << '\n';
  }
  return false;
}

int validate(const DeclareSettings& settings) {
  if (!checkDocument(settings, readFile(settings.file))) {
    return kExitFailure;
  }
  std::cout << settings.file << ": valid\n";
  return kExitSuccess;
}

std::uint64_t versionInForce(Endpoint node) {
  HttpCall call;
  call.server = node;
  call.target = "/v1/status";
  const auto reply = httpRequest(call);
  if (!reply || reply.value().status != kOk) {
    return 0;
  }
  const json status = json::parse(reply.value().body, nullptr, false);
  return status.is_object() ? status.value("version_in_force", std::uint64_t{0}) : 0;
}

int waitUntilInForce(const DeclareSettings& settings, std::uint64_t version) {
  const RealTimeSource clock;
  const MonotonicTime limit = clock.monotonicTime() + settings.wait_limit;
  std::vector<Endpoint> behind = settings.nodes;
  while (!behind.empty() && clock.monotonicTime() < limit) {
    std::erase_if(behind, [&](Endpoint node) { return versionInForce(node) >= version; });
    std::this_thread::sleep_for(kWaitPollInterval);
  }
  for (const Endpoint node : behind) {
    std::cerr << "behind: " << toString(node) << '\n';
  }
  return behind.empty() ? kExitSuccess : kExitFailure;
}

int apply(const DeclareSettings& settings) {
  const std::string text = readFile(settings.file);
  if (!checkDocument(settings, text)) {
    return kExitFailure;
  }
  const std::uint64_t version = parseConfigurationDocument(text).value().version.value();
  if (settings.dry_run) {
    std::cout << "version " << version << " would be published\n";
    return kExitSuccess;
  }
  HttpCall call;
  call.method = "PUT";
  call.server = settings.platform;
  call.target = "/v1/configuration";
  call.headers["If-Match"] = "\"" + std::to_string(version - 1) + "\"";
  call.body = text;
  const auto reply = httpRequest(call);
  if (!reply) {
    std::cerr << "platform: " << reply.error().message << '\n';
    return kExitFailure;
  }
  if (reply.value().status == kPreconditionFailed) {
    std::cerr << "conflict: the platform holds version " << reply.value().etag
              << ", this document follows " << version - 1 << '\n';
    return kExitFailure;
  }
  if (reply.value().status != kNoContent) {
    std::cerr << "platform: " << reply.value().body;
    return kExitFailure;
  }
  std::cout << "version " << version << " published\n";
  return settings.wait ? waitUntilInForce(settings, version) : kExitSuccess;
}

}  // namespace

void addDeclareCommands(CLI::App& app, CommandBody& run) {
  const auto settings = std::make_shared<DeclareSettings>();
  CLI::App* validate_command = app.add_subcommand("validate", "checks a configuration document");
  validate_command->add_option("-f,--file", settings->file, "document (JSON)")
      ->required()
      ->check(CLI::ExistingFile);
  validate_command->callback(
      [&run, settings] { run = [settings] { return validate(*settings); }; });

  CLI::App* apply_command = app.add_subcommand("apply", "publishes a configuration document");
  apply_command->add_option("-f,--file", settings->file, "document (JSON)")
      ->required()
      ->check(CLI::ExistingFile);
  addEndpointOption(*apply_command, "--platform", settings->platform, "platform's write endpoint")
      ->required();
  addEndpointListOption(*apply_command, "--node", settings->nodes, "nodes to wait for");
  apply_command->add_flag("--wait", settings->wait, "wait until it is in force on the nodes");
  apply_command->add_flag("--dry-run", settings->dry_run, "only check the document");
  addMillisecondsOption(*apply_command, "--wait-limit", settings->wait_limit, milliseconds(1),
                        milliseconds(3600000), "longest wait");
  apply_command->callback([&run, settings] { run = [settings] { return apply(*settings); }; });
}

}  // namespace lugfork
