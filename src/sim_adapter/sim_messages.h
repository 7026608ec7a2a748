/// Objects of the simulator's protocol: parts of events, and decisions as actions.
#pragma once

#include <string>

#include "config/json_fields.h"
#include "indigorill/load_balancer.h"

namespace indigorill {

/// Each throws ParseError for input that is not allowed.
Endpoint decode_endpoint(const JsonFields& member);
LoadReport decode_load_report(const JsonFields& event);
AttemptOutcome decode_attempt_outcome(const JsonFields& event);

/// One line with the action that an instance of the load balancer has decided on.
std::string encode_decision(int instance, const Decision& decision);

}  // namespace indigorill
