#include "config/toml_section.h"

#include <cmath>
#include <sstream>

namespace indigorill {
namespace {

constexpr double ms_per_s = 1000;
constexpr double max_duration_s = 86400;

std::string format_number(double number) {
  std::ostringstream text;
  text << number;
  return text.str();
}

}  // namespace

toml::table read_toml_file(const std::string& file) {
  try {
    return toml::parse_file(file);
  } catch (const toml::parse_error& error) {
    throw ConfigError(ConfigProblem{.file = file,
                                    .line = error.source().begin.line,
                                    .field = {},
                                    .cause = std::string(error.description())});
  }
}

void ConfigDiagnostics::add(const toml::source_region& region, const std::string& field,
                            const std::string& cause) {
  ConfigProblem problem{.file = {}, .field = field, .cause = cause};
  if (region.path) {
    problem.file = *region.path;
    problem.line = region.begin.line;
  }
  problems_.push_back(std::move(problem));
}

void ConfigDiagnostics::add(const toml::source_region& region, const std::string& cause) {
  add(region, {}, cause);
}

void ConfigDiagnostics::throw_if_any() const {
  if (!problems_.empty()) throw ConfigError(problems_);
}

double TomlSection::number(const char* key, std::optional<double> default_value, double min, double max) {
  const toml::node* node = find(key, default_value.has_value());
  if (!node) return default_value.value_or(min);
  const auto number = node->value<double>();
  if (!number || node->is_boolean()) {
    add_error_at(*node, key, "is not a number");
    return min;
  }
  if (!(*number >= min && *number <= max)) {
    add_error_at(*node, key,
                 "is " + format_number(*number) + ", not in the range " + format_number(min) + " to " +
                     format_number(max));
    return min;
  }
  return *number;
}

double TomlSection::seconds_as_ms(const char* key, std::optional<double> default_ms) {
  const auto default_s = default_ms ? std::optional(*default_ms / ms_per_s) : std::nullopt;
  return number(key, default_s, 0, max_duration_s) * ms_per_s;
}

double TomlSection::duration_ms(const char* key, std::optional<double> default_ms) {
  return number(key, default_ms, 0, max_duration_s * ms_per_s);
}

int TomlSection::integer(const char* key, std::optional<int> default_value, int min, int max) {
  const auto default_number = default_value ? std::optional<double>(*default_value) : std::nullopt;
  const double value = number(key, default_number, min, max);
  if (value != std::floor(value)) add_error(key, "is not a whole number");
  return static_cast<int>(value);
}

bool TomlSection::boolean(const char* key, bool default_value) {
  const toml::node* node = find(key, true);
  if (!node) return default_value;
  if (!node->is_boolean()) add_error_at(*node, key, "is not true or false");
  return node->value_or(default_value);
}

std::string TomlSection::string(const char* key, const std::optional<std::string>& default_value) {
  const toml::node* node = find(key, default_value.has_value());
  if (!node) return default_value.value_or("");
  if (!node->is_string()) add_error_at(*node, key, "is not a string");
  return node->value_or(std::string());
}

std::vector<std::string> TomlSection::strings(const char* key) {
  const std::string cause = "is not a list of strings";
  std::vector<std::string> strings;
  const toml::array* array = find_array(key, true, cause);
  if (!array) return strings;
  for (const toml::node& element : *array) {
    if (!element.is_string()) add_error_at(element, key, cause);
    strings.push_back(element.value_or(std::string()));
  }
  return strings;
}

const toml::table& TomlSection::table(const char* key, bool is_required) {
  static const toml::table empty_table;
  const toml::node* node = find(key, !is_required);
  if (!node) return empty_table;
  if (const toml::table* table = node->as_table()) return *table;
  add_error_at(*node, key, "is not a table");
  return empty_table;
}

std::vector<const toml::table*> TomlSection::tables(const char* key, bool is_required) {
  const std::string cause = "is not a list of tables";
  std::vector<const toml::table*> tables;
  const toml::array* array = find_array(key, !is_required, cause);
  if (!array) return tables;
  for (const toml::node& element : *array) {
    if (const toml::table* table = element.as_table())
      tables.push_back(table);
    else
      add_error_at(element, key, cause);
  }
  if (is_required && tables.empty()) add_error_at(*array, key, "is empty");
  return tables;
}

void TomlSection::add_error(const char* key, const std::string& cause) {
  const toml::node* node = table_.get(key);
  add_error_at(node ? *node : static_cast<const toml::node&>(table_), key, cause);
}

void TomlSection::reject_unknown_keys() {
  for (const auto& [key, node] : table_)
    if (!used_keys_.contains(std::string(key.str())))
      diagnostics_.add(key.source(), qualified_key(key.str()), "is unknown");
}

std::string TomlSection::qualified_key(std::string_view key) const {
  return (name_.empty() ? "" : name_ + ".") + std::string(key);
}

void TomlSection::add_error_at(const toml::node& node, const char* key, const std::string& cause) {
  diagnostics_.add(node.source(), qualified_key(key), cause);
}

const toml::node* TomlSection::find(const char* key, bool is_optional) {
  used_keys_.insert(key);
  const toml::node* node = table_.get(key);
  if (!node && !is_optional) diagnostics_.add(table_.source(), qualified_key(key), "is missing");
  return node;
}

/// Null if the key is absent or its value is not an array.
const toml::array* TomlSection::find_array(const char* key, bool is_optional, const std::string& cause) {
  const toml::node* node = find(key, is_optional);
  if (!node) return nullptr;
  const toml::array* array = node->as_array();
  if (!array) add_error_at(*node, key, cause);
  return array;
}

}  // namespace indigorill
