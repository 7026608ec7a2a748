#include "emulator/run_metrics.h"

#include <boost/math/distributions/students_t.hpp>
#include <cmath>
#include <numeric>

namespace indigorill::emulator {
namespace {

constexpr double shortest_bin_ms = 0.01, longest_bin_ms = 100000;  // ms
constexpr unsigned bin_count = 2300;

}  // namespace

LatencyHistogram::LatencyHistogram()
    : histogram_(boost::histogram::make_histogram(BinAxis(bin_count, shortest_bin_ms, longest_bin_ms))) {}

void LatencyHistogram::add(const LatencyHistogram& other) {
  histogram_ += other.histogram_;
  count_ += other.count_;
  sum_ms_ += other.sum_ms_;
}

double LatencyHistogram::quantile(double q) const {
  if (count_ == 0) return 0;
  const double wanted = q * static_cast<double>(count_);
  double below = 0;
  for (auto&& bin : boost::histogram::indexed(histogram_, boost::histogram::coverage::all)) {
    const double here = *bin;
    if (here > 0 && below + here >= wanted) {
      const double from = bin.bin().lower(), to = bin.bin().upper();
      if (!std::isfinite(from) || from <= 0) return shortest_bin_ms;
      if (!std::isfinite(to)) return longest_bin_ms;
      return from * std::pow(to / from, std::max(0.0, (wanted - below) / here));
    }
    below += here;
  }
  return longest_bin_ms;
}

bool LatencyHistogram::has_too_few_samples(double q) const {
  constexpr double beyond = 10;
  return static_cast<double>(count_) * (1 - q) < beyond;
}

ConfidenceInterval confidence_interval(const std::vector<double>& values) {
  ConfidenceInterval s;
  s.sample_count = values.size();
  if (values.empty()) return s;
  const double n = static_cast<double>(values.size());
  s.mean = std::accumulate(values.begin(), values.end(), 0.0) / n;
  if (values.size() < 2) return s;
  double squares = 0;
  for (const double v : values) squares += (v - s.mean) * (v - s.mean);
  const boost::math::students_t t(n - 1);
  s.half_width = boost::math::quantile(boost::math::complement(t, 0.025)) * std::sqrt(squares / (n - 1) / n);
  return s;
}

}  // namespace indigorill::emulator
