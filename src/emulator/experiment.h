// Many runs of the emulator: the same plan in parallel, over a variable, beside baselines, and in search of
// the worst day. What comes out hangs on the plan alone, never on the number of threads.
#pragma once

#include <functional>
#include <ostream>
#include <string>
#include <vector>

#include "emulator/scenario_table.h"
#include "emulator/simulation.h"

namespace indigorill::emulator {

struct RunRequest {
  Scenario scenario;
  PolicyKind policy = PolicyKind::load_balancer;
  std::uint64_t seed = 1;
};

std::vector<RunMetrics> run_all(const std::vector<RunRequest>& plan, unsigned threads);

// What runs are compared by; `q` is set for quantiles, which need enough samples.
struct Metric {
  const char* name;
  std::function<double(const RunMetrics&)> value;
  double quantile = 0;
  bool has_too_few_samples(const RunMetrics& f) const {
    return quantile > 0 && f.latency.has_too_few_samples(quantile);
  }
};
const std::vector<Metric>& measures();

// A variable and the values that it takes.
struct SweepAxis {
  std::string path;
  std::vector<double> values;
};
SweepAxis parse_axis(const std::string& text);  // "load.rate=100,200" or "load.rate=100:400:4"; throws faulty
std::pair<std::string, double> parse_setting(const std::string& text);  // "load.rate=100"

// One point of an experiment: where it stands, who decided, and what its runs gave.
struct ExperimentPoint {
  std::vector<std::pair<std::string, double>> settings;
  PolicyKind policy = PolicyKind::load_balancer;
  std::vector<std::uint64_t> seeds;
  std::vector<RunMetrics> results;
};

struct Experiment {
  toml::table base_scenario;
  std::vector<SweepAxis> axes;
  std::vector<PolicyKind> policies{PolicyKind::load_balancer};
  std::uint64_t first_seed = 0;  // 0: the scenario's
  std::size_t run_count = 1;
  unsigned threads = 1;
};
std::vector<ExperimentPoint> run_experiment(const Experiment& e);

// The worst day within the scenario's ranges, and the smallest that still loses most of that.
struct WorstCase {
  toml::table worst_scenario, smallest_scenario;
  double worst_loss = 0, smallest_loss = 0;  // of utility, behind the policy it is held against
  std::size_t run_count = 0;
  std::vector<std::string> reductions;  // what was cut down, a line each
};
struct WorstCaseSearch {
  toml::table base_scenario;
  PolicyKind baseline = PolicyKind::true_state;
  std::size_t trial_count = 40, runs_per_trial = 2;
  double loss_fraction_kept = 0.8;  // of the worst loss
  unsigned threads = 1;
};
WorstCase find_worst_case(const WorstCaseSearch& h);

}  // namespace indigorill::emulator
