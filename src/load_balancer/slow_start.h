/// Slow start: an endpoint that started recently gets less than its share until it has warmed up.
#pragma once

#include <algorithm>

#include "load_balancer_state/balancer_state.h"

namespace indigorill {

/// 1 for an endpoint that has warmed up or whose start time is unknown, less for one that is warming up.
inline double slow_start_weight(const BalancerState& state, const TrackedEndpoint& endpoint) {
  const LoadBalancerConfig& config = state.config;
  const double age_ms = state.now_ms - endpoint.started_at_ms;
  if (endpoint.started_at_ms == never || age_ms >= config.slow_start_duration_ms) return 1;
  return config.slow_start_initial_weight +
         (1 - config.slow_start_initial_weight) * std::max(0.0, age_ms / config.slow_start_duration_ms);
}

inline bool is_warming_up(const BalancerState& state, const TrackedEndpoint& endpoint) {
  return slow_start_weight(state, endpoint) < 1;
}

/// Adds the tokens earned since the last call; each permits one attempt while the endpoint warms up.
void refill_slow_start_tokens(BalancerState& state, TrackedEndpoint& endpoint);

/// Upper bound on the probability that one draw selects an endpoint of this weight, if there are
/// `draws_per_rpc` draws for each RPC.
double max_slow_start_probability(const BalancerState& state, double weight, double draws_per_rpc);

}  // namespace indigorill
