// What the operators' JSON doesn't hold: how this process logs and what it may use. From a TOML file of its
// own; without one, all is as it was.
#pragma once

#include <limits>

#include "cluster/cluster_node.h"
#include "config/sidecar_config.h"
#include "config/toml_section.h"
#include "logging/logger.h"

namespace indigorill {

struct Options {
  LogLevel log_level = LogLevel::info;
  LogFormat log_format = LogFormat::text;
  double counters_interval_ms = 0;  // ms; 0: only when asked
  // Lower bounds than the config's and the platform's lead.
  std::size_t max_descriptors = std::numeric_limits<std::size_t>::max();
  std::size_t max_memory_bytes = std::numeric_limits<std::size_t>::max();  // bytes
  std::optional<ClusterNode::Config> cluster;                              // its name comes from the config
};

Options decode_options(const toml::table& from);  // throws faulty

// What is wrong with a sidecar's name where it talks to others.
std::optional<std::string> find_node_name_error(const std::string& name);

// Every fault of a config, a line each; none where it is sound.
std::vector<std::string> find_config_errors(const std::string& path, const Options& with,
                                            const std::function<const char*(const char*)>& variable);

}  // namespace indigorill
