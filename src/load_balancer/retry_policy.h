/// Retry and rejection policy: until when a response to an RPC has value, whether the RPC may be retried, and
/// whether it is rejected or failed. Ensures that a method without retry safety never takes effect twice.
#pragma once

#include "load_balancer_state/balancer_state.h"

namespace indigorill {

/// Time by which the client has to have its final answer.
double final_answer_by_ms(const BalancerState& state, const TrackedRpc& rpc);
/// Time until which a response has any value.
double useful_until_ms(const BalancerState& state, const TrackedRpc& rpc);
/// Time by which the next attempt has to be sent completely; far_future if there is no such limit.
double retry_deadline_ms(const TrackedRpc& rpc);

/// True if the retry safety, the number of attempts and the retry deadline allow one more attempt.
bool may_attempt(const BalancerState& state, const TrackedRpc& rpc);
bool has_retry_budget(const BalancerState& state);
/// Accounts for an attempt that is sent: a first attempt adds to the retry budget, a retry consumes from it.
void update_retry_budget(BalancerState& state, const Attempt& attempt);
void record_retry_outcome(BalancerState& state, bool has_succeeded_in_time);

/// Marks the RPC as concluded: after that, only its outstanding attempts may still be cancelled.
void conclude(BalancerState& state, TrackedRpc& rpc);
/// Concludes the RPC without a response: rejects it, so that the client may retry, or fails it.
Decision reject_or_fail(BalancerState& state, TrackedRpc& rpc);

}  // namespace indigorill
