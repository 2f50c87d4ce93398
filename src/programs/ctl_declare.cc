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

/** Other operators may publish between our read and our write this often. */
constexpr int kDrainAttempts = 5;

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

/** Reads and checks the file; prints every problem of an invalid one. */
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

int waitFor(const DeclareSettings& settings, ConfigVersion version) {
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

/** Says what another operator published between our read and our write. */
int reportConflict(const DeclareSettings& settings, const Configuration& read_before) {
  const auto now = readPlatformConfiguration(settings.platform);
  if (!now) {
    return fail("conflict, and " + now.error().message);
  }
  std::cerr << "conflict: the platform moved from version " << read_before.version.value() << " to "
            << now.value().version.value() << " meanwhile; nothing was published:\n"
            << describeChanges(diffConfigurations(read_before, now.value()));
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
  const std::uint64_t held = current.value().version.value();
  std::cout << "version " << held << " -> " << declared->version.value() << '\n'
            << describeChanges(diffConfigurations(current.value(), *declared)) << std::flush;
  if (declared->version.value() != held + 1) {
    return fail("conflict: the platform holds version " + std::to_string(held) +
                ", so the document must have version " + std::to_string(held + 1) +
                "; the changes above are against what the platform holds");
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
  return settings.wait ? waitFor(settings, declared->version) : kExitSuccess;
}

/** @return the back end of that name, or nullptr. */
Backend* findBackend(Configuration& configuration, const std::string& name) {
  const auto found = std::find_if(configuration.backends.begin(), configuration.backends.end(),
                                  [&](const Backend& backend) { return backend.name == name; });
  return found == configuration.backends.end() ? nullptr : &*found;
}

int drain(const DeclareSettings& settings) {
  for (int attempt = 0; attempt < kDrainAttempts; ++attempt) {
    const auto current = readPlatformConfiguration(settings.platform);
    if (!current) {
      return fail(current.error().message);
    }
    Configuration next = current.value();
    Backend* const backend = findBackend(next, settings.backend);
    if (backend == nullptr) {
      return fail("no back end is named \"" + settings.backend + "\"");
    }
    if (backend->draining != settings.undo) {
      std::cout << "already so in version " << next.version.value() << std::endl;
      return settings.wait ? waitFor(settings, next.version) : kExitSuccess;
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
      return settings.wait ? waitFor(settings, next.version) : kExitSuccess;
    }
  }
  return fail("conflict: others kept publishing; nothing was changed");
}

void addWaitOptions(CLI::App& command, DeclareSettings& settings) {
  addEndpointOption(command, "--platform", settings.platform, "platform's configuration service")
      ->required();
  command.add_flag("--wait", settings.wait, "wait until it is in force on the nodes");
  addEndpointListOption(command, "--node", settings.wait_settings.nodes,
                        "API addresses of the nodes to wait for; all on the platform's list "
                        "unless given");
  addMillisecondsOption(command, "--wait-limit", settings.wait_settings.timeout, milliseconds(1),
                        milliseconds(3600000), "longest wait");
  addTokenOption(command, settings.wait_settings.token);
}

void addFileOption(CLI::App& command, DeclareSettings& settings) {
  command.add_option("-f,--file", settings.file, "document (JSON)")
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
  CLI::App* validate_command = app.add_subcommand("validate", "checks a configuration document");
  addFileOption(*validate_command, *settings);
  validate_command->callback(
      [&run, settings] { run = [settings] { return validate(*settings); }; });

  CLI::App* apply_command =
      app.add_subcommand("apply", "shows what a document changes and publishes it");
  addFileOption(*apply_command, *settings);
  addWaitOptions(*apply_command, *settings);
  apply_command->add_flag("--dry-run", settings->dry_run, "only show what would change");
  apply_command->callback([&run, settings] { run = [settings] { return apply(*settings); }; });

  CLI::App* drain_command = app.add_subcommand(
      "drain", "publishes that a back end is leaving: it keeps its flows and gets no new ones");
  drain_command->add_option("backend", settings->backend, "name of the back end")->required();
  drain_command->add_flag("--undo", settings->undo, "let it get new flows again");
  addWaitOptions(*drain_command, *settings);
  drain_command->callback([&run, settings] { run = [settings] { return drain(*settings); }; });
}

}  // namespace lugfork
