// A scenario on sockets: sidecars that run, stand-ins round them, open-loop load, and the verdict from the
// logs of both ends.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "load/clients.h"
#include "load/fleet.h"

namespace indigorill::loading {

struct LoadRunConfig {
  emulator::Scenario scenario;
  std::uint64_t seed = 1;
  std::string sidecar_command;          // starts one sidecar; empty: they run already
  std::uint16_t base_port = 0;          // has to be told where they run already
  std::uint64_t max_requests = 100000;  // RPCs
};

struct LoadRunResult {
  ClientMetrics client_metrics;
  std::uint64_t attempts_received = 0, attempts_executed = 0, health_checks = 0, connections = 0, crashes = 0,
                discovery_polls = 0;
  std::uint64_t retries = 0, max_retries_per_second = 0, budget_violations = 0;
  std::vector<std::size_t> retries_by_second;
  double budget_used_fraction = -1;     // of the whole over all the run; -1: there is none
  std::vector<std::string> violations;  // rules, a line each
  bool kept_pace = true;
  std::string pace_failure;  // why not
};

// The config of one sidecar: what the platform would tell it.
nlohmann::json make_sidecar_config(const emulator::Scenario& s, std::size_t sidecar,
                                   const std::string& listen, const std::string& discovery,
                                   const std::string& known, std::uint64_t seed);

void write_configs(const LoadRunConfig& with, const std::string& folder);

// Bounded by the scenario's length, its longest deadline and a second. Throws std::runtime_error where it
// can't begin.
LoadRunResult run_scenario(const LoadRunConfig& with);

int run_command(int argc, const char* const* argv, std::ostream& out, std::ostream& err);

}  // namespace indigorill::loading
