/// Statistics of a load balancer's traffic: rates, and smoothed means of service times and load reports. They
/// only measure; the decisions based on them are in src/load_balancer/.
#pragma once

#include <deque>
#include <map>
#include <vector>

#include "load_balancer_state/tracked_endpoint.h"

namespace indigorill {

/// Interval between two updates of the rates.
constexpr double maintenance_interval_ms = 1000;

struct TrafficStatistics {
  /// The initial estimate of a service time, as a share of the longest latency objective, and the number of
  /// responses that have the same weight.
  static constexpr double initial_service_time_fraction = 0.25;
  static constexpr double initial_service_time_samples = 5;
  /// Assumed RPCs of other sidecars at each endpoint, before the first load reports.
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
  /// Time until the deadline on arrival, for the last RPCs of each method that has a configured deadline.
  std::map<const MethodConfig*, std::deque<double>> recent_time_budgets;
  double mean_priority = 1;

  double usual_service_time_ms = 0;
  double response_count = 0;  ///< responses from which the usual service time was learned
  double mean_others_in_flight = 0;
  double slow_start_others_in_flight = 0;     ///< the same for endpoints that are warming up
  double slow_start_service_time_factor = 1;  ///< observed over expected time, for these endpoints

  /// Updates the mean by an RPC's priority.
  void record_priority(double priority, bool is_first);
  void record_send(TrackedEndpoint& endpoint, double now_ms);
  /// `with_response`: the report came with the response to one of this sidecar's RPCs and still counts it.
  void record_load_report(TrackedEndpoint& endpoint, const LoadReport& report, bool with_response,
                          bool is_warming_up, double now_ms);
  /// `queue_depth`: RPCs at the endpoint when the attempt was sent, itself included.
  void record_service_time(TrackedEndpoint& endpoint, double duration_ms, double queue_depth,
                           bool is_response, double slow_start_weight, double now_ms);
  /// Updates the rates by the counts since the last call.
  void update_rates(double now_ms);
};

/// Adds an outcome to the endpoint's recent ones, of which only the last are kept.
void record_outcome(TrackedEndpoint& endpoint, bool has_failed, double now_ms);

}  // namespace indigorill
