/// @file
/// The timeout of connects to endpoints. No I/O, no clock: the caller reports how each connect ended.
#pragma once

#include <algorithm>
#include <cmath>

namespace indigorill {

/// Estimates the timeout of connects from the durations of successful ones. A machine that has vanished never
/// answers a connect. With the configured timeout alone, each RPC sent to it would wait for all of that time,
/// which may exceed the RPC's latency objective. After the estimated timeout the RPC can be retried at
/// another endpoint at once, because nothing was sent.
class ConnectTimeoutEstimator {
 public:
  explicit ConnectTimeoutEstimator(double max_timeout_ms) : max_timeout_ms_(max_timeout_ms) {}

  void on_connected(double duration_ms) {
    constexpr double decay = 0.98;  // per successful connect: about 50 of them are remembered
    slowest_connect_ms_ = std::max(duration_ms, slowest_connect_ms_ * decay);
    connects_seen_ = std::min(connects_seen_ + 1, min_connects_seen);
    consecutive_timeouts_ = 0;
  }
  void on_connect_timed_out() { ++consecutive_timeouts_; }

  /// The timeout of the next connect; the configured maximum until `min_connects_seen` connects succeeded.
  double timeout_ms() const {
    // Eight times the slowest connect allows for congestion that is beginning, and 20 ms for a process that
    // waits for a CPU core.
    constexpr double margin = 8;
    constexpr double min_timeout_ms = 20;
    constexpr double max_doublings = 20;
    if (connects_seen_ < min_connects_seen) return max_timeout_ms_;
    // If connects became slower than all earlier ones, no connect would succeed any more. So each consecutive
    // timeout doubles the time, as it is done for retransmissions (RFC 6298, 5.5).
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
