/// The weighted draw, the core of the design: an endpoint is selected at random in proportion to its weight.
#pragma once

#include "load_balancer_state/balancer_state.h"
#include "load_balancer_state/candidate_set.h"

namespace indigorill {

/// Draws a candidate and returns its position. The probability of each candidate that is warming up is
/// bounded; if none of these is drawn, their weights are set to 0. The set must not be empty.
std::size_t draw_with_slow_start_limit(BalancerState& state, const TrackedRpc& rpc, CandidateSet& set);

/// Draws the endpoint for the next attempt, a second time if the first one is crowded. Null if the RPC has to
/// be rejected because no endpoint would answer in time.
TrackedEndpoint* select_endpoint(BalancerState& state, const TrackedRpc& rpc, CandidateSet set);

}  // namespace indigorill
