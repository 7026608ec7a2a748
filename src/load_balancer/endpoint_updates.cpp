#include "load_balancer/endpoint_updates.h"

#include <algorithm>
#include <cmath>

#include "load_balancer/load_estimates.h"
#include "load_balancer/slow_start.h"

namespace indigorill {
namespace {

// Period over which the polls of all sidecars are spread, because one service answers them all.
double poll_spread_ms(const BalancerState& state) {
  constexpr double per_sidecar_ms = 50;  // 20 polls a second
  return std::min(per_sidecar_ms * (state.config.sidecar_count - 1), state.config.max_poll_silence_ms / 2);
}

constexpr double max_backoff_jitter = 1.5;

// Upper bound of the backoff, before jitter.
double max_backoff_ms(const BalancerState& state, std::optional<double> poll_duration_ms) {
  // From the start of a failed poll to the next one. A change is considered known 6 s after discovery could
  // be reached, and 4 s after a new agent was named, even if polls failed.
  constexpr double max_poll_interval_ms = 3500;
  if (!poll_duration_ms) return state.config.max_poll_silence_ms;
  return (max_poll_interval_ms - *poll_duration_ms) / max_backoff_jitter;
}

}  // namespace

void refresh_ready_endpoints(BalancerState& state) {
  state.endpoints.refresh_ready();
  state.total_slow_start_weight = 0;
  for (const TrackedEndpoint* endpoint : state.endpoints.ready())
    state.total_slow_start_weight += slow_start_weight(state, *endpoint);
}

void evict_departed_endpoints(BalancerState& state) {
  const std::set<const TrackedEndpoint*> referenced = state.rpcs.referenced_endpoints();
  const double retention_ms = outcome_retention_ms(state);
  state.endpoints.erase_if([&](const TrackedEndpoint& endpoint) {
    return !endpoint.is_ready && !endpoint.ejected_manually &&
           state.now_ms - endpoint.last_sent_at_ms > retention_ms && !referenced.count(&endpoint);
  });
}

void schedule_first_poll(BalancerState& state, std::uint64_t seed) {
  state.poll.next_at_ms = state.now_ms + unit_fraction(splitmix64_finalize(seed)) * poll_spread_ms(state);
}

// Failed polls still fill the queue of the list's one service, and polls of all sidecars at once would keep
// it unavailable.
void schedule_poll_after_failure(BalancerState& state, std::optional<double> poll_duration_ms) {
  constexpr double min_backoff_ms = 250;
  EndpointPollState& poll = state.poll;
  poll.is_in_flight = false;
  poll.is_subscribed = false;
  const double backoff_ms =
      std::min(std::max(poll_spread_ms(state), min_backoff_ms) * std::exp2(poll.failed_count),
               std::max(max_backoff_ms(state, poll_duration_ms), min_backoff_ms));
  const double jitter = max_backoff_jitter - 1 + state.random_fraction();
  poll.next_at_ms = state.now_ms + backoff_ms * jitter;
  ++poll.failed_count;
}

bool needs_endpoint_poll(const BalancerState& state) {
  return state.config.must_poll_endpoints && !state.poll.is_subscribed && !state.poll.is_in_flight;
}

}  // namespace indigorill
