#include "load_balancer/load_estimates.h"

#include <algorithm>
#include <cmath>

#include "load_balancer/slow_start.h"
#include "load_balancer_state/decay.h"

namespace indigorill {

double queue_depth_estimate(const BalancerState& state, const TrackedEndpoint& endpoint) {
  if (state.has_recent_gossip())
    return endpoint.in_flight + state.peer_loads.in_flight(endpoint.gossip_tag());
  const double mean = is_warming_up(state, endpoint) ? state.traffic.slow_start_others_in_flight
                                                     : state.traffic.mean_others_in_flight;
  return endpoint.in_flight + mean + (endpoint.others_in_flight - mean) * report_confidence(state, endpoint);
}

double expected_service_time_ms(const BalancerState& state, const TrackedEndpoint& endpoint) {
  constexpr double half_life_ms = 2000;  // an observation counts for some seconds, then the usual time
  const TrafficStatistics& traffic = state.traffic;
  const MachineTypeStats& machine_type = *endpoint.machine_type;
  const double age = (state.now_ms - endpoint.service_time_at_ms) / half_life_ms;
  const double usual_ms = machine_type.response_count >= TrafficStatistics::initial_service_time_samples
                              ? machine_type.service_time_ms
                              : traffic.usual_service_time_ms;
  const double weight = slow_start_weight(state, endpoint);
  const double expected_ms =
      weight < 1 ? traffic.slow_start_service_time_factor * usual_ms / std::sqrt(weight) : usual_ms;
  if (age > max_half_lives) return expected_ms;
  return expected_ms + (endpoint.service_time_ms - expected_ms) * std::exp2(-age);
}

bool is_service_time_guessed(const BalancerState& state) {
  return state.traffic.response_count < TrafficStatistics::initial_service_time_samples &&
         state.traffic.usual_service_time_ms <=
             TrafficStatistics::initial_service_time_fraction * state.unknown_method.latency_objective_ms;
}

double report_confidence(const BalancerState& state, const TrackedEndpoint& endpoint) {
  constexpr double half_life_ms = 200;  // then the estimate is halfway to the mean
  return decayed_share((state.now_ms - endpoint.reported_at_ms) / half_life_ms);
}

bool has_fresh_report(const BalancerState& state, const TrackedEndpoint& endpoint) {
  constexpr double max_age_ms = 10;
  return state.now_ms - endpoint.reported_at_ms <= max_age_ms;
}

bool has_unanswered_probe(const BalancerState& state, const TrackedEndpoint& endpoint) {
  constexpr double timeout_ms = 1000;
  return endpoint.probe_sent_at_ms != never && state.now_ms - endpoint.probe_sent_at_ms < timeout_ms;
}

double mean_send_interval_ms(const BalancerState& state) {
  const double sends_per_ms = state.traffic.sends_per_ms;
  return sends_per_ms > 0 ? static_cast<double>(state.endpoints.ready().size()) / sends_per_ms : 0;
}

double outcome_retention_ms(const BalancerState& state) {
  constexpr double min_ms = 5000;
  constexpr double max_ms = 20000;
  constexpr double send_intervals = 4;
  return std::clamp(send_intervals * mean_send_interval_ms(state), min_ms, max_ms);
}

}  // namespace indigorill
