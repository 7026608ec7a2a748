/// \file
/// The load of a scenario, drawn at random: when RPCs arrive, of which methods and with how much work, and
/// whom a fault affects. The same for all policies on one seed.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "emulator/random_stream.h"
#include "emulator/scenario.h"

namespace indigorill::emulator {

/// The course of the arrival rate over a run.
struct ArrivalPattern {
  struct Phase {
    double start_ms;
    bool is_burst;
  };
  std::vector<Phase> phases;  ///< in order; empty where the load has no bursts
  double calm_rate = 0;       ///< RPCs a second outside of bursts
  double peak_rate = 0;       ///< never exceeded, not in surges either
};

ArrivalPattern make_arrival_pattern(const Scenario& scenario, RandomStream& random);

/// RPCs a second over all sidecars at that time, without surges.
double arrival_rate(const Scenario& scenario, const ArrivalPattern& pattern, double time_ms);

/// A random share of the indices 0 .. count - 1.
std::vector<std::uint32_t> sample_indices(std::size_t count, double share, RandomStream& random);

struct SampledRpc {
  std::size_t method;
  double work_ms;
};

SampledRpc sample_rpc(const Scenario& scenario, RandomStream& random);

}  // namespace indigorill::emulator
