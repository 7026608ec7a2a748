// The graceful shutdown of the HTTP server.
#include <algorithm>
#include <utility>
#include <vector>

#include "proxy/http_server.h"

namespace indigorill {

void HttpServer::drain(EventLoop::Callback on_drained) {
  // Clients may connect for 0.4 s after the signal, and connections that the kernel accepted have to be
  // served.
  constexpr double accept_period_ms = 450;
  // The process is killed when the longest deadline, 3 s at most, and 0.7 s more have passed after the
  // signal. RPCs and responses that endpoints or slow clients would delay beyond that are answered or aborted
  // early enough, even if the process is held up for 0.15 s meanwhile.
  constexpr double longest_deadline_ms = 3000;
  constexpr double abort_after_deadline_ms = 500;
  if (draining_) return;
  draining_ = true;
  drain_started_at_ms_ = event_loop_.now();
  on_drained_ = std::move(on_drained);
  listener_close_timer_ =
      event_loop_.schedule_at(drain_started_at_ms_ + accept_period_ms, [this] { close_listener(); });
  const double deadline_ms = std::min(limits_.max_client_wait_ms, longest_deadline_ms);
  abort_timer_ = event_loop_.schedule_at(drain_started_at_ms_ + deadline_ms + abort_after_deadline_ms,
                                         [this] { abort_remaining(); });
  close_idle_for_drain();
}

// A request that was sent before its connection is closed has to be answered. So each connection that waits
// for a request is read once more, and `on_read` is called with those that are still open.
void HttpServer::reread_connections(const std::function<void(ClientConnection&)>& on_read) {
  std::vector<std::uint64_t> reading;
  for (const auto& [id, connection] : connections_)
    if (connection->stage == Stage::reading_request) reading.push_back(id);
  for (const std::uint64_t id : reading) {
    const auto it = connections_.find(id);  // it may have been closed to make room
    if (it != connections_.end() && read_request(*it->second)) on_read(*it->second);
  }
}

// Clients keep sending on connections that stay open. A request that crosses the close of its connection is
// sent again on a new connection, which is possible only while the listener is open. So idle connections are
// closed now and not together with the listener.
void HttpServer::close_idle_for_drain() {
  reread_connections([this](ClientConnection& connection) {
    update_buffered_bytes(connection);
    if (!connection.parser.has_partial_input() && connection.has_sent_request)
      close_connection(connection.id);
    else
      process_input(connection);
  });
}

void HttpServer::close_listener() {
  // Connections in the backlog count as accepted, so the backlog is emptied first, however long it is.
  constexpr double retry_interval_ms = 5;
  constexpr double longest_wait_ms = 1000;  // bounds the drain of a process without descriptors
  // A client that has sent a part of its request, or has just connected, may complete the request.
  constexpr double last_request_timeout_ms = 200;
  auto result = ClientListener::AcceptResult::backlog_empty;
  if (listener_.is_accepting()) {
    do {
      result = listener_.accept_batch();
    } while (result == ClientListener::AcceptResult::backlog_remaining);
  }
  if (result == ClientListener::AcceptResult::blocked &&
      event_loop_.now() < drain_started_at_ms_ + longest_wait_ms) {
    listener_close_timer_ =
        event_loop_.schedule_at(event_loop_.now() + retry_interval_ms, [this] { close_listener(); });
    return;
  }
  listener_.close();
  reread_connections([this](ClientConnection& connection) {
    const bool has_input = connection.parser.has_partial_input();
    const bool is_incomplete = connection.parser.state() == http::HttpParser::ParseState::reading;
    if (has_input ? is_incomplete : !connection.has_sent_request)
      set_request_timeout(connection, event_loop_.now() + last_request_timeout_ms);
    else if (!has_input)
      close_connection(connection.id);
    else
      process_input(connection);
  });
  notify_if_drained();
}

void HttpServer::abort_remaining() {
  // Gives the responses written just now time to leave. Then all connections are closed, including those
  // whose clients are still reading or sending.
  constexpr double last_write_period_ms = 40;
  dispatcher_.abort_all();
  abort_timer_ = event_loop_.schedule_at(event_loop_.now() + last_write_period_ms, [this] {
    listener_.close();
    while (!connections_.empty()) close_connection(connections_.begin()->first);
    notify_if_drained();
  });
}

void HttpServer::notify_if_drained() {
  if (!on_drained_ || listener_.is_open() || !connections_.empty()) return;
  const EventLoop::Callback on_drained = std::exchange(on_drained_, nullptr);
  on_drained();
}

}  // namespace indigorill
