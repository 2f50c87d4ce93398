#pragma once

#include <CLI/CLI.hpp>
#include <functional>

/** Subcommands of lugforkctl. Each sets `run` to its body when it is chosen. */
namespace lugfork {

using CommandBody = std::function<int()>;

/** apply and validate: declare a configuration. */
void addDeclareCommands(CLI::App& app, CommandBody& run);

/** get, status and watch: read what is in force. */
void addReadCommands(CLI::App& app, CommandBody& run);

/** request: make one call as a caller. */
void addRequestCommand(CLI::App& app, CommandBody& run);

}  // namespace lugfork
