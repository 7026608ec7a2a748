/// \file
/// Access to environment variables, injected so that tests can supply their own.
#pragma once

#include <functional>
#include <string>

namespace indigorill {

/// Returns the value of the variable with this name; null if it is not set.
using EnvironmentLookup = std::function<const char*(const char* name)>;

/// Returns the value of the variable with this name; empty if it is not set.
inline std::string environment_value(const EnvironmentLookup& environment, const char* name) {
  const char* value = environment(name);
  return value ? value : "";
}

}  // namespace indigorill
