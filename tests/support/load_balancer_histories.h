/// \file
/// Test support: histories of a load balancer, and the endpoints that it selects after them.
#pragma once

#include <functional>
#include <string>

#include "support/host.h"

namespace host {

using History = std::function<void(LoadBalancerHarness&)>;

inline void list_a_and_b(LoadBalancerHarness& harness) {
  harness.update_endpoints({make_endpoint("a"), make_endpoint("b")});
}

/// The fraction of first attempts that go to "a", for load balancers with `seed_count` different seeds and
/// the same history.
inline double fraction_sent_to_a(const History& history, const LoadBalancerConfig& config = test_config(),
                                 int seed_count = 600) {
  int sent_to_a = 0;
  for (int seed = 1; seed <= seed_count; ++seed) {
    LoadBalancerHarness harness(config, static_cast<std::uint64_t>(seed));
    history(harness);
    harness.start_rpc();
    for (const Decision& decision : harness.take_decisions())
      sent_to_a += decision.action == Action::send_attempt && decision.endpoint_id == "a";
  }
  return sent_to_a / static_cast<double>(seed_count);
}

/// Ends the first attempt of the RPC if that attempt is the pending decision.
inline void finish_first_attempt(LoadBalancerHarness& harness, const std::string& rpc_id,
                                 AttemptOutcome outcome, double duration_ms, bool is_concluded = true,
                                 const LoadReport& report = {}) {
  for (const Decision& decision : harness.take_decisions()) {
    if (decision.action != Action::send_attempt) continue;
    harness.load_balancer.on_attempt_finished(harness.now, rpc_id, 0, outcome, duration_ms, is_concluded,
                                              report);
  }
}

}  // namespace host
