// What a sidecar is told at its start: where it stands, its limits, the list as it last had it, the settings.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "../decode/settings.h"
#include "company.h"
#include "discovery.h"

namespace indigorill {

struct start {
  std::string name, discovery_host;
  sockaddr_in listen{}, discovery{};
  std::optional<sockaddr_in> second;  // for staff
  std::optional<int> inherited;       // the descriptor of the clients' listener, where the platform holds it
  std::string shared;                 // the folder that two processes of one sidecar share
  std::uint64_t seed = 0;
  std::size_t descriptors = 0, memory = 0;  // memory in bytes
  double counters_every = 0;                // ms between two lines of them; 0: none
  roster known;
  terrain where;
  links with;
  std::optional<company::traits> with_others;  // absent: no socket, no timer, no byte for them
};

// From the environment and the file that it names. Throws malformed with one plain line.
start read_start(const std::function<const char*(const char*)>& variable);
start decode_start(const nlohmann::json& j);

// The file as JSON, the variables that lead over it put in.
nlohmann::json read_config(const std::string& path, const std::function<const char*(const char*)>& variable);
// Reads all of it and says each fault, where decode_start stops at the first.
void check_start(const nlohmann::json& j, const std::function<void(const std::string&)>& fault);

// The same file once more: its word on discovery is newer than the environment's, which is as old as the
// process.
start read_again(const std::function<const char*(const char*)>& variable);

}  // namespace indigorill
