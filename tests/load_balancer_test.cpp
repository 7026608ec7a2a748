#include <doctest/doctest.h>
#include <malloc.h>

#include <algorithm>
#include <functional>
#include <limits>
#include <map>

#include "support/host.h"

using namespace host;

namespace {

// The share of first picks that go to "a" over many seeds, after the same history.
double share_of_a(const std::function<void(LoadBalancerHarness&)>& history,
                  const LoadBalancerConfig& t = test_config()) {
  int a = 0;
  constexpr int draws = 600;
  for (int seed = 1; seed <= draws; ++seed) {
    LoadBalancerHarness h(t, seed);
    history(h);
    h.start_rpc();
    for (const Decision& d : h.take_decisions())
      a += d.action == Action::send_attempt && d.endpoint_id == "a";
  }
  return a / static_cast<double>(draws);
}

void both(LoadBalancerHarness& h) { h.update_endpoints({make_endpoint("a"), make_endpoint("b")}); }

const double not_a_number = std::numeric_limits<double>::quiet_NaN();

}  // namespace

TEST_CASE("the draw: chance in proportion to reputation, recency and the factors beside them") {
  const auto ended = [](AttemptOutcome how) {
    return [=](LoadBalancerHarness& h) {  // with a full window on both
      for (int i = 0; i < 15; ++i)
        h.record_attempt("a", AttemptOutcome::ok), h.record_attempt("b", AttemptOutcome::ok);
      h.record_attempt("a", how), h.record_attempt("b", AttemptOutcome::ok), both(h);
    };
  };
  const auto idle = [](double ms) {
    return [=](LoadBalancerHarness& h) {
      h.record_attempt("a", AttemptOutcome::ok);
      h.now += ms;
      h.record_attempt("b", AttemptOutcome::ok), both(h);
    };
  };
  struct {
    const char* what;
    std::function<void(LoadBalancerHarness&)> history;
    double least, most;
  } table[] = {
      {"two unsent servers are equal", both, 0.43, 0.57},
      {"ok is a success", ended(AttemptOutcome::ok), 0.43, 0.57},
      {"an error halves", ended(AttemptOutcome::error), 0.27, 0.40},
      {"a reset halves", ended(AttemptOutcome::reset), 0.27, 0.40},
      {"a failed connect halves", ended(AttemptOutcome::connect_failed), 0.27, 0.40},
      {"cancelled enters nothing", ended(AttemptOutcome::cancelled), 0.43, 0.57},
      {"moot enters nothing", ended(AttemptOutcome::client_error), 0.43, 0.57},
      {"an error among few sends stands for those unseen",
       [](LoadBalancerHarness& h) {
         h.record_attempt("a", AttemptOutcome::error), h.record_attempt("b", AttemptOutcome::ok), both(h);
       },
       0, 0.06},
      {"one second idle doubles", idle(1000), 0.60, 0.73},
      {"idle for months stays finite and capped", idle(1e10), 0.95, 1.0},
      {"an unsent server takes the others' mean",
       [](LoadBalancerHarness& h) {
         h.record_attempt("b", AttemptOutcome::error), h.record_attempt("b", AttemptOutcome::ok), both(h);
       },
       0.43, 0.57},
      {"an old failure ages out",
       [](LoadBalancerHarness& h) {
         h.record_attempt("a", AttemptOutcome::error);
         h.now += 6000;
         h.record_attempt("a", AttemptOutcome::ok), h.record_attempt("b", AttemptOutcome::ok), both(h);
       },
       0.43, 0.57},
      {"the window forgets what lies more than 16 sends back",
       [](LoadBalancerHarness& h) {
         for (int i = 0; i < 2; ++i) h.record_attempt("a", AttemptOutcome::error);
         for (int i = 0; i < 16; ++i) h.record_attempt("a", AttemptOutcome::ok);
         h.record_attempt("b", AttemptOutcome::ok), both(h);
       },
       0.43, 0.57},
      {"a server that turned a pick away looks idle but is not",
       [](LoadBalancerHarness& h) {
         h.record_attempt("b", AttemptOutcome::ok), h.record_attempt("a", AttemptOutcome::rejected), both(h);
       },
       0, 0.02},
      {"a restarted process starts afresh",
       [](LoadBalancerHarness& h) {
         for (int i = 0; i < 2; ++i) h.record_attempt("a", AttemptOutcome::error);
         h.record_attempt("b", AttemptOutcome::ok);
         h.update_endpoints({make_endpoint("a", 5), make_endpoint("b")});
         h.now += 30000;
       },
       0.43, 0.57},
      {"a cold one counts for less by its age",
       [](LoadBalancerHarness& h) {
         h.now += 30000, h.update_endpoints({make_endpoint("a", h.now - 1000), make_endpoint("b")}),
             h.run_maintenance_until(h.now + 300);
       },
       0, 0.05},
      {"absurd reports are no reports",
       [](LoadBalancerHarness& h) {
         both(h);
         for (const double held : {not_a_number, -5.0, 1e300})
           h.load_balancer.on_probe_finished(h.now, "a", AttemptOutcome::ok, {held});
       },
       0.43, 0.57},
      {"a report of a queue turns picks away",
       [](LoadBalancerHarness& h) {
         both(h), h.load_balancer.on_probe_finished(h.now, "a", AttemptOutcome::ok, {3.0});
       },
       0, 0.1},
  };
  for (const auto& row : table) {
    CAPTURE(row.what);
    const double share = share_of_a(row.history);
    CHECK(share >= row.least);
    CHECK(share <= row.most);
  }
}

TEST_CASE("a server where none of our connections rests counts for less, by the price of a handshake") {
  const auto rests = [](std::size_t at_a) {
    return [=](LoadBalancerHarness& h) {
      both(h), h.load_balancer.set_idle_connections("a", at_a), h.load_balancer.set_idle_connections("b", 1),
          h.load_balancer.set_idle_connections("nobody", 1);
    };
  };
  struct {
    const char* what;
    double price;
    std::size_t at_a;
    double least, most;
  } table[] = {
      {"none", 0.02, 0, 0.12, 0.28}, {"one", 0.02, 1, 0.43, 0.57}, {"at no price", 0, 0, 0.43, 0.57}};
  for (const auto& row : table) {
    CAPTURE(row.what);
    LoadBalancerConfig t = test_config();
    t.handshake_cost = row.price;
    const double share = share_of_a(rests(row.at_a), t);
    CHECK(share >= row.least);
    CHECK(share <= row.most);
  }
}

TEST_CASE("a cold server: no handshake held against a first send, its pace is that of cold ones seen") {
  LoadBalancerConfig t = test_config();
  t.handshake_cost = 0.08;
  const auto beside_warm = [](int seen, double took) {
    return [=](LoadBalancerHarness& h) {
      h.now += 100000;
      const double young = h.now - 10000;  // 0.6 of a warm one
      for (int i = 0; i < seen; ++i) {
        h.update_endpoints({make_endpoint("c" + std::to_string(i), young)});
        const std::string id = h.start_rpc();
        for (const Decision& d : h.take_decisions())
          if (d.action == Action::send_attempt)
            h.load_balancer.on_attempt_finished(h.now, id, 0, AttemptOutcome::ok, took, true, {});
        h.take_decisions();
      }
      h.update_endpoints({make_endpoint("a", young), make_endpoint("b")});
      h.load_balancer.set_idle_connections("b", 1);
    };
  };
  const double unseen = share_of_a(beside_warm(0, 0), t);
  CHECK(unseen > 0.02);  // eight halvings more would leave it one in a few thousand
  CHECK(share_of_a(beside_warm(10, 10), t) > 1.5 * unseen);
  CHECK(share_of_a(beside_warm(10, 80), t) < 0.5 * unseen);
}

TEST_CASE("place: another zone and a server that is not the key's home count for less") {
  LoadBalancerConfig t = test_config();
  t.cross_zone_cost = 0.1;
  const auto zones = [](LoadBalancerHarness& h) {
    h.update_endpoints({make_endpoint("a", 0, EndpointState::ready, "there"), make_endpoint("b")});
  };
  CHECK(share_of_a(zones, t) < 0.15);
  t.key_affinity = true;
  std::map<std::string, int> got;
  for (int seed = 1; seed <= 100; ++seed) {
    LoadBalancerHarness h(t, seed);
    h.update_endpoints({make_endpoint("a"), make_endpoint("b"), make_endpoint("c"), make_endpoint("d")});
    h.load_balancer.on_rpc_arrived(h.now, {"r", "read", h.now + 300, 77});
    ++got[h.only_decision().endpoint_id];
  }
  int most = 0;
  for (const auto& [id, n] : got) most = std::max(most, n);
  CHECK(most > 75);
}

TEST_CASE("a crowded server is drawn again once") {
  int crowded = 0;
  for (int seed = 1; seed <= 300; ++seed) {
    LoadBalancerConfig t = test_config();
    t.methods[0].latency_objective_ms = t.methods[1].latency_objective_ms =
        1e9;  // the load factor says next to nothing
    LoadBalancerHarness h(t, seed);
    h.update_endpoints({make_endpoint("a")});
    for (int i = 0; i < 9; ++i) h.start_rpc("read", 1e9), h.take_decisions();
    h.update_endpoints({make_endpoint("a"), make_endpoint("b"), make_endpoint("c")});
    h.now += 10000;
    h.start_rpc("read", 1e9);
    crowded += h.only_decision().endpoint_id == "a";
  }
  CHECK(crowded < 300 * 0.2);  // a third without the redraw, a ninth with it
}

TEST_CASE("no effect twice: what may follow a pick that ended") {
  using R = RetrySafety;
  using G = DeduplicationScope;
  struct {
    const char* what;
    R repeats;
    G drops;
    AttemptOutcome how;
    double later;
    Action then;
  } table[] = {
      {"idempotent, error", R::idempotent, G::global, AttemptOutcome::error, 10, Action::send_attempt},
      {"idempotent, too late to be useful", R::idempotent, G::global, AttemptOutcome::timed_out, 120,
       Action::reject},
      {"non-idempotent, error", R::non_idempotent, G::global, AttemptOutcome::error, 10, Action::fail},
      {"non-idempotent, time-out", R::non_idempotent, G::global, AttemptOutcome::timed_out, 100,
       Action::fail},
      {"non-idempotent, reset", R::non_idempotent, G::global, AttemptOutcome::reset, 10, Action::fail},
      {"non-idempotent, cancelled", R::non_idempotent, G::global, AttemptOutcome::cancelled, 10,
       Action::fail},
      {"non-idempotent, never ran: full", R::non_idempotent, G::global, AttemptOutcome::rejected, 10,
       Action::send_attempt},
      {"non-idempotent, never ran: no connection", R::non_idempotent, G::global,
       AttemptOutcome::connect_failed, 10, Action::send_attempt},
      {"non-idempotent, never ran, too late", R::non_idempotent, G::global, AttemptOutcome::rejected, 120,
       Action::reject},
      {"deduplicated everywhere", R::idempotency_key, G::global, AttemptOutcome::error, 10,
       Action::send_attempt},
      {"deduplicated in the zone, none left there", R::idempotency_key, G::zone, AttemptOutcome::error, 10,
       Action::fail},
      {"deduplicated in the cell, none left there", R::idempotency_key, G::cell, AttemptOutcome::reset, 10,
       Action::fail},
      {"deduplicated in the zone, never ran", R::idempotency_key, G::zone, AttemptOutcome::rejected, 10,
       Action::send_attempt},
      {"deduplicated, beyond its window, too late", R::idempotency_key, G::zone, AttemptOutcome::error, 190,
       Action::fail},
  };
  for (const auto& row : table) {
    CAPTURE(row.what);
    LoadBalancerHarness h(test_config(row.repeats, row.drops));
    h.update_endpoints({make_endpoint("a", 0, EndpointState::ready, "here", 1)});
    const std::string id = h.start_rpc();
    REQUIRE(h.only_decision().action == Action::send_attempt);
    h.update_endpoints({make_endpoint("b", 0, EndpointState::ready, "there", 2)});
    h.now += row.later;
    h.load_balancer.on_attempt_finished(h.now, id, 0, row.how, row.later, false, {});
    CHECK(h.only_decision().action == row.then);
    h.now += 300;
    CHECK(h.take_decisions().size() <= 1);  // nothing more for an RPC given up; a pick still out is settled
  }
}

TEST_CASE("deduplicated: no repeat once the group may have forgotten") {
  for (const double later : {150.0, 185.0}) {
    LoadBalancerConfig t = test_config(RetrySafety::idempotency_key);
    t.methods[0].latency_objective_ms = 1000;
    LoadBalancerHarness h(t);
    h.update_endpoints({make_endpoint("a"), make_endpoint("b")});
    const std::string id = h.start_rpc("read", 2000);
    REQUIRE(h.only_decision().action == Action::send_attempt);
    h.now += later;
    h.load_balancer.on_attempt_finished(h.now, id, 0, AttemptOutcome::error, later, false, {});
    CHECK((h.only_decision().action == Action::send_attempt) == (later < 180));
  }
}

TEST_CASE("one final answer, in time, and nothing after it") {
  struct {
    const char* what;
    std::function<void(LoadBalancerHarness&)> before;
    double patience;
    Action first;
  } table[] = {
      {"no server known", [](LoadBalancerHarness&) {}, 300, Action::reject},
      {"none ready",
       [](LoadBalancerHarness& h) {
         h.update_endpoints(
             {make_endpoint("a", 0, EndpointState::draining), make_endpoint("b", 0, EndpointState::gone)});
       },
       300, Action::reject},
      {"expired on arrival", both, 0, Action::reject},
      {"a server at hand", both, 300, Action::send_attempt},
  };
  for (const auto& row : table) {
    CAPTURE(row.what);
    LoadBalancerHarness h;
    row.before(h);
    const std::string id = h.start_rpc("read", row.patience);
    const Decision d = h.only_decision();
    CHECK(d.action == row.first);
    if (d.action == Action::send_attempt)
      CHECK(d.delay_ms <= 100);  // an answer after the latency target is worth nothing
    int finals = 0, others = 0;
    for (int i = 0; i < 400; ++i) {
      h.now += 1;
      h.load_balancer.on_timer(h.now, 2);
      for (const Decision& e : h.take_decisions()) {
        const bool final_answer = e.action == Action::reject || e.action == Action::fail;
        if (final_answer) CHECK(h.now < 1000 + row.patience);
        finals += final_answer;
        others += e.action == Action::send_attempt;
      }
    }
    CHECK(finals == (row.first == Action::send_attempt ? 1 : 0));
    CHECK(others == 0);
    h.load_balancer.on_attempt_finished(h.now, id, 0, AttemptOutcome::ok, 400, false,
                                        {});  // an outcome after the end
    h.load_balancer.on_client_disconnected(h.now, id);
    CHECK(h.take_decisions().empty());
  }
}

TEST_CASE("equal due times, a client that leaves, a stream that began") {
  LoadBalancerHarness h;
  h.update_endpoints({make_endpoint("a"), make_endpoint("b"), make_endpoint("c"), make_endpoint("d")});
  std::vector<std::string> ids;
  for (int i = 0; i < 4; ++i) ids.push_back(h.start_rpc("vital"));
  REQUIRE(h.take_decisions().size() == 4);
  h.load_balancer.on_client_disconnected(h.now, ids[0]);
  h.load_balancer.on_response_started(h.now, ids[1], 0);
  std::vector<std::string> settled, cancelled;
  for (h.now = 1290; h.now < 1310; ++h.now) {
    h.load_balancer.on_timer(h.now, 2);
    for (const Decision& d : h.take_decisions())
      (d.action == Action::cancel_attempt ? cancelled : settled).push_back(d.rpc_id);
  }
  CHECK(settled == std::vector{ids[2], ids[3]});
  CHECK(cancelled == std::vector{ids[0], ids[2], ids[3]});
  h.load_balancer.on_attempt_finished(h.now, ids[1], 0, AttemptOutcome::reset, 500, true, {});
  CHECK(h.take_decisions().empty());
}

TEST_CASE("nothing new to a server that drains or is gone") {
  for (const EndpointState left : {EndpointState::draining, EndpointState::gone}) {
    LoadBalancerHarness h;
    both(h);
    h.load_balancer.update_endpoints(h.now, false, false, {make_endpoint("a", 0, left)});
    for (int i = 0; i < 50; ++i) {
      h.now += 200;
      const std::string id = h.start_rpc();
      CHECK(h.only_decision().endpoint_id == "b");
      h.load_balancer.on_attempt_finished(h.now, id, 0, AttemptOutcome::ok, 20, true, {});
    }
  }
}

TEST_CASE("the list: asked for, and after a failed call asked again with growing waits and jitter") {
  LoadBalancerConfig t = test_config();
  t.must_poll_endpoints = true;
  t.max_poll_silence_ms = 10000;
  double waits[2][4];
  for (int seed : {1, 2}) {
    LoadBalancerHarness h(t, seed);
    CHECK(h.only_decision().action == Action::poll_endpoints);
    for (double& wait : waits[seed - 1]) {
      const double from = h.now;
      h.load_balancer.endpoint_poll_failed(h.now);
      for (bool asked = false; !asked && h.now < from + 20000;) {
        h.now += 10;
        h.load_balancer.on_timer(h.now, 1);
        for (const Decision& d : h.take_decisions()) asked = asked || d.action == Action::poll_endpoints;
      }
      wait = h.now - from;
    }
    h.load_balancer.update_endpoints(h.now, true, true, {make_endpoint("a")});
    h.now += 60000;
    CHECK(h.take_decisions().empty());  // subscribed
  }
  for (const auto& w : waits) CHECK((w[0] < w[2] && w[3] < 10000));
  CHECK(waits[0][1] != waits[1][1]);
}

TEST_CASE("many sidecars that start, or fail to get the list, at once don't ask for it at once") {
  LoadBalancerConfig t = test_config();
  t.must_poll_endpoints = true;
  t.max_poll_silence_ms = 10000;
  t.sidecar_count = 100;
  std::vector<std::unique_ptr<LoadBalancerHarness>> fleet;
  for (int seed = 1; seed <= 100; ++seed) {
    fleet.push_back(std::make_unique<LoadBalancerHarness>(t, seed));
    fleet.back()->now = 0;
  }
  const auto most_in_a_second = [&](double until) {
    int most = 0, all = 0;
    for (std::vector<int> calls; fleet.front()->now < until; most = std::max(most, calls.back())) {
      calls.push_back(0);
      for (int step = 0; step < 100; ++step)
        for (auto& h : fleet) {
          h->load_balancer.on_timer(h->now += 10, 2);
          for (const Decision& d : h->take_decisions())
            calls.back() += d.action == Action::poll_endpoints, ++all;
        }
    }
    CHECK(all == 100);  // and none is left out
    return most;
  };
  CHECK(most_in_a_second(6000) <= 35);
  for (auto& h : fleet) h->load_balancer.endpoint_poll_failed(h->now);
  CHECK(most_in_a_second(16000) <= 35);
}

TEST_CASE("a cold server is sent no more than its budget, and a cold fleet is no idle one") {
  struct {
    const char* what;
    bool others_warm;
    int least, most;
  } table[] = {{"one cold among three, that can do 7 and must get less than 20", true, 0, 15},
               {"all cold", false, 5, 200}};
  for (const auto& row : table) {
    CAPTURE(row.what);
    LoadBalancerHarness h;
    h.now = 100000;
    const double young = h.now, old = row.others_warm ? 0 : young;
    h.update_endpoints({make_endpoint("a"), make_endpoint("b"), make_endpoint("c")});
    int cold = 0;
    for (int i = 0; i < 600; ++i) {  // 100 a second: 33 a server, 20 of 100 while cold
      h.now += 10;
      if (i == 300)
        h.update_endpoints({make_endpoint("a", young), make_endpoint("b", old), make_endpoint("c", old)});
      if (i % 10 == 0) h.load_balancer.on_timer(h.now, 1);
      const std::string id = h.start_rpc("vital");
      for (const Decision& d : h.take_decisions())
        if (d.action == Action::send_attempt) {
          cold += i >= 300 && i < 400 && d.endpoint_id == "a";
          h.load_balancer.on_attempt_finished(h.now, id, d.attempt_index, AttemptOutcome::ok, 10, true, {});
          h.take_decisions();
        }
    }
    CHECK(cold >= row.least);
    CHECK(cold <= row.most);
  }
}

TEST_CASE("beside a crowded warm server a cold one is used as it answers, and lets nothing into the crowd") {
  LoadBalancerConfig t = test_config();
  t.probes_report_load = true;
  LoadBalancerHarness h(t);
  h.now = 100000;
  h.update_endpoints(
      {make_endpoint("a"),
       make_endpoint("b", h.now - 10000)});  // b does six tenths of a warm one's work, and nobody is there
  std::map<std::string, int> sent;
  int pushed_back = 0;
  for (int i = 0; i < 1000; ++i) {
    h.now += 10;
    for (int reports = 0; reports < 10; ++reports)
      h.load_balancer.on_probe_finished(h.now, "a", AttemptOutcome::ok, {9.0});
    if (i % 10 == 0) h.load_balancer.on_timer(h.now, 1);
    const std::string id = h.start_rpc("vital");
    for (const Decision& d : h.take_decisions()) {
      pushed_back += d.action == Action::reject;
      if (d.action != Action::send_attempt) continue;
      ++sent[d.endpoint_id];
      h.load_balancer.on_attempt_finished(h.now, id, 0, AttemptOutcome::ok, 20, true,
                                          {d.endpoint_id == "a" ? 10.0 : 1.0});
      h.take_decisions();
    }
  }
  CHECK(sent["a"] <= 5);
  CHECK(sent["b"] >= 50);
  CHECK(sent["b"] <= 600);  // the bound: half of three times its warmth, of all that the two get
  CHECK(sent["a"] + sent["b"] + pushed_back == 1000);
}

TEST_CASE("what a client asks again after its latency target is given up, as its budget tells") {
  // A client waits for 400 in all; each of its tries has 310 of them, or what is left.
  struct {
    const char* what;
    double deadline, late_utility;
    int before, others;  // first tries of 310, and others of a second kind of client that gives 200
    double budget;
    Action then;
  } table[] = {
      {"a first try", 400, 0, 30, 0, 310, Action::send_attempt},
      {"one that a busy process read late", 400, 0, 30, 0, 307, Action::send_attempt},
      {"half of its target is left", 400, 0, 30, 0, 350, Action::send_attempt},
      {"its target is over", 400, 0, 30, 0, 250, Action::reject},
      {"other clients have that budget", 400, 0, 20, 3, 200, Action::send_attempt},
      {"too little is known", 400, 0, 10, 0, 250, Action::send_attempt},
      {"a late answer is worth something", 400, 0.5, 30, 0, 250, Action::send_attempt},
      {"no deadline is told", 0, 0, 30, 0, 250, Action::send_attempt},
  };
  for (const auto& row : table) {
    CAPTURE(row.what);
    LoadBalancerConfig t = test_config();
    for (MethodConfig& m : t.methods) m.deadline_ms = row.deadline, m.late_weight = row.late_utility;
    LoadBalancerHarness h(t);
    both(h);
    for (int i = 0; i < row.before + row.others; ++i) {
      h.now += 100;
      const std::string id = h.start_rpc("vital", i < row.before ? 310 : row.budget);
      for (const Decision& d : h.take_decisions())
        if (d.action == Action::send_attempt)
          h.load_balancer.on_attempt_finished(h.now, id, 0, AttemptOutcome::ok, 20, true, {});
      h.take_decisions();
    }
    h.now += 100;
    h.start_rpc("vital", row.budget);
    CHECK(h.only_decision().action == row.then);
  }
}

TEST_CASE("push-back: at once, by what is known, and never for good") {
  const auto jam = [](int failures) {
    return [=](LoadBalancerHarness& h) {
      both(h);
      for (int i = 0; i < failures; ++i) {
        const std::string id = h.start_rpc("vital");
        for (const Decision& d : h.take_decisions())
          if (d.action == Action::send_attempt)
            h.load_balancer.on_attempt_finished(h.now, id, 0, AttemptOutcome::timed_out, 100, false, {});
        h.take_decisions();
      }
    };
  };
  const auto two_in_hand = [](LoadBalancerHarness& h) {
    h.record_attempt("a", AttemptOutcome::ok, 20), h.update_endpoints({make_endpoint("a")});
    for (int i = 0; i < 2; ++i) h.start_rpc("vital"), h.take_decisions();
  };
  const auto errors = [](const LoadReport& told) {
    return [=](LoadBalancerHarness& h) {
      for (const char* server : {"a", "b"})
        for (int i = 0; i < 4; ++i) {
          h.update_endpoints({make_endpoint(server)});
          const std::string id = h.start_rpc("vital");
          for (const Decision& d : h.take_decisions())
            if (d.action == Action::send_attempt)
              h.load_balancer.on_attempt_finished(h.now, id, 0, AttemptOutcome::error, 5, true, told);
        }
      both(h);
    };
  };
  struct {
    const char* what;
    std::function<void(LoadBalancerHarness&)> before;
    const char* method;
    Action then;
  } table[] = {
      {"every server failed three times and more", errors({}), "vital", Action::reject},
      {"the same, but each says that it holds nothing", errors({0}), "vital", Action::send_attempt},
      {"the same, and each says that it holds much", errors({9}), "vital", Action::reject},
      {"an idle fleet", both, "read", Action::send_attempt},
      {"long after a jam nothing is locked out",
       [=](LoadBalancerHarness& h) { jam(40)(h), h.run_maintenance_until(h.now + 20000); }, "read",
       Action::send_attempt},
      {"a long first answer says little of the others",
       [](LoadBalancerHarness& h) { h.record_attempt("a", AttemptOutcome::ok, 90), both(h); }, "vital",
       Action::send_attempt},
      {"a queue too long for the less useful", two_in_hand, "read", Action::reject},
      {"is still short enough for the more useful", two_in_hand, "vital", Action::send_attempt},
  };
  for (const auto& row : table) {
    CAPTURE(row.what);
    LoadBalancerHarness h;
    row.before(h);
    h.start_rpc(row.method);
    CHECK(h.only_decision().action == row.then);
  }
}

TEST_CASE("a sidecar that knows nothing doesn't give up on its guess, one that saw slow answers does") {
  struct {
    const char* what;
    int slow_answers;
    Action then;
  } table[] = {{"nothing seen", 0, Action::send_attempt}, {"two slow answers seen", 2, Action::reject}};
  for (const auto& row : table) {
    CAPTURE(row.what);
    int so = 0;
    constexpr int seeds = 50;
    for (int seed = 1; seed <= seeds; ++seed) {
      // The guess is a quarter of the longest latency target: by it, half an RPC ahead of the short one, as
      // is assumed of servers not heard of, leaves the short one too little time.
      LoadBalancerConfig t = test_config();
      t.methods[1].latency_objective_ms = 160;
      t.probes_report_load = true;
      LoadBalancerHarness h(t, static_cast<std::uint64_t>(seed));
      for (int i = 0; i < row.slow_answers; ++i) h.record_attempt("a", AttemptOutcome::ok, 95);
      h.update_endpoints(make_endpoints('a', 'z'));
      h.now += 100;
      h.start_rpc("read");
      so += h.only_decision().action == row.then;
    }
    CHECK(so == seeds);
  }
}

TEST_CASE("further picks dry up where they do not succeed") {
  LoadBalancerHarness h;
  both(h);
  int early = 0, late = 0;
  for (int i = 0; i < 400; ++i) {
    h.now += 50;
    const std::string id = h.start_rpc("vital");
    for (int pick = 0; pick < 4; ++pick) {
      const auto all = h.take_decisions();
      if (all.empty() || all.front().action != Action::send_attempt) break;
      if (pick > 0) ++(i < 20 ? early : late);
      h.load_balancer.on_attempt_finished(h.now, id, pick, AttemptOutcome::connect_failed, 1, false, {});
    }
  }
  CHECK(early > 0);
  CHECK(late < 380 * 0.2);
}

TEST_CASE("a further pick is made only of what all sidecars leave to this one, a first one always") {
  struct {
    double may_spend;
    int picks;
  } table[] = {{0, 1}, {0.9, 1}, {1, 2}, {2, 3}, {100, 4}};
  for (const auto& t : table) {
    CAPTURE(t.may_spend);
    LoadBalancerHarness h;
    both(h);
    h.load_balancer.set_fleet_retry_quota(t.may_spend);
    const std::string id = h.start_rpc("vital");
    int picks = 0;
    for (Decision d = h.only_decision(); d.action == Action::send_attempt; d = h.only_decision())
      h.load_balancer.on_attempt_finished(h.now, id, picks++, AttemptOutcome::connect_failed, 1, false, {});
    CHECK(picks == t.picks);
    // A budget that is used up keeps no RPC from its first pick.
    h.start_rpc("vital");
    CHECK(h.only_decision().action == Action::send_attempt);
  }
}

TEST_CASE("a slow fleet is tried again after a silence, yet not by every quiet balancer at once") {
  int first = 0, second = 0;
  for (int seed = 1; seed <= 300; ++seed) {
    LoadBalancerHarness h(test_config(), seed);
    h.record_attempt("a", AttemptOutcome::ok, 90), h.record_attempt("b", AttemptOutcome::ok, 90), both(h),
        h.now += 2000;
    h.start_rpc("vital");
    const bool through = h.only_decision().action == Action::send_attempt;
    first += through;
    h.start_rpc("vital");
    second += through && h.only_decision().action == Action::send_attempt;
  }
  CHECK((first > 10 && first < 60));  // all 300 where silence alone decides
  CHECK(second == 0);
}

TEST_CASE("many quiet balancers: a cold server's share of them all stays under the multiple of its warmth") {
  // Each sends but one RPC, none can know what the others send, and all like the cold server best.
  LoadBalancerConfig t = test_config();
  t.slow_start_overload_factor = 2;
  t.cross_zone_cost = 1;
  int cold = 0;
  constexpr int balancers = 2000;
  for (int seed = 1; seed <= balancers; ++seed) {
    LoadBalancerHarness h(t, seed);
    h.now = 100000;
    auto fleet = make_endpoints('a', 'i', "there");
    fleet.push_back(make_endpoint("new", h.now - 16000));  // warmth 0.84 of 1
    h.update_endpoints(fleet);
    h.start_rpc("vital");
    cold += h.only_decision().endpoint_id == "new";
  }
  CHECK(cold > 0);  // nor is it left idle
  CHECK(cold < balancers / 10 * 2 * 0.84);
}

TEST_CASE("many cold servers beside a crowd: what one may not get goes to the others, within their bounds") {
  // One cold server is better than the rest by far, and all sidecars would have it; a report says why.
  LoadBalancerConfig t = test_config();
  t.probes_report_load = true;
  t.slow_start_overload_factor = 2;
  std::map<std::string, int> got;
  constexpr int balancers = 2000;
  for (int seed = 1; seed <= balancers; ++seed) {
    LoadBalancerHarness h(t, seed);
    h.now = 100000;
    std::vector<Endpoint> fleet = make_endpoints('a', 'd');
    for (char c = 'e'; c <= 'j'; ++c)
      fleet.push_back(make_endpoint(std::string(1, c), h.now - 10000));  // warmth 0.6
    h.update_endpoints(fleet);
    for (char c = 'a'; c <= 'd'; ++c)
      h.load_balancer.on_probe_finished(h.now, std::string(1, c), AttemptOutcome::ok, {1.5});
    for (char c = 'f'; c <= 'i'; ++c)
      h.load_balancer.on_probe_finished(h.now, std::string(1, c), AttemptOutcome::ok, {0.5});
    h.load_balancer.on_probe_finished(h.now, "e", AttemptOutcome::ok, {0.0});
    h.load_balancer.on_probe_finished(h.now, "j", AttemptOutcome::ok, {6.0});
    h.start_rpc("vital");
    const Decision d = h.only_decision();
    if (d.action == Action::send_attempt) ++got[d.endpoint_id];
  }
  const double bound = balancers * 0.5 * 2 * 0.6 / 7.6;  // half the multiple, its warmth of the fleet's
  int cold = 0;
  for (char c = 'e'; c <= 'i'; ++c) {
    CHECK(got[std::string(1, c)] < 1.3 * bound);
    cold += got[std::string(1, c)];
  }
  CHECK(cold > 3.5 * bound);
  CHECK(got["j"] < 0.2 * bound);  // crowded itself
}

TEST_CASE("balancers that know nothing ask servers drawn by chance, and stop asking where one is idle") {
  LoadBalancerConfig t = test_config();
  t.probing_enabled = t.probes_report_load = true;
  t.probe_cost = 0.01;
  std::map<std::string, int> asked;
  int probes = 0;
  for (int seed = 1; seed <= 200; ++seed) {
    LoadBalancerHarness h(t, seed);
    h.update_endpoints(make_endpoints('a', 'j'));
    h.start_rpc("vital");
    for (auto ask = h.take_decisions(); !ask.empty() && ask.front().action == Action::health_check;
         ask = h.take_decisions())
      for (const Decision& d : ask) {
        ++probes, ++asked[d.endpoint_id];
        h.load_balancer.on_probe_finished(h.now, d.endpoint_id, AttemptOutcome::ok,
                                          {d.endpoint_id < "f" ? 3.0 : 0.0});
      }
  }
  REQUIRE(probes > 0);
  for (const auto& [id, n] : asked) CHECK(n < probes / 4);  // ties by id would ask the same first ones
  CHECK(probes < 200 * 4);
}

TEST_CASE("a probe is paid with the price of the handshake that it causes, too") {
  int asking[2] = {};
  for (const double price : {0.0, 0.1})
    for (int seed = 1; seed <= 200; ++seed) {
      LoadBalancerConfig t = test_config();
      t.probing_enabled = t.probes_report_load = true;
      t.probe_cost = 0.01;
      t.handshake_cost = price;
      LoadBalancerHarness h(t, seed);
      h.update_endpoints(make_endpoints('a', 'j'));
      h.start_rpc("vital");
      const auto first = h.take_decisions();
      asking[price > 0] += !first.empty() && first.front().action == Action::health_check;
    }
  CHECK(asking[0] > 100);
  CHECK(asking[1] < asking[0] / 4);
}

TEST_CASE("recency: a balancer that sends seldom does not chase the server it heard of longest ago") {
  LoadBalancerConfig t = test_config();
  t.cross_zone_cost = 1;
  int changed = 0;
  constexpr int balancers = 400;
  for (int seed = 1; seed <= balancers; ++seed) {
    LoadBalancerHarness h(t, seed);
    auto fleet = make_endpoints('c', 'z', "there");  // no choice, but with them a turn takes 26 s
    fleet.push_back(make_endpoint("a")), fleet.push_back(make_endpoint("b"));
    h.update_endpoints(fleet);
    std::string last;
    for (int i = 0; i < 8; ++i) {  // one RPC a second
      const std::string id = h.start_rpc();
      const Decision d = h.only_decision();
      REQUIRE(d.action == Action::send_attempt);
      changed += i == 7 && d.endpoint_id != last;
      last = d.endpoint_id;
      h.load_balancer.on_attempt_finished(h.now, id, 0, AttemptOutcome::ok, 20, true, {});
      h.run_maintenance_until(h.now + 1000);
    }
  }
  CHECK(changed < balancers * 0.6);  // over 0.7 where recency doubles in a second
}

TEST_CASE("a popular key does not push its cold home over") {
  LoadBalancerConfig t = test_config();
  t.key_affinity = true;
  auto fleet = make_endpoints('a', 't');
  const auto sent = [&](int balancers) {  // all balancers' RPCs bring the one key
    std::map<std::string, int> got;
    for (int seed = 1; seed <= balancers; ++seed) {
      LoadBalancerHarness h(t, seed);
      h.now = 100000;
      h.update_endpoints(fleet);
      h.load_balancer.on_rpc_arrived(h.now, {"r", "vital", h.now + 300, 77});
      ++got[h.only_decision().endpoint_id];
    }
    return got;
  };
  const auto warm = sent(50);
  const auto home =
      std::max_element(warm.begin(), warm.end(), [](auto& x, auto& y) { return x.second < y.second; })->first;
  REQUIRE(warm.at(home) > 40);
  for (Endpoint& e : fleet) e.started_at_ms = e.id == home ? 100000 - 12000 : 0;  // warmth 0.68
  CHECK(sent(400)[home] < 400 * 0.68);  // all of them where the share is taken from the weights alone
}

TEST_CASE("ids that left are forgotten: memory stays as it is under ever new ones") {
  LoadBalancerHarness h;
  std::size_t early = 0, late = 0;
  for (int round = 0; round < 400; ++round) {
    std::vector<Endpoint> fleet;
    for (int i = 0; i < 20; ++i)
      fleet.push_back(make_endpoint("an endpoint with a long name, round " + std::to_string(round) + ", " +
                                    std::to_string(i)));
    h.update_endpoints(fleet);
    h.run_maintenance_until(h.now + 1000);
    (round < 200 ? early : late) = ::mallinfo2().uordblks;
  }
  CHECK(late <= early + 20000);  // 200 rounds of 20 are more than 1 MB
}

TEST_CASE(
    "a repeat says by when it has to be sent whole: inside the group's memory, however its connection "
    "comes") {
  struct {
    RetrySafety repeats;
    AttemptOutcome first;
    double by;  // after the first pick
  } table[] = {
      {RetrySafety::idempotency_key, AttemptOutcome::reset,
       180},  // nine tenths of the 200 that the group remembers
      {RetrySafety::idempotency_key, AttemptOutcome::rejected, 1e17},  // that one never ran
      {RetrySafety::idempotent, AttemptOutcome::reset, 1e17},
      {RetrySafety::non_idempotent, AttemptOutcome::connect_failed, 1e17},
  };
  for (const auto& row : table) {
    LoadBalancerHarness host(test_config(row.repeats));
    host.update_endpoints(make_endpoints('a', 'c'));
    const std::string id = host.start_rpc();
    const Decision first = host.only_decision();
    REQUIRE(first.action == Action::send_attempt);
    CHECK(first.send_deadline_ms > 1e17);
    const double sent = host.now;
    host.now += 7;
    host.load_balancer.on_attempt_finished(host.now, id, 0, row.first, 7, false, {});
    const Decision second = host.only_decision();
    REQUIRE(second.action == Action::send_attempt);
    CHECK(std::min(second.send_deadline_ms - sent, 1e17) == doctest::Approx(row.by));
  }
}
