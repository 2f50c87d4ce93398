#pragma once

#include <CLI/CLI.hpp>
#include <functional>

/** Subcommands of lugforkctl. Each sets `run` to its body when it is selected. */
namespace lugfork {

using CommandBody = std::function<int()>;

/** Adds the flag for the bearer token of the nodes' API; LUGFORK_API_TOKEN sets it as well. */
void addTokenOption(CLI::App& command, std::string& token);

/** Adds apply, drain and validate, which check and publish configurations. */
void addDeclareCommands(CLI::App& app, CommandBody& run);

/** Adds get, status and watch, which read the state of a node. */
void addReadCommands(CLI::App& app, CommandBody& run);

/** Adds generate-key, which creates keys for settings and configuration documents. */
void addKeyCommands(CLI::App& app, CommandBody& run);

/** Adds request, which makes one call as a client. */
void addRequestCommand(CLI::App& app, CommandBody& run);

/** Adds explain, which prints the timeline of a flow or a backend from log lines. */
void addExplainCommand(CLI::App& app, CommandBody& run);

}  // namespace lugfork
