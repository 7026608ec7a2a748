#include "proxy/idle_connections.h"

#include <algorithm>
#include <utility>

namespace indigorill {

void IdleConnections::add(ExchangeId id, double now_ms) {
  idle_.push_back({.id = id, .reusable_at_ms = now_ms + min_idle_ms});
}

bool IdleConnections::remove(ExchangeId id) {
  return std::erase_if(idle_, [id](const IdleConnection& connection) { return connection.id == id; }) > 0;
}

std::optional<ExchangeId> IdleConnections::find_reusable(double now_ms) const {
  if (idle_.empty() || now_ms < idle_.front().reusable_at_ms) return std::nullopt;
  return idle_.front().id;
}

std::size_t IdleConnections::reusable_count(double now_ms) const {
  const auto first_not_reusable = std::partition_point(
      idle_.begin(), idle_.end(),
      [now_ms](const IdleConnection& connection) { return connection.reusable_at_ms <= now_ms; });
  return static_cast<std::size_t>(first_not_reusable - idle_.begin());
}

std::size_t IdleConnections::on_connection_needed(double now_ms) {
  constexpr std::size_t spare_connections = 1;
  const std::size_t reusable = reusable_count(now_ms);
  const std::size_t unused = reusable > 0 ? reusable - 1 : 0;
  fewest_unused_ = std::min(fewest_unused_, unused);
  if (now_ms < review_at_ms_) return 0;
  review_at_ms_ = now_ms + review_interval_ms_;
  const std::size_t not_needed = std::exchange(fewest_unused_, unused);
  return not_needed > spare_connections ? not_needed - spare_connections : 0;
}

}  // namespace indigorill
