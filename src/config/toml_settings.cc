#include "config/toml_settings.h"

#include <toml++/toml.h>

#include <iterator>
#include <sstream>

namespace lugfork {

namespace {

std::string scalarText(const toml::node& node, const std::string& key) {
  if (const auto text = node.value<std::string>(); text && node.is_string()) {
    return *text;
  }
  if (!node.is_boolean() && !node.is_integer() && !node.is_floating_point()) {
    throw CLI::ConfigError("key \"" + key + "\" must be a string, number, boolean or an array");
  }
  std::ostringstream text;
  node.visit([&](const auto& value) { text << value; });
  return text.str();
}

CLI::ConfigItem toConfigItem(const std::string& key, const toml::node& node) {
  CLI::ConfigItem item;
  item.name = key;
  if (const toml::array* values = node.as_array()) {
    for (const toml::node& value : *values) {
      item.inputs.push_back(scalarText(value, key));
    }
  } else {
    item.inputs.push_back(scalarText(node, key));
  }
  return item;
}

/** @return the long names of all flags allowed in a settings file, for error messages. */
std::string allowedKeys(const CLI::App& app) {
  std::string keys;
  for (const CLI::Option* option : app.get_options()) {
    if (option->get_configurable() && option != app.get_config_ptr() &&
        !option->get_lnames().empty()) {
      keys += (keys.empty() ? "" : ", ") + option->get_lnames().front();
    }
  }
  return keys;
}

/** Parses TOML with toml++, since CLI11's own parser supports only part of the format. */
class TomlConfig : public CLI::ConfigTOML {
 public:
  explicit TomlConfig(const CLI::App& app) : app_(app) {}

  std::vector<CLI::ConfigItem> from_config(std::istream& input) const override {
    std::vector<CLI::ConfigItem> entries;
    try {
      // Read the whole file first: toml++ seeks to the start of the stream, which fails for a pipe.
      const std::string text{std::istreambuf_iterator<char>(input), {}};
      const toml::table table = toml::parse(text);
      for (const auto& [key, node] : table) {
        const std::string name(key.str());
        requireKnown(name, key.source().begin.line);
        const toml::array* list = node.as_array();
        if (list != nullptr && list->empty()) {
          // Treated like a missing key, since CLI11 rejects options without a value.
          continue;
        }
        entries.push_back(toConfigItem(name, node));
      }
    } catch (const toml::parse_error& error) {
      std::ostringstream text;
      text << "line " << error.source().begin.line << ": " << error.description();
      throw CLI::ConfigError(text.str());
    }
    return entries;
  }

 private:
  /** Rejects unknown keys. CLI11's own error names neither the key nor the allowed ones. */
  void requireKnown(const std::string& key, toml::source_index line) const {
    const CLI::Option* option = app_.get_option_no_throw("--" + key);
    if (option != nullptr && option->get_configurable() && option != app_.get_config_ptr()) {
      return;
    }
    std::ostringstream text;
    text << "line " << line << ": unknown key \"" << key << "\"; allowed: " << allowedKeys(app_);
    throw CLI::ConfigError(text.str());
  }

  const CLI::App& app_;
};

}  // namespace

void addSettingsFile(CLI::App& app) {
  app.set_config("--settings", "", "settings file (TOML); keys are the long names of flags");
  app.config_formatter(std::make_shared<TomlConfig>(app));
  app.allow_config_extras(CLI::config_extras_mode::error);
}

std::string describeSettingsError(const CLI::App& app, const CLI::Error& error) {
  const CLI::Option* file = app.get_config_ptr();
  std::string text;
  if (file != nullptr && file->count() > 0) {
    // as<>() would throw again if the flag itself is invalid, for example given twice.
    text = "settings file " + CLI::detail::join(file->results(), ", ") + " or flags: ";
  }
  return text + error.what();
}

}  // namespace lugfork
