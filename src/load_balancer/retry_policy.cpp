#include "load_balancer/retry_policy.h"

#include <algorithm>

namespace indigorill {
namespace {

// A rejection tells the client that a retry is harmless. An RPC that may have been executed, and must not be
// executed twice, fails instead.
bool may_reject(const TrackedRpc& rpc) {
  const MethodConfig& method = *rpc.method;
  if (method.retry_safety == RetrySafety::idempotent || !rpc.first_possibly_executed()) return true;
  return method.retry_safety == RetrySafety::idempotency_key &&
         method.deduplication_scope == DeduplicationScope::global;
}

// The Retry-After of a rejection: the longest that clients heed, or a shorter one if a late response still
// has value.
double retry_after_ms(const BalancerState& state, const TrackedRpc& rpc) {
  constexpr double min_ms = 100;
  constexpr double share_of_remaining_time = 4;
  const double soon_ms =
      rpc.method->late_weight > 0 ? (rpc.objective_at_ms - state.now_ms) / share_of_remaining_time : 0;
  const double max_ms = state.config.max_retry_after_ms;
  return soon_ms > min_ms ? std::min(soon_ms, max_ms) : max_ms;
}

}  // namespace

double final_answer_by_ms(const BalancerState& state, const TrackedRpc& rpc) {
  return rpc.deadline_ms - state.config.tick_ms;
}

double useful_until_ms(const BalancerState& state, const TrackedRpc& rpc) {
  const double final_answer_ms = final_answer_by_ms(state, rpc);
  return rpc.method->late_weight > 0 ? final_answer_ms : std::min(rpc.objective_at_ms, final_answer_ms);
}

// A retry that is sent after this time, for example after a slow connect, could be executed a second time.
double retry_deadline_ms(const TrackedRpc& rpc) {
  constexpr double usable_window = 0.9;  // of the deduplication window; the rest is for the retry's transfer
  const Attempt* first = rpc.first_possibly_executed();
  if (!first || rpc.method->retry_safety != RetrySafety::idempotency_key) return far_future;
  return first->sent_at_ms + usable_window * rpc.method->deduplication_window_ms;
}

bool may_attempt(const BalancerState& state, const TrackedRpc& rpc) {
  const bool may_run_twice =
      rpc.method->retry_safety == RetrySafety::non_idempotent && rpc.first_possibly_executed();
  return rpc.attempt_count() < state.config.max_attempts && !may_run_twice &&
         state.now_ms < retry_deadline_ms(rpc);
}

bool has_retry_budget(const BalancerState& state) {
  return std::min(state.retries.tokens, state.retries.fleet_quota) >= 1;
}

void update_retry_budget(BalancerState& state, const Attempt& attempt) {
  constexpr double earned_share = 0.5;  // share of the success rate
  constexpr double max_tokens = 10;
  RetryBudget& retries = state.retries;
  if (attempt.is_retry) {
    retries.fleet_quota -= 1;
    retries.tokens -= 1;
  } else {
    retries.tokens = std::min(retries.tokens + retries.success_rate * earned_share, max_tokens);
  }
}

void record_retry_outcome(BalancerState& state, bool has_succeeded_in_time) {
  constexpr double smoothing = 0.1;
  constexpr double failure_value = 0.1;  // above 0, so that retries never cease permanently
  double& rate = state.retries.success_rate;
  rate += smoothing * ((has_succeeded_in_time ? 1 : failure_value) - rate);
}

void conclude(BalancerState& state, TrackedRpc& rpc) {
  rpc.is_concluded = true;
  state.rpcs.set_due_time(rpc, never);
  state.rpcs.stop_awaiting_probes(rpc);
  // Work on a response for which no client waits takes capacity from RPCs that can still succeed.
  if (state.config.cancellation_enabled && !rpc.is_streaming) state.rpcs.cancel_outstanding_attempts(rpc);
}

Decision reject_or_fail(BalancerState& state, TrackedRpc& rpc) {
  Decision decision{.action = Decision::Action::fail, .rpc_id = rpc.id};
  if (may_reject(rpc)) {
    decision.action = Decision::Action::reject;
    decision.delay_ms = retry_after_ms(state, rpc);
  }
  conclude(state, rpc);
  return decision;
}

}  // namespace indigorill
