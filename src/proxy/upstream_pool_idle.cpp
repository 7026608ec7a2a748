// The idle connections of the pool: which one is reused, and when they are retired.
#include <utility>

#include "proxy/upstream_pool.h"

namespace indigorill {

UpstreamConnection* UpstreamPool::find_reusable_connection(EndpointEntry& entry) {
  const double now_ms = event_loop_.now();
  for (std::size_t surplus = entry.idle_connections.on_connection_needed(now_ms); surplus > 0; --surplus)
    retire_connection(entry.idle_connections.oldest());
  while (const auto id = entry.idle_connections.find_reusable(now_ms)) {
    Connection& connection = *connections_.at(*id);
    if (is_reusable(connection)) return &connection;
  }
  return nullptr;
}

// A request on a connection that the endpoint has closed ends in a reset, after which a request that must not
// run twice is lost. So the socket is checked here: the event of the close may not be dispatched yet. Closes
// a connection that is not reusable.
bool UpstreamPool::is_reusable(Connection& connection) {
  if (!connection.socket->is_stale()) return true;
  close_connection(connection.id);
  return false;
}

void UpstreamPool::keep_idle(Connection& connection) {
  const ExchangeId id = connection.id;
  connection.stage = Stage::idle;
  connection.release_buffers();
  connection.socket->acknowledge_now();  // a duplicate must arrive before the connection is reusable
  connection.timeout_timer.cancel();
  connection.forward_timer.cancel();
  connection.send_deadline_timer.cancel();
  connection.idle_since_ms = event_loop_.now();
  connection.retirement_timer = event_loop_.schedule_at(connection.idle_since_ms + max_idle_ms(),
                                                        [this, id] { retire_connection(id); });
  connection.reusable_timer =
      event_loop_.schedule_at(connection.idle_since_ms + IdleConnections::min_idle_ms,
                              [this, id] { report_idle_count(connections_.at(id)->endpoint_id); });
  endpoints_.at(connection.endpoint_id).idle_connections.add(id, connection.idle_since_ms);
  idle_by_last_use_.insert({connection.idle_since_ms, id});
}

// A connection is retired well before the endpoint closes it, because a request that crosses the close ends
// in a reset. A part of 0.9 leaves too little time if a process waits for a CPU core.
double UpstreamPool::max_idle_ms() const {
  constexpr double used_part_of_idle_timeout = 0.75;
  return used_part_of_idle_timeout * config_.idle_timeout_ms;
}

void UpstreamPool::retire_connection(ExchangeId id) {
  ++counters_.connections_retired;
  close_connection(id);
}

void UpstreamPool::remove_from_idle(const Connection& connection) {
  endpoints_.at(connection.endpoint_id).idle_connections.remove(connection.id);
  idle_by_last_use_.erase({connection.idle_since_ms, connection.id});
  report_idle_count(connection.endpoint_id);
}

void UpstreamPool::report_idle_count(const std::string& endpoint_id) {
  EndpointEntry& entry = endpoints_.at(endpoint_id);
  const std::size_t count = entry.idle_connections.reusable_count(event_loop_.now());
  if (count != std::exchange(entry.reported_idle_count, count)) on_idle_count_changed_(endpoint_id, count);
}

void UpstreamPool::close_idle_connections_to(EndpointEntry& entry) {
  while (!entry.idle_connections.empty()) close_connection(entry.idle_connections.oldest());
}

bool UpstreamPool::close_idle_connection() {
  if (idle_by_last_use_.empty()) return false;
  ++counters_.connections_evicted;
  close_connection(idle_by_last_use_.begin()->second);
  return true;
}

}  // namespace indigorill
