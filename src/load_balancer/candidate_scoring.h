/// Candidate scoring: which endpoints an RPC may be sent to, their weights in the draw, and whether they
/// would answer in time. The reasons for the constants, and what else was tried, are in docs/design.md.
#pragma once

#include "load_balancer_state/balancer_state.h"
#include "load_balancer_state/candidate_set.h"

namespace indigorill {

/// Scores all endpoints that the RPC may be sent to now. Empty if there is none, or if the RPC is to be
/// rejected as capacity is short everywhere.
CandidateSet score_candidates(BalancerState& state, const TrackedRpc& rpc);

}  // namespace indigorill
