// What one run of the emulator is measured by.
#pragma once

#include <boost/histogram.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "audit.h"

namespace indigorill::lab {

// Times in ms, in bins that are 0.7 % wide.
class times {
 public:
  times();
  void add(double ms) {
    bins(ms);
    ++n;
    sum += ms;
  }
  void add(const times& other);
  std::uint64_t count() const { return n; }
  double mean() const { return n ? sum / static_cast<double>(n) : 0; }
  double quantile(double q) const;  // 0 where there are none
  // A quantile rests on enough samples where ten of them lie beyond it.
  bool few(double q) const;

 private:
  using axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  decltype(boost::histogram::make_histogram(axis(1, 1.0, 2.0))) bins;
  std::uint64_t n = 0;
  double sum = 0;
};

struct second {
  double offered = 0, gained = 0;
  std::uint64_t arrived = 0, ok = 0, late = 0, pushed_back = 0, aborted = 0;
  std::uint64_t picks = 0, handshakes = 0, probes = 0, list_calls = 0, connect_failed = 0, cold_began = 0;
};

struct figures {
  double offered = 0, gained = 0;  // utility, of what arrived after the warm-up
  times answered;                  // ok, from the first sending of the client
  std::uint64_t arrived = 0, ok = 0, late = 0, pushed_back = 0, aborted = 0, unanswered = 0, lost = 0;
  std::uint64_t open = 0;  // at the stated end
  std::uint64_t picks = 0, handshakes = 0, probes = 0, list_calls = 0, list_refusals = 0;
  std::uint64_t connect_failed = 0, timed_out = 0, full = 0, errors = 0, falls = 0, events = 0;
  std::uint64_t most_connections = 0, most_handshakes = 0;  // at one server: at once, and in one second
  std::uint64_t most_probes = 0, most_list_calls = 0;       // at one server, and of all, in one second
  std::uint64_t denied = 0;                                 // by limits
  double worst_cold = 0;                                    // of the stated multiple
  double all_told = 0;  // ms from the first change of the list until every sidecar knew all of them; 0: never
  std::vector<second> seconds;
  std::vector<breach> breaches;
  std::uint64_t breached = 0;
  double utility() const { return offered > 0 ? gained / offered : 0; }
};

// Mean of independent runs with the half width of its 95 % interval (Student's t; 0 for one run).
struct spread {
  double mean = 0, half = 0;
  std::size_t runs = 0;
};
spread spread_of(const std::vector<double>& values);

}  // namespace indigorill::lab
