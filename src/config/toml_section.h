/// \file
/// Typed access to the tables of a TOML file. Problems are collected, so that one pass checks the whole file.
#pragma once

#include <toml++/toml.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "config/config_error.h"

namespace indigorill {

/// Throws ConfigError if the file can't be read or is not TOML.
toml::table read_toml_file(const std::string& file);

/// Collects the problems of a file.
class ConfigDiagnostics {
 public:
  /// `region` is the position of the problem; it has no path if the value was not read from a file.
  void add(const toml::source_region& region, const std::string& field, const std::string& cause);

  /// Adds a problem that `cause` describes in full.
  void add(const toml::source_region& region, const std::string& cause);

  /// Throws ConfigError with all problems, if there are any.
  void throw_if_any() const;

 private:
  std::vector<ConfigProblem> problems_;
};

/// Reads the keys of one table. The table and the diagnostics must outlive it.
///
/// A key without a default value is required. If a required key is missing or a value is invalid, a problem
/// is added to the diagnostics, and the function returns the default or another value in range, so that
/// reading can continue.
class TomlSection {
 public:
  /// `name` is the dotted path of the table, empty for the root.
  TomlSection(const toml::table& table, std::string name, ConfigDiagnostics& diagnostics)
      : table_(table), name_(std::move(name)), diagnostics_(diagnostics) {}

  double number(const char* key, std::optional<double> default_value, double min, double max);

  /// A duration of up to a day, in seconds in the file; the default and the result are in milliseconds.
  double seconds_as_ms(const char* key, std::optional<double> default_ms);

  /// A duration of up to a day, in milliseconds.
  double duration_ms(const char* key, std::optional<double> default_ms);

  int integer(const char* key, std::optional<int> default_value, int min, int max);
  bool boolean(const char* key, bool default_value);
  std::string string(const char* key, const std::optional<std::string>& default_value);
  std::vector<std::string> strings(const char* key);  ///< empty if the key is absent

  /// Returns an empty table or list if the key is absent.
  const toml::table& table(const char* key, bool is_required);
  std::vector<const toml::table*> tables(const char* key, bool is_required);

  /// Returns the value that `names` maps the string at the key to.
  template <class T>
  T enum_value(const char* key, std::optional<T> default_value, const std::map<std::string, T>& names) {
    const toml::node* node = find(key, default_value.has_value());
    if (!node) return default_value.value_or(names.begin()->second);
    const auto entry = names.find(node->value_or(std::string()));
    if (node->is_string() && entry != names.end()) return entry->second;
    std::string known_names;
    for (const auto& [name, value] : names) known_names += (known_names.empty() ? "" : ", ") + name;
    add_error_at(*node, key, "is not one of " + known_names);
    return names.begin()->second;
  }

  bool has(const char* key) const { return table_.contains(key); }

  /// Adds a problem with the value at the key; `cause` continues a sentence that starts with the key.
  void add_error(const char* key, const std::string& cause);

  /// Adds a problem for each key that was not read.
  void reject_unknown_keys();

 private:
  std::string qualified_key(std::string_view key) const;
  void add_error_at(const toml::node& node, const char* key, const std::string& cause);
  const toml::node* find(const char* key, bool is_optional);
  const toml::array* find_array(const char* key, bool is_optional, const std::string& cause);

  const toml::table& table_;
  std::string name_;
  ConfigDiagnostics& diagnostics_;
  std::set<std::string> used_keys_;
};

}  // namespace indigorill
