#pragma once

#include <CLI/CLI.hpp>
#include <functional>

/** Subcommands of lugfork-standin. Each sets `run` to its body when it is selected. */
namespace lugfork {

using CommandBody = std::function<int()>;

/** Adds platform, which serves the configuration and the machine list. */
void addPlatformCommand(CLI::App& app, CommandBody& run);

/** Adds fabric, which sprays datagrams over the balancers. */
void addFabricCommand(CLI::App& app, CommandBody& run);

/** Adds backend, which serves requests of one service. */
void addBackendCommand(CLI::App& app, CommandBody& run);

/** Adds caller, a client that makes calls and checks the answers. */
void addClientCommand(CLI::App& app, CommandBody& run);

}  // namespace lugfork
