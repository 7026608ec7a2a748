/// \file
/// Many runs of the emulator in parallel: of one scenario, over variables, and for several policies. The
/// results depend on the experiment alone, never on the number of threads.
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

/// The results in the order of the requests. Rethrows what a run throws.
std::vector<RunMetrics> run_all(const std::vector<RunRequest>& requests, unsigned threads);

/// All runs of one policy at one setting of the variables.
struct ExperimentPoint {
  std::vector<VariableSetting> settings;
  PolicyKind policy = PolicyKind::load_balancer;
  std::vector<std::uint64_t> seeds;
  std::vector<RunMetrics> results;  ///< one for each seed
};

struct Experiment {
  toml::table base_scenario;
  std::vector<SweepAxis> axes;
  std::vector<PolicyKind> policies{PolicyKind::load_balancer};
  std::uint64_t first_seed = 0;  ///< 0: the scenario's
  std::size_t run_count = 1;     ///< for each point, on seeds one after the other
  unsigned threads = 1;
};

/// Runs each policy at each combination of the axes' values; the last axis varies fastest. Throws
/// ConfigError.
std::vector<ExperimentPoint> run_experiment(const Experiment& experiment);

}  // namespace indigorill::emulator
