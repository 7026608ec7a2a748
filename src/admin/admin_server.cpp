#include "admin/admin_server.h"

#include <sys/socket.h>

#include <cerrno>
#include <tuple>

namespace indigorill {
namespace {

constexpr std::size_t max_request_bytes = 4096;  // what comes with an order is of no use; a little may come

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
  enum class ConnectionState { reading, handling, writing, lingering } state = ConnectionState::reading;
  std::uint64_t id;
  std::unique_ptr<TcpStream> socket_stream;
  http::HttpParser parser{http::HttpParser::MessageKind::request, max_request_bytes};
  WriteBuffer response;
  double last_received_ms = 0;  // the last bytes
  EventLoop::Timer close_timer;
  std::tuple<bool, double, std::uint64_t> eviction_key() const {
    return {state != ConnectionState::lingering, last_received_ms, id};
  }
};

AdminServer::AdminServer(EventLoop& in, Counters& counts, Logger& log_to, RequestHandler carries)
    : event_loop_(in), counters_(counts), logger_(log_to), handle_request_(std::move(carries)) {}

AdminServer::~AdminServer() = default;

void AdminServer::adopt_listener(FileDescriptor listener) {
  listener_ = std::move(listener);
  listener_watch_ = event_loop_.watch_fd(
      listener_.get(), [this](std::uint32_t) { handle_listener_ready(); }, EventLoop::WatchPriority::high);
}

void AdminServer::handle_listener_ready() {
  constexpr double soon = 5;  // ms; the edge is spent
  if (!accept_connections())
    accept_timer_ = event_loop_.schedule_at(event_loop_.now() + soon, [this] { handle_listener_ready(); });
}

// Who holds a connection without a whole call must not shut out who makes one: past the number set aside the
// one silent for longest goes, the answered ones first.
bool AdminServer::evict_idle_connection() {
  if (evictable_.empty()) return false;
  const std::uint64_t name = std::get<2>(*evictable_.begin());
  evictable_.erase(evictable_.begin());
  connections_.erase(name);
  return true;
}

bool AdminServer::accept_connections() {
  for (;;) {
    if (descriptor_budget_.available() == 0 && !evict_idle_connection()) return false;
    FileDescriptor fd(::accept4(listener_.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (!fd) {
      if (errno == EINTR || errno == ECONNABORTED) continue;
      return errno == EAGAIN || errno == EWOULDBLOCK;
    }
    const std::uint64_t name = ++last_connection_id_;
    Connection& c = *(connections_[name] = std::make_unique<Connection>());
    c.id = name;
    c.last_received_ms = event_loop_.now();
    evictable_.insert(c.eviction_key());
    c.socket_stream = std::make_unique<TcpStream>(
        event_loop_, descriptor_budget_, std::move(fd), [this, name](std::uint32_t) { handle_events(name); },
        EventLoop::WatchPriority::high);
    handle_events(name);
  }
}

void AdminServer::handle_events(std::uint64_t which) {
  const auto it = connections_.find(which);
  if (it == connections_.end()) return;
  Connection& c = *it->second;
  using Stage = Connection::ConnectionState;
  if (c.state == Stage::writing) return flush_response(c);
  for (;;) {
    std::size_t n = 0;
    const TcpStream::ReadStatus got = c.state == Stage::reading
                                          ? c.socket_stream->read(c.parser.writable_buffer(), n)
                                          : c.socket_stream->discard();
    if (got == TcpStream::ReadStatus::would_block) return;
    if (got != TcpStream::ReadStatus::data) {
      // Who closes is gone; an order that is being carried out goes on, its answer finds nobody.
      evictable_.erase(c.eviction_key());
      connections_.erase(which);
      return;
    }
    if (c.state != Stage::reading) {
      c.socket_stream->requeue();
      return;
    }
    evictable_.erase(c.eviction_key());
    c.last_received_ms = event_loop_.now();
    c.parser.commit(n);
    if (c.parser.state() == http::HttpParser::ParseState::error)
      return send_response(c, c.parser.error_status());
    if (c.parser.state() == http::HttpParser::ParseState::complete) {
      const AdminRequest asked = decode_admin_request(c.parser.take_message());
      if (asked.error_status) return send_response(c, asked.error_status);
      c.state = Stage::handling;
      return handle_request_(asked, [this, which](int status, const std::string& text) {
        const auto still = connections_.find(which);
        if (still != connections_.end()) send_response(*still->second, status, text);
      });
    }
    evictable_.insert(c.eviction_key());
  }
}

void AdminServer::send_response(Connection& c, int status, const std::string& text) {
  ++counters_.admin_requests;
  if (status >= 300) ++counters_.rejected_admin_requests;
  c.state = Connection::ConnectionState::writing;
  c.response = text.empty() ? encode_admin_response(status, default_body(status))
                            : encode_admin_response(status, text, true);
  flush_response(c);
}

void AdminServer::flush_response(Connection& c) {
  const std::uint64_t name = c.id;
  if (!c.socket_stream->write(c.response)) {
    connections_.erase(name);
    return;
  }
  constexpr double longest = 1000;  // for who doesn't read it, or doesn't close
  if (!c.close_timer.is_set())
    c.close_timer = event_loop_.schedule_at(event_loop_.now() + longest, [this, name] {
      evictable_.erase(connections_.at(name)->eviction_key());
      connections_.erase(name);
    });
  if (!c.response.is_complete()) return;
  // Closing over bytes that we did not read would reset the connection and take the answer with it.
  c.state = Connection::ConnectionState::lingering;
  c.socket_stream->shutdown_write();
  evictable_.insert(c.eviction_key());
  c.socket_stream->requeue();
}

}  // namespace indigorill
