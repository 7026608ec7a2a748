/// \file
/// Rule 2, judged from both ends: no effect twice, and no rejection of what was executed.
#pragma once

#include <string>
#include <vector>

#include "load/fake_fleet.h"
#include "load/load_clients.h"

namespace indigorill::load_generator {

/// A line for each way in which the rule was broken.
std::vector<std::string> find_effect_violations(const FakeFleet& fleet, const LoadClients& clients);

}  // namespace indigorill::load_generator
