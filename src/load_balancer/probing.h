/// Probing: health checks before an RPC's first attempt, if their load reports are worth the cost.
#pragma once

#include "load_balancer_state/balancer_state.h"
#include "load_balancer_state/candidate_set.h"

namespace indigorill {

/// Queues the next health checks for an RPC. Returns true if the RPC has to wait for their answers. Sets
/// `set` if the candidates had to be scored.
bool probe_candidates(BalancerState& state, TrackedRpc& rpc, CandidateSet& set);

/// Updates the state by the outcome of a health check that has ended.
void record_probe_outcome(BalancerState& state, TrackedEndpoint& endpoint, AttemptOutcome outcome,
                          const LoadReport& report);

}  // namespace indigorill
