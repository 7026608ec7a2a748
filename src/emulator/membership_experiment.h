/// \file
/// Measures the membership protocol on an emulated network: how soon all members know of a join, a leave and
/// a death, how often a live member is taken for dead, and what it costs each. The members and the bytes of
/// their datagrams are the sidecar's own.
#pragma once

#include <cstddef>
#include <cstdint>
#include <ostream>
#include <vector>

namespace indigorill::emulator {

struct MembershipExperiment {
  int sidecars = 10;
  int seeds = 3;
  double loss = 0;  ///< the share of datagrams that is lost
  double probe_interval_ms = 1000;
  double probe_timeout_ms = 300;
  double delay_ms = 1;
  double jitter_ms = 4;
  double steady_state_ms = 60000;          ///< over which costs and false deaths are counted
  double convergence_timeout_ms = 300000;  ///< for each change to become known
  std::uint64_t seed = 1;
};

/// How long until 90 % of the members, and all of them, knew of a change; -1: not within the timeout.
struct ConvergenceTime {
  double p90_ms = -1;
  double all_ms = -1;
};

struct MembershipResult {
  ConvergenceTime start;
  ConvergenceTime join;
  ConvergenceTime leave;
  ConvergenceTime death;
  std::uint64_t false_deaths = 0;   ///< live members taken for dead, by each that did so, in the steady state
  double datagrams_per_second = 0;  ///< sent by each, in the steady state
  double bytes_per_second = 0;      ///< the same
  double peak_bytes_per_second = 0;  ///< of the member that sends most
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
