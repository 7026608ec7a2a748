/// \file
/// Runs a scenario on sockets, with real sidecars, fakes of the services around them and open-loop load, and
/// checks the rules against the observations of clients and servers.
#pragma once

#include "load/load_run.h"

namespace indigorill::load_generator {

/// After the sidecars are ready, the run takes at most the scenario's duration, its longest deadline and 1 s.
/// Throws std::runtime_error if the run can't start.
LoadRunResult run_scenario(const LoadRunConfig& config);

}  // namespace indigorill::load_generator
