/// Functions that build the host's decisions from the attempt, endpoint, message or timer concerned.
#pragma once

#include <cstdint>
#include <utility>

#include "indigorill/load_balancer.h"
#include "load_balancer_state/tracked_rpc.h"

namespace indigorill {

inline Decision make_send_attempt(const Attempt& attempt, double timeout_ms, double send_deadline_ms) {
  return {.action = Decision::Action::send_attempt,
          .rpc_id = attempt.rpc->id,
          .endpoint_id = attempt.endpoint->id,
          .attempt_index = attempt.index,
          .delay_ms = timeout_ms,
          .send_deadline_ms = send_deadline_ms};
}

inline Decision make_cancel_attempt(const Attempt& attempt) {
  return {.action = Decision::Action::cancel_attempt,
          .rpc_id = attempt.rpc->id,
          .endpoint_id = attempt.endpoint->id,
          .attempt_index = attempt.index};
}

inline Decision make_health_check(const TrackedEndpoint& endpoint) {
  return {.action = Decision::Action::health_check, .endpoint_id = endpoint.id};
}

inline Decision make_send_gossip(LoadGossip gossip) {
  return {.action = Decision::Action::send_gossip, .gossip = std::move(gossip)};
}

inline Decision make_set_timer(std::uint64_t timer_id, double delay_ms) {
  return {.action = Decision::Action::set_timer, .delay_ms = delay_ms, .timer_id = timer_id};
}

}  // namespace indigorill
