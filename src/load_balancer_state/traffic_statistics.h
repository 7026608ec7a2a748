/// What a load balancer observes of its traffic: rates, and smoothed means of service times and load reports.
/// Measures only; what follows from it is decided in src/load_balancer/.
#pragma once

#include <deque>
#include <map>
#include <vector>

#include "load_balancer_state/tracked_endpoint.h"

namespace indigorill {

/// How often rates are updated.
constexpr double maintenance_interval_ms = 1000;

struct TrafficStatistics {
  /// The first estimate of a service time, as a share of the longest latency objective, and the number of
  /// responses that it counts for.
  static constexpr double initial_service_time_fraction = 0.25;
  static constexpr double initial_service_time_samples = 5;
  /// RPCs of other sidecars at each endpoint, until there are reports.
  static constexpr double initial_others_in_flight = 0.5;

  double arrivals_per_ms = 0;
  double sends_per_ms = 0;
  double arrivals_since_update = 0;
  double sends_since_update = 0;
  double updated_at_ms = never;
  double update_count = 0;
  double last_sent_at_ms = never;
  std::vector<double> tenant_arrivals_per_s;  ///< in the order of the config's tenants
  std::vector<double> tenant_arrivals_since_update;
  /// Time left until the deadline, of the last RPCs of each method that states its clients' deadline.
  std::map<const MethodConfig*, std::deque<double>> recent_time_budgets;
  double mean_priority = 1;

  double usual_service_time_ms = 0;
  double response_count = 0;  ///< responses that the usual service time is learned from
  double mean_others_in_flight = 0;
  double slow_start_others_in_flight = 0;     ///< the same for endpoints that warm up
  double slow_start_service_time_factor = 1;  ///< observed over expected, for those

  /// Takes an RPC's priority into the mean.
  void record_priority(double priority, bool is_first);
  void record_send(TrackedEndpoint& endpoint, double now_ms);
  /// `with_response`: the report came with the response to one of our RPCs, which it still counts.
  void record_load_report(TrackedEndpoint& endpoint, const LoadReport& report, bool with_response,
                          bool is_warming_up, double now_ms);
  /// `queue_depth`: RPCs at the endpoint when the attempt was sent, itself included.
  void record_service_time(TrackedEndpoint& endpoint, double duration_ms, double queue_depth,
                           bool is_response, double slow_start_weight, double now_ms);
  /// Takes the counts since the last call into the rates.
  void update_rates(double now_ms);
};

/// Keeps the last outcomes of the endpoint.
void record_outcome(TrackedEndpoint& endpoint, bool has_failed, double now_ms);

}  // namespace indigorill
