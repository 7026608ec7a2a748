// What is owed when a poll or the watch of discovery ends (docs/endings.md), on real sockets.
#include <doctest/doctest.h>

#include "discovery/discovery_client.h"
#include "support/parts.h"

using namespace host;

TEST_CASE("a list is owed to the balancer within half of the grace, once its agent can tell it again") {
  struct {
    const char* what;
    std::vector<std::string> script;  // until the list is told
    bool known;                       // from before the start
  } table[] = {
      {"silent from its first moment", {"silent", list_version_9}, false},
      {"silent, with a list from before", {"silent", draining_version_10}, true},
      {"silent after a part of its answer",
       {"HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{\"generation\"", list_version_9},
       false},
      {"reset", {"close", list_version_9}, false},
      {"rubbish", {"rubbish\r\n\r\n", list_version_9}, false},
      {"5 MB",
       {"HTTP/1.1 200 OK\r\nContent-Length: 5000000\r\n\r\n" + std::string(9000, ' '), list_version_9},
       false},
      {"chunks without end",
       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n[", list_version_9},
       false},
      {"an entry without an id",
       {endpoint_list_response(9, true, R"({"lifecycle":"up"})"), list_version_9},
       false},
      {"nothing wrong", {list_version_9}, false},
  };
  for (const double grace : {300.0, 1000.0})
    for (const auto& row : table) {
      CAPTURE(std::string(row.what));
      DiscoveryHarness discovery;
      FakeServer agent(discovery.loop, row.script);
      discovery.grace_ms = grace;
      discovery.start(agent.address, true, row.known ? std::optional<std::uint64_t>(8) : std::nullopt);
      const double ms = elapsed_until(discovery.loop, 2000, [&] { return !discovery.updates.empty(); });
      CHECK(ms >= 0);
      CHECK(ms < grace / 2 + 100);  // 490 and more without any one of its guards
      CHECK(discovery.updates == (row.known ? "+10b" : "=9ab"));
      CHECK(discovery.counters.endpoint_poll_failures == static_cast<std::int64_t>(row.script.size()) - 1);
    }
}

TEST_CASE("a connect to the agent that hangs between two calls is no watch that waits") {
  for (const double grace : {300.0, 1000.0}) {
    DiscoveryHarness discovery;
    discovery.grace_ms = grace;
    FakeServer agent(discovery.loop, {response_text(200, R"({"generation":9,"reset":true,"instances":[]})",
                                                    "Connection: close\r\n")});
    discovery.start(agent.address, true);
    while (agent.connections.empty()) discovery.loop.run_once(1);
    agent.listener_watch.cancel();
    const auto filling = fill_backlog(agent.listener);
    REQUIRE(elapsed_until(discovery.loop, 500, [&] { return discovery.updates == "=9"; }) >= 0);
    const double ms =
        elapsed_until(discovery.loop, 2000, [&] { return discovery.counters.endpoint_poll_failures == 2; });
    CHECK(ms >= 0);
    CHECK(ms < grace);
  }
}

TEST_CASE("a watch that fell silent is opened anew within 3 s of its first moment, pushed or asked for") {
  struct Row {
    const char* what;
    bool by_itself;
    std::string dies;
    DiscoveryHarness discovery;
    std::unique_ptr<FakeServer> agent;
    double called = 0, again = 0;
  };
  std::vector<std::unique_ptr<Row>> all;
  for (const bool by_itself : {true, false})
    for (const std::string& dies :
         {std::string("silent"), std::string("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{")}) {
      all.push_back(std::make_unique<Row>());
      Row& row = *all.back();
      row.by_itself = by_itself;
      row.agent = std::make_unique<FakeServer>(
          row.discovery.loop, std::vector<std::string>{list_version_9, dies, draining_version_10});
      row.discovery.start(row.agent->address, by_itself);
    }
  for (const double end = all[0]->discovery.loop.now() + 3500; all[0]->discovery.loop.now() < end;)
    for (auto& row : all) {
      row->discovery.loop.run_once(0.5);
      if (row->called == 0 && row->agent->request_targets.size() == 2)
        row->called = row->discovery.loop.now();
      if (row->again == 0 && row->agent->request_targets.size() == 3) row->again = row->discovery.loop.now();
    }
  for (auto& row : all) {
    CAPTURE(row->by_itself);
    CHECK(row->called > 0);
    CHECK(row->again - row->called < 3150);
    CHECK(row->discovery.updates == "=9ab+10b");
    CHECK(row->discovery.failure_count ==
          0);  // a balancer that asks would wait, as for a service that can't answer
  }
}

TEST_CASE("a watch that breaks is opened anew at once; that this fails too is told to a balancer that asks") {
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
    "SIGHUP while a call is out, twice, and by way of an agent that is dead: the last one's list is told") {
  DiscoveryHarness discovery;
  FakeServer before(discovery.loop, {"silent"});
  FakeServer after(discovery.loop, {endpoint_list_response(3, true, instance_json("c"))});
  discovery.start(before.address, true);
  REQUIRE(run_until(discovery.loop, [&] { return before.request_targets.size() == 1; }));
  const sockaddr_in dead = local_address(listen_on_loopback());
  discovery.client->switch_agent(dead, "dead");
  discovery.loop.run_once(0);
  discovery.client->switch_agent(after.address, "after");
  discovery.client->switch_agent(after.address, "after");
  before.connections[0]->send(list_version_9);  // too late: it is not asked any more
  CHECK(elapsed_until(discovery.loop, 300, [&] { return discovery.updates == "=3c"; }) >= 0);
  run_for(discovery.loop, 200);
  CHECK(discovery.updates == "=3c");
  CHECK(after.request_targets[0] == "/api/targets");
  CHECK(std::count(after.request_targets.begin(), after.request_targets.end(), "/api/targets") == 1);
  discovery.client->switch_agent(dead, "dead");
  run_for(discovery.loop, 400);
  CHECK(discovery.counters.endpoint_poll_failures >= 2);
  discovery.client->switch_agent(before.address, "before");
  CHECK(run_until(discovery.loop, [&] { return before.request_targets.size() == 2; }));
}

TEST_CASE(
    "SIGHUP between two calls: the open connection leads to the agent before, and is not asked any more") {
  DiscoveryHarness discovery;
  FakeServer before(discovery.loop, {list_version_9, endpoint_list_response(9, false, ""), list_version_9});
  FakeServer after(discovery.loop, {endpoint_list_response(3, true, "")});
  discovery.start(before.address, true);
  // A watch that is answered at once, with nothing, is followed by a pause.
  REQUIRE(run_until(discovery.loop, [&] { return discovery.updates == "=9ab+9"; }));
  discovery.client->switch_agent(after.address, "after");
  CHECK(run_until(discovery.loop, [&] { return discovery.updates == "=9ab+9=3"; }));
  CHECK(before.request_targets.size() == 2);
}

TEST_CASE("a list that comes indented is read, whatever its white space") {
  DiscoveryHarness discovery;
  const std::string plain = R"({"generation":9,"reset":true,"instances":[)" + instance_json("a") + "]}";
  FakeServer agent(discovery.loop, {response_text(200, nlohmann::json::parse(plain).dump(4) + "\n\n")});
  discovery.start(agent.address, true);
  CHECK(run_until(discovery.loop, [&] { return discovery.updates == "=9a"; }));
}
