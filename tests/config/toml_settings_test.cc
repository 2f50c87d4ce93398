#include "config/toml_settings.h"

#include <unistd.h>

#include <catch2/catch.hpp>
#include <cstdio>
#include <fstream>

#include "runtime/program.h"

namespace lugfork {
namespace {

/** Values and errors that a program got from one settings file and its flags. */
struct Outcome {
  int exit_code = kExitSuccess;
  std::string error;
  std::string name = "unset";
  Duration interval = milliseconds(500);
  std::vector<Endpoint> platform;
  std::string level = "info";
};

/** The process id makes the name unique, since tests run in parallel processes. */
const std::string kFile = "toml_settings_test." + std::to_string(::getpid()) + ".toml";

/** Writes the settings file and runs a program with the same kinds of flags as lugforkd. */
Outcome runWith(const std::string& settings, std::vector<std::string> flags = {},
                const std::string& file = kFile) {
  std::ofstream(kFile) << settings;
  Outcome outcome;
  CLI::App app("a program", "program");
  app.add_option("--name", outcome.name, "a name")->required();
  addMillisecondsOption(app, "--interval", outcome.interval, milliseconds(50), milliseconds(60000),
                        "an interval");
  addEndpointListOption(app, "--platform", outcome.platform, "addresses");
  app.add_option("--log-level", outcome.level, "a level")->check(CLI::IsMember({"info", "warn"}));
  addSettingsFile(app);
  std::vector<std::string> arguments = {"program", "--settings", file};
  arguments.insert(arguments.end(), flags.begin(), flags.end());
  std::vector<char*> argv;
  argv.reserve(arguments.size());
  for (std::string& argument : arguments) {
    argv.push_back(argument.data());
  }
  std::ostringstream captured;
  std::streambuf* const previous = std::cerr.rdbuf(captured.rdbuf());
  outcome.exit_code =
      runProgram(app, static_cast<int>(argv.size()), argv.data(), [] { return kExitSuccess; });
  std::cerr.rdbuf(previous);
  outcome.error = captured.str();
  std::remove(kFile.c_str());
  return outcome;
}

TEST_CASE("empty list in a settings file is treated like a missing key") {
  const Outcome outcome = runWith("name = \"a\"\nplatform = []\n");
  CHECK(outcome.error.empty());
  CHECK(outcome.exit_code == kExitSuccess);
  CHECK(outcome.platform.empty());
}

TEST_CASE("settings file sets every value and flags take precedence") {
  const std::string settings =
      "name = \"a\"\ninterval = 250\nplatform = [\"127.0.0.1:1\", \"127.0.0.1:2\"]\n";
  const Outcome from_file = runWith(settings);
  CHECK(from_file.exit_code == kExitSuccess);
  CHECK(from_file.name == "a");
  CHECK(from_file.interval == milliseconds(250));
  CHECK(from_file.platform.size() == 2);
  const Outcome with_flag = runWith(settings, {"--interval", "300", "--name", "b"});
  CHECK(with_flag.interval == milliseconds(300));
  CHECK(with_flag.name == "b");
}

TEST_CASE(
    "invalid settings file is rejected with an error that names file, key and allowed values") {
  struct Row {
    const char* name;
    const char* settings;
    std::vector<std::string> error_parts;
  };
  const Row rows[] = {
      {"unknown key", "name = \"a\"\ngosip = 1\n", {"line 2", "\"gosip\"", "interval", "platform"}},
      {"settings file inside a settings file",
       "name = \"a\"\nsettings = \"b\"\n",
       {"\"settings\""}},
      {"string for a number", "name = \"a\"\ninterval = \"soon\"\n", {"interval", "50", "60000"}},
      {"boolean for a number", "name = \"a\"\ninterval = true\n", {"interval", "50", "60000"}},
      {"fraction for whole milliseconds", "name = \"a\"\ninterval = 50.5\n", {"interval"}},
      {"table for a number", "name = \"a\"\n[interval]\nx = 1\n", {"interval", "must be"}},
      {"list for a single number", "name = \"a\"\ninterval = [100, 200]\n", {"interval"}},
      {"below the range", "name = \"a\"\ninterval = 49\n", {"interval", "49", "50", "60000"}},
      {"above the range", "name = \"a\"\ninterval = 60001\n", {"interval", "60001", "60000"}},
      {"not an address",
       "name = \"a\"\nplatform = [\"host:1\"]\n",
       {"platform", "host:1", "a.b.c.d:port"}},
      {"value not in the allowed list",
       "name = \"a\"\nlog-level = \"loud\"\n",
       {"log-level", "loud", "info", "warn"}},
      {"required key missing", "interval = 100\n", {"name", "required"}},
      {"invalid TOML", "name = \"a\"\ninterval = = 3\n", {"line 2"}},
      {"duplicate key", "name = \"a\"\nname = \"b\"\n", {"line 2", "name"}},
  };
  for (const Row& row : rows) {
    const Outcome outcome = runWith(row.settings);
    INFO(row.name << ": " << outcome.error);
    CHECK(outcome.exit_code == kExitUsage);
    CHECK(outcome.error.find(kFile) != std::string::npos);
    for (const std::string& part : row.error_parts) {
      INFO(part);
      CHECK(outcome.error.find(part) != std::string::npos);
    }
  }
}

TEST_CASE("missing or duplicate settings file is rejected with its name") {
  const Outcome missing = runWith("name = \"a\"\n", {}, "missing.toml");
  INFO(missing.error);
  CHECK(missing.exit_code == kExitUsage);
  CHECK(missing.error.find("missing.toml") != std::string::npos);
  const Outcome twice = runWith("name = \"a\"\n", {"--settings", "other.toml"});
  INFO(twice.error);
  CHECK(twice.exit_code == kExitUsage);
  CHECK(twice.error.find("other.toml") != std::string::npos);
}

}  // namespace
}  // namespace lugfork
