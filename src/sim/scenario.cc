#include "sim/scenario.h"

#include <filesystem>
#include <fstream>
#include <sstream>

#include "config/configuration_document.h"
#include "sim/toml_reader.h"

namespace lugfork {

namespace {

constexpr std::uint32_t kMaxMilliseconds = 600000;
constexpr std::uint32_t kMaxPieces = 100000;

std::string readFile(const std::filesystem::path& path, const TomlReader& reader) {
  std::ifstream stream(path);
  std::ostringstream text;
  text << stream.rdbuf();
  if (!stream) {
    reader.fail("configuration", "names a file that can't be read: " + path.string());
  }
  return text.str();
}

Duration microseconds(TomlReader& reader, const char* key, Duration fallback) {
  const auto fallback_us = static_cast<std::uint32_t>(fallback.count());
  return Duration(reader.integer(key, 1, 1000000, fallback_us));
}

LinkSettings readLinks(TomlReader reader) {
  LinkSettings links;
  links.within_zone = microseconds(reader, "within_zone_us", links.within_zone);
  links.between_zones = microseconds(reader, "between_zones_us", links.between_zones);
  links.to_clients = microseconds(reader, "to_callers_us", links.to_clients);
  links.jitter = reader.number("jitter", 0, 100, links.jitter);
  links.loss = reader.number("loss", 0, 0.5, links.loss);
  links.duplication = reader.number("duplication", 0, 0.5, links.duplication);
  reader.rejectUnknownKeys();
  return links;
}

CallMix readCallMix(TomlReader& reader, const ConfigurationView& configuration) {
  CallMix mix;
  mix.service = reader.text("service");
  bool known = false;
  for (const Service& service : configuration.document().services) {
    known = known || service.name == mix.service;
  }
  if (!known) {
    reader.fail("service", "is \"" + mix.service + "\", which the configuration does not declare");
  }
  mix.order.kind = static_cast<WorkKind>(reader.choice("kind", {"stream", "precheck", "upload"}));
  mix.order.request_pieces = reader.integer("request_pieces", 0, kMaxPieces, 0);
  mix.order.answer_pieces = reader.integer("answer_pieces", 1, kMaxPieces, 1);
  mix.order.answer_interval_ms = reader.integer("answer_interval_ms", 0, 60000, 0);
  mix.order.work_ms = reader.integer("work_ms", 0, 60000, 0);
  mix.rate_per_second = reader.number("rate_per_second", 0, 10000, 0);
  mix.burst_interval = reader.milliseconds("burst_interval_ms", kMaxMilliseconds, {});
  mix.burst_size = reader.integer("burst_size", 0, 10000, 0);
  mix.deadline = reader.milliseconds("deadline_ms", kMaxMilliseconds, {});
  reader.rejectUnknownKeys();
  return mix;
}

Scenario read(const std::string& path) {
  const toml::table table = parseTomlFile(path);
  TomlReader reader(table, path, "");
  Scenario scenario;
  scenario.name = reader.text("name");
  const std::filesystem::path folder = std::filesystem::path(path).parent_path();
  scenario.configuration = readFile(folder / reader.text("configuration"), reader);
  auto parsed = parseConfigurationDocument(scenario.configuration);
  if (!parsed) {
    reader.fail("configuration", "is not valid: " + describeProblems(parsed.error()));
  }
  const ConfigurationView view(std::move(parsed.value()));
  scenario.balancers_per_zone = reader.integer("balancers_per_zone", 1, 100, 2);
  scenario.platform_replicas = reader.integer("platform_replicas", 1, 10, 2);
  scenario.duration = reader.milliseconds("duration_ms", kMaxMilliseconds, scenario.duration);
  scenario.settle = reader.milliseconds("settle_ms", kMaxMilliseconds, scenario.settle);
  scenario.health_lag = reader.milliseconds("health_lag_ms", 10000, scenario.health_lag);
  scenario.machine_list_lag =
      reader.milliseconds("machine_list_lag_ms", 60000, scenario.machine_list_lag);
  scenario.clock_skew = reader.milliseconds("clock_skew_ms", 250, scenario.clock_skew);
  scenario.links = readLinks(reader.table("links"));
  for (TomlReader& calls : reader.tables("calls")) {
    scenario.calls.push_back(readCallMix(calls, view));
  }
  reader.rejectUnknownKeys();
  return scenario;
}

}  // namespace

Result<Scenario, ScenarioError> readScenario(const std::string& path) {
  try {
    return read(path);
  } catch (const TomlReadError& error) {
    return ScenarioError{error.what()};
  }
}

}  // namespace lugfork
