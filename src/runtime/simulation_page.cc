#include "runtime/simulation_page.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <sstream>

namespace lugfork {

namespace {

constexpr int kLabelWidth = 260;
constexpr int kBarWidth = 420;
constexpr int kBarHeight = 16;
constexpr int kGroupGap = 10;
constexpr int kValueWidth = 120;

/** One measure of a chart and its colour. */
struct Measure {
  const char* name;
  const char* colour;
  double SimulationSummary::*value;
};

constexpr Measure kBrokenFlows[] = {
    {"planned changes", "#c0392b", &SimulationSummary::broken_planned},
    {"unplanned backend failures", "#7f8c8d", &SimulationSummary::broken_unplanned},
};
constexpr Measure kImbalance[] = {
    {"median", "#2980b9", &SimulationSummary::imbalance_p50},
    {"99th percentile", "#8e44ad", &SimulationSummary::imbalance_p99},
};

std::string escape(const std::string& text) {
  std::string escaped;
  for (const char c : text) {
    switch (c) {
      case '<':
        escaped += "&lt;";
        break;
      case '>':
        escaped += "&gt;";
        break;
      case '&':
        escaped += "&amp;";
        break;
      case '"':
        escaped += "&quot;";
        break;
      default:
        escaped += c;
    }
  }
  return escaped;
}

double maxValue(const std::vector<SimulationSummary>& results, const Measure (&measures)[2]) {
  double max_value = 0;
  for (const SimulationSummary& result : results) {
    for (const Measure& measure : measures) {
      max_value = std::max(max_value, result.*measure.value);
    }
  }
  return max_value;
}

void drawBar(std::ostringstream& svg, int y, double value, double max_value, const char* colour) {
  const double width = max_value > 0 ? kBarWidth * value / max_value : 0;
  svg << "<rect x=\"" << kLabelWidth << "\" y=\"" << y << "\" width=\"" << width << "\" height=\""
      << kBarHeight - 2 << "\" fill=\"" << colour << "\"/><text x=\"" << kLabelWidth + width + 6
      << "\" y=\"" << y + kBarHeight - 4 << "\">" << value << "</text>\n";
}

std::string chart(const std::string& title, const std::vector<SimulationSummary>& results,
                  const Measure (&measures)[2]) {
  const double max_value = maxValue(results, measures);
  const int group = 2 * kBarHeight + kGroupGap;
  const int height = group * static_cast<int>(results.size()) + kGroupGap;
  std::ostringstream svg;
  svg << "<h2>" << title << "</h2>\n<p>";
  for (const Measure& measure : measures) {
    svg << "<span style=\"color:" << measure.colour << "\">&#9632;</span> " << measure.name << " ";
  }
  svg << "</p>\n<svg xmlns=\"http://www.w3.org/2000/svg\" width=\""
      << kLabelWidth + kBarWidth + kValueWidth << "\" height=\"" << height << "\">\n";
  int y = kGroupGap;
  for (const SimulationSummary& result : results) {
    svg << "<text x=\"0\" y=\"" << y + kBarHeight << "\">" << escape(result.label) << "</text>\n";
    for (const Measure& measure : measures) {
      drawBar(svg, y, result.*measure.value, max_value, measure.colour);
      y += kBarHeight;
    }
    y += kGroupGap;
  }
  svg << "</svg>\n";
  return svg.str();
}

std::string table(const std::vector<SimulationSummary>& results) {
  std::ostringstream html;
  html << "<h2>All counts</h2>\n<table>\n<tr><th></th>";
  for (const SimulationSummary& result : results) {
    html << "<th>" << escape(result.label) << "</th>";
  }
  html << "</tr>\n";
  for (const auto& field_of_first : results.front().fields) {
    const std::string& name = field_of_first.first;
    html << "<tr><td>" << escape(name) << "</td>";
    for (const SimulationSummary& result : results) {
      const auto field = std::find_if(result.fields.begin(), result.fields.end(),
                                      [&](const auto& entry) { return entry.first == name; });
      html << "<td>" << (field == result.fields.end() ? "" : escape(field->second)) << "</td>";
    }
    html << "</tr>\n";
  }
  html << "</table>\n";
  return html.str();
}

}  // namespace

Result<SimulationSummary, std::string> parseSimulationResult(const std::string& label,
                                                             const std::string& json_text) {
  const auto document = nlohmann::ordered_json::parse(json_text, nullptr, false);
  if (!document.is_object()) {
    return std::string("must be the single JSON object that lugfork-sim run prints");
  }
  SimulationSummary result;
  result.label = label;
  const std::pair<const char*, double*> numbers[] = {
      {"broken_planned", &result.broken_planned},
      {"broken_unplanned", &result.broken_unplanned},
      {"imbalance_p50", &result.imbalance_p50},
      {"imbalance_p99", &result.imbalance_p99},
  };
  for (const auto& [name, value] : numbers) {
    if (!document.contains(name) || !document[name].is_number()) {
      return "must have a number \"" + std::string(name) + "\"";
    }
    *value = document[name].get<double>();
  }
  for (const auto& [name, value] : document.items()) {
    result.fields.emplace_back(name, value.dump());
  }
  return result;
}

std::string renderSimulationPage(const std::vector<SimulationSummary>& results) {
  std::ostringstream page;
  page << "<!DOCTYPE html>\n<html><head><meta charset=\"utf-8\"><title>lugfork simulation</title>\n"
          "<style>body{font-family:sans-serif;margin:2em}svg text{font-size:12px}"
          "td,th{padding:2px 10px;text-align:right}td:first-child{text-align:left}</style></head>\n"
          "<body><h1>lugfork: simulated fleets by router and placement</h1>\n";
  if (!results.empty()) {
    page << chart("Broken flows", results, kBrokenFlows)
         << chart("Imbalance: busiest backend over the mean", results, kImbalance)
         << table(results);
  }
  page << "</body></html>\n";
  return page.str();
}

}  // namespace lugfork
