/// @file
/// The HTTP server that the application's clients connect to. It owns their connections.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>
#include <unordered_map>

#include "event/event_loop.h"
#include "event/socket.h"
#include "event/tcp_stream.h"
#include "http/header_codec.h"
#include "http/http_parser.h"
#include "logging/logger.h"
#include "metrics/counters.h"
#include "proxy/client_connection.h"
#include "proxy/client_listener.h"
#include "proxy/eviction_queue.h"
#include "proxy/request_dispatcher.h"

namespace indigorill {

/// Reads requests, passes RPCs to the dispatcher and writes their responses; answers other requests itself.
/// To stay within its limits, it first closes idle connections and then rejects RPCs.
class HttpServer {
 public:
  struct Limits {
    std::size_t max_connections = 0;       ///< beyond it, ones without an RPC are closed for new ones
    std::size_t max_idle_connections = 0;  ///< without an RPC; beyond it, old ones are closed
    std::size_t max_buffered_bytes = 0;    ///< in messages of all client connections
    double max_client_wait_ms = 3000;      ///< longest time a client waits, according to the config
  };

  /// All references must outlive the server. `close_idle_upstream` closes an idle connection to some
  /// endpoint, and returns false if there is none.
  HttpServer(EventLoop& event_loop, FileDescriptorBudget& descriptor_budget, Counters& counters,
             Logger& logger, RequestDispatcher& dispatcher, Limits limits,
             std::function<bool()> close_idle_upstream);

  /// Throws std::system_error if listening on the address fails.
  void listen(const sockaddr_in& address);
  /// Takes ownership of a socket that is already listening.
  void use_listener(FileDescriptor listener);
  /// While accepting is disabled, waiting connections are left to another process that holds the listener.
  void set_accepting(bool accepting) { listener_.set_accepting(accepting); }
  /// While set, each response ends its connection, so that clients connect again, to another process.
  void set_force_closing(bool force_closing) { force_closing_ = force_closing; }
  void set_limits(Limits limits);

  /// Closes one connection without an RPC, chosen by eviction class and age. Returns false if there is none.
  bool close_idle_connection();

  /// Starts a graceful shutdown: accepts connections for a short time, answers all RPCs, then calls
  /// `on_drained`. RPCs and connections that last too long are aborted before the process would be killed. A
  /// second call does nothing.
  void drain(EventLoop::Callback on_drained);

 private:
  using Stage = ClientConnection::Stage;

  // Accepting.
  bool make_room_for_client();
  void add_connection(FileDescriptor socket);

  // Reading.
  void on_socket_event(std::uint64_t id, std::uint32_t events);
  bool read_request(ClientConnection& connection);
  bool discard_input(ClientConnection& connection);
  void process_input(ClientConnection& connection);
  void await_more_input(ClientConnection& connection);
  void forward_request_body(ClientConnection& connection);
  void send_continue(ClientConnection& connection);
  void set_request_timeout(ClientConnection& connection, double deadline_ms);
  void set_body_timeout(ClientConnection& connection);
  void schedule_upload_check(ClientConnection& connection);
  void check_upload(ClientConnection& connection);

  // Requests.
  void handle_request(ClientConnection& connection, http::Message request);
  void handle_rpc(ClientConnection& connection, http::Message request, bool close_after);
  void dispatch_rpc(ClientConnection& connection, http::Message request, double budget_ms, bool close_after);
  RequestDispatcher::ResponseHandler make_response_handler(std::uint64_t id);
  void reject_for_lack_of_resources(ClientConnection& connection);
  int rpc_error_status(const RpcRequest& rpc) const;
  void reject_bad_request(ClientConnection& connection, int status);

  // Responses.
  void on_rpc_result(ClientConnection& connection, RpcResult result);
  void start_streaming_response(ClientConnection& connection, bool close_after);
  bool forward_response_body(ClientConnection& connection, std::string_view piece, bool last);
  void send_response(ClientConnection& connection, WriteBuffer response, bool close_after);
  void flush_output(ClientConnection& connection);
  void on_response_written(ClientConnection& connection);
  void set_slow_reader_timeout(ClientConnection& connection, std::size_t unacknowledged_bytes);
  void linger_until_read(ClientConnection& connection, double interval_ms);

  // Limits.
  void set_eviction_class(ClientConnection& connection, EvictionClass eviction_class);
  bool close_oldest_of(EvictionClass eviction_class, double min_age_ms);
  bool over_idle_limit();
  bool is_over_memory_limit() const { return buffered_bytes_ > limits_.max_buffered_bytes; }
  void reject_excess_partial_requests();
  void release_input(ClientConnection& connection);
  void update_buffered_bytes(ClientConnection& connection);

  // Closing.
  void close_connection(std::uint64_t id);
  void reread_connections(const std::function<void(ClientConnection&)>& on_read);
  void close_idle_for_drain();
  void close_listener();
  void abort_remaining();
  void notify_if_drained();

  EventLoop& event_loop_;
  FileDescriptorBudget& descriptor_budget_;
  Counters& counters_;
  RequestDispatcher& dispatcher_;
  Limits limits_;
  std::function<bool()> close_idle_upstream_;
  ClientListener listener_;
  EventLoop::Timer listener_close_timer_;
  EventLoop::Timer abort_timer_;
  EventLoop::Callback on_drained_;
  bool draining_ = false;
  bool force_closing_ = false;
  double drain_started_at_ms_ = 0;
  std::uint64_t last_connection_id_ = 0;
  std::unordered_map<std::uint64_t, std::unique_ptr<ClientConnection>> connections_;
  EvictionQueue eviction_queue_;
  std::size_t buffered_bytes_ = 0;         // in messages of all connections
  std::size_t partial_request_bytes_ = 0;  // the part of them in requests of which more is to come
};

}  // namespace indigorill
