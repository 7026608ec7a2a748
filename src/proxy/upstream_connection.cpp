#include "proxy/upstream_connection.h"

#include <utility>

namespace indigorill {

void UpstreamConnection::begin(ExchangeId exchange_id, Exchange new_exchange, WriteBuffer request,
                               double now_ms) {
  id = exchange_id;
  exchange = std::move(new_exchange);
  output = std::move(request);
  started_at_ms = now_ms;
  response_started_at_ms = 0;
  response_head_at_ms = 0;
  silent_since_ms = 0;
  response_due_at_ms = exchange.response_due_ms;
  states_long_body = false;
  streaming_response = false;
  reading_paused = false;
  has_more_body = exchange.has_more_body;
  is_upload_started = false;
  if (exchange.is_head_request) parser.expect_no_body();
  parser.allow_streaming(static_cast<bool>(exchange.on_response_started));
  forward_timer.cancel();
  reusable_timer.cancel();
  retirement_timer.cancel();
}

void UpstreamConnection::note_response_bytes(double now_ms) {
  silent_since_ms = now_ms;
  if (response_head_at_ms == 0 && parser.is_head_complete()) response_head_at_ms = now_ms;
}

ResponseProgress UpstreamConnection::response_progress(double now_ms) const {
  ResponseProgress progress;
  progress.has_head = response_head_at_ms > 0;
  if (progress.has_head) progress.head_after_ms = response_head_at_ms - started_at_ms;
  if (silent_since_ms > 0) progress.silent_ms = now_ms - silent_since_ms;
  progress.body_bytes = parser.body_bytes();
  return progress;
}

void UpstreamConnection::pause_reading(double now_ms) {
  reading_paused = true;
  paused_at_ms = now_ms;
}

bool UpstreamConnection::resume_reading(double now_ms) {
  if (!std::exchange(reading_paused, false)) return false;
  silent_since_ms += now_ms - paused_at_ms;
  return true;
}

void UpstreamConnection::release_buffers() {
  output = {};
  // An assignment alone would keep the allocated buffer.
  std::exchange(parser, http::HttpParser(http::HttpParser::MessageKind::response));
}

}  // namespace indigorill
