/// What a load balancer remembers of one endpoint. Plain data; decides nothing.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "indigorill/load_balancer.h"

namespace indigorill {

/// Times before and after all others, in milliseconds of the host's clock.
constexpr double never = -1e18;
constexpr double far_future = 1e18;

/// What is learned over all endpoints of one machine type.
struct MachineTypeStats {
  double service_time_ms = 0;
  double response_count = 0;
};

/// The outcome of one attempt that counts for an endpoint's reputation.
struct OutcomeSample {
  double at_ms;
  bool has_failed;
};

struct OutcomeCounts {
  double outcomes = 0;
  double failures = 0;
};

/// One endpoint. Times are `never` where the event has not happened.
struct TrackedEndpoint {
  std::string id;
  std::uint64_t id_hash = 0;  ///< for rendezvous hashing and the gossip tag
  std::size_t zone_index = 0;
  int cell = 0;
  MachineTypeStats* machine_type = nullptr;  ///< owned by the EndpointTable

  bool is_listed = false;           ///< ready in the endpoint list
  bool ejected_manually = false;    ///< by an operator, whatever the list says
  bool is_ready = false;            ///< listed and not ejected
  bool connection_limited = false;  ///< no new connection may be opened
  double started_at_ms = never;
  double reinstated_at_ms = never;  ///< when an operator ended the ejection

  double in_flight = 0;  ///< our attempts that still occupy the endpoint
  std::size_t idle_connections = 0;
  double last_sent_at_ms = never;
  double rejected_at_ms = never;    ///< when it last rejected an attempt
  double probe_sent_at_ms = never;  ///< of a health check without an answer so far

  double others_in_flight = 0;  ///< RPCs of other sidecars by its last load report
  double reported_at_ms = never;
  double service_time_ms = 0;  ///< time for each RPC in flight, smoothed
  double service_time_at_ms = never;
  std::vector<OutcomeSample> recent_outcomes;  ///< oldest first

  double slow_start_tokens = 1;  ///< attempts that it may be sent while it warms up
  double slow_start_tokens_at_ms = never;

  double failures_to_gossip = 0;  ///< our failures there since the last gossip
  double last_gossiped_in_flight = 0;

  /// Another start than the one known means that another process runs under the id: what the old one did
  /// says nothing of it.
  void set_start_time(double start_ms) {
    if (started_at_ms != start_ms && last_sent_at_ms != never) {
      recent_outcomes.clear();
      last_sent_at_ms = never;
      reported_at_ms = never;
      service_time_at_ms = never;
      rejected_at_ms = never;
      probe_sent_at_ms = never;
      slow_start_tokens = 1;
    }
    started_at_ms = start_ms;
  }
  /// Operators restart what they eject: once reinstated it warms up as if it had started then.
  void reinstate(double at_ms) {
    reinstated_at_ms = at_ms;
    set_start_time(std::max(started_at_ms, at_ms));
  }
  OutcomeCounts count_outcomes_since(double since_ms) const {
    OutcomeCounts counts;
    for (const OutcomeSample& outcome : recent_outcomes) {
      if (outcome.at_ms <= since_ms) continue;
      counts.outcomes += 1;
      counts.failures += outcome.has_failed;
    }
    return counts;
  }
  std::uint32_t gossip_tag() const {
    return static_cast<std::uint32_t>(id_hash % LoadGossip::endpoint_tag_count);
  }
};

}  // namespace indigorill
