#include <atomic>
#include <iostream>
#include <nlohmann/json.hpp>
#include <thread>

#include "flow/policy/placement_policy.h"
#include "programs/sim_commands.h"
#include "runtime/program.h"
#include "sim/simulation.h"

namespace lugfork {

namespace {

using Json = nlohmann::ordered_json;

constexpr std::size_t kMaxThreads = 4;
constexpr std::uint64_t kMaxSeeds = 100000;

struct RunSettings {
  std::string scenario_file;
  std::string faults_file;
  std::uint64_t first_seed = 1;
  std::uint64_t last_seed = 1;
  RouterKind router = RouterKind::Token;
  std::string placement = "power_of_two";
  std::string format = "text";
  std::size_t threads = 2;
  bool each_seed = false;
  bool explain = false;
};

Json toJson(const PromiseReport& report) {
  return {{"seeds", report.seeds},
          {"flows", report.flows},
          {"broken_planned", report.broken_planned},
          {"broken_unplanned", report.broken_unplanned},
          {"misdelivered", report.misdelivered},
          {"crossed_answers", report.crossed_answers},
          {"double_runs", report.double_runs},
          {"false_not_run", report.false_not_run},
          {"late_work_on_draining", report.late_work_on_draining},
          {"cut_by_planned_stop", report.cut_by_planned_stop},
          {"config_reverts", report.config_reverts},
          {"config_spread_ms_max", report.config_spread_ms_max},
          {"zone_violations", report.zone_violations},
          {"imbalance_p50", report.imbalance_p50},
          {"imbalance_p99", report.imbalance_p99},
          {"refused", report.refused},
          {"refused_without_retry_after", report.refused_without_retry_after}};
}

void print(const Json& report, const std::string& format) {
  if (format == "json") {
    std::cout << report.dump() << "\n";
    return;
  }
  for (const auto& [name, value] : report.items()) {
    std::cout << name << " " << value.dump() << "\n";
  }
}

double secondsSinceStart(MonotonicTime time) {
  const Duration elapsed = time - EventQueue().now();
  return std::chrono::duration<double>(elapsed).count();
}

void explainFaults(const std::vector<Fault>& faults) {
  for (const Fault& fault : faults) {
    const Json line = {{"fault", toString(fault.kind)},
                       {"at", std::chrono::duration<double>(fault.at).count()},
                       {"for", std::chrono::duration<double>(fault.duration).count()},
                       {"target", fault.target},
                       {"peer", fault.peer},
                       {"one_way", fault.one_way},
                       {"factor", fault.factor},
                       {"lag", std::chrono::duration<double>(fault.lag).count()}};
    std::cerr << line.dump() << "\n";
  }
}

/** Writes the faults and the broken calls of one simulation to standard error. */
void explain(const std::vector<Fault>& faults, const Observations& observations) {
  explainFaults(faults);
  std::map<FlowKey, BackendId> backends;
  for (const PlacementObservation& placement : observations.placements) {
    backends[placement.key] = placement.backend;
  }
  for (const CallRecord& call : observations.calls) {
    if (!call.result) {
      std::cerr << Json({{"never_ended", toString(call.flow)},
                         {"began", secondsSinceStart(call.started_at)}})
                << "\n";
    }
    for (const BreakObservation& broken : call.breaks) {
      const Json line = {
          {"break", toString(broken.key.flow)},     {"attempt", broken.key.attempt},
          {"kind", static_cast<int>(call.kind)},    {"began", secondsSinceStart(call.started_at)},
          {"at", secondsSinceStart(broken.at)},     {"reason", toString(broken.reason)},
          {"backend", backends[broken.key].value()}};
      std::cerr << line.dump() << "\n";
    }
  }
}

/** Simulates all seeds in parallel. @return the reports in the order of the seeds. */
std::vector<PromiseReport> runSeeds(const RunSettings& settings, const Scenario& scenario,
                                    const std::vector<Fault>* faults) {
  std::vector<PromiseReport> reports(settings.last_seed - settings.first_seed + 1);
  std::atomic<std::size_t> next = 0;
  const auto work = [&] {
    for (std::size_t index = next++; index < reports.size(); index = next++) {
      const std::uint64_t seed = settings.first_seed + index;
      const FleetOptions options{settings.router, settings.placement, seed};
      const std::vector<Fault> storm = faults == nullptr ? drawStorm(scenario, seed) : *faults;
      const SimulationResult result = runSimulation(scenario, storm, options);
      reports[index] = result.report;
      if (settings.explain) {
        explain(storm, result.observations);
      }
    }
  };
  std::vector<std::thread> threads;
  for (std::size_t index = 0; index < settings.threads; ++index) {
    threads.emplace_back(work);
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  return reports;
}

int usageError(const std::string& message) {
  std::cerr << message << "\n";
  return kExitUsage;
}

int run(const RunSettings& settings) {
  const auto scenario = readScenario(settings.scenario_file);
  if (!scenario) {
    return usageError(scenario.error().message);
  }
  std::vector<Fault> faults;
  if (!settings.faults_file.empty()) {
    auto table = readFaultTable(settings.faults_file, scenario.value());
    if (!table) {
      return usageError(table.error().message);
    }
    faults = std::move(table.value());
  }
  const std::vector<PromiseReport> reports =
      runSeeds(settings, scenario.value(), settings.faults_file.empty() ? nullptr : &faults);
  PromiseReport total;
  for (std::size_t index = 0; index < reports.size(); ++index) {
    total.add(reports[index]);
    if (settings.each_seed && !reports[index].holds()) {
      Json line = toJson(reports[index]);
      line["seed"] = settings.first_seed + index;
      std::cerr << line.dump() << "\n";
    }
  }
  total.summarize();
  print(toJson(total), settings.format);
  return total.holds() ? kExitSuccess : kExitFailure;
}

/** Parses "A..B" or "A". @return false if the text is neither. */
bool parseSeeds(const std::string& text, RunSettings& settings) {
  const std::size_t dots = text.find("..");
  const std::string first = text.substr(0, dots);
  const std::string last = dots == std::string::npos ? first : text.substr(dots + 2);
  const bool parsed = CLI::detail::lexical_cast(first, settings.first_seed) &&
                      CLI::detail::lexical_cast(last, settings.last_seed);
  return parsed && settings.first_seed <= settings.last_seed &&
         settings.last_seed - settings.first_seed < kMaxSeeds;
}

}  // namespace

void addRunCommand(CLI::App& app, CommandBody& run_body) {
  CLI::App* command =
      app.add_subcommand("run", "simulates a scenario under faults and checks the guarantees");
  const auto settings = std::make_shared<RunSettings>();
  command->add_option("--scenario", settings->scenario_file, "scenario file (TOML)")->required();
  command->add_option("--faults", settings->faults_file,
                      "fault table (TOML); default: random faults drawn from each seed");
  command
      ->add_option_function<std::string>(
          "--seeds",
          [settings](const std::string& text) {
            if (!parseSeeds(text, *settings)) {
              throw CLI::ValidationError("--seeds", "must be a number or A..B with A <= B");
            }
          },
          "seeds to run, as A..B or one number")
      ->default_str("1");
  std::map<std::string, RouterKind> routers;
  for (std::size_t index = 0; index < routerKindNames().size(); ++index) {
    routers[routerKindNames()[index]] = static_cast<RouterKind>(index);
  }
  command->add_option("--router", settings->router, "router: token, maglev-table or rendezvous")
      ->transform(CLI::CheckedTransformer(routers));
  command->add_option("--placement", settings->placement, "placement policy of the token router")
      ->check(CLI::IsMember(placementPolicyNames()));
  command->add_option("--format", settings->format, "output format: json or text")
      ->check(CLI::IsMember({"json", "text"}));
  command->add_option("--threads", settings->threads, "number of seeds simulated in parallel")
      ->check(CLI::Range(std::size_t{1}, kMaxThreads));
  command->add_flag("--each-seed", settings->each_seed,
                    "write the counts of each seed that violates a guarantee to standard error");
  command->add_flag("--explain", settings->explain,
                    "write faults and broken calls to standard error; meant for a single seed");
  command->callback([&run_body, settings] { run_body = [settings] { return run(*settings); }; });
}

}  // namespace lugfork
