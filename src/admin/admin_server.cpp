#include "admin/admin_server.h"

#include <sys/socket.h>

#include <cerrno>
#include <utility>

namespace indigorill {
namespace {

// Bodies of admin requests are ignored; those up to this size are accepted.
constexpr std::size_t max_request_bytes = 4096;

// Limits how long a client may take to read its response and then close the connection.
constexpr double response_timeout_ms = 1000;

// The listener's watch is edge-triggered: it does not report connections that are left in the backlog again,
// so a timer retries accepting them.
constexpr double accept_retry_interval_ms = 5;

constexpr int first_error_status = 300;

std::string_view default_body(int status) {
  switch (status) {
    case 200:
      return "yes\n";
    case 404:
      return "no such call or endpoint\n";
    case 405:
      return "not by this method\n";
    case 503:
      return "not now\n";
    default:
      return "no\n";
  }
}

}  // namespace

struct AdminServer::Connection {
  enum class ConnectionState { reading, handling, writing, lingering };

  ConnectionState state = ConnectionState::reading;
  std::uint64_t id = 0;
  std::unique_ptr<TcpStream> stream;
  http::HttpParser parser{http::HttpParser::MessageKind::request, max_request_bytes};
  WriteBuffer response;
  double last_received_ms = 0;
  EventLoop::Timer response_timer;

  EvictionKey eviction_key() const {
    return {.is_unanswered = state != ConnectionState::lingering,
            .last_received_ms = last_received_ms,
            .connection_id = id};
  }
};

AdminServer::AdminServer(EventLoop& event_loop, Counters& counters, RequestHandler handle_request)
    : event_loop_(event_loop), counters_(counters), handle_request_(std::move(handle_request)) {}

AdminServer::~AdminServer() = default;

void AdminServer::adopt_listener(FileDescriptor listener) {
  listener_ = std::move(listener);
  listener_watch_ = event_loop_.watch_fd(
      listener_.get(), [this](std::uint32_t) { handle_listener_ready(); }, EventLoop::WatchPriority::high);
}

void AdminServer::handle_listener_ready() {
  if (accept_connections() == AcceptStatus::backlog_empty) return;
  accept_timer_ = event_loop_.schedule_at(event_loop_.now() + accept_retry_interval_ms,
                                          [this] { handle_listener_ready(); });
}

AdminServer::AcceptStatus AdminServer::accept_connections() {
  for (;;) {
    if (descriptor_budget_.available() == 0 && !evict_idle_connection()) return AcceptStatus::backlog_left;
    FileDescriptor fd(::accept4(listener_.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (fd) {
      add_connection(std::move(fd));
    } else if (errno == EAGAIN || errno == EWOULDBLOCK) {
      return AcceptStatus::backlog_empty;
    } else if (errno != EINTR && errno != ECONNABORTED) {
      return AcceptStatus::backlog_left;
    }
  }
}

void AdminServer::add_connection(FileDescriptor fd) {
  const std::uint64_t id = ++last_connection_id_;
  auto connection = std::make_unique<Connection>();
  connection->id = id;
  connection->last_received_ms = event_loop_.now();
  connection->stream = std::make_unique<TcpStream>(
      event_loop_, descriptor_budget_, std::move(fd), [this, id](std::uint32_t) { handle_events(id); },
      EventLoop::WatchPriority::high);
  evictable_.insert(connection->eviction_key());
  connections_[id] = std::move(connection);
  handle_events(id);
}

// A client that holds a connection without a complete request must not keep out one that sends a request.
bool AdminServer::evict_idle_connection() {
  if (evictable_.empty()) return false;
  close(*connections_.at(evictable_.begin()->connection_id));
  return true;
}

void AdminServer::close(const Connection& connection) {
  const std::uint64_t id = connection.id;
  evictable_.erase(connection.eviction_key());
  connections_.erase(id);
}

void AdminServer::handle_events(std::uint64_t connection_id) {
  const auto found = connections_.find(connection_id);
  if (found == connections_.end()) return;
  Connection& connection = *found->second;
  switch (connection.state) {
    case Connection::ConnectionState::reading:
      return read_request(connection);
    case Connection::ConnectionState::writing:
      return flush_response(connection);
    case Connection::ConnectionState::handling:
    case Connection::ConnectionState::lingering:
      return discard_input(connection);
  }
}

void AdminServer::read_request(Connection& connection) {
  using ReadStatus = TcpStream::ReadStatus;
  using ParseState = http::HttpParser::ParseState;
  for (;;) {
    std::size_t count = 0;
    const ReadStatus status = connection.stream->read(connection.parser.writable_buffer(), count);
    if (status == ReadStatus::would_block) return;
    if (status != ReadStatus::data) return close(connection);
    evictable_.erase(connection.eviction_key());
    connection.last_received_ms = event_loop_.now();
    connection.parser.commit(count);
    if (connection.parser.state() == ParseState::error)
      return send_response(connection, connection.parser.error_status());
    if (connection.parser.state() == ParseState::complete) return dispatch_request(connection);
    evictable_.insert(connection.eviction_key());
  }
}

// Discards what the client sends after its request. If the client closes the connection while the request is
// handled, handling goes on and the response is dropped.
void AdminServer::discard_input(Connection& connection) {
  using ReadStatus = TcpStream::ReadStatus;
  const ReadStatus status = connection.stream->discard();
  if (status == ReadStatus::would_block) return;
  if (status == ReadStatus::data)
    connection.stream->requeue();
  else
    close(connection);
}

void AdminServer::dispatch_request(Connection& connection) {
  const AdminRequest request = decode_admin_request(connection.parser.take_message());
  if (request.error_status != 0) return send_response(connection, request.error_status);
  connection.state = Connection::ConnectionState::handling;
  handle_request_(request, [this, id = connection.id](int status, const std::string& json) {
    const auto found = connections_.find(id);
    if (found != connections_.end()) send_response(*found->second, status, json);
  });
}

void AdminServer::send_response(Connection& connection, int status, std::string_view json) {
  ++counters_.admin_requests;
  if (status >= first_error_status) ++counters_.rejected_admin_requests;
  connection.state = Connection::ConnectionState::writing;
  connection.response = json.empty() ? encode_admin_response(status, default_body(status))
                                     : encode_admin_response(status, json, true);
  flush_response(connection);
}

void AdminServer::flush_response(Connection& connection) {
  if (!connection.stream->write(connection.response)) return close(connection);
  if (!connection.response_timer.is_set())
    connection.response_timer = event_loop_.schedule_at(
        event_loop_.now() + response_timeout_ms, [this, id = connection.id] { close(*connections_.at(id)); });
  if (connection.response.is_complete()) linger(connection);
}

// Closing a connection with unread input would reset it, and the client would lose the response.
void AdminServer::linger(Connection& connection) {
  connection.state = Connection::ConnectionState::lingering;
  connection.stream->shutdown_write();
  evictable_.insert(connection.eviction_key());
  connection.stream->requeue();
}

}  // namespace indigorill
