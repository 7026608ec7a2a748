// What one run of the emulator is measured by.
#pragma once

#include <boost/histogram.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "emulator/rule_checker.h"

namespace indigorill::emulator {

// Times in ms, in bins that are 0.7 % wide.
class LatencyHistogram {
 public:
  LatencyHistogram();
  void add(double ms) {
    histogram_(ms);
    ++count_;
    sum_ms_ += ms;
  }
  void add(const LatencyHistogram& other);
  std::uint64_t count() const { return count_; }
  double mean() const { return count_ ? sum_ms_ / static_cast<double>(count_) : 0; }
  double quantile(double q) const;  // 0 where there are none
  // A quantile rests on enough samples where ten of them lie beyond it.
  bool has_too_few_samples(double q) const;

 private:
  using BinAxis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  decltype(boost::histogram::make_histogram(BinAxis(1, 1.0, 2.0))) histogram_;
  std::uint64_t count_ = 0;
  double sum_ms_ = 0;
};

struct SecondMetrics {
  double offered_utility = 0, gained_utility = 0;
  std::uint64_t arrived = 0, ok = 0, late = 0, rejected = 0, failed = 0;
  std::uint64_t attempts = 0, handshakes = 0, health_checks = 0, discovery_polls = 0, connect_failed = 0,
                started_in_slow_start = 0;
};

struct RunMetrics {
  double offered_utility = 0, gained_utility = 0;  // utility, of what arrived after the warm-up
  LatencyHistogram latency;                        // ok, from the first sending of the client
  std::uint64_t arrived = 0, ok = 0, late = 0, rejected = 0, failed = 0, unanswered = 0, lost = 0;
  std::uint64_t open_at_end = 0;  // at the stated end
  std::uint64_t attempts = 0, handshakes = 0, health_checks = 0, discovery_polls = 0,
                discovery_rejections = 0;
  std::uint64_t connect_failed = 0, timed_out = 0, queue_full = 0, errors = 0, crashes = 0, events = 0;
  std::uint64_t peak_connections = 0,
                peak_handshakes_per_second = 0;  // at one server: at once, and in one second
  std::uint64_t peak_health_checks_per_second = 0,
                peak_discovery_polls_per_second = 0;  // at one server, and of all, in one second
  std::uint64_t limit_denials = 0;                    // by limits
  double peak_slow_start_overload = 0;                // of the stated multiple
  double endpoint_convergence_ms =
      0;  // ms from the first change of the list until every sidecar knew all of them; 0: never
  std::vector<SecondMetrics> seconds;
  std::vector<RuleViolation> violations;
  std::uint64_t violation_count = 0;
  double utility() const { return offered_utility > 0 ? gained_utility / offered_utility : 0; }
};

// Mean of independent runs with the half width of its 95 % interval (Student's t; 0 for one run).
struct ConfidenceInterval {
  double mean = 0, half_width = 0;
  std::size_t sample_count = 0;
};
ConfidenceInterval confidence_interval(const std::vector<double>& values);

}  // namespace indigorill::emulator
