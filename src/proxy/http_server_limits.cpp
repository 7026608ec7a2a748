// How the HTTP server stays within its limits of connections and memory.
#include <array>
#include <utility>

#include "proxy/http_server.h"

namespace indigorill {

void HttpServer::set_limits(Limits limits) {
  limits_ = limits;
  while (connections_.size() > limits_.max_connections && close_idle_connection()) continue;
  reject_excess_partial_requests();
}

void HttpServer::set_eviction_class(ClientConnection& connection, EvictionClass eviction_class) {
  // The partial request that made progress last is the last of its class to be closed for room: a slow client
  // is not idle.
  if (connection.eviction_class == eviction_class && eviction_class != EvictionClass::partial_request) return;
  eviction_queue_.erase(connection.eviction_entry());
  if (connection.eviction_class == EvictionClass::partial_request)
    partial_request_bytes_ -= connection.accounted_bytes;
  if (eviction_class == EvictionClass::partial_request) partial_request_bytes_ += connection.accounted_bytes;
  connection.eviction_class = eviction_class;
  connection.eviction_class_since_ms = event_loop_.now();
  eviction_queue_.insert(connection.eviction_entry());
}

bool HttpServer::close_idle_connection() {
  // `min_age_ms` is the time that a connection must have been in its class. A client that connects in order
  // to send a request has sent it by then, and the rest of a request follows its first bytes as quickly. Idle
  // connections are closed at any age, the oldest first: if they were spared for 2 s, clients that send one
  // request and stay connected would take all the room, and every new RPC would be rejected.
  struct Candidate {
    EvictionClass eviction_class;
    double min_age_ms;
  };
  constexpr std::array<Candidate, 4> candidates{{{EvictionClass::lingering, 0},
                                                 {EvictionClass::silent, 20},
                                                 {EvictionClass::partial_request, 500},
                                                 {EvictionClass::idle, 0}}};
  for (const Candidate& candidate : candidates)
    if (close_oldest_of(candidate.eviction_class, candidate.min_age_ms)) return true;
  return false;
}

bool HttpServer::close_oldest_of(EvictionClass eviction_class, double min_age_ms) {
  // A request that was received but not read yet would be lost with its connection.
  const bool may_have_unread_request =
      eviction_class == EvictionClass::idle || eviction_class == EvictionClass::silent;
  const auto id = eviction_queue_.find_oldest(
      eviction_class, event_loop_.now(), min_age_ms, [&](std::uint64_t candidate) {
        return !may_have_unread_request || !connections_.at(candidate)->socket->has_unread_input();
      });
  if (!id) return false;
  ++counters_.connections_evicted;
  ++counters_.evictions_by_state[static_cast<std::size_t>(eviction_class)];
  close_connection(*id);
  return true;
}

// A client that opens a connection for each request and keeps it open reaches its own limit of connections
// some time and then can't send. So if too many connections have no RPC, silent and idle ones above a minimum
// age are closed, the oldest first. Returns true if too many remain: a response then ends its connection.
bool HttpServer::over_idle_limit() {
  constexpr double min_silent_age_ms = 500;
  constexpr double min_idle_age_ms = 2000;
  const auto is_over = [&] { return eviction_queue_.size() >= limits_.max_idle_connections; };
  while (is_over() && close_oldest_of(EvictionClass::silent, min_silent_age_ms)) continue;
  while (is_over() && close_oldest_of(EvictionClass::idle, min_idle_age_ms)) continue;
  return is_over();
}

// Partial requests are held until they are complete or time out, so a crowd of them could use up the memory.
// Half of the limit is left to complete requests. Beyond the other half, partial ones are rejected, those
// without progress for longest first. That is safe at any moment, because nothing of them was forwarded.
void HttpServer::reject_excess_partial_requests() {
  while (partial_request_bytes_ > limits_.max_buffered_bytes / 2) {
    const auto id = eviction_queue_.find_oldest(EvictionClass::partial_request, event_loop_.now(), 0,
                                                [](std::uint64_t) { return true; });
    if (!id) return;
    ClientConnection& connection = *connections_.at(*id);
    set_eviction_class(connection, EvictionClass::not_evictable);
    release_input(connection);
    reject_for_lack_of_resources(connection);
  }
}

void HttpServer::release_input(ClientConnection& connection) {
  // An assignment alone would keep the allocated buffer: a string that is assigned a short one does.
  std::exchange(connection.parser, http::HttpParser(http::HttpParser::MessageKind::request));
  update_buffered_bytes(connection);
}

void HttpServer::update_buffered_bytes(ClientConnection& connection) {
  const std::size_t bytes = connection.buffered_bytes();
  buffered_bytes_ += bytes - connection.accounted_bytes;
  if (connection.eviction_class == EvictionClass::partial_request)
    partial_request_bytes_ += bytes - connection.accounted_bytes;
  connection.accounted_bytes = bytes;
}

}  // namespace indigorill
