/// \file
/// The command line of indigorill-emulator.
#pragma once

#include <ostream>

namespace indigorill::emulator {

/// Returns the exit status: 0, 1 if something can't be done, 2 for an invalid scenario or argument (nothing
/// has run then), 3 if a rule was violated.
int run_command(int argc, const char* const* argv, std::ostream& out, std::ostream& err);

}  // namespace indigorill::emulator
