/// Decisions on one RPC, and the changes to the state that the outcome of an attempt causes.
#pragma once

#include <optional>

#include "load_balancer_state/balancer_state.h"

namespace indigorill {

/// Decides on an RPC taken from the queue: an attempt, a rejection, a failure, or nothing for now.
std::optional<Decision> decide(BalancerState& state, TrackedRpc& rpc);

/// Updates the state by the outcome of an attempt that has ended.
void record_attempt_outcome(BalancerState& state, Attempt& attempt, AttemptOutcome outcome,
                            double duration_ms, const LoadReport& report);

}  // namespace indigorill
