/// \file
/// The command line of indigorill-load.
#pragma once

#include <ostream>

namespace indigorill::load_generator {

/// Returns the exit status: 0 on success, 1 if the run can't start, 2 for invalid arguments or an invalid
/// scenario, 3 if a rule was violated, 4 if the load generator could not send the load on time.
int run_command(int argc, const char* const* argv, std::ostream& out, std::ostream& err);

}  // namespace indigorill::load_generator
