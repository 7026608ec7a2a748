/// The simulator's protocol, one JSON object a line: events are decoded into calls of load balancers, their
/// decisions encoded as actions. Decides nothing.
#pragma once

#include <iosfwd>

namespace indigorill {

/// Serves batches until the end of the input. Throws ParseError for input that is not allowed, having written
/// nothing for the batch that it is in.
void run_sim_adapter(std::istream& input, std::ostream& output);

}  // namespace indigorill
