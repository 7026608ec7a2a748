#include "load_balancer/attempts.h"

#include <algorithm>
#include <utility>

#include "load_balancer/candidate_scoring.h"
#include "load_balancer/load_estimates.h"
#include "load_balancer/probing.h"
#include "load_balancer/retry_policy.h"
#include "load_balancer/slow_start.h"
#include "load_balancer/weighted_draw.h"
#include "load_balancer_state/attempt_outcomes.h"
#include "load_balancer_state/decisions.h"

namespace indigorill {
namespace {

Decision send_attempt(BalancerState& state, TrackedRpc& rpc, TrackedEndpoint& endpoint) {
  constexpr double min_timeout_ms = 0.001;
  const double send_deadline_ms = retry_deadline_ms(rpc);
  const double timeout_ms = useful_until_ms(state, rpc) - state.now_ms;
  rpc.attempts.push_back({.endpoint = &endpoint,
                          .rpc = &rpc,
                          .index = static_cast<int>(rpc.attempts.size()),
                          .sent_at_ms = state.now_ms,
                          .queue_depth_when_sent = queue_depth_estimate(state, endpoint),
                          .is_retry = rpc.attempt_count() > 0});
  const Attempt& attempt = rpc.attempts.back();
  state.traffic.record_send(endpoint, state.now_ms);
  if (is_warming_up(state, endpoint)) --endpoint.slow_start_tokens;
  update_retry_budget(state, attempt);
  state.rpcs.set_due_time(rpc, state.now_ms + std::max(timeout_ms, 0.0));
  return make_send_attempt(attempt, std::max(timeout_ms, min_timeout_ms), send_deadline_ms);
}

}  // namespace

std::optional<Decision> decide(BalancerState& state, TrackedRpc& rpc) {
  if (rpc.is_concluded) return {};
  const bool has_outstanding = rpc.outstanding_count() > 0;
  if (rpc.is_streaming && has_outstanding) return {};
  state.rpcs.set_due_time(rpc, never);
  if (rpc.is_streaming || state.now_ms >= final_answer_by_ms(state, rpc)) return reject_or_fail(state, rpc);
  if (has_outstanding) {
    state.rpcs.set_due_time(rpc, final_answer_by_ms(state, rpc));
    return {};
  }
  if (state.now_ms >= useful_until_ms(state, rpc)) return reject_or_fail(state, rpc);
  CandidateSet set;
  if (probe_candidates(state, rpc, set)) return {};
  if (!may_attempt(state, rpc)) return reject_or_fail(state, rpc);
  if (rpc.attempt_count() > 0 && !has_retry_budget(state)) return reject_or_fail(state, rpc);
  if (set.is_empty() || !rpc.probed_endpoints.empty()) set = score_candidates(state, rpc);
  if (set.is_empty() || !set.meets_deadline()) return reject_or_fail(state, rpc);
  TrackedEndpoint* endpoint = select_endpoint(state, rpc, std::move(set));
  return endpoint ? send_attempt(state, rpc, *endpoint) : reject_or_fail(state, rpc);
}

void record_attempt_outcome(BalancerState& state, Attempt& attempt, AttemptOutcome outcome,
                            double duration_ms, const LoadReport& report) {
  TrackedRpc& rpc = *attempt.rpc;
  TrackedEndpoint& endpoint = *attempt.endpoint;
  const bool is_ok = outcome == AttemptOutcome::ok;
  const bool is_withdrawn = outcome == AttemptOutcome::withdrawn;
  const bool has_failed = !is_ok || duration_ms > rpc.method->latency_objective_ms;
  attempt.is_outstanding = false;
  attempt.may_have_run = !is_certainly_not_executed(outcome);
  if (is_withdrawn) ++rpc.withdrawn_count;
  attempt.release_endpoint();
  state.traffic.record_load_report(endpoint, report, is_ok, is_warming_up(state, endpoint), state.now_ms);
  if (is_ok || outcome == AttemptOutcome::timed_out)
    state.traffic.record_service_time(endpoint, duration_ms, attempt.queue_depth_when_sent + 1, is_ok,
                                      slow_start_weight(state, endpoint), state.now_ms);
  if (outcome == AttemptOutcome::rejected) endpoint.rejected_at_ms = state.now_ms;
  if (concerns_endpoint(outcome)) {
    if (outcome != AttemptOutcome::rejected) record_outcome(endpoint, has_failed, state.now_ms);
    if (has_failed) endpoint.failures_to_gossip += 1;
  }
  if (attempt.is_retry && !is_withdrawn)
    record_retry_outcome(state, is_ok && state.now_ms <= rpc.objective_at_ms);
}

}  // namespace indigorill
