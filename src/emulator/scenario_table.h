/// \file
/// A scenario's TOML table as a set of variables, each named by a dotted path such as "load.rate" or
/// "trouble[0].share": for settings of the command line, for sweeps and for the search.
#pragma once

#include <toml++/toml.h>

#include <string>
#include <vector>

namespace indigorill::emulator {

/// Sets the number at `path`. Throws ConfigError where its table does not exist.
void set_value(toml::table& table, const std::string& path, double value);

/// The number at `path`. Throws ConfigError where there is none.
double value_at(const toml::table& table, const std::string& path);

/// A variable that the search may vary, with its bounds.
struct SearchRange {
  std::string path;
  double minimum;
  double maximum;
};

/// The table "ranges" of a scenario; empty where it has none. Throws ConfigError.
std::vector<SearchRange> decode_search_ranges(const toml::table& table);

}  // namespace indigorill::emulator
