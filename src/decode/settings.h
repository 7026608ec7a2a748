// The settings that a balancer is started with, the same on the simulator's wire and in a sidecar's config.
#pragma once

#include "fields.h"
#include "indigorill/balance.h"

namespace indigorill {

terrain decode_settings(const fields& f);

// How settings and load reports name the RPCs in hand.
constexpr const char* held_word = "outstanding";

// What a host with connections of its own has to know of them.
struct links {
  double idle = 5000;    // an endpoint closes a connection idle for this long, at the latest
  double connect = 250;  // one not up within this time has failed
  double grace = 1000;   // after the list's word on an endpoint, nothing new may begin there
};

links decode_links(const fields& f);

}  // namespace indigorill
