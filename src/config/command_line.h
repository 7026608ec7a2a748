// The sidecar's command line.
#pragma once

#include <functional>
#include <ostream>

namespace indigorill {

// Exit status: 0, 1 for a config or options at fault, 2 for words that are no command line.
int run_command_line(int argc, const char* const* argv,
                     const std::function<const char*(const char*)>& variable, std::ostream& out,
                     std::ostream& err);

}  // namespace indigorill
