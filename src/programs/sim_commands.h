#pragma once

#include <CLI/CLI.hpp>
#include <functional>

/** Subcommands of lugfork-sim. Each sets `run` to its body when it is selected. */
namespace lugfork {

using CommandBody = std::function<int()>;

/** Adds run, which simulates a scenario under faults and checks the guarantees. */
void addRunCommand(CLI::App& app, CommandBody& run);

/** Adds report, which renders JSON results as an HTML page. */
void addReportCommand(CLI::App& app, CommandBody& run);

}  // namespace lugfork
