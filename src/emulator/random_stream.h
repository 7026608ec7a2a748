// Random numbers of the emulator: one stream for each use, so that what clients ask for is the same whatever
// the policy draws, and runs of two policies on one seed can be paired.
#pragma once

#include <cmath>
#include <cstdint>
#include <random>

namespace indigorill::emulator {

enum class RandomPurpose : std::uint64_t {
  arrivals,
  arrival_pattern,
  servers,
  network,
  fault_schedule,
  policy,
  discovery,
  clients,
  server_errors
};

inline std::uint64_t mix_seed(std::uint64_t a, std::uint64_t b) {  // splitmix64's finaliser
  std::uint64_t h = a + 0x9e3779b97f4a7c15ULL * (b + 1);
  h = (h ^ (h >> 30)) * 0xbf58476d1ce4e5b9ULL;
  h = (h ^ (h >> 27)) * 0x94d049bb133111ebULL;
  return h ^ (h >> 31);
}

inline std::uint64_t derive_seed(std::uint64_t seed, RandomPurpose what, std::uint64_t which = 0) {
  return mix_seed(mix_seed(seed, static_cast<std::uint64_t>(what)), which);
}

enum class DistributionShape { fixed, exponential, lognormal, pareto };

// How long something takes: its mean, and for lognormal the spread (standard deviation over mean), for pareto
// the tail's exponent.
struct Distribution {
  DistributionShape shape = DistributionShape::exponential;
  double mean = 1, spread = 1;
};

class RandomStream {
 public:
  explicit RandomStream(std::uint64_t seed) : engine_(seed) {}

  double uniform() { return std::uniform_real_distribution<double>(0, 1)(engine_); }
  bool bernoulli(double chance) { return chance > 0 && uniform() < chance; }
  double exponential(double mean) { return mean > 0 ? -mean * std::log1p(-uniform()) : 0; }
  std::size_t uniform_index(std::size_t n) {
    return std::uniform_int_distribution<std::size_t>(0, n - 1)(engine_);
  }

  double sample(const Distribution& l) {
    switch (l.shape) {
      case DistributionShape::fixed:
        return l.mean;
      case DistributionShape::exponential:
        return exponential(l.mean);
      case DistributionShape::lognormal: {
        const double s2 = std::log1p(l.spread * l.spread);
        return l.mean * std::exp(std::normal_distribution<double>(-s2 / 2, std::sqrt(s2))(engine_));
      }
      case DistributionShape::pareto:
        return l.mean * (l.spread - 1) / l.spread * std::pow(1 - uniform(), -1 / l.spread);
    }
    return l.mean;
  }

 private:
  std::mt19937_64 engine_;
};

}  // namespace indigorill::emulator
