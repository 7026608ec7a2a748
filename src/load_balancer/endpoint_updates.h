/// The endpoint list: the schedule of its polls, and the updates of the state that follow from it.
#pragma once

#include <optional>

#include "load_balancer_state/balancer_state.h"

namespace indigorill {

void refresh_ready_endpoints(BalancerState& state);
/// Erases endpoints that are neither ready nor ejected by an operator, were not used lately and to which no
/// RPC refers.
void evict_departed_endpoints(BalancerState& state);

/// Sets the time of the first poll; the seed spreads the first polls of all sidecars.
void schedule_first_poll(BalancerState& state, std::uint64_t seed);
void schedule_poll_after_failure(BalancerState& state, std::optional<double> poll_duration_ms);
/// True if the list has to be polled at the scheduled time.
bool needs_endpoint_poll(const BalancerState& state);

}  // namespace indigorill
