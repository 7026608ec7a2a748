// How the pool reads responses: short ones whole, long ones in pieces.
#include <algorithm>
#include <utility>

#include "http/header_codec.h"
#include "proxy/upstream_pool.h"

namespace indigorill {

using ParseState = http::HttpParser::ParseState;
using ReadStatus = TcpStream::ReadStatus;

void UpstreamPool::resume_response(ExchangeId id) {
  const auto it = connections_.find(id);
  if (it == connections_.end() || !it->second->resume_reading(event_loop_.now())) return;
  set_response_timeout(*it->second);
  it->second->socket->requeue();
}

void UpstreamPool::read_response(Connection& connection) {
  constexpr int max_reads = 16;  // then other connections are served, however long the response
  // Forwards what was received before reading was resumed.
  if (connection.streaming_response && !forward_response_body(connection, AttemptOutcome::error)) return;
  for (int i = 0; i < max_reads; ++i) {
    std::size_t count = 0;
    const ReadStatus status = connection.socket->read(connection.parser.writable_buffer(), count);
    if (status == ReadStatus::would_block) return;
    if (status == ReadStatus::data) {
      connection.parser.commit(count);
      connection.note_response_bytes(event_loop_.now());
    }
    if (status == ReadStatus::end_of_stream) connection.parser.on_end_of_stream();
    if (!process_response(connection, status != ReadStatus::data)) return;
  }
  connection.socket->requeue();
}

// Returns false if nothing more is to be read for now, or the exchange has ended.
bool UpstreamPool::process_response(Connection& connection, bool stream_ended) {
  if (connection.parser.state() == ParseState::head_ready) {
    start_streaming_response(connection, stream_ended);
    return false;
  }
  if (connection.streaming_response) {
    const AttemptOutcome outcome_if_broken = stream_ended ? AttemptOutcome::reset : AttemptOutcome::error;
    if (!forward_response_body(connection, outcome_if_broken)) return false;
    if (stream_ended) fail_exchange(connection, AttemptOutcome::reset);
    return !stream_ended;
  }
  if (connection.parser.state() == ParseState::complete) {
    finish_response(connection, stream_ended);
    return false;
  }
  if (connection.parser.may_be_long()) limit_hold_time(connection);
  const bool is_malformed = connection.parser.state() == ParseState::error;
  if (stream_ended)
    fail_exchange(connection, AttemptOutcome::reset);
  else if (is_malformed)
    fail_exchange(connection, AttemptOutcome::error);
  return !stream_ended && !is_malformed;
}

// While a response is held, another attempt can still replace it. One that may be long is on time with its
// first bytes and must neither be cut off while it comes nor be held for long.
void UpstreamPool::limit_hold_time(Connection& connection) {
  constexpr double max_hold_ms = 1500;           // a client may give up what is held for 2 s
  constexpr double lead_before_timeout_ms = 10;  // the load balancer may end the RPC at the timeout
  if (connection.forward_timer.is_set()) return;
  const double forward_at_ms = std::min(connection.expires_at_ms - lead_before_timeout_ms,
                                        connection.response_head_at_ms + max_hold_ms);
  connection.forward_timer = event_loop_.schedule_at(forward_at_ms, [this, id = connection.id] {
    Connection& held = *connections_.at(id);
    held.parser.start_streaming();
    start_streaming_response(held, false);
  });
}

void UpstreamPool::start_streaming_response(Connection& connection, bool stream_ended) {
  connection.forward_timer.cancel();
  const http::Message response = connection.parser.take_message();
  connection.response_started_at_ms = std::max(connection.response_head_at_ms, connection.started_at_ms);
  connection.states_long_body = response.content_length.has_value();
  if (!connection.exchange.on_response_started(response)) {
    http::Message head = response;
    head.body_range.length = 0;
    head.is_partial = false;
    return complete_exchange(connection, AttemptOutcome::ok, std::move(head), false);
  }
  connection.streaming_response = true;
  connection.pause_reading(event_loop_.now());
  connection.timeout_timer.cancel();
  if (stream_ended) connection.socket->requeue();  // the end of the stream is then read again
}

// Returns false if reading is paused, or the exchange has ended.
bool UpstreamPool::forward_response_body(Connection& connection, AttemptOutcome outcome_if_broken) {
  http::HttpParser& parser = connection.parser;
  for (;;) {
    if (parser.state() == ParseState::error) {
      fail_exchange(connection, outcome_if_broken);
      return false;
    }
    const bool last = parser.state() == ParseState::body_complete;
    if (parser.body_chunk().empty() && !last) return true;
    set_response_timeout(connection);
    const ExchangeId id = connection.id;
    const bool wants_more = connection.exchange.on_body_piece(parser.body_chunk(), last);
    if (!connections_.count(id)) return false;  // on_body_piece() may have abandoned the exchange
    if (last) {
      const bool may_reuse = connection.stage == Stage::awaiting_response && parser.keep_alive();
      parser.start_next_message();
      complete_exchange(connection, AttemptOutcome::ok, {}, may_reuse && !parser.has_partial_input());
      return false;
    }
    parser.consume_body_chunk();
    if (wants_more) continue;
    connection.pause_reading(event_loop_.now());
    connection.timeout_timer.cancel();
    return false;
  }
}

void UpstreamPool::finish_response(Connection& connection, bool stream_ended) {
  http::Message response = connection.parser.take_message();
  // With extra input behind the response, or an unreadable load report, this response is valid, but the next
  // one on the connection might not be.
  const bool may_reuse = !stream_ended && response.keep_alive &&
                         connection.stage == Stage::awaiting_response &&
                         !connection.parser.has_partial_input() && has_valid_load_report(response);
  complete_exchange(connection, AttemptOutcome::ok, std::move(response), may_reuse);
}

// A response may take long while it makes progress; one that stalls is ended. One that may still turn out to
// be short is due with its last byte: a final answer that is later than the allowance is a lost one.
void UpstreamPool::set_response_timeout(Connection& connection) {
  constexpr double short_response_pause_ms = 1400;
  constexpr double late_answer_allowance_ms = 350;
  const bool is_long =
      connection.states_long_body || connection.parser.body_bytes() > http::max_buffered_body_bytes;
  const double until_due_ms =
      connection.response_due_at_ms + late_answer_allowance_ms - connection.silent_since_ms;
  const double pause_ms =
      is_long ? longest_pause_ms : std::clamp(until_due_ms, short_response_pause_ms, longest_pause_ms);
  set_expiry(connection, connection.silent_since_ms + pause_ms);
}

}  // namespace indigorill
