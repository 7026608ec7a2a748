// How long a connect may take before it has failed. Pure: told how each one ended, knows no socket.
#pragma once

#include <algorithm>
#include <cmath>

namespace indigorill {

// A machine that vanished never answers a connect, and each RPC would wait out the whole stated time there,
// which may be more than its latency target; nothing was sent, so another server may have it at once.
class connect_patience {
 public:
  explicit connect_patience(double longest_stated) : stated(longest_stated) {}

  void up(double took) {
    constexpr double fades = 0.98;  // with each one that came up: some fifty are remembered
    slowest = std::max(took, slowest * fades);
    seen = std::min(seen + 1, enough);
    failed_in_a_row = 0;
  }
  void not_up() { ++failed_in_a_row; }

  double now() const {
    if (seen < enough) return stated;
    // Eight times the slowest leaves room for a jam that begins; 20 ms for a process that waits for its core.
    constexpr double margin = 8, least = 20;
    // Where connects have become slower than all before, none would come up again: each failure in a row
    // doubles the time, as a retransmission's does (RFC 6298, 5.5).
    return std::min(std::max(least, margin * slowest) * std::exp2(std::min(failed_in_a_row, 20.0)), stated);
  }

 private:
  static constexpr int enough = 8;
  double stated, slowest = 0, failed_in_a_row = 0;
  int seen = 0;
};

}  // namespace indigorill
