/// \file
/// Access to environment variables, injected so that tests can state their own.
#pragma once

#include <functional>
#include <string>

namespace indigorill {

/// The value of the variable of this name; null if it is not set.
using EnvironmentLookup = std::function<const char*(const char* name)>;

/// The value of the variable of this name; empty if it is not set.
inline std::string environment_value(const EnvironmentLookup& environment, const char* name) {
  const char* value = environment(name);
  return value ? value : "";
}

}  // namespace indigorill
