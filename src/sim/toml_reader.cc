#include "sim/toml_reader.h"

#include <algorithm>
#include <sstream>

namespace lugfork {

namespace {

const toml::table kEmptyTable;

std::string joined(const std::vector<std::string>& names) {
  std::string text;
  for (const std::string& name : names) {
    text += (text.empty() ? "" : ", ") + name;
  }
  return text;
}

std::string rangeText(double min, double max) {
  std::ostringstream text;
  text << "must be a number from " << min << " to " << max;
  return text.str();
}

}  // namespace

toml::table parseTomlFile(const std::string& path) {
  try {
    return toml::parse_file(path);
  } catch (const toml::parse_error& error) {
    std::ostringstream text;
    text << path << ":" << error.source().begin.line << ": " << error.description();
    throw TomlReadError(text.str());
  }
}

std::string TomlReader::text(const char* key) {
  const toml::node* node = find(key);
  if (node == nullptr || !node->is_string()) {
    fail(key, "must be a string");
  }
  return *node->value<std::string>();
}

std::string TomlReader::text(const char* key, const std::string& fallback) {
  return table_.contains(key) ? text(key) : (find(key), fallback);
}

double TomlReader::number(const char* key, double min, double max, double fallback) {
  const toml::node* node = find(key);
  if (node == nullptr) {
    return fallback;
  }
  const auto value = node->value<double>();
  if (!value || !node->is_number() || *value < min || *value > max) {
    fail(key, rangeText(min, max));
  }
  return *value;
}

std::uint32_t TomlReader::integer(const char* key, std::uint32_t min, std::uint32_t max,
                                  std::uint32_t fallback) {
  const toml::node* node = find(key);
  if (node == nullptr) {
    return fallback;
  }
  const auto value = node->value<std::int64_t>();
  if (!node->is_integer() || *value < min || *value > max) {
    fail(key, "must be a whole number from " + std::to_string(min) + " to " + std::to_string(max));
  }
  return static_cast<std::uint32_t>(*value);
}

Duration TomlReader::milliseconds(const char* key, std::uint32_t max, Duration fallback) {
  constexpr std::uint32_t kMissing = ~0U;
  const std::uint32_t value = integer(key, 0, max, kMissing);
  return value == kMissing ? fallback : std::chrono::milliseconds(value);
}

bool TomlReader::boolean(const char* key, bool fallback) {
  const toml::node* node = find(key);
  if (node == nullptr) {
    return fallback;
  }
  if (!node->is_boolean()) {
    fail(key, "must be true or false");
  }
  return *node->value<bool>();
}

std::size_t TomlReader::choice(const char* key, const std::vector<std::string>& allowed) {
  const std::string name = text(key);
  const auto found = std::find(allowed.begin(), allowed.end(), name);
  if (found == allowed.end()) {
    fail(key, "is \"" + name + "\" but must be one of " + joined(allowed));
  }
  return static_cast<std::size_t>(found - allowed.begin());
}

std::vector<TomlReader> TomlReader::tables(const char* key) {
  std::vector<TomlReader> readers;
  const toml::node* node = find(key);
  if (node == nullptr) {
    return readers;
  }
  if (!node->is_array_of_tables()) {
    fail(key, "must be an array of tables");
  }
  for (const toml::node& entry : *node->as_array()) {
    const std::string table_path = table_path_ + key + "[" + std::to_string(readers.size()) + "].";
    readers.emplace_back(*entry.as_table(), file_, table_path);
  }
  return readers;
}

TomlReader TomlReader::table(const char* key) {
  const toml::node* node = find(key);
  if (node != nullptr && !node->is_table()) {
    fail(key, "must be a table");
  }
  return {node == nullptr ? kEmptyTable : *node->as_table(), file_, table_path_ + key + "."};
}

void TomlReader::rejectUnknownKeys() const {
  for (const auto& [key, value] : table_) {
    const std::string name(key.str());
    if (!read_keys_.contains(name)) {
      fail(name, "is unknown; allowed are " +
                     joined(std::vector<std::string>(read_keys_.begin(), read_keys_.end())));
    }
  }
}

void TomlReader::fail(const std::string& key, const std::string& problem) const {
  throw TomlReadError(file_ + ": " + table_path_ + key + " " + problem);
}

const toml::node* TomlReader::find(const char* key) {
  read_keys_.insert(key);
  return table_.get(key);
}

}  // namespace lugfork
