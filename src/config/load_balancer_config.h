/// The settings that a load balancer is started with: the same object in the simulator's protocol and in a
/// sidecar's config file.
#pragma once

#include "config/json_fields.h"
#include "indigorill/load_balancer.h"

namespace indigorill {

/// Throws ParseError where a value is not allowed.
LoadBalancerConfig decode_load_balancer_config(const JsonFields& settings);

/// How settings and load reports name the RPCs in flight.
constexpr const char* in_flight_key = "outstanding";

/// Settings of a host that has connections of its own.
struct ConnectionConfig {
  double idle_timeout_ms =
      5000;  ///< an endpoint closes a connection that is idle for this long, at the latest
  double connect_timeout_ms = 250;  ///< a connection not established within this time has failed
  double drain_grace_ms = 1000;     ///< time from an endpoint's drain until no request may begin there
};

/// Throws ParseError where a value is not allowed.
ConnectionConfig decode_connection_config(const JsonFields& settings);

}  // namespace indigorill
