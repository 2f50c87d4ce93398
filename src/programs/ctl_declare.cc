#include <algorithm>
#include <fstream>
#include <iostream>
#include <iterator>

#include "programs/ctl_commands.h"
#include "programs/ctl_platform.h"
#include "runtime/document_diff.h"
#include "runtime/program.h"

namespace lugfork {

namespace {

/** Maximum number of attempts to drain if other operators publish between read and write. */
constexpr int kMaxDrainAttempts = 5;

struct DeclareSettings {
  std::string file;
  Endpoint platform;
  WaitSettings wait_settings;
  bool wait = false;
  bool dry_run = false;
  std::string backend;
  bool undo = false;
};

int fail(const std::string& message) {
  std::cerr << message << '\n';
  return kExitFailure;
}

/** Reads and validates a file; prints all problems of an invalid one. */
std::optional<Configuration> readDocument(const std::string& path) {
  std::ifstream file(path);
  const std::string text{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
  auto parsed = parseConfigurationDocument(text);
  if (parsed) {
    return std::move(parsed.value());
  }
  for (const DocumentProblem& problem : parsed.error()) {
    std::cerr << path << ": " << problem.path << " " << problem.message << '\n';
  }
  return std::nullopt;
}

int validate(const DeclareSettings& settings) {
  if (!readDocument(settings.file)) {
    return kExitFailure;
  }
  std::cout << settings.file << ": valid\n";
  return kExitSuccess;
}

int waitForVersion(const DeclareSettings& settings, ConfigVersion version) {
  WaitSettings wait = settings.wait_settings;
  if (wait.nodes.empty()) {
    const auto nodes = readNodeAddresses(settings.platform);
    if (!nodes) {
      return fail(nodes.error().message);
    }
    wait.nodes = nodes.value();
  }
  return waitUntilInForce(wait, version) ? kExitSuccess : kExitFailure;
}

/** Prints the changes that another operator published between read and write. */
int reportConflict(const DeclareSettings& settings, const Configuration& previous) {
  const auto current = readPlatformConfiguration(settings.platform);
  if (!current) {
    return fail("conflict; reading the published version failed: " + current.error().message);
  }
  std::cerr << "conflict: the platform changed from version " << previous.version.value() << " to "
            << current.value().version.value() << " in the meantime; nothing was published:\n"
            << describeChanges(diffConfigurations(previous, current.value()));
  return kExitFailure;
}

int apply(const DeclareSettings& settings) {
  const auto declared = readDocument(settings.file);
  if (!declared) {
    return kExitFailure;
  }
  const auto current = readPlatformConfiguration(settings.platform);
  if (!current) {
    return fail(current.error().message);
  }
  const std::uint64_t current_version = current.value().version.value();
  std::cout << "version " << current_version << " -> " << declared->version.value() << '\n'
            << describeChanges(diffConfigurations(current.value(), *declared)) << std::flush;
  if (declared->version.value() != current_version + 1) {
    return fail("conflict: the platform holds version " + std::to_string(current_version) +
                ", so the document must have version " + std::to_string(current_version + 1) +
                "; the changes above are relative to the platform's version");
  }
  if (settings.dry_run) {
    std::cout << "dry run: nothing was published\n";
    return kExitSuccess;
  }
  const auto outcome = publishConfiguration(settings.platform, *declared);
  if (!outcome) {
    return fail(outcome.error().message);
  }
  if (outcome.value() == PublishOutcome::Conflict) {
    return reportConflict(settings, current.value());
  }
  std::cout << "version " << declared->version.value() << " published" << std::endl;
  return settings.wait ? waitForVersion(settings, declared->version) : kExitSuccess;
}

/** @return the backend with this name, or nullptr. */
Backend* findBackend(Configuration& configuration, const std::string& name) {
  const auto found = std::find_if(configuration.backends.begin(), configuration.backends.end(),
                                  [&](const Backend& backend) { return backend.name == name; });
  return found == configuration.backends.end() ? nullptr : &*found;
}

int drain(const DeclareSettings& settings) {
  for (int attempt = 0; attempt < kMaxDrainAttempts; ++attempt) {
    const auto current = readPlatformConfiguration(settings.platform);
    if (!current) {
      return fail(current.error().message);
    }
    Configuration next = current.value();
    Backend* const backend = findBackend(next, settings.backend);
    if (backend == nullptr) {
      return fail("there is no backend named \"" + settings.backend + "\"");
    }
    if (backend->draining != settings.undo) {
      std::cout << "already so in version " << next.version.value() << std::endl;
      return settings.wait ? waitForVersion(settings, next.version) : kExitSuccess;
    }
    backend->draining = !settings.undo;
    next.version = ConfigVersion(next.version.value() + 1);
    const auto outcome = publishConfiguration(settings.platform, next);
    if (!outcome) {
      return fail(outcome.error().message);
    }
    if (outcome.value() == PublishOutcome::Published) {
      std::cout << describeChanges(diffConfigurations(current.value(), next)) << "version "
                << next.version.value() << " published" << std::endl;
      return settings.wait ? waitForVersion(settings, next.version) : kExitSuccess;
    }
  }
  return fail("conflict: other operators published at each attempt; nothing was changed");
}

void addWaitOptions(CLI::App& command, DeclareSettings& settings) {
  addEndpointOption(command, "--platform", settings.platform,
                    "address of the platform's configuration service")
      ->required();
  command.add_flag("--wait", settings.wait, "wait until the version is in force on the nodes");
  addEndpointListOption(command, "--node", settings.wait_settings.nodes,
                        "API addresses of the nodes to wait for; default: all nodes on "
                        "the platform's list");
  addMillisecondsOption(command, "--wait-limit", settings.wait_settings.timeout, milliseconds(1),
                        milliseconds(3600000), "maximum time to wait");
  addTokenOption(command, settings.wait_settings.token);
}

void addFileOption(CLI::App& command, DeclareSettings& settings) {
  command.add_option("-f,--file", settings.file, "configuration document (JSON)")
      ->required()
      ->check(CLI::ExistingFile);
}

}  // namespace

void addTokenOption(CLI::App& command, std::string& token) {
  command.add_option("--api-token", token, "bearer token of the nodes' API")
      ->envname("LUGFORK_API_TOKEN");
}

void addDeclareCommands(CLI::App& app, CommandBody& run) {
  const auto settings = std::make_shared<DeclareSettings>();
  CLI::App* validate_command = app.add_subcommand("validate", "validates a configuration document");
  addFileOption(*validate_command, *settings);
  validate_command->callback(
      [&run, settings] { run = [settings] { return validate(*settings); }; });

  CLI::App* apply_command = app.add_subcommand(
      "apply", "prints the changes made by a configuration document and publishes it");
  addFileOption(*apply_command, *settings);
  addWaitOptions(*apply_command, *settings);
  apply_command->add_flag("--dry-run", settings->dry_run,
                          "print the changes without publishing them");
  apply_command->callback([&run, settings] { run = [settings] { return apply(*settings); }; });

  CLI::App* drain_command =
      app.add_subcommand("drain", "drains a backend: it keeps its flows and receives no new ones");
  drain_command->add_option("backend", settings->backend, "name of the backend")->required();
  drain_command->add_flag("--undo", settings->undo,
                          "end draining, so that the backend receives new flows again");
  addWaitOptions(*drain_command, *settings);
  drain_command->callback([&run, settings] { run = [settings] { return drain(*settings); }; });
}

}  // namespace lugfork
