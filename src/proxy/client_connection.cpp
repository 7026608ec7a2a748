#include "proxy/client_connection.h"

namespace indigorill {

std::size_t ClientConnection::buffered_bytes() const {
  constexpr std::size_t streaming_bytes = 4 * http::max_buffered_body_bytes;  // what both ends hold, at most
  const bool is_streaming = streaming_request || stage == Stage::streaming_response;
  return parser.buffer_capacity() + request_bytes_held + response.bytes.capacity() +
         (is_streaming ? streaming_bytes : 0);
}

bool ClientConnection::is_reading_paused() const {
  // Of the next request while one is in flight: clients send one at a time.
  constexpr std::size_t read_ahead_bytes = 4096;
  // The endpoint is slower than the client, or the request is complete.
  if (streaming_request)
    return parser.is_body_buffer_full() || parser.state() != http::HttpParser::ParseState::streaming_body;
  return stage == Stage::awaiting_response && parser.buffer_capacity() > read_ahead_bytes;
}

void ClientConnection::receive(std::size_t count, double now_ms) {
  // A request's time counts from its last byte.
  if (stage == Stage::reading_request) request_received_at_ms = now_ms - socket->receive_age_ms();
  if (!parser.has_partial_input()) {
    body_bytes_received = 0;
    head_complete_at_ms = 0;
    first_byte_at_ms = now_ms;
  }
  last_byte_at_ms = now_ms;
  parser.commit(count);
  if (!parser.is_head_complete()) return;
  if (head_complete_at_ms == 0) head_complete_at_ms = now_ms;
  body_bytes_received += count;
}

}  // namespace indigorill
