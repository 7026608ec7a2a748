#include "load/listener.h"

#include <arpa/inet.h>
#include <sys/socket.h>

#include <array>
#include <vector>

namespace indigorill::loading {

struct HttpListener::Connection {
  std::uint64_t id;
  std::unique_ptr<TcpStream> transport;
  http::HttpParser parser{http::HttpParser::MessageKind::request};
  WriteBuffer output;
};

std::string format_address(const sockaddr_in& a) {
  std::array<char, INET_ADDRSTRLEN> text{};
  ::inet_ntop(AF_INET, &a.sin_addr, text.data(), text.size());
  return std::string(text.data()) + ":" + std::to_string(ntohs(a.sin_port));
}

HttpListener::HttpListener(EventLoop& in, FileDescriptorBudget& budget, RequestHandler what,
                           std::function<void(std::uint64_t)> on_close, std::uint16_t port)
    : loop_(in), descriptors_(budget), on_request_(std::move(what)), on_closed_(std::move(on_close)) {
  address_.sin_port = htons(port);
  address_.sin_family = AF_INET;
  address_.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
}

HttpListener::~HttpListener() = default;

void HttpListener::open() {
  frozen_ = false;
  socket_ = open_listener(address_);
  socklen_t size = sizeof address_;
  ::getsockname(socket_.get(), reinterpret_cast<sockaddr*>(&address_), &size);
  socket_watch_ = loop_.watch_fd(socket_.get(), [this](std::uint32_t) { accept_connections(); });
}

void HttpListener::close_all() {
  socket_watch_.cancel();
  socket_ = FileDescriptor();
  std::vector<std::uint64_t> all;
  for (const auto& [name, s] : connections_) all.push_back(name);
  for (const std::uint64_t name : all) close_connection(name);
}

void HttpListener::accept_connections() {
  while (!frozen_ && socket_) {
    FileDescriptor fd(::accept4(socket_.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (!fd) return;
    const std::uint64_t name = ++last_connection_id_;
    auto s = std::make_unique<Connection>();
    s->id = name;
    s->transport = std::make_unique<TcpStream>(loop_, descriptors_, std::move(fd),
                                               [this, name](std::uint32_t) { on_readable(name); });
    connections_.emplace(name, std::move(s));
    on_readable(name);
  }
}

void HttpListener::on_readable(std::uint64_t which) {
  for (;;) {
    const auto it = connections_.find(which);
    if (it == connections_.end() || frozen_) return;
    Connection& s = *it->second;
    flush(s);
    std::size_t n = 0;
    const TcpStream::ReadStatus got = s.transport->read(s.parser.writable_buffer(), n);
    if (got == TcpStream::ReadStatus::would_block) return;
    if (got != TcpStream::ReadStatus::data) return close_connection(which);
    s.parser.commit(n);
    if (s.parser.state() == http::HttpParser::ParseState::error) return close_connection(which);
    if (s.parser.state() == http::HttpParser::ParseState::complete) {
      const http::Message m = s.parser.take_message();
      on_request_(which, m);
    }
  }
}

void HttpListener::send_answer(std::uint64_t which, std::string bytes) {
  const auto it = connections_.find(which);
  if (it == connections_.end()) return;
  if (it->second->output.is_complete()) it->second->output = {};
  it->second->output.append_owned(std::move(bytes));
  flush(*it->second);
}

void HttpListener::flush(Connection& s) {
  // What can't be written now is when the socket is ready again; a broken one is found by reading.
  if (!frozen_ && !s.output.is_complete()) s.transport->write(s.output);
}

void HttpListener::close_connection(std::uint64_t which) {
  if (connections_.erase(which) > 0) on_closed_(which);
}

}  // namespace indigorill::loading
