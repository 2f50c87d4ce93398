/** lugforkd: the balancer daemon. */

#include <iostream>

#include "config/toml_settings.h"
#include "runtime/json_event_log.h"
#include "runtime/node_daemon.h"
#include "runtime/program.h"

namespace lugfork {
namespace {

void addNodeOptions(CLI::App& app, NodeDaemonSettings& settings) {
  NodeSettings& node = settings.node;
  app.add_option("--name", node.name, "name of this node, unique in the fleet")->required();
  app.add_option("--zone", node.zone, "zone of this node")->required();
  addEndpointOption(app, "--data-address", settings.data_address, "address of the data path (UDP)")
      ->required();
  addEndpointOption(app, "--peer-address", node.peer_address,
                    "address for messages of peers (ZeroMQ over TCP)")
      ->required();
  addEndpointOption(app, "--api-address", settings.api_address,
                    "address of the resource API (HTTP)")
      ->required();
  addEndpointListOption(app, "--platform", settings.platform_addresses,
                        "addresses of the platform's configuration service")
      ->required();
}

void addTuningOptions(CLI::App& app, NodeDaemonSettings& settings) {
  NodeSettings& node = settings.node;
  app.add_option("--placement-policy", node.placement_policy, "placement policy of new flows")
      ->check(CLI::IsMember(placementPolicyNames()))
      ->capture_default_str();
  addMillisecondsOption(app, "--gossip-interval", node.gossip_interval, milliseconds(50),
                        milliseconds(60000), "interval of gossip messages to peers");
  addMillisecondsOption(app, "--platform-interval", node.configuration.min_platform_interval,
                        milliseconds(50), milliseconds(600000),
                        "interval of reads of the platform");
  addMillisecondsOption(app, "--probe-interval", node.probes.min_interval, milliseconds(50),
                        milliseconds(60000), "interval of probes of each backend");
  addMillisecondsOption(app, "--placement-lifetime", node.flow.placement_ttl, milliseconds(100),
                        milliseconds(60000),
                        "time after a placement during which its token may start a request");
  addMillisecondsOption(app, "--leave-minimum", settings.leave.min_duration, milliseconds(0),
                        milliseconds(600000), "minimum time of relaying before a planned stop");
  addMillisecondsOption(app, "--leave-maximum", settings.leave.max_duration, milliseconds(0),
                        milliseconds(3600000), "maximum time of relaying before a planned stop");
}

void addSecurityOptions(CLI::App& app, NodeDaemonSettings& settings) {
  PeerSecuritySettings& peers = settings.peer_security;
  app.add_option("--peer-public-key", peers.public_key, "CURVE public key of the fleet (Z85)");
  app.add_option("--peer-secret-key", peers.secret_key,
                 "CURVE secret key of the fleet (Z85); to be set in the settings file");
  app.add_option("--peer-allowed-key", peers.allowed_keys,
                 "additional public keys of peers that may connect (Z85)");
  app.add_option("--api-certificate", settings.api_security.certificate_file,
                 "file with certificate and key for HTTPS (PEM)")
      ->check(CLI::ExistingFile);
  app.add_option("--api-token", settings.api_security.bearer_token,
                 "bearer token of the API; to be set in the settings file");
}

/** Validates "component=level". @return an error message, empty if the text is valid. */
std::string checkComponentLevel(const std::string& text) {
  const std::string level = text.substr(text.find('=') + 1);
  const bool is_known_level =
      level == "debug" || level == "info" || level == "warn" || level == "error";
  const bool is_valid =
      text.find('=') != std::string::npos && text.front() != '=' && is_known_level;
  return is_valid ? "" : "must be component=debug|info|warn|error, got \"" + text + "\"";
}

void addComponentLevelOption(CLI::App& app, LogSettings& log) {
  const auto assign = [&log](const std::vector<std::string>& texts) {
    log.component_levels.clear();
    for (const std::string& text : texts) {
      const auto equals = text.find('=');
      log.component_levels[text.substr(0, equals)] = text.substr(equals + 1);
    }
  };
  app.add_option_function<std::vector<std::string>>("--log-component-level", assign,
                                                    "log levels of individual components")
      ->check(CLI::Validator(checkComponentLevel, "COMPONENT=LEVEL"))
      ->delimiter(',');
}

void addLogOptions(CLI::App& app, LogSettings& log) {
  const std::vector<std::string> levels = {"debug", "info", "warn", "error"};
  app.add_option("--log-level", log.level, "minimum level of logged events")
      ->check(CLI::IsMember(levels))
      ->capture_default_str();
}

int run(int argc, char** argv) {
  CLI::App app("balancer daemon of lugfork", "lugforkd");
  app.set_version_flag("--version", LUGFORK_VERSION);
  NodeDaemonSettings settings;
  LogSettings log_settings;
  addNodeOptions(app, settings);
  addTuningOptions(app, settings);
  addSecurityOptions(app, settings);
  addLogOptions(app, log_settings);
  addComponentLevelOption(app, log_settings);
  addSettingsFile(app);
  return runProgram(app, argc, argv, [&] {
    const std::string problem = checkPeerSecurity(settings.peer_security);
    if (!problem.empty()) {
      std::cerr << "lugforkd: " << problem << "\nSee --help.\n";
      return kExitUsage;
    }
    log_settings.program = "lugforkd";
    log_settings.node = settings.node.name;
    log_settings.zone = settings.node.zone;
    JsonEventLog log(log_settings);
    log.connectAppender();
    NodeDaemon daemon(settings, log);
    daemon.run();
    return kExitSuccess;
  });
}

}  // namespace
}  // namespace lugfork

int main(int argc, char** argv) {
  return lugfork::run(argc, argv);
}
