/// The state that a load balancer keeps for one RPC and its attempts. Plain data; decides nothing.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "load_balancer_state/tracked_endpoint.h"

namespace indigorill {

struct TrackedRpc;

/// One attempt of an RPC at one endpoint.
struct Attempt {
  TrackedEndpoint* endpoint;
  TrackedRpc* rpc;
  int index;
  double sent_at_ms;
  double queue_depth_when_sent;
  bool is_retry;
  bool is_outstanding = true;
  bool may_have_run = true;
  bool is_released = false;  ///< no longer counted as in flight at its endpoint

  /// Called when the attempt no longer delays other RPCs at its endpoint.
  void release_endpoint() {
    if (is_released) return;
    is_released = true;
    endpoint->in_flight -= 1;
  }
};

/// One RPC from its arrival until its last attempt has ended.
struct TrackedRpc {
  std::string id;
  const MethodConfig* method = nullptr;
  std::size_t arrival_index = 0;  ///< breaks ties between equal due times
  double deadline_ms = 0;
  double objective_at_ms = 0;  ///< time at which the latency objective ends
  std::optional<std::uint64_t> routing_key;
  double quota_factor = 1;  ///< factor on the priority weight, for RPCs over a tenant's quota

  std::deque<Attempt> attempts;  // a deque, because cancellations point to its elements
  int withdrawn_count = 0;       ///< attempts that the host withdrew unsent

  double probe_count = never;  ///< number of health checks that the RPC is worth
  std::vector<TrackedEndpoint*> probe_targets;
  std::vector<TrackedEndpoint*> probed_endpoints;  ///< the targets processed so far, in the same order
  double probe_wait_until_ms = never;

  double due_at_ms = never;
  bool is_concluded = false;  ///< the client has its answer or has disconnected
  bool is_streaming = false;  ///< bytes that can't be sent again were forwarded
  bool is_queued = false;

  int outstanding_count() const {
    return static_cast<int>(std::count_if(attempts.begin(), attempts.end(),
                                          [](const Attempt& attempt) { return attempt.is_outstanding; }));
  }
  int attempt_count() const { return static_cast<int>(attempts.size()) - withdrawn_count; }
  /// The first attempt that may have been executed, or may still be; null if there is none.
  const Attempt* first_possibly_executed() const {
    for (const Attempt& attempt : attempts)
      if (attempt.is_outstanding || attempt.may_have_run) return &attempt;
    return nullptr;
  }
};

}  // namespace indigorill
