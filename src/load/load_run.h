/// \file
/// Configuration and results of a run of the load generator.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "emulator/latency_histogram.h"
#include "emulator/scenario.h"
#include "load/load_clients.h"

namespace indigorill::load_generator {

struct LoadRunConfig {
  emulator::Scenario scenario;
  std::uint64_t seed = 1;
  std::string sidecar_command;  ///< program of the sidecars; empty: they are already running
  std::uint16_t base_port = 0;  ///< 0: the kernel chooses the ports; not 0 if sidecars are already running
  std::uint64_t max_requests = 100000;
};

struct LoadRunResult {
  ClientMetrics client_metrics;
  /// From the client's send to the arrival of the first attempt at an endpoint, a connect included.
  emulator::LatencyHistogram first_attempt_delay;
  std::uint64_t attempts_received = 0;
  std::uint64_t attempts_executed = 0;
  std::uint64_t health_checks = 0;
  std::uint64_t connections = 0;
  std::uint64_t crashes = 0;
  std::uint64_t discovery_polls = 0;
  std::uint64_t retries = 0;  ///< retries of the sidecars, as received by the servers
  std::uint64_t max_retries_per_second = 0;
  std::uint64_t budget_violations = 0;
  std::vector<std::size_t> retries_by_second;
  double budget_used_fraction = -1;     ///< used part of the retry quota of the whole run; -1: no quota
  std::vector<std::string> violations;  ///< one line for each violation of a rule
  std::string pace_failure;             ///< why the load generator fell behind; empty: it did not

  bool kept_pace() const { return pace_failure.empty(); }
};

}  // namespace indigorill::load_generator
