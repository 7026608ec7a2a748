/// \file
/// The command line of indigorill-emulator.
#pragma once

#include <ostream>

namespace indigorill::emulator {

/// Returns the exit status: 0 for success, 1 for another failure, 2 for an invalid scenario or argument
/// (nothing has run then), 3 if a run violated a rule.
int run_command(int argc, const char* const* argv, std::ostream& out, std::ostream& err);

}  // namespace indigorill::emulator
