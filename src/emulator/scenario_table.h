/// \file
/// Treats a scenario's TOML table as a set of variables, each named by a dotted path such as "load.rate" or
/// "trouble[0].share". Command-line settings, sweeps and the worst-case search use it.
#pragma once

#include <toml++/toml.h>

#include <string>
#include <vector>

namespace indigorill::emulator {

/// Sets the number at `path`. Throws ConfigError if its table does not exist or the path does not end in a
/// plain key.
void set_value(toml::table& table, const std::string& path, double value);

/// Returns the number at `path`. Throws ConfigError if there is none.
double value_at(const toml::table& table, const std::string& path);

/// A variable that the search may vary, with its bounds.
struct SearchRange {
  std::string path;
  double minimum;
  double maximum;
};

/// Decodes the table "ranges" of a scenario; empty if there is none. Throws ConfigError if a range is
/// invalid.
std::vector<SearchRange> decode_search_ranges(const toml::table& table);

}  // namespace indigorill::emulator
