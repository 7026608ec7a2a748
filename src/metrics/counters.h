/// \file
/// Counters of a sidecar process since its start: RPCs, attempts, connections and endpoint lists.
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
  using OutcomeCounts = std::array<Count, 9>;  ///< indexed by AttemptOutcome

  // RPCs. Each received RPC is also counted in one of the other four counters when it ends.
  Count rpcs_received = 0;
  Count rpcs_ok = 0;
  Count rpcs_rejected = 0;   ///< answered with 503
  Count rpcs_failed = 0;     ///< answered with 502
  Count rpcs_abandoned = 0;  ///< the client left, or its streamed body failed, before the result

  // Requests and connections that the HTTP server ends by itself.
  Count malformed_requests = 0;
  Count timed_out_clients = 0;    ///< connections closed because no request byte arrived in time
  Count resource_rejections = 0;  ///< RPCs beyond the limit of connections or of buffered bytes

  Count streamed_requests = 0;
  Count streamed_responses = 0;
  Count truncated_responses = 0;    ///< streamed responses that ended before they were complete
  Count undelivered_responses = 0;  ///< their connection was closed before all was written

  Count overdue_requests = 0;      ///< streamed requests given up because their endpoint took them too slowly
  Count incomplete_responses = 0;  ///< attempts that ended between the response's head and its end

  OutcomeCounts attempts{};
  OutcomeCounts health_checks{};

  Count connections_accepted = 0;  ///< from clients
  Count connections_opened = 0;    ///< to endpoints
  Count connections_reused = 0;    ///< exchanges on an idle connection to an endpoint
  Count connections_retired = 0;   ///< to endpoints, closed ahead of the idle timeout
  Count connections_evicted = 0;   ///< of clients and to endpoints, closed to stay within the limits
  std::array<Count, 4> evictions_by_state{};  ///< of clients only, indexed by EvictionClass

  Count manually_ejected_endpoints = 0;  ///< current number
  Count admin_requests = 0;              ///< requests on the admin address
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

/// Writes one line "name value" for each counter. The names are an interface: operators' tools read them.
std::ostream& operator<<(std::ostream& output, const Counters& counters);

}  // namespace indigorill
