#include <doctest/doctest.h>

#include <algorithm>

#include "support/load_balancer_histories.h"

using namespace host;  // NOLINT(google-build-using-namespace): test support

TEST_CASE("an attempt that ended is followed by another only if the RPC can't take effect twice") {
  using Safety = RetrySafety;
  using Scope = DeduplicationScope;
  using Outcome = AttemptOutcome;
  struct {
    const char* name;
    Safety retry_safety;
    Scope scope;
    Outcome outcome;
    double duration_ms;
    Action next;
  } table[] = {
      {"idempotent, error", Safety::idempotent, Scope::global, Outcome::error, 10, Action::send_attempt},
      {"idempotent, too late to be useful", Safety::idempotent, Scope::global, Outcome::timed_out, 120,
       Action::reject},
      {"non-idempotent, error", Safety::non_idempotent, Scope::global, Outcome::error, 10, Action::fail},
      {"non-idempotent, timeout", Safety::non_idempotent, Scope::global, Outcome::timed_out, 100,
       Action::fail},
      {"non-idempotent, reset", Safety::non_idempotent, Scope::global, Outcome::reset, 10, Action::fail},
      {"non-idempotent, cancelled", Safety::non_idempotent, Scope::global, Outcome::cancelled, 10,
       Action::fail},
      {"non-idempotent, never ran: rejected", Safety::non_idempotent, Scope::global, Outcome::rejected, 10,
       Action::send_attempt},
      {"non-idempotent, never ran: no connection", Safety::non_idempotent, Scope::global,
       Outcome::connect_failed, 10, Action::send_attempt},
      {"non-idempotent, never ran, too late", Safety::non_idempotent, Scope::global, Outcome::rejected, 120,
       Action::reject},
      {"deduplicated at all endpoints", Safety::idempotency_key, Scope::global, Outcome::error, 10,
       Action::send_attempt},
      {"deduplicated in the zone, no endpoint left there", Safety::idempotency_key, Scope::zone,
       Outcome::error, 10, Action::fail},
      {"deduplicated in the cell, no endpoint left there", Safety::idempotency_key, Scope::cell,
       Outcome::reset, 10, Action::fail},
      {"deduplicated in the zone, never ran", Safety::idempotency_key, Scope::zone, Outcome::rejected, 10,
       Action::send_attempt},
      {"deduplicated, after the usable window, too late", Safety::idempotency_key, Scope::zone,
       Outcome::error, 190, Action::fail},
  };
  for (const auto& row : table) {
    CAPTURE(row.name);
    LoadBalancerHarness harness(test_config(row.retry_safety, row.scope));
    harness.update_endpoints({make_endpoint("a", 0, EndpointState::ready, "here", 1)});
    const std::string id = harness.start_rpc();
    REQUIRE(harness.only_decision().action == Action::send_attempt);
    harness.update_endpoints({make_endpoint("b", 0, EndpointState::ready, "there", 2)});
    harness.now += row.duration_ms;
    harness.load_balancer.on_attempt_finished(harness.now, id, 0, row.outcome, row.duration_ms, false, {});
    CHECK(harness.only_decision().action == row.next);
    harness.now += 300;
    // A concluded RPC gets no further decision; one with an attempt outstanding is concluded.
    CHECK(harness.take_decisions().size() <= 1);
  }
}

TEST_CASE("a deduplicated RPC is not retried once the endpoints may have forgotten its key") {
  for (const double duration_ms : {150.0, 185.0}) {
    LoadBalancerConfig config = test_config(RetrySafety::idempotency_key);
    config.methods[0].latency_objective_ms = 1000;
    LoadBalancerHarness harness(config);
    list_a_and_b(harness);
    const std::string id = harness.start_rpc("read", 2000);
    REQUIRE(harness.only_decision().action == Action::send_attempt);
    harness.now += duration_ms;
    harness.load_balancer.on_attempt_finished(harness.now, id, 0, AttemptOutcome::error, duration_ms, false,
                                              {});
    CHECK((harness.only_decision().action == Action::send_attempt) == (duration_ms < 180));
  }
}

TEST_CASE("a retry has a send deadline inside the deduplication window however long its connect takes") {
  struct {
    RetrySafety retry_safety;
    AttemptOutcome first_outcome;
    double send_deadline_ms;  // after the send of the first attempt
  } table[] = {
      {RetrySafety::idempotency_key, AttemptOutcome::reset, 180},      // nine tenths of the window of 200 ms
      {RetrySafety::idempotency_key, AttemptOutcome::rejected, 1e17},  // the first one was not executed
      {RetrySafety::idempotent, AttemptOutcome::reset, 1e17},
      {RetrySafety::non_idempotent, AttemptOutcome::connect_failed, 1e17},
  };
  for (const auto& row : table) {
    LoadBalancerHarness harness(test_config(row.retry_safety));
    harness.update_endpoints(make_endpoints('a', 'c'));
    const std::string id = harness.start_rpc();
    const Decision first = harness.only_decision();
    REQUIRE(first.action == Action::send_attempt);
    CHECK(first.send_deadline_ms > 1e17);
    const double sent_at = harness.now;
    harness.now += 7;
    harness.load_balancer.on_attempt_finished(harness.now, id, 0, row.first_outcome, 7, false, {});
    const Decision second = harness.only_decision();
    REQUIRE(second.action == Action::send_attempt);
    CHECK(std::min(second.send_deadline_ms - sent_at, 1e17) == doctest::Approx(row.send_deadline_ms));
  }
}

TEST_CASE("retries become rare if they do not succeed") {
  LoadBalancerHarness harness;
  list_a_and_b(harness);
  int early = 0;
  int late = 0;
  for (int i = 0; i < 400; ++i) {
    harness.now += 50;
    const std::string id = harness.start_rpc("vital");
    for (int attempt = 0; attempt < 4; ++attempt) {
      const auto decisions = harness.take_decisions();
      if (decisions.empty() || decisions.front().action != Action::send_attempt) break;
      if (attempt > 0) ++(i < 20 ? early : late);
      harness.load_balancer.on_attempt_finished(harness.now, id, attempt, AttemptOutcome::connect_failed, 1,
                                                false, {});
    }
  }
  CHECK(early > 0);
  CHECK(late < 380 * 0.2);
}

TEST_CASE("a retry needs the fleet's retry quota but a first attempt does not") {
  struct {
    double retry_quota;
    int attempts;
  } table[] = {{0, 1}, {0.9, 1}, {1, 2}, {2, 3}, {100, 4}};
  for (const auto& row : table) {
    CAPTURE(row.retry_quota);
    LoadBalancerHarness harness;
    list_a_and_b(harness);
    harness.load_balancer.set_fleet_retry_quota(row.retry_quota);
    const std::string id = harness.start_rpc("vital");
    int attempts = 0;
    while (harness.only_decision().action == Action::send_attempt) {
      harness.load_balancer.on_attempt_finished(harness.now, id, attempts, AttemptOutcome::connect_failed, 1,
                                                false, {});
      ++attempts;
    }
    CHECK(attempts == row.attempts);
    // An exhausted quota does not prevent the first attempt of an RPC.
    harness.start_rpc("vital");
    CHECK(harness.only_decision().action == Action::send_attempt);
  }
}
