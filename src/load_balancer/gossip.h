/// The load gossip that this sidecar sends, and its schedule within the budget for messages.
#pragma once

#include <optional>

#include "load_balancer_state/balancer_state.h"

namespace indigorill {

bool sends_gossip(const BalancerState& state);
/// Sets the time and the number of the first message; the seed makes them differ between sidecars.
void schedule_first_gossip(BalancerState& state, std::uint64_t seed);
/// Returns the message that is due now, none if there is nothing to report. Schedules the next one.
std::optional<LoadGossip> make_gossip(BalancerState& state);

}  // namespace indigorill
