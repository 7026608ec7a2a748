#include "emulator/statistics.h"

#include <boost/math/distributions/students_t.hpp>
#include <cmath>
#include <numeric>

namespace indigorill::emulator {

ConfidenceInterval confidence_interval(const std::vector<double>& values) {
  constexpr double one_sided_error = 0.025;  // probability on each side of a two-sided 95 % interval
  ConfidenceInterval interval;
  interval.sample_count = values.size();
  if (values.empty()) return interval;
  const auto count = static_cast<double>(values.size());
  interval.mean = std::accumulate(values.begin(), values.end(), 0.0) / count;
  if (values.size() < 2) return interval;
  double sum_of_squares = 0;
  for (const double value : values) sum_of_squares += (value - interval.mean) * (value - interval.mean);
  const boost::math::students_t distribution(count - 1);
  const double quantile = boost::math::quantile(boost::math::complement(distribution, one_sided_error));
  interval.half_width = quantile * std::sqrt(sum_of_squares / (count - 1) / count);
  return interval;
}

}  // namespace indigorill::emulator
