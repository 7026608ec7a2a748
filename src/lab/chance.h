// Random numbers of the emulator: one stream for each use, so that what clients ask for is the same whatever
// the policy draws, and runs of two policies on one seed can be paired.
#pragma once

#include <cmath>
#include <cstdint>
#include <random>

namespace indigorill::lab {

enum class use : std::uint64_t {
  arrivals,
  shares,
  servers,
  network,
  troubles,
  policy,
  list,
  clients,
  faults
};

inline std::uint64_t mixed(std::uint64_t a, std::uint64_t b) {  // splitmix64's finaliser
  std::uint64_t h = a + 0x9e3779b97f4a7c15ULL * (b + 1);
  h = (h ^ (h >> 30)) * 0xbf58476d1ce4e5b9ULL;
  h = (h ^ (h >> 27)) * 0x94d049bb133111ebULL;
  return h ^ (h >> 31);
}

inline std::uint64_t seed_of(std::uint64_t seed, use what, std::uint64_t which = 0) {
  return mixed(mixed(seed, static_cast<std::uint64_t>(what)), which);
}

enum class shape { fixed, exponential, lognormal, pareto };

// How long something takes: its mean, and for lognormal the spread (standard deviation over mean), for pareto
// the tail's exponent.
struct law {
  shape of = shape::exponential;
  double mean = 1, spread = 1;
};

class stream {
 public:
  explicit stream(std::uint64_t seed) : engine(seed) {}

  double unit() { return std::uniform_real_distribution<double>(0, 1)(engine); }
  bool happens(double chance) { return chance > 0 && unit() < chance; }
  double exponential(double mean) { return mean > 0 ? -mean * std::log1p(-unit()) : 0; }
  std::size_t below(std::size_t n) { return std::uniform_int_distribution<std::size_t>(0, n - 1)(engine); }

  double draw(const law& l) {
    switch (l.of) {
      case shape::fixed:
        return l.mean;
      case shape::exponential:
        return exponential(l.mean);
      case shape::lognormal: {
        const double s2 = std::log1p(l.spread * l.spread);
        return l.mean * std::exp(std::normal_distribution<double>(-s2 / 2, std::sqrt(s2))(engine));
      }
      case shape::pareto:
        return l.mean * (l.spread - 1) / l.spread * std::pow(1 - unit(), -1 / l.spread);
    }
    return l.mean;
  }

 private:
  std::mt19937_64 engine;
};

}  // namespace indigorill::lab
