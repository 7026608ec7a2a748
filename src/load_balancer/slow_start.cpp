#include "load_balancer/slow_start.h"

namespace indigorill {
namespace {

// Share of the configured overload factor that is used. The bounds are derived from the mean load per
// endpoint. If the fleet is overloaded, that mean is itself above what an endpoint can serve, and the other
// half of the factor is the margin for this.
constexpr double overload_share = 0.5;

}  // namespace

// The tokens limit what each sidecar sends to a starting endpoint to its own mean per endpoint times a part
// of the overload factor. Only few tokens accumulate.
void refill_slow_start_tokens(BalancerState& state, TrackedEndpoint& endpoint) {
  constexpr double least_share_of_arrivals = 0.3;  // so that a fleet in which all endpoints start gets RPCs
  const TrafficStatistics& traffic = state.traffic;
  const double sends_per_endpoint =
      std::max(traffic.sends_per_ms, least_share_of_arrivals * traffic.arrivals_per_ms) /
      std::max(state.total_slow_start_weight, 1.0);
  const double elapsed_ms =
      endpoint.slow_start_tokens_at_ms == never ? 0 : state.now_ms - endpoint.slow_start_tokens_at_ms;
  endpoint.slow_start_tokens_at_ms = state.now_ms;
  const double earned = elapsed_ms * overload_share * state.config.slow_start_overload_factor *
                        slow_start_weight(state, endpoint) * sends_per_endpoint;
  endpoint.slow_start_tokens = std::min(endpoint.slow_start_tokens + earned,
                                        std::max(1.0, sends_per_endpoint * state.config.slow_start_burst_ms));
}

double max_slow_start_probability(const BalancerState& state, double weight, double draws_per_rpc) {
  return overload_share * state.config.slow_start_overload_factor * weight / state.total_slow_start_weight /
         std::max(draws_per_rpc, 1.0);
}

}  // namespace indigorill
