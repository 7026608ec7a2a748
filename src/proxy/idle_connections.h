/// @file
/// The idle connections to one endpoint: which one carries the next request, and how many are kept. No I/O,
/// no clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

#include "proxy/upstream_exchange.h"

namespace indigorill {

/// HTTP/1.1 responses don't name their request, and some endpoints send a response a second time, some
/// milliseconds late. No property of such a response tells it from the one to the next request: a sound
/// endpoint may send equal responses, and respond at once. So a connection carries no request until it has
/// been idle for `min_idle_ms`. A duplicate arrives within that time and closes the connection.
///
/// The connection that has been idle for longest is used first. All of them are then kept in use, and few
/// requests find no reusable one. Those that were not needed for a whole `review_interval_ms` are closed.
class IdleConnections {
 public:
  static constexpr double min_idle_ms = 25;

  explicit IdleConnections(double review_interval_ms) : review_interval_ms_(review_interval_ms) {}

  /// `now_ms` never decreases from call to call.
  void add(ExchangeId id, double now_ms);
  /// Returns false if the connection is not among them.
  bool remove(ExchangeId id);

  /// The reusable connection that has been idle for longest.
  std::optional<ExchangeId> find_reusable(double now_ms) const;
  std::size_t reusable_count(double now_ms) const;

  /// To be called when a request needs a connection, before it takes one. Returns how many of the connections
  /// that have been idle for longest are to be closed.
  std::size_t on_connection_needed(double now_ms);

  bool empty() const { return idle_.empty(); }
  /// The connection that has been idle for longest, reusable or not. There must be one.
  ExchangeId oldest() const { return idle_.front().id; }

 private:
  struct IdleConnection {
    ExchangeId id;
    double reusable_at_ms;
  };

  double review_interval_ms_;
  double review_at_ms_ = 0;
  std::size_t fewest_unused_ = 0;    // since the last review, of the reusable ones
  std::deque<IdleConnection> idle_;  // in the order in which they became idle
};

}  // namespace indigorill
