#include <doctest/doctest.h>

#include <map>

#include "support/load_balancer_histories.h"

using namespace host;  // NOLINT(google-build-using-namespace): test support

TEST_CASE("load balancers without observations probe endpoints at random and stop once one is idle") {
  LoadBalancerConfig config = test_config();
  config.probing_enabled = true;
  config.probes_report_load = true;
  config.probe_cost = 0.01;
  std::map<std::string, int> probes_by_endpoint;
  int probes = 0;
  for (int seed = 1; seed <= 200; ++seed) {
    LoadBalancerHarness harness(config, static_cast<std::uint64_t>(seed));
    harness.update_endpoints(make_endpoints('a', 'j'));
    harness.start_rpc("vital");
    auto decisions = harness.take_decisions();
    while (!decisions.empty() && decisions.front().action == Action::health_check) {
      for (const Decision& decision : decisions) {
        ++probes;
        ++probes_by_endpoint[decision.endpoint_id];
        const double in_flight = decision.endpoint_id < "f" ? 3.0 : 0.0;
        harness.load_balancer.on_probe_finished(harness.now, decision.endpoint_id, AttemptOutcome::ok,
                                                {in_flight});
      }
      decisions = harness.take_decisions();
    }
  }
  REQUIRE(probes > 0);
  for (const auto& [id, count] : probes_by_endpoint)
    CHECK(count < probes / 4);  // ties broken by id would lead to probes of the same first endpoints
  CHECK(probes < 200 * 4);
}

TEST_CASE("the cost of a probe includes the handshake that it causes") {
  int probing[2] = {};
  for (const double handshake_cost : {0.0, 0.1})
    for (int seed = 1; seed <= 200; ++seed) {
      LoadBalancerConfig config = test_config();
      config.probing_enabled = true;
      config.probes_report_load = true;
      config.probe_cost = 0.01;
      config.handshake_cost = handshake_cost;
      LoadBalancerHarness harness(config, static_cast<std::uint64_t>(seed));
      harness.update_endpoints(make_endpoints('a', 'j'));
      harness.start_rpc("vital");
      const auto decisions = harness.take_decisions();
      probing[handshake_cost > 0] += !decisions.empty() && decisions.front().action == Action::health_check;
    }
  CHECK(probing[0] > 100);
  CHECK(probing[1] < probing[0] / 4);
}
