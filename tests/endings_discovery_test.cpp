// Tests of polls and watches of the endpoint list that end or fail (docs/endings.md), on real sockets.
#include <doctest/doctest.h>

#include "discovery/discovery_client.h"
#include "support/parts.h"

namespace host {

TEST_CASE("a list is delivered within half of the drain grace once the agent can send it again") {
  struct {
    const char* description;
    std::vector<std::string> responses;  // of the agent, up to the list
    bool knows_version;                  // of a list from before the start
  } table[] = {
      {"silent from the start", {"silent", list_version_9}, false},
      {"silent, with a list known", {"silent", draining_version_10}, true},
      {"silent after a part of the response",
       {"HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{\"generation\"", list_version_9},
       false},
      {"closed", {"close", list_version_9}, false},
      {"malformed response", {"rubbish\r\n\r\n", list_version_9}, false},
      {"a body of 5 MB",
       {"HTTP/1.1 200 OK\r\nContent-Length: 5000000\r\n\r\n" + std::string(9000, ' '), list_version_9},
       false},
      {"a chunked body that stays incomplete",
       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n[", list_version_9},
       false},
      {"an entry without an id",
       {endpoint_list_response(9, true, R"({"lifecycle":"up"})"), list_version_9},
       false},
      {"no failure", {list_version_9}, false},
  };
  for (const double grace_ms : {300.0, 1000.0})
    for (const auto& row : table) {
      CAPTURE(std::string(row.description));
      DiscoveryHarness discovery;
      FakeServer agent(discovery.loop, row.responses);
      discovery.grace_ms = grace_ms;
      discovery.start(agent.address, true,
                      row.knows_version ? std::optional<std::uint64_t>(8) : std::nullopt);
      const double delay_ms = elapsed_until(discovery.loop, 2000, [&] { return !discovery.updates.empty(); });
      CHECK(delay_ms >= 0);
      CHECK(delay_ms < grace_ms / 2 + 100);  // 490 ms or more if any safeguard is missing
      CHECK(discovery.updates == (row.knows_version ? "+10b" : "=9ab"));
      CHECK(discovery.counters.endpoint_poll_failures == static_cast<std::int64_t>(row.responses.size()) - 1);
    }
}

TEST_CASE("a connect to the agent that hangs between two polls is not taken for a waiting watch") {
  for (const double grace_ms : {300.0, 1000.0}) {
    DiscoveryHarness discovery;
    discovery.grace_ms = grace_ms;
    FakeServer agent(discovery.loop, {response_text(200, R"({"generation":9,"reset":true,"instances":[]})",
                                                    "Connection: close\r\n")});
    discovery.start(agent.address, true);
    while (agent.connections.empty()) discovery.loop.run_once(1);
    agent.listener_watch.cancel();
    const auto backlog_fillers = fill_backlog(agent.listener);
    REQUIRE(elapsed_until(discovery.loop, 500, [&] { return discovery.updates == "=9"; }) >= 0);
    const double delay_ms =
        elapsed_until(discovery.loop, 2000, [&] { return discovery.counters.endpoint_poll_failures == 2; });
    CHECK(delay_ms >= 0);
    CHECK(delay_ms < grace_ms);
  }
}

TEST_CASE(
    "a watch that falls silent is reopened within 3 s of its start with continuous polling or without") {
  struct Row {
    const char* description;
    bool polls_continuously;
    std::string broken_response;
    DiscoveryHarness discovery;
    std::unique_ptr<FakeServer> agent;
    double polled_at_ms = 0, repolled_at_ms = 0;
  };
  std::vector<std::unique_ptr<Row>> rows;
  for (const bool polls_continuously : {true, false})
    for (const std::string& broken_response :
         {std::string("silent"), std::string("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{")}) {
      rows.push_back(std::make_unique<Row>());
      Row& row = *rows.back();
      row.polls_continuously = polls_continuously;
      row.agent = std::make_unique<FakeServer>(
          row.discovery.loop, std::vector<std::string>{list_version_9, broken_response, draining_version_10});
      row.discovery.start(row.agent->address, polls_continuously);
    }
  for (const double end_ms = rows[0]->discovery.loop.now() + 3500; rows[0]->discovery.loop.now() < end_ms;)
    for (auto& row : rows) {
      row->discovery.loop.run_once(0.5);
      if (row->polled_at_ms == 0 && row->agent->request_targets.size() == 2)
        row->polled_at_ms = row->discovery.loop.now();
      if (row->repolled_at_ms == 0 && row->agent->request_targets.size() == 3)
        row->repolled_at_ms = row->discovery.loop.now();
    }
  for (auto& row : rows) {
    CAPTURE(row->polls_continuously);
    CHECK(row->polled_at_ms > 0);
    CHECK(row->repolled_at_ms - row->polled_at_ms < 3150);
    CHECK(row->discovery.updates == "=9ab+10b");
    // Upon a failure, a load balancer that decides on polls would back off, as for a service that can't
    // answer.
    CHECK(row->discovery.failure_count == 0);
  }
}

TEST_CASE(
    "a watch that breaks is reopened at once and only a failure of that is reported to the load balancer") {
  DiscoveryHarness discovery;
  FakeServer agent(discovery.loop, {list_version_9, "close", draining_version_10, "close", "close"});
  discovery.start(agent.address, false);
  CHECK(elapsed_until(discovery.loop, 300, [&] { return discovery.updates == "=9ab+10b"; }) >= 0);
  CHECK(elapsed_until(discovery.loop, 300, [&] { return discovery.failure_count == 1; }) >= 0);
  run_for(discovery.loop, 100);
  CHECK(agent.request_targets.size() == 5);
  CHECK(discovery.failure_count == 1);
}

TEST_CASE(
    "after agent switches during a poll and by way of a dead agent only the last agent's list is applied") {
  DiscoveryHarness discovery;
  FakeServer old_agent(discovery.loop, {"silent"});
  FakeServer new_agent(discovery.loop, {endpoint_list_response(3, true, instance_json("c"))});
  discovery.start(old_agent.address, true);
  REQUIRE(run_until(discovery.loop, [&] { return old_agent.request_targets.size() == 1; }));
  const sockaddr_in dead_address = local_address(listen_on_loopback());
  discovery.client->switch_agent(dead_address, "dead");
  discovery.loop.run_once(0);
  discovery.client->switch_agent(new_agent.address, "after");
  discovery.client->switch_agent(new_agent.address, "after");
  old_agent.connections[0]->send(list_version_9);  // too late: this agent is no longer polled
  CHECK(elapsed_until(discovery.loop, 300, [&] { return discovery.updates == "=3c"; }) >= 0);
  run_for(discovery.loop, 200);
  CHECK(discovery.updates == "=3c");
  CHECK(new_agent.request_targets[0] == "/api/targets");
  CHECK(std::count(new_agent.request_targets.begin(), new_agent.request_targets.end(), "/api/targets") == 1);
  discovery.client->switch_agent(dead_address, "dead");
  run_for(discovery.loop, 400);
  CHECK(discovery.counters.endpoint_poll_failures >= 2);
  discovery.client->switch_agent(old_agent.address, "before");
  CHECK(run_until(discovery.loop, [&] { return old_agent.request_targets.size() == 2; }));
}

TEST_CASE("after an agent switch between two polls the open connection to the old agent is not used again") {
  DiscoveryHarness discovery;
  FakeServer old_agent(discovery.loop,
                       {list_version_9, endpoint_list_response(9, false, ""), list_version_9});
  FakeServer new_agent(discovery.loop, {endpoint_list_response(3, true, "")});
  discovery.start(old_agent.address, true);
  // A watch that is answered at once and without changes is followed by a pause.
  REQUIRE(run_until(discovery.loop, [&] { return discovery.updates == "=9ab+9"; }));
  discovery.client->switch_agent(new_agent.address, "after");
  CHECK(run_until(discovery.loop, [&] { return discovery.updates == "=9ab+9=3"; }));
  CHECK(old_agent.request_targets.size() == 2);
}

TEST_CASE("an endpoint list with indentation and trailing line breaks is parsed") {
  DiscoveryHarness discovery;
  const std::string plain = R"({"generation":9,"reset":true,"instances":[)" + instance_json("a") + "]}";
  FakeServer agent(discovery.loop, {response_text(200, nlohmann::json::parse(plain).dump(4) + "\n\n")});
  discovery.start(agent.address, true);
  CHECK(run_until(discovery.loop, [&] { return discovery.updates == "=9a"; }));
}

}  // namespace host
