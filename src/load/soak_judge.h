/// \file
/// Judges a soak from what clients, endpoints and discovery saw, by the sentences of the protocol page and of
/// the standing test alone. What the sidecar says of itself counts for nothing.
#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "load/fake_fleet.h"
#include "load/load_clients.h"

namespace indigorill::load_generator {

/// A time in which discovery could be reached without a break, in ms of the run, and how long after a change
/// was to be had in it that change is owed.
struct ReachableSpan {
  double start_ms = 0;
  double end_ms = 0;
  double owed_after_ms = 0;
};

/// How the sidecar's process ended.
struct ProcessEnd {
  bool ended_before_termination = false;
  bool ended_before_kill = false;
  bool exited_cleanly = false;  ///< status 0
};

struct SoakEvidence {
  const std::unordered_map<std::string, RpcRecord>& records;
  const std::unordered_map<std::string, RpcObservation>& observations;
  const std::vector<EndpointChange>& endpoint_changes;
  std::vector<ReachableSpan> reachable_spans;
  ProcessEnd process_end;
  double drain_grace_ms = 0;
  double terminated_at_ms = 0;
  bool has_crowd = false;
  /// Of half-written clients that were neither answered nor closed in the time that bad clients are owed.
  std::size_t forgotten_clients = 0;
  /// The longest that the observer itself was held up.
  double observer_lag_ms = 0;
};

/// A line for each sentence that was broken, with an example.
std::vector<std::string> judge_soak(const SoakEvidence& evidence);

}  // namespace indigorill::load_generator
