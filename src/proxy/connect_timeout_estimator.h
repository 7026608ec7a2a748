// How long a connect may take before it has failed. Pure: told how each one ended, knows no socket.
#pragma once

#include <algorithm>
#include <cmath>

namespace indigorill {

// A machine that vanished never answers a connect, and each RPC would wait out the whole stated time there,
// which may be more than its latency target; nothing was sent, so another server may have it at once.
class ConnectTimeoutEstimator {
 public:
  explicit ConnectTimeoutEstimator(double longest_stated) : max_timeout_ms_(longest_stated) {}

  void on_connected(double took) {
    constexpr double fades = 0.98;  // with each one that came up: some fifty are remembered
    slowest_connect_ms_ = std::max(took, slowest_connect_ms_ * fades);
    connects_seen_ = std::min(connects_seen_ + 1, min_connects_seen);
    consecutive_timeouts_ = 0;
  }
  void on_connect_timed_out() { ++consecutive_timeouts_; }

  double timeout_ms() const {
    if (connects_seen_ < min_connects_seen) return max_timeout_ms_;
    // Eight times the slowest leaves room for a jam that begins; 20 ms for a process that waits for its core.
    constexpr double margin = 8, least = 20;
    // Where connects have become slower than all before, none would come up again: each failure in a row
    // doubles the time, as a retransmission's does (RFC 6298, 5.5).
    return std::min(
        std::max(least, margin * slowest_connect_ms_) * std::exp2(std::min(consecutive_timeouts_, 20.0)),
        max_timeout_ms_);
  }

 private:
  static constexpr int min_connects_seen = 8;
  double max_timeout_ms_, slowest_connect_ms_ = 0, consecutive_timeouts_ = 0;
  int connects_seen_ = 0;
};

}  // namespace indigorill
