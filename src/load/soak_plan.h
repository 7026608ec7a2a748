/// \file
/// One short life of a sidecar under everything that the protocol page and the standing test allow to happen,
/// drawn from a seed.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "emulator/scenario.h"
#include "load/fake_fleet.h"

namespace indigorill::load_generator {

/// For how long discovery's agents answer in one way; healthy otherwise.
struct DiscoveryPhase {
  double start_ms = 0;
  double end_ms = 0;
  DiscoveryMode mode = DiscoveryMode::healthy;
  double response_delay_ms = 0;
};

/// Times are milliseconds of the run.
struct SoakPlan {
  emulator::Scenario scenario;
  double terminate_at_ms = 0;           ///< the first SIGTERM
  double new_connections_until_ms = 0;  ///< the clients' own, after that
  double kill_at_ms = 0;                ///< SIGKILL
  double departure_share = 0;           ///< of clients that leave before their deadline
  std::vector<double> departure_bursts_ms;
  std::size_t idle_clients = 0;
  std::size_t half_written_clients = 0;
  double crowd_at_ms = 0;
  std::vector<double> reloads_ms;  ///< SIGHUP, with the address of another agent
  std::vector<double> repeated_terminations_ms;
  std::vector<double> counter_dumps_ms;  ///< SIGUSR1
  std::vector<double> suspensions_ms;    ///< SIGSTOP, for suspension_ms each
  std::vector<DiscoveryPhase> discovery_phases;

  static constexpr double suspension_ms = 150;
  bool has_crowd() const { return idle_clients + half_written_clients > 0; }
};

/// One line a topic, for whoever looks into a run.
std::string describe(const SoakPlan& plan);

/// The base scenario with times, permissions and faults drawn by the seed. Equal seeds give equal plans.
SoakPlan draw_soak_plan(const emulator::Scenario& base, std::uint64_t seed);

}  // namespace indigorill::load_generator
