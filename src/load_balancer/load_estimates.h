/// Estimates of an endpoint's load and speed from observations, and how long observations count.
#pragma once

#include "load_balancer_state/balancer_state.h"

namespace indigorill {

/// RPCs that the endpoint executes or queues, those of this sidecar and of the others.
double queue_depth_estimate(const BalancerState& state, const TrackedEndpoint& endpoint);
double expected_service_time_ms(const BalancerState& state, const TrackedEndpoint& endpoint);
/// True while the usual service time is the initial estimate or below, and few responses were seen.
bool is_service_time_guessed(const BalancerState& state);
/// Confidence in the last load report, 0 to 1; it decays with the report's age.
double report_confidence(const BalancerState& state, const TrackedEndpoint& endpoint);
bool has_fresh_report(const BalancerState& state, const TrackedEndpoint& endpoint);
/// True if the last health check is unanswered and may still be answered.
bool has_unanswered_probe(const BalancerState& state, const TrackedEndpoint& endpoint);

/// Mean time between two sends of this sidecar to one endpoint, 0 if unknown.
double mean_send_interval_ms(const BalancerState& state);
/// Time for which an outcome counts towards an endpoint's reputation.
double outcome_retention_ms(const BalancerState& state);

}  // namespace indigorill
