#include "proxy/http_server.h"

#include <algorithm>
#include <array>
#include <sstream>
#include <utility>

#include "http/status.h"

namespace indigorill {

using ParseState = http::HttpParser::ParseState;
using ReadStatus = TcpStream::ReadStatus;

HttpServer::HttpServer(EventLoop& event_loop, FileDescriptorBudget& descriptor_budget, Counters& counters,
                       Logger& logger, RequestDispatcher& dispatcher, Limits limits,
                       std::function<bool()> close_idle_upstream)
    : event_loop_(event_loop),
      descriptor_budget_(descriptor_budget),
      counters_(counters),
      dispatcher_(dispatcher),
      limits_(limits),
      close_idle_upstream_(std::move(close_idle_upstream)),
      listener_(
          event_loop, logger, [this] { return make_room_for_client(); },
          [this](FileDescriptor socket) { add_connection(std::move(socket)); }) {}

void HttpServer::listen(const sockaddr_in& address) { use_listener(open_listener(address)); }

void HttpServer::use_listener(FileDescriptor listener) { listener_.open(std::move(listener)); }

// Beyond the connection limit a client is still accepted if a descriptor is available, and its RPC rejected:
// in the backlog it would wait without a response.
bool HttpServer::make_room_for_client() {
  const bool is_below_limit = connections_.size() < limits_.max_connections;
  // The close of a client's connection may cross its next request; that of an idle one to an endpoint costs
  // no more than a connect.
  if (is_below_limit && (descriptor_budget_.available() > 0 || close_idle_upstream_())) return true;
  return close_idle_connection() || descriptor_budget_.available() > 0 || close_idle_upstream_();
}

void HttpServer::add_connection(FileDescriptor socket) {
  ++counters_.connections_accepted;
  const std::uint64_t id = ++last_connection_id_;
  ClientConnection& connection = *(connections_[id] = std::make_unique<ClientConnection>());
  connection.id = id;
  connection.opened_at_ms = event_loop_.now();
  connection.parser.allow_streaming();
  connection.over_connection_limit = connections_.size() > limits_.max_connections;
  connection.socket = std::make_unique<TcpStream>(
      event_loop_, descriptor_budget_, std::move(socket),
      [this, id](std::uint32_t events) { on_socket_event(id, events); },
      EventLoop::WatchPriority::high_on_hangup);
  // The client may have closed while the connection waited in the backlog for room or for a process that was
  // suspended. If its request were read before the hangup is seen, it would be forwarded although no client
  // waits for the response.
  on_socket_event(id, connection.socket->poll_hangup_events());
}

void HttpServer::on_socket_event(std::uint64_t id, std::uint32_t events) {
  ClientConnection& connection = *connections_.at(id);
  if (events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) connection.client_closed = true;
  if (connection.stage == Stage::writing_response || connection.stage == Stage::streaming_response)
    return flush_output(connection);
  // The end of the stream may come after more input than is read ahead, or after an upload that no endpoint
  // takes. If the server waited until it is read, an RPC whose client has left would be forwarded.
  if (connection.client_closed && connection.stage == Stage::awaiting_response) return close_connection(id);
  if (!read_request(connection)) return;
  update_buffered_bytes(connection);
  if (connection.streaming_request) return forward_request_body(connection);
  process_input(connection);
}

// Returns false if the connection was closed, or is lingering and has no input.
bool HttpServer::read_request(ClientConnection& connection) {
  if (connection.stage == Stage::lingering) return discard_input(connection);
  constexpr int max_reads = 16;  // then other connections are served
  for (int i = 0; i < max_reads; ++i) {
    if (connection.is_reading_paused()) return true;
    // A request that is there already comes first: otherwise more would be read in each turn than is
    // answered.
    if (connection.has_unanswered_request()) break;
    std::size_t count = 0;
    const ReadStatus status = connection.socket->read(connection.parser.writable_buffer(), count);
    if (status == ReadStatus::would_block) {
      connection.upload_clock.on_drained();
      return true;
    }
    if (status != ReadStatus::data) {
      // A client that closes its connection doesn't wait for a response any more.
      close_connection(connection.id);
      return false;
    }
    connection.receive(count, event_loop_.now());
  }
  // The client may have closed already, and epoll doesn't report that again.
  connection.socket->requeue();
  return true;
}

// One read per iteration of the loop, so that discarding a body of 60 MB doesn't delay other connections.
bool HttpServer::discard_input(ClientConnection& connection) {
  const ReadStatus status = connection.socket->discard();
  if (status == ReadStatus::data) {
    connection.socket->requeue();
    return true;
  }
  if (status != ReadStatus::would_block) close_connection(connection.id);
  return false;
}

void HttpServer::process_input(ClientConnection& connection) {
  if (connection.stage != Stage::reading_request) return;
  switch (connection.parser.state()) {
    case ParseState::complete:
    case ParseState::head_ready:
      connection.timeout_timer.cancel();
      set_eviction_class(connection, EvictionClass::not_evictable);
      connection.has_sent_request = true;
      return handle_request(connection, connection.parser.take_message());
    case ParseState::error:
      return reject_bad_request(connection, connection.parser.error_status());
    default:
      await_more_input(connection);
      return reject_excess_partial_requests();
  }
}

void HttpServer::await_more_input(ClientConnection& connection) {
  // A client that sends nothing, or only a part of a request, must get an error or a close within 3 s. The
  // time for the first request counts from the accept, so that a partial request that begins late gets no
  // extra time. The head of a well-behaved client may take over 2 s.
  constexpr double head_timeout_ms = 2850;
  if (connection.parser.expects_continue()) send_continue(connection);
  if (connection.parser.has_partial_input()) {
    set_eviction_class(connection, EvictionClass::partial_request);
    if (connection.parser.is_head_complete()) return set_body_timeout(connection);
    if (connection.timeout_timer.is_set()) return;
    const double started_at_ms =
        connection.has_sent_request ? connection.first_byte_at_ms : connection.opened_at_ms;
    return set_request_timeout(connection, started_at_ms + head_timeout_ms);
  }
  if (connection.has_sent_request) {
    if (draining_ && !listener_.is_open()) return close_connection(connection.id);
    return set_eviction_class(connection, EvictionClass::idle);
  }
  set_eviction_class(connection, EvictionClass::silent);
  if (!connection.timeout_timer.is_set())
    set_request_timeout(connection, connection.opened_at_ms + head_timeout_ms);
}

void HttpServer::handle_request(ClientConnection& connection, http::Message request) {
  const RequestKind kind = classify_request(request);
  const bool may_be_rpc = kind == RequestKind::rpc;
  // No client waits for the response of the RPC. Requests that cost nothing are answered nevertheless,
  // because the client may have closed only its sending side.
  if (connection.client_closed && may_be_rpc) return close_connection(connection.id);
  const bool close_after = !request.keep_alive || draining_ || force_closing_ ||
                           connection.over_connection_limit || (!may_be_rpc && over_idle_limit());
  switch (kind) {
    case RequestKind::readiness:
      return send_response(connection,
                           draining_ ? encode_plain_response(503, "stopping\n", close_after)
                                     : encode_plain_response(200, "ready\n", close_after),
                           close_after);
    case RequestKind::options:
      return send_response(connection, encode_options_response(close_after), close_after);
    case RequestKind::counters: {
      std::ostringstream text;
      text << counters_;
      return send_response(connection, encode_plain_response(200, text.str(), close_after), close_after);
    }
    case RequestKind::unknown:
      return reject_bad_request(connection, 404);
    case RequestKind::rpc:
      return handle_rpc(connection, std::move(request), close_after);
  }
}

void HttpServer::handle_rpc(ClientConnection& connection, http::Message request, bool close_after) {
  const RpcRequest rpc = decode_rpc_request(request);
  if (const int status = rpc_error_status(rpc)) return reject_bad_request(connection, status);
  update_buffered_bytes(connection);
  if (connection.over_connection_limit || is_over_memory_limit())
    return reject_for_lack_of_resources(connection);
  if (!dispatcher_.try_open_call_id(rpc.id)) return reject_bad_request(connection, http::status::conflict);
  dispatch_rpc(connection, std::move(request), rpc.budget_ms, close_after);
}

void HttpServer::reject_for_lack_of_resources(ClientConnection& connection) {
  ++counters_.resource_rejections;
  send_response(connection, encode_rejection(dispatcher_.longest_retry_after_ms(), true), true);
}

// The HTTP status to reject the request with; 0 if the dispatcher can take it.
int HttpServer::rpc_error_status(const RpcRequest& rpc) const {
  if (rpc.error_status) return rpc.error_status;
  if (!dispatcher_.is_known_method(rpc.method)) return 404;
  return 0;
}

void HttpServer::dispatch_rpc(ClientConnection& connection, http::Message request, double budget_ms,
                              bool close_after) {
  connection.stage = Stage::awaiting_response;
  connection.close_after_response = close_after;
  connection.is_http_1_0 = request.is_http_1_0;
  connection.is_head_request = is_head_request(request);
  connection.request_bytes_held = request.bytes.capacity();
  connection.streaming_request = request.is_partial;
  connection.upstream_wants_more = false;
  connection.rpc_budget_ms = budget_ms;
  if (request.is_partial) {
    connection.request_length = request.content_length;
    connection.upload_clock.start(connection.request_received_at_ms);
    schedule_upload_check(connection);
  }
  const std::uint64_t id = connection.id;
  std::string rpc_id =
      dispatcher_.dispatch(std::move(request), connection.request_received_at_ms, make_response_handler(id));
  // The RPC may have been answered within dispatch(), and the connection closed.
  const auto it = connections_.find(id);
  if (it != connections_.end() && it->second->stage == Stage::awaiting_response)
    it->second->rpc_id = std::move(rpc_id);
}

RequestDispatcher::ResponseHandler HttpServer::make_response_handler(std::uint64_t id) {
  RequestDispatcher::ResponseHandler handler;
  handler.on_result = [this, id](RpcResult result) {
    on_rpc_result(*connections_.at(id), std::move(result));
  };
  handler.on_body_piece = [this, id](std::string_view piece, bool last) {
    return forward_response_body(*connections_.at(id), piece, last);
  };
  handler.on_aborted = [this, id] {
    // A reset tells the client that the response is incomplete.
    connections_.at(id)->socket->reset_on_close();
    close_connection(id);
  };
  handler.on_ready_for_body = [this, id] {
    ClientConnection& connection = *connections_.at(id);
    if (std::exchange(connection.upstream_wants_more, true)) return;
    connection.last_byte_at_ms = event_loop_.now();  // the endpoint's delay is no pause of the client
    connection.socket->requeue();
  };
  return handler;
}

// Answers an invalid request at once. The dispatcher treats the client of a partly dispatched one as gone.
void HttpServer::reject_bad_request(ClientConnection& connection, int status) {
  ++counters_.malformed_requests;
  if (std::exchange(connection.streaming_request, false)) {
    connection.request_bytes_held = 0;
    dispatcher_.on_client_left(std::exchange(connection.rpc_id, {}));
  }
  send_response(connection, encode_plain_response(status, "", true), true);
}

void HttpServer::on_rpc_result(ClientConnection& connection, RpcResult result) {
  // After an early response the rest of a long request is useless, so the connection is closed.
  const bool close_after = std::exchange(connection.streaming_request, false) ||
                           connection.close_after_response || draining_ || force_closing_ ||
                           over_idle_limit();
  connection.request_bytes_held = 0;
  connection.response = std::move(result.response);
  const http::Message& response = connection.response;
  if (result.outcome == RpcResult::Outcome::ok && response.is_partial)
    return start_streaming_response(connection, close_after);
  connection.rpc_id.clear();
  if (result.outcome == RpcResult::Outcome::rejected)
    return send_response(connection, encode_rejection(result.retry_after_ms, close_after), close_after);
  if (result.outcome == RpcResult::Outcome::failed && response.status == 0)
    return send_response(connection, encode_failure(close_after), close_after);
  send_response(
      connection,
      encode_forwarded_response(response, close_after, connection.is_head_request, connection.is_http_1_0),
      close_after);
}

void HttpServer::start_streaming_response(ClientConnection& connection, bool close_after) {
  const bool has_length = connection.response.content_length.has_value();
  connection.chunked_response = !has_length && !connection.is_http_1_0;
  connection.last_piece_queued = false;
  // An HTTP/1.0 client doesn't understand chunks: for it the end of the connection ends the body.
  connection.close_after_response = close_after || (!has_length && connection.is_http_1_0);
  connection.stage = Stage::streaming_response;
  connection.timeout_timer.cancel();
  connection.output = encode_forwarded_response(connection.response, connection.close_after_response, false,
                                                connection.is_http_1_0);
  update_buffered_bytes(connection);
  connection.socket->requeue();  // written later: the dispatcher is still processing this RPC
}

// Returns true if more is wanted at once, because the whole piece was written.
bool HttpServer::forward_response_body(ClientConnection& connection, std::string_view piece, bool last) {
  connection.output = {};
  connection.output.append_owned(encode_body_chunk(piece, connection.chunked_response, last));
  connection.last_piece_queued = last;
  const std::uint64_t id = connection.id;
  flush_output(connection);
  const auto it = connections_.find(id);
  return it != connections_.end() && it->second->stage == Stage::streaming_response &&
         it->second->output.is_complete();
}

void HttpServer::send_response(ClientConnection& connection, WriteBuffer response, bool close_after) {
  connection.stage = Stage::writing_response;
  connection.output = std::move(response);
  connection.close_after_response = close_after;
  connection.timeout_timer.cancel();
  flush_output(connection);
}

void HttpServer::flush_output(ClientConnection& connection) {
  if (!connection.socket->write(connection.output)) return close_connection(connection.id);
  if (!connection.output.is_complete()) {
    const std::size_t written = connection.output.written_bytes();
    const bool made_progress = std::exchange(connection.bytes_written, written) != written;
    if (made_progress || !connection.timeout_timer.is_set())
      set_slow_reader_timeout(connection, connection.socket->unacknowledged_bytes());
    return;
  }
  connection.timeout_timer.cancel();
  std::exchange(connection.response, {});  // an assignment alone would keep the allocated buffer
  connection.output = {};
  if (connection.stage == Stage::streaming_response && !connection.last_piece_queued)
    return dispatcher_.resume_response(connection.rpc_id);
  on_response_written(connection);
}

void HttpServer::on_response_written(ClientConnection& connection) {
  connection.rpc_id.clear();
  update_buffered_bytes(connection);
  connection.stage = Stage::reading_request;
  if (connection.close_after_response) {
    release_input(connection);  // further input is discarded
    // Closing with unread input would reset the connection, and the client could lose the response.
    constexpr double linger_interval_ms = 1000;
    constexpr double linger_interval_in_drain_ms = 100;
    connection.stage = Stage::lingering;
    set_eviction_class(connection, EvictionClass::lingering);
    connection.socket->shutdown_write();
    linger_until_read(connection, draining_ ? linger_interval_in_drain_ms : linger_interval_ms);
  }
  connection.socket->requeue();
}

// A client that reads slowly gets the whole response as long as it makes progress.
void HttpServer::set_slow_reader_timeout(ClientConnection& connection, std::size_t unacknowledged_bytes) {
  // Well-behaved clients pause for less. The response to a client that doesn't read must not be kept here
  // after it has become useless.
  constexpr double longest_pause_ms = 3000;
  const double pause_ms = std::max(longest_pause_ms, limits_.max_client_wait_ms);
  connection.timeout_timer =
      event_loop_.schedule_at(event_loop_.now() + pause_ms, [this, id = connection.id, unacknowledged_bytes] {
        ClientConnection& slow = *connections_.at(id);
        const std::size_t remaining = slow.socket->unacknowledged_bytes();
        if (remaining >= unacknowledged_bytes) return close_connection(id);
        set_slow_reader_timeout(slow, remaining);
      });
}

// The client must not lose the part of the response that it still reads: the connection is closed once all
// bytes are acknowledged, or none was within the interval.
void HttpServer::linger_until_read(ClientConnection& connection, double interval_ms) {
  connection.timeout_timer = event_loop_.schedule_at(
      event_loop_.now() + interval_ms,
      [this, id = connection.id, interval_ms, before = connection.socket->unacknowledged_bytes()] {
        ClientConnection& slow = *connections_.at(id);
        const std::size_t remaining = slow.socket->unacknowledged_bytes();
        if (remaining == 0 || remaining >= before) return close_connection(id);
        linger_until_read(slow, interval_ms);
      });
}

void HttpServer::close_connection(std::uint64_t id) {
  const auto it = connections_.find(id);
  ClientConnection& connection = *it->second;
  set_eviction_class(connection, EvictionClass::not_evictable);
  buffered_bytes_ -= connection.accounted_bytes;
  const std::string rpc_id = std::move(connection.rpc_id);
  const bool has_rpc =
      connection.stage == Stage::awaiting_response || connection.stage == Stage::streaming_response;
  if (connection.stage == Stage::writing_response) ++counters_.undelivered_responses;
  connections_.erase(it);
  if (has_rpc) dispatcher_.on_client_left(rpc_id);
  notify_if_drained();
}

}  // namespace indigorill
