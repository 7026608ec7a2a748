// One sidecar: its parts, put together and run until it is told to stop.
#pragma once

#include "config.h"
#include "log.h"

namespace indigorill {

void run_sidecar(const start& with, logger& lines);

}  // namespace indigorill
