/// \file
/// Variables of a scenario and the values that the command line gives them.
#pragma once

#include <string>
#include <vector>

namespace indigorill::emulator {

/// A variable, named by its path in the scenario's table, and its value.
struct VariableSetting {
  std::string path;
  double value;
};

/// A variable and the values that it takes.
struct SweepAxis {
  std::string path;
  std::vector<double> values;
};

/// Parses "load.rate=100". Throws ConfigError.
VariableSetting parse_setting(const std::string& text);

/// Parses "load.rate=100,200" or "load.rate=100:400:4", which is from:to:count. Throws ConfigError.
SweepAxis parse_axis(const std::string& text);

}  // namespace indigorill::emulator
