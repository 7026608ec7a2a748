/// \file
/// The HTTP server of a fake server or discovery agent: a listener on loopback and its connections, with one
/// request at a time on each.
#pragma once

#include <netinet/in.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "event/event_loop.h"
#include "event/tcp_stream.h"
#include "http/http_parser.h"

namespace indigorill::load_generator {

/// Connections are numbered in the order in which they are accepted. The event loop and the descriptor budget
/// must outlive the listener.
class HttpListener {
 public:
  /// Called with each complete request; the answer may come later, by send_answer().
  using RequestHandler = std::function<void(std::uint64_t connection, const http::Message& request)>;
  using CloseHandler = std::function<void(std::uint64_t connection)>;

  /// `port` 0: the kernel chooses the port, which stays reserved while the listener is closed.
  HttpListener(EventLoop& loop, FileDescriptorBudget& descriptors, RequestHandler on_request,
               CloseHandler on_closed, std::uint16_t port);
  ~HttpListener();

  void open();
  /// Closes the listener and every connection.
  void close_all();
  /// Closes the listener; open connections stay open.
  void stop_accepting();
  bool is_listening() const { return static_cast<bool>(socket_); }
  bool is_open(std::uint64_t connection) const { return connections_.count(connection) > 0; }
  /// Stops accepting, reading, writing and closing, until close_all() and open() are called.
  void freeze() { frozen_ = true; }
  /// Does nothing if the connection is closed.
  void send_answer(std::uint64_t connection, std::string bytes);

  const sockaddr_in& address() const { return address_; }
  std::size_t connections() const { return connections_.size(); }

 private:
  struct Connection;

  void accept_connections();
  void on_readable(std::uint64_t id);
  void flush(Connection& connection);
  void close_connection(std::uint64_t id);

  EventLoop& loop_;
  FileDescriptorBudget& descriptors_;
  RequestHandler on_request_;
  CloseHandler on_closed_;
  sockaddr_in address_{};
  FileDescriptor socket_;
  EventLoop::Watch socket_watch_;
  bool frozen_ = false;
  std::uint64_t last_connection_id_ = 0;
  std::unordered_map<std::uint64_t, std::unique_ptr<Connection>> connections_;
};

}  // namespace indigorill::load_generator
