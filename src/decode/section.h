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
struct faulty : std::runtime_error {
  using std::runtime_error::runtime_error;
};

toml::table read_toml(const std::string& file);  // throws faulty

class faults {
 public:
  void at(const toml::source_region& where, const std::string& reason);
  void raise() const;  // throws faulty, if there is any

 private:
  std::string text;
};

// One table; what is not read by none_left() is a fault.
class section {
 public:
  section(const toml::table& t, std::string name, faults& into)
      : from(t), title(std::move(name)), wrong(into) {}

  double number(const char* key, std::optional<double> absent, double least, double most);
  double seconds(const char* key, std::optional<double> absent);  // up to a day, as ms
  double ms(const char* key, std::optional<double> absent);       // up to a day
  int whole(const char* key, std::optional<int> absent, int least, int most);
  bool mark(const char* key, bool absent);
  std::string text_of(const char* key, std::optional<std::string> absent);
  std::vector<std::string> texts(const char* key);         // a list; empty where absent
  const toml::table& inner(const char* key, bool needed);  // empty where absent
  std::vector<const toml::table*> tables(const char* key, bool needed);

  template <class T>
  T word(const char* key, std::optional<T> absent, const std::map<std::string, T>& words) {
    const toml::node* n = take(key, absent.has_value());
    if (!n) return absent.value_or(words.begin()->second);
    const auto it = words.find(n->value_or(std::string()));
    if (n->is_string() && it != words.end()) return it->second;
    std::string all;
    for (const auto& [w, meaning] : words) all += (all.empty() ? "" : ", ") + w;
    fault(*n, key, "is none of " + all);
    return words.begin()->second;
  }

  bool has(const char* key) const { return from.contains(key); }
  void fault_here(const char* key, const std::string& reason);
  void none_left();

 private:
  std::string named(std::string_view key) const;
  void fault(const toml::node& n, const char* key, const std::string& reason);
  const toml::node* take(const char* key, bool may_be_absent);

  const toml::table& from;
  std::string title;
  faults& wrong;
  std::set<std::string> used;
};

}  // namespace indigorill
