#include <fstream>
#include <iostream>

#include "explain/timeline.h"
#include "programs/ctl_commands.h"
#include "programs/ctl_table.h"
#include "runtime/program.h"

namespace lugfork {

namespace {

struct ExplainSettings {
  TimelineQuery query;
  std::vector<std::string> files;
};

void readLines(std::istream& input, std::vector<LogLine>& lines) {
  std::string text;
  while (std::getline(input, text)) {
    if (auto line = parseLogLine(text)) {
      lines.push_back(std::move(*line));
    }
  }
}

/** @throws std::runtime_error if a file can't be read. */
std::vector<LogLine> readLogs(const std::vector<std::string>& files) {
  std::vector<LogLine> lines;
  if (files.empty()) {
    readLines(std::cin, lines);
  }
  for (const std::string& name : files) {
    std::ifstream file(name);
    if (!file) {
      throw std::runtime_error(name + ": can't be read");
    }
    readLines(file, lines);
  }
  return lines;
}

std::string detailsOf(const TimelineEntry& line) {
  std::string details;
  for (const auto& [name, value] : line.line.fields.items()) {
    const std::string text = line.line.text(name.c_str());
    details += (details.empty() ? "" : " ") + name + "=" + (text.empty() ? "-" : text);
  }
  if (!line.other_nodes.empty()) {
    details += " (and " + std::to_string(line.other_nodes.size()) + " other nodes within " +
               std::to_string(line.last_time_ms - line.time_ms) + " ms)";
  }
  return details;
}

void printTimeline(const Timeline& timeline) {
  for (const auto& [node, skew_ms] : timeline.skewed_clocks) {
    std::cout << "clock of " << node << " is skewed by " << skew_ms
              << " ms; its times are corrected\n";
  }
  std::vector<std::vector<std::string>> rows = {{"TIME", "NODE", "EVENT", "DETAILS"}};
  for (const TimelineEntry& line : timeline.lines) {
    rows.push_back(
        {formatTimeOfDay(line.time_ms), line.line.node, line.line.event, detailsOf(line)});
  }
  std::cout << formatTable(rows);
}

int explain(const ExplainSettings& settings) {
  const std::vector<LogLine> lines = readLogs(settings.files);
  const Timeline timeline = buildTimeline(lines, settings.query);
  if (timeline.lines.empty()) {
    std::cerr << "none of " << lines.size() << " log lines matches the query\n";
    return kExitFailure;
  }
  printTimeline(timeline);
  return kExitSuccess;
}

}  // namespace

void addExplainCommand(CLI::App& app, CommandBody& run) {
  const auto settings = std::make_shared<ExplainSettings>();
  CLI::App* command = app.add_subcommand(
      "explain", "prints the timeline of one flow or backend from the logs of all nodes");
  CLI::Option* flow = command->add_option("--flow", settings->query.flow,
                                          "client's address:port, or client>service");
  CLI::Option* backend =
      command->add_option("--backend", settings->query.backend, "name or id of a backend");
  flow->excludes(backend);
  command
      ->add_option(
          "--around-ms", settings->query.around_ms,
          "time before and after the flow's own lines from which other lines are included [ms]")
      ->check(CLI::Range(0, 3600000))
      ->capture_default_str();
  command->add_option("files", settings->files, "log files; standard input if none is given");
  command->callback([&run, settings, flow, backend] {
    if (flow->empty() && backend->empty()) {
      throw CLI::ValidationError("explain", "one of --flow and --backend is required");
    }
    run = [settings] { return explain(*settings); };
  });
}

}  // namespace lugfork
