/// \file
/// Plays a scenario on sockets: real sidecars, fakes of all that is around them, open-loop load, and the
/// verdict from what both ends saw.
#pragma once

#include "load/load_run.h"

namespace indigorill::load_generator {

/// Takes no longer than the scenario, its longest deadline and a second, after the sidecars are ready. Throws
/// std::runtime_error where it can't begin.
LoadRunResult run_scenario(const LoadRunConfig& config);

}  // namespace indigorill::load_generator
