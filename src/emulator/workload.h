/// \file
/// The random load of a scenario: the arrival rate over time, the methods and work of RPCs, and the sidecars
/// or servers that a fault affects. It is the same for all policies with the same seed.
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
  double calm_rate = 0;       ///< RPCs per second outside of bursts
  double peak_rate = 0;       ///< upper bound of the arrival rate, surges included
};

ArrivalPattern make_arrival_pattern(const Scenario& scenario, RandomStream& random);

/// RPCs per second over all sidecars at `time_ms`, without surges.
double arrival_rate(const Scenario& scenario, const ArrivalPattern& pattern, double time_ms);

/// Draws a random sample of the indices 0 .. count - 1. `share` is the fraction of them to draw.
std::vector<std::uint32_t> sample_indices(std::size_t count, double share, RandomStream& random);

struct SampledRpc {
  std::size_t method;
  double work_ms;
};

SampledRpc sample_rpc(const Scenario& scenario, RandomStream& random);

}  // namespace indigorill::emulator
