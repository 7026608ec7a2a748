/// The endpoints that an RPC may be sent to now, with the weights of the draw among them, and what was
/// estimated of them. Plain data; decides nothing.
#pragma once

#include <algorithm>
#include <cstdint>
#include <vector>

#include "load_balancer_state/tracked_endpoint.h"

namespace indigorill {

struct Candidate {
  TrackedEndpoint* endpoint;
  double slow_start_weight;  ///< 1 for an endpoint that is warmed up
  double weight = 0;         ///< of the draw; the best has 1 after scoring
  bool meets_objective = false;
};

struct CandidateSet {
  std::vector<Candidate> candidates;
  double in_flight = 0;            ///< our attempts at all candidates
  double report_coverage = 0;      ///< mean confidence in the last load reports, 0 to 1
  bool is_trial_admitted = false;  ///< admitted though no candidate may meet the objective

  bool is_empty() const { return candidates.empty(); }
  double total_weight() const {
    double total = 0;
    for (const Candidate& candidate : candidates) total += candidate.weight;
    return total;
  }
  /// True if the RPC may be sent: a candidate that may be drawn answers in time, or it is a trial.
  bool meets_deadline() const {
    return is_trial_admitted || std::any_of(candidates.begin(), candidates.end(), [](const Candidate& c) {
             return c.meets_objective && c.weight > 0;
           });
  }
};

/// What is expected of one candidate at the time of scoring.
struct EndpointEstimate {
  double recent_failures;  ///< of our own attempts
  double peer_failures;    ///< that other sidecars saw lately
  double log2_reputation;
  double log2_recency;
  double service_time_ms;
  double queue_depth;
  double report_confidence;

  double work_ahead_ms() const { return service_time_ms * queue_depth; }
};

/// What scoring one RPC has in common for all its candidates.
struct ScoringContext {
  double remaining_ms;     ///< until a response is worth less, or nothing
  double patience;         ///< share of the remaining time that the RPC may wait in a queue
  double max_queue_depth;  ///< far_future where other sidecars' load is not known
  bool is_service_time_guessed;
  std::vector<std::uint64_t> affinity_scores;  ///< best of each zone; empty without key affinity
  double log2_endpoint_count = 0;
  double unsent_log2_weight = 0;  ///< of an endpoint that nothing was sent to
  double fill_level_ms = 0;       ///< wait up to which other sidecars have filled idle endpoints
};

/// A candidate whose probability is bounded as it warms up.
struct LimitedCandidate {
  std::size_t position;
  double probability;
  double max_probability;
};

struct LimitedCandidates {
  std::vector<LimitedCandidate> entries;
  double excess = 0;             ///< probability beyond the bounds
  double best_other_weight = 0;  ///< of candidates without a bound
};

}  // namespace indigorill
