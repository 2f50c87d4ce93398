#pragma once

#include <CLI/CLI.hpp>
#include <functional>

/** Subcommands of lugforkctl. Each sets `run` to its body when it is chosen. */
namespace lugfork {

using CommandBody = std::function<int()>;

/** Flag for the bearer token of the nodes' API, also taken from LUGFORK_API_TOKEN. */
void addTokenOption(CLI::App& command, std::string& token);

/** apply, drain and validate: declare a configuration. */
void addDeclareCommands(CLI::App& app, CommandBody& run);

/** get, status and watch: read what is in force. */
void addReadCommands(CLI::App& app, CommandBody& run);

/** generate-key: fresh keys for settings and documents. */
void addKeyCommands(CLI::App& app, CommandBody& run);

/** request: make one call as a caller. */
void addRequestCommand(CLI::App& app, CommandBody& run);

/** explain: the story of a flow or a back end from log lines. */
void addExplainCommand(CLI::App& app, CommandBody& run);

}  // namespace lugfork
