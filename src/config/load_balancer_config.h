/// \file
/// Settings of a load balancer and of its connections. The simulator's protocol and a sidecar's config file
/// contain them as the same JSON object.
#pragma once

#include "config/json_fields.h"
#include "indigorill/load_balancer.h"

namespace indigorill {

/// Throws ParseError if a value is invalid.
LoadBalancerConfig decode_load_balancer_config(const JsonFields& settings);

/// Name of the number of RPCs in flight, in settings and in load reports.
constexpr const char* in_flight_key = "outstanding";

/// Settings of a program that opens connections to endpoints itself.
struct ConnectionConfig {
  double idle_timeout_ms = 5000;    ///< idle time after which, at the latest, an endpoint closes a connection
  double connect_timeout_ms = 250;  ///< time within which a connection has to be established
  double drain_grace_ms = 1000;     ///< time from an endpoint's drain until no request may start there
};

/// Throws ParseError if a value is invalid.
ConnectionConfig decode_connection_config(const JsonFields& settings);

}  // namespace indigorill
