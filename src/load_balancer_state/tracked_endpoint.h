/// The state that a load balancer keeps for one endpoint. Plain data; decides nothing.
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

/// Statistics over all endpoints of one machine type.
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
  bool ejected_manually = false;    ///< ejected by an operator, whatever the endpoint list says
  bool is_ready = false;            ///< listed and not ejected
  bool connection_limited = false;  ///< no new connection may be opened
  double started_at_ms = never;
  double reinstated_at_ms = never;  ///< when an operator ended the ejection

  double in_flight = 0;  ///< this sidecar's attempts that still occupy the endpoint
  std::size_t idle_connections = 0;
  double last_sent_at_ms = never;
  double rejected_at_ms = never;    ///< time of its last rejection of an attempt
  double probe_sent_at_ms = never;  ///< when a health check was sent that is still unanswered

  double others_in_flight = 0;  ///< RPCs of other sidecars, from its last load report
  double reported_at_ms = never;
  double service_time_ms = 0;  ///< duration divided by queue depth, smoothed
  double service_time_at_ms = never;
  std::vector<OutcomeSample> recent_outcomes;  ///< oldest first

  double slow_start_tokens = 1;  ///< attempts that may be sent to it while it warms up
  double slow_start_tokens_at_ms = never;

  double failures_to_gossip = 0;  ///< failed attempts of this sidecar since its last gossip
  double last_gossiped_in_flight = 0;

  /// A start time that differs from the known one means that a new process runs under the id; observations of
  /// the old process are dropped.
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
  /// Operators restart the endpoints that they eject, so a reinstated one warms up as if it had started at
  /// that time.
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
