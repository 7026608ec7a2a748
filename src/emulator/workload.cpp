#include "emulator/workload.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <numeric>
#include <utility>

namespace indigorill::emulator {
namespace {

void add_bursts(const Scenario& scenario, RandomStream& random, ArrivalPattern& pattern) {
  const LoadProfile& load = scenario.load;
  const double cycle_ms = load.mean_burst_ms + load.mean_calm_ms;
  pattern.calm_rate =
      load.rate_per_second * cycle_ms / (load.burst_factor * load.mean_burst_ms + load.mean_calm_ms);
  pattern.peak_rate = pattern.calm_rate * load.burst_factor;
  bool is_burst = random.bernoulli(load.mean_burst_ms / cycle_ms);
  double start_ms = 0;
  while (start_ms < scenario.duration_ms) {
    pattern.phases.push_back({start_ms, is_burst});
    start_ms += random.exponential(is_burst ? load.mean_burst_ms : load.mean_calm_ms);
    is_burst = !is_burst;
  }
}

}  // namespace

ArrivalPattern make_arrival_pattern(const Scenario& scenario, RandomStream& random) {
  const LoadProfile& load = scenario.load;
  ArrivalPattern pattern;
  pattern.calm_rate = load.rate_per_second;
  pattern.peak_rate = std::max(load.rate_per_second, load.final_rate_per_second);
  if (load.process == ArrivalProcess::bursts) add_bursts(scenario, random, pattern);
  for (const Fault& fault : scenario.faults) {
    if (fault.kind == Fault::Kind::load_surge) pattern.peak_rate *= std::max(fault.factor, 1.0);
  }
  return pattern;
}

double arrival_rate(const Scenario& scenario, const ArrivalPattern& pattern, double time_ms) {
  const LoadProfile& load = scenario.load;
  if (load.process == ArrivalProcess::poisson) return load.rate_per_second;
  if (load.process == ArrivalProcess::ramp)
    return load.rate_per_second +
           (load.final_rate_per_second - load.rate_per_second) * time_ms / scenario.duration_ms;
  const auto next =
      std::upper_bound(pattern.phases.begin(), pattern.phases.end(), time_ms,
                       [](double time, const ArrivalPattern::Phase& phase) { return time < phase.start_ms; });
  const bool is_burst = next != pattern.phases.begin() && std::prev(next)->is_burst;
  return is_burst ? pattern.calm_rate * load.burst_factor : pattern.calm_rate;
}

std::vector<std::uint32_t> sample_indices(std::size_t count, double share, RandomStream& random) {
  std::vector<std::uint32_t> indices(count);
  std::iota(indices.begin(), indices.end(), 0U);
  const auto sample_size = static_cast<std::size_t>(std::lround(share * static_cast<double>(count)));
  for (std::size_t i = 0; i < sample_size; ++i)
    std::swap(indices[i], indices[i + random.uniform_index(count - i)]);
  indices.resize(sample_size);
  return indices;
}

SampledRpc sample_rpc(const Scenario& scenario, RandomStream& random) {
  double share_sum = 0;
  for (const MethodWorkload& workload : scenario.methods) share_sum += workload.share;
  double remaining = random.uniform() * share_sum;
  std::size_t method = 0;
  while (method + 1 < scenario.methods.size()) {
    remaining -= scenario.methods[method].share;
    if (remaining < 0) break;
    ++method;
  }
  return {method, random.sample(scenario.methods[method].work_ms)};
}

}  // namespace indigorill::emulator
