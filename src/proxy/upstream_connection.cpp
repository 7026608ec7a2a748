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
  streaming_response = false;
  reading_paused = false;
  has_more_body = exchange.has_more_body;
  is_upload_started = false;
  if (exchange.is_head_request) parser.expect_no_body();
  parser.allow_streaming(static_cast<bool>(exchange.on_response_started));
  reusable_timer.cancel();
  retirement_timer.cancel();
}

void UpstreamConnection::release_buffers() {
  output = {};
  // An assignment alone would keep the allocated buffer.
  std::exchange(parser, http::HttpParser(http::HttpParser::MessageKind::response));
}

}  // namespace indigorill
