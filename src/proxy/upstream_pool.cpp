#include "proxy/upstream_pool.h"

#include <algorithm>
#include <cerrno>

#include "http/header_codec.h"

namespace indigorill {
namespace {

bool is_same_address(const sockaddr_in& a, const sockaddr_in& b) {
  return a.sin_addr.s_addr == b.sin_addr.s_addr && a.sin_port == b.sin_port;
}

}  // namespace

// A connection's name is the ticket of its exchange; it gets a new one with each.
struct UpstreamPool::Connection {
  enum class Stage { connecting, writing_request, awaiting_response, idle } stage = Stage::connecting;
  bool is_unsent() const { return stage == Stage::connecting || stage == Stage::writing_request; }
  ExchangeId id;
  std::string server;
  std::unique_ptr<TcpStream> socket;
  http::HttpParser parser{http::HttpParser::MessageKind::response};
  WriteBuffer output;
  Exchange exchange;
  std::uint64_t process_generation = 0;                            // that it leads to, by the pool's count
  double started_at = 0, idle_since = 0, response_started_at = 0;  // answered: when a long answer began
  double expires_at = 0;                                           // the time for the exchange is over
  bool streaming_response = false, reading_paused = false, has_more_body = false;
  EventLoop::Timer timeout_timer, connect_timer, retirement_timer, send_deadline_timer;
};

UpstreamPool::UpstreamPool(EventLoop& in, FileDescriptorBudget& budget, Counters& counts, Logger& log_to,
                           ConnectionConfig with, std::function<bool()> closes_idle)
    : event_loop_(in),
      descriptor_budget_(budget),
      counters_(counts),
      logger_(log_to),
      config_(std::move(with)),
      connect_timeout_(config_.connect_timeout_ms),
      close_idle_client_(std::move(closes_idle)) {}

UpstreamPool::~UpstreamPool() = default;

void UpstreamPool::update_endpoint(const std::string& server, const std::string& address, EndpointState state,
                                   double started) {
  const auto parsed = parse_socket_address(address);
  if (!parsed) {
    // Its old address may be another's by now.
    logger_.warning() << "list names an address that is none: " << address;
    return remove_endpoint(server);
  }
  EndpointEntry& p = endpoints_[server];
  // Long ago is no new start, it is how an old one is told some day.
  if (p.process_generation == 0 || !is_same_address(p.address, *parsed) || started > p.started_at) {
    close_idle_connections_to(p);  // what is idle there leads to the old address, or to the process before
    p.process_generation = ++last_process_generation_;
  }
  p.address = *parsed;
  p.started_at = started;
  p.is_ready = state == EndpointState::ready;
  if (!p.is_ready) close_idle_connections_to(p);
}

void UpstreamPool::remove_endpoint(const std::string& server) {
  const auto it = endpoints_.find(server);
  if (it == endpoints_.end()) return;
  close_idle_connections_to(it->second);
  endpoints_.erase(it);  // ids are ever new: those that are gone would pile up
}

void UpstreamPool::set_ejected_manually(const std::string& server, bool is) {
  const auto it = endpoints_.find(server);
  if (it == endpoints_.end()) return;
  it->second.ejected_manually = is;
  if (is) close_idle_connections_to(it->second);
}

// Where it leads to is still to be had.
bool UpstreamPool::is_endpoint_current(const Connection& c) const {
  const auto at = endpoints_.find(c.server);
  return at != endpoints_.end() && at->second.accepts_generation(c.process_generation);
}

void UpstreamPool::withdraw_unsent_exchanges() {
  std::vector<ExchangeId> unbegun;
  for (const auto& [name, c] : connections_)
    if (c->is_unsent() && !c->output.has_started() && !is_endpoint_current(*c)) unbegun.push_back(name);
  for (const ExchangeId name : unbegun)
    if (const auto c = connections_.find(name); c != connections_.end()) withdraw_exchange(*c->second);
}

void UpstreamPool::close_idle_connections_to(EndpointEntry& at) {
  while (!at.idle_connections.empty()) close_connection(at.idle_connections.back());
}

void UpstreamPool::retain_endpoints(const std::vector<Endpoint>& whole_list) {
  std::set<std::string_view> named;
  for (const Endpoint& e : whole_list) named.insert(e.id);
  std::vector<std::string> left;
  for (const auto& [server, at] : endpoints_)
    if (!named.count(server)) left.push_back(server);
  for (const std::string& server : left) remove_endpoint(server);
}

UpstreamPool::ExchangeId UpstreamPool::start_exchange(const std::string& server, WriteBuffer what,
                                                      double patience, Exchange with) {
  const auto at = endpoints_.find(server);
  const ExchangeId name = ++last_exchange_id_;
  const Connection* again = at != endpoints_.end() ? reuse_idle_connection(at->second) : nullptr;
  if (again) {
    const ExchangeId before = again->id;
    auto node = connections_.extract(before);
    std::erase(at->second.idle_connections, before);
    on_idle_count_changed_(server, at->second.idle_connections.size());
    idle_by_last_use_.erase({node.mapped()->idle_since, before});
    node.key() = name;
    connections_.insert(std::move(node));
    ++counters_.connections_reused;
  } else {
    connections_.emplace(name, std::make_unique<Connection>());
  }
  Connection& c = *connections_[name];
  c.id = name;
  c.server = server;
  c.output = std::move(what);
  c.exchange = std::move(with);
  c.started_at = event_loop_.now();
  c.response_started_at = 0;
  c.process_generation = at != endpoints_.end() ? at->second.process_generation : 0;
  c.streaming_response = c.reading_paused = false;
  c.has_more_body = c.exchange.has_more_body;
  if (c.exchange.is_head_request) c.parser.expect_no_body();
  c.parser.allow_streaming(static_cast<bool>(c.exchange.on_response_started));
  c.retirement_timer.cancel();
  set_exchange_timeout(c, patience);
  if (c.exchange.must_be_sent_by < c.expires_at)
    c.send_deadline_timer = event_loop_.schedule_at(
        c.exchange.must_be_sent_by, [this, name] { withdraw_exchange(*connections_.at(name)); });
  if (c.stage == Connection::Stage::idle) {
    // Only written to: an answer, however quick, is read from the loop, since `then` must not be called
    // before the caller has the ticket.
    c.stage = Connection::Stage::writing_request;
    if (!c.socket->write(c.output))
      schedule_failure(c, c.started_at);
    else if (c.output.is_complete())
      c.has_more_body ? c.socket->requeue() : on_output_written(c);
  } else {
    open_connection(c, at != endpoints_.end() ? &at->second.address : nullptr);
  }
  return name;
}

UpstreamPool::Connection* UpstreamPool::reuse_idle_connection(EndpointEntry& at) {
  // Some endpoints answer twice, the second time some milliseconds late: on a connection used again at once
  // that passes for the answer to the next request. Once rested for so long, what comes unasked closes it.
  // Only for a while after one was seen: for good it costs a third more connections, at endpoints that hold
  // few (0.04 of the standing test). Where requests follow one another faster, or descriptors are scarce, the
  // one that rested longest has to do: each would else be given up for a new one.
  constexpr double rests = 25, believed = 60000;
  constexpr std::size_t spared = 2;
  const double rested = event_loop_.now() < last_extra_response_at_ + believed ? rests : 0;
  const auto usable = [&](Connection& c) {
    // A request on a connection that the endpoint has closed is a reset, and one that must not run twice is
    // lost by it: look once more, the event may be still to come.
    if (!c.socket->is_stale()) return true;
    if (c.socket->has_unread_input()) last_extra_response_at_ = event_loop_.now();
    close_connection(c.id);
    return false;
  };
  for (std::size_t i = at.idle_connections.size();
       i-- > 0;) {  // the last used: its idle time is the shortest
    Connection& c = *connections_.at(at.idle_connections[i]);
    if (event_loop_.now() >= c.idle_since + rested && usable(c)) return &c;
  }
  while (rested > 0 && !at.idle_connections.empty() &&
         (at.idle_connections.size() >= spared ||
          descriptor_budget_.available() <= descriptor_budget_.limit / 2)) {
    Connection& c = *connections_.at(at.idle_connections.front());
    if (usable(c)) return &c;
  }
  return nullptr;
}

void UpstreamPool::open_connection(Connection& c, const sockaddr_in* address) {
  FileDescriptor fd;
  const bool affordable =
      !address || descriptor_budget_.available() > 0 || close_idle_connection() || close_idle_client_();
  if (address && affordable) fd = start_connect(*address);
  if (!fd) {
    // What we can't afford is no fault of the endpoint's: its reputation must not pay for our descriptors.
    const bool ours = !affordable || (address && (errno == EMFILE || errno == ENFILE || errno == ENOBUFS));
    c.connect_timer = event_loop_.schedule_at(c.started_at, [this, ours, name = c.id] {
      complete_exchange(*connections_.at(name),
                        ours ? AttemptOutcome::client_error : AttemptOutcome::connect_failed, {}, false);
    });
    return;
  }
  ++counters_.connections_opened;
  // A connect that hangs is no reason to let the time of its RPC pass: while less than half of that is over,
  // another server may have it, or the client hear that it is to return.
  constexpr double part = 0.4, least = 20;
  const double usual = connect_timeout_.timeout_ms(),
               most = std::max(part * (c.expires_at - c.started_at), least);
  c.connect_timer = event_loop_.schedule_at(
      c.started_at + std::min(usual, most), [this, name = c.id, slow = usual <= most] {
        if (slow) connect_timeout_.on_connect_timed_out();  // else it says less of connects than of the RPC
        fail_exchange(*connections_.at(name), AttemptOutcome::reset);
      });
  c.socket =
      std::make_unique<TcpStream>(event_loop_, descriptor_budget_, std::move(fd),
                                  [this, at_name = &c](std::uint32_t e) { on_socket_event(at_name->id, e); });
}

void UpstreamPool::on_socket_event(ExchangeId which, std::uint32_t events) {
  Connection& c = *connections_.at(which);
  if (c.stage == Connection::Stage::idle) {
    if (c.socket->has_unread_input()) last_extra_response_at_ = event_loop_.now();
    close_connection(which);  // the endpoint closed it, or wrote what nobody asked for
    return;
  }
  if (c.stage == Connection::Stage::connecting) {
    if (events & (EPOLLERR | EPOLLHUP) || c.socket->pending_error() != 0)
      return fail_exchange(c, AttemptOutcome::reset);
    if (!(events & EPOLLOUT)) return;
    c.connect_timer.cancel();
    connect_timeout_.on_connected(event_loop_.now() - c.started_at);
    // The loop may come to this late: what is over by now must not be sent any more.
    if (event_loop_.now() >= c.expires_at) return fail_exchange(c, AttemptOutcome::reset);
    if (event_loop_.now() >= c.exchange.must_be_sent_by) return withdraw_exchange(c);
    if (c.exchange.rebuild_request) c.output = c.exchange.rebuild_request(c.expires_at - event_loop_.now());
    c.stage = Connection::Stage::writing_request;
  }
  if (c.stage == Connection::Stage::writing_request) {
    if (!c.socket->write(c.output)) return fail_exchange(c, AttemptOutcome::reset);
    if (c.output.is_complete()) on_output_written(c);
    if (!connections_.count(which)) return;  // who gives more may have given it up
  }
  if (!c.reading_paused) read_response(c);
}

// All that was given is out: the answer is next, or more of the request.
void UpstreamPool::on_output_written(Connection& c) {
  if (!c.has_more_body) {
    c.stage = Connection::Stage::awaiting_response;
    c.send_deadline_timer.cancel();
  } else {
    set_progress_timeout(c);
    c.exchange.on_ready_for_body();
  }
}

void UpstreamPool::withdraw_exchange(Connection& c) {
  complete_exchange(c, AttemptOutcome::withdrawn, {}, false);
}

// A transfer that goes on may take its time; one that stands still is over.
void UpstreamPool::set_progress_timeout(Connection& c) {
  constexpr double longest = 5000;  // ms; honest ends pause for less than 2 s
  set_exchange_timeout(c, longest);
}

void UpstreamPool::set_exchange_timeout(Connection& c, double longest) {
  c.expires_at = event_loop_.now() + longest;
  c.timeout_timer = event_loop_.schedule_at(c.expires_at, [this, name = c.id] {
    fail_exchange(*connections_.at(name), AttemptOutcome::timed_out);
  });
}

bool UpstreamPool::send_request_body(ExchangeId which, std::string bytes, bool last, double patience) {
  const auto it = connections_.find(which);
  if (it == connections_.end()) return false;
  Connection& c = *it->second;
  c.output = {};
  c.output.append_owned(std::move(bytes));
  c.has_more_body = !last;
  if (last) {
    // The endpoint begins with the last byte: a slow client's upload must not pass for a slow server.
    c.started_at = event_loop_.now();
    set_exchange_timeout(c, patience);
  } else {
    set_progress_timeout(c);
  }
  if (!c.socket->write(c.output)) {
    schedule_failure(c, event_loop_.now());
    return false;
  }
  if (!c.output.is_complete()) return false;
  if (last) on_output_written(c);
  return !last;
}

void UpstreamPool::resume_response(ExchangeId which) {
  const auto it = connections_.find(which);
  if (it == connections_.end() || !std::exchange(it->second->reading_paused, false)) return;
  set_progress_timeout(*it->second);
  it->second->socket->requeue();
}

void UpstreamPool::read_response(Connection& c) {
  constexpr int turns = 16;  // then others get theirs: one long answer must not hold up all
  if (c.streaming_response && !forward_response_body(c, AttemptOutcome::error))
    return;  // what came before it was asked to go on
  for (int i = 0; i < turns; ++i) {
    std::size_t n = 0;
    const TcpStream::ReadStatus got = c.socket->read(c.parser.writable_buffer(), n);
    if (got == TcpStream::ReadStatus::would_block) return;
    if (got == TcpStream::ReadStatus::data) c.parser.commit(n);
    if (got == TcpStream::ReadStatus::end_of_stream) c.parser.on_end_of_stream();
    const bool ended = got == TcpStream::ReadStatus::end_of_stream || got == TcpStream::ReadStatus::error;
    if (c.parser.state() == http::HttpParser::ParseState::head_ready) {
      const http::Message answer = c.parser.take_message();
      c.response_started_at = event_loop_.now();
      if (!c.exchange.on_response_started(answer)) {
        http::Message head = answer;
        head.body_range.length = 0;
        head.is_partial = false;
        return complete_exchange(c, AttemptOutcome::ok, std::move(head), false);
      }
      c.streaming_response = c.reading_paused = true;
      c.timeout_timer.cancel();
      if (ended) c.socket->requeue();  // seen once more
      return;
    }
    if (c.streaming_response) {
      if (!forward_response_body(c, ended ? AttemptOutcome::reset : AttemptOutcome::error)) return;
      if (ended) return fail_exchange(c, AttemptOutcome::reset);
      continue;
    }
    if (c.parser.state() == http::HttpParser::ParseState::complete) {
      http::Message answer = c.parser.take_message();
      if (c.parser.has_partial_input()) last_extra_response_at_ = event_loop_.now();
      // More behind, or a report that can't be read: this answer is good, the next one here might not be.
      const bool keep = !ended && answer.keep_alive && c.stage == Connection::Stage::awaiting_response &&
                        !c.parser.has_partial_input() && has_valid_load_report(answer);
      return complete_exchange(c, AttemptOutcome::ok, std::move(answer), keep);
    }
    if (ended) return fail_exchange(c, AttemptOutcome::reset);
    if (c.parser.state() == http::HttpParser::ParseState::error)
      return fail_exchange(c, AttemptOutcome::error);
  }
  c.socket->requeue();
}

// False if the connection is to be left alone for now, or the answer is over.
bool UpstreamPool::forward_response_body(Connection& c, AttemptOutcome if_broken) {
  for (;;) {
    const bool last = c.parser.state() == http::HttpParser::ParseState::body_complete;
    if (c.parser.state() == http::HttpParser::ParseState::error) return fail_exchange(c, if_broken), false;
    if (c.parser.body_chunk().empty() && !last) return true;
    set_progress_timeout(c);
    const ExchangeId name = c.id;
    const bool goes_on = c.exchange.on_body_piece(c.parser.body_chunk(), last);
    if (!connections_.count(name)) return false;  // who takes it may have given it up
    if (last) {
      const bool keep = c.stage == Connection::Stage::awaiting_response && c.parser.keep_alive();
      c.parser.start_next_message();
      return complete_exchange(c, AttemptOutcome::ok, {}, keep && !c.parser.has_partial_input()), false;
    }
    c.parser.consume_body_chunk();
    if (goes_on) continue;
    c.reading_paused = true;
    c.timeout_timer.cancel();
    return false;
  }
}

// Before its last byte was written a request never ran; after that it may have.
void UpstreamPool::fail_exchange(Connection& c, AttemptOutcome once_written) {
  complete_exchange(
      c, c.stage == Connection::Stage::awaiting_response ? once_written : AttemptOutcome::connect_failed, {},
      false);
}

void UpstreamPool::schedule_failure(Connection& c, double when) {
  c.connect_timer = event_loop_.schedule_at(
      when, [this, name = c.id] { fail_exchange(*connections_.at(name), AttemptOutcome::reset); });
}

void UpstreamPool::complete_exchange(Connection& c, AttemptOutcome how, http::Message answer, bool keep) {
  const double took = (c.response_started_at > 0 ? c.response_started_at : event_loop_.now()) - c.started_at;
  const CompletionHandler then = std::move(c.exchange.on_complete);
  c.exchange = {};
  // An endpoint that has gone, moved or was started anew meanwhile: its id, or the next one's at its address,
  // must not get this.
  if (keep && is_endpoint_current(c))
    keep_idle(c);
  else
    close_connection(c.id);
  then({how, took, std::move(answer)});
}

void UpstreamPool::keep_idle(Connection& c) {
  // Well before the endpoint does: what crosses its closing is a reset. Nine tenths leave too little where a
  // process waits for its core.
  constexpr double part = 0.75;
  const ExchangeId name = c.id;
  c.stage = Connection::Stage::idle;
  c.output = {};
  c.timeout_timer.cancel();
  c.send_deadline_timer.cancel();
  c.idle_since = event_loop_.now();
  c.retirement_timer = event_loop_.schedule_at(c.idle_since + part * config_.idle_timeout_ms, [this, name] {
    ++counters_.connections_retired;
    close_connection(name);
  });
  std::vector<ExchangeId>& here = endpoints_.at(c.server).idle_connections;
  here.push_back(name);
  on_idle_count_changed_(c.server, here.size());
  idle_by_last_use_.insert({c.idle_since, name});
}

void UpstreamPool::close_connection(ExchangeId which) {
  const auto it = connections_.find(which);
  Connection& c = *it->second;
  if (c.stage == Connection::Stage::idle) {
    std::vector<ExchangeId>& here = endpoints_.at(c.server).idle_connections;
    std::erase(here, which);
    on_idle_count_changed_(c.server, here.size());
    idle_by_last_use_.erase({c.idle_since, which});
  }
  connections_.erase(it);
}

void UpstreamPool::abandon_exchange(ExchangeId which) {
  if (connections_.count(which)) close_connection(which);
}

bool UpstreamPool::is_unsent(ExchangeId which) const {
  const auto it = connections_.find(which);
  return it != connections_.end() && it->second->is_unsent();
}

bool UpstreamPool::close_idle_connection() {
  if (idle_by_last_use_.empty()) return false;
  ++counters_.connections_evicted;
  close_connection(idle_by_last_use_.begin()->second);
  return true;
}

}  // namespace indigorill
