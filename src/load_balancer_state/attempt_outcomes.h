/// Facts that follow from the definition of an attempt's outcome.
#pragma once

#include "indigorill/load_balancer.h"

namespace indigorill {

/// True if the endpoint can't have run the RPC.
constexpr bool is_certainly_not_executed(AttemptOutcome outcome) {
  return outcome == AttemptOutcome::rejected || outcome == AttemptOutcome::connect_failed ||
         outcome == AttemptOutcome::client_error || outcome == AttemptOutcome::withdrawn;
}

/// True if the outcome is evidence about the endpoint.
constexpr bool concerns_endpoint(AttemptOutcome outcome) {
  return outcome != AttemptOutcome::cancelled && outcome != AttemptOutcome::client_error &&
         outcome != AttemptOutcome::withdrawn;
}

}  // namespace indigorill
