#include "load_balancer_state/traffic_statistics.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace indigorill {

void TrafficStatistics::record_priority(double priority, bool is_first) {
  constexpr double smoothing = 0.02;  // a mean of about fifty RPCs
  mean_priority += (is_first ? 1 : smoothing) * (priority - mean_priority);
}

void TrafficStatistics::record_send(TrackedEndpoint& endpoint, double now_ms) {
  endpoint.in_flight += 1;
  endpoint.last_sent_at_ms = now_ms;
  last_sent_at_ms = now_ms;
  ++sends_since_update;
}

void TrafficStatistics::record_load_report(TrackedEndpoint& endpoint, const LoadReport& report,
                                           bool with_response, bool is_warming_up, double now_ms) {
  constexpr double max_plausible = 1e6;
  constexpr double smoothing = 0.05;  // a mean of about twenty reports
  if (!report.in_flight) return;
  const double in_flight = *report.in_flight;
  if (!std::isfinite(in_flight) || in_flight < 0 || in_flight > max_plausible) return;
  // A report is slightly outdated: it still counts the RPC whose response carries it.
  endpoint.others_in_flight = std::max(0.0, in_flight - endpoint.in_flight - (with_response ? 1 : 0));
  endpoint.reported_at_ms = now_ms;
  double& mean = is_warming_up ? slow_start_others_in_flight : mean_others_in_flight;
  mean += smoothing * (endpoint.others_in_flight - mean);
}

void TrafficStatistics::record_service_time(TrackedEndpoint& endpoint, double duration_ms, double queue_depth,
                                            bool is_response, double slow_start_weight, double now_ms) {
  constexpr double smoothing = 0.1;  // RPCs differ from each other more than endpoints do
  // The mean must recover after a congestion, and a single long first response must not make a sidecar reject
  // all RPCs that follow.
  constexpr double min_smoothing = 0.02;
  const double observed_ms = duration_ms / queue_depth;
  endpoint.service_time_ms =
      endpoint.service_time_at_ms == never
          ? observed_ms
          : endpoint.service_time_ms + smoothing * (observed_ms - endpoint.service_time_ms);
  endpoint.service_time_at_ms = now_ms;
  if (!is_response) return;
  if (slow_start_weight < 1) {
    const double factor = observed_ms * std::sqrt(slow_start_weight) / usual_service_time_ms;
    slow_start_service_time_factor += smoothing * (factor - slow_start_service_time_factor);
    return;
  }
  ++response_count;
  usual_service_time_ms += std::max(min_smoothing, 1 / (initial_service_time_samples + response_count)) *
                           (observed_ms - usual_service_time_ms);
  MachineTypeStats& machine_type = *endpoint.machine_type;
  ++machine_type.response_count;
  machine_type.service_time_ms +=
      std::max(min_smoothing, 1 / machine_type.response_count) * (observed_ms - machine_type.service_time_ms);
}

void TrafficStatistics::update_rates(double now_ms) {
  constexpr double ms_per_s = 1000;
  constexpr double tenant_smoothing = 0.3;
  constexpr double time_constant_ms = 3000;  // the rates are those of the last seconds
  const double elapsed_ms = updated_at_ms == never ? maintenance_interval_ms : now_ms - updated_at_ms;
  updated_at_ms = now_ms;
  for (std::size_t i = 0; i < tenant_arrivals_per_s.size(); ++i) {
    const double arrivals = std::exchange(tenant_arrivals_since_update[i], 0);
    double& mean = tenant_arrivals_per_s[i];
    mean += tenant_smoothing * (arrivals / elapsed_ms * ms_per_s - mean);
  }
  ++update_count;
  const double smoothing = std::max(1 - std::exp(-elapsed_ms / time_constant_ms), 1 / update_count);
  sends_per_ms += smoothing * (sends_since_update / elapsed_ms - sends_per_ms);
  arrivals_per_ms += smoothing * (arrivals_since_update / elapsed_ms - arrivals_per_ms);
  sends_since_update = 0;
  arrivals_since_update = 0;
}

void record_outcome(TrackedEndpoint& endpoint, bool has_failed, double now_ms) {
  constexpr std::size_t max_outcomes = 16;  // given by the design
  endpoint.recent_outcomes.push_back({now_ms, has_failed});
  if (endpoint.recent_outcomes.size() > max_outcomes)
    endpoint.recent_outcomes.erase(endpoint.recent_outcomes.begin());
}

}  // namespace indigorill
