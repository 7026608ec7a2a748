/// \file
/// Searches the scenario's ranges for the values at which the load balancer's utility is furthest below that
/// of a baseline, and reduces this scenario step by step as long as most of the loss remains.
#pragma once

#include <toml++/toml.h>

#include <cstddef>
#include <string>
#include <vector>

#include "emulator/balancing_policy.h"

namespace indigorill::emulator {

struct WorstCaseSearch {
  toml::table base_scenario;  ///< with a table "ranges"
  PolicyKind baseline = PolicyKind::true_state;
  std::size_t trial_count = 40;
  std::size_t runs_per_trial = 2;
  double loss_fraction_kept = 0.8;  ///< fraction of the worst loss that a reduced scenario must keep
  unsigned threads = 1;
};

struct WorstCase {
  toml::table worst_scenario;
  toml::table smallest_scenario;
  double worst_loss = 0;     ///< mean utility of the baseline minus that of the load balancer
  double smallest_loss = 0;  ///< loss of the smallest scenario
  std::size_t run_count = 0;
  std::vector<std::string> reductions;  ///< one line for each reduction step
};

/// The result does not depend on the number of threads. Throws ConfigError.
WorstCase find_worst_case(const WorstCaseSearch& search);

}  // namespace indigorill::emulator
