#include "emulator/scenario_table.h"

#include <cmath>
#include <cstdint>
#include <optional>

#include "config/toml_section.h"

namespace indigorill::emulator {
namespace {

constexpr double max_exact_integer = 1e15;

struct ParsedPath {
  std::string parent;  // empty: the top level of the scenario
  std::string key;
};

ParsedPath split_path(const std::string& path) {
  const std::size_t dot = path.rfind('.');
  if (dot == std::string::npos) return {.parent = "", .key = path};
  return {.parent = path.substr(0, dot), .key = path.substr(dot + 1)};
}

std::optional<double> number_in_pair(const toml::array* pair, std::size_t index) {
  if (!pair || pair->size() != 2) return std::nullopt;
  return pair->get(index)->value<double>();
}

}  // namespace

void set_value(toml::table& table, const std::string& path, double value) {
  const auto [parent, key] = split_path(path);
  toml::table* parent_table = parent.empty() ? &table : table.at_path(parent).as_table();
  if (!parent_table || key.empty() || key.find('[') != std::string::npos)
    throw ConfigError("the scenario has no variable at path " + path);
  // Whole numbers are stored as TOML integers, because the decoder distinguishes integers from other numbers.
  if (value == std::floor(value) && std::abs(value) < max_exact_integer)
    parent_table->insert_or_assign(key, static_cast<std::int64_t>(value));
  else
    parent_table->insert_or_assign(key, value);
}

double value_at(const toml::table& table, const std::string& path) {
  const auto value = table.at_path(path).value<double>();
  if (!value) throw ConfigError("the scenario has no number at path " + path);
  return *value;
}

std::vector<SearchRange> decode_search_ranges(const toml::table& table) {
  const toml::table* range_table = table["ranges"].as_table();
  if (!range_table) return {};
  std::vector<SearchRange> ranges;
  ConfigDiagnostics diagnostics;
  for (const auto& [key, node] : *range_table) {
    const std::string path(key.str());
    const auto minimum = number_in_pair(node.as_array(), 0);
    const auto maximum = number_in_pair(node.as_array(), 1);
    if (!minimum || !maximum || *minimum > *maximum)
      diagnostics.add(node.source(), "ranges." + path + " is not a range [minimum, maximum]");
    else if (!table.at_path(path).value<double>())
      diagnostics.add(node.source(), "ranges." + path + " does not refer to a number in the scenario");
    else
      ranges.push_back({path, *minimum, *maximum});
  }
  diagnostics.throw_if_any();
  return ranges;
}

}  // namespace indigorill::emulator
