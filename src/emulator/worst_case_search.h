/// \file
/// Searches the scenario's ranges for the setting at which the load balancer loses most utility to a
/// baseline, and reduces it to the smallest scenario that still loses most of that.
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
  double loss_fraction_kept = 0.8;  ///< that a reduced scenario must still lose, of the worst loss
  unsigned threads = 1;
};

struct WorstCase {
  toml::table worst_scenario;
  toml::table smallest_scenario;
  double worst_loss = 0;  ///< of utility, to the baseline
  double smallest_loss = 0;
  std::size_t run_count = 0;
  std::vector<std::string> reductions;  ///< a line each
};

/// The result depends on the search alone, never on the number of threads. Throws ConfigError.
WorstCase find_worst_case(const WorstCaseSearch& search);

}  // namespace indigorill::emulator
