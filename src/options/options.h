// What the operators' JSON doesn't hold: how this process logs and what it may use. From a TOML file of its
// own; without one, all is as it was.
#pragma once

#include <limits>

#include "../decode/section.h"
#include "../net/company.h"
#include "../net/config.h"
#include "../net/log.h"

namespace indigorill {

struct options {
  level shown = level::info;
  log_form form = log_form::text;
  double counters_every = 0;  // ms; 0: only when asked
  // Lower bounds than the config's and the platform's lead.
  std::size_t descriptors = std::numeric_limits<std::size_t>::max();
  std::size_t memory = std::numeric_limits<std::size_t>::max();  // bytes
  std::optional<company::traits> with_others;                    // its name comes from the config
};

options decode_options(const toml::table& from);  // throws faulty

// What is wrong with a sidecar's name where it talks to others.
std::optional<std::string> fault_of_name(const std::string& name);

// Every fault of a config, a line each; none where it is sound.
std::vector<std::string> faults_of_config(const std::string& path, const options& with,
                                          const std::function<const char*(const char*)>& variable);

}  // namespace indigorill
