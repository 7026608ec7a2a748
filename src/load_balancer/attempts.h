/// The life of one attempt: how an RPC is decided on, and what the outcome of its attempt changes.
#pragma once

#include <optional>

#include "load_balancer_state/balancer_state.h"

namespace indigorill {

/// Decides on an RPC that is queued: an attempt, a rejection or failure, or nothing for now.
std::optional<Decision> decide(BalancerState& state, TrackedRpc& rpc);

/// Learns from an attempt that has ended.
void record_attempt_outcome(BalancerState& state, Attempt& attempt, AttemptOutcome outcome,
                            double duration_ms, const LoadReport& report);

}  // namespace indigorill
