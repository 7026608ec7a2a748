/// \file
/// The fakes of a run and the addresses that its sidecars listen on.
#pragma once

#include <netinet/in.h>

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "event/event_loop.h"
#include "load/fake_fleet.h"
#include "load/load_run.h"
#include "load/wall_clock_scheduler.h"

namespace indigorill::load_generator {

struct LoadTestBed {
  /// Throws std::runtime_error if the scenario has too many sidecars or servers for its ports.
  explicit LoadTestBed(const LoadRunConfig& config);

  EventLoop loop;
  FileDescriptorBudget descriptors;
  WallClockScheduler clock;
  std::unique_ptr<FakeFleet> fleet;
  std::vector<sockaddr_in> sidecar_addresses;
};

/// The configuration of one sidecar, as the platform would give it. `known_endpoints`: the endpoint
/// list that the sidecar starts with.
nlohmann::json make_sidecar_config(const emulator::Scenario& scenario, std::size_t sidecar,
                                   const std::string& listen_address, const std::string& discovery_address,
                                   const std::string& known_endpoints, std::uint64_t seed);

/// The configuration of one sidecar on a test bed.
nlohmann::json make_sidecar_config(const LoadRunConfig& config, const LoadTestBed& bed, std::size_t sidecar);

/// Writes n0.json, n1.json, ... into a directory. Throws std::runtime_error if this fails.
void write_sidecar_configs(const LoadRunConfig& config, const std::string& directory);

}  // namespace indigorill::load_generator
