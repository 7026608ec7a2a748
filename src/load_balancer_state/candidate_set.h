/// The endpoints that an RPC may be sent to now, with their weights in the draw and the estimates behind
/// these. Plain data; decides nothing.
#pragma once

#include <algorithm>
#include <cstdint>
#include <vector>

#include "load_balancer_state/tracked_endpoint.h"

namespace indigorill {

struct Candidate {
  TrackedEndpoint* endpoint;
  double slow_start_weight;  ///< 1 for an endpoint that is warmed up
  double weight = 0;         ///< weight in the draw; after scoring the best candidate has 1
  bool meets_objective = false;
};

struct CandidateSet {
  std::vector<Candidate> candidates;
  double in_flight = 0;            ///< this sidecar's attempts at all candidates
  double report_coverage = 0;      ///< mean confidence in the last load reports, 0 to 1
  bool is_trial_admitted = false;  ///< the RPC may be sent even if no candidate meets the objective

  bool is_empty() const { return candidates.empty(); }
  double total_weight() const {
    double total = 0;
    for (const Candidate& candidate : candidates) total += candidate.weight;
    return total;
  }
  /// True if the RPC may be sent: a candidate that may be drawn would answer in time, or it is a trial.
  bool meets_deadline() const {
    return is_trial_admitted || std::any_of(candidates.begin(), candidates.end(), [](const Candidate& c) {
             return c.meets_objective && c.weight > 0;
           });
  }
};

/// Estimates for one candidate at the time of scoring.
struct EndpointEstimate {
  double recent_failures;  ///< failures of this sidecar's attempts
  double peer_failures;    ///< failures that other sidecars saw lately
  double log2_reputation;
  double log2_recency;
  double service_time_ms;
  double queue_depth;
  double report_confidence;

  double work_ahead_ms() const { return service_time_ms * queue_depth; }
};

/// Values that are the same for all candidates while one RPC is scored.
struct ScoringContext {
  double remaining_ms;     ///< time until a response loses value, in part or completely
  double patience;         ///< share of the remaining time that the RPC may wait in a queue
  double max_queue_depth;  ///< in RPCs; far_future if the load of other sidecars is not known
  bool is_service_time_guessed;
  std::vector<std::uint64_t> affinity_scores;  ///< best score of each zone; empty without key affinity
  double log2_endpoint_count = 0;
  double unsent_log2_weight = 0;  ///< for endpoints to which nothing was sent yet
  double fill_level_ms = 0;       ///< wait to which unreported RPCs of other sidecars fill idle endpoints
};

/// A candidate whose probability is bounded because it is warming up.
struct LimitedCandidate {
  std::size_t position;
  double probability;
  double max_probability;
};

struct LimitedCandidates {
  std::vector<LimitedCandidate> entries;
  double excess = 0;             ///< sum of the probabilities above the bounds
  double best_other_weight = 0;  ///< best weight among candidates without a bound
};

}  // namespace indigorill
