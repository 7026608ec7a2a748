// What the standing fleet test newly binds (docs/standing.md): a list that waits for discovery's return, who
// leaves in a burst, cold servers under a whole fleet, descriptors that idle clients fill. On real sockets
// but for the fleet, whose clock is stepped.
#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <random>

#include "support/parts.h"

using namespace host;

namespace {

enum class Outage { refused, hangs, silent, half, rubbish, error };
constexpr std::pair<Outage, const char*> outages[] = {{Outage::refused, "refused"},
                                                      {Outage::hangs, "a connect that hangs"},
                                                      {Outage::silent, "given up without an answer"},
                                                      {Outage::half, "half an answer"},
                                                      {Outage::rubbish, "rubbish"},
                                                      {Outage::error, "an error"}};

std::string said_in(Outage how) {
  return how == Outage::half      ? "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{\"generation\""
         : how == Outage::rubbish ? "rubbish\r\n\r\n"
         : how == Outage::error   ? response_text(500, "")
                                  : "silent";
}

// An agent that fails so until it is back, and then tells this, once.
struct FailingAgent {
  FakeServer at;
  std::vector<FileDescriptor> filling;

  FailingAgent(EventLoop& runs, Outage how)
      : at(runs, std::vector<std::string>(1000, said_in(how)),
           how == Outage::refused ? bind_on_loopback() : listen_on_loopback()) {
    if (how != Outage::hangs) return;
    at.listener_watch.cancel();
    filling = fill_backlog(at.listener);
  }
  void back(const std::string& tells) {
    at.responses.resize(at.request_targets.size());
    at.responses.push_back(tells);
    filling.clear();
    ::listen(at.listener.get(), 100);
    at.start_accepting();
  }
};

// A sidecar whose balancer asks for the list itself, with one that is known from before.
struct Asking {
  EventLoop runs;
  std::ostringstream log_text;
  Logger lines{log_text, LogLevel::error};
  Counters counts;
  FileDescriptorBudget budget{10};
  UpstreamPool endpoints{runs, budget, counts, lines, {}, [] { return false; }};
  RequestDispatcher rpcs;
  std::string heard;
  DiscoveryClient lists;

  static LoadBalancerConfig asks(double sidecars) {
    LoadBalancerConfig t = test_config();
    t.must_poll_endpoints = true;
    t.max_poll_silence_ms = 10000;  // as where the settings say nothing
    t.sidecar_count = sidecars;
    return t;
  }
  Asking(const sockaddr_in& agent, double sidecars, std::uint64_t seed)
      : rpcs(runs, endpoints, counts, lines, asks(sidecars), seed),
        lists(
            runs, budget, counts, lines, agent, "agent", seed + 1, 500,
            [this](const EndpointListUpdate& r) {
              heard += (r.complete ? "=" : "+") + std::to_string(r.version);
              std::vector<Endpoint> entries;
              for (const auto& e : r.entries) entries.push_back(e.endpoint);
              rpcs.update_endpoints(r.complete, true, entries);
            },
            [this] { rpcs.endpoint_poll_failed(); }) {
    rpcs.update_endpoints(true, false, {make_endpoint("a"), make_endpoint("b")});
    lists.set_known_version(9);
    rpcs.on_endpoint_poll([this] { lists.poll(); });
  }
};

constexpr double told_after = 6000;  // ms, since discovery had it and could be reached

}  // namespace

TEST_CASE(
    "a pushed change that waits at the agent is in force 3 s after its return, whatever failed before") {
  struct Row {
    const char* what;
    bool known, moves;
    DiscoveryHarness f;
    std::unique_ptr<FailingAgent> agent, before;
    double ms = -1;
  };
  std::vector<std::unique_ptr<Row>> all;
  for (const auto& [how, what] : outages)
    for (const bool known : {false, true})
      for (const bool moves : {false, true}) {
        all.push_back(std::make_unique<Row>());
        Row& r = *all.back();
        r.what = what;
        r.known = known;
        r.moves = moves;
        r.f.grace_ms = known ? 300 : 1000;
        r.agent = std::make_unique<FailingAgent>(r.f.loop, how);
        if (moves) r.before = std::make_unique<FailingAgent>(r.f.loop, how);
        r.f.start(moves ? r.before->at.address : r.agent->at.address, true,
                  known ? std::optional<std::uint64_t>(9) : std::nullopt);
      }
  const EventLoop& clock = all[0]->f.loop;
  const double began = clock.now();
  bool moved = false;
  while (clock.now() < began + 2000) {
    for (auto& r : all) r->f.loop.run_once(0);
    // SIGHUP in the middle of it, to one that fails as well.
    if (!moved && clock.now() > began + 1000) {
      moved = true;
      for (auto& r : all)
        if (r->moves) r->f.client->switch_agent(r->agent->at.address, "after");
    }
  }
  for (auto& r : all) {
    CHECK(r->f.updates.empty());
    CHECK(r->f.counters.endpoint_poll_failures >= 3);
    r->agent->back(r->known && !r->moves ? draining_version_10 : list_version_9);
  }
  const double back = clock.now();
  while (clock.now() < back + 3000)
    for (auto& r : all) {
      r->f.loop.run_once(0);
      if (r->ms < 0 && !r->f.updates.empty()) r->ms = clock.now() - back;
    }
  for (auto& r : all) {
    CAPTURE(std::string(r->what));
    CAPTURE(r->known);
    CAPTURE(r->moves);
    CHECK(r->ms >= 0);
    CHECK(r->f.updates == (r->known && !r->moves ? "+10b" : "=9ab"));
    CHECK(r->f.failure_count == 0);
  }
}

TEST_CASE("a change that is asked for is in force 6 s after discovery's return, however many ask for it") {
  struct Row {
    const char* what;
    int sidecars;
    EventLoop runs;
    std::unique_ptr<FailingAgent> agent;
    std::unique_ptr<Asking> with;
    double ms = -1;
  };
  std::vector<std::unique_ptr<Row>> all;
  for (const auto& [how, what] : outages)
    for (const int sidecars : {1, 30, 300})
      for (const std::uint64_t seed : {1, 2, 3}) {
        all.push_back(std::make_unique<Row>());
        Row& r = *all.back();
        r.what = what;
        r.sidecars = sidecars;
        r.agent = std::make_unique<FailingAgent>(r.runs, how);
        r.with = std::make_unique<Asking>(r.agent->at.address, sidecars, seed);
      }
  const EventLoop& clock = all[0]->runs;
  const double began = clock.now();
  const auto turn = [&] {
    for (auto& r : all) {
      r->runs.run_once(0);
      r->with->runs.run_once(0);
    }
  };
  while (clock.now() < began + 8000) turn();
  for (auto& r : all) {
    CHECK(r->with->heard.empty());
    CHECK(r->with->counts.endpoint_poll_failures >= 1);
    r->agent->back(draining_version_10);
  }
  const double back = clock.now();
  while (clock.now() < back + told_after) {
    turn();
    for (auto& r : all)
      if (r->ms < 0 && !r->with->heard.empty()) r->ms = clock.now() - back;
  }
  for (auto& r : all) {
    CAPTURE(std::string(r->what));
    CAPTURE(r->sidecars);
    CHECK(r->ms >= 0);
  }
}

TEST_CASE(
    "where the balancer asks, what SIGHUP leads to is in force 4 s after it, though a first call fails") {
  struct Row {
    int sidecars;
    EventLoop runs;
    std::unique_ptr<FakeServer> before, after;
    std::unique_ptr<Asking> with;
  };
  std::vector<std::unique_ptr<Row>> all;
  for (const int sidecars : {1, 30, 300})
    for (const std::uint64_t seed : {1, 2, 3, 4}) {
      all.push_back(std::make_unique<Row>());
      Row& r = *all.back();
      r.sidecars = sidecars;
      r.before = std::make_unique<FakeServer>(r.runs,
                                              std::vector<std::string>{endpoint_list_response(9, false, "")});
      r.after = std::make_unique<FakeServer>(
          r.runs, std::vector<std::string>{"close", endpoint_list_response(3, true, "")});
      r.with = std::make_unique<Asking>(r.before->address, sidecars, seed);
    }
  const EventLoop& clock = all[0]->runs;
  const auto turn = [&](double ms, const std::function<bool()>& so) {
    for (const double end = clock.now() + ms; !so() && clock.now() < end;)
      for (auto& r : all) {
        r->runs.run_once(0);
        r->with->runs.run_once(0);
      }
  };
  const auto each_heard = [&](const std::string& what) {
    return std::all_of(all.begin(), all.end(), [&](const auto& r) { return r->with->heard == what; });
  };
  turn(told_after, [&] { return each_heard("+9"); });
  REQUIRE(each_heard("+9"));
  for (auto& r : all) r->with->lists.switch_agent(r->after->address, "after");
  turn(4000, [&] { return each_heard("+9=3"); });
  for (auto& r : all) {
    CAPTURE(r->sidecars);
    CHECK(r->with->heard == "+9=3");
  }
}

namespace {

enum class Leaves { not_at_all, by_fin, by_reset, by_half_close };

void leave(TestConnection& c, Leaves by) {
  if (by == Leaves::not_at_all) return;
  if (by == Leaves::by_half_close) return c.stream->shutdown_write();
  if (by == Leaves::by_reset) c.stream->reset_on_close();
  c.close();
}

// As many ids at one place: what a sidecar sends to a single server at once is bounded.
void list_many(SidecarHarness& h, const std::string& address, std::size_t n, bool asked = false) {
  std::vector<Endpoint> all;
  for (std::size_t i = 0; i < n; ++i) {
    all.push_back(make_endpoint(address + std::to_string(i)));
    h.upstreams.update_endpoint(all.back().id, address);
  }
  h.dispatcher.update_endpoints(true, asked, all);
}

// Clients that each send three requests in one breath; every fourth stays, the others leave each in its way.
struct Burst {
  std::vector<TestConnection*> all;
  std::size_t stay = 0;

  Burst(SidecarHarness& h, std::size_t n) {
    for (std::size_t i = 0; i < n; ++i) all.push_back(&h.connect_client());
    for (TestConnection* c : all)
      c->send(rpc_request_text("read", 3900) + rpc_request_text("read", 3900) +
              rpc_request_text("read", 3900));
  }
  std::size_t go() {
    for (std::size_t i = 0; i < all.size(); ++i) {
      leave(*all[i], static_cast<Leaves>(i % 4));
      stay += i % 4 == 0;
    }
    return all.size() - stay;
  }
};

}  // namespace

TEST_CASE("a burst of pipelined clients, most of whom leave while their first picks connect: theirs stay") {
  for (const bool cancels : {false, true}) {
    SidecarHarness h(customer_config(true, cancels, RetrySafety::non_idempotent), slow_upstream_config);
    StalledListener late;
    list_many(h, address_text(late.address), 12);
    Burst clients(h, 12);
    REQUIRE(run_until(h.loop, [&] { return h.counters.connections_opened == 12; }));
    const std::size_t leave = clients.go();
    CHECK(run_until(h.loop, [&] { return static_cast<std::size_t>(h.counters.rpcs_abandoned) == leave; }));
    run_for(h.loop, 120);  // what begins from now on is a break
    late.release();
    for (const double end = h.loop.now() + 1800; h.loop.now() < end; late.receive()) h.loop.run_once(2);
    CHECK(late.request_count() == clients.stay);
    CHECK(h.dispatcher.in_flight() == clients.stay);
  }
}

TEST_CASE("a burst of clients who leave while a further attempt of theirs connects, or is still to begin") {
  for (const bool cancels : {false, true})
    for (const bool connects : {false, true}) {
      CAPTURE(cancels);
      CAPTURE(connects);
      constexpr std::size_t n = 6;  // as many as may have a further attempt at once
      SidecarHarness h(customer_config(true, cancels, RetrySafety::idempotent), slow_upstream_config);
      FakeServer first(h.loop, {});
      StalledListener late;
      FakeServer quick(h.loop, std::vector<std::string>(100, "silent"));
      list_many(h, address_text(first.address), n);
      Burst clients(h, n);
      REQUIRE(run_until(h.loop, [&] { return first.request_targets.size() == n; }));
      list_many(h, address_text(connects ? late.address : quick.address), n, true);
      const auto fail_first = [&] {
        for (auto& s : first.connections) s->close();
      };
      if (connects) {
        fail_first();
        REQUIRE(run_until(h.loop, [&] { return h.counters.connections_opened == 2 * n; }));
      }
      const std::size_t leave = clients.go();
      CHECK(run_until(h.loop, [&] { return static_cast<std::size_t>(h.counters.rpcs_abandoned) == leave; }));
      run_for(h.loop, 120);
      if (!connects) fail_first();
      late.release();
      for (const double end = h.loop.now() + 1800; h.loop.now() < end; late.receive()) h.loop.run_once(2);
      CHECK(late.request_count() + quick.request_targets.size() == clients.stay);
      CHECK(h.dispatcher.in_flight() == clients.stay);
    }
}

TEST_CASE("who left while waiting for room is owed nothing once there is some, though a connection rests") {
  for (const bool cancels : {false, true})
    for (const Leaves by : {Leaves::not_at_all, Leaves::by_fin, Leaves::by_reset, Leaves::by_half_close}) {
      CAPTURE(cancels);
      CAPTURE(static_cast<int>(by));
      // One descriptor for a client, one for its pick: the second client waits in the backlog.
      SidecarHarness h(customer_config(true, cancels, RetrySafety::non_idempotent), slow_upstream_config, 2);
      FakeServer endpoint(h.loop, {"silent", "silent"});
      h.update_endpoints(address_text(endpoint.address));
      TestConnection& first = h.connect_client();
      first.send(rpc_request_text("read", 3900));
      REQUIRE(run_until(h.loop, [&] { return endpoint.request_targets.size() == 1; }));
      TestConnection& waits = h.connect_client();
      waits.send(rpc_request_text("read", 3900));
      run_for(h.loop, 20);
      leave(waits, by);
      run_for(h.loop, 150);
      REQUIRE(h.counters.connections_accepted == 1);
      endpoint.connections[0]->send(served_response);
      REQUIRE(run_until(h.loop, [&] { return h.counters.connections_accepted == 2; }));
      run_for(h.loop, 50);
      CHECK(endpoint.request_targets.size() == (by == Leaves::not_at_all ? 2 : 1));
    }
}

TEST_CASE("who connected, asked and left before the process came to it is owed nothing: none of a burst") {
  for (const bool cancels : {false, true}) {
    SidecarHarness h(customer_config(true, cancels, RetrySafety::non_idempotent), slow_upstream_config);
    FakeServer endpoint(h.loop, std::vector<std::string>(100, served_response));
    h.update_endpoints(address_text(endpoint.address));
    {
      Burst warm(h, 4);
      REQUIRE(run_until(h.loop, [&] { return h.counters.rpcs_ok == 12; }));
      for (TestConnection* c : warm.all) c->close();
      run_for(h.loop, 50);
    }
    const std::size_t before = endpoint.request_targets.size();
    REQUIRE(h.dispatcher.in_flight() == 0);
    std::vector<std::unique_ptr<TestConnection>> all;  // in the backlog
    for (int i = 0; i < 12; ++i) {
      all.push_back(
          std::make_unique<TestConnection>(h.loop, h.client_budget, start_connect(h.address), response));
      all.back()->send(rpc_request_text("read", 3900) + rpc_request_text("read", 3900) +
                       rpc_request_text("read", 3900));
      leave(*all.back(), static_cast<Leaves>(i % 4));
    }
    for (const double end = h.loop.now() + 120; h.loop.now() < end;) continue;  // this process gets no core
    run_for(h.loop, 100);
    CHECK(endpoint.request_targets.size() - before == 9);  // of the three who stay, three each
  }
}

TEST_CASE("idle clients fill the descriptors while discovery is down: its list is reached when it is back") {
  for (const auto& outage : outages) {
    const auto& how = outage.first;
    const auto& what = outage.second;
    CAPTURE(std::string(what));
    SidecarHarness h(customer_config(true, true, RetrySafety::idempotent), slow_upstream_config, 24);
    FailingAgent agent(h.loop, how);
    std::string heard;
    DiscoveryClient lists(
        h.loop, h.budget, h.counters, h.logger, agent.at.address, "agent", 1, 500,
        [&](const EndpointListUpdate& r) { heard += std::to_string(r.version); }, [] {});
    lists.enable_continuous_polling();
    lists.poll();
    std::vector<std::unique_ptr<TestConnection>> idle;
    for (int i = 0; i < 60; ++i) {
      idle.push_back(
          std::make_unique<TestConnection>(h.loop, h.client_budget, start_connect(h.address), response));
      run_for(h.loop, 5);
    }
    REQUIRE(run_until(h.loop, [&] { return h.counters.endpoint_poll_failures >= 2; }));
    h.budget.limit = h.budget.open_count;  // and whatever else holds the rest
    agent.back(list_version_9);
    CHECK(run_until(h.loop, [&] { return heard == "9"; }));
  }
}

TEST_CASE("a cold server under a fleet of sidecars: what all send it stays within 2 roots of its N, and 2") {
  struct {
    const char* what;
    int sidecars;
    double a_second;  // RPCs, at each sidecar
    bool in_bursts;   // three seconds of little, one of twice the mean
  } table[] = {{"20 sidecars", 20, 20, false},
               {"30 sidecars", 30, 20, false},
               {"30 sidecars, bursts", 30, 20, true},
               {"300 sidecars of little traffic, bursts", 300, 2, true}};
  constexpr int warm = 16, cold = 4;
  for (const auto& t : table) {
    CAPTURE(std::string(t.what));
    LoadBalancerConfig land = test_config();
    land.sidecar_count = t.sidecars;
    land.cross_zone_cost = 1;  // all like the cold ones best
    std::vector<std::unique_ptr<LoadBalancerHarness>> fleet;
    std::vector<Endpoint> before = make_endpoints('a', static_cast<char>('a' + warm - 1), "there"),
                          after = before;
    constexpr double joined = 103000;
    for (int i = 0; i < cold; ++i) after.push_back(make_endpoint("new" + std::to_string(i), joined));
    for (int i = 0; i < t.sidecars; ++i) {
      fleet.push_back(std::make_unique<LoadBalancerHarness>(land, i + 1));
      fleet.back()->now = 100000;
      fleet.back()->update_endpoints(before);
    }
    std::mt19937 chance(7);
    std::map<std::string, std::vector<double>> sent;
    struct Running {
      double end;
      int at;
      std::string id;
      int pick;
    };
    std::vector<Running> out;
    bool told = false;
    for (double now = 100000; now < joined + 12000; now += 10) {
      if (!told && now >= joined) {
        told = true;
        for (auto& h : fleet) h->now = now, h->update_endpoints(after);
      }
      const bool much = std::fmod(now, 4000) >= 3000;
      const double rate = t.a_second * (t.in_bursts ? (much ? 2 : 2.0 / 3) : 1);
      for (int i = 0; i < t.sidecars; ++i) {
        LoadBalancerHarness& h = *fleet[static_cast<std::size_t>(i)];
        h.now = now;
        if (std::fmod(now, 100) == 0) h.load_balancer.on_timer(now, 1);
        h.load_balancer.on_timer(now, 2);
        if (std::uniform_real_distribution<double>(0, 1)(chance) < rate / 100) h.start_rpc("vital");
        for (const Decision& d : h.take_decisions()) {
          if (d.action != Action::send_attempt) continue;
          if (d.endpoint_id.starts_with("new")) sent[d.endpoint_id].push_back(now);
          out.push_back({now + 20, i, d.rpc_id, d.attempt_index});
        }
      }
      std::erase_if(out, [&](const Running& r) {
        if (r.end > now) return false;
        LoadBalancerHarness& h = *fleet[static_cast<std::size_t>(r.at)];
        h.load_balancer.on_attempt_finished(now, r.id, r.pick, AttemptOutcome::ok, 20, true, {});
        h.take_decisions();
        return true;
      });
    }
    // A server of the mean can do what is sent to the mean; a burst makes it no stronger.
    const double mean = t.sidecars * t.a_second / 1000 / (warm + cold) * land.slow_start_burst_ms;
    std::size_t all = 0;
    for (const auto& sends : sent) {
      const auto& id = sends.first;
      const auto& times = sends.second;
      all += times.size();
      double worst = 0;
      for (std::size_t i = 0, from = 0; i < times.size(); ++i) {
        while (times[from] <= times[i] - land.slow_start_burst_ms) ++from;
        const double warmth = land.slow_start_initial_weight + (1 - land.slow_start_initial_weight) *
                                                                   (times[i] - joined) /
                                                                   land.slow_start_duration_ms;
        const double n = land.slow_start_overload_factor * warmth * mean;
        worst = std::max(worst, (static_cast<double>(i - from + 1) - 2) / (n + 2 * std::sqrt(n)));
      }
      CAPTURE(id);
      CHECK(worst <= 1);
    }
    CHECK(all > 100);  // nor are they left idle
  }
}

TEST_CASE(
    "an answer of no length that is reset is not whole: repeated where it may be, else told to have failed") {
  enum class Ends { by_end, by_reset, by_reset_later };
  for (const Ends how : {Ends::by_end, Ends::by_reset, Ends::by_reset_later})
    for (const RetrySafety repeats : {RetrySafety::idempotent, RetrySafety::non_idempotent}) {
      CAPTURE(static_cast<int>(how));
      SidecarHarness h(customer_config(true, true, repeats), slow_upstream_config);
      FakeServer endpoint(h.loop, {"silent", served_response});
      h.update_endpoints(address_text(endpoint.address));
      TestConnection& c = h.connect_client();
      c.send(rpc_request_text("read", 3900));
      REQUIRE(run_until(h.loop, [&] { return endpoint.request_targets.size() == 1; }));
      endpoint.connections[0]->send("HTTP/1.1 200 OK\r\n\r\nhalf");
      if (how == Ends::by_reset_later) run_for(h.loop, 50);
      CHECK(c.received.empty());
      if (how != Ends::by_end) endpoint.connections[0]->stream->reset_on_close();
      endpoint.connections[0]->close();
      REQUIRE(run_until(h.loop, [&] { return c.received.size() == 1; }));
      const bool again = how != Ends::by_end && repeats == RetrySafety::idempotent;
      CHECK(c.received[0].status == (how == Ends::by_end || again ? 200 : 502));
      if (how == Ends::by_end) CHECK(c.received[0].body() == "half");
      if (again) CHECK(c.received[0].body() == "served");
      CHECK(endpoint.request_targets.size() == (again ? 2 : 1));
      CHECK(every_rpc_answered_once(h));
    }
}
