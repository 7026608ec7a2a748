/// \file
/// Messages of the simulator's protocol: decodes parts of events, and encodes decisions as actions.
#pragma once

#include <string>

#include "config/json_fields.h"
#include "indigorill/load_balancer.h"

namespace indigorill {

/// The decoding functions throw ParseError for invalid input.
Endpoint decode_endpoint(const JsonFields& member);
LoadReport decode_load_report(const JsonFields& event);
AttemptOutcome decode_attempt_outcome(const JsonFields& event);

/// Encodes a decision of an instance of the load balancer as an action on one line.
std::string encode_decision(int instance, const Decision& decision);

}  // namespace indigorill
