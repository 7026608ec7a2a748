#include "load_balancer/gossip.h"

#include <algorithm>
#include <utility>

namespace indigorill {
namespace {

constexpr double min_interval_ms = 50;

// The cost of a message is charged for each receiver. Gossip may cost a share of the value of the arriving
// RPCs; the initial budget is a credit.
void schedule_next_gossip(BalancerState& state, std::size_t endpoint_load_count) {
  constexpr double cost_share = 0.01;
  constexpr double max_budget = 1;
  constexpr double interval_smoothing = 0.1;
  // Sizes in bytes: of the message to which the configured cost applies, of the header, and of each endpoint.
  constexpr double priced_size = 256;
  constexpr double header_size = 4;
  constexpr double endpoint_size = 3;
  GossipState& gossip = state.gossip;
  const double size = header_size + endpoint_size * static_cast<double>(endpoint_load_count);
  const double cost =
      state.config.gossip_message_cost * size / priced_size * (state.config.sidecar_count - 1);
  const double earned = cost_share * std::exchange(gossip.arrivals_since_last, 0);
  gossip.budget = std::min(gossip.budget + earned, max_budget) - cost;
  const double arrivals_per_ms = std::max(state.traffic.arrivals_per_ms, 1 / maintenance_interval_ms);
  const double interval_ms =
      std::clamp(-gossip.budget / (cost_share * arrivals_per_ms), min_interval_ms, maintenance_interval_ms);
  gossip.mean_interval_ms += interval_smoothing * (interval_ms - gossip.mean_interval_ms);
  gossip.next_at_ms = state.now_ms + interval_ms;
}

}  // namespace

bool sends_gossip(const BalancerState& state) {
  return state.config.gossip_enabled && state.config.sidecar_count > 1;
}

void schedule_first_gossip(BalancerState& state, std::uint64_t seed) {
  state.gossip.next_at_ms = state.now_ms + unit_fraction(splitmix64_finalize(seed)) * min_interval_ms;
  state.gossip.sequence =
      static_cast<std::uint32_t>(splitmix64_finalize(seed) % LoadGossip::sequence_modulus);
}

// Contains the changes since the last message, and once a second everything in flight, to make up for lost
// messages.
std::optional<LoadGossip> make_gossip(BalancerState& state) {
  GossipState& gossip = state.gossip;
  LoadGossip message;
  message.is_complete = state.now_ms - gossip.complete_sent_at_ms >= maintenance_interval_ms;
  if (message.is_complete) {
    gossip.complete_sent_at_ms = state.now_ms;
    message.arrivals_per_s = state.traffic.tenant_arrivals_per_s;
  }
  message.endpoint_loads = state.endpoints.take_loads(message.is_complete);
  schedule_next_gossip(state, message.endpoint_loads.size());
  const bool has_load = !message.endpoint_loads.empty();
  if (!has_load && !(message.is_complete && gossip.last_had_content)) return {};
  gossip.last_had_content = has_load || !message.is_complete;
  gossip.sequence = (gossip.sequence + 1) % LoadGossip::sequence_modulus;
  message.sequence = gossip.sequence;
  return message;
}

}  // namespace indigorill
