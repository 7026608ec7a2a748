// What a sidecar is told at its start: where it stands, its limits, the list as it last had it, the settings.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "cluster/cluster_node.h"
#include "config/load_balancer_config.h"
#include "discovery/discovery_client.h"

namespace indigorill {

struct SidecarConfig {
  std::string name, discovery_host;
  sockaddr_in listen_address{}, discovery_address{};
  std::optional<sockaddr_in> admin_address;  // for staff
  std::optional<int>
      inherited_listener_fd;     // the descriptor of the clients' listener, where the platform holds it
  std::string shared_directory;  // the folder that two processes of one sidecar share
  std::uint64_t seed = 0;
  std::size_t max_descriptors = 0, max_memory_bytes = 0;  // memory in bytes
  double counters_interval_ms = 0;                        // ms between two lines of them; 0: none
  EndpointListUpdate initial_endpoints;
  LoadBalancerConfig load_balancer;
  ConnectionConfig upstream;
  std::optional<ClusterNode::Config> cluster;  // absent: no socket, no timer, no byte for them
};

// From the environment and the file that it names. Throws malformed with one plain line.
SidecarConfig load_sidecar_config(const std::function<const char*(const char*)>& variable);
SidecarConfig decode_sidecar_config(const nlohmann::json& j);

// The file as JSON, the variables that lead over it put in.
nlohmann::json read_config_json(const std::string& path,
                                const std::function<const char*(const char*)>& variable);
// Reads all of it and says each fault, where decode_start stops at the first.
void check_sidecar_config(const nlohmann::json& j, const std::function<void(const std::string&)>& fault);

// The same file once more: its word on discovery is newer than the environment's, which is as old as the
// process.
SidecarConfig reload_sidecar_config(const std::function<const char*(const char*)>& variable);

}  // namespace indigorill
