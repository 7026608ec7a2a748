// How the HTTP server receives the bodies of requests, and forwards long ones.
#include <algorithm>
#include <utility>

#include "proxy/http_server.h"

namespace indigorill {

using ParseState = http::HttpParser::ParseState;

namespace {

// How much later than its time a final answer may come; up to 0.5 s is no loss, of which the process may be
// held up for 0.15 s.
constexpr double late_answer_allowance_ms = 300;

}  // namespace

// Forwards the received part of a long request, as far as the endpoint takes it.
void HttpServer::forward_request_body(ClientConnection& connection) {
  const std::uint64_t id = connection.id;
  http::HttpParser& parser = connection.parser;
  while (connection.upstream_wants_more && parser.state() != ParseState::error) {
    const bool last = parser.state() == ParseState::body_complete;
    if (parser.body_chunk().empty() && !last) break;
    const double received_at_ms =
        std::min(event_loop_.now() - connection.socket->receive_age_ms(),
                 connection.upload_clock.last_byte_not_before_ms() + late_answer_allowance_ms);
    connection.upstream_wants_more =
        dispatcher_.send_request_body(connection.rpc_id, parser.body_chunk(), last, received_at_ms);
    if (!connections_.count(id)) return;
    if (last) {
      connection.streaming_request = false;
      connection.timeout_timer.cancel();
      connection.upload_timer.cancel();
      return parser.start_next_message();
    }
    parser.consume_body_chunk();
    connection.socket->requeue();  // the buffer has room again, and more input may wait
  }
  if (parser.state() == ParseState::error) return reject_bad_request(connection, parser.error_status());
  // No timeout while the endpoint is slower than the client, or once the body is complete.
  if (!connection.upstream_wants_more || parser.state() == ParseState::body_complete)
    return connection.timeout_timer.cancel();
  if (parser.expects_continue()) send_continue(connection);
  set_body_timeout(connection);
}

// Some clients wait for "100 Continue" before they send a body.
void HttpServer::send_continue(ClientConnection& connection) {
  WriteBuffer buffer;
  buffer.append_owned(std::string(continue_response()));
  connection.socket->write(buffer);  // fits, because the kernel's send buffer is empty
  connection.parser.mark_continue_sent();
}

// At the deadline, a partial request is answered with 408 and a connection without input is closed.
void HttpServer::set_request_timeout(ClientConnection& connection, double deadline_ms) {
  connection.timeout_timer = event_loop_.schedule_at(deadline_ms, [this, id = connection.id] {
    ClientConnection& late = *connections_.at(id);
    if (late.streaming_request || late.parser.has_partial_input()) return reject_bad_request(late, 408);
    ++counters_.timed_out_clients;
    close_connection(id);
  });
}

// A long body is accepted while it makes progress. A client that stops halfway must get an error within 3 s,
// and one that sends a byte now and then must not keep its connection without limit.
void HttpServer::set_body_timeout(ClientConnection& connection) {
  constexpr double longest_pause_ms = 1400;
  constexpr double initial_allowance_ms = 4000;
  constexpr double min_bytes_per_ms = 16;  // well-behaved clients send 64
  const double pause_ends_at_ms = connection.last_byte_at_ms + longest_pause_ms;
  const double too_slow_at_ms = connection.head_complete_at_ms + initial_allowance_ms +
                                static_cast<double>(connection.body_bytes_received) / min_bytes_per_ms;
  set_request_timeout(connection, std::min(pause_ends_at_ms, too_slow_at_ms));
}

void HttpServer::schedule_upload_check(ClientConnection& connection) {
  const double due_ms = connection.upload_clock.last_byte_not_before_ms() + connection.rpc_budget_ms;
  connection.upload_timer =
      event_loop_.schedule_at(due_ms + late_answer_allowance_ms, [this, id = connection.id] {
        const auto it = connections_.find(id);
        if (it->second->streaming_request) check_upload(*it->second);
      });
}

// The endpoint takes the request slowly, and the last byte may wait behind what it has not taken yet. Once
// the client may have waited for its whole budget it has to get an answer.
void HttpServer::check_upload(ClientConnection& connection) {
  const double now_ms = event_loop_.now();
  if (connection.parser.state() == ParseState::streaming_body)
    connection.upload_clock.observe(now_ms, connection.upload_backlog());
  const double waiting_ms = now_ms - connection.upload_clock.last_byte_not_before_ms();
  if (waiting_ms < connection.rpc_budget_ms + late_answer_allowance_ms)
    return schedule_upload_check(connection);
  dispatcher_.give_up_request_body(connection.rpc_id, waiting_ms);
}

}  // namespace indigorill
