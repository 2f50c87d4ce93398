#include "config/toml_settings.h"

#include <toml++/toml.h>
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

/** Reads TOML with toml++ in place of CLI11's own reader, which takes only part of the format. */
class TomlConfig : public CLI::ConfigTOML {
 public:
  std::vector<CLI::ConfigItem> from_config(std::istream& input) const override {
    std::vector<CLI::ConfigItem> entries;
    try {
      const toml::table table = toml::parse(input);
      for (const auto& [key, node] : table) {
        entries.push_back(toConfigItem(std::string(key.str()), node));
      }
    } catch (const toml::parse_error& error) {
      std::ostringstream text;
      text << "line " << error.source().begin.line << ": " << error.description();
      throw CLI::ConfigError(text.str());
    }
    return entries;
  }
};

}  // namespace

void addSettingsFile(CLI::App& app) {
  app.set_config("--settings", "", "settings file (TOML); each key is a long flag's name");
  app.config_formatter(std::make_shared<TomlConfig>());
  app.allow_config_extras(CLI::config_extras_mode::error);
}

std::string describeSettingsError(const CLI::App& app, const CLI::Error& error) {
  const CLI::Option* file = app.get_config_ptr();
  std::string text;
  if (file != nullptr && file->count() > 0) {
    text = "settings file " + file->as<std::string>() + " or flags: ";
  }
  return text + error.what();
}

}  // namespace lugfork
