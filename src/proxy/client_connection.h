/// @file
/// One client connection of the HTTP server. The server owns it and moves it from stage to stage.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "event/event_loop.h"
#include "event/tcp_stream.h"
#include "http/http_parser.h"
#include "proxy/eviction_queue.h"

namespace indigorill {

struct ClientConnection {
  enum class Stage {
    reading_request,
    awaiting_response,   ///< its request is at the dispatcher
    writing_response,    ///< the response is complete here
    streaming_response,  ///< a long response is passed on in pieces
    lingering,           ///< the last response is out; what comes is discarded until the client closes
  };

  std::uint64_t id = 0;
  Stage stage = Stage::reading_request;
  std::unique_ptr<TcpStream> socket;
  http::HttpParser parser{http::HttpParser::MessageKind::request};
  EventLoop::Timer timeout_timer;  ///< of whatever the stage waits for
  bool client_closed = false;      ///< its sending side, or all of it
  bool close_after_response = false;
  bool over_connection_limit = false;  ///< accepted beyond the limit, to be rejected

  // Eviction.
  EvictionClass eviction_class = EvictionClass::not_evictable;
  double eviction_class_since_ms = 0;
  std::size_t accounted_bytes = 0;  ///< its part of all buffered bytes, as last counted

  // The request. Times are in ms on the event loop's clock.
  double opened_at_ms = 0;
  double first_byte_at_ms = 0;
  double head_complete_at_ms = 0;  ///< 0 before that
  double last_byte_at_ms = 0;
  double request_received_at_ms = 0;    ///< when its last bytes reached this machine
  std::size_t body_bytes_received = 0;  ///< with what came in one read with the end of the head
  bool has_sent_request = false;        ///< at least one whole request came over this connection
  bool is_http_1_0 = false;
  bool is_head_request = false;
  std::string rpc_id;                  ///< at the dispatcher; empty without an RPC
  std::size_t request_bytes_held = 0;  ///< at the dispatcher
  bool streaming_request = false;      ///< a long request comes in
  bool upstream_wants_more = false;    ///< the endpoint takes the next piece of it

  // The response.
  http::Message response;  ///< the output borrows from it
  WriteBuffer output;
  std::size_t bytes_written = 0;   ///< of the output, when it last made progress
  bool chunked_response = false;   ///< framing of a streamed one
  bool last_piece_queued = false;  ///< all of a streamed one is in the output

  EvictionQueue::Entry eviction_entry() const { return {eviction_class, eviction_class_since_ms, id}; }

  /// What it holds in memory at most, its request at the dispatcher included.
  std::size_t buffered_bytes() const;
  /// True if what the client sends next has to wait in the kernel.
  bool is_reading_paused() const;
  /// Hands bytes just read to the parser and notes when they came.
  void receive(std::size_t count, double now_ms);
};

}  // namespace indigorill
