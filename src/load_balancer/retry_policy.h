/// Retry and rejection policy: until when an RPC is of use, whether it may be tried again, and how it is
/// given up. Keeps the rule that a method without retry safety never takes effect twice.
#pragma once

#include "load_balancer_state/balancer_state.h"

namespace indigorill {

/// By when the client has to have its final answer.
double final_answer_by_ms(const BalancerState& state, const TrackedRpc& rpc);
/// Until when a response is worth anything.
double useful_until_ms(const BalancerState& state, const TrackedRpc& rpc);
/// By when the next attempt has to be sent completely; far_future if it can't be executed twice.
double retry_deadline_ms(const TrackedRpc& rpc);

/// True if one more attempt is allowed, by its effects and by the number of attempts.
bool may_attempt(const BalancerState& state, const TrackedRpc& rpc);
bool has_retry_budget(const BalancerState& state);
/// Accounts for an attempt that is sent: first attempts earn what retries spend.
void update_retry_budget(BalancerState& state, const Attempt& attempt);
void record_retry_outcome(BalancerState& state, bool has_succeeded_in_time);

/// Ends the RPC here: nothing more is decided on it but the cancellation of its attempts.
void conclude(BalancerState& state, TrackedRpc& rpc);
/// Concludes the RPC without a response: rejects it, so that the client may retry, or fails it.
Decision reject_or_fail(BalancerState& state, TrackedRpc& rpc);

}  // namespace indigorill
