/// \file
/// Faults of a run on sockets: of the fakes, of the clients, and of real sidecar processes.
#pragma once

#include <cstddef>
#include <cstdint>

#include "emulator/scenario.h"
#include "load/load_clients.h"
#include "load/load_test_bed.h"
#include "load/sidecar_processes.h"

namespace indigorill::load_generator {

/// The objects that faults act on, which must outlive the run.
struct FaultTargets {
  LoadTestBed& bed;
  LoadClients& clients;
  SidecarProcesses* sidecars;  ///< null if not started by this program; no fault may be of sidecars then
};

/// Whether a fault of this kind needs sidecar processes that this program has started.
bool is_sidecar_fault(emulator::Fault::Kind kind);

/// `index`: the fault's position in the scenario, which selects the seed of its random draws.
void schedule_fault(const FaultTargets& targets, const emulator::Fault& fault, std::size_t index,
                    std::uint64_t seed);

}  // namespace indigorill::load_generator
