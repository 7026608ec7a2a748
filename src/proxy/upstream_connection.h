/// @file
/// One connection to an endpoint. The pool owns it and moves it from stage to stage.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "event/event_loop.h"
#include "event/tcp_stream.h"
#include "http/http_parser.h"
#include "proxy/upstream_exchange.h"

namespace indigorill {

struct UpstreamConnection {
  enum class Stage { connecting, writing_request, awaiting_response, idle };

  ExchangeId id = 0;  ///< of its exchange, the last one while it is idle
  Stage stage = Stage::connecting;
  std::string endpoint_id;
  std::uint64_t process_generation = 0;  ///< of the endpoint's process that it leads to, by the pool's count
  std::unique_ptr<TcpStream> socket;     ///< null while no connect could be started
  http::HttpParser parser{http::HttpParser::MessageKind::response};
  WriteBuffer output;
  Exchange exchange;

  // Times are in ms on the event loop's clock.
  double started_at_ms = 0;           ///< the exchange, or the last byte of a long request
  double response_started_at_ms = 0;  ///< a long response; 0 without one
  double expires_at_ms = 0;           ///< the exchange times out
  double idle_since_ms = 0;

  bool streaming_response = false;
  bool reading_paused = false;  ///< until more of a long response is wanted
  bool has_more_body = false;   ///< of a long request, still to be given

  EventLoop::Timer timeout_timer;
  EventLoop::Timer connect_timer;
  EventLoop::Timer retirement_timer;
  EventLoop::Timer send_deadline_timer;

  /// The request's last byte is still to be written.
  bool is_unsent() const { return stage == Stage::connecting || stage == Stage::writing_request; }

  /// Takes over a new exchange; nothing is written yet.
  void begin(ExchangeId exchange_id, Exchange new_exchange, WriteBuffer request, double now_ms);
};

}  // namespace indigorill
