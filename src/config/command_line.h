/// \file
/// The sidecar's command line.
#pragma once

#include <ostream>

#include "config/environment.h"

namespace indigorill {

/// Parses the arguments, then checks the configuration or runs the sidecar until it is told to stop. Returns
/// the exit status of the process: 0, 1 if the configuration can't be used, 2 if the arguments can't.
int run_command_line(int argc, const char* const* argv, const EnvironmentLookup& environment,
                     std::ostream& out, std::ostream& err);

}  // namespace indigorill
