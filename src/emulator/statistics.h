/// \file
/// Statistics over independent runs.
#pragma once

#include <cstddef>
#include <vector>

namespace indigorill::emulator {

/// The mean of independent runs with the half width of its 95 % confidence interval (Student's t).
struct ConfidenceInterval {
  double mean = 0;
  double half_width = 0;  ///< 0 for fewer than two runs
  std::size_t sample_count = 0;
};

ConfidenceInterval confidence_interval(const std::vector<double>& values);

}  // namespace indigorill::emulator
