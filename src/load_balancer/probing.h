/// Probing: health checks before an RPC's first attempt, where their load reports are worth their cost.
#pragma once

#include "load_balancer_state/balancer_state.h"
#include "load_balancer_state/candidate_set.h"

namespace indigorill {

/// Queues the next health checks for an RPC. True if the RPC has to wait for their answers. Sets `set` where
/// the candidates had to be scored for it.
bool probe_candidates(BalancerState& state, TrackedRpc& rpc, CandidateSet& set);

/// Learns from a health check that has ended.
void record_probe_outcome(BalancerState& state, TrackedEndpoint& endpoint, AttemptOutcome outcome,
                          const LoadReport& report);

}  // namespace indigorill
