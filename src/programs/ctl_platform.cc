#include "programs/ctl_platform.h"

#include <iostream>
#include <nlohmann/json.hpp>
#include <thread>

#include "balancer/machine_list.h"
#include "runtime/http_client.h"

namespace lugfork {

namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kNoContent = 204;
constexpr int kPreconditionFailed = 412;
constexpr const char* kConfigurationPath = "/v1/configuration";
constexpr Duration kWaitPollInterval = milliseconds(200);

Result<std::string, PlatformError> readPath(Endpoint platform, const std::string& path) {
  HttpCall call;
  call.server = platform;
  call.target = path;
  const auto reply = httpRequest(call);
  if (!reply) {
    return PlatformError{"platform: " + reply.error().message};
  }
  if (reply.value().status != kOk) {
    return PlatformError{"platform: status " + std::to_string(reply.value().status) + " " +
                         reply.value().body};
  }
  return reply.value().body;
}

/** @return the version in force at a node, or the reason why it is unknown. */
Result<ConfigVersion, std::string> versionInForce(Endpoint node, const std::string& token) {
  HttpCall call;
  call.server = node;
  call.target = "/v1/status";
  call.bearer_token = token;
  const auto reply = httpRequest(call);
  if (!reply) {
    return reply.error().message;
  }
  const json status = json::parse(reply.value().body, nullptr, false);
  if (reply.value().status != kOk || !status.is_object()) {
    return "status " + std::to_string(reply.value().status);
  }
  return ConfigVersion(status.value("version_in_force", std::uint64_t{0}));
}

}  // namespace

Result<Configuration, PlatformError> readPlatformConfiguration(Endpoint platform) {
  const auto body = readPath(platform, kConfigurationPath);
  if (!body) {
    return body.error();
  }
  auto parsed = parseConfigurationDocument(body.value());
  if (!parsed) {
    return PlatformError{"the platform's configuration document is invalid: " +
                         describeProblems(parsed.error())};
  }
  return std::move(parsed.value());
}

Result<PublishOutcome, PlatformError> publishConfiguration(Endpoint platform,
                                                           const Configuration& configuration) {
  HttpCall call;
  call.method = "PUT";
  call.server = platform;
  call.target = kConfigurationPath;
  call.headers["If-Match"] = "\"" + std::to_string(configuration.version.value() - 1) + "\"";
  call.body = writeConfigurationDocument(configuration, SecretHandling::Include);
  const auto reply = httpRequest(call);
  if (!reply) {
    return PlatformError{"platform: " + reply.error().message};
  }
  if (reply.value().status == kPreconditionFailed) {
    return PublishOutcome::Conflict;
  }
  if (reply.value().status != kNoContent) {
    return PlatformError{"platform: " + reply.value().body};
  }
  return PublishOutcome::Published;
}

Result<std::vector<Endpoint>, PlatformError> readNodeAddresses(Endpoint platform) {
  const auto body = readPath(platform, "/v1/machines");
  if (!body) {
    return body.error();
  }
  const auto machines = parseMachineList(body.value());
  if (!machines) {
    return PlatformError{machines.error()};
  }
  std::vector<Endpoint> addresses;
  for (const Machine& machine : machines.value()) {
    addresses.push_back(machine.api_address);
  }
  return addresses;
}

bool waitUntilInForce(const WaitSettings& settings, ConfigVersion version) {
  const RealTimeSource clock;
  const MonotonicTime deadline = clock.monotonicTime() + settings.timeout;
  std::vector<Endpoint> pending = settings.nodes;
  const auto is_current = [&](Endpoint node) {
    const auto in_force = versionInForce(node, settings.token);
    const bool current = in_force && in_force.value() >= version;
    if (current) {
      std::cout << "in force at " << toString(node) << std::endl;
    }
    return current;
  };
  std::erase_if(pending, is_current);
  while (!pending.empty() && clock.monotonicTime() < deadline) {
    std::this_thread::sleep_for(kWaitPollInterval);
    std::erase_if(pending, is_current);
  }
  for (const Endpoint node : pending) {
    const auto in_force = versionInForce(node, settings.token);
    std::cerr << "behind: " << toString(node) << " ("
              << (in_force ? "version " + std::to_string(in_force.value().value())
                           : in_force.error())
              << ")\n";
  }
  std::cout << "version " << version.value() << " is in force on "
            << settings.nodes.size() - pending.size() << " of " << settings.nodes.size()
            << " nodes\n";
  return pending.empty();
}

}  // namespace lugfork
