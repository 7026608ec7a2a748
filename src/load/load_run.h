/// \file
/// What a run of the load generator is given, and what it measures.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "emulator/scenario.h"
#include "load/load_clients.h"

namespace indigorill::load_generator {

struct LoadRunConfig {
  emulator::Scenario scenario;
  std::uint64_t seed = 1;
  std::string sidecar_command;  ///< starts one sidecar; empty: they are running
  std::uint16_t base_port = 0;  ///< 0: the kernel chooses the ports; not where sidecars are running
  std::uint64_t max_requests = 100000;
};

struct LoadRunResult {
  ClientMetrics client_metrics;
  std::uint64_t attempts_received = 0;
  std::uint64_t attempts_executed = 0;
  std::uint64_t health_checks = 0;
  std::uint64_t connections = 0;
  std::uint64_t crashes = 0;
  std::uint64_t discovery_polls = 0;
  std::uint64_t retries = 0;  ///< of the sidecars
  std::uint64_t max_retries_per_second = 0;
  std::uint64_t budget_violations = 0;
  std::vector<std::size_t> retries_by_second;
  double budget_used_fraction = -1;     ///< of the retry quota over the whole run; -1: there is none
  std::vector<std::string> violations;  ///< of rules, a line each
  std::string pace_failure;             ///< why the load generator fell behind; empty: it did not

  bool kept_pace() const { return pace_failure.empty(); }
};

}  // namespace indigorill::load_generator
