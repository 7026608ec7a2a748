/// \file
/// Checks rule 2 against the observations of clients and servers: a non-idempotent RPC is not executed twice,
/// and is not rejected if it was executed.
#pragma once

#include <string>
#include <vector>

#include "load/fake_fleet.h"
#include "load/load_clients.h"

namespace indigorill::load_generator {

/// Returns one line for each kind of violation of the rule.
std::vector<std::string> find_effect_violations(const FakeFleet& fleet, const LoadClients& clients);

}  // namespace indigorill::load_generator
