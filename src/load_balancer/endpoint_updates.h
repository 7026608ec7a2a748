/// The endpoint list: when it is polled, and what follows from what it says.
#pragma once

#include <optional>

#include "load_balancer_state/balancer_state.h"

namespace indigorill {

void refresh_ready_endpoints(BalancerState& state);
/// Forgets endpoints that left and that nothing refers to any more.
void evict_departed_endpoints(BalancerState& state);

/// Sets the time of the first poll, spread over the sidecars by the seed.
void schedule_first_poll(BalancerState& state, std::uint64_t seed);
void schedule_poll_after_failure(BalancerState& state, std::optional<double> poll_duration_ms);
/// True if the list has to be polled at the scheduled time.
bool needs_endpoint_poll(const BalancerState& state);

}  // namespace indigorill
