#include "config/toml_section.h"

#include <cmath>
#include <sstream>

namespace indigorill {
namespace {

constexpr double ms_per_s = 1000, seconds_per_day = 86400;

std::string format_number(double v) {
  std::ostringstream s;
  s << v;
  return s.str();
}

}  // namespace

toml::table read_toml_file(const std::string& file) {
  try {
    return toml::parse_file(file);
  } catch (const toml::parse_error& e) {
    const auto line = e.source().begin.line;
    throw ConfigError(file + (line ? ":" + std::to_string(line) : "") + ": " + std::string(e.description()));
  }
}

void ConfigDiagnostics::add(const toml::source_region& where, const std::string& reason) {
  text_ += text_.empty() ? "" : "\n";
  // What was set by a command has no line.
  if (where.path) text_ += *where.path + ":" + std::to_string(where.begin.line) + ": ";
  text_ += reason;
}

void ConfigDiagnostics::throw_if_any() const {
  if (!text_.empty()) throw ConfigError(text_);
}

double TomlSection::number(const char* key, std::optional<double> absent, double least, double most) {
  const toml::node* n = find(key, absent.has_value());
  if (!n) return absent.value_or(least);
  const auto v = n->value<double>();
  if (!v || n->is_boolean()) return add_error_at(*n, key, "is not a number"), least;
  if (!(*v >= least && *v <= most))
    return add_error_at(
               *n, key,
               "is " + format_number(*v) + ", not " + format_number(least) + " to " + format_number(most)),
           least;
  return *v;
}

double TomlSection::seconds_as_ms(const char* key, std::optional<double> absent) {
  return number(key, absent ? std::optional(*absent / ms_per_s) : absent, 0, seconds_per_day) * ms_per_s;
}

double TomlSection::duration_ms(const char* key, std::optional<double> absent) {
  return number(key, absent, 0, seconds_per_day * ms_per_s);
}

int TomlSection::integer(const char* key, std::optional<int> absent, int least, int most) {
  const double v = number(key, absent ? std::optional<double>(*absent) : std::nullopt, least, most);
  if (v != std::floor(v)) add_error(key, "is not a whole number");
  return static_cast<int>(v);
}

bool TomlSection::boolean(const char* key, bool absent) {
  const toml::node* n = find(key, true);
  if (!n) return absent;
  if (!n->is_boolean()) add_error_at(*n, key, "is not true or false");
  return n->value_or(absent);
}

std::string TomlSection::string(const char* key, std::optional<std::string> absent) {
  const toml::node* n = find(key, absent.has_value());
  if (!n) return absent.value_or("");
  if (!n->is_string()) add_error_at(*n, key, "is not a string");
  return n->value_or(std::string());
}

std::vector<std::string> TomlSection::strings(const char* key) {
  std::vector<std::string> all;
  const toml::node* n = find(key, true);
  if (!n) return all;
  const toml::array* a = n->as_array();
  if (!a) return add_error_at(*n, key, "is not a list of strings"), all;
  for (const toml::node& e : *a) {
    if (!e.is_string()) add_error_at(e, key, "is not a list of strings");
    all.push_back(e.value_or(std::string()));
  }
  return all;
}

const toml::table& TomlSection::table(const char* key, bool needed) {
  static const toml::table none;
  const toml::node* n = find(key, !needed);
  if (n && !n->is_table()) add_error_at(*n, key, "is not a table");
  return n && n->is_table() ? *n->as_table() : none;
}

std::vector<const toml::table*> TomlSection::tables(const char* key, bool needed) {
  const toml::node* n = find(key, !needed);
  std::vector<const toml::table*> all;
  if (!n) return all;
  const toml::array* a = n->as_array();
  if (!a) return add_error_at(*n, key, "is not a list of tables"), all;
  for (const toml::node& e : *a) {
    if (e.is_table())
      all.push_back(e.as_table());
    else
      add_error_at(e, key, "is not a list of tables");
  }
  if (needed && all.empty()) add_error_at(*n, key, "is empty");
  return all;
}

void TomlSection::add_error(const char* key, const std::string& reason) {
  const toml::node* n = table_.get(key);
  add_error_at(n ? *n : static_cast<const toml::node&>(table_), key, reason);
}

void TomlSection::reject_unknown_keys() {
  for (const auto& [key, n] : table_)
    if (!used_keys_.count(std::string(key.str())))
      diagnostics_.add(key.source(), qualified_key(key.str()) + " is unknown");
}

std::string TomlSection::qualified_key(std::string_view key) const {
  return (name_.empty() ? "" : name_ + ".") + std::string(key);
}

void TomlSection::add_error_at(const toml::node& n, const char* key, const std::string& reason) {
  diagnostics_.add(n.source(), qualified_key(key) + " " + reason);
}

const toml::node* TomlSection::find(const char* key, bool may_be_absent) {
  used_keys_.insert(key);
  const toml::node* n = table_.get(key);
  if (!n && !may_be_absent) diagnostics_.add(table_.source(), qualified_key(key) + " is missing");
  return n;
}

}  // namespace indigorill
