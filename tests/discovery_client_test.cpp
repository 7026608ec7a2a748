// Polls of the endpoint list, the watch that is kept open, and failures of both.
#include "discovery/discovery_client.h"

#include <doctest/doctest.h>

#include <string>

#include "support/host.h"
#include "support/parts.h"

namespace host {

TEST_CASE(
    "discovery client: requests the complete list, then keeps a watch open and recovers from failures") {
  const std::string complete_list =
      endpoint_list_response(9, true, instance_json("a") + "," + instance_json("b"));
  const std::string changes = endpoint_list_response(10, false, instance_json("b", "draining"));
  const std::string no_changes = endpoint_list_response(10, false, "");
  const std::string older_changes = endpoint_list_response(8, false, instance_json("b"));
  const std::string restarted_list = endpoint_list_response(2, true, instance_json("c"));
  // The client asks an agent to wait only if the agent answered the previous poll.
  const std::string complete_target = "/api/targets";
  const std::string watch_target_9 = complete_target + "?index=9&wait=2000";
  const std::string watch_target_10 = complete_target + "?index=10&wait=2000";
  const std::string prompt_target_9 = complete_target + "?index=9&wait=1";
  const std::string watch_target_2 = complete_target + "?index=2&wait=2000";
  struct {
    const char* name;
    std::vector<std::string> responses, expected_targets;
    std::string expected_updates;
  } table[] = {
      {"changes and a watch without changes",
       {complete_list, changes, no_changes},
       {complete_target, watch_target_9, watch_target_10, watch_target_10},
       "=9ab+10b+10"},
      {"a connection that the agent closes",
       {complete_list, "close", changes},
       {complete_target, watch_target_9, prompt_target_9, watch_target_10},
       "=9ab+10b"},
      {"a response with Connection: close",
       {response_text(200, R"({"generation":9,"reset":true,"instances":[]})", "Connection: close\r\n"),
        changes},
       {complete_target, watch_target_9, watch_target_10},
       "=9+10b"},

      {"a body that is not JSON",
       {complete_list, response_text(200, "{"), complete_list},
       {complete_target, watch_target_9, complete_target, watch_target_9},
       "=9ab=9ab"},
      {"a body that is not an endpoint list",
       {complete_list, response_text(200, "{}"), complete_list},
       {complete_target, watch_target_9, complete_target, watch_target_9},
       "=9ab=9ab"},
      {"an unknown lifecycle value",
       {complete_list, endpoint_list_response(10, false, instance_json("a", "odd")), complete_list},
       {complete_target, watch_target_9, complete_target, watch_target_9},
       "=9ab=9ab"},
      {"an error status",
       {complete_list, response_text(500, ""), changes},
       {complete_target, watch_target_9, prompt_target_9, watch_target_10},
       "=9ab+10b"},
      {"a response that is not HTTP",
       {"rubbish\r\n\r\n", complete_list},
       {complete_target, complete_target, watch_target_9},
       "=9ab"},
      {"changes of an older list",
       {complete_list, older_changes, complete_list},
       {complete_target, watch_target_9, complete_target, watch_target_9},
       "=9ab=9ab"},
      {"changes in response to a request for the complete list",
       {changes, complete_list},
       {complete_target, complete_target, watch_target_9},
       "=9ab"},
      {"an agent whose versions start over",
       {complete_list, restarted_list},
       {complete_target, watch_target_9, watch_target_2},
       "=9ab=2c"},
  };
  for (const auto& row : table) {
    CAPTURE(std::string(row.name));
    DiscoveryHarness discovery;
    FakeServer agent(discovery.loop, row.responses);
    discovery.start(agent.address, true);
    CHECK(run_until(discovery.loop,
                    [&] { return agent.request_targets.size() >= row.expected_targets.size(); }));
    CHECK(agent.request_targets == row.expected_targets);
    CHECK(discovery.updates == row.expected_updates);
    CHECK(discovery.failure_count == 0);
  }
}

TEST_CASE("discovery client: polls from a known version and requests the complete list from another agent") {
  DiscoveryHarness discovery;
  FakeServer former_agent(discovery.loop, {endpoint_list_response(9, false, instance_json("b"))});
  FakeServer new_agent(discovery.loop, {endpoint_list_response(3, true, "")});
  discovery.start(former_agent.address, true, 8);
  CHECK(run_until(discovery.loop, [&] { return former_agent.request_targets.size() == 2; }));
  CHECK(former_agent.request_targets[0] == "/api/targets?index=8&wait=1");
  discovery.client->switch_agent(new_agent.address, "new-agent");
  CHECK(run_until(discovery.loop, [&] { return !new_agent.request_targets.empty(); }));
  CHECK(new_agent.request_targets[0] == "/api/targets");
  CHECK(discovery.updates == "+9b");
}

TEST_CASE("discovery client: reports a failed poll and does not repeat it without continuous polling") {
  DiscoveryHarness discovery;
  FakeServer agent(discovery.loop, {"close"});
  discovery.start(agent.address, false);
  CHECK(run_until(discovery.loop, [&] { return discovery.failure_count == 1; }));
  run_for(discovery.loop, 150);
  CHECK(agent.request_targets.size() == 1);
}

TEST_CASE("discovery client: pauses between polls of an agent that answers without waiting") {
  DiscoveryHarness discovery;
  std::vector<std::string> responses_without_wait{endpoint_list_response(9, true, instance_json("a"))};
  responses_without_wait.resize(1000, endpoint_list_response(9, false, ""));
  FakeServer agent(discovery.loop, responses_without_wait);
  discovery.start(agent.address, true);
  run_for(discovery.loop, 150);
  CHECK(agent.request_targets.size() >= 2);
  CHECK(agent.request_targets.size() <= 4);
}

TEST_CASE(
    "discovery client: polls an unreachable agent again within the drain grace and logs the failure once") {
  DiscoveryHarness discovery;
  discovery.start(local_address(listen_on_loopback()), true);  // the listener is closed: connects are refused
  const double started_at_ms = discovery.loop.now();
  CHECK(run_until(discovery.loop, [&] { return discovery.counters.endpoint_poll_failures == 8; }));
  // A change that the agent has counts as known as soon as the agent is reachable again, so the delay before
  // a retry must not grow beyond a fraction of the drain grace of 500 ms.
  CHECK(discovery.loop.now() - started_at_ms < 8 * 150);
  CHECK(discovery.log_text.str().find("no connection") ==
        discovery.log_text.str().rfind("no connection"));  // logged once
}

}  // namespace host
