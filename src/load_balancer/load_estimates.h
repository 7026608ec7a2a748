/// Estimates of an endpoint's load and speed from what was observed of it, and how long observations count.
#pragma once

#include "load_balancer_state/balancer_state.h"

namespace indigorill {

/// RPCs that the endpoint works on or holds, our own and those of other sidecars.
double queue_depth_estimate(const BalancerState& state, const TrackedEndpoint& endpoint);
double expected_service_time_ms(const BalancerState& state, const TrackedEndpoint& endpoint);
/// True while the usual service time is the initial estimate or below, and few responses were seen.
bool is_service_time_guessed(const BalancerState& state);
/// How far the last load report still tells something, 0 to 1.
double report_confidence(const BalancerState& state, const TrackedEndpoint& endpoint);
bool has_fresh_report(const BalancerState& state, const TrackedEndpoint& endpoint);
/// True if the last health check has had no answer so far and may still get one.
bool has_unanswered_probe(const BalancerState& state, const TrackedEndpoint& endpoint);

/// Mean time between two of our sends to one endpoint, 0 if unknown.
double mean_send_interval_ms(const BalancerState& state);
/// How long outcomes count for an endpoint's reputation.
double outcome_retention_ms(const BalancerState& state);

}  // namespace indigorill
