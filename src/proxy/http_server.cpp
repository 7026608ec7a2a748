#include "proxy/http_server.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <sstream>
#include <tuple>
#include <utility>

namespace indigorill {

struct HttpServer::Connection {
  // reading a request; held by the relay; writing the answer; passing a long one on; read on until the client
  // closes
  enum class Stage {
    reading_request,
    awaiting_response,
    writing_response,
    streaming_response,
    lingering
  } stage = Stage::reading_request;
  std::uint64_t id;
  std::unique_ptr<TcpStream> socket;
  http::HttpParser parser{http::HttpParser::MessageKind::request};
  double opened_at = 0;
  double request_received_at = 0;  // the first byte of the request
  EvictionClass eviction_class = EvictionClass::not_evictable;
  double eviction_class_since = 0;  // it has been of this use
  std::string rpc_id;
  http::Message response;
  WriteBuffer output;
  bool close_after_response = false, has_sent_request = false,
       over_connection_limit = false;  // heard: a whole request came over it
  bool client_closed = false;          // the client closed its side, or all of it
  bool streaming_request = false,
       upstream_wants_more = false;  // a long request comes in; the endpoint takes more of it
  bool chunked_response = false,
       last_piece_queued = false;  // a long answer: its framing, and whether all of it is in `out`
  bool is_http_1_0 = false, is_head_request = false;                 // what the request's answer may be
  double first_byte_at = 0, head_complete_at = 0, last_byte_at = 0;  // a whole head; the last bytes
  std::size_t body_bytes_received = 0, bytes_written = 0;  // written: of `out`, when it last went on
  std::size_t request_bytes_held = 0,
              accounted_bytes = 0;  // bytes of its request, at the relay; what it counts for in all bytes
  EventLoop::Timer timeout_timer;
};

HttpServer::HttpServer(EventLoop& in, FileDescriptorBudget& budget, Counters& counts, Logger& log_to,
                       RequestDispatcher& to, Limits within, std::function<bool()> closes_idle)
    : event_loop_(in),
      descriptor_budget_(budget),
      counters_(counts),
      logger_(log_to),
      dispatcher_(to),
      limits_(within),
      close_idle_upstream_(std::move(closes_idle)) {}

HttpServer::~HttpServer() = default;

void HttpServer::listen(const sockaddr_in& where) { use_listener(open_listener(where)); }

void HttpServer::use_listener(FileDescriptor listener) {
  listener_ = std::move(listener);
  if (accepting_)
    listener_watch_ = event_loop_.watch_fd(listener_.get(), [this](std::uint32_t) { on_listener_ready(); });
}

void HttpServer::set_accepting(bool does) {
  if (std::exchange(accepting_, does) == does || !listener_) return;
  accept_retry_timer_.cancel();
  listener_watch_.cancel();
  // The watch is new, so that it tells also of what waits already.
  if (accepting_)
    listener_watch_ = event_loop_.watch_fd(listener_.get(), [this](std::uint32_t) { on_listener_ready(); });
}

void HttpServer::set_limits(Limits now) {
  limits_ = now;
  while (connections_.size() > limits_.max_connections && close_idle_connection()) continue;
}

void HttpServer::on_listener_ready() {
  constexpr double soon = 5;  // ms; the edge is spent, so nobody else tells us of the backlog
  const AcceptResult left = accept_connections();
  if (left == AcceptResult::backlog_remaining) event_loop_.requeue(listener_watch_);
  if (left == AcceptResult::blocked)
    accept_retry_timer_ = event_loop_.schedule_at(event_loop_.now() + soon, [this] { on_listener_ready(); });
}

HttpServer::AcceptResult HttpServer::accept_connections() {
  constexpr int turns = 64;  // then those accepted get theirs
  for (int i = 0; i < turns; ++i) {
    // Beyond the budget a client is still let in, to be pushed back: in the backlog it would wait in vain.
    if ((connections_.size() >= limits_.max_connections || descriptor_budget_.available() == 0) &&
        !close_idle_connection() && descriptor_budget_.available() == 0 && !close_idle_upstream_())
      return AcceptResult::blocked;
    FileDescriptor fd(::accept4(listener_.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (!fd) {
      if (errno == EAGAIN || errno == EWOULDBLOCK) return AcceptResult::backlog_empty;
      if (errno == EINTR || errno == ECONNABORTED) continue;
      // EMFILE and its like: the edge must not be lost with the failure, nor the log be flooded.
      constexpr double quiet = 1000;
      if (event_loop_.now() > last_warning_at_ + quiet) {
        last_warning_at_ = event_loop_.now();
        logger_.warning() << "accept failed with error " << errno << ", trying again";
      }
      return AcceptResult::blocked;
    }
    const int on = 1;
    ::setsockopt(fd.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    ++counters_.connections_accepted;
    const std::uint64_t name = ++last_connection_id_;
    Connection& c = *(connections_[name] = std::make_unique<Connection>());
    c.id = name;
    c.opened_at = event_loop_.now();
    c.parser.allow_streaming();
    c.over_connection_limit = connections_.size() > limits_.max_connections;
    c.socket = std::make_unique<TcpStream>(
        event_loop_, descriptor_budget_, std::move(fd),
        [this, name](std::uint32_t events) { on_socket_event(name, events); },
        EventLoop::WatchPriority::high_on_hangup);
    // It may have waited in the backlog, for room or while this process stood still, and have left meanwhile:
    // read before that is seen, what it asked would be sent on for nobody.
    on_socket_event(name, c.socket->poll_hangup_events());
  }
  return AcceptResult::backlog_remaining;
}

void HttpServer::on_socket_event(std::uint64_t which, std::uint32_t events) {
  Connection& c = *connections_.at(which);
  c.client_closed |= (events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0;
  if (c.stage == Connection::Stage::writing_response || c.stage == Connection::Stage::streaming_response)
    return flush_output(c);
  // Its end may lie behind more than is read ahead, or behind an upload that no endpoint takes: who waits for
  // that to be read would send on what nobody waits for.
  if (c.client_closed && c.stage == Connection::Stage::awaiting_response) return close_connection(which);
  if (!read_request(c)) return;
  update_buffered_bytes(c);
  if (c.streaming_request) return forward_request_body(c);
  process_input(c);
}

// False if it brought nothing to serve, or is gone.
bool HttpServer::read_request(Connection& c) {
  constexpr int turns = 16;
  constexpr std::size_t ahead = 4096;  // of the next request while one is held: clients send one at a time
  for (int i = 0; i < turns; ++i) {
    if (c.stage == Connection::Stage::awaiting_response && !c.streaming_request &&
        c.parser.buffer_capacity() > ahead)
      return true;
    // The endpoint is slower than the client, or the request is whole: the rest waits in the kernel.
    if (c.streaming_request &&
        (c.parser.is_body_buffer_full() || c.parser.state() != http::HttpParser::ParseState::streaming_body))
      return true;
    std::size_t n = 0;
    if (c.stage == Connection::Stage::lingering) {
      // One turn a round: a body of 60 MB that nobody wants must not cost others their time.
      const TcpStream::ReadStatus got = c.socket->discard();
      if (got == TcpStream::ReadStatus::data) break;
      if (got != TcpStream::ReadStatus::would_block) close_connection(c.id);
      return false;
    }
    const TcpStream::ReadStatus got = c.socket->read(c.parser.writable_buffer(), n);
    if (got == TcpStream::ReadStatus::would_block) return true;
    if (got == TcpStream::ReadStatus::data) {
      // A request's time counts from its last byte.
      if (c.stage == Connection::Stage::reading_request)
        c.request_received_at = event_loop_.now() - c.socket->receive_age_ms();
      if (!c.parser.has_partial_input()) {
        c.body_bytes_received = 0;
        c.head_complete_at = 0;
        c.first_byte_at = event_loop_.now();
      }
      c.last_byte_at = event_loop_.now();
      c.parser.commit(n);
      if (c.parser.is_head_complete() && c.head_complete_at == 0) c.head_complete_at = c.last_byte_at;
      if (c.parser.is_head_complete()) c.body_bytes_received += n;
      if (c.parser.state() != http::HttpParser::ParseState::reading &&
          c.stage == Connection::Stage::reading_request) {
        c.socket->requeue();  // the client may have closed already, and that edge is spent
        return true;
      }
      continue;
    }
    // A client that closes has left, and what it waited for is of no use any more.
    close_connection(c.id);
    return false;
  }
  c.socket->requeue();
  return true;
}

void HttpServer::process_input(Connection& c) {
  if (c.stage != Connection::Stage::reading_request) return;
  // Who connects and stays silent, or sends half a request, is owed an error or a close within 3 s; the time
  // for a first request counts from the connecting, so that a late half gets no more of it.
  // An honest head may take over 2 s.
  constexpr double to_ask = 2850;
  switch (c.parser.state()) {
    case http::HttpParser::ParseState::complete:
      c.timeout_timer.cancel();
      set_eviction_class(c, EvictionClass::not_evictable);
      c.has_sent_request = true;
      return handle_request(c, c.parser.take_message());
    case http::HttpParser::ParseState::head_ready:
      c.timeout_timer.cancel();
      set_eviction_class(c, EvictionClass::not_evictable);
      c.has_sent_request = true;
      return handle_request(c, c.parser.take_message());
    case http::HttpParser::ParseState::error:
      return reject_bad_request(c, c.parser.error_status());
    default:
      break;
  }
  if (c.parser.expects_continue()) send_continue(c);
  if (c.parser.has_partial_input()) {
    set_eviction_class(c, EvictionClass::partial_request);
    if (c.parser.is_head_complete())
      set_body_timeout(c);
    else if (!c.timeout_timer.is_set())
      set_request_timeout(c, (c.has_sent_request ? c.first_byte_at : c.opened_at) + to_ask);
  } else if (draining_ && !listener_ && c.has_sent_request) {
    close_connection(c.id);
  } else {
    set_eviction_class(c, c.has_sent_request ? EvictionClass::idle : EvictionClass::silent);
    if (!c.has_sent_request && !c.timeout_timer.is_set()) set_request_timeout(c, c.opened_at + to_ask);
  }
}

// Some clients wait for this word before they send a body.
void HttpServer::send_continue(Connection& c) {
  WriteBuffer word;
  word.append_owned(std::string(continue_response()));
  c.socket->write(word);  // it goes to an empty buffer
  c.parser.mark_continue_sent();
}

// A body may be long: what counts is that it comes. Who stops half way is owed an error within 3 s, and who
// sends a byte now and then must not hold on for ever.
void HttpServer::set_body_timeout(Connection& c) {
  constexpr double pause = 1400, ahead = 4000, least_rate = 16;  // ms, ms, bytes a ms; honest clients send 64
  set_request_timeout(
      c, std::min(c.last_byte_at + pause,
                  c.head_complete_at + ahead + static_cast<double>(c.body_bytes_received) / least_rate));
}

// A whole request has to be here by then.
void HttpServer::set_request_timeout(Connection& c, double until) {
  c.timeout_timer = event_loop_.schedule_at(until, [this, name = c.id] {
    Connection& late = *connections_.at(name);
    if (late.streaming_request || late.parser.has_partial_input()) return reject_bad_request(late, 408);
    ++counters_.timed_out_clients;
    close_connection(name);
  });
}

// What is no RPC is answered at once, and nothing is sent on.
void HttpServer::reject_bad_request(Connection& c, int status) {
  ++counters_.malformed_requests;
  if (std::exchange(c.streaming_request, false)) {
    c.request_bytes_held = 0;
    dispatcher_.on_client_left(std::exchange(c.rpc_id, {}));
  }
  send_response(c, encode_plain_response(status, "", true), true);
}

void HttpServer::set_eviction_class(Connection& c, EvictionClass now) {
  // Of those half sent, who made progress last is the last to go for room: slow is not idle.
  if (c.eviction_class == now && now != EvictionClass::partial_request) return;
  if (c.eviction_class != EvictionClass::not_evictable)
    evictable_connections_.erase({c.eviction_class, c.eviction_class_since, c.id});
  c.eviction_class = now;
  c.eviction_class_since = event_loop_.now();
  if (now != EvictionClass::not_evictable)
    evictable_connections_.insert({c.eviction_class, c.eviction_class_since, c.id});
}

void HttpServer::update_buffered_bytes(Connection& c) {
  constexpr std::size_t transfer =
      4 * http::max_buffered_body_bytes;  // what both ends of one may hold, at most
  const std::size_t now =
      c.parser.buffer_capacity() + c.request_bytes_held + c.response.bytes.capacity() +
      (c.streaming_request || c.stage == Connection::Stage::streaming_response ? transfer : 0);
  buffered_bytes_ += now - c.accounted_bytes;
  c.accounted_bytes = now;
}

// Clients that ask once and stay may hold no more connections some day, and then can't ask: what rests is
// given back, oldest first. True if there is too much of it and all is young: then an answer ends its
// connection.
bool HttpServer::over_idle_limit() {
  constexpr std::pair<EvictionClass, double> old[] = {{EvictionClass::silent, 500},
                                                      {EvictionClass::idle, 2000}};  // ms
  for (const auto& [is, least] : old)
    while (evictable_connections_.size() >= limits_.max_idle_connections && close_oldest_of(is, least))
      continue;
  return evictable_connections_.size() >= limits_.max_idle_connections;
}

bool HttpServer::over_memory_limit(Connection& c) {
  update_buffered_bytes(c);
  return buffered_bytes_ > limits_.max_buffered_bytes;
}

void HttpServer::handle_request(Connection& c, http::Message m) {
  const RequestKind what = classify_request(m);
  // Nobody waits for its answer; what costs nothing is told all the same to who closed only one side.
  if (c.client_closed && what == RequestKind::rpc) return this->close_connection(c.id);
  const bool close = !m.keep_alive || draining_ || force_closing_ || c.over_connection_limit ||
                     (what != RequestKind::rpc && over_idle_limit());
  if (what == RequestKind::readiness)
    return send_response(c,
                         draining_ ? encode_plain_response(503, "stopping\n", close)
                                   : encode_plain_response(200, "ready\n", close),
                         close);
  if (what == RequestKind::options) return send_response(c, encode_options_response(close), close);
  if (what == RequestKind::counters) {
    std::ostringstream text;
    text << counters_;
    return send_response(c, encode_plain_response(200, text.str(), close), close);
  }
  const RpcRequest asked = decode_rpc_request(m);
  const int fault = what == RequestKind::unknown                 ? 404
                    : asked.error_status                         ? asked.error_status
                    : !dispatcher_.is_known_method(asked.method) ? 404
                    : dispatcher_.is_call_id_open(asked.id)      ? 409
                                                                 : 0;
  if (fault) return reject_bad_request(c, fault);
  if (c.over_connection_limit || over_memory_limit(c)) {
    ++counters_.resource_rejections;
    return send_response(c, encode_rejection(dispatcher_.longest_retry_after_ms(), true), true);
  }
  c.stage = Connection::Stage::awaiting_response;
  c.close_after_response = close;
  c.is_http_1_0 = m.is_http_1_0;
  c.is_head_request = is_head_request(m);
  c.request_bytes_held = m.bytes.capacity();
  c.streaming_request = m.is_partial;
  c.upstream_wants_more = false;
  const std::uint64_t name = c.id;
  RequestDispatcher::ResponseHandler who;
  who.on_result = [this, name](RpcResult v) { on_rpc_result(*connections_.at(name), std::move(v)); };
  who.on_body_piece = [this, name](std::string_view piece, bool last) {
    return forward_response_body(*connections_.at(name), piece, last);
  };
  who.on_aborted = [this, name] {
    connections_.at(name)->socket->reset_on_close();  // the client has to see that it is not whole
    this->close_connection(name);
  };
  who.on_ready_for_body = [this, name] {
    Connection& asker = *connections_.at(name);
    if (std::exchange(asker.upstream_wants_more, true)) return;
    asker.last_byte_at = event_loop_.now();  // the time that the endpoint took was not the client's
    asker.socket->requeue();
  };
  std::string rpc = dispatcher_.dispatch(std::move(m), c.request_received_at, std::move(who));
  // It may have been answered at once, and the connection closed since.
  const auto it = connections_.find(name);
  if (it != connections_.end() && it->second->stage == Connection::Stage::awaiting_response)
    it->second->rpc_id = std::move(rpc);
}

void HttpServer::on_rpc_result(Connection& c, RpcResult v) {
  // What still comes of a long request is of no use: after an early answer the connection ends.
  const bool last = std::exchange(c.streaming_request, false) || c.close_after_response || draining_ ||
                    force_closing_ || over_idle_limit();
  c.request_bytes_held = 0;
  c.response = std::move(v.response);
  if (v.outcome == RpcResult::Outcome::ok && c.response.is_partial) {
    c.chunked_response = !c.response.content_length && !c.is_http_1_0;
    c.last_piece_queued = false;
    c.close_after_response = last || (!c.response.content_length && c.is_http_1_0);
    c.stage = Connection::Stage::streaming_response;
    c.timeout_timer.cancel();
    c.output = encode_forwarded_response(c.response, c.close_after_response, false, c.is_http_1_0);
    update_buffered_bytes(c);
    c.socket->requeue();  // the relay is still at it
    return;
  }
  c.rpc_id.clear();
  switch (v.outcome) {
    case RpcResult::Outcome::ok:
      return send_response(c, encode_forwarded_response(c.response, last, c.is_head_request, c.is_http_1_0),
                           last);
    case RpcResult::Outcome::rejected:
      return send_response(c, encode_rejection(v.retry_after_ms, last), last);
    case RpcResult::Outcome::failed:
      return send_response(c,
                           c.response.status
                               ? encode_forwarded_response(c.response, last, c.is_head_request, c.is_http_1_0)
                               : encode_failure(last),
                           last);
  }
}

// What came of a long request goes on to the endpoint, as far as that takes it.
void HttpServer::forward_request_body(Connection& c) {
  const std::uint64_t name = c.id;
  while (c.upstream_wants_more && c.parser.state() != http::HttpParser::ParseState::error) {
    const bool last = c.parser.state() == http::HttpParser::ParseState::body_complete;
    if (c.parser.body_chunk().empty() && !last) break;
    c.upstream_wants_more = dispatcher_.send_request_body(c.rpc_id, c.parser.body_chunk(), last,
                                                          event_loop_.now() - c.socket->receive_age_ms());
    if (!connections_.count(name)) return;
    if (last) {
      c.streaming_request = false;
      c.timeout_timer.cancel();
      return c.parser.start_next_message();
    }
    c.parser.consume_body_chunk();
    c.socket->requeue();  // there may be more to read, now that there is room
  }
  if (c.parser.state() == http::HttpParser::ParseState::error)
    return reject_bad_request(c, c.parser.error_status());
  // While the endpoint is the slower one, or all is here, nothing is to be waited for from the client.
  if (!c.upstream_wants_more || c.parser.state() == http::HttpParser::ParseState::body_complete)
    return c.timeout_timer.cancel();
  if (c.parser.expects_continue()) send_continue(c);
  set_body_timeout(c);
}

// True if more is wanted at once: nothing of what was given waits for the client.
bool HttpServer::forward_response_body(Connection& c, std::string_view piece, bool last) {
  c.output = {};
  c.output.append_owned(encode_body_chunk(piece, c.chunked_response, last));
  c.last_piece_queued = last;
  const std::uint64_t name = c.id;
  flush_output(c);
  const auto it = connections_.find(name);
  return it != connections_.end() && it->second->stage == Connection::Stage::streaming_response &&
         it->second->output.is_complete();
}

// Who reads slowly gets all the same what there is, as long as it reads.
void HttpServer::set_slow_reader_timeout(Connection& c, std::size_t unread) {
  // Honest readers pause for less; who doesn't read must not keep its answer here past the time of its use.
  constexpr double pause = 3000;
  c.timeout_timer = event_loop_.schedule_at(event_loop_.now() + std::max(pause, limits_.max_client_wait_ms),
                                            [this, name = c.id, unread] {
                                              Connection& slow = *connections_.at(name);
                                              const std::size_t now = slow.socket->unacknowledged_bytes();
                                              if (now >= unread) return close_connection(name);
                                              set_slow_reader_timeout(slow, now);
                                            });
}

void HttpServer::send_response(Connection& c, WriteBuffer what, bool close) {
  c.stage = Connection::Stage::writing_response;
  c.output = std::move(what);
  c.close_after_response = close;
  c.timeout_timer.cancel();
  flush_output(c);
}

void HttpServer::flush_output(Connection& c) {
  if (!c.socket->write(c.output)) return close_connection(c.id);
  if (!c.output.is_complete()) {
    if (std::exchange(c.bytes_written, c.output.written_bytes()) != c.output.written_bytes() ||
        !c.timeout_timer.is_set())
      set_slow_reader_timeout(c, c.socket->unacknowledged_bytes());
    return;
  }
  c.timeout_timer.cancel();
  c.response = {};
  c.output = {};
  if (c.stage == Connection::Stage::streaming_response && !c.last_piece_queued)
    return dispatcher_.resume_response(c.rpc_id);
  c.rpc_id.clear();
  update_buffered_bytes(c);
  c.stage = Connection::Stage::reading_request;
  if (c.close_after_response) {
    // Closing over bytes that we did not read would reset the connection and take the answer with it.
    constexpr double usual = 1000, at_the_end = 100;
    const double patience = draining_ ? at_the_end : usual;
    c.stage = Connection::Stage::lingering;
    set_eviction_class(c, EvictionClass::lingering);
    c.socket->shutdown_write();
    linger_until_read(c, patience);
  }
  c.socket->requeue();
}

void HttpServer::linger_until_read(Connection& c, double patience) {
  c.timeout_timer = event_loop_.schedule_at(
      event_loop_.now() + patience, [this, name = c.id, patience, unread = c.socket->unacknowledged_bytes()] {
        Connection& slow = *connections_.at(name);
        // What it still reads must not be lost with this process.
        const std::size_t now = slow.socket->unacknowledged_bytes();
        if (now == 0 || now >= unread) return close_connection(name);
        linger_until_read(slow, patience);
      });
}

void HttpServer::close_connection(std::uint64_t which) {
  const auto it = connections_.find(which);
  Connection& c = *it->second;
  set_eviction_class(c, EvictionClass::not_evictable);
  buffered_bytes_ -= c.accounted_bytes;
  const std::string rpc = std::move(c.rpc_id);
  const bool held =
      c.stage == Connection::Stage::awaiting_response || c.stage == Connection::Stage::streaming_response;
  if (c.stage == Connection::Stage::writing_response) ++counters_.undelivered_responses;
  connections_.erase(it);
  if (held) dispatcher_.on_client_left(rpc);
  notify_if_drained();
}

bool HttpServer::close_idle_connection() {
  // How long each must have been so, in ms. Who connects to ask has asked by then, and the rest of a request
  // follows its first bytes as quickly. Idle ones go at any age, the oldest first: spared for 2 s, clients
  // that ask once and stay fill all the room, and every RPC that comes is pushed back.
  constexpr std::array<double, 4> least{0, 20, 500, 0};
  for (std::size_t i = 0; i < least.size(); ++i)
    if (close_oldest_of(static_cast<EvictionClass>(i), least[i])) return true;
  return false;
}

// Of those that have been of this use for so long, in ms.
bool HttpServer::close_oldest_of(EvictionClass is, double least) {
  for (auto it = evictable_connections_.lower_bound({is, 0, 0});
       it != evictable_connections_.end() && std::get<0>(*it) == is; ++it) {
    if (event_loop_.now() < std::get<1>(*it) + least) return false;
    const std::uint64_t name = std::get<2>(*it);
    // A request that is here but was not read yet would be lost with its connection.
    if ((is == EvictionClass::idle || is == EvictionClass::silent) &&
        connections_.at(name)->socket->has_unread_input())
      continue;
    ++counters_.connections_evicted;
    ++counters_.evictions_by_state[static_cast<std::size_t>(is)];
    close_connection(name);
    return true;
  }
  return false;
}

void HttpServer::drain(EventLoop::Callback then) {
  // Clients may connect for 0.4 s after the word, and what the kernel accepted counts as ours.
  constexpr double doors_open = 450;
  // The word is followed by a kill after the longest deadline, 3 s at most, and 0.7 s more: what endpoints or
  // slow readers would hold past that is answered or cut while it can be.
  constexpr double longest = 3000, before_the_kill = 600;
  if (draining_) return;
  draining_ = true;
  drain_started_at_ = event_loop_.now();
  on_drained_ = std::move(then);
  listener_close_timer_ =
      event_loop_.schedule_at(drain_started_at_ + doors_open, [this] { close_listener(); });
  abort_timer_ = event_loop_.schedule_at(
      drain_started_at_ + std::min(limits_.max_client_wait_ms, longest) + before_the_kill,
      [this] { abort_remaining(); });
  close_idle_for_drain();
}

// What was written to a connection before it is closed is ours: each that reads is looked at once more, and
// `then` has those that are still there.
void HttpServer::reread_connections(const std::function<void(Connection&)>& then) {
  std::vector<std::uint64_t> reading;
  for (const auto& [name, c] : connections_)
    if (c->stage == Connection::Stage::reading_request) reading.push_back(name);
  for (const std::uint64_t name : reading) {
    const auto it = connections_.find(name);  // room may have been made at its cost
    if (it != connections_.end() && read_request(*it->second)) then(*it->second);
  }
}

// Clients send on what stays open. A request that crosses the closing is sent once more over a new
// connection, which is to be had only while the door is open: so what rests goes now, and not with the door.
void HttpServer::close_idle_for_drain() {
  reread_connections([this](Connection& c) {
    update_buffered_bytes(c);
    if (!c.parser.has_partial_input() && c.has_sent_request)
      close_connection(c.id);
    else
      process_input(c);
  });
}

void HttpServer::abort_remaining() {
  dispatcher_.abort_all();
  // What was answered just now is on its way; who still reads, or sends, does so in vain.
  constexpr double last_words = 40;
  abort_timer_ = event_loop_.schedule_at(event_loop_.now() + last_words, [this] {
    listener_ = {};
    while (!connections_.empty()) close_connection(connections_.begin()->first);
    notify_if_drained();
  });
}

void HttpServer::close_listener() {
  // What waits in the backlog counts as accepted: it is emptied first, however long.
  constexpr double soon = 5, patience = 1000;  // a process out of descriptors can't stay for ever
  AcceptResult left = AcceptResult::backlog_empty;
  if (accepting_) do {
      left = accept_connections();
    } while (left == AcceptResult::backlog_remaining);
  if (left == AcceptResult::blocked && event_loop_.now() < drain_started_at_ + patience) {
    listener_close_timer_ = event_loop_.schedule_at(event_loop_.now() + soon, [this] { close_listener(); });
    return;
  }
  accept_retry_timer_.cancel();
  listener_watch_.cancel();
  listener_ = {};
  reread_connections([this](Connection& c) {
    constexpr double last = 200;  // who began to send a request, or came last of all, may end it
    if (c.parser.has_partial_input() ? c.parser.state() == http::HttpParser::ParseState::reading
                                     : !c.has_sent_request)
      set_request_timeout(c, event_loop_.now() + last);
    else if (!c.parser.has_partial_input())
      close_connection(c.id);
    else
      process_input(c);
  });
  notify_if_drained();
}

void HttpServer::notify_if_drained() {
  if (!on_drained_ || listener_ || !connections_.empty()) return;
  const EventLoop::Callback then = std::exchange(on_drained_, nullptr);
  then();
}

}  // namespace indigorill
