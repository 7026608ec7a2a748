/// \file
/// Random numbers of the emulator, with one stream for each purpose. Client requests therefore do not depend
/// on the draws of the policy, and runs of two policies with the same seed can be compared in pairs.
#pragma once

#include <cmath>
#include <cstdint>
#include <random>

namespace indigorill::emulator {

/// Purpose of a random stream. The values are part of the seeds: append new ones, never reorder them.
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

/// Mixes a value into a seed (splitmix64's finaliser).
inline std::uint64_t mix_seed(std::uint64_t seed, std::uint64_t value) {
  std::uint64_t hash = seed + 0x9e3779b97f4a7c15ULL * (value + 1);
  hash = (hash ^ (hash >> 30)) * 0xbf58476d1ce4e5b9ULL;
  hash = (hash ^ (hash >> 27)) * 0x94d049bb133111ebULL;
  return hash ^ (hash >> 31);
}

/// Derives the seed of the stream for a purpose. `index` identifies the sidecar, server or fault if each of
/// them has its own stream.
inline std::uint64_t derive_seed(std::uint64_t seed, RandomPurpose purpose, std::uint64_t index = 0) {
  return mix_seed(mix_seed(seed, static_cast<std::uint64_t>(purpose)), index);
}

enum class DistributionShape { fixed, exponential, lognormal, pareto };

/// A distribution of durations.
struct Distribution {
  DistributionShape shape = DistributionShape::exponential;
  double mean = 1;
  /// lognormal: standard deviation over mean; pareto: the tail's exponent; unused otherwise.
  double spread = 1;
};

/// A seeded generator with the draws that the emulator needs.
class RandomStream {
 public:
  explicit RandomStream(std::uint64_t seed) : engine_(seed) {}

  /// Uniform in [0, 1).
  double uniform() { return std::uniform_real_distribution<double>(0, 1)(engine_); }

  /// Returns true with this probability; draws nothing if it is 0.
  bool bernoulli(double probability) { return probability > 0 && uniform() < probability; }

  double exponential(double mean) { return mean > 0 ? -mean * std::log1p(-uniform()) : 0; }

  /// Uniform in 0 .. count - 1.
  std::size_t uniform_index(std::size_t count) {
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(engine_);
  }

  double sample(const Distribution& distribution) {
    const double mean = distribution.mean;
    const double spread = distribution.spread;
    switch (distribution.shape) {
      case DistributionShape::fixed:
        return mean;
      case DistributionShape::exponential:
        return exponential(mean);
      case DistributionShape::lognormal: {
        const double log_variance = std::log1p(spread * spread);
        std::normal_distribution<double> log_normal(-log_variance / 2, std::sqrt(log_variance));
        return mean * std::exp(log_normal(engine_));
      }
      case DistributionShape::pareto:
        return mean * (spread - 1) / spread * std::pow(1 - uniform(), -1 / spread);
    }
    return mean;
  }

 private:
  std::mt19937_64 engine_;
};

}  // namespace indigorill::emulator
