/// Exponential decay of observations.
#pragma once

#include <cmath>

namespace indigorill {

/// Age, in half-lives, above which an observation no longer counts.
constexpr double max_half_lives = 16;

/// The weight of an observation, 0 to 1, by its age in half-lives.
inline double decayed_share(double half_lives) {
  return half_lives > max_half_lives ? 0 : std::exp2(-half_lives);
}

}  // namespace indigorill
