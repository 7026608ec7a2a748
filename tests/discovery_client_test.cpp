// The endpoint list: polls, the watch that is kept open, and what can go wrong.
#include "discovery/discovery_client.h"

#include <doctest/doctest.h>

#include <string>

#include "support/host.h"
#include "support/parts.h"

using namespace host;

TEST_CASE("the list: the whole, then a watch that is kept open, through all that can go wrong") {
  const std::string whole = endpoint_list_response(9, true, instance_json("a") + "," + instance_json("b"));
  const std::string change = endpoint_list_response(10, false, instance_json("b", "draining"));
  const std::string none = endpoint_list_response(10, false, "");
  const std::string older = endpoint_list_response(8, false, instance_json("b"));
  const std::string anew = endpoint_list_response(2, true, instance_json("c"));
  // Only an agent that just answered is asked to wait.
  const std::string first = "/api/targets";
  const std::string watch9 = first + "?index=9&wait=2000";
  const std::string watch10 = first + "?index=10&wait=2000";
  const std::string at_once9 = first + "?index=9&wait=1";
  const std::string watch2 = first + "?index=2&wait=2000";
  struct {
    const char* what;
    std::vector<std::string> script, asked;
    std::string heard;
  } table[] = {
      {"changes", {whole, change, none}, {first, watch9, watch10, watch10}, "=9ab+10b+10"},
      {"a broken connection", {whole, "close", change}, {first, watch9, at_once9, watch10}, "=9ab+10b"},
      {"a last answer on a connection",
       {response_text(200, R"({"generation":9,"reset":true,"instances":[]})", "Connection: close\r\n"),
        change},
       {first, watch9, watch10},
       "=9+10b"},

      {"no JSON", {whole, response_text(200, "{"), whole}, {first, watch9, first, watch9}, "=9ab=9ab"},
      {"no list", {whole, response_text(200, "{}"), whole}, {first, watch9, first, watch9}, "=9ab=9ab"},
      {"an unknown word",
       {whole, endpoint_list_response(10, false, instance_json("a", "odd")), whole},
       {first, watch9, first, watch9},
       "=9ab=9ab"},
      {"an error", {whole, response_text(500, ""), change}, {first, watch9, at_once9, watch10}, "=9ab+10b"},
      {"no HTTP", {"rubbish\r\n\r\n", whole}, {first, first, watch9}, "=9ab"},
      {"changes of an older list", {whole, older, whole}, {first, watch9, first, watch9}, "=9ab=9ab"},
      {"changes where the whole was asked for", {change, whole}, {first, first, watch9}, "=9ab"},
      {"an agent that began anew", {whole, anew}, {first, watch9, watch2}, "=9ab=2c"},
  };
  for (const auto& row : table) {
    CAPTURE(std::string(row.what));
    DiscoveryHarness discovery;
    FakeServer agent(discovery.loop, row.script);
    discovery.start(agent.address, true);
    CHECK(run_until(discovery.loop, [&] { return agent.request_targets.size() >= row.asked.size(); }));
    CHECK(agent.request_targets == row.asked);
    CHECK(discovery.updates == row.heard);
    CHECK(discovery.failure_count == 0);
  }
}

TEST_CASE("a list known from before is watched from its version; another agent is asked for the whole") {
  DiscoveryHarness discovery;
  FakeServer before(discovery.loop, {endpoint_list_response(9, false, instance_json("b"))});
  FakeServer after(discovery.loop, {endpoint_list_response(3, true, "")});
  discovery.start(before.address, true, 8);
  CHECK(run_until(discovery.loop, [&] { return before.request_targets.size() == 2; }));
  CHECK(before.request_targets[0] == "/api/targets?index=8&wait=1");
  discovery.client->switch_agent(after.address, "after");
  CHECK(run_until(discovery.loop, [&] { return !after.request_targets.empty(); }));
  CHECK(after.request_targets[0] == "/api/targets");
  CHECK(discovery.updates == "+9b");
}

TEST_CASE("where the balancer asks for the list, a failure is told to it and nothing is asked again") {
  DiscoveryHarness discovery;
  FakeServer agent(discovery.loop, {"close"});
  discovery.start(agent.address, false);
  CHECK(run_until(discovery.loop, [&] { return discovery.failure_count == 1; }));
  run_for(discovery.loop, 150);
  CHECK(agent.request_targets.size() == 1);
}

TEST_CASE("an agent that doesn't wait is not asked without pause") {
  DiscoveryHarness discovery;
  std::vector<std::string> script{endpoint_list_response(9, true, instance_json("a"))};
  script.resize(1000, endpoint_list_response(9, false, ""));
  FakeServer agent(discovery.loop, script);
  discovery.start(agent.address, true);
  run_for(discovery.loop, 150);
  CHECK(agent.request_targets.size() >= 2);
  CHECK(agent.request_targets.size() <= 4);
}

TEST_CASE("a list that can't be reached is asked for again within the grace, and its silence said once") {
  DiscoveryHarness discovery;
  discovery.start(local_address(listen_on_loopback()), true);  // closed again
  const double began = discovery.loop.now();
  CHECK(run_until(discovery.loop, [&] { return discovery.counters.endpoint_poll_failures == 8; }));
  // What it tells when it is back counts at once: the waits must not grow past a part of the grace of 500.
  CHECK(discovery.loop.now() - began < 8 * 150);
  CHECK(discovery.log_text.str().find("no connection") ==
        discovery.log_text.str().rfind("no connection"));  // one line
}
