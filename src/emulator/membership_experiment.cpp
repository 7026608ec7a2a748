#include "emulator/membership_experiment.h"

#include <algorithm>
#include <iomanip>
#include <numeric>

#include "emulator/membership_simulation.h"

namespace indigorill::emulator {
namespace {

constexpr double settling_ms = 20000;  // pause between changes, so that one does not affect the next
constexpr double false_death_interval_ms = 1000;  // interval between two counts of false deaths
constexpr double ms_per_second = 1000;

// Runs the steady state and counts each new false death once.
std::uint64_t count_steady_state_false_deaths(MembershipSimulation& simulation, double duration_ms) {
  std::uint64_t false_deaths = 0;
  std::uint64_t before = simulation.count_false_deaths();
  for (double elapsed_ms = 0; elapsed_ms < duration_ms; elapsed_ms += false_death_interval_ms) {
    simulation.run_for(false_death_interval_ms);
    const std::uint64_t now = simulation.count_false_deaths();
    false_deaths += now - std::min(now, before);
    before = now;
  }
  return false_deaths;
}

void measure_steady_state(MembershipSimulation& simulation, const MembershipExperiment& experiment,
                          MembershipResult& result) {
  simulation.reset_traffic();
  result.false_deaths = count_steady_state_false_deaths(simulation, experiment.steady_state_ms);
  const double seconds = experiment.steady_state_ms / ms_per_second;
  const auto members = static_cast<std::size_t>(experiment.sidecars);
  for (std::size_t index = 0; index < members; ++index) {
    const MembershipSimulation::Traffic& traffic = simulation.traffic(index);
    const auto datagrams = static_cast<double>(traffic.datagrams_sent);
    const auto bytes = static_cast<double>(traffic.bytes_sent);
    result.datagrams_per_second += datagrams / seconds / static_cast<double>(members);
    result.bytes_per_second += bytes / seconds / static_cast<double>(members);
    result.peak_bytes_per_second = std::max(result.peak_bytes_per_second, bytes / seconds);
  }
}

// Prints both times in seconds, or -1 for a timeout.
void print_convergence(std::ostream& out, const ConvergenceTime& convergence) {
  constexpr int width = 10;
  for (const double time_ms : {convergence.p90_ms, convergence.all_ms})
    out << std::setw(width) << (time_ms < 0 ? -1 : time_ms / ms_per_second);
}

void print_measurement(std::ostream& out, const MembershipMeasurement& measurement) {
  const MembershipResult& result = measurement.result;
  out << std::setprecision(2);
  out << std::setw(9) << measurement.experiment.sidecars;
  out << std::setw(9) << measurement.experiment.loss;
  out << std::setprecision(1);
  print_convergence(out, result.start);
  print_convergence(out, result.join);
  print_convergence(out, result.leave);
  print_convergence(out, result.death);
  out << std::setw(13) << result.false_deaths;
  out << std::setw(11) << result.datagrams_per_second;
  out << std::setprecision(0);
  out << std::setw(9) << result.bytes_per_second;
  out << std::setw(14) << result.peak_bytes_per_second;
  out << std::setw(9) << result.longest_datagram_bytes << '\n';
}

}  // namespace

MembershipResult run_membership_experiment(const MembershipExperiment& experiment) {
  MembershipSimulation simulation(experiment);
  MembershipResult result;
  const auto members = static_cast<std::size_t>(experiment.sidecars);
  const std::size_t joining = members;
  const std::size_t dying = members - 1;
  std::vector<std::size_t> all_members(members);
  std::iota(all_members.begin(), all_members.end(), std::size_t{0});
  for (const std::size_t index : all_members) simulation.start(index);
  result.start = simulation.wait_until_known(all_members, Member::State::alive);
  simulation.run_for(settling_ms);
  measure_steady_state(simulation, experiment, result);
  simulation.start(joining);
  result.join = simulation.wait_until_known({joining}, Member::State::alive);
  simulation.run_for(settling_ms);
  simulation.leave(joining);
  result.leave = simulation.wait_until_known({joining}, Member::State::left);
  simulation.run_for(settling_ms);
  simulation.crash(dying);
  result.death = simulation.wait_until_known({dying}, Member::State::dead);
  result.longest_datagram_bytes = simulation.longest_datagram_bytes();
  return result;
}

void print_membership_results(std::ostream& out, const std::vector<MembershipMeasurement>& measurements) {
  out << " sidecars     loss  start_90 start_all   join_90  join_all  leave_90 leave_all  death_90 death_all"
         " false_deaths  datagrams  bytes_s  most_bytes_s  longest\n";
  out << std::fixed;
  for (const MembershipMeasurement& measurement : measurements) print_measurement(out, measurement);
  out << "times in seconds, -1: not within the patience; datagrams and bytes a second, sent by each\n";
}

}  // namespace indigorill::emulator
