/// \file
/// The plan of a soak: one short run of a sidecar, with the signals, faults and clients that the protocol
/// page and the standing test allow, drawn from a seed.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "emulator/scenario.h"
#include "load/fake_fleet.h"

namespace indigorill::load_generator {

/// A span in which the discovery agents answer in one mode; between phases the mode is healthy.
struct DiscoveryPhase {
  double start_ms = 0;
  double end_ms = 0;
  DiscoveryMode mode = DiscoveryMode::healthy;
  double response_delay_ms = 0;
};

/// Times are milliseconds of the run.
struct SoakPlan {
  emulator::Scenario scenario;
  double terminate_at_ms = 0;           ///< time of the first SIGTERM
  double new_connections_until_ms = 0;  ///< end of the clients' new connections, after SIGTERM
  double kill_at_ms = 0;                ///< time of SIGKILL
  double departure_share = 0;           ///< share of RPCs whose client leaves before the deadline
  std::vector<double> departure_bursts_ms;
  std::size_t idle_clients = 0;
  std::size_t half_written_clients = 0;
  double crowd_at_ms = 0;
  std::vector<double> reloads_ms;  ///< times of SIGHUP, each with the address of another agent
  std::vector<double> repeated_terminations_ms;
  std::vector<double> counter_dumps_ms;  ///< times of SIGUSR1
  std::vector<double> suspensions_ms;    ///< times of SIGSTOP, each for suspension_ms
  std::vector<DiscoveryPhase> discovery_phases;

  static constexpr double suspension_ms = 150;
  bool has_crowd() const { return idle_clients + half_written_clients > 0; }
};

/// Describes the plan for the report, one line for each topic.
std::string describe(const SoakPlan& plan);

/// Adds times, permissions and faults, drawn from the seed, to the base scenario. Equal seeds give equal
/// plans.
SoakPlan draw_soak_plan(const emulator::Scenario& base, std::uint64_t seed);

}  // namespace indigorill::load_generator
