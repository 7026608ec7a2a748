// The command line of indigorill-emulator.
#pragma once

#include <ostream>

namespace indigorill::emulator {

// Exit status: 0, 1 if something can't be done, 2 for a scenario or arguments that are at fault (nothing has
// run then), 3 if a rule was broken.
int run_command(int argc, const char* const* argv, std::ostream& out, std::ostream& err);

}  // namespace indigorill::emulator
