// Cases that the standing fleet test has added (docs/standing.md): an endpoint list that waits for
// discovery's recovery, clients that disconnect in a burst, slow starts under a whole fleet, and file
// descriptors held by idle clients. All use real sockets, except that the fleet runs on a simulated clock.
//
// The two tests of polled lists guard against too long a wait after a failed poll. The load balancer's
// waits doubled with each failure up to 15 s and began at 2.5 to 7.5 s with 300 sidecars, whatever the failed
// poll had cost its service. After an outage of 8 s of any kind, 14 of 54 sidecars, in rows with 300 sidecars
// and with 1, had no list 6 s after the recovery; the 4 rows with 300 had none 4 s after SIGHUP when the
// first poll failed. In the debug log, "poll failed after X ms" was followed by the next "polls" up to 15 s
// later, after the same wait for a refused connect and for silence.
#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "support/failing_agent.h"
#include "support/fleet_simulation.h"
#include "support/parts.h"

using namespace host;

namespace {

// A sidecar counts as knowing a change this long after discovery had the change and could be reached.
constexpr double update_deadline_ms = 6000;

}  // namespace

TEST_CASE("with continuous polling a change is applied within 3 s of the agent's recovery from any outage") {
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
    // In the middle of the outage, SIGHUP switches to an agent that fails as well.
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

TEST_CASE(
    "if the load balancer decides on polls a change is applied within 6 s of the agent's recovery at any "
    "fleet size") {
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
    "if the load balancer decides on polls a new agent's list is applied within 4 s of SIGHUP although the "
    "first poll fails") {
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

enum class Departure { none, by_fin, by_reset, by_half_close };
constexpr Departure departures[] = {Departure::none, Departure::by_fin, Departure::by_reset,
                                    Departure::by_half_close};

void depart(TestConnection& client, Departure departure) {
  switch (departure) {
    case Departure::none:
      return;
    case Departure::by_half_close:
      client.stream->shutdown_write();
      return;
    case Departure::by_reset:
      client.stream->reset_on_close();
      client.close();
      return;
    case Departure::by_fin:
      client.close();
      return;
  }
}

// Each request has a unique call id.
std::string long_request() { return rpc_request_text("read", 3900); }
std::string three_long_requests() { return long_request() + long_request() + long_request(); }

enum class ListSource { initial, poll };

// Lists `count` endpoint ids at one address, since a sidecar bounds what it sends to one endpoint at once.
void list_endpoints(SidecarHarness& harness, const std::string& address, std::size_t count,
                    ListSource source = ListSource::initial) {
  std::vector<Endpoint> endpoints;
  for (std::size_t i = 0; i < count; ++i) {
    endpoints.push_back(make_endpoint(address + std::to_string(i)));
    harness.upstreams.update_endpoint(endpoints.back().id, address);
  }
  harness.dispatcher.update_endpoints(true, source == ListSource::poll, endpoints);
}

// Clients that each send three requests at once. Every fourth one stays; the others disconnect by a FIN, a
// reset or a half-close.
struct ClientBurst {
  std::vector<TestConnection*> clients;
  std::size_t remaining_count = 0;

  ClientBurst(SidecarHarness& harness, std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) clients.push_back(&harness.connect_client());
    for (TestConnection* client : clients) client->send(three_long_requests());
  }
  // Returns how many clients have left.
  std::size_t depart_most() {
    for (std::size_t i = 0; i < clients.size(); ++i) {
      const Departure departure = departures[i % std::size(departures)];
      depart(*clients[i], departure);
      remaining_count += departure == Departure::none ? 1 : 0;
    }
    return clients.size() - remaining_count;
  }
};

bool run_until_abandoned(SidecarHarness& harness, std::size_t rpc_count) {
  return run_until(harness.loop, [&] { return harness.counters.rpcs_abandoned == rpc_count; });
}

void run_and_receive(SidecarHarness& harness, StalledListener& listener, double duration_ms) {
  const double end_ms = harness.loop.now() + duration_ms;
  while (harness.loop.now() < end_ms) {
    harness.loop.run_once(2);
    listener.receive();
  }
}

}  // namespace

TEST_CASE(
    "in a burst of pipelining clients only the first attempts of those that stay are sent when the connects "
    "succeed") {
  for (const bool cancels : {false, true}) {
    SidecarHarness harness(customer_config(true, cancels, RetrySafety::non_idempotent), slow_upstream_config);
    StalledListener endpoint;
    list_endpoints(harness, address_text(endpoint.address), 12);
    ClientBurst burst(harness, 12);
    REQUIRE(run_until(harness.loop, [&] { return harness.counters.connections_opened == 12; }));
    const std::size_t departed_count = burst.depart_most();
    CHECK(run_until_abandoned(harness, departed_count));
    run_for(harness.loop, 120);  // a connection opened from now on would be an error
    endpoint.release();
    run_and_receive(harness, endpoint, 1800);
    CHECK(endpoint.request_count() == burst.remaining_count);
    CHECK(harness.dispatcher.in_flight() == burst.remaining_count);
  }
}

TEST_CASE(
    "no retry is sent for clients that disconnect in a burst while the retry connects or before it begins") {
  for (const bool cancels : {false, true})
    for (const bool retry_connects : {false, true}) {
      CAPTURE(cancels);
      CAPTURE(retry_connects);
      constexpr std::size_t count = 6;  // as many RPCs as may have a retry at once
      SidecarHarness harness(customer_config(true, cancels, RetrySafety::idempotent), slow_upstream_config);
      FakeServer first(harness.loop, {});
      StalledListener stalled;
      FakeServer quick(harness.loop, std::vector<std::string>(100, "silent"));
      list_endpoints(harness, address_text(first.address), count);
      ClientBurst burst(harness, count);
      REQUIRE(run_until(harness.loop, [&] { return first.request_targets.size() == count; }));
      list_endpoints(harness, address_text(retry_connects ? stalled.address : quick.address), count,
                     ListSource::poll);
      const auto fail_first_attempts = [&] {
        for (auto& connection : first.connections) connection->close();
      };
      if (retry_connects) {
        fail_first_attempts();
        REQUIRE(run_until(harness.loop, [&] { return harness.counters.connections_opened == 2 * count; }));
      }
      const std::size_t departed_count = burst.depart_most();
      CHECK(run_until_abandoned(harness, departed_count));
      run_for(harness.loop, 120);
      if (!retry_connects) fail_first_attempts();
      stalled.release();
      run_and_receive(harness, stalled, 1800);
      CHECK(stalled.request_count() + quick.request_targets.size() == burst.remaining_count);
      CHECK(harness.dispatcher.in_flight() == burst.remaining_count);
    }
}

TEST_CASE("the request of a client that left while it waited for a free descriptor is not forwarded") {
  for (const bool cancels : {false, true})
    for (const Departure departure : departures) {
      CAPTURE(cancels);
      CAPTURE(static_cast<int>(departure));
      // One descriptor for a client, one for its attempt: the second client waits in the backlog.
      SidecarHarness harness(customer_config(true, cancels, RetrySafety::non_idempotent),
                             slow_upstream_config, 2);
      FakeServer endpoint(harness.loop, {"silent", "silent"});
      harness.update_endpoints(address_text(endpoint.address));
      TestConnection& first = harness.connect_client();
      first.send(long_request());
      REQUIRE(run_until(harness.loop, [&] { return endpoint.request_targets.size() == 1; }));
      TestConnection& waiting = harness.connect_client();
      waiting.send(long_request());
      run_for(harness.loop, 20);
      depart(waiting, departure);
      run_for(harness.loop, 150);
      REQUIRE(harness.counters.connections_accepted == 1);
      endpoint.connections[0]->send(served_response);
      REQUIRE(run_until(harness.loop, [&] { return harness.counters.connections_accepted == 2; }));
      run_for(harness.loop, 50);
      CHECK(endpoint.request_targets.size() == (departure == Departure::none ? 2 : 1));
    }
}

TEST_CASE("requests of clients that connected and left before the process could run are not forwarded") {
  for (const bool cancels : {false, true}) {
    SidecarHarness harness(customer_config(true, cancels, RetrySafety::non_idempotent), slow_upstream_config);
    FakeServer endpoint(harness.loop, std::vector<std::string>(100, served_response));
    harness.update_endpoints(address_text(endpoint.address));
    {
      ClientBurst warm_up(harness, 4);
      REQUIRE(run_until(harness.loop, [&] { return harness.counters.rpcs_ok == 12; }));
      for (TestConnection* client : warm_up.clients) client->close();
      run_for(harness.loop, 50);
    }
    const std::size_t requests_before = endpoint.request_targets.size();
    REQUIRE(harness.dispatcher.in_flight() == 0);
    std::vector<std::unique_ptr<TestConnection>> backlog;
    for (std::size_t i = 0; i < 12; ++i) {
      backlog.push_back(std::make_unique<TestConnection>(harness.loop, harness.client_budget,
                                                         start_connect(harness.address), response));
      backlog.back()->send(three_long_requests());
      depart(*backlog.back(), departures[i % std::size(departures)]);
    }
    // Simulates a process that gets no CPU.
    for (const double end_ms = harness.loop.now() + 120; harness.loop.now() < end_ms;) continue;
    run_for(harness.loop, 100);
    // Three requests from each of the three clients that stay.
    CHECK(endpoint.request_targets.size() - requests_before == 9);
  }
}

TEST_CASE("discovery's list is fetched after its recovery although idle clients hold all descriptors") {
  for (const auto& row : outages) {
    const Outage outage = row.first;
    CAPTURE(std::string(row.second));
    SidecarHarness harness(customer_config(true, true, RetrySafety::idempotent), slow_upstream_config, 24);
    FailingAgent agent(harness.loop, outage);
    std::string updates;
    DiscoveryClient discovery_client(
        harness.loop, harness.budget, harness.counters, harness.logger, agent.server.address, "agent", 1, 500,
        [&](const EndpointListUpdate& update) { updates += std::to_string(update.version); }, [](double) {});
    discovery_client.enable_continuous_polling();
    discovery_client.poll();
    std::vector<std::unique_ptr<TestConnection>> idle_clients;
    for (int i = 0; i < 60; ++i) {
      idle_clients.push_back(std::make_unique<TestConnection>(harness.loop, harness.client_budget,
                                                              start_connect(harness.address), response));
      run_for(harness.loop, 5);
    }
    REQUIRE(run_until(harness.loop, [&] { return harness.counters.endpoint_poll_failures >= 2; }));
    harness.budget.limit = harness.budget.open_count;  // as if other connections held all the rest
    agent.recover(list_version_9);
    CHECK(run_until(harness.loop, [&] { return updates == "9"; }));
  }
}

TEST_CASE(
    "a fleet sends an endpoint in slow start at most the allowed N attempts plus two square roots of N plus "
    "2") {
  const FleetTraffic table[] = {{"20 sidecars", 20, 20, false},
                                {"30 sidecars", 30, 20, false},
                                {"30 sidecars, bursts", 30, 20, true},
                                {"300 sidecars of little traffic, bursts", 300, 2, true}};
  for (const FleetTraffic& traffic : table) {
    CAPTURE(std::string(traffic.name));
    FleetSimulation simulation(traffic);
    simulation.run();
    std::size_t attempt_count = 0;
    for (const auto& sent : simulation.sent_ms) {
      const std::string& endpoint_id = sent.first;
      CAPTURE(endpoint_id);
      attempt_count += sent.second.size();
      CHECK(simulation.worst_overload(sent.second) <= 1);
    }
    CHECK(attempt_count > 100);  // the endpoints in slow start are not left idle
  }
}

TEST_CASE(
    "a response without a stated length that ends by a reset is retried if that is safe and fails "
    "otherwise") {
  enum class Ending { end_of_stream, reset, reset_later };
  for (const Ending ending : {Ending::end_of_stream, Ending::reset, Ending::reset_later})
    for (const RetrySafety retry_safety : {RetrySafety::idempotent, RetrySafety::non_idempotent}) {
      CAPTURE(static_cast<int>(ending));
      SidecarHarness harness(customer_config(true, true, retry_safety), slow_upstream_config);
      FakeServer endpoint(harness.loop, {"silent", served_response});
      harness.update_endpoints(address_text(endpoint.address));
      TestConnection& client = harness.connect_client();
      client.send(long_request());
      REQUIRE(run_until(harness.loop, [&] { return endpoint.request_targets.size() == 1; }));
      TestConnection& connection = *endpoint.connections[0];
      connection.send("HTTP/1.1 200 OK\r\n\r\nhalf");
      if (ending == Ending::reset_later) run_for(harness.loop, 50);
      CHECK(client.received.empty());
      if (ending != Ending::end_of_stream) connection.stream->reset_on_close();
      connection.close();
      REQUIRE(run_until(harness.loop, [&] { return client.received.size() == 1; }));
      const bool is_complete = ending == Ending::end_of_stream;
      const bool is_retried = !is_complete && retry_safety == RetrySafety::idempotent;
      CHECK(client.received[0].status == (is_complete || is_retried ? 200 : 502));
      if (is_complete) CHECK(client.received[0].body() == "half");
      if (is_retried) CHECK(client.received[0].body() == "served");
      CHECK(endpoint.request_targets.size() == (is_retried ? 2 : 1));
      CHECK(every_rpc_answered_once(harness));
    }
}
