// Many members on an emulated network, to measure how soon all know of a join, a leave and a death, how often
// the living are taken for dead, and what it costs each. The members are the sidecar's own; so are the bytes.
#pragma once

#include <cstdint>
#include <ostream>
#include <string>
#include <vector>

namespace indigorill::emulator {

struct MembershipExperiment {
  int sidecars = 10, seeds = 3;
  double loss = 0;                                          // of all datagrams
  double probe_interval_ms = 1000, probe_timeout_ms = 300;  // ms
  double delay_ms = 1, jitter_ms = 4;                       // ms
  double steady_state_ms = 60000;          // ms, over which costs and false deaths are counted
  double convergence_timeout_ms = 300000;  // ms, for each thing to become known
  std::uint64_t seed = 1;
};

struct ConvergenceTime {
  double p90_ms = -1, all_ms = -1;  // ms; -1: not within the patience
};

struct MembershipResult {
  ConvergenceTime start, join, leave, death;
  std::uint64_t false_deaths = 0;  // a living one taken for dead by one other, in the calm time
  double datagrams_per_second = 0, bytes_per_second = 0;  // a second, sent by each in the calm time
  double peak_bytes_per_second = 0;                       // by the one that sends most
  std::size_t longest_datagram_bytes = 0;                 // datagram, bytes
};

MembershipResult run_membership_experiment(const MembershipExperiment& how);

// A line for each, with headings.
void print_membership_results(std::ostream& out,
                              const std::vector<std::pair<MembershipExperiment, MembershipResult>>& all);

}  // namespace indigorill::emulator
