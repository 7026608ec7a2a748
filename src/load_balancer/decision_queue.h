/// The order in which decisions are handed to the host, the host's timers and the periodic maintenance.
#pragma once

#include <optional>

#include "load_balancer_state/balancer_state.h"

namespace indigorill {

/// Returns the next decision at the present time, none if nothing is left to decide.
std::optional<Decision> next_decision(BalancerState& state);
/// Handles a timer that a decision requested and that has fired.
void on_timer(BalancerState& state, std::uint64_t timer_id);

}  // namespace indigorill
