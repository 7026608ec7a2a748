// The settings that a balancer is started with, the same on the simulator's wire and in a sidecar's config.
#pragma once

#include "config/json_fields.h"
#include "indigorill/load_balancer.h"

namespace indigorill {

LoadBalancerConfig decode_load_balancer_config(const JsonFields& f);

// How settings and load reports name the RPCs in hand.
constexpr const char* in_flight_key = "outstanding";

// What a host with connections of its own has to know of them.
struct ConnectionConfig {
  double idle_timeout_ms = 5000;    // an endpoint closes a connection idle for this long, at the latest
  double connect_timeout_ms = 250;  // one not up within this time has failed
  double drain_grace_ms = 1000;     // after the list's word on an endpoint, nothing new may begin there
};

ConnectionConfig decode_connection_config(const JsonFields& f);

}  // namespace indigorill
