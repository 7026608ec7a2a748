// One sidecar: its parts, put together and run until it is told to stop.
#pragma once

#include "config/sidecar_config.h"
#include "logging/logger.h"

namespace indigorill {

// Before all else: a word that comes while the config is read ends the process as any other time, with status
// 0, and a SIGHUP doesn't end it.
void block_signals();

// read_again: the config anew, as SIGHUP asks for; throws malformed.
void run_sidecar(const SidecarConfig& with, const std::function<SidecarConfig()>& read_again, Logger& lines);

}  // namespace indigorill
