/// The arrival of an RPC: the time of its latency objective, and its priority.
#pragma once

#include "load_balancer_state/balancer_state.h"

namespace indigorill {

/// Tracks the RPC, with the latency objective of its method and the priority under its tenant's quota.
TrackedRpc& add_rpc(BalancerState& state, const RpcArrival& arrival);

}  // namespace indigorill
