/// @file
/// How long a connect may take before it has failed. No I/O, no clock: told how each connect ended.
#pragma once

#include <algorithm>
#include <cmath>

namespace indigorill {

/// Estimates the timeout of connects from those that came up. A machine that vanished never answers a
/// connect, and each RPC would wait out the whole configured time there, which may be more than its latency
/// objective; nothing was sent, so another endpoint may have it at once.
class ConnectTimeoutEstimator {
 public:
  explicit ConnectTimeoutEstimator(double max_timeout_ms) : max_timeout_ms_(max_timeout_ms) {}

  void on_connected(double duration_ms) {
    constexpr double decay = 0.98;  // with each connect that came up: some fifty are remembered
    slowest_connect_ms_ = std::max(duration_ms, slowest_connect_ms_ * decay);
    connects_seen_ = std::min(connects_seen_ + 1, min_connects_seen);
    consecutive_timeouts_ = 0;
  }
  void on_connect_timed_out() { ++consecutive_timeouts_; }

  /// The configured maximum until enough connects are known.
  double timeout_ms() const {
    // Eight times the slowest leaves room for a jam that begins; 20 ms for a process that waits for its core.
    constexpr double margin = 8;
    constexpr double min_timeout_ms = 20;
    constexpr double max_doublings = 20;
    if (connects_seen_ < min_connects_seen) return max_timeout_ms_;
    // Where connects have become slower than all before, none would come up again: each failure in a row
    // doubles the time, as a retransmission's does (RFC 6298, 5.5).
    const double base_ms = std::max(min_timeout_ms, margin * slowest_connect_ms_);
    return std::min(base_ms * std::exp2(std::min(consecutive_timeouts_, max_doublings)), max_timeout_ms_);
  }

 private:
  static constexpr int min_connects_seen = 8;

  double max_timeout_ms_;
  double slowest_connect_ms_ = 0;
  double consecutive_timeouts_ = 0;
  int connects_seen_ = 0;
};

}  // namespace indigorill
