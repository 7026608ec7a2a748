// What a sidecar took in, sent and answered, by outcome.
#pragma once

#include <array>
#include <cstdint>
#include <ostream>
#include <string_view>

#include "indigorill/load_balancer.h"

namespace indigorill {

struct Counters {
  using Count = std::uint64_t;
  using OutcomeCounts = std::array<Count, 9>;

  Count rpcs_received = 0, rpcs_ok = 0, rpcs_rejected = 0, rpcs_failed = 0, rpcs_abandoned = 0;  // RPCs
  Count malformed_requests = 0, timed_out_clients = 0,
        resource_rejections = 0;  // answered without the module
  Count streamed_requests = 0, streamed_responses = 0,
        truncated_responses = 0;    // in pieces; answers that broke off
  Count undelivered_responses = 0;  // answers whose client had gone
  OutcomeCounts attempts{}, health_checks{};
  Count connections_accepted = 0, connections_opened = 0, connections_reused = 0, connections_retired = 0,
        connections_evicted = 0;              // connections
  std::array<Count, 4> evictions_by_state{};  // of clients: answered, silent, half sent, idle
  Count manually_ejected_endpoints = 0;       // endpoints that are out now
  Count admin_requests = 0,
        rejected_admin_requests = 0;  // calls on the second address, and those answered no
  Count endpoint_list_updates = 0, endpoint_poll_failures = 0, malformed_endpoint_lists = 0;

  static void increment(OutcomeCounts& to, AttemptOutcome how) { ++to[static_cast<std::size_t>(how)]; }
};

std::string_view name_of(AttemptOutcome how);

// A line each: "name value".
std::ostream& operator<<(std::ostream& out, const Counters& c);

}  // namespace indigorill
