/// A new RPC: by when its response is wanted, and what it is worth.
#pragma once

#include "load_balancer_state/balancer_state.h"

namespace indigorill {

/// Tracks the RPC, with the latency objective of its method and the priority that its tenant's quota leaves.
TrackedRpc& add_rpc(BalancerState& state, const RpcArrival& arrival);

}  // namespace indigorill
