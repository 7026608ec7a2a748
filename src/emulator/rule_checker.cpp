#include "emulator/rule_checker.h"

#include <algorithm>
#include <numeric>
#include <sstream>
#include <utility>

namespace indigorill::emulator {
namespace {

// Further violations are only counted, because they would add no information.
constexpr std::size_t max_kept_violations = 1000;

// Whether a server may have executed an attempt with this outcome.
bool may_have_executed(AttemptOutcome outcome) {
  return outcome != AttemptOutcome::connect_failed && outcome != AttemptOutcome::rejected &&
         outcome != AttemptOutcome::client_error;
}

}  // namespace

std::string describe(const RuleViolation& violation) {
  std::ostringstream text;
  text << "rule " << violation.rule << " at " << violation.time_ms << " ms: ";
  if (violation.rpc != 0) text << "RPC " << violation.rpc << ", ";
  text << "server s" << violation.server << ", sidecar " << violation.sidecar << ": "
       << violation.description;
  return text.str();
}

std::uint64_t RuleChecker::count() const {
  return std::accumulate(violation_counts_.begin(), violation_counts_.end(), std::uint64_t{0});
}

void RuleChecker::add_violation(int rule, const TraceEvent& event, std::string description) {
  ++violation_counts_[static_cast<std::size_t>(rule) - 1];
  if (violations_.size() >= max_kept_violations) return;
  violations_.push_back(
      {rule, event.time_ms, event.rpc, event.server, event.sidecar, std::move(description)});
}

void RuleChecker::on_event(const TraceEvent& event) {
  using Kind = TraceEvent::Kind;
  switch (event.kind) {
    case Kind::server_state:
      return on_server_state(event);
    case Kind::endpoint_notified:
      return on_endpoint_notified(event);
    case Kind::rpc_received:
      return on_rpc_received(event);
    case Kind::attempt_decided:
      return on_attempt_decided(event);
    case Kind::attempt_sent:
      return on_attempt_sent(event);
    case Kind::health_check_sent:
      return check_drain_grace(event);
    case Kind::attempt_received:
      return on_attempt_received(event);
    case Kind::attempt_started:
      return on_attempt_started(event);
    case Kind::attempt_finished:
      return on_attempt_finished(event);
    case Kind::answered:
      return on_answered(event);
    case Kind::client_disconnected:
      return on_client_disconnected(event);
    case Kind::sidecar_died:
      return on_sidecar_died(event);
    case Kind::run_ended:
      return on_run_ended(event);
  }
}

void RuleChecker::on_server_state(const TraceEvent& event) {
  Server server;
  server.capacity = event.capacity;
  server.started_at_ms = event.started_at_ms;
  server.slow_start_initial_capacity = event.slow_start_initial_capacity;
  server.slow_start_duration_ms = event.slow_start_duration_ms;
  server.zone = event.zone;
  server.cell = event.cell;
  servers_[event.server] = std::move(server);
}

void RuleChecker::on_endpoint_notified(const TraceEvent& event) {
  const SidecarAndServer key{event.sidecar, event.server};
  if (event.state == EndpointState::ready)
    stop_notified_at_.erase(key);
  else
    stop_notified_at_.emplace(key, event.time_ms);  // keeps the time of the first notification
  if (event.started_at_ms > 0) notified_start_[key] = event.started_at_ms;
}

RuleChecker::Rpc* RuleChecker::find_open_rpc(const TraceEvent& event, const char* action) {
  const auto found = rpcs_.find(event.rpc);
  if (found != rpcs_.end()) return &found->second;
  const bool finished = finished_rpcs_.count(event.rpc) > 0;
  const char* reason = finished ? " after it was over" : ", though nobody took this RPC";
  add_violation(1, event, std::string(action) + reason);
  return nullptr;
}

void RuleChecker::on_rpc_received(const TraceEvent& event) {
  if (rpcs_.count(event.rpc) > 0 || finished_rpcs_.count(event.rpc) > 0)
    return add_violation(1, event, "was taken twice");
  Rpc rpc{};
  rpc.sidecar = event.sidecar;
  rpc.retry_safety = event.retry_safety;
  rpc.deduplication_scope = event.deduplication_scope;
  rpc.deduplication_window_ms = event.deduplication_window_ms;
  rpc.deadline_ms = event.deadline_ms;
  rpcs_.emplace(event.rpc, std::move(rpc));
}

const RuleChecker::Attempt* RuleChecker::first_attempt_possibly_executed(const Rpc& rpc, int before) {
  for (const auto& [number, attempt] : rpc.attempts) {
    if (number < before && (attempt.in_flight || attempt.possibly_executed)) return &attempt;
  }
  return nullptr;
}

void RuleChecker::check_retry(const TraceEvent& event, const Rpc& rpc, const Attempt& previous) {
  if (rpc.retry_safety == RetrySafety::non_idempotent)
    add_violation(2, event, "a non-idempotent RPC got another pick, though one may have run");
  if (rpc.retry_safety != RetrySafety::idempotency_key) return;
  const Server& previous_server = servers_[previous.server];
  const Server& server = servers_[event.server];
  const bool leaves_zone =
      rpc.deduplication_scope == DeduplicationScope::zone && previous_server.zone != server.zone;
  const bool leaves_cell =
      rpc.deduplication_scope == DeduplicationScope::cell && previous_server.cell != server.cell;
  if (leaves_zone || leaves_cell)
    add_violation(2, event, "a deduplicated RPC got another pick outside its group");
  if (event.time_ms > previous.decided_at_ms + rpc.deduplication_window_ms)
    add_violation(2, event, "a deduplicated RPC got another pick after its window");
}

void RuleChecker::on_attempt_decided(const TraceEvent& event) {
  Rpc* rpc = find_open_rpc(event, "a pick was made");
  if (!rpc) return;
  if (rpc->concluded) add_violation(1, event, "a pick was made after its final answer");
  const Attempt* previous = first_attempt_possibly_executed(*rpc, event.attempt);
  if (previous) check_retry(event, *rpc, *previous);
  const bool is_new =
      rpc->attempts.emplace(event.attempt, Attempt{.server = event.server, .decided_at_ms = event.time_ms})
          .second;
  if (!is_new) add_violation(1, event, "a pick was made twice");
}

void RuleChecker::check_drain_grace(const TraceEvent& event) {
  const auto stop = stop_notified_at_.find({event.sidecar, event.server});
  if (stop == stop_notified_at_.end() || event.time_ms <= stop->second + bounds_.drain_grace_ms) return;
  const auto late_by_ms = static_cast<int>(event.time_ms - stop->second);
  add_violation(3, event,
                "something new was sent " + std::to_string(late_by_ms) +
                    " ms after it was told that the server drains or is gone");
}

void RuleChecker::on_attempt_sent(const TraceEvent& event) {
  check_drain_grace(event);
  const Rpc* rpc = find_open_rpc(event, "a pick was sent");
  if (!rpc) return;
  if (rpc->concluded) add_violation(1, event, "a pick was sent after its final answer");
  if (event.time_ms > rpc->deadline_ms) add_violation(1, event, "a pick was sent after its deadline");
}

bool RuleChecker::Server::in_slow_start(double time_ms) const {
  return started_at_ms > 0 && slow_start_duration_ms > 0 && time_ms < started_at_ms + slow_start_duration_ms;
}

double RuleChecker::Server::slow_start_capacity(double time_ms) const {
  const double initial = slow_start_initial_capacity;
  const double fraction = initial + (1 - initial) * (time_ms - started_at_ms) / slow_start_duration_ms;
  return capacity * fraction;
}

void RuleChecker::on_attempt_received(const TraceEvent& event) {
  const auto found = servers_.find(event.server);
  if (found == servers_.end() || !found->second.in_slow_start(event.time_ms)) return;
  const auto notified = notified_start_.find({event.sidecar, event.server});
  if (notified == notified_start_.end() || notified->second != found->second.started_at_ms) return;
  check_slow_start(event, found->second);
}

void RuleChecker::check_slow_start(const TraceEvent& event, Server& server) {
  server.recent_work.push_back({event.time_ms, event.work_ms});
  server.recent_work_sum += event.work_ms;
  while (server.recent_work.front().time_ms <= event.time_ms - bounds_.slow_start_window_ms) {
    server.recent_work_sum -= server.recent_work.front().work_ms;
    server.recent_work.pop_front();
  }
  const double window_capacity = server.slow_start_capacity(event.time_ms) * bounds_.slow_start_window_ms;
  const double overload = server.recent_work_sum / window_capacity;
  peak_slow_start_overload_ =
      std::max(peak_slow_start_overload_, overload / bounds_.slow_start_overload_limit);
  if (overload <= bounds_.slow_start_overload_limit || server.violation_reported) return;
  server.violation_reported = true;
  std::ostringstream text;
  text << "a cold server got " << overload << " times what it can do, over " << bounds_.slow_start_window_ms
       << " ms";
  add_violation(4, event, text.str());
}

void RuleChecker::on_attempt_started(const TraceEvent& event) {
  const auto found = rpcs_.find(event.rpc);
  if (found == rpcs_.end()) return;  // the sidecar died or the RPC finished; a server may still work on it
  Rpc& rpc = found->second;
  const auto attempt = rpc.attempts.find(event.attempt);
  if (attempt == rpc.attempts.end())
    return add_violation(1, event, "a server works on a pick that nobody made");
  if (!attempt->second.in_flight && !attempt->second.possibly_executed)
    add_violation(2, event, "a server works on a pick that was held never to run");
  attempt->second.started = true;
  ++rpc.executions;
  if (rpc.executions > 1 && rpc.retry_safety == RetrySafety::non_idempotent)
    add_violation(2, event, "a non-idempotent RPC ran twice");
}

void RuleChecker::on_attempt_finished(const TraceEvent& event) {
  const auto found = rpcs_.find(event.rpc);
  if (found == rpcs_.end()) return;
  const auto number_and_attempt = found->second.attempts.find(event.attempt);
  if (number_and_attempt == found->second.attempts.end())
    return add_violation(1, event, "a pick ended that nobody made");
  Attempt& attempt = number_and_attempt->second;
  attempt.in_flight = false;
  attempt.succeeded = event.outcome == AttemptOutcome::ok;
  attempt.possibly_executed = may_have_executed(event.outcome);
  if (attempt.started && !attempt.possibly_executed)
    add_violation(2, event, "a pick that ran is held never to have run");
  forget_if_finished(event.rpc);
}

void RuleChecker::on_answered(const TraceEvent& event) {
  Rpc* rpc = find_open_rpc(event, "a final answer was given");
  if (!rpc) return;
  if (rpc->answered) return add_violation(1, event, "a second final answer was given");
  if (rpc->concluded) add_violation(1, event, "a final answer was given after its client left");
  if (event.time_ms > rpc->deadline_ms) add_violation(1, event, "the final answer came after the deadline");
  rpc->concluded = true;
  rpc->answered = true;
  const bool any_succeeded =
      std::any_of(rpc->attempts.begin(), rpc->attempts.end(),
                  [](const auto& number_and_attempt) { return number_and_attempt.second.succeeded; });
  if (event.answer == RpcAnswer::ok && !any_succeeded)
    add_violation(1, event, "was answered ok, though no pick was");
  const Attempt* executed = first_attempt_possibly_executed(*rpc, static_cast<int>(rpc->attempts.size()));
  if (event.answer == RpcAnswer::rejected && executed) {
    if (rpc->retry_safety == RetrySafety::non_idempotent)
      add_violation(2, event, "a non-idempotent RPC was pushed back, though a pick may have run");
    if (rpc->retry_safety == RetrySafety::idempotency_key &&
        rpc->deduplication_scope != DeduplicationScope::global)
      add_violation(2, event, "a deduplicated RPC was pushed back, though its repeat may leave the group");
  }
  forget_if_finished(event.rpc);
}

void RuleChecker::on_client_disconnected(const TraceEvent& event) {
  Rpc* rpc = find_open_rpc(event, "its client left");
  if (!rpc) return;
  rpc->concluded = true;
  forget_if_finished(event.rpc);
}

// Keeps only the id of an RPC that is concluded and has no attempt in flight.
void RuleChecker::forget_if_finished(std::uint64_t id) {
  const auto found = rpcs_.find(id);
  if (found == rpcs_.end() || !found->second.concluded) return;
  const Rpc& rpc = found->second;
  const bool any_in_flight =
      std::any_of(rpc.attempts.begin(), rpc.attempts.end(),
                  [](const auto& number_and_attempt) { return number_and_attempt.second.in_flight; });
  if (any_in_flight) return;
  // A non-idempotent RPC with several attempts is checked until the run ends, since a cancelled attempt may
  // still start later.
  if (rpc.retry_safety == RetrySafety::non_idempotent && rpc.attempts.size() > 1) return;
  finished_rpcs_.insert(id);
  rpcs_.erase(found);
}

void RuleChecker::on_sidecar_died(const TraceEvent& event) {
  std::erase_if(rpcs_, [&](const auto& id_and_rpc) {
    if (id_and_rpc.second.sidecar != event.sidecar) return false;
    finished_rpcs_.insert(id_and_rpc.first);
    return true;
  });
  const auto of_this_sidecar = [&](const auto& key_and_time) {
    return key_and_time.first.sidecar == event.sidecar;
  };
  std::erase_if(stop_notified_at_, of_this_sidecar);
  std::erase_if(notified_start_, of_this_sidecar);
}

void RuleChecker::on_run_ended(const TraceEvent& event) {
  std::vector<std::uint64_t> unanswered;
  for (const auto& [id, rpc] : rpcs_) {
    if (!rpc.concluded && rpc.deadline_ms < event.time_ms) unanswered.push_back(id);
  }
  std::sort(unanswered.begin(), unanswered.end());
  for (const std::uint64_t id : unanswered) {
    const Rpc& rpc = rpcs_.at(id);
    TraceEvent missing_answer = event;
    missing_answer.rpc = id;
    missing_answer.sidecar = rpc.sidecar;
    missing_answer.server = rpc.attempts.empty() ? 0 : rpc.attempts.rbegin()->second.server;
    add_violation(1, missing_answer, "got no final answer before its deadline");
  }
}

}  // namespace indigorill::emulator
