// Recovery of discovery after an outage, in the emulator: all sidecars poll one service, which also works on
// polls that a sidecar has given up.
//
// The tests guard against endpoint lists that arrive up to 15 s after the recovery, because the load
// balancer's backoff after failed polls had grown to that. A short backoff alone is not enough: if each poll
// is given up before its turn in the service's queue, sidecars poll again and again, and the service only
// works on polls that no sidecar waits for. An overdue poll therefore stays open.
#include <doctest/doctest.h>

#include <string>

#include "config/toml_section.h"
#include "emulator/run_metrics.h"
#include "emulator/scenario.h"
#include "emulator/simulation.h"

using namespace indigorill::emulator;  // NOLINT(google-build-using-namespace): test of this namespace

namespace {

// Maximum time from the start of a failed poll to the next poll.
constexpr double poll_interval_ms = 3500;

struct Recovery {
  int sidecar_count = 0;
  double load = 0;  // polls of all sidecars in poll_interval_ms, divided by the service's capacity
  int queue_capacity = 0;

  RunMetrics run(std::uint64_t seed) const {
    toml::table table = indigorill::read_toml_file(INDIGORILL_SCENARIOS "/discovery.toml");
    table.insert_or_assign("sidecars", sidecar_count);
    toml::table& list = *table["list"].as_table();
    list.insert_or_assign("whole_ms", load * poll_interval_ms / sidecar_count);
    list.insert_or_assign("queue", queue_capacity);
    return run_simulation(decode_scenario(table), PolicyKind::load_balancer, seed);
  }
};

// In the scenario, servers start to drain 10 s before discovery recovers.
constexpr double change_to_return_ms = 10000;

}  // namespace

TEST_CASE(
    "emulator: a change during a discovery outage is known within 6 s of recovery at or below capacity") {
  for (const int sidecar_count : {32, 300})
    for (const double load : {0.8, 1.0})
      for (const std::uint64_t seed : {1, 2, 3}) {
        CAPTURE(sidecar_count);
        CAPTURE(load);
        const RunMetrics metrics = Recovery{sidecar_count, load, 1000000}.run(seed);
        CHECK(metrics.endpoint_convergence_ms > change_to_return_ms);
        CHECK(metrics.endpoint_convergence_ms <= change_to_return_ms + 6000);
      }
}

TEST_CASE("emulator: a discovery service over its capacity recovers with and without a limit on its queue") {
  for (const int sidecar_count : {32, 300})
    for (const int queue_capacity : {50, 1000000}) {
      CAPTURE(sidecar_count);
      CAPTURE(queue_capacity);
      const RunMetrics metrics = Recovery{sidecar_count, 1.5, queue_capacity}.run(1);
      CHECK(metrics.endpoint_convergence_ms > change_to_return_ms);
      // The time that the service needs for one list for each sidecar, and as long again for polls whose
      // answers are not used.
      CHECK(metrics.endpoint_convergence_ms <= change_to_return_ms + 2 * 1.5 * poll_interval_ms);
    }
}
