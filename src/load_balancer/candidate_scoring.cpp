#include "load_balancer/candidate_scoring.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "load_balancer/load_estimates.h"
#include "load_balancer/retry_policy.h"
#include "load_balancer/slow_start.h"
#include "load_balancer_state/decay.h"
#include "load_balancer_state/water_filling.h"

namespace indigorill {
namespace {

// At or below this reputation an endpoint's capacity is not counted.
constexpr double failing_log2_reputation = -3;

std::vector<std::uint64_t> best_affinity_scores(const BalancerState& state, const TrackedRpc& rpc) {
  if (!state.config.key_affinity || !rpc.routing_key) return {};
  return state.endpoints.best_scores_by_zone(*rpc.routing_key);
}

// Number of RPCs that the other sidecars sent since their last gossip, if each sends at this rate. All
// sidecars see the same few idle endpoints, so these RPCs are assumed to have been sent there.
double unreported_sends(const BalancerState& state, double rate_per_ms) {
  constexpr double delivery_ms = 25;  // messages take 2 to 25 ms
  if (!state.has_recent_gossip()) return 0;
  return (state.config.sidecar_count - 1) * rate_per_ms * (state.gossip.mean_interval_ms / 2 + delivery_ms);
}

ScoringContext make_scoring_context(const BalancerState& state, const TrackedRpc& rpc) {
  // Share of its remaining time that an RPC may wait: the minimum, and the addition at the highest priority.
  constexpr double min_patience = 0.4;
  constexpr double priority_patience = 0.6;
  // An endpoint that holds far more RPCs than it works on slows down for many seconds, so its queue is kept
  // short.
  constexpr double queue_depth_per_patience = 4;
  constexpr double over_quota_queue_share = 0.5;
  const double on_time_ms = std::min(rpc.objective_at_ms, final_answer_by_ms(state, rpc)) - state.now_ms;
  const bool is_late = state.traffic.usual_service_time_ms > on_time_ms;
  const double priority = rpc.quota_factor * rpc.method->priority_weight *
                          (is_late ? rpc.method->late_weight : 1) / state.max_priority_weight;
  const double patience = min_patience + priority_patience * priority;
  const double quota_share = rpc.quota_factor < 1 ? over_quota_queue_share : 1;
  return {
      .remaining_ms = is_late ? useful_until_ms(state, rpc) - state.now_ms : on_time_ms,
      .patience = patience,
      .max_queue_depth =
          state.has_recent_gossip() ? queue_depth_per_patience * patience * quota_share : far_future,
      .is_service_time_guessed = is_service_time_guessed(state),
      .affinity_scores = best_affinity_scores(state, rpc),
  };
}

// Checks connection limits, slow start, and that a retry stays where it is deduplicated.
bool may_send_to(BalancerState& state, const TrackedRpc& rpc, TrackedEndpoint& endpoint) {
  if (endpoint.connection_limited && endpoint.idle_connections == 0) return false;
  if (is_warming_up(state, endpoint)) {
    refill_slow_start_tokens(state, endpoint);
    if (endpoint.slow_start_tokens < 1) return false;
  }
  const Attempt* first = rpc.first_possibly_executed();
  if (!first || rpc.method->retry_safety != RetrySafety::idempotency_key) return true;
  const DeduplicationScope scope = rpc.method->deduplication_scope;
  if (scope == DeduplicationScope::zone) return endpoint.zone_index == first->endpoint->zone_index;
  return scope != DeduplicationScope::cell || endpoint.cell == first->endpoint->cell;
}

EndpointEstimate estimate(const BalancerState& state, const TrackedEndpoint& endpoint, double retention_ms,
                          double send_interval_ms) {
  // With fewer than 16 recent outcomes, their failures stand for the missing ones as well, because an
  // endpoint that fails at once looks idle. Two successes are assumed, because a single failure may be due to
  // chance.
  constexpr double full_history = 16;
  constexpr double assumed_successes = 2;
  constexpr double min_recency_unit_ms = 1000;
  constexpr double max_log2_recency = 6;  // prevents overflow
  const auto [outcomes, failures] = endpoint.count_outcomes_since(state.now_ms - retention_ms);
  const double peer_failures = state.peer_loads.failures(endpoint.gossip_tag(), state.now_ms);
  const double idle_ms = state.now_ms - endpoint.last_sent_at_ms;
  return {
      .recent_failures = failures,
      .peer_failures = peer_failures,
      .log2_reputation =
          -failures * std::max(1.0, full_history / (outcomes + assumed_successes)) - peer_failures,
      .log2_recency = std::min(idle_ms / std::max(min_recency_unit_ms, send_interval_ms), max_log2_recency),
      .service_time_ms = expected_service_time_ms(state, endpoint),
      .queue_depth = queue_depth_estimate(state, endpoint),
      .report_confidence = report_confidence(state, endpoint),
  };
}

std::vector<EndpointEstimate> collect_candidates(BalancerState& state, const TrackedRpc& rpc,
                                                 CandidateSet& set) {
  const std::vector<TrackedEndpoint*>& ready = state.endpoints.ready();
  const double retention_ms = outcome_retention_ms(state);
  const double send_interval_ms = mean_send_interval_ms(state);
  std::vector<EndpointEstimate> estimates;
  estimates.reserve(ready.size());
  set.candidates.reserve(ready.size());
  for (TrackedEndpoint* endpoint : ready) {
    if (!may_send_to(state, rpc, *endpoint)) continue;
    set.candidates.push_back(
        {.endpoint = endpoint, .slow_start_weight = slow_start_weight(state, *endpoint)});
    set.in_flight += endpoint->in_flight;
    estimates.push_back(estimate(state, *endpoint, retention_ms, send_interval_ms));
  }
  return estimates;
}

// Endpoints to which nothing was sent take the mean reputation and recency of the others.
double mean_log2_weight(const CandidateSet& set, const std::vector<EndpointEstimate>& estimates) {
  double reputation = 0;
  double recency = 0;
  double count = 0;
  for (std::size_t i = 0; i < estimates.size(); ++i) {
    if (set.candidates[i].endpoint->last_sent_at_ms == never) continue;
    reputation += std::exp2(estimates[i].log2_reputation);
    recency += std::exp2(estimates[i].log2_recency);
    ++count;
  }
  return count > 0 ? std::log2(reputation / count) + std::log2(recency / count) : 0;
}

// The wait to which RPCs that other sidecars sent since their last gossip fill idle endpoints.
double unreported_fill_level_ms(const BalancerState& state, const std::vector<EndpointEstimate>& estimates) {
  std::vector<QueueLevel> queues;
  for (const EndpointEstimate& estimate : estimates)
    if (estimate.log2_reputation > failing_log2_reputation)
      queues.push_back({estimate.work_ahead_ms(), estimate.service_time_ms});
  return fill_level_ms(std::move(queues), unreported_sends(state, state.traffic.sends_per_ms));
}

// After a long time without sends the observations may be outdated, and without a trial they would never be
// corrected. Trials are admitted at random, because a thousand sidecars that try at once are a load.
bool admit_trial(BalancerState& state, const CandidateSet& set) {
  constexpr double min_silence_ms = 1000;
  constexpr double probability = 0.1;
  return state.now_ms - state.traffic.last_sent_at_ms > min_silence_ms && set.in_flight == 0 &&
         state.random_fraction() < probability;
}

// Time until the endpoint would begin to work on the RPC.
double expected_wait_ms(const BalancerState& state, const ScoringContext& context, const TrackedRpc& rpc,
                        const TrackedEndpoint& endpoint, const EndpointEstimate& estimate) {
  // An endpoint that rejected an attempt looks idle, but its queue is full. Both constants are in latency
  // objectives.
  constexpr double full_queue = 0.4;
  constexpr double half_life = 2;
  const double objective_ms = rpc.method->latency_objective_ms;
  const double age = (state.now_ms - endpoint.rejected_at_ms) / (half_life * objective_ms);
  const double unreported_ms = std::max(context.fill_level_ms - estimate.work_ahead_ms(), 0.0);
  return estimate.work_ahead_ms() + unreported_ms + full_queue * objective_ms * decayed_share(age);
}

bool meets_objective(const ScoringContext& context, const TrackedEndpoint& endpoint,
                     const EndpointEstimate& estimate, double wait_ms) {
  // The RPC may take longer than the mean, and its wait must leave time for that. In mean service times.
  constexpr double service_time_margin = 1.6;
  // A sidecar with little traffic relies on a guessed service time for long; with the whole guess it would
  // reject RPCs that idle endpoints could serve. A larger share rejects more RPCs.
  constexpr double guess_share = 0.4;
  // Number of recent failures from which no response in time is expected; higher if a load report shows that
  // the endpoint is nearly idle.
  constexpr double max_failures = 3;
  constexpr double max_failures_if_idle = 17;
  constexpr double idle_queue_depth = 1.5;
  constexpr double min_confidence = 0.5;
  const bool is_guess = context.is_service_time_guessed && endpoint.service_time_at_ms == never;
  const double service_time_ms = is_guess ? guess_share * estimate.service_time_ms : estimate.service_time_ms;
  const double needed_ms = service_time_ms * service_time_margin;
  const bool is_known_idle =
      estimate.report_confidence > min_confidence && estimate.queue_depth < idle_queue_depth;
  const double guessed_excess_ms = (estimate.service_time_ms - service_time_ms) * estimate.queue_depth;
  return estimate.recent_failures < (is_known_idle ? max_failures_if_idle : max_failures) &&
         needed_ms <= context.remaining_ms && estimate.queue_depth <= context.max_queue_depth &&
         wait_ms - guessed_excess_ms <= context.patience * (context.remaining_ms - needed_ms);
}

// Binary logarithm of the weight in the draw: reputation and recency, less the halvings for each drawback.
double log2_weight(const BalancerState& state, const ScoringContext& context, const TrackedRpc& rpc,
                   const Candidate& candidate, const EndpointEstimate& estimate, double wait_ms) {
  constexpr double per_latency_objective = 30;  // an RPC in flight costs 4 to 9 halvings
  constexpr double per_cross_zone_cost = 40;
  constexpr double per_handshake_cost = 100;
  // As much as key affinity adds, so that affinity does not keep an RPC at an endpoint over the maximum
  // depth.
  constexpr double over_max_queue_depth = 20;
  constexpr double unanswered_probe = 8;  // a dead endpoint answers no health check
  constexpr double not_probed = 3;        // added to the logarithm of the number of endpoints
  constexpr double already_tried = 4;     // a retry more likely succeeds at another endpoint
  constexpr double key_affinity = 20;     // a long queue still outweighs it
  const TrackedEndpoint& endpoint = *candidate.endpoint;
  const bool is_unsent = endpoint.last_sent_at_ms == never;
  const bool is_warm = candidate.slow_start_weight >= 1;
  double weight = is_unsent ? context.unsent_log2_weight - estimate.peer_failures
                            : estimate.log2_reputation + estimate.log2_recency;
  if (const double unfilled_ms = context.fill_level_ms - estimate.work_ahead_ms(); unfilled_ms > 0)
    weight += std::log2(std::min(unfilled_ms / estimate.service_time_ms, 1.0));
  weight -= per_latency_objective * (wait_ms + estimate.service_time_ms) / rpc.method->latency_objective_ms;
  if (!is_warm) weight += std::log2(candidate.slow_start_weight);
  if (endpoint.zone_index != state.local_zone_index)
    weight -= per_cross_zone_cost * state.config.cross_zone_cost;
  if (endpoint.idle_connections == 0 && (!is_unsent || is_warm))
    weight -= per_handshake_cost * state.config.handshake_cost;
  if (estimate.queue_depth > context.max_queue_depth) weight -= over_max_queue_depth;
  if (has_unanswered_probe(state, endpoint)) weight -= unanswered_probe;
  if (!rpc.probed_endpoints.empty())
    weight -= (1 - estimate.report_confidence) * (not_probed + context.log2_endpoint_count);
  for (const Attempt& attempt : rpc.attempts)
    if (attempt.endpoint == &endpoint) weight -= already_tried;
  const bool is_preferred =
      !context.affinity_scores.empty() &&
      rendezvous_score(*rpc.routing_key, endpoint.id_hash) == context.affinity_scores[endpoint.zone_index];
  return is_preferred ? weight + key_affinity : weight;
}

// All sidecars see the same free capacity; when it is short, each admits RPCs at random.
bool admit_by_capacity(BalancerState& state, const ScoringContext& context,
                       const std::vector<EndpointEstimate>& estimates) {
  if (!state.has_recent_gossip()) return true;
  double capacity = 0;
  for (const EndpointEstimate& estimate : estimates)
    if (estimate.log2_reputation > failing_log2_reputation)
      capacity += std::max(0.0, context.max_queue_depth - estimate.queue_depth);
  const double arriving = unreported_sends(state, state.traffic.arrivals_per_ms);
  const double leaving = unreported_sends(state, state.traffic.sends_per_ms);
  const bool is_short = state.random_fraction() * arriving > capacity + leaving;
  return !is_short;
}

void scale_to_best(std::vector<Candidate>& candidates) {
  const auto is_worse = [](const Candidate& a, const Candidate& b) { return a.weight < b.weight; };
  const double best = std::max_element(candidates.begin(), candidates.end(), is_worse)->weight;
  for (Candidate& candidate : candidates) candidate.weight = std::exp2(candidate.weight - best);
}

}  // namespace

CandidateSet score_candidates(BalancerState& state, const TrackedRpc& rpc) {
  ScoringContext context = make_scoring_context(state, rpc);
  CandidateSet set;
  const std::vector<EndpointEstimate> estimates = collect_candidates(state, rpc, set);
  if (set.is_empty()) return set;
  set.is_trial_admitted = admit_trial(state, set);
  context.log2_endpoint_count = std::log2(static_cast<double>(state.endpoints.ready().size()));
  context.unsent_log2_weight = mean_log2_weight(set, estimates);
  if (state.has_recent_gossip()) context.fill_level_ms = unreported_fill_level_ms(state, estimates);
  for (std::size_t i = 0; i < estimates.size(); ++i) {
    Candidate& candidate = set.candidates[i];
    const double wait_ms = expected_wait_ms(state, context, rpc, *candidate.endpoint, estimates[i]);
    candidate.meets_objective = meets_objective(context, *candidate.endpoint, estimates[i], wait_ms);
    candidate.weight = log2_weight(state, context, rpc, candidate, estimates[i], wait_ms);
    set.report_coverage += estimates[i].report_confidence / static_cast<double>(set.candidates.size());
  }
  if (!admit_by_capacity(state, context, estimates)) return {};
  scale_to_best(set.candidates);
  return set;
}

}  // namespace indigorill
