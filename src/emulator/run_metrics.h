/// \file
/// What one run of the emulator measures.
#pragma once

#include <cstdint>
#include <vector>

#include "emulator/latency_histogram.h"
#include "emulator/rule_checker.h"

namespace indigorill::emulator {

/// Counts of one second: of the requests that arrived in it, and of what sidecars did in it.
struct SecondMetrics {
  double offered_utility = 0;
  double gained_utility = 0;
  std::uint64_t arrived = 0;
  std::uint64_t ok = 0;
  std::uint64_t late = 0;
  std::uint64_t rejected = 0;
  std::uint64_t failed = 0;
  std::uint64_t attempts = 0;
  std::uint64_t handshakes = 0;
  std::uint64_t health_checks = 0;
  std::uint64_t discovery_polls = 0;
  std::uint64_t connect_failed = 0;
  std::uint64_t started_in_slow_start = 0;  ///< attempts that a server in slow start began to work on
};

struct RunMetrics {
  // Of the requests that arrived after the measurement's warm-up.
  double offered_utility = 0;
  double gained_utility = 0;
  LatencyHistogram latency;  ///< of those answered ok, from their first arrival

  // Of all client requests; open_at_end is the rest.
  std::uint64_t arrived = 0;
  std::uint64_t ok = 0;
  std::uint64_t late = 0;
  std::uint64_t rejected = 0;
  std::uint64_t failed = 0;
  std::uint64_t unanswered = 0;
  std::uint64_t lost = 0;
  std::uint64_t open_at_end = 0;

  std::uint64_t attempts = 0;
  std::uint64_t handshakes = 0;
  std::uint64_t health_checks = 0;
  std::uint64_t discovery_polls = 0;
  std::uint64_t discovery_rejections = 0;
  std::uint64_t connect_failed = 0;
  std::uint64_t timed_out = 0;
  std::uint64_t queue_full = 0;
  std::uint64_t errors = 0;
  std::uint64_t crashes = 0;
  std::uint64_t events = 0;

  std::uint64_t peak_connections = 0;                 ///< open at one server
  std::uint64_t peak_handshakes_per_second = 0;       ///< at one server
  std::uint64_t peak_health_checks_per_second = 0;    ///< at one server
  std::uint64_t peak_discovery_polls_per_second = 0;  ///< of all sidecars
  std::uint64_t limit_denials = 0;
  double peak_slow_start_overload = 0;  ///< over the limit for it
  /// From the first change of the endpoint list until every sidecar knew all changes; 0: never.
  double endpoint_convergence_ms = 0;

  std::vector<SecondMetrics> seconds;
  std::vector<RuleViolation> violations;  ///< the first ones
  std::uint64_t violation_count = 0;      ///< of all

  double utility() const { return offered_utility > 0 ? gained_utility / offered_utility : 0; }
};

}  // namespace indigorill::emulator
