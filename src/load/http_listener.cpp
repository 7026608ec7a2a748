#include "load/http_listener.h"

#include <sys/socket.h>

#include <utility>
#include <vector>

#include "event/socket.h"
#include "load/loopback.h"

namespace indigorill::load_generator {

using ParseState = http::HttpParser::ParseState;

struct HttpListener::Connection {
  std::uint64_t id;
  std::unique_ptr<TcpStream> transport;
  http::HttpParser parser{http::HttpParser::MessageKind::request};
  WriteBuffer output;
};

HttpListener::HttpListener(EventLoop& loop, FileDescriptorBudget& descriptors, RequestHandler on_request,
                           CloseHandler on_closed, std::uint16_t port)
    : loop_(loop),
      descriptors_(descriptors),
      on_request_(std::move(on_request)),
      on_closed_(std::move(on_closed)),
      address_(port == 0 ? reserve_port() : loopback_at(port)) {}

HttpListener::~HttpListener() = default;

void HttpListener::open() {
  frozen_ = false;
  socket_ = open_listener(address_);
  address_ = bound_address(socket_);
  socket_watch_ = loop_.watch_fd(socket_.get(), [this](std::uint32_t) { accept_connections(); });
}

void HttpListener::stop_accepting() {
  socket_watch_.cancel();
  socket_ = FileDescriptor();
}

void HttpListener::close_all() {
  stop_accepting();
  std::vector<std::uint64_t> ids;
  for (const auto& [id, connection] : connections_) ids.push_back(id);
  for (const std::uint64_t id : ids) close_connection(id);
}

void HttpListener::accept_connections() {
  while (!frozen_ && socket_) {
    FileDescriptor socket(::accept4(socket_.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (!socket) return;
    const std::uint64_t id = ++last_connection_id_;
    auto connection = std::make_unique<Connection>();
    connection->id = id;
    connection->transport = std::make_unique<TcpStream>(loop_, descriptors_, std::move(socket),
                                                        [this, id](std::uint32_t) { on_readable(id); });
    connections_.emplace(id, std::move(connection));
    on_readable(id);
  }
}

void HttpListener::on_readable(std::uint64_t id) {
  for (;;) {
    const auto found = connections_.find(id);
    if (found == connections_.end() || frozen_) return;
    Connection& connection = *found->second;
    flush(connection);
    std::size_t received = 0;
    const TcpStream::ReadStatus status =
        connection.transport->read(connection.parser.writable_buffer(), received);
    if (status == TcpStream::ReadStatus::would_block) return;
    if (status != TcpStream::ReadStatus::data) return close_connection(id);
    connection.parser.commit(received);
    if (connection.parser.state() == ParseState::error) return close_connection(id);
    if (connection.parser.state() != ParseState::complete) continue;
    const http::Message request = connection.parser.take_message();
    on_request_(id, request);
  }
}

void HttpListener::send_answer(std::uint64_t id, std::string bytes) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) return;
  Connection& connection = *found->second;
  if (connection.output.is_complete()) connection.output = {};
  connection.output.append_owned(std::move(bytes));
  flush(connection);
}

// Output that can't be written now is written when the socket is ready again. The result of a write is
// ignored: a broken connection is detected by reading.
void HttpListener::flush(Connection& connection) {
  if (!frozen_ && !connection.output.is_complete()) connection.transport->write(connection.output);
}

void HttpListener::close_connection(std::uint64_t id) {
  if (connections_.erase(id) > 0) on_closed_(id);
}

}  // namespace indigorill::load_generator
