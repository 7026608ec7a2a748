#include "emulator/latency_histogram.h"

#include <algorithm>
#include <cmath>

namespace indigorill::emulator {
namespace {

constexpr double shortest_bin_ms = 0.01;
constexpr double longest_bin_ms = 100000;
constexpr unsigned bin_count = 2300;
constexpr double min_samples_beyond_quantile = 10;

}  // namespace

LatencyHistogram::LatencyHistogram()
    : histogram_(boost::histogram::make_histogram(BinAxis(bin_count, shortest_bin_ms, longest_bin_ms))) {}

void LatencyHistogram::add(const LatencyHistogram& other) {
  histogram_ += other.histogram_;
  count_ += other.count_;
  sum_ms_ += other.sum_ms_;
}

double LatencyHistogram::quantile(double fraction) const {
  if (count_ == 0) return 0;
  const double rank = fraction * static_cast<double>(count_);
  double samples_below = 0;
  for (auto&& bin : boost::histogram::indexed(histogram_, boost::histogram::coverage::all)) {
    const double samples = *bin;
    if (samples > 0 && samples_below + samples >= rank) {
      const double lower_ms = bin.bin().lower();
      const double upper_ms = bin.bin().upper();
      if (!std::isfinite(lower_ms) || lower_ms <= 0) return shortest_bin_ms;
      if (!std::isfinite(upper_ms)) return longest_bin_ms;
      return lower_ms * std::pow(upper_ms / lower_ms, std::max(0.0, (rank - samples_below) / samples));
    }
    samples_below += samples;
  }
  return longest_bin_ms;
}

bool LatencyHistogram::has_too_few_samples(double fraction) const {
  return static_cast<double>(count_) * (1 - fraction) < min_samples_beyond_quantile;
}

}  // namespace indigorill::emulator
