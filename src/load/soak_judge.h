/// \file
/// Judges a soak by the observations of clients, endpoints and discovery, against the rules of the protocol
/// page and of the standing test alone. The sidecar's own output is not used.
#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "load/fake_fleet.h"
#include "load/load_clients.h"

namespace indigorill::load_generator {

/// A span in which discovery was reachable without interruption, in ms of the run. The sidecar has to fetch a
/// change within `due_after_ms` of the time from which discovery knows the change and is reachable.
struct ReachableSpan {
  double start_ms = 0;
  double end_ms = 0;
  double due_after_ms = 0;
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
  /// Largest number of half-written clients that got neither an answer nor a close within the allowed time.
  std::size_t unserved_clients = 0;
  /// The longest delay of the observer's own event loop, in ms.
  double observer_lag_ms = 0;
};

/// Returns one line for each violated rule, with a first example if the rule is about RPCs, attempts or
/// changes.
std::vector<std::string> judge_soak(const SoakEvidence& evidence);

}  // namespace indigorill::load_generator
