#include <fstream>
#include <iostream>

#include "explain/timeline.h"
#include "programs/ctl_commands.h"
#include "programs/ctl_table.h"
#include "runtime/program.h"

namespace lugfork {

namespace {

struct ExplainSettings {
  TimelineQuery question;
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

/** @throws std::runtime_error where a file can't be read. */
std::vector<LogLine> readLogs(const std::vector<std::string>& files) {
  std::vector<LogLine> lines;
  if (files.empty()) {
    readLines(std::cin, lines);
  }
  for (const std::string& name : files) {
    std::ifstream file(name);
    if (!file) {
      throw std::runtime_error(name + " can't be read");
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

void printStory(const Timeline& story) {
  for (const auto& [node, skew_ms] : story.skewed_clocks) {
    std::cout << "clock of " << node << " is off by " << skew_ms
              << " ms; its times are corrected\n";
  }
  std::vector<std::vector<std::string>> rows = {{"TIME", "NODE", "EVENT", "DETAILS"}};
  for (const TimelineEntry& line : story.lines) {
    rows.push_back(
        {formatTimeOfDay(line.time_ms), line.line.node, line.line.event, detailsOf(line)});
  }
  std::cout << formatTable(rows);
}

int explain(const ExplainSettings& settings) {
  const std::vector<LogLine> lines = readLogs(settings.files);
  const Timeline story = buildTimeline(lines, settings.question);
  if (story.lines.empty()) {
    std::cerr << "none of " << lines.size() << " log lines tells of it\n";
    return kExitFailure;
  }
  printStory(story);
  return kExitSuccess;
}

}  // namespace

void addExplainCommand(CLI::App& app, CommandBody& run) {
  const auto settings = std::make_shared<ExplainSettings>();
  CLI::App* command = app.add_subcommand(
      "explain", "tells the story of one flow or back end from the logs of all nodes");
  CLI::Option* flow = command->add_option("--flow", settings->question.flow,
                                          "caller's address:port, or caller>service");
  CLI::Option* backend =
      command->add_option("--backend", settings->question.backend, "name or id of a back end");
  flow->excludes(backend);
  command
      ->add_option("--around-ms", settings->question.around_ms,
                   "time around the flow's own lines from which others are told [ms]")
      ->check(CLI::Range(0, 3600000))
      ->capture_default_str();
  command->add_option("files", settings->files, "log files; standard input without any");
  command->callback([&run, settings, flow, backend] {
    if (flow->empty() && backend->empty()) {
      throw CLI::ValidationError("explain", "--flow or --backend is needed");
    }
    run = [settings] { return explain(*settings); };
  });
}

}  // namespace lugfork
