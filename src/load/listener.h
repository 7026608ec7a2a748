// What a stand-in serves by: a door on loopback and its connections, one request at a time on each.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "event/socket.h"
#include "event/tcp_stream.h"
#include "http/http_parser.h"

namespace indigorill::loading {

class HttpListener {
 public:
  // Called with each whole request; the answer may come later, by answer().
  using RequestHandler = std::function<void(std::uint64_t connection, const http::Message& m)>;

  HttpListener(EventLoop& in, FileDescriptorBudget& budget, RequestHandler then,
               std::function<void(std::uint64_t)> closed, std::uint16_t port);
  ~HttpListener();

  void open();       // port 0: the first time at one of the kernel's choice, then at that again
  void close_all();  // the door and every connection
  void freeze() { frozen_ = true; }  // until it is shut: nothing is accepted, read or written, nothing ends
  void send_answer(std::uint64_t connection, std::string bytes);

  const sockaddr_in& address() const { return address_; }
  std::size_t connections() const { return connections_.size(); }

 private:
  struct Connection;
  void accept_connections();
  void on_readable(std::uint64_t which);
  void flush(Connection& s);
  void close_connection(std::uint64_t which);

  EventLoop& loop_;
  FileDescriptorBudget& descriptors_;
  RequestHandler on_request_;
  std::function<void(std::uint64_t)> on_closed_;
  sockaddr_in address_{};
  FileDescriptor socket_;
  EventLoop::Watch socket_watch_;
  bool frozen_ = false;
  std::uint64_t last_connection_id_ = 0;
  std::unordered_map<std::uint64_t, std::unique_ptr<Connection>> connections_;
};

std::string format_address(const sockaddr_in& a);

}  // namespace indigorill::loading
