// What the standing fleet test newly binds (docs/standing.md): an endpoint list that waits for discovery's
// return, clients that leave in a burst, slow starts under a whole fleet, file descriptors that idle clients
// fill. On real sockets but for the fleet, whose clock is stepped.
#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <random>

#include "support/parts.h"

using namespace host;

namespace {

enum class Outage { refused, connect_hangs, silent, half_response, malformed_response, error_status };
constexpr std::pair<Outage, const char*> outages[] = {{Outage::refused, "refused"},
                                                      {Outage::connect_hangs, "a connect that hangs"},
                                                      {Outage::silent, "given up without a response"},
                                                      {Outage::half_response, "half a response"},
                                                      {Outage::malformed_response, "a malformed response"},
                                                      {Outage::error_status, "an error status"}};

std::string response_during(Outage outage) {
  switch (outage) {
    case Outage::half_response:
      return "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{\"generation\"";
    case Outage::malformed_response:
      return "rubbish\r\n\r\n";
    case Outage::error_status:
      return response_text(500, "");
    default:
      return "silent";
  }
}

// A discovery agent that fails in one way until it recovers, and then answers one poll.
struct FailingAgent {
  FakeServer server;
  std::vector<FileDescriptor> backlog_fillers;

  FailingAgent(EventLoop& event_loop, Outage outage)
      : server(event_loop, std::vector<std::string>(1000, response_during(outage)),
               outage == Outage::refused ? bind_on_loopback() : listen_on_loopback()) {
    if (outage != Outage::connect_hangs) return;
    server.listener_watch.cancel();
    backlog_fillers = fill_backlog(server.listener);
  }
  void recover(const std::string& response) {
    server.responses.resize(server.request_targets.size());
    server.responses.push_back(response);
    backlog_fillers.clear();
    ::listen(server.listener.get(), 100);
    server.start_accepting();
  }
};

// A sidecar whose load balancer decides when to poll, with an endpoint list that is known from before.
struct PollingSidecar {
  EventLoop event_loop;
  std::ostringstream log_text;
  Logger logger{log_text, LogLevel::error};
  Counters counters;
  FileDescriptorBudget budget{10};
  UpstreamPool pool{event_loop, budget, counters, logger, {}, [] { return false; }};
  RequestDispatcher dispatcher;
  std::string updates;
  DiscoveryClient discovery_client;

  static LoadBalancerConfig polling_config(double sidecar_count) {
    LoadBalancerConfig config = test_config();
    config.must_poll_endpoints = true;
    config.max_poll_silence_ms = 10000;  // the default of the settings
    config.sidecar_count = sidecar_count;
    return config;
  }
  PollingSidecar(const sockaddr_in& agent_address, double sidecar_count, std::uint64_t seed)
      : dispatcher(event_loop, pool, counters, logger, polling_config(sidecar_count), seed),
        discovery_client(
            event_loop, budget, counters, logger, agent_address, "agent", seed + 1, 500,
            [this](const EndpointListUpdate& update) { apply(update); },
            [this] { dispatcher.endpoint_poll_failed(); }) {
    dispatcher.update_endpoints(true, false, {make_endpoint("a"), make_endpoint("b")});
    discovery_client.set_known_version(9);
    dispatcher.on_endpoint_poll([this] { discovery_client.poll(); });
  }
  void apply(const EndpointListUpdate& update) {
    updates += (update.complete ? "=" : "+") + std::to_string(update.version);
    std::vector<Endpoint> endpoints;
    for (const auto& entry : update.entries) endpoints.push_back(entry.endpoint);
    dispatcher.update_endpoints(update.complete, true, endpoints);
  }
};

// A change counts as known to the sidecar this long after discovery had it and could be reached.
constexpr double update_deadline_ms = 6000;

}  // namespace

TEST_CASE(
    "a pushed change that waits at the agent is in force 3 s after its return, whatever failed before") {
  struct Row {
    const char* outage_name = "";
    bool knows_version = false;
    bool switches_agent = false;
    DiscoveryHarness harness;
    std::unique_ptr<FailingAgent> agent;
    std::unique_ptr<FailingAgent> previous_agent;
    double update_after_ms = -1;

    bool gets_changes() const { return knows_version && !switches_agent; }
  };
  std::vector<std::unique_ptr<Row>> rows;
  for (const auto& [outage, outage_name] : outages)
    for (const bool knows_version : {false, true})
      for (const bool switches_agent : {false, true}) {
        rows.push_back(std::make_unique<Row>());
        Row& row = *rows.back();
        row.outage_name = outage_name;
        row.knows_version = knows_version;
        row.switches_agent = switches_agent;
        row.harness.grace_ms = knows_version ? 300 : 1000;
        row.agent = std::make_unique<FailingAgent>(row.harness.loop, outage);
        if (switches_agent) row.previous_agent = std::make_unique<FailingAgent>(row.harness.loop, outage);
        const FailingAgent& first_agent = switches_agent ? *row.previous_agent : *row.agent;
        row.harness.start(first_agent.server.address, true,
                          knows_version ? std::optional<std::uint64_t>(9) : std::nullopt);
      }
  const EventLoop& clock = rows[0]->harness.loop;
  const double started_at_ms = clock.now();
  bool has_switched = false;
  while (clock.now() < started_at_ms + 2000) {
    for (auto& row : rows) row->harness.loop.run_once(0);
    // SIGHUP in the middle of the outage, to an agent that fails as well.
    if (!has_switched && clock.now() > started_at_ms + 1000) {
      has_switched = true;
      for (auto& row : rows)
        if (row->switches_agent) row->harness.client->switch_agent(row->agent->server.address, "after");
    }
  }
  for (auto& row : rows) {
    CHECK(row->harness.updates.empty());
    CHECK(row->harness.counters.endpoint_poll_failures >= 3);
    row->agent->recover(row->gets_changes() ? draining_version_10 : list_version_9);
  }
  const double recovered_at_ms = clock.now();
  while (clock.now() < recovered_at_ms + 3000)
    for (auto& row : rows) {
      row->harness.loop.run_once(0);
      if (row->update_after_ms < 0 && !row->harness.updates.empty())
        row->update_after_ms = clock.now() - recovered_at_ms;
    }
  for (auto& row : rows) {
    CAPTURE(std::string(row->outage_name));
    CAPTURE(row->knows_version);
    CAPTURE(row->switches_agent);
    CHECK(row->update_after_ms >= 0);
    CHECK(row->harness.updates == (row->gets_changes() ? "+10b" : "=9ab"));
    CHECK(row->harness.failure_count == 0);
  }
}

TEST_CASE("a change that is asked for is in force 6 s after discovery's return, however many ask for it") {
  struct Row {
    const char* outage_name = "";
    int sidecar_count = 0;
    EventLoop event_loop;
    std::unique_ptr<FailingAgent> agent;
    std::unique_ptr<PollingSidecar> sidecar;
    double update_after_ms = -1;
  };
  std::vector<std::unique_ptr<Row>> rows;
  for (const auto& [outage, outage_name] : outages)
    for (const int sidecar_count : {1, 30, 300})
      for (const std::uint64_t seed : {1, 2, 3}) {
        rows.push_back(std::make_unique<Row>());
        Row& row = *rows.back();
        row.outage_name = outage_name;
        row.sidecar_count = sidecar_count;
        row.agent = std::make_unique<FailingAgent>(row.event_loop, outage);
        row.sidecar = std::make_unique<PollingSidecar>(row.agent->server.address, sidecar_count, seed);
      }
  const EventLoop& clock = rows[0]->event_loop;
  const double started_at_ms = clock.now();
  const auto run_once = [&] {
    for (auto& row : rows) {
      row->event_loop.run_once(0);
      row->sidecar->event_loop.run_once(0);
    }
  };
  while (clock.now() < started_at_ms + 8000) run_once();
  for (auto& row : rows) {
    CHECK(row->sidecar->updates.empty());
    CHECK(row->sidecar->counters.endpoint_poll_failures >= 1);
    row->agent->recover(draining_version_10);
  }
  const double recovered_at_ms = clock.now();
  while (clock.now() < recovered_at_ms + update_deadline_ms) {
    run_once();
    for (auto& row : rows)
      if (row->update_after_ms < 0 && !row->sidecar->updates.empty())
        row->update_after_ms = clock.now() - recovered_at_ms;
  }
  for (auto& row : rows) {
    CAPTURE(std::string(row->outage_name));
    CAPTURE(row->sidecar_count);
    CHECK(row->update_after_ms >= 0);
  }
}

TEST_CASE(
    "where the balancer asks, what SIGHUP leads to is in force 4 s after it, though a first call fails") {
  struct Row {
    int sidecar_count = 0;
    EventLoop event_loop;
    std::unique_ptr<FakeServer> first_agent;
    std::unique_ptr<FakeServer> second_agent;
    std::unique_ptr<PollingSidecar> sidecar;
  };
  std::vector<std::unique_ptr<Row>> rows;
  for (const int sidecar_count : {1, 30, 300})
    for (const std::uint64_t seed : {1, 2, 3, 4}) {
      rows.push_back(std::make_unique<Row>());
      Row& row = *rows.back();
      row.sidecar_count = sidecar_count;
      row.first_agent = std::make_unique<FakeServer>(
          row.event_loop, std::vector<std::string>{endpoint_list_response(9, false, "")});
      row.second_agent = std::make_unique<FakeServer>(
          row.event_loop, std::vector<std::string>{"close", endpoint_list_response(3, true, "")});
      row.sidecar = std::make_unique<PollingSidecar>(row.first_agent->address, sidecar_count, seed);
    }
  const EventLoop& clock = rows[0]->event_loop;
  const auto run_rows_until = [&](double timeout_ms, const std::function<bool()>& condition) {
    for (const double end_ms = clock.now() + timeout_ms; !condition() && clock.now() < end_ms;)
      for (auto& row : rows) {
        row->event_loop.run_once(0);
        row->sidecar->event_loop.run_once(0);
      }
  };
  const auto all_have_updates = [&](const std::string& updates) {
    return std::all_of(rows.begin(), rows.end(),
                       [&](const auto& row) { return row->sidecar->updates == updates; });
  };
  run_rows_until(update_deadline_ms, [&] { return all_have_updates("+9"); });
  REQUIRE(all_have_updates("+9"));
  for (auto& row : rows) row->sidecar->discovery_client.switch_agent(row->second_agent->address, "after");
  run_rows_until(4000, [&] { return all_have_updates("+9=3"); });
  for (auto& row : rows) {
    CAPTURE(row->sidecar_count);
    CHECK(row->sidecar->updates == "+9=3");
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
  for (const auto& row : outages) {
    const Outage outage = row.first;
    CAPTURE(std::string(row.second));
    SidecarHarness harness(customer_config(true, true, RetrySafety::idempotent), slow_upstream_config, 24);
    FailingAgent agent(harness.loop, outage);
    std::string updates;
    DiscoveryClient discovery_client(
        harness.loop, harness.budget, harness.counters, harness.logger, agent.server.address, "agent", 1, 500,
        [&](const EndpointListUpdate& update) { updates += std::to_string(update.version); }, [] {});
    discovery_client.enable_continuous_polling();
    discovery_client.poll();
    std::vector<std::unique_ptr<TestConnection>> idle_clients;
    for (int i = 0; i < 60; ++i) {
      idle_clients.push_back(std::make_unique<TestConnection>(harness.loop, harness.client_budget,
                                                              start_connect(harness.address), response));
      run_for(harness.loop, 5);
    }
    REQUIRE(run_until(harness.loop, [&] { return harness.counters.endpoint_poll_failures >= 2; }));
    harness.budget.limit = harness.budget.open_count;  // and whatever else holds the rest
    agent.recover(list_version_9);
    CHECK(run_until(harness.loop, [&] { return updates == "9"; }));
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
