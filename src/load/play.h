// A scenario on sockets: sidecars that run, stand-ins round them, open-loop load, and the verdict from the
// logs of both ends.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "clients.h"
#include "fleet.h"

namespace indigorill::loading {

struct start_of_load {
  lab::scenario plays;
  std::uint64_t seed = 1;
  std::string command;          // starts one sidecar; empty: they run already
  std::uint16_t base_port = 0;  // has to be told where they run already
  std::uint64_t most = 100000;  // RPCs
};

struct outcome {
  told heard;
  std::uint64_t came = 0, ran = 0, probes = 0, connections = 0, falls = 0, list_calls = 0;
  std::uint64_t further = 0, most_further = 0, over_budget = 0;
  std::vector<std::size_t> further_by_second;
  double used_of_budget = -1;       // of the whole over all the run; -1: there is none
  std::vector<std::string> broken;  // rules, a line each
  bool kept_pace = true;
  std::string pace;  // why not
};

// The config of one sidecar: what the platform would tell it.
nlohmann::json config_of(const lab::scenario& s, std::size_t sidecar, const std::string& listen,
                         const std::string& discovery, const std::string& known, std::uint64_t seed);

void write_configs(const start_of_load& with, const std::string& folder);

// Bounded by the scenario's length, its longest deadline and a second. Throws std::runtime_error where it
// can't begin.
outcome play(const start_of_load& with);

int command(int argc, const char* const* argv, std::ostream& out, std::ostream& err);

}  // namespace indigorill::loading
