#pragma once

#include <toml++/toml.h>

#include <set>
#include <stdexcept>
#include <string>
#include <vector>

#include "common/time_source.h"

/** Typed access to TOML tables, with errors that name the file, the key and the valid values. */
namespace lugfork {

/** Thrown within the file readers only, which convert it to a typed error. */
class TomlReadError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/** Parses a file. @throws TomlReadError naming the file and the line. */
toml::table parseTomlFile(const std::string& path);

/** One table of a file; tracks the keys that were read, so that unknown ones are rejected. */
class TomlReader {
 public:
  TomlReader(const toml::table& table, std::string file, std::string table_path)
      : table_(table), file_(std::move(file)), table_path_(std::move(table_path)) {}

  std::string text(const char* key);
  std::string text(const char* key, const std::string& fallback);
  double number(const char* key, double min, double max, double fallback);
  std::uint32_t integer(const char* key, std::uint32_t min, std::uint32_t max,
                        std::uint32_t fallback);
  Duration milliseconds(const char* key, std::uint32_t max, Duration fallback);
  bool boolean(const char* key, bool fallback);

  /** @return the index of the value in the list of allowed names. */
  std::size_t choice(const char* key, const std::vector<std::string>& allowed);

  /** @return readers for an array of tables; empty if the key is missing. */
  std::vector<TomlReader> tables(const char* key);

  /** @return a reader for a table, or for an empty table if the key is missing. */
  TomlReader table(const char* key);

  /** Throws TomlReadError if the table has keys that were not read. */
  void rejectUnknownKeys() const;

  [[noreturn]] void fail(const std::string& key, const std::string& problem) const;

 private:
  const toml::node* find(const char* key);

  const toml::table& table_;
  std::string file_;
  std::string table_path_;
  std::set<std::string> read_keys_;
};

}  // namespace lugfork
