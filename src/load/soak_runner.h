/// \file
/// Runs a soak on sockets: one real sidecar process from its start to SIGKILL.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "load/load_run.h"
#include "load/soak_plan.h"

namespace indigorill::load_generator {

struct SoakResult {
  std::size_t rpcs = 0;
  std::size_t answered = 0;
  std::size_t attempts = 0;
  std::size_t endpoint_changes = 0;
  double observer_lag_ms = 0;
  std::vector<std::string> violations;
  std::string plan;       ///< description of the plan, one line for each topic
  std::string last_line;  ///< last line of the sidecar's log
};

/// Draws the plan from the scenario and the seed of `config`. Throws std::runtime_error if the sidecar can't
/// be started or is not ready in time.
SoakResult run_soak(const LoadRunConfig& config);

}  // namespace indigorill::load_generator
