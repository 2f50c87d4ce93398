#pragma once

#include <CLI/CLI.hpp>
#include <functional>

/** Subcommands of lugfork-standin. Each sets `run` to its body when it is chosen. */
namespace lugfork {

using CommandBody = std::function<int()>;

/** Configuration service and machine list. */
void addPlatformCommand(CLI::App& app, CommandBody& run);

/** Network fabric that sprays datagrams over the balancers. */
void addFabricCommand(CLI::App& app, CommandBody& run);

/** Back end that serves requests. */
void addBackendCommand(CLI::App& app, CommandBody& run);

/** Callers that make many calls and check the answers. */
void addClientCommand(CLI::App& app, CommandBody& run);

}  // namespace lugfork
