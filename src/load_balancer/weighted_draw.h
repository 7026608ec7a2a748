/// The weighted draw, the core of the design: an endpoint is chosen at random in proportion to its weight.
#pragma once

#include "load_balancer_state/balancer_state.h"
#include "load_balancer_state/candidate_set.h"

namespace indigorill {

/// Draws a candidate, with bounded probability for each that warms up; returns its position. Where none of
/// those may be drawn, their weights are set to 0. The set must not be empty.
std::size_t draw_with_slow_start_limit(BalancerState& state, const TrackedRpc& rpc, CandidateSet& set);

/// Draws the endpoint for the next attempt, once more if it is crowded. Null if the RPC is to be rejected,
/// as no endpoint would answer it in time.
TrackedEndpoint* select_endpoint(BalancerState& state, const TrackedRpc& rpc, CandidateSet set);

}  // namespace indigorill
