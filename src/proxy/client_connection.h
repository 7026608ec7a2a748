/// @file
/// One client connection of the HTTP server. The server owns it and moves it from stage to stage.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "event/event_loop.h"
#include "event/tcp_stream.h"
#include "http/http_parser.h"
#include "proxy/eviction_queue.h"
#include "proxy/upload_clock.h"

namespace indigorill {

struct ClientConnection {
  enum class Stage {
    reading_request,
    awaiting_response,   ///< the dispatcher has the request
    writing_response,    ///< the response to write is complete
    streaming_response,  ///< a long response is forwarded in pieces
    lingering,           ///< the last response is written; input is discarded until the connection is closed
  };

  std::uint64_t id = 0;
  Stage stage = Stage::reading_request;
  std::unique_ptr<TcpStream> socket;
  http::HttpParser parser{http::HttpParser::MessageKind::request};
  EventLoop::Timer timeout_timer;  ///< timeout of the current stage
  bool client_closed = false;      ///< the client closed its sending side or the whole connection
  bool close_after_response = false;
  bool over_connection_limit = false;  ///< accepted beyond the limit: its RPCs are rejected

  // Eviction.
  EvictionClass eviction_class = EvictionClass::not_evictable;
  double eviction_class_since_ms = 0;
  std::size_t accounted_bytes = 0;  ///< this connection's part of the server's total of buffered bytes

  // The request. Times are in ms on the event loop's clock.
  double opened_at_ms = 0;
  double first_byte_at_ms = 0;
  double head_complete_at_ms = 0;  ///< 0 until the head is complete
  double last_byte_at_ms = 0;
  double request_received_at_ms = 0;    ///< when the request's last bytes reached this machine
  std::size_t body_bytes_received = 0;  ///< including the whole read that completed the head
  bool has_sent_request = false;        ///< a request, or the head of a streamed one, was received
  bool is_http_1_0 = false;
  bool is_head_request = false;
  std::string rpc_id;                  ///< at the dispatcher; empty if there is no RPC
  std::size_t request_bytes_held = 0;  ///< memory of the request that the dispatcher holds
  bool streaming_request = false;      ///< a long request is being received
  bool upstream_wants_more = false;    ///< the endpoint takes the next piece of a long request
  double rpc_budget_ms = 0;
  std::optional<std::uint64_t> request_length;  ///< stated length of the body of a long request
  UploadClock upload_clock;                     ///< of a long request
  EventLoop::Timer upload_timer;                ///< when a long request has to be looked at

  // The response.
  http::Message response;  ///< `output` borrows from it
  WriteBuffer output;
  std::size_t bytes_written = 0;   ///< bytes of `output` written at the last progress
  bool chunked_response = false;   ///< a streamed response has chunked framing
  bool last_piece_queued = false;  ///< the rest of a streamed response is in `output`

  EvictionQueue::Entry eviction_entry() const { return {eviction_class, eviction_class_since_ms, id}; }

  /// Upper bound of the memory that the connection uses, including its request at the dispatcher.
  std::size_t buffered_bytes() const;
  /// True if further input of the client has to stay in the kernel's buffer.
  bool is_reading_paused() const;
  /// True if the parser has a whole request, the head of a long one, or an error that is to be answered.
  bool has_unanswered_request() const;
  /// What is known of a long request's bytes that were not read yet.
  UploadClock::Backlog upload_backlog() const;
  /// Passes `count` bytes just read to the parser and records their time of arrival.
  void receive(std::size_t count, double now_ms);
};

}  // namespace indigorill
