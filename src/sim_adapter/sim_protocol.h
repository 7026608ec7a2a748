/// \file
/// The simulator's protocol, with one JSON object per line: events are decoded into calls of load balancers,
/// and their decisions are encoded as actions. This code makes no decisions itself.
#pragma once

#include <iosfwd>

namespace indigorill {

/// Processes batches until the end of the input. Throws ParseError for invalid input; nothing is then written
/// for the batch that contains it.
void run_sim_adapter(std::istream& input, std::ostream& output);

}  // namespace indigorill
