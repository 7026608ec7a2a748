/// \file
/// Measurements of one run of the emulator.
#pragma once

#include <cstdint>
#include <vector>

#include "emulator/latency_histogram.h"
#include "emulator/rule_checker.h"

namespace indigorill::emulator {

/// Counts for one second: of the requests that arrived in it, and of the attempts, handshakes, health checks
/// and polls in it.
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
  // Requests that arrived after the warm-up.
  double offered_utility = 0;
  double gained_utility = 0;
  LatencyHistogram latency;  ///< from the first arrival, of requests answered in time or late

  // Counts of all client requests by outcome; open_at_end counts those that have none.
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

  std::uint64_t peak_connections = 0;                 ///< most open connections at one server
  std::uint64_t peak_handshakes_per_second = 0;       ///< most in one second at one server
  std::uint64_t peak_health_checks_per_second = 0;    ///< most in one second at one server
  std::uint64_t peak_discovery_polls_per_second = 0;  ///< most in one second from all sidecars
  std::uint64_t limit_denials = 0;
  double peak_slow_start_overload = 0;  ///< highest work in a slow-start window over the limit for it
  /// Time from the first change of the endpoint list until every sidecar knew all changes; 0 if that did not
  /// happen.
  double endpoint_convergence_ms = 0;

  std::vector<SecondMetrics> seconds;
  std::vector<RuleViolation> violations;  ///< the first violations
  std::uint64_t violation_count = 0;      ///< number of all violations

  double utility() const { return offered_utility > 0 ? gained_utility / offered_utility : 0; }
};

}  // namespace indigorill::emulator
