/// \file
/// Benchmark of the load balancer's decisions for one RPC, from its arrival to the end of its attempt, by the
/// number of endpoints. Run with --benchmark_repetitions=10 for the spread.
#include <benchmark/benchmark.h>

#include <cstdint>
#include <string>
#include <vector>

#include "indigorill/load_balancer.h"

namespace {

using indigorill::AttemptOutcome;
using indigorill::Decision;
using indigorill::DeduplicationScope;
using indigorill::Endpoint;
using indigorill::EndpointState;
using indigorill::LoadBalancer;
using indigorill::LoadBalancerConfig;
using indigorill::RetrySafety;

LoadBalancerConfig benchmark_config() {
  LoadBalancerConfig config;
  config.methods = {{"read", 100, 1, 0, RetrySafety::idempotent, DeduplicationScope::global, 0, 0},
                    {"order", 100, 4, 0, RetrySafety::non_idempotent, DeduplicationScope::global, 0, 0}};
  config.zone = "here";
  config.max_attempts = 4;
  config.cancellation_enabled = true;
  config.handshake_cost = 0.01;
  config.slow_start_initial_weight = 0.2;
  config.slow_start_duration_ms = 20000;
  config.slow_start_overload_factor = 3;
  config.slow_start_burst_ms = 1000;
  return config;
}

std::vector<Endpoint> benchmark_endpoints(int count, int slow_start_percent, double now_ms) {
  std::vector<Endpoint> endpoints;
  for (int i = 0; i < count; ++i) {
    const bool is_slow_start = i * 100 < count * slow_start_percent;
    endpoints.push_back({std::string("s").append(std::to_string(i)), "here", 0,
                         is_slow_start ? now_ms - 1000 : 0, EndpointState::ready});
  }
  return endpoints;
}

void discard_decisions(LoadBalancer& load_balancer) {
  while (load_balancer.next_decision()) continue;
}

void one_rpc(benchmark::State& state) {
  constexpr double maintenance_interval_ms = 1000;
  double now_ms = 1000000;
  LoadBalancer load_balancer(benchmark_config(), 1, now_ms);
  load_balancer.update_endpoints(
      now_ms, true, false,
      benchmark_endpoints(static_cast<int>(state.range(0)), static_cast<int>(state.range(1)), now_ms));
  discard_decisions(load_balancer);
  std::uint64_t rpc_count = 0;
  double maintenance_at_ms = now_ms;
  for (auto _ : state) {
    now_ms += 1;
    if (now_ms - maintenance_at_ms >= maintenance_interval_ms) {
      maintenance_at_ms = now_ms;
      load_balancer.on_timer(now_ms, 1);
      discard_decisions(load_balancer);
    }
    const std::string id = std::to_string(++rpc_count);
    load_balancer.on_rpc_arrived(now_ms, {id, rpc_count % 4 ? "read" : "order", now_ms + 300, {}});
    while (const auto decision = load_balancer.next_decision())
      if (decision->action == Decision::Action::send_attempt)
        load_balancer.on_attempt_finished(now_ms + 0.5, decision->rpc_id, decision->attempt_index,
                                          AttemptOutcome::ok, 20, true, {2.0});
    now_ms += 0.5;
  }
}
BENCHMARK(one_rpc)->ArgNames({"servers", "cold"})->ArgsProduct({{10, 30, 100, 300, 1000}, {0, 60}});

}  // namespace

BENCHMARK_MAIN();
