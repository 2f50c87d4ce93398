#pragma once

#include <string>
#include <vector>

#include "common/result.h"

namespace lugfork {

/** Totals of one `lugfork-sim run --format json` that the page shows. */
struct SimulationSummary {
  /** Free text that names the router and placement of the run. */
  std::string label;
  double broken_planned = 0;
  double broken_unplanned = 0;
  double imbalance_p50 = 0;
  double imbalance_p99 = 0;
  /** All fields of the result as text, in their original order. */
  std::vector<std::pair<std::string, std::string>> fields;
};

/** Parses one result. @return the result, or an error message. */
Result<SimulationSummary, std::string> parseSimulationResult(const std::string& label,
                                                             const std::string& json_text);

/** @return a self-contained HTML page: two bar charts (SVG) and a table of all fields. */
std::string renderSimulationPage(const std::vector<SimulationSummary>& results);

}  // namespace lugfork
