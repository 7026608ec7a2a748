/// \file
/// Measures the membership protocol on an emulated network: how soon all members know of a join, a leave and
/// a death, how often a live member is considered dead, and how much traffic each member sends. The members
/// and their encoded datagrams come from the same code as in a sidecar.
#pragma once

#include <cstddef>
#include <cstdint>
#include <ostream>
#include <vector>

namespace indigorill::emulator {

struct MembershipExperiment {
  int sidecars = 10;
  int seeds = 3;
  double loss = 0;  ///< share of datagrams that are lost
  double probe_interval_ms = 1000;
  double probe_timeout_ms = 300;
  double delay_ms = 1;
  double jitter_ms = 4;
  double steady_state_ms = 60000;          ///< time over which traffic and false deaths are counted
  double convergence_timeout_ms = 300000;  ///< maximum wait until each change is known to all
  std::uint64_t seed = 1;
};

/// Time until 90 % of the members, and until all of them, knew of a change; -1 if the timeout came first.
struct ConvergenceTime {
  double p90_ms = -1;
  double all_ms = -1;
};

struct MembershipResult {
  ConvergenceTime start;
  ConvergenceTime join;
  ConvergenceTime leave;
  ConvergenceTime death;
  /// Pairs of an observer and a live member that it newly considered dead, in the steady state.
  std::uint64_t false_deaths = 0;
  double datagrams_per_second = 0;   ///< mean sent per member, in the steady state
  double bytes_per_second = 0;       ///< mean sent per member, in the steady state
  double peak_bytes_per_second = 0;  ///< sent by the member that sends most, in the steady state
  std::size_t longest_datagram_bytes = 0;
};

MembershipResult run_membership_experiment(const MembershipExperiment& experiment);

struct MembershipMeasurement {
  MembershipExperiment experiment;
  MembershipResult result;
};

/// Prints a table with a line for each measurement.
void print_membership_results(std::ostream& out, const std::vector<MembershipMeasurement>& measurements);

}  // namespace indigorill::emulator
