#pragma once

#include <string>
#include <vector>

#include "common/result.h"

namespace lugfork {

/** Totals of one `lugfork-sim run --format json`, as far as the page draws them. */
struct SimulationResult {
  /** Router and placement that the run used, in the words of whoever ran it. */
  std::string label;
  double broken_planned = 0;
  double broken_unplanned = 0;
  double imbalance_p50 = 0;
  double imbalance_p99 = 0;
  /** All fields of the result, in its order, as text. */
  std::vector<std::pair<std::string, std::string>> fields;
};

/** Reads one result. @return the result, or what is wrong with the text. */
Result<SimulationResult, std::string> parseSimulationResult(const std::string& label,
                                                            const std::string& json_text);

/** @return an HTML page on its own: two bar charts (SVG) and a table of all fields. */
std::string renderSimulationPage(const std::vector<SimulationResult>& results);

}  // namespace lugfork
