/// \file
/// The sidecar's command line.
#pragma once

#include <ostream>

#include "config/environment.h"

namespace indigorill {

/// Parses the arguments, then checks the configuration or runs the sidecar until it is asked to stop. Returns
/// the exit status of the process: 0 on success, 1 if the configuration is invalid or the sidecar fails, 2 if
/// the arguments are invalid.
int run_command_line(int argc, const char* const* argv, const EnvironmentLookup& environment,
                     std::ostream& out, std::ostream& err);

}  // namespace indigorill
