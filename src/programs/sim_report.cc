#include <fstream>
#include <iostream>
#include <iterator>

#include "programs/sim_commands.h"
#include "runtime/program.h"
#include "runtime/simulation_page.h"

namespace lugfork {

namespace {

struct ReportSettings {
  /** Results as LABEL=FILE. */
  std::vector<std::string> results;
  std::string output;
};

std::string checkLabeledFile(const std::string& text) {
  const auto equals = text.find('=');
  return equals != std::string::npos && equals > 0 ? ""
                                                   : "must be LABEL=FILE, got \"" + text + "\"";
}

int report(const ReportSettings& settings) {
  std::vector<SimulationSummary> results;
  for (const std::string& text : settings.results) {
    const auto equals = text.find('=');
    const std::string path = text.substr(equals + 1);
    std::ifstream file(path);
    const std::string content{std::istreambuf_iterator<char>(file),
                              std::istreambuf_iterator<char>()};
    auto result = parseSimulationResult(text.substr(0, equals), content);
    if (!result) {
      std::cerr << path << ": " << result.error() << '\n';
      return kExitUsage;
    }
    results.push_back(std::move(result.value()));
  }
  std::ofstream output(settings.output);
  output << renderSimulationPage(results) << std::flush;
  if (!output) {
    std::cerr << settings.output << ": can't be written\n";
    return kExitFailure;
  }
  return kExitSuccess;
}

}  // namespace

void addReportCommand(CLI::App& app, CommandBody& run) {
  CLI::App* command = app.add_subcommand(
      "report", "writes an HTML page of broken flows and imbalance from results of run");
  const auto settings = std::make_shared<ReportSettings>();
  command->add_option("--result", settings->results, "result of run --format json; may be repeated")
      ->required()
      ->check(CLI::Validator(checkLabeledFile, "LABEL=FILE"));
  command->add_option("--output", settings->output, "output file (HTML)")->required();
  command->callback([&run, settings] { run = [settings] { return report(*settings); }; });
}

}  // namespace lugfork
