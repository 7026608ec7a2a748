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

/// What faults act on; all of it must outlive the run.
struct FaultTargets {
  LoadTestBed& bed;
  LoadClients& clients;
  SidecarProcesses* sidecars;  ///< null where the sidecars are not ours: then no fault may be of sidecars
};

/// Whether it needs sidecar processes that this program has started.
bool is_sidecar_fault(emulator::Fault::Kind kind);

/// `index`: of the fault in the scenario, for its random draws.
void schedule_fault(const FaultTargets& targets, const emulator::Fault& fault, std::size_t index,
                    std::uint64_t seed);

}  // namespace indigorill::load_generator
