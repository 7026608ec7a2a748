// Tables of a TOML file, whose keys are read by name, type and range; faults name file and line and are
// collected, so that a file is checked as a whole.
#pragma once

#include <toml++/toml.h>

#include <map>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace indigorill {

// Each fault is a line of its own: file, line, reason.
struct ConfigError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

toml::table read_toml_file(const std::string& file);  // throws faulty

class ConfigDiagnostics {
 public:
  void add(const toml::source_region& where, const std::string& reason);
  void throw_if_any() const;  // throws faulty, if there is any

 private:
  std::string text_;
};

// One table; what is not read by none_left() is a fault.
class TomlSection {
 public:
  TomlSection(const toml::table& t, std::string name, ConfigDiagnostics& into)
      : table_(t), name_(std::move(name)), diagnostics_(into) {}

  double number(const char* key, std::optional<double> absent, double least, double most);
  double seconds_as_ms(const char* key, std::optional<double> absent);  // up to a day, as ms
  double duration_ms(const char* key, std::optional<double> absent);    // up to a day
  int integer(const char* key, std::optional<int> absent, int least, int most);
  bool boolean(const char* key, bool absent);
  std::string string(const char* key, std::optional<std::string> absent);
  std::vector<std::string> strings(const char* key);       // a list; empty where absent
  const toml::table& table(const char* key, bool needed);  // empty where absent
  std::vector<const toml::table*> tables(const char* key, bool needed);

  template <class T>
  T enum_value(const char* key, std::optional<T> absent, const std::map<std::string, T>& words) {
    const toml::node* n = find(key, absent.has_value());
    if (!n) return absent.value_or(words.begin()->second);
    const auto it = words.find(n->value_or(std::string()));
    if (n->is_string() && it != words.end()) return it->second;
    std::string all;
    for (const auto& [w, meaning] : words) all += (all.empty() ? "" : ", ") + w;
    add_error_at(*n, key, "is none of " + all);
    return words.begin()->second;
  }

  bool has(const char* key) const { return table_.contains(key); }
  void add_error(const char* key, const std::string& reason);
  void reject_unknown_keys();

 private:
  std::string qualified_key(std::string_view key) const;
  void add_error_at(const toml::node& n, const char* key, const std::string& reason);
  const toml::node* find(const char* key, bool may_be_absent);

  const toml::table& table_;
  std::string name_;
  ConfigDiagnostics& diagnostics_;
  std::set<std::string> used_keys_;
};

}  // namespace indigorill
