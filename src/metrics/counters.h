/// \file
/// What a sidecar has received, sent and answered since its start.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <ostream>
#include <string_view>

#include "indigorill/load_balancer.h"

namespace indigorill {

struct Counters {
  using Count = std::uint64_t;
  using OutcomeCounts = std::array<Count, 9>;  ///< by AttemptOutcome

  // RPCs. Each one received is counted in one of the other four when it ends.
  Count rpcs_received = 0;
  Count rpcs_ok = 0;
  Count rpcs_rejected = 0;   ///< answered with 503
  Count rpcs_failed = 0;     ///< answered with 502
  Count rpcs_abandoned = 0;  ///< the client closed its connection first

  // Requests that the load balancer never saw.
  Count malformed_requests = 0;
  Count timed_out_clients = 0;    ///< sent nothing in time
  Count resource_rejections = 0;  ///< no memory or no descriptor was left

  Count streamed_requests = 0;
  Count streamed_responses = 0;
  Count truncated_responses = 0;    ///< streams that broke off
  Count undelivered_responses = 0;  ///< the client had gone

  OutcomeCounts attempts{};
  OutcomeCounts health_checks{};

  Count connections_accepted = 0;  ///< from clients
  Count connections_opened = 0;    ///< to endpoints, as the next two
  Count connections_reused = 0;
  Count connections_retired = 0;
  Count connections_evicted = 0;              ///< closed to free a descriptor
  std::array<Count, 4> evictions_by_state{};  ///< of clients: responded, silent, request incomplete, idle

  Count manually_ejected_endpoints = 0;  ///< at this moment
  Count admin_requests = 0;              ///< on the second address
  Count rejected_admin_requests = 0;

  Count endpoint_list_updates = 0;
  Count endpoint_poll_failures = 0;
  Count malformed_endpoint_lists = 0;

  static void increment(OutcomeCounts& counts, AttemptOutcome outcome) {
    ++counts[static_cast<std::size_t>(outcome)];
  }
};

/// The outcome's name in the counters.
std::string_view name_of(AttemptOutcome outcome);

/// Writes a line for each counter: "name value". The names are an interface that operators' tools read.
std::ostream& operator<<(std::ostream& output, const Counters& counters);

}  // namespace indigorill
