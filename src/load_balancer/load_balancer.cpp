// The public entry points. They forward the host's reports to the parts that update the state and decide;
// they make no decisions themselves.
#include "indigorill/load_balancer.h"

#include <algorithm>
#include <utility>

#include "load_balancer/attempts.h"
#include "load_balancer/decision_queue.h"
#include "load_balancer/endpoint_updates.h"
#include "load_balancer/gossip.h"
#include "load_balancer/probing.h"
#include "load_balancer/retry_policy.h"
#include "load_balancer/rpc_arrival.h"
#include "load_balancer_state/balancer_state.h"

namespace indigorill {

struct LoadBalancer::Implementation {
  BalancerState state;

  Implementation(LoadBalancerConfig config, std::uint64_t seed, double now_ms)
      : state(std::move(config), seed, now_ms) {
    schedule_first_poll(state, seed);
    schedule_first_gossip(state, seed);
  }

  BalancerState& at(double now_ms) {
    state.now_ms = now_ms;
    return state;
  }
};

LoadBalancer::LoadBalancer(LoadBalancerConfig config, std::uint64_t seed, double now_ms)
    : implementation_(std::make_unique<Implementation>(std::move(config), seed, now_ms)) {}
LoadBalancer::~LoadBalancer() = default;

void LoadBalancer::update_endpoints(double now_ms, bool is_complete, bool answers_poll,
                                    const std::vector<Endpoint>& endpoints) {
  BalancerState& state = implementation_->at(now_ms);
  if (is_complete) state.endpoints.clear_listed();
  for (const Endpoint& listed : endpoints) state.endpoints.update(listed);
  refresh_ready_endpoints(state);
  if (answers_poll) state.poll.record_success();
}

void LoadBalancer::endpoint_poll_failed(double now_ms, std::optional<double> poll_duration_ms) {
  schedule_poll_after_failure(implementation_->at(now_ms), poll_duration_ms);
}

void LoadBalancer::on_rpc_arrived(double now_ms, const RpcArrival& arrival) {
  BalancerState& state = implementation_->at(now_ms);
  state.rpcs.enqueue(add_rpc(state, arrival));
}

void LoadBalancer::on_response_started(double now_ms, std::string_view rpc_id, int attempt_index,
                                       bool releases_endpoint) {
  BalancerState& state = implementation_->at(now_ms);
  TrackedRpc* rpc = state.rpcs.find(rpc_id);
  if (!rpc) return;
  rpc->is_streaming = true;
  if (releases_endpoint) rpc->attempts.at(static_cast<std::size_t>(attempt_index)).release_endpoint();
  state.rpcs.set_due_time(*rpc, never);
}

void LoadBalancer::on_attempt_finished(double now_ms, std::string_view rpc_id, int attempt_index,
                                       AttemptOutcome outcome, double duration_ms, bool is_concluded,
                                       const LoadReport& report) {
  BalancerState& state = implementation_->at(now_ms);
  Attempt* attempt = state.rpcs.find_outstanding_attempt(rpc_id, attempt_index);
  if (!attempt) return;
  TrackedRpc& rpc = *attempt->rpc;
  record_attempt_outcome(state, *attempt, outcome, duration_ms, report);
  if (is_concluded && !rpc.is_concluded) conclude(state, rpc);
  state.rpcs.enqueue(rpc);
  state.rpcs.erase_if_finished(rpc_id);
}

void LoadBalancer::on_probe_finished(double now_ms, std::string_view endpoint_id, AttemptOutcome outcome,
                                     const LoadReport& report) {
  BalancerState& state = implementation_->at(now_ms);
  TrackedEndpoint* endpoint = state.endpoints.find(endpoint_id);
  if (!endpoint) return;
  record_probe_outcome(state, *endpoint, outcome, report);
  state.rpcs.enqueue_awaiting_probes();
}

void LoadBalancer::on_client_disconnected(double now_ms, std::string_view rpc_id) {
  BalancerState& state = implementation_->at(now_ms);
  TrackedRpc* rpc = state.rpcs.find(rpc_id);
  if (!rpc) return;
  if (!rpc->is_concluded) conclude(state, *rpc);
  state.rpcs.erase_if_finished(rpc_id);
}

void LoadBalancer::on_gossip(double now_ms, int sidecar, const LoadGossip& gossip) {
  implementation_->at(now_ms).peer_loads.record_gossip(now_ms, sidecar, gossip);
}

void LoadBalancer::set_idle_connections(std::string_view endpoint_id, std::size_t count) {
  if (TrackedEndpoint* endpoint = implementation_->state.endpoints.find(endpoint_id))
    endpoint->idle_connections = count;
}

void LoadBalancer::set_connection_limited(std::string_view endpoint_id, bool is_limited) {
  if (TrackedEndpoint* endpoint = implementation_->state.endpoints.find(endpoint_id))
    endpoint->connection_limited = is_limited;
}

void LoadBalancer::set_ejected_manually(double now_ms, std::string_view endpoint_id, bool is_ejected,
                                        double since_ms) {
  BalancerState& state = implementation_->at(now_ms);
  TrackedEndpoint& endpoint = state.endpoints.find_or_add(std::string(endpoint_id));
  if (!is_ejected) endpoint.reinstate(since_ms);
  endpoint.ejected_manually = is_ejected;
  refresh_ready_endpoints(state);
}

void LoadBalancer::set_fleet_retry_quota(double retries) {
  implementation_->state.retries.fleet_quota = retries;
}

void LoadBalancer::on_timer(double now_ms, std::uint64_t timer_id) {
  indigorill::on_timer(implementation_->at(now_ms), timer_id);
}

std::optional<Decision> LoadBalancer::next_decision() {
  return indigorill::next_decision(implementation_->state);
}

}  // namespace indigorill
