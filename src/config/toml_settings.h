#pragma once

#include <CLI/CLI.hpp>
#include <string>

namespace lugfork {

/**
 * Lets a program take its settings from a TOML file as well as from flags: each key of the file is
 * the long name of a flag, and flags win. CLI11 checks values and refuses unknown keys.
 */
void addSettingsFile(CLI::App& app);

/** @return the error in one line that names the settings file, where there is one, and the key. */
std::string describeSettingsError(const CLI::App& app, const CLI::Error& error);

}  // namespace lugfork
