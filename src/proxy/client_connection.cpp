#include "proxy/client_connection.h"

namespace indigorill {

std::size_t ClientConnection::buffered_bytes() const {
  // Maxima held by the connections of the client and of the endpoint together. A response is forwarded in
  // pieces of one read, and its first part is counted with the response.
  constexpr std::size_t streaming_request_bytes = 4 * http::max_buffered_body_bytes;
  constexpr std::size_t streaming_response_bytes = std::size_t{32} * 1024;
  return parser.buffer_capacity() + request_bytes_held + response.bytes.capacity() +
         (streaming_request ? streaming_request_bytes : 0) +
         (stage == Stage::streaming_response ? streaming_response_bytes : 0);
}

bool ClientConnection::is_reading_paused() const {
  // Input of the next request that is read while one is in flight: clients send one request at a time.
  constexpr std::size_t read_ahead_bytes = 4096;
  // Reading pauses if the endpoint is slower than the client, and after the end of the body.
  if (streaming_request)
    return parser.is_body_buffer_full() || parser.state() != http::HttpParser::ParseState::streaming_body;
  return stage == Stage::awaiting_response && parser.buffer_capacity() > read_ahead_bytes;
}

bool ClientConnection::has_unanswered_request() const {
  return stage == Stage::reading_request && parser.state() != http::HttpParser::ParseState::reading;
}

UploadClock::Backlog ClientConnection::upload_backlog() const {
  UploadClock::Backlog backlog{.unread_bytes = socket->unread_bytes()};
  if (request_length) backlog.remaining_body = *request_length - parser.body_bytes();
  return backlog;
}

void ClientConnection::receive(std::size_t count, double now_ms) {
  // The budget of an RPC counts from the last byte of its request.
  if (stage == Stage::reading_request) request_received_at_ms = now_ms - socket->receive_age_ms();
  if (!parser.has_partial_input()) {
    body_bytes_received = 0;
    head_complete_at_ms = 0;
    first_byte_at_ms = now_ms;
  }
  last_byte_at_ms = now_ms;
  if (streaming_request)
    upload_clock.on_bytes_read(count, now_ms - socket->receive_age_ms(), socket->unread_bytes());
  parser.commit(count);
  if (!parser.is_head_complete()) return;
  if (head_complete_at_ms == 0) head_complete_at_ms = now_ms;
  body_bytes_received += count;
}

}  // namespace indigorill
