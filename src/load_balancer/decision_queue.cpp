#include "load_balancer/decision_queue.h"

#include <algorithm>
#include <utility>

#include "load_balancer/attempts.h"
#include "load_balancer/endpoint_updates.h"
#include "load_balancer/gossip.h"
#include "load_balancer_state/decisions.h"

namespace indigorill {
namespace {

constexpr std::uint64_t maintenance_timer_id = 1;
constexpr std::uint64_t due_timer_id = 2;

std::optional<Decision> next_cancellation(BalancerState& state) {
  const Attempt* attempt = state.rpcs.pop_cancellation();
  return attempt ? std::optional(make_cancel_attempt(*attempt)) : std::nullopt;
}

std::optional<Decision> next_endpoint_poll(BalancerState& state) {
  const bool is_due = state.now_ms >= state.poll.next_at_ms;
  if (!is_due || !needs_endpoint_poll(state)) return {};
  state.poll.is_in_flight = true;
  return Decision{.action = Decision::Action::poll_endpoints};
}

std::optional<Decision> next_gossip(BalancerState& state) {
  const bool is_due = state.now_ms >= state.gossip.next_at_ms;
  if (!is_due || !sends_gossip(state)) return {};
  std::optional<LoadGossip> message = make_gossip(state);
  return message ? std::optional(make_send_gossip(std::move(*message))) : std::nullopt;
}

std::optional<Decision> next_health_check(BalancerState& state) {
  if (state.pending_probes.empty()) return {};
  const TrackedEndpoint* endpoint = state.pending_probes.front();
  state.pending_probes.pop_front();
  return make_health_check(*endpoint);
}

// Also returns none once an RPC has requested health checks, which are handed out first.
std::optional<Decision> next_rpc_decision(BalancerState& state) {
  while (state.rpcs.has_queued() && state.pending_probes.empty()) {
    std::optional<Decision> decision = decide(state, state.rpcs.pop_queued());
    if (!decision) continue;
    state.rpcs.erase_if_finished(decision->rpc_id);
    return decision;
  }
  return {};
}

std::optional<Decision> next_timer(BalancerState& state) {
  TimerState& timers = state.timers;
  if (timers.maintenance_timer_wanted) {
    timers.maintenance_timer_wanted = false;
    return make_set_timer(maintenance_timer_id, maintenance_interval_ms);
  }
  double due_ms = state.rpcs.next_due_ms();
  if (needs_endpoint_poll(state)) due_ms = std::min(due_ms, state.poll.next_at_ms);
  if (sends_gossip(state)) due_ms = std::min(due_ms, state.gossip.next_at_ms);
  const bool is_earlier = timers.due_timer_at_ms == never || due_ms < timers.due_timer_at_ms;
  if (due_ms >= far_future || !is_earlier) return {};
  timers.due_timer_at_ms = due_ms;
  return make_set_timer(due_timer_id, due_ms - state.now_ms);
}

void run_maintenance(BalancerState& state) {
  state.timers.maintenance_timer_wanted = true;
  state.traffic.update_rates(state.now_ms);
  state.peer_loads.expire_silent_peers(state.now_ms);
  evict_departed_endpoints(state);
  refresh_ready_endpoints(state);
}

}  // namespace

std::optional<Decision> next_decision(BalancerState& state) {
  for (;;) {
    if (auto decision = next_cancellation(state)) return decision;
    if (auto decision = next_endpoint_poll(state)) return decision;
    if (auto decision = next_gossip(state)) return decision;
    state.rpcs.enqueue_due(state.now_ms);
    if (auto decision = next_health_check(state)) return decision;
    if (auto decision = next_rpc_decision(state)) return decision;
    if (state.pending_probes.empty()) return next_timer(state);
  }
}

void on_timer(BalancerState& state, std::uint64_t timer_id) {
  if (timer_id == maintenance_timer_id)
    run_maintenance(state);
  else
    state.timers.due_timer_at_ms = never;
}

}  // namespace indigorill
