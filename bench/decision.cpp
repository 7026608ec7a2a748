// What one RPC costs a sidecar in decisions, by the number of servers: from its arrival to the end of its
// pick. Run with --benchmark_repetitions=10 for the spread.
#include <benchmark/benchmark.h>

#include <string>

#include "indigorill/load_balancer.h"

namespace {

using namespace indigorill;
using Verb = Decision::Action;

LoadBalancerConfig ground() {
  LoadBalancerConfig t;
  t.methods = {{"read", 100, 1, 0, RetrySafety::idempotent, DeduplicationScope::global, 0, 0},
               {"order", 100, 4, 0, RetrySafety::non_idempotent, DeduplicationScope::global, 0, 0}};
  t.zone = "here";
  t.max_attempts = 4;
  t.cancellation_enabled = true;
  t.handshake_cost = 0.01;
  t.slow_start_initial_weight = 0.2;
  t.slow_start_duration_ms = 20000;
  t.slow_start_overload_factor = 3;
  t.slow_start_burst_ms = 1000;
  return t;
}

// cold: of a hundred servers.
void one_rpc(benchmark::State& state) {
  const auto servers = static_cast<int>(state.range(0));
  const auto cold = static_cast<int>(state.range(1));
  double now = 1000000;
  LoadBalancer b(ground(), 1, now);
  std::vector<Endpoint> all;
  for (int i = 0; i < servers; ++i)
    all.push_back({std::string("s").append(std::to_string(i)), "here", 0,
                   i * 100 < servers * cold ? now - 1000 : 0, EndpointState::ready});
  b.update_endpoints(now, true, false, all);
  while (b.next_decision()) {
  }
  std::uint64_t rpc = 0;
  double beat = now;
  for (auto _ : state) {
    now += 1;
    if (now - beat >= 1000) {
      b.on_timer(beat = now, 1);
      while (b.next_decision()) {
      }
    }
    const std::string id = std::to_string(++rpc);
    b.on_rpc_arrived(now, {id, rpc % 4 ? "read" : "order", now + 300, {}});
    while (const auto d = b.next_decision())
      if (d->action == Verb::send_attempt)
        b.on_attempt_finished(now + 0.5, d->rpc_id, d->attempt_index, AttemptOutcome::ok, 20, true, {2.0});
    now += 0.5;
  }
}
BENCHMARK(one_rpc)->ArgNames({"servers", "cold"})->ArgsProduct({{10, 30, 100, 300, 1000}, {0, 60}});

}  // namespace

BENCHMARK_MAIN();
