/// \file
/// Runs the emulator many times in parallel: one scenario with several seeds, values of variables and
/// policies. The results do not depend on the number of threads.
#pragma once

#include <toml++/toml.h>

#include <cstddef>
#include <cstdint>
#include <vector>

#include "emulator/balancing_policy.h"
#include "emulator/run_metrics.h"
#include "emulator/scenario.h"
#include "emulator/sweep.h"

namespace indigorill::emulator {

struct RunRequest {
  Scenario scenario;
  PolicyKind policy = PolicyKind::load_balancer;
  std::uint64_t seed = 1;
};

/// Returns the results in the order of the requests. If a run throws, the exception is rethrown after all
/// runs.
std::vector<RunMetrics> run_all(const std::vector<RunRequest>& requests, unsigned threads);

/// All runs of one policy at one combination of the variables' values.
struct ExperimentPoint {
  std::vector<VariableSetting> settings;
  PolicyKind policy = PolicyKind::load_balancer;
  std::vector<std::uint64_t> seeds;
  std::vector<RunMetrics> results;  ///< one per seed, in the same order
};

struct Experiment {
  toml::table base_scenario;
  std::vector<SweepAxis> axes;
  std::vector<PolicyKind> policies{PolicyKind::load_balancer};
  std::uint64_t first_seed = 0;  ///< 0: the scenario's seed
  std::size_t run_count = 1;     ///< runs per point, with consecutive seeds
  unsigned threads = 1;
};

/// Runs each policy at each combination of the axes' values; the last axis varies fastest. Throws ConfigError
/// if a combination is not a valid scenario.
std::vector<ExperimentPoint> run_experiment(const Experiment& experiment);

}  // namespace indigorill::emulator
