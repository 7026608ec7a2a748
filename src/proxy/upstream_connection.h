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

  ExchangeId id = 0;  ///< of its exchange; of the last one while it is idle
  Stage stage = Stage::connecting;
  std::string endpoint_id;
  std::uint64_t process_generation = 0;  ///< the pool's number for the endpoint's process
  std::unique_ptr<TcpStream> socket;     ///< null if no connect could be started
  http::HttpParser parser{http::HttpParser::MessageKind::response};
  WriteBuffer output;
  Exchange exchange;

  // Times are in ms on the event loop's clock.
  double started_at_ms = 0;           ///< when the exchange, or the last piece of a long request, started
  double response_started_at_ms = 0;  ///< start of a long response; 0 if there is none
  double response_head_at_ms = 0;     ///< when the response's head was complete; 0 until then
  double silent_since_ms = 0;         ///< when the last byte of the response was read; 0 until the first one
  double paused_at_ms = 0;            ///< when reading was paused
  double response_due_at_ms = 0;
  double expires_at_ms = 0;  ///< when the exchange times out
  double idle_since_ms = 0;

  bool streaming_response = false;
  bool reading_paused = false;     ///< until more of a long response is wanted
  bool states_long_body = false;   ///< the head of the streamed response states a length
  bool has_more_body = false;      ///< more of a long request is to follow
  bool is_upload_started = false;  ///< the endpoint took the first part of a long request

  EventLoop::Timer timeout_timer;
  EventLoop::Timer connect_timer;
  EventLoop::Timer forward_timer;  ///< the latest time at which a response that may be long is forwarded
  EventLoop::Timer reusable_timer;
  EventLoop::Timer retirement_timer;
  EventLoop::Timer send_deadline_timer;

  /// The request's last byte has not been written yet.
  bool is_unsent() const { return stage == Stage::connecting || stage == Stage::writing_request; }

  /// Starts a new exchange, without writing anything yet.
  void begin(ExchangeId exchange_id, Exchange new_exchange, WriteBuffer request, double now_ms);
  /// To be called after bytes of the response were passed to the parser.
  void note_response_bytes(double now_ms);
  ResponseProgress response_progress(double now_ms) const;
  void pause_reading(double now_ms);
  /// The endpoint is not taken for silent while nothing was read from it. Returns false if reading was not
  /// paused.
  bool resume_reading(double now_ms);
  /// Frees what an idle connection doesn't need.
  void release_buffers();
};

}  // namespace indigorill
