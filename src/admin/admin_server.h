/// \file
/// The HTTP server on the admin address, where operators query this process's state and eject endpoints
/// manually. It has a listener and file descriptors of its own, so that operators can connect whatever the
/// number of the sidecar's clients; no RPCs pass through it.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>

#include "event/socket.h"
#include "event/tcp_stream.h"
#include "http/admin_codec.h"
#include "http/http_parser.h"
#include "metrics/counters.h"

namespace indigorill {

/// Serves one request on each connection, then closes it.
class AdminServer {
 public:
  /// `json`: the response body of a query; if it is empty, the response has a default text for the status.
  using ResponseCallback = std::function<void(int status, std::string json)>;
  /// Handles a valid request and calls back with the result, at once or later.
  using RequestHandler = std::function<void(const AdminRequest&, ResponseCallback)>;

  /// Number of descriptors that the process has to reserve for the listener and the connections.
  static constexpr std::size_t reserved_descriptors = 13;

  /// The event loop and the counters must outlive the server.
  AdminServer(EventLoop& event_loop, Counters& counters, RequestHandler handle_request);
  ~AdminServer();
  AdminServer(const AdminServer&) = delete;
  AdminServer& operator=(const AdminServer&) = delete;

  /// Throws std::system_error if the address can't be listened on.
  void listen(const sockaddr_in& address) { adopt_listener(open_listener(address)); }
  /// `listener`: a socket that is already listening.
  void adopt_listener(FileDescriptor listener);

 private:
  struct Connection;
  /// Eviction order: answered connections first; within each group, the one that has been silent for longest.
  struct EvictionKey {
    bool is_unanswered;
    double last_received_ms;
    std::uint64_t connection_id;
    bool operator<(const EvictionKey& other) const {
      return std::tie(is_unanswered, last_received_ms, connection_id) <
             std::tie(other.is_unanswered, other.last_received_ms, other.connection_id);
    }
  };
  enum class AcceptStatus { backlog_empty, backlog_left };

  void handle_listener_ready();
  AcceptStatus accept_connections();
  void add_connection(FileDescriptor fd);
  bool evict_idle_connection();
  void close(const Connection& connection);

  void handle_events(std::uint64_t connection_id);
  void read_request(Connection& connection);
  void discard_input(Connection& connection);
  void dispatch_request(Connection& connection);
  void send_response(Connection& connection, int status, std::string_view json = {});
  void flush_response(Connection& connection);
  void linger(Connection& connection);

  EventLoop& event_loop_;
  Counters& counters_;
  RequestHandler handle_request_;
  FileDescriptorBudget descriptor_budget_{reserved_descriptors - 1};
  FileDescriptor listener_;
  EventLoop::Watch listener_watch_;
  EventLoop::Timer accept_timer_;
  std::uint64_t last_connection_id_ = 0;
  std::unordered_map<std::uint64_t, std::unique_ptr<Connection>> connections_;
  std::set<EvictionKey> evictable_;
};

}  // namespace indigorill
