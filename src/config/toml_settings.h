#pragma once

#include <CLI/CLI.hpp>
#include <string>

namespace lugfork {

/**
 * Adds a flag for a TOML settings file to a program. Each key of the file is the long name of a
 * flag; flags on the command line take precedence. CLI11 validates values and rejects unknown keys.
 */
void addSettingsFile(CLI::App& app);

/** @return the error and its key on one line, prefixed with the settings file if one was given. */
std::string describeSettingsError(const CLI::App& app, const CLI::Error& error);

}  // namespace lugfork
