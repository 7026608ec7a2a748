// Tests of the soak's judge, on records that violate one rule each, and of its plans. The sidecar itself is
// tested by .ci/soak.
#include <doctest/doctest.h>

#include <functional>
#include <string>

#include "config/toml_section.h"
#include "load/soak_judge.h"
#include "load/soak_plan.h"

using namespace indigorill;                  // NOLINT(google-build-using-namespace): test of these
using namespace indigorill::load_generator;  // NOLINT(google-build-using-namespace)

namespace {

// One RPC that was answered in time after one attempt at server 0, and a drain of server 1 that was sent to
// the sidecar in time.
struct SoundRun {
  std::unordered_map<std::string, RpcRecord> records{
      {"1", {.sent_at_ms = 1000, .deadline_ms = 1300, .end = RpcRecord::End::answered, .ended_at_ms = 1100}}};
  std::unordered_map<std::string, RpcObservation> observations{
      {"1",
       {.received = 1,
        .executed = 1,
        .attempts = {{.server = 0, .received_at_ms = 1010, .time_budget_ms = 290}}}}};
  std::vector<EndpointChange> changes{
      {.server = 1, .state = EndpointState::draining, .known_at_ms = 500, .delivered_at_ms = 510}};
  SoakEvidence evidence{.records = records,
                        .observations = observations,
                        .endpoint_changes = changes,
                        .reachable_spans = {{.start_ms = 0, .end_ms = 20000, .due_after_ms = 6000}},
                        .process_end = {.ended_before_kill = true, .exited_cleanly = true},
                        .drain_grace_ms = 300,
                        .terminated_at_ms = 10000};

  RpcRecord& record() { return records.at("1"); }
  RpcObservation& observation() { return observations.at("1"); }
  AttemptObservation& attempt() { return observation().attempts.front(); }
};

struct Row {
  const char* expected_violation;  // part of the expected line; empty: no violation
  std::function<void(SoundRun&)> change;
};

}  // namespace

TEST_CASE("soak: the judge reports each violated rule and nothing for valid records") {
  using End = RpcRecord::End;
  const Row table[] = {
      {"", [](SoundRun&) {}},
      {"lost", [](SoundRun& run) { run.record().end = End::overdue; }},
      {"lost", [](SoundRun& run) { run.record().end = End::killed; }},
      {"lost", [](SoundRun& run) { run.record().end = End::open; }},
      {"lost", [](SoundRun& run) { run.record().end = End::closed; }},
      {"lost", [](SoundRun& run) { run.record().end = End::closed_reused; }},
      {"lost", [](SoundRun& run) { run.record().end = End::refused; }},
      {"", [](SoundRun& run) { run.record().end = End::departed; }},
      {"",
       [](SoundRun& run) {
         run.record().end = End::closed_reused;
         run.observations.clear();
       }},
      {"lost",
       [](SoundRun& run) {
         run.record().end = End::closed;
         run.observations.clear();
       }},
      {"",
       [](SoundRun& run) {
         run.record().end = End::closed;
         run.observations.clear();
         run.evidence.has_crowd = true;
       }},
      {"",
       [](SoundRun& run) {
         run.record().end = End::refused;
         run.record().ended_at_ms = 10100;
         run.attempt().received_at_ms = 1010;
       }},
      {"its client had left",
       [](SoundRun& run) {
         run.record().end = End::departed;
         run.record().ended_at_ms = 1020;
         run.observation().attempts.push_back({.server = 2, .received_at_ms = 1330, .time_budget_ms = 1});
         run.record().deadline_ms = 3000;
       }},
      {"after the deadline",
       [](SoundRun& run) {
         run.record().ended_at_ms = 1400;
         run.attempt() = {.server = 0, .received_at_ms = 1510, .time_budget_ms = 1};
       }},
      {"told more time", [](SoundRun& run) { run.attempt().time_budget_ms = 500; }},
      {"", [](SoundRun& run) { run.attempt().time_budget_ms = 450; }},
      {"after the grace",
       [](SoundRun& run) {
         run.attempt().server = 1;
         run.attempt().received_at_ms = 1011;
       }},
      {"",  // within the grace, its slack and a suspension
       [](SoundRun& run) {
         run.attempt().server = 1;
         run.attempt().received_at_ms = 1009;
       }},
      {"",  // the server became ready again
       [](SoundRun& run) {
         run.attempt().server = 1;
         run.changes.push_back(
             {.server = 1, .state = EndpointState::ready, .known_at_ms = 700, .delivered_at_ms = 710});
       }},
      {"not fetched", [](SoundRun& run) { run.changes.front().delivered_at_ms = 6800; }},
      {"not fetched", [](SoundRun& run) { run.changes.front().delivered_at_ms = EndpointChange::never; }},
      {"",  // discovery was not reachable for long enough
       [](SoundRun& run) {
         run.changes.front().delivered_at_ms = EndpointChange::never;
         run.evidence.reachable_spans.front().end_ms = 6000;
       }},
      {"before it was told", [](SoundRun& run) { run.evidence.process_end.ended_before_termination = true; }},
      {"when it was killed", [](SoundRun& run) { run.evidence.process_end = {.ended_before_kill = false}; }},
      {"another status", [](SoundRun& run) { run.evidence.process_end.exited_cleanly = false; }},
      {"half-written", [](SoundRun& run) { run.evidence.unserved_clients = 1; }},
  };
  for (const Row& row : table) {
    CAPTURE(std::string(row.expected_violation));
    SoundRun run;
    row.change(run);
    const std::vector<std::string> lines = judge_soak(run.evidence);
    REQUIRE(lines.size() == (*row.expected_violation ? 1 : 0));
    if (!lines.empty()) CHECK(lines.front().find(row.expected_violation) != std::string::npos);
  }
}

TEST_CASE("soak: equal seeds draw equal plans and all plans keep the limits of the protocol page") {
  const emulator::Scenario base =
      emulator::decode_scenario(read_toml_file(INDIGORILL_SCENARIOS "/soak.toml"));
  CHECK(describe(draw_soak_plan(base, 3)) == describe(draw_soak_plan(base, 3)));
  CHECK(describe(draw_soak_plan(base, 3)) != describe(draw_soak_plan(base, 4)));
  int crowds = 0;
  int polled = 0;
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    const SoakPlan plan = draw_soak_plan(base, seed);
    crowds += plan.has_crowd() ? 1 : 0;
    polled += plan.scenario.discovery.is_polled ? 1 : 0;
    CHECK(plan.kill_at_ms == plan.terminate_at_ms + plan.scenario.longest_deadline_ms() + 700);
    CHECK(plan.new_connections_until_ms >= plan.terminate_at_ms + 200);
    CHECK(plan.new_connections_until_ms <= plan.terminate_at_ms + 400);
    for (const double time_ms : plan.reloads_ms) CHECK(time_ms >= 1000);
    for (std::size_t i = 1; i < plan.suspensions_ms.size(); ++i)
      CHECK(plan.suspensions_ms[i] - plan.suspensions_ms[i - 1] > SoakPlan::suspension_ms);
  }
  CHECK(crowds > 10);
  CHECK(polled > 25);
  CHECK(polled < 75);
}
