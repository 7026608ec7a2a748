/// \file
/// The options file: TOML with the settings that the operators' JSON config doesn't contain. Without an
/// options file the defaults apply.
#pragma once

#include <toml++/toml.h>

#include <cstddef>
#include <limits>
#include <optional>

#include "cluster/cluster_node.h"
#include "config/config_error.h"
#include "logging/logger.h"

namespace indigorill {

struct Options {
  LogLevel log_level = LogLevel::info;
  LogFormat log_format = LogFormat::text;
  double counters_interval_ms = 0;  ///< interval of log lines with the counters; 0: only on request

  // For each of these limits, the lower of the values here and in the config applies.
  std::size_t max_descriptors = std::numeric_limits<std::size_t>::max();
  std::size_t max_memory_bytes = std::numeric_limits<std::size_t>::max();

  /// Set if this sidecar is a member of a cluster. The name of the node comes from the config.
  std::optional<ClusterNode::Config> cluster;
};

/// Throws ConfigError with all problems of the file.
Options decode_options(const toml::table& file);

}  // namespace indigorill
