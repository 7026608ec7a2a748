#include <doctest/doctest.h>

#include <functional>
#include <vector>

#include "support/load_balancer_histories.h"

using namespace host;  // NOLINT(google-build-using-namespace): test support

namespace {

void list_none_ready(LoadBalancerHarness& harness) {
  harness.update_endpoints(
      {make_endpoint("a", 0, EndpointState::draining), make_endpoint("b", 0, EndpointState::gone)});
}

History timeouts(int count) {
  return [=](LoadBalancerHarness& harness) {
    list_a_and_b(harness);
    for (int i = 0; i < count; ++i) {
      const std::string id = harness.start_rpc("vital");
      finish_first_attempt(harness, id, AttemptOutcome::timed_out, 100, false);
      harness.take_decisions();
    }
  };
}

void two_in_flight(LoadBalancerHarness& harness) {
  harness.record_attempt("a", AttemptOutcome::ok, 20);
  harness.update_endpoints({make_endpoint("a")});
  for (int i = 0; i < 2; ++i) {
    harness.start_rpc("vital");
    harness.take_decisions();
  }
}

// Four errors on each endpoint, each with this load report.
History errors_everywhere(const LoadReport& report) {
  return [=](LoadBalancerHarness& harness) {
    for (const char* endpoint_id : {"a", "b"})
      for (int i = 0; i < 4; ++i) {
        harness.update_endpoints({make_endpoint(endpoint_id)});
        const std::string id = harness.start_rpc("vital");
        finish_first_attempt(harness, id, AttemptOutcome::error, 5, true, report);
      }
    list_a_and_b(harness);
  };
}

void long_after_timeouts(LoadBalancerHarness& harness) {
  timeouts(40)(harness);
  harness.run_maintenance_until(harness.now + 20000);
}

void one_slow_response(LoadBalancerHarness& harness) {
  harness.record_attempt("a", AttemptOutcome::ok, 90);
  list_a_and_b(harness);
}

}  // namespace

TEST_CASE("an RPC gets exactly one final answer before its deadline and no decision after it") {
  struct {
    const char* name;
    History history;
    double budget_ms;
    Action first;
  } table[] = {
      {"no endpoint known", [](LoadBalancerHarness&) {}, 300, Action::reject},
      {"no endpoint ready", list_none_ready, 300, Action::reject},
      {"expired on arrival", list_a_and_b, 0, Action::reject},
      {"an endpoint ready", list_a_and_b, 300, Action::send_attempt},
  };
  for (const auto& row : table) {
    CAPTURE(row.name);
    LoadBalancerHarness harness;
    row.history(harness);
    const std::string id = harness.start_rpc("read", row.budget_ms);
    const Decision first = harness.only_decision();
    CHECK(first.action == row.first);
    // A response after the latency objective has no value.
    if (first.action == Action::send_attempt) CHECK(first.delay_ms <= 100);
    int final_answers = 0;
    int attempts = 0;
    for (int i = 0; i < 400; ++i) {
      harness.now += 1;
      harness.load_balancer.on_timer(harness.now, 2);
      for (const Decision& decision : harness.take_decisions()) {
        const bool is_final = decision.action == Action::reject || decision.action == Action::fail;
        if (is_final) CHECK(harness.now < 1000 + row.budget_ms);
        final_answers += is_final;
        attempts += decision.action == Action::send_attempt;
      }
    }
    CHECK(final_answers == (row.first == Action::send_attempt ? 1 : 0));
    CHECK(attempts == 0);
    // Reports on an RPC that has ended cause no decision.
    harness.load_balancer.on_attempt_finished(harness.now, id, 0, AttemptOutcome::ok, 400, false, {});
    harness.load_balancer.on_client_disconnected(harness.now, id);
    CHECK(harness.take_decisions().empty());
  }
}

TEST_CASE("RPCs due at the same time are answered in order unless a client left or a response started") {
  LoadBalancerHarness harness;
  harness.update_endpoints(make_endpoints('a', 'd'));
  std::vector<std::string> ids;
  ids.reserve(4);
  for (int i = 0; i < 4; ++i) ids.push_back(harness.start_rpc("vital"));
  REQUIRE(harness.take_decisions().size() == 4);
  harness.load_balancer.on_client_disconnected(harness.now, ids[0]);
  harness.load_balancer.on_response_started(harness.now, ids[1], 0);
  std::vector<std::string> answered;
  std::vector<std::string> cancelled;
  for (harness.now = 1290; harness.now < 1310; ++harness.now) {
    harness.load_balancer.on_timer(harness.now, 2);
    for (const Decision& decision : harness.take_decisions())
      (decision.action == Action::cancel_attempt ? cancelled : answered).push_back(decision.rpc_id);
  }
  CHECK(answered == std::vector{ids[2], ids[3]});
  CHECK(cancelled == std::vector{ids[0], ids[2], ids[3]});
  harness.load_balancer.on_attempt_finished(harness.now, ids[1], 0, AttemptOutcome::reset, 500, true, {});
  CHECK(harness.take_decisions().empty());
}

TEST_CASE("a client's retry after its latency objective is recognized by its time budget and rejected") {
  // A client waits 400 ms in total. The time budget of each of its attempts is 310 ms, or the rest if that is
  // less.
  struct {
    const char* name;
    double deadline_ms;
    double late_weight;
    int first_attempts;  // RPCs with a time budget of 310 ms
    int others;          // RPCs of a second kind of client, with the budget of the row
    double budget_ms;
    Action action;
  } table[] = {
      {"a first attempt", 400, 0, 30, 0, 310, Action::send_attempt},
      {"a first attempt that a busy process read late", 400, 0, 30, 0, 307, Action::send_attempt},
      {"a retry with half of its objective left", 400, 0, 30, 0, 350, Action::send_attempt},
      {"a retry after its objective", 400, 0, 30, 0, 250, Action::reject},
      {"other clients have the same budget", 400, 0, 20, 3, 200, Action::send_attempt},
      {"too few RPCs were seen", 400, 0, 10, 0, 250, Action::send_attempt},
      {"a late response has some value", 400, 0.5, 30, 0, 250, Action::send_attempt},
      {"no deadline is known", 0, 0, 30, 0, 250, Action::send_attempt},
  };
  for (const auto& row : table) {
    CAPTURE(row.name);
    LoadBalancerConfig config = test_config();
    for (MethodConfig& method : config.methods) {
      method.deadline_ms = row.deadline_ms;
      method.late_weight = row.late_weight;
    }
    LoadBalancerHarness harness(config);
    list_a_and_b(harness);
    for (int i = 0; i < row.first_attempts + row.others; ++i) {
      harness.now += 100;
      const std::string id = harness.start_rpc("vital", i < row.first_attempts ? 310 : row.budget_ms);
      finish_first_attempt(harness, id, AttemptOutcome::ok, 20);
      harness.take_decisions();
    }
    harness.now += 100;
    harness.start_rpc("vital", row.budget_ms);
    CHECK(harness.only_decision().action == row.action);
  }
}

TEST_CASE(
    "an RPC is rejected at once if no response in time is expected but no endpoint is excluded permanently") {
  struct {
    const char* name;
    History history;
    const char* method;
    Action action;
  } table[] = {
      {"every endpoint failed at least three times", errors_everywhere({}), "vital", Action::reject},
      {"the same, but each reports nothing in flight", errors_everywhere({0}), "vital", Action::send_attempt},
      {"the same, and each reports much in flight", errors_everywhere({9}), "vital", Action::reject},
      {"an idle fleet", list_a_and_b, "read", Action::send_attempt},
      {"no endpoint is excluded long after timeouts", long_after_timeouts, "read", Action::send_attempt},
      {"one slow response says little of the others", one_slow_response, "vital", Action::send_attempt},
      {"a queue too long for a low priority weight", two_in_flight, "read", Action::reject},
      {"the same queue with a high priority weight", two_in_flight, "vital", Action::send_attempt},
  };
  for (const auto& row : table) {
    CAPTURE(row.name);
    LoadBalancerHarness harness;
    row.history(harness);
    harness.start_rpc(row.method);
    CHECK(harness.only_decision().action == row.action);
  }
}

TEST_CASE("a sidecar does not reject by a guessed service time but rejects after slow responses") {
  struct {
    const char* name;
    int slow_responses;
    Action action;
  } table[] = {{"no response seen", 0, Action::send_attempt}, {"two slow responses seen", 2, Action::reject}};
  for (const auto& row : table) {
    CAPTURE(row.name);
    int as_expected = 0;
    constexpr int seed_count = 50;
    for (int seed = 1; seed <= seed_count; ++seed) {
      // The guessed service time is a quarter of the longest latency objective. By this guess, half an RPC
      // ahead, which is the load assumed of endpoints without a report, leaves too little time for an RPC
      // with the short objective.
      LoadBalancerConfig config = test_config();
      config.methods[1].latency_objective_ms = 160;
      config.probes_report_load = true;
      LoadBalancerHarness harness(config, static_cast<std::uint64_t>(seed));
      for (int i = 0; i < row.slow_responses; ++i) harness.record_attempt("a", AttemptOutcome::ok, 95);
      harness.update_endpoints(make_endpoints('a', 'z'));
      harness.now += 100;
      harness.start_rpc("read");
      as_expected += harness.only_decision().action == row.action;
    }
    CHECK(as_expected == seed_count);
  }
}

TEST_CASE("after a time without sends a slow fleet is tried again by some sidecars but not by all at once") {
  int first_sent = 0;
  int second_sent = 0;
  for (int seed = 1; seed <= 300; ++seed) {
    LoadBalancerHarness harness(test_config(), static_cast<std::uint64_t>(seed));
    harness.record_attempt("a", AttemptOutcome::ok, 90);
    harness.record_attempt("b", AttemptOutcome::ok, 90);
    list_a_and_b(harness);
    harness.now += 2000;
    harness.start_rpc("vital");
    const bool is_first_sent = harness.only_decision().action == Action::send_attempt;
    first_sent += is_first_sent;
    harness.start_rpc("vital");
    second_sent += is_first_sent && harness.only_decision().action == Action::send_attempt;
  }
  CHECK((first_sent > 10 && first_sent < 60));  // all 300 if the silence alone decided
  CHECK(second_sent == 0);
}
