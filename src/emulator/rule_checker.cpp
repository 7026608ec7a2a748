#include "emulator/rule_checker.h"

#include <algorithm>
#include <sstream>

namespace indigorill::emulator {

std::string describe(const RuleViolation& b) {
  std::ostringstream s;
  s << "rule " << b.rule << " at " << b.time_ms << " ms: ";
  if (b.rpc) s << "RPC " << b.rpc << ", ";
  s << "server s" << b.server << ", sidecar " << b.sidecar << ": " << b.description;
  return s.str();
}

void RuleChecker::add_violation(int rule, const TraceEvent& e, std::string text) {
  ++violation_counts_[static_cast<std::size_t>(rule) - 1];
  constexpr std::size_t kept = 1000;  // more of them tell no more
  if (violations_.size() < kept)
    violations_.push_back({rule, e.time_ms, e.rpc, e.server, e.sidecar, std::move(text)});
}

void RuleChecker::on_event(const TraceEvent& e) {
  using What = TraceEvent::Kind;
  switch (e.kind) {
    case What::server_state: {
      Server& s = servers_[e.server];
      s = {e.capacity,
           e.started_at_ms,
           e.slow_start_initial_capacity,
           e.slow_start_duration_ms,
           e.zone,
           e.cell,
           {},
           0,
           false};
      return;
    }
    case What::endpoint_notified: {
      const auto both = std::pair(e.sidecar, e.server);
      if (e.state == EndpointState::ready)
        stop_notified_at_.erase(both);
      else
        stop_notified_at_.emplace(both, e.time_ms);  // the first word counts
      if (e.started_at_ms > 0) start_notified_[both] = e.started_at_ms;
      return;
    }
    case What::rpc_received:
      return on_rpc_received(e);
    case What::attempt_decided:
      return on_attempt_decided(e);
    case What::attempt_sent:
    case What::health_check_sent:
      return on_attempt_sent(e);
    case What::attempt_received:
      return on_attempt_received(e);
    case What::attempt_started:
      return on_attempt_started(e);
    case What::attempt_finished:
      return on_attempt_finished(e);
    case What::answered:
      return on_answered(e);
    case What::client_disconnected:
      if (Rpc* r = find_open_rpc(e, "its client left")) {
        r->concluded = true;
        forget_if_finished(e.rpc);
      }
      return;
    case What::sidecar_died:
      return on_sidecar_died(e);
    case What::run_ended:
      return on_run_ended(e);
  }
}

RuleChecker::Rpc* RuleChecker::find_open_rpc(const TraceEvent& e, const char* doing) {
  const auto it = rpcs_.find(e.rpc);
  if (it != rpcs_.end()) return &it->second;
  add_violation(1, e,
                std::string(doing) +
                    (finished_rpcs_.count(e.rpc) ? " after it was over" : ", though nobody took this RPC"));
  return nullptr;
}

void RuleChecker::on_rpc_received(const TraceEvent& e) {
  if (rpcs_.count(e.rpc) || finished_rpcs_.count(e.rpc)) return add_violation(1, e, "was taken twice");
  rpcs_.emplace(e.rpc, Rpc{e.sidecar,
                           e.retry_safety,
                           e.deduplication_scope,
                           e.deduplication_window_ms,
                           e.deadline_ms,
                           false,
                           false,
                           0,
                           {}});
}

const RuleChecker::Attempt* RuleChecker::first_attempt_possibly_executed(const Rpc& r, int before) {
  for (const auto& [number, p] : r.attempts)
    if (number < before && (p.in_flight || p.possibly_executed)) return &p;
  return nullptr;
}

void RuleChecker::on_attempt_decided(const TraceEvent& e) {
  Rpc* r = find_open_rpc(e, "a pick was made");
  if (!r) return;
  if (r->concluded) add_violation(1, e, "a pick was made after its final answer");
  const Attempt* first = first_attempt_possibly_executed(*r, e.attempt);
  if (first && r->retry_safety == RetrySafety::non_idempotent)
    add_violation(2, e, "a non-idempotent RPC got another pick, though one may have run");
  if (first && r->retry_safety == RetrySafety::idempotency_key) {
    const Server &a = servers_[first->server], &b = servers_[e.server];
    if ((r->deduplication_scope == DeduplicationScope::zone && a.zone != b.zone) ||
        (r->deduplication_scope == DeduplicationScope::cell && a.cell != b.cell))
      add_violation(2, e, "a deduplicated RPC got another pick outside its group");
    if (e.time_ms > first->decided_at_ms + r->deduplication_window_ms)
      add_violation(2, e, "a deduplicated RPC got another pick after its window");
  }
  if (!r->attempts.emplace(e.attempt, Attempt{e.server, e.time_ms}).second)
    add_violation(1, e, "a pick was made twice");
}

void RuleChecker::on_attempt_sent(const TraceEvent& e) {
  const auto told = stop_notified_at_.find({e.sidecar, e.server});
  if (told != stop_notified_at_.end() && e.time_ms > told->second + bounds_.drain_grace_ms)
    add_violation(3, e,
                  "something new was sent " + std::to_string(static_cast<int>(e.time_ms - told->second)) +
                      " ms after it was told that the server drains or is gone");
  if (e.kind == TraceEvent::Kind::health_check_sent) return;
  Rpc* r = find_open_rpc(e, "a pick was sent");
  if (!r) return;
  if (r->concluded) add_violation(1, e, "a pick was sent after its final answer");
  if (e.time_ms > r->deadline_ms) add_violation(1, e, "a pick was sent after its deadline");
}

void RuleChecker::on_attempt_received(const TraceEvent& e) {
  const auto it = servers_.find(e.server);
  if (it == servers_.end()) return;
  Server& s = it->second;
  if (s.started_at_ms <= 0 || s.slow_start_duration_ms <= 0 ||
      e.time_ms >= s.started_at_ms + s.slow_start_duration_ms)
    return;
  const auto told = start_notified_.find({e.sidecar, e.server});
  if (told == start_notified_.end() || told->second != s.started_at_ms) return;
  s.recent_work.push_back({e.time_ms, e.work_ms});
  s.recent_work_sum += e.work_ms;
  while (s.recent_work.front().time_ms <= e.time_ms - bounds_.slow_start_window_ms) {
    s.recent_work_sum -= s.recent_work.front().work_ms;
    s.recent_work.pop_front();
  }
  const double warmth = s.slow_start_initial_capacity + (1 - s.slow_start_initial_capacity) *
                                                            (e.time_ms - s.started_at_ms) /
                                                            s.slow_start_duration_ms;
  const double can = s.capacity * warmth * bounds_.slow_start_window_ms;
  const double share = s.recent_work_sum / can;
  peak_slow_start_overload_ = std::max(peak_slow_start_overload_, share / bounds_.slow_start_overload_limit);
  if (share <= bounds_.slow_start_overload_limit || s.violation_reported) return;
  s.violation_reported = true;
  std::ostringstream text;
  text << "a cold server got " << share << " times what it can do, over " << bounds_.slow_start_window_ms
       << " ms";
  add_violation(4, e, text.str());
}

void RuleChecker::on_attempt_started(const TraceEvent& e) {
  const auto it = rpcs_.find(e.rpc);
  if (it == rpcs_.end()) return;  // its sidecar died, or gave it up and forgot: the server may still work
  Rpc& r = it->second;
  const auto p = r.attempts.find(e.attempt);
  if (p == r.attempts.end()) return add_violation(1, e, "a server works on a pick that nobody made");
  if (!p->second.in_flight && !p->second.possibly_executed)
    add_violation(2, e, "a server works on a pick that was held never to run");
  p->second.started = true;
  if (++r.executions > 1 && r.retry_safety == RetrySafety::non_idempotent)
    add_violation(2, e, "a non-idempotent RPC ran twice");
}

void RuleChecker::on_attempt_finished(const TraceEvent& e) {
  const auto it = rpcs_.find(e.rpc);
  if (it == rpcs_.end()) return;
  const auto p = it->second.attempts.find(e.attempt);
  if (p == it->second.attempts.end()) return add_violation(1, e, "a pick ended that nobody made");
  p->second.in_flight = false;
  p->second.succeeded = e.outcome == AttemptOutcome::ok;
  p->second.possibly_executed = e.outcome != AttemptOutcome::connect_failed &&
                                e.outcome != AttemptOutcome::rejected &&
                                e.outcome != AttemptOutcome::client_error;
  if (p->second.started && !p->second.possibly_executed)
    add_violation(2, e, "a pick that ran is held never to have run");
  forget_if_finished(e.rpc);
}

void RuleChecker::on_answered(const TraceEvent& e) {
  Rpc* r = find_open_rpc(e, "a final answer was given");
  if (!r) return;
  if (r->answered) return add_violation(1, e, "a second final answer was given");
  if (r->concluded) add_violation(1, e, "a final answer was given after its client left");
  if (e.time_ms > r->deadline_ms) add_violation(1, e, "the final answer came after the deadline");
  r->concluded = r->answered = true;
  const auto served = [](const auto& p) { return p.second.succeeded; };
  if (e.answer == RpcAnswer::ok && std::none_of(r->attempts.begin(), r->attempts.end(), served))
    add_violation(1, e, "was answered ok, though no pick was");
  const Attempt* ran = first_attempt_possibly_executed(*r, static_cast<int>(r->attempts.size()));
  if (e.answer == RpcAnswer::rejected && ran) {
    if (r->retry_safety == RetrySafety::non_idempotent)
      add_violation(2, e, "a non-idempotent RPC was pushed back, though a pick may have run");
    if (r->retry_safety == RetrySafety::idempotency_key &&
        r->deduplication_scope != DeduplicationScope::global)
      add_violation(2, e, "a deduplicated RPC was pushed back, though its repeat may leave the group");
  }
  forget_if_finished(e.rpc);
}

// What is answered and has no pick out is kept by its id alone.
void RuleChecker::forget_if_finished(std::uint64_t id) {
  const auto it = rpcs_.find(id);
  const auto out = [](const auto& p) { return p.second.in_flight; };
  if (it == rpcs_.end() || !it->second.concluded) return;
  if (std::any_of(it->second.attempts.begin(), it->second.attempts.end(), out)) return;
  // What must not run twice is watched until the end: a cancelled pick may begin late.
  if (it->second.retry_safety == RetrySafety::non_idempotent && it->second.attempts.size() > 1) return;
  finished_rpcs_.insert(id);
  rpcs_.erase(it);
}

void RuleChecker::on_sidecar_died(const TraceEvent& e) {
  for (auto it = rpcs_.begin(); it != rpcs_.end();) {
    if (it->second.sidecar != e.sidecar) {
      ++it;
      continue;
    }
    finished_rpcs_.insert(it->first);
    it = rpcs_.erase(it);
  }
  std::erase_if(stop_notified_at_, [&](const auto& t) { return t.first.first == e.sidecar; });
  std::erase_if(start_notified_, [&](const auto& t) { return t.first.first == e.sidecar; });
}

void RuleChecker::on_run_ended(const TraceEvent& e) {
  std::vector<std::pair<std::uint64_t, const Rpc*>> left;
  for (const auto& [id, r] : rpcs_)
    if (!r.concluded && r.deadline_ms < e.time_ms) left.emplace_back(id, &r);
  std::sort(left.begin(), left.end());
  for (const auto& [id, r] : left) {
    TraceEvent of = e;
    of.rpc = id;
    of.sidecar = r->sidecar;
    of.server = r->attempts.empty() ? 0 : r->attempts.rbegin()->second.server;
    add_violation(1, of, "got no final answer before its deadline");
  }
}

}  // namespace indigorill::emulator
