#include "load/soak_judge.h"

#include <algorithm>
#include <functional>
#include <sstream>

namespace indigorill::load_generator {
namespace {

using End = RpcRecord::End;

// Added to each time limit, since a soak runs on sockets.
constexpr double socket_slack_ms = 50;
// Longest suspension allowed: a sidecar may be held up for up to 0.15 s between reading its clock and
// writing.
constexpr double suspension_ms = 150;
// An attempt may begin up to 0.1 s after the RPC's end at the client, before the other allowances are added.
constexpr double after_close_ms = 100;
// The time budget that an attempt sends to its endpoint may exceed the time left to the client by 0.15 s.
constexpr double time_budget_slack_ms = 150;

// Counts the violations of one rule and keeps the first as an example.
class Finding {
 public:
  explicit Finding(std::string sentence) : sentence_(std::move(sentence)) {}

  void add(const std::string& example) {
    if (count_++ == 0) example_ = example;
  }
  void report(std::vector<std::string>& lines) const {
    if (count_ > 0) lines.push_back(sentence_ + ": " + std::to_string(count_) + ", first " + example_);
  }

 private:
  std::string sentence_;
  std::string example_;
  std::size_t count_ = 0;
};

bool was_received(const SoakEvidence& evidence, const std::string& rpc_id) {
  return evidence.observations.count(rpc_id) > 0;
}

std::string describe(const std::string& rpc_id, double at_ms) {
  std::ostringstream text;
  text << rpc_id << " at " << at_ms << " ms";
  return text.str();
}

// An RPC is lost if its client got no answer by half a second after the deadline, or had none when the
// sidecar was killed. If the sidecar closed the connection with no whole answer, the RPC is lost; with a
// crowd, only if an endpoint received it. The close of a connection that has carried an answer may cross the
// next request, which is lost only if an endpoint received it. A request that could not be written completely
// is lost only before SIGTERM and without a crowd.
bool is_lost(const SoakEvidence& evidence, const std::string& rpc_id, const RpcRecord& record) {
  switch (record.end) {
    case End::overdue:
    case End::killed:
    case End::open:
      return true;
    case End::closed:
      return !evidence.has_crowd || was_received(evidence, rpc_id);
    case End::closed_reused:
      return was_received(evidence, rpc_id);
    case End::refused:
      return record.ended_at_ms < evidence.terminated_at_ms && !evidence.has_crowd;
    case End::answered:
    case End::departed:
      return false;
  }
  return true;
}

void judge_answers(const SoakEvidence& evidence, std::vector<std::string>& lines) {
  Finding lost("an RPC was lost");
  for (const auto& [rpc_id, record] : evidence.records) {
    static constexpr const char* end_names[] = {"open",   "answered",      "departed", "overdue",
                                                "closed", "closed reused", "refused",  "killed"};
    if (is_lost(evidence, rpc_id, record))
      lost.add(describe(rpc_id, record.ended_at_ms) + " " + end_names[static_cast<std::size_t>(record.end)]);
  }
  lost.report(lines);
}

// Calls `check` for each attempt of an RPC that a client sent.
void for_each_attempt(
    const SoakEvidence& evidence,
    const std::function<void(const std::string&, const RpcRecord&, const AttemptObservation&)>& check) {
  for (const auto& [rpc_id, observation] : evidence.observations) {
    const auto record = evidence.records.find(rpc_id);
    if (record == evidence.records.end()) continue;
    for (const AttemptObservation& attempt : observation.attempts) check(rpc_id, record->second, attempt);
  }
}

// Rule 1: checks that no attempt begins after its RPC's end at the client or after the deadline, apart from
// the allowances, and that no attempt's time budget exceeds the time left by more than the slack.
void judge_late_attempts(const SoakEvidence& evidence, std::vector<std::string>& lines) {
  Finding after_end("an attempt began after its RPC was answered or its client had left");
  Finding after_deadline("an attempt began after the deadline");
  Finding excess_time_budget("an attempt was told more time than was left");
  const double slack_ms = socket_slack_ms + evidence.observer_lag_ms;
  for_each_attempt(
      evidence, [&](const std::string& rpc_id, const RpcRecord& record, const AttemptObservation& attempt) {
        const std::string example = describe(rpc_id, attempt.received_at_ms);
        if (attempt.received_at_ms > record.ended_at_ms + after_close_ms + suspension_ms + slack_ms)
          after_end.add(example);
        if (attempt.received_at_ms > record.deadline_ms + suspension_ms + slack_ms)
          after_deadline.add(example);
        const double left_ms = record.deadline_ms - attempt.received_at_ms;
        if (attempt.time_budget_ms > std::max(left_ms, 0.0) + time_budget_slack_ms + slack_ms)
          excess_time_budget.add(example);
      });
  after_end.report(lines);
  after_deadline.report(lines);
  excess_time_budget.report(lines);
}

// Whether discovery reported the server only as draining or gone from `from_ms` to `until_ms`: in the last
// change sent by `from_ms` and in all changes sent from then to `until_ms`.
bool was_known_unready(const SoakEvidence& evidence, std::size_t server, double from_ms, double until_ms) {
  bool is_unready = false;
  for (const EndpointChange& change : evidence.endpoint_changes) {
    if (change.server != server || change.delivered_at_ms > until_ms) continue;
    const bool is_ready = change.state == EndpointState::ready;
    if (change.delivered_at_ms <= from_ms)
      is_unready = !is_ready;
    else if (is_ready)
      return false;
  }
  return is_unready;
}

// Rule 3: checks that no attempt reaches an endpoint that discovery has reported only as draining or gone for
// the whole grace period plus the allowances.
void judge_drains(const SoakEvidence& evidence, std::vector<std::string>& lines) {
  Finding after_grace("an attempt was sent to a draining or gone endpoint after the grace");
  const double allowed_ms =
      evidence.drain_grace_ms + socket_slack_ms + suspension_ms + evidence.observer_lag_ms;
  for_each_attempt(
      evidence, [&](const std::string& rpc_id, const RpcRecord&, const AttemptObservation& attempt) {
        const double at_ms = attempt.received_at_ms;
        if (was_known_unready(evidence, attempt.server, at_ms - allowed_ms, at_ms))
          after_grace.add(describe(rpc_id, at_ms) + " to server " + std::to_string(attempt.server));
      });
  after_grace.report(lines);
}

// Checks that each change was fetched at the latest 6 s after discovery had it and was reachable, or 4 s
// after SIGHUP, plus the slack. A limit that ends after the reachable span or after SIGTERM is not checked.
void judge_change_delivery(const SoakEvidence& evidence, std::vector<std::string>& lines) {
  Finding undelivered("a change was not fetched in the time owed");
  for (const EndpointChange& change : evidence.endpoint_changes)
    for (const ReachableSpan& span : evidence.reachable_spans) {
      const double due_at_ms = std::max(change.known_at_ms, span.start_ms) + span.due_after_ms;
      const double slack_ms = socket_slack_ms + suspension_ms + evidence.observer_lag_ms;
      if (due_at_ms + slack_ms > std::min(span.end_ms, evidence.terminated_at_ms)) continue;
      if (change.delivered_at_ms > due_at_ms + slack_ms)
        undelivered.add("of server " + std::to_string(change.server) + ", owed at " +
                        std::to_string(due_at_ms) + " ms");
    }
  undelivered.report(lines);
}

void judge_process(const SoakEvidence& evidence, std::vector<std::string>& lines) {
  const ProcessEnd& end = evidence.process_end;
  if (end.ended_before_termination) lines.emplace_back("the process ended before it was told to");
  if (!end.ended_before_kill) lines.emplace_back("the process had not ended when it was killed");
  if (end.ended_before_kill && !end.exited_cleanly)
    lines.emplace_back("the process ended with another status than 0");
  if (evidence.unserved_clients > 0)
    lines.push_back("a half-written request got neither an error nor a close within 3 s: " +
                    std::to_string(evidence.unserved_clients));
}

}  // namespace

std::vector<std::string> judge_soak(const SoakEvidence& evidence) {
  std::vector<std::string> lines;
  judge_answers(evidence, lines);
  judge_late_attempts(evidence, lines);
  judge_drains(evidence, lines);
  judge_change_delivery(evidence, lines);
  judge_process(evidence, lines);
  return lines;
}

}  // namespace indigorill::load_generator
