/// \file
/// A histogram of durations, for means and quantiles.
#pragma once

#include <boost/histogram.hpp>
#include <cstdint>

namespace indigorill::emulator {

/// Durations in milliseconds, in bins that are 0.7 % wide.
class LatencyHistogram {
 public:
  LatencyHistogram();

  void add(double duration_ms) {
    histogram_(duration_ms);
    ++count_;
    sum_ms_ += duration_ms;
  }
  void add(const LatencyHistogram& other);

  std::uint64_t count() const { return count_; }
  double mean() const { return count_ > 0 ? sum_ms_ / static_cast<double>(count_) : 0; }
  /// `fraction` is 0.99 for the 99th percentile. Returns 0 if the histogram is empty.
  double quantile(double fraction) const;
  /// Whether fewer than ten samples lie beyond the quantile of this fraction.
  bool has_too_few_samples(double fraction) const;

 private:
  using BinAxis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  decltype(boost::histogram::make_histogram(BinAxis(1, 1.0, 2.0))) histogram_;
  std::uint64_t count_ = 0;
  double sum_ms_ = 0;
};

}  // namespace indigorill::emulator
