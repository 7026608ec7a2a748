// The listener and the application's connections.
#pragma once

#include <memory>
#include <set>
#include <unordered_map>
#include <vector>

#include "event/socket.h"
#include "event/tcp_stream.h"
#include "http/http_parser.h"
#include "logging/logger.h"
#include "metrics/counters.h"
#include "proxy/request_dispatcher.h"

namespace indigorill {

class HttpServer {
 public:
  struct Limits {
    std::size_t max_connections =
        0;  // connections, beyond which room is made at the cost of those that hold no RPC
    std::size_t max_idle_connections =
        0;  // connections that hold no RPC, beyond which they are given back to the clients
    std::size_t max_buffered_bytes = 0;  // in messages of clients
    double max_client_wait_ms = 3000;    // ms; no client waits for longer, as far as the settings tell
  };

  HttpServer(EventLoop& in, FileDescriptorBudget& budget, Counters& counts, Logger& log_to,
             RequestDispatcher& to, Limits within, std::function<bool()> closes_idle);
  ~HttpServer();

  void listen(const sockaddr_in& where);
  void use_listener(FileDescriptor listener);  // one that listens already
  // While it doesn't, whoever else holds the listener takes what waits there.
  void set_accepting(bool does);
  // Each answer ends its connection, so that clients move over to another process.
  void set_force_closing(bool does) { force_closing_ = does; }
  void set_limits(Limits now);

  // Closes the connection that is of least use: answered for good, then silent, half sent or idle,
  // the oldest first. False if there is none.
  bool close_idle_connection();

  // Takes on what still comes for a while, answers all that is held, then calls `then`: before it would be
  // killed, whatever endpoints and clients do.
  void drain(EventLoop::Callback then);

 private:
  struct Connection;

  // Connections that hold no RPC, the first to be closed for room in front.
  enum class EvictionClass { lingering, silent, partial_request, idle, not_evictable };

  enum class AcceptResult { backlog_empty, backlog_remaining, blocked };
  void on_listener_ready();
  AcceptResult accept_connections();
  void on_socket_event(std::uint64_t which, std::uint32_t events = 0);
  bool read_request(Connection& c);
  void process_input(Connection& c);
  void set_request_timeout(Connection& c, double until);
  void reject_bad_request(Connection& c, int status);
  void set_eviction_class(Connection& c, EvictionClass now);
  void handle_request(Connection& c, http::Message m);
  void on_rpc_result(Connection& c, RpcResult v);
  void forward_request_body(Connection& c);
  bool forward_response_body(Connection& c, std::string_view piece, bool last);
  void set_slow_reader_timeout(Connection& c, std::size_t unread);
  void set_body_timeout(Connection& c);
  void send_continue(Connection& c);
  void send_response(Connection& c, WriteBuffer what, bool close);
  void flush_output(Connection& c);
  void close_connection(std::uint64_t which);
  void close_listener();
  void reread_connections(const std::function<void(Connection&)>& then);
  void close_idle_for_drain();
  void linger_until_read(Connection& c, double patience);
  void abort_remaining();
  void notify_if_drained();
  bool close_oldest_of(EvictionClass is, double least);
  bool over_idle_limit();
  bool over_memory_limit(Connection& c);
  void update_buffered_bytes(Connection& c);

  EventLoop& event_loop_;
  FileDescriptorBudget& descriptor_budget_;
  Counters& counters_;
  Logger& logger_;
  RequestDispatcher& dispatcher_;
  Limits limits_;
  std::function<bool()> close_idle_upstream_;
  FileDescriptor listener_;
  EventLoop::Watch listener_watch_;
  EventLoop::Timer accept_retry_timer_, listener_close_timer_, abort_timer_;
  EventLoop::Callback on_drained_;
  bool draining_ = false, accepting_ = true, force_closing_ = false;
  double drain_started_at_ = 0, last_warning_at_ = 0;  // told: to stop
  std::uint64_t last_connection_id_ = 0;
  std::unordered_map<std::uint64_t, std::unique_ptr<Connection>> connections_;
  std::set<std::tuple<EvictionClass, double, std::uint64_t>> evictable_connections_;  // use, since when, name
  std::size_t buffered_bytes_ = 0;  // in messages of all connections
};

}  // namespace indigorill
