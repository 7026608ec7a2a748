// The simulator's wire, decoded into calls on balancers and encoded from their decisions. Decides nothing.
#pragma once

#include <iosfwd>

namespace indigorill {

// Serves until the end of the input. Throws malformed (decode/fields.h), having written nothing for the batch
// at fault.
void run_sim_adapter(std::istream& in, std::ostream& out);

}  // namespace indigorill
