#include "load_balancer/probing.h"

#include <algorithm>
#include <cmath>

#include "load_balancer/candidate_scoring.h"
#include "load_balancer/load_estimates.h"
#include "load_balancer/retry_policy.h"
#include "load_balancer/slow_start.h"
#include "load_balancer/weighted_draw.h"

namespace indigorill {
namespace {

// The gain that an RPC may have from load reports, divided by the cost of a probe; a fraction is
// rounded up or down at random.
double affordable_probe_count(BalancerState& state, const TrackedRpc& rpc, const CandidateSet& set) {
  constexpr double gain_share = 0.2;  // share of an RPC's priority weight
  constexpr double max_probes = 9;
  const LoadBalancerConfig& config = state.config;
  const TrafficStatistics& traffic = state.traffic;
  if (config.probe_cost <= 0) return max_probes;
  const double unknown = (1 - set.report_coverage) * (1 - set.report_coverage);
  const double risk =
      std::min(traffic.usual_service_time_ms / (useful_until_ms(state, rpc) - state.now_ms), 1.0);
  const double busy = traffic.mean_others_in_flight / (1 + traffic.mean_others_in_flight);
  const double gain = gain_share * risk * busy * unknown * rpc.quota_factor * rpc.method->priority_weight /
                      traffic.mean_priority;
  const double cost = config.probe_cost + config.handshake_cost;
  return std::min(std::floor(gain / cost + state.random_fraction()), max_probes);
}

// Draws targets by weight: the endpoints of shortest expected wait are the same for all sidecars, which would
// overload them together.
void draw_probe_targets(BalancerState& state, TrackedRpc& rpc, CandidateSet set) {
  while (static_cast<double>(rpc.probe_targets.size()) < rpc.probe_count &&
         rpc.probe_targets.size() < set.candidates.size()) {
    Candidate& candidate = set.candidates[draw_with_slow_start_limit(state, rpc, set)];
    if (candidate.weight <= 0) return;
    candidate.weight = 0;
    rpc.probe_targets.push_back(candidate.endpoint);
  }
}

bool has_found_idle_endpoint(const BalancerState& state, const TrackedRpc& rpc) {
  constexpr double idle_queue_depth = 0.5;
  return std::any_of(rpc.probed_endpoints.begin(), rpc.probed_endpoints.end(),
                     [&](const TrackedEndpoint* endpoint) {
                       return has_fresh_report(state, *endpoint) &&
                              queue_depth_estimate(state, *endpoint) < idle_queue_depth;
                     });
}

// Queues the next few probes; probing stops once an endpoint is found idle.
void queue_probes(BalancerState& state, TrackedRpc& rpc) {
  constexpr std::size_t max_at_once = 3;
  for (std::size_t i = 0; i < max_at_once && rpc.probed_endpoints.size() < rpc.probe_targets.size(); ++i) {
    TrackedEndpoint* endpoint = rpc.probe_targets[rpc.probed_endpoints.size()];
    rpc.probed_endpoints.push_back(endpoint);
    if (has_unanswered_probe(state, *endpoint) || has_fresh_report(state, *endpoint) || !endpoint->is_ready)
      continue;
    endpoint->probe_sent_at_ms = state.now_ms;
    state.pending_probes.push_back(endpoint);
  }
}

}  // namespace

bool probe_candidates(BalancerState& state, TrackedRpc& rpc, CandidateSet& set) {
  constexpr double max_wait_ms = 4;  // a few round trips
  const LoadBalancerConfig& config = state.config;
  if (!config.probing_enabled || !config.probes_report_load) return false;
  if (!rpc.attempts.empty() || state.has_recent_gossip()) return false;
  if (rpc.probe_wait_until_ms == never) {
    set = score_candidates(state, rpc);
    rpc.probe_count = affordable_probe_count(state, rpc, set);
    if (rpc.probe_count > 0) draw_probe_targets(state, rpc, set);
  } else {
    const bool all_answered =
        std::all_of(rpc.probed_endpoints.begin(), rpc.probed_endpoints.end(),
                    [](const TrackedEndpoint* endpoint) { return endpoint->probe_sent_at_ms == never; });
    if (!all_answered && state.now_ms < rpc.probe_wait_until_ms) {
      state.rpcs.set_due_time(rpc, rpc.probe_wait_until_ms);
      return true;
    }
    state.rpcs.stop_awaiting_probes(rpc);
    if (has_found_idle_endpoint(state, rpc)) return false;
  }
  rpc.probe_wait_until_ms = state.now_ms + max_wait_ms;
  queue_probes(state, rpc);
  if (state.pending_probes.empty()) return false;
  state.rpcs.await_probes(rpc);
  state.rpcs.set_due_time(rpc, rpc.probe_wait_until_ms);
  return true;
}

void record_probe_outcome(BalancerState& state, TrackedEndpoint& endpoint, AttemptOutcome outcome,
                          const LoadReport& report) {
  const bool is_ok = outcome == AttemptOutcome::ok;
  // A client error means that the health check was not sent at all.
  if (is_ok || outcome == AttemptOutcome::client_error) endpoint.probe_sent_at_ms = never;
  if (is_ok)
    state.traffic.record_load_report(endpoint, report, false, is_warming_up(state, endpoint), state.now_ms);
}

}  // namespace indigorill
