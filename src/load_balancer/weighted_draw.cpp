#include "load_balancer/weighted_draw.h"

#include <algorithm>

#include "load_balancer/slow_start.h"

namespace indigorill {
namespace {

std::size_t draw_by_weight(BalancerState& state, const CandidateSet& set) {
  double remaining = state.random_fraction() * set.total_weight() - set.candidates[0].weight;
  std::size_t position = 0;
  while (remaining >= 0 && position + 1 < set.candidates.size()) {
    ++position;
    remaining -= set.candidates[position].weight;
  }
  return position;
}

// Endpoints that the RPC has probed are not bounded, because the probability of their probes was.
LimitedCandidates limited_candidates(const BalancerState& state, const TrackedRpc& rpc,
                                     const CandidateSet& set) {
  const std::vector<TrackedEndpoint*>& probed = rpc.probed_endpoints;
  const double total = set.total_weight();
  LimitedCandidates limited;
  for (std::size_t i = 0; i < set.candidates.size(); ++i) {
    const Candidate& candidate = set.candidates[i];
    if (candidate.slow_start_weight >= 1 ||
        std::find(probed.begin(), probed.end(), candidate.endpoint) != probed.end()) {
      limited.best_other_weight = std::max(limited.best_other_weight, candidate.weight);
      continue;
    }
    const double share = candidate.weight / total;
    const double max_share = max_slow_start_probability(state, candidate.slow_start_weight, rpc.probe_count);
    limited.excess += std::max(share - max_share, 0.0);
    limited.entries.push_back({i, std::min(share, max_share), max_share});
  }
  return limited;
}

}  // namespace

// The probability is bounded because a starting endpoint would be overloaded if each of a thousand sidecars
// used its one token for it. Probability above the bound of one starting endpoint goes to the others in
// proportion to their headroom.
std::size_t draw_with_slow_start_limit(BalancerState& state, const TrackedRpc& rpc, CandidateSet& set) {
  // An endpoint in slow start gets a part of the excess only if its weight is above this fraction, six
  // halvings, of the best weight of the endpoints without a bound. Otherwise a failing endpoint in slow start
  // would get a share up to its bound from the excess.
  constexpr double min_weight_ratio = 0x1p-6;
  const LimitedCandidates limited = limited_candidates(state, rpc, set);
  if (limited.entries.empty() || limited.entries.size() == set.candidates.size())
    return draw_by_weight(state, set);
  const auto headroom = [&](const LimitedCandidate& entry) {
    const bool is_good = set.candidates[entry.position].weight > min_weight_ratio * limited.best_other_weight;
    return is_good ? entry.max_probability - entry.probability : 0;
  };
  double total_headroom = 0;
  for (const LimitedCandidate& entry : limited.entries) total_headroom += headroom(entry);
  const double used_headroom =
      limited.excess > 0 ? limited.excess / std::max(total_headroom, limited.excess) : 0;
  double remaining = state.random_fraction();
  for (const LimitedCandidate& entry : limited.entries) {
    remaining -= entry.probability + used_headroom * headroom(entry);
    if (remaining < 0) return entry.position;
  }
  for (const LimitedCandidate& entry : limited.entries) set.candidates[entry.position].weight = 0;
  return draw_by_weight(state, set);
}

TrackedEndpoint* select_endpoint(BalancerState& state, const TrackedRpc& rpc, CandidateSet set) {
  const double crowded = 1 + 2 * set.in_flight / static_cast<double>(set.candidates.size());
  std::size_t position = draw_with_slow_start_limit(state, rpc, set);
  if (set.candidates[position].endpoint->in_flight > crowded)
    position = draw_with_slow_start_limit(state, rpc, set);
  return set.meets_deadline() ? set.candidates[position].endpoint : nullptr;
}

}  // namespace indigorill
