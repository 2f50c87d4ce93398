#pragma once

#include <CLI/CLI.hpp>
#include <functional>

/** Subcommands of lugfork-sim. Each sets `run` to its body when it is chosen. */
namespace lugfork {

using CommandBody = std::function<int()>;

/** run: scenarios with faults, and the promises checked. */
void addRunCommand(CLI::App& app, CommandBody& run);

/** report: turns JSON results into a page. */
void addReportCommand(CLI::App& app, CommandBody& run);

}  // namespace lugfork
