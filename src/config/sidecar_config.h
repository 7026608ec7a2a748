/// \file
/// The configuration of a sidecar: the operators' JSON config, some fields of which environment variables can
/// override.
#pragma once

#include <netinet/in.h>

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "cluster/cluster_node.h"
#include "config/config_error.h"
#include "config/environment.h"
#include "config/load_balancer_config.h"
#include "discovery/discovery_client.h"

namespace indigorill {

struct SidecarConfig {
  std::string name;
  std::string discovery_host;  ///< the discovery agent as configured, "address:port"
  sockaddr_in discovery_address{};
  sockaddr_in listen_address{};
  std::optional<sockaddr_in> admin_address;  ///< address for requests of operators; empty if there is none

  /// Descriptor of the clients' listening socket, if the platform opened it and keeps it open over restarts.
  std::optional<int> inherited_listener_fd;

  /// Directory in which the parent and the child process of a hot restart share files; empty if not set.
  std::string shared_directory;

  std::uint64_t seed = 0;  ///< seed of the random numbers
  std::size_t max_descriptors = 0;
  std::size_t max_memory_bytes = 0;
  double counters_interval_ms = 0;  ///< interval of log lines with the counters; 0: only on request

  EndpointListUpdate initial_endpoints;  ///< endpoint list that is used until discovery responds
  LoadBalancerConfig load_balancer;
  ConnectionConfig upstream;
  std::optional<ClusterNode::Config> cluster;  ///< empty if the sidecar doesn't communicate with others
};

/// Reads the file that LB_CONFIG names. Throws ConfigError.
SidecarConfig load_sidecar_config(const EnvironmentLookup& environment);

/// Reads the same file again while the sidecar runs. LB_DISCOVERY doesn't override the file here, because the
/// file is newer than the environment of the process. Throws ConfigError.
SidecarConfig reload_sidecar_config(const EnvironmentLookup& environment);

/// The config file as JSON, after the environment variables have overridden its fields. Throws ConfigError if
/// it can't be read.
nlohmann::json read_config_json(const std::string& path, const EnvironmentLookup& environment);

/// Throws ConfigError with the first problem.
SidecarConfig decode_sidecar_config(const nlohmann::json& config);

/// Returns all problems of the config.
std::vector<ConfigProblem> find_sidecar_config_problems(const nlohmann::json& config);

}  // namespace indigorill
