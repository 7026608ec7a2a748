// Applications: the arrivals of their requests, and the outcome of each request after all retries of its
// client.
#include <algorithm>
#include <cmath>
#include <string>

#include "emulator/simulation.h"

namespace indigorill::emulator {
namespace {

constexpr double ms_per_second = 1000;

double gained_utility(const MethodConfig& method, bool is_ok, bool is_late) {
  if (is_ok) return method.priority_weight;
  return is_late ? method.priority_weight * method.late_weight : 0;
}

}  // namespace

const MethodConfig& Simulation::method_of(const ClientRequest& request) const {
  return scenario_.methods[request.method].method;
}

// Arrivals are drawn at the peak rate and thinned to the current rate, so that the arrivals of one sidecar do
// not depend on those of another.
void Simulation::schedule_next_arrival(std::uint32_t sidecar) {
  SidecarState& state = sidecars_[sidecar];
  const double mean_interval_ms = ms_per_second / (arrival_pattern_.peak_rate * state.arrival_share);
  if (!std::isfinite(mean_interval_ms)) return;
  const double arrival_ms = events_.now() + state.arrival_random.exponential(mean_interval_ms);
  if (arrival_ms >= scenario_.duration_ms) return;
  events_.schedule(arrival_ms, EventPriority::client, [this, sidecar] {
    const double rate = arrival_rate(scenario_, arrival_pattern_, events_.now()) * surge_factor_;
    if (sidecars_[sidecar].arrival_random.bernoulli(rate / arrival_pattern_.peak_rate)) on_arrival(sidecar);
    schedule_next_arrival(sidecar);
  });
}

void Simulation::on_arrival(std::uint32_t sidecar) {
  SidecarState& state = sidecars_[sidecar];
  const SampledRpc sampled = sample_rpc(scenario_, state.arrival_random);
  if (!state.running) return;  // an application stops and starts with its sidecar
  const std::uint64_t id = ++last_request_id_;
  requests_[id] = {.sidecar = sidecar,
                   .method = sampled.method,
                   .arrived_at_ms = events_.now(),
                   .work_ms = sampled.work_ms,
                   .retries_left = scenario_.clients.retries,
                   .retry_delay_ms = scenario_.clients.retry_delay_ms,
                   .measured = events_.now() >= scenario_.warmup_ms};
  ++metrics_.arrived;
  ++current_second().arrived;
  send_request(id);
}

void Simulation::send_request(std::uint64_t request_id) {
  const ClientRequest& request = requests_.at(request_id);
  const std::uint32_t sidecar = request.sidecar;
  const MethodConfig& method = method_of(request);
  const double deadline_ms = request.arrived_at_ms + method.deadline_ms;
  const std::uint64_t id = ++last_rpc_id_;
  rpcs_[id] = {.sidecar = sidecar, .request = request_id, .concluded = false, .attempts = {}};
  TraceEvent event{TraceEvent::Kind::rpc_received};
  event.rpc = id;
  event.sidecar = sidecar;
  event.deadline_ms = deadline_ms;
  event.retry_safety = method.retry_safety;
  event.deduplication_scope = method.deduplication_scope;
  event.deduplication_window_ms = method.deduplication_window_ms;
  trace(event);
  events_.schedule(deadline_ms, EventPriority::client, [this, id] { on_request_deadline(id); });
  const std::string name = std::to_string(id);
  RpcArrival arrival;
  arrival.id = name;
  arrival.method = method.name;
  arrival.deadline_ms = deadline_ms;
  sidecars_[sidecar].policy->on_rpc_arrived(events_.now(), arrival);
  execute_decisions(sidecar);
}

void Simulation::on_request_deadline(std::uint64_t rpc_id) {
  const auto found = rpcs_.find(rpc_id);
  if (found == rpcs_.end() || found->second.concluded) return;
  const std::uint32_t sidecar = found->second.sidecar;
  found->second.concluded = true;
  // The trace gets no client_disconnected event, so the RPC stays open in it: a client that received no
  // answer by the deadline is a violation of the rules.
  conclude_request(found->second.request, RequestOutcome::unanswered);
  sidecars_[sidecar].policy->on_client_disconnected(events_.now(), std::to_string(rpc_id));
  execute_decisions(sidecar);
  erase_if_finished(rpc_id);
}

void Simulation::conclude_request(std::uint64_t request_id, RequestOutcome outcome) {
  const auto found = requests_.find(request_id);
  const ClientRequest request = found->second;
  requests_.erase(found);
  const MethodConfig& method = method_of(request);
  const auto last_second = static_cast<std::size_t>(scenario_.duration_ms / ms_per_second);
  const auto arrival_second = static_cast<std::size_t>(request.arrived_at_ms / ms_per_second);
  SecondMetrics& second = second_metrics(std::min(arrival_second, last_second));
  count_outcome(outcome, second);
  if (outcome == RequestOutcome::lost) return;  // its client is gone, so the request counts in no utility
  const bool is_ok = outcome == RequestOutcome::ok;
  const bool is_late = outcome == RequestOutcome::late;
  const double gained = gained_utility(method, is_ok, is_late);
  second.offered_utility += method.priority_weight;
  second.gained_utility += gained;
  if (!request.measured) return;
  metrics_.offered_utility += method.priority_weight;
  metrics_.gained_utility += gained;
  if (is_ok || is_late) metrics_.latency.add(events_.now() - request.arrived_at_ms);
}

void Simulation::count_outcome(RequestOutcome outcome, SecondMetrics& second) {
  switch (outcome) {
    case RequestOutcome::ok:
      ++metrics_.ok;
      ++second.ok;
      return;
    case RequestOutcome::late:
      ++metrics_.late;
      ++second.late;
      return;
    case RequestOutcome::rejected:
      ++metrics_.rejected;
      ++second.rejected;
      return;
    case RequestOutcome::failed:
      ++metrics_.failed;
      ++second.failed;
      return;
    case RequestOutcome::unanswered:
      ++metrics_.unanswered;
      return;
    case RequestOutcome::lost:
      ++metrics_.lost;
      return;
  }
}

void Simulation::retry_or_conclude(std::uint64_t request_id, RequestOutcome outcome, double retry_after_ms) {
  ClientRequest& request = requests_.at(request_id);
  const MethodConfig& method = method_of(request);
  const bool may_retry =
      outcome == RequestOutcome::rejected || method.retry_safety == RetrySafety::idempotent;
  const bool honors_retry_after = client_random_.bernoulli(scenario_.clients.retry_after_compliance);
  const double delay_ms = std::max(request.retry_delay_ms, honors_retry_after ? retry_after_ms : 0);
  const bool in_time = events_.now() + delay_ms < request.arrived_at_ms + method.deadline_ms;
  if (!may_retry || request.retries_left <= 0 || !in_time) return conclude_request(request_id, outcome);
  --request.retries_left;
  if (scenario_.clients.exponential_backoff) request.retry_delay_ms *= 2;
  events_.schedule(events_.now() + delay_ms, EventPriority::client, [this, request_id] {
    if (requests_.count(request_id) > 0) send_request(request_id);
  });
}

}  // namespace indigorill::emulator
