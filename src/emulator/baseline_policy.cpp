#include "emulator/baseline_policy.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace indigorill::emulator {
namespace {

constexpr double poll_retry_ms = 1000;  // mean; the delay is drawn uniformly from 0.5 to 1.5 times this
constexpr std::uint64_t poll_timer_id = 1;
constexpr std::size_t round_robin_starts = 1 << 20;

Decision make_decision(Decision::Action action) {
  Decision decision{};
  decision.action = action;
  return decision;
}

}  // namespace

BaselinePolicy::BaselinePolicy(PolicyKind kind, const LoadBalancerConfig& config, std::uint64_t seed,
                               double now_ms, ResponseTimeOracle response_time)
    : kind_(kind),
      config_(config),
      random_(seed),
      response_time_(std::move(response_time)),
      now_ms_(now_ms),
      // Each sidecar starts at a random index; otherwise all would select the same endpoints in step.
      round_robin_index_(random_.uniform_index(round_robin_starts)) {}

void BaselinePolicy::update_endpoints(double now_ms, bool is_complete, bool is_response,
                                      const std::vector<Endpoint>& endpoints) {
  now_ms_ = now_ms;
  if (is_complete) ready_endpoints_.clear();
  for (const Endpoint& endpoint : endpoints) {
    if (endpoint.state == EndpointState::ready)
      ready_endpoints_.insert(endpoint.id);
    else
      ready_endpoints_.erase(endpoint.id);
  }
  ready_ids_.assign(ready_endpoints_.begin(), ready_endpoints_.end());
  if (is_response) poll_pending_ = false;
}

void BaselinePolicy::endpoint_poll_failed(double now_ms, double) {
  now_ms_ = now_ms;
  poll_pending_ = config_.must_poll_endpoints;
  next_poll_at_ms_ = now_ms + poll_retry_ms * (0.5 + random_.uniform());
  timer_at_ms_ = next_poll_at_ms_;
}

void BaselinePolicy::on_rpc_arrived(double now_ms, const RpcArrival& arrival) {
  now_ms_ = now_ms;
  Rpc rpc{config_.methods.front(), arrival.deadline_ms, {}, false};
  for (const MethodConfig& method : config_.methods) {
    if (method.name == arrival.method) rpc.method = method;
  }
  const double objective_ms = now_ms + rpc.method.latency_objective_ms;
  const bool late_answers_count = rpc.method.late_weight > 0;
  rpc.attempt_deadline_ms = std::min(arrival.deadline_ms - config_.tick_ms,
                                     late_answers_count ? arrival.deadline_ms : objective_ms);
  rpcs_.emplace(arrival.id, std::move(rpc));
  pending_rpcs_.emplace_back(arrival.id);
}

void BaselinePolicy::on_attempt_finished(double now_ms, const std::string& rpc_id, int attempt_index,
                                         AttemptOutcome outcome, double, bool concluded, const LoadReport&) {
  now_ms_ = now_ms;
  const auto found = rpcs_.find(rpc_id);
  if (found == rpcs_.end()) return;
  Attempt& attempt = found->second.attempts.at(static_cast<std::size_t>(attempt_index));
  attempt.in_flight = false;
  attempt.possibly_executed = outcome != AttemptOutcome::rejected &&
                              outcome != AttemptOutcome::connect_failed &&
                              outcome != AttemptOutcome::client_error;
  --in_flight_[attempt.endpoint];
  if (concluded || found->second.concluded)
    rpcs_.erase(found);
  else
    pending_rpcs_.push_back(rpc_id);
}

void BaselinePolicy::on_client_disconnected(double now_ms, const std::string& rpc_id) {
  now_ms_ = now_ms;
  const auto found = rpcs_.find(rpc_id);
  if (found == rpcs_.end()) return;
  const std::vector<Attempt>& attempts = found->second.attempts;
  const bool in_flight = !attempts.empty() && attempts.back().in_flight;
  found->second.concluded = true;
  if (!in_flight) rpcs_.erase(found);
}

std::optional<Decision> BaselinePolicy::next_decision() {
  if (config_.must_poll_endpoints && poll_pending_ && now_ms_ >= next_poll_at_ms_) {
    poll_pending_ = false;
    return make_decision(Decision::Action::poll_endpoints);
  }
  if (timer_at_ms_ > 0) {
    Decision decision = make_decision(Decision::Action::set_timer);
    decision.delay_ms = std::exchange(timer_at_ms_, 0) - now_ms_;
    decision.timer_id = poll_timer_id;
    return decision;
  }
  while (!pending_rpcs_.empty()) {
    const std::string id = pending_rpcs_.front();
    pending_rpcs_.pop_front();
    if (auto decision = decide_rpc(id)) return decision;
  }
  return std::nullopt;
}

// Returns nullopt if the RPC has already ended.
std::optional<Decision> BaselinePolicy::decide_rpc(const std::string& id) {
  const auto found = rpcs_.find(id);
  if (found == rpcs_.end()) return std::nullopt;
  Rpc& rpc = found->second;
  if (now_ms_ < rpc.attempt_deadline_ms && may_attempt(rpc) && !ready_ids_.empty()) {
    if (const auto endpoint = select_endpoint(rpc)) return start_attempt(id, rpc, *endpoint);
  }
  const bool may_reject = rpc.is_repeatable();
  rpcs_.erase(found);
  Decision decision = make_decision(may_reject ? Decision::Action::reject : Decision::Action::fail);
  decision.rpc_id = id;
  if (may_reject) decision.delay_ms = config_.max_retry_after_ms;
  return decision;
}

bool BaselinePolicy::Rpc::is_repeatable() const {
  if (method.retry_safety == RetrySafety::idempotent) return true;
  return std::none_of(attempts.begin(), attempts.end(),
                      [](const Attempt& attempt) { return attempt.possibly_executed; });
}

bool BaselinePolicy::may_attempt(const Rpc& rpc) const {
  return static_cast<int>(rpc.attempts.size()) < config_.max_attempts && rpc.is_repeatable();
}

Decision BaselinePolicy::start_attempt(const std::string& id, Rpc& rpc, const std::string& endpoint) {
  ++in_flight_[endpoint];
  rpc.attempts.push_back({.endpoint = endpoint});
  Decision decision = make_decision(Decision::Action::send_attempt);
  decision.rpc_id = id;
  decision.endpoint_id = endpoint;
  decision.attempt_index = static_cast<int>(rpc.attempts.size()) - 1;
  decision.delay_ms = rpc.attempt_deadline_ms - now_ms_;
  return decision;
}

// Returns nullopt if the policy knows the response times and none of them meets the deadline.
std::optional<std::string> BaselinePolicy::select_endpoint(const Rpc& rpc) {
  std::vector<std::string> untried;
  for (const std::string& id : ready_ids_) {
    const bool tried = std::any_of(rpc.attempts.begin(), rpc.attempts.end(),
                                   [&](const Attempt& attempt) { return attempt.endpoint == id; });
    if (!tried) untried.push_back(id);
  }
  const std::vector<std::string>& candidates = untried.empty() ? ready_ids_ : untried;
  switch (kind_) {
    case PolicyKind::round_robin:
      return candidates[round_robin_index_++ % candidates.size()];
    case PolicyKind::two_choices:
      return select_of_two(candidates);
    case PolicyKind::true_state:
      return select_fastest(candidates, rpc.attempt_deadline_ms);
    default:
      return candidates[random_.uniform_index(candidates.size())];
  }
}

std::string BaselinePolicy::select_of_two(const std::vector<std::string>& candidates) {
  const std::string& first = candidates[random_.uniform_index(candidates.size())];
  const std::string& second = candidates[random_.uniform_index(candidates.size())];
  return in_flight_[second] < in_flight_[first] ? second : first;
}

std::optional<std::string> BaselinePolicy::select_fastest(const std::vector<std::string>& candidates,
                                                          double deadline_ms) {
  double best_ms = std::numeric_limits<double>::infinity();
  std::vector<const std::string*> fastest;
  for (const std::string& id : candidates) {
    const double response_ms = response_time_(id);
    if (response_ms < best_ms) {
      fastest.clear();
      best_ms = response_ms;
    }
    if (response_ms == best_ms) fastest.push_back(&id);
  }
  if (now_ms_ + best_ms > deadline_ms) return std::nullopt;
  // Ties are broken at random; otherwise all RPCs would go to the first of the idle endpoints.
  return *fastest[random_.uniform_index(fastest.size())];
}

}  // namespace indigorill::emulator
