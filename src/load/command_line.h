/// \file
/// The command line of indigorill-load.
#pragma once

#include <ostream>

namespace indigorill::load_generator {

/// Returns the exit status: 0, 1 if it can't begin, 2 for invalid arguments or an invalid scenario, 3 if a
/// rule was violated, 4 if it could not keep its own pace.
int run_command(int argc, const char* const* argv, std::ostream& out, std::ostream& err);

}  // namespace indigorill::load_generator
