// The second address: staff ask there how this process is and take endpoints out by hand. A front of its own,
// with descriptors of its own, so that no crowd of clients shuts staff out; no RPCs come over it.
#pragma once

#include <memory>
#include <set>
#include <unordered_map>

#include "event/socket.h"
#include "event/tcp_stream.h"
#include "http/admin_codec.h"
#include "http/http_parser.h"
#include "logging/logger.h"
#include "metrics/counters.h"

namespace indigorill {

class AdminServer {
 public:
  // text: JSON for the calls that read; else the status says all.
  using ResponseCallback = std::function<void(int status, std::string text)>;
  // Carries out an order and says how it went, at once or later.
  using RequestHandler = std::function<void(const AdminRequest&, ResponseCallback)>;

  // Of the listener and the connections: what a config has to leave them.
  static constexpr std::size_t reserved_descriptors = 13;

  AdminServer(EventLoop& in, Counters& counts, Logger& log_to, RequestHandler carries);
  ~AdminServer();

  void listen(const sockaddr_in& where) { adopt_listener(open_listener(where)); }
  void adopt_listener(FileDescriptor listener);

 private:
  struct Connection;

  void handle_listener_ready();
  bool accept_connections();  // false: some are left in the backlog
  void handle_events(std::uint64_t which);
  void send_response(Connection& c, int status, const std::string& text = {});
  void flush_response(Connection& c);
  bool evict_idle_connection();

  EventLoop& event_loop_;
  Counters& counters_;
  Logger& logger_;
  RequestHandler handle_request_;
  FileDescriptorBudget descriptor_budget_{reserved_descriptors - 1};
  FileDescriptor listener_;
  EventLoop::Watch listener_watch_;
  EventLoop::Timer accept_timer_;
  std::uint64_t last_connection_id_ = 0;
  std::unordered_map<std::uint64_t, std::unique_ptr<Connection>> connections_;
  std::set<std::tuple<bool, double, std::uint64_t>> evictable_;  // unanswered, silent since, name
};

}  // namespace indigorill
