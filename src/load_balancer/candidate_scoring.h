/// Candidate scoring: the endpoints that an RPC may be sent to, their weights in the draw, and whether they
/// would answer in time. The reasons for the constants and the alternatives tried are in docs/design.md.
#pragma once

#include "load_balancer_state/balancer_state.h"
#include "load_balancer_state/candidate_set.h"

namespace indigorill {

/// Scores all endpoints that the RPC may be sent to now. Empty if there are none, or if the RPC has to be
/// rejected because capacity is short.
CandidateSet score_candidates(BalancerState& state, const TrackedRpc& rpc);

}  // namespace indigorill
