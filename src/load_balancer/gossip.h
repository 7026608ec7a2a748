/// What this sidecar tells the others of its load, and when, within what messages may cost.
#pragma once

#include <optional>

#include "load_balancer_state/balancer_state.h"

namespace indigorill {

bool sends_gossip(const BalancerState& state);
/// Sets the time and the number of the first message, spread over the sidecars by the seed.
void schedule_first_gossip(BalancerState& state, std::uint64_t seed);
/// The message that is due now, none if there is nothing to tell. Sets the time of the next one.
std::optional<LoadGossip> make_gossip(BalancerState& state);

}  // namespace indigorill
