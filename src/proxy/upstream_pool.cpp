#include "proxy/upstream_pool.h"

#include <algorithm>
#include <cerrno>
#include <utility>

namespace indigorill {

namespace {

bool is_same_address(const sockaddr_in& a, const sockaddr_in& b) {
  return a.sin_addr.s_addr == b.sin_addr.s_addr && a.sin_port == b.sin_port;
}

}  // namespace

UpstreamPool::UpstreamPool(EventLoop& event_loop, FileDescriptorBudget& descriptor_budget, Counters& counters,
                           Logger& logger, ConnectionConfig config, std::function<bool()> close_idle_client)
    : event_loop_(event_loop),
      descriptor_budget_(descriptor_budget),
      counters_(counters),
      logger_(logger),
      config_(config),
      connect_timeout_(config_.connect_timeout_ms),
      close_idle_client_(std::move(close_idle_client)) {}

void UpstreamPool::update_endpoint(const std::string& endpoint_id, const std::string& address,
                                   EndpointState state, double started_at_ms) {
  const auto parsed = parse_socket_address(address);
  if (!parsed) {
    // The endpoint's old address may belong to another endpoint by now.
    logger_.warning() << "endpoint list has an invalid address: " << address;
    return remove_endpoint(endpoint_id);
  }
  EndpointEntry& entry = endpoints_.try_emplace(endpoint_id, max_idle_ms()).first->second;
  // A start time of 0, for long ago, is no new start: an old start is listed that way after some time.
  if (entry.process_generation == 0 || !is_same_address(entry.address, *parsed) ||
      started_at_ms > entry.started_at_ms) {
    close_idle_connections_to(entry);  // they lead to the old address or the previous process
    entry.process_generation = ++last_process_generation_;
  }
  entry.address = *parsed;
  entry.started_at_ms = started_at_ms;
  entry.is_ready = state == EndpointState::ready;
  if (!entry.is_ready) close_idle_connections_to(entry);
}

void UpstreamPool::remove_endpoint(const std::string& endpoint_id) {
  const auto it = endpoints_.find(endpoint_id);
  if (it == endpoints_.end()) return;
  close_idle_connections_to(it->second);
  endpoints_.erase(it);  // ids are always new, so removed ones would accumulate
}

void UpstreamPool::set_ejected_manually(const std::string& endpoint_id, bool ejected) {
  const auto it = endpoints_.find(endpoint_id);
  if (it == endpoints_.end()) return;
  it->second.ejected_manually = ejected;
  if (ejected) close_idle_connections_to(it->second);
}

void UpstreamPool::retain_endpoints(const std::vector<Endpoint>& endpoints) {
  std::set<std::string_view> retained;
  for (const Endpoint& endpoint : endpoints) retained.insert(endpoint.id);
  std::vector<std::string> removed;
  for (const auto& [endpoint_id, entry] : endpoints_)
    if (!retained.count(endpoint_id)) removed.push_back(endpoint_id);
  for (const std::string& endpoint_id : removed) remove_endpoint(endpoint_id);
}

void UpstreamPool::withdraw_unsent_exchanges() {
  std::vector<ExchangeId> unsent;
  for (const auto& [id, connection] : connections_)
    if (connection->is_unsent() && !connection->output.has_started() && !is_endpoint_current(*connection))
      unsent.push_back(id);
  for (const ExchangeId id : unsent) {
    const auto it = connections_.find(id);
    if (it != connections_.end()) withdraw_exchange(*it->second);
  }
}

ExchangeId UpstreamPool::start_exchange(const std::string& endpoint_id, WriteBuffer request,
                                        double timeout_ms, Exchange exchange) {
  const auto it = endpoints_.find(endpoint_id);
  EndpointEntry* const entry = it != endpoints_.end() ? &it->second : nullptr;
  const ExchangeId id = ++last_exchange_id_;
  Connection& connection = take_connection(entry, id);
  connection.endpoint_id = endpoint_id;
  connection.process_generation = entry ? entry->process_generation : 0;
  connection.begin(id, std::move(exchange), std::move(request), event_loop_.now());
  set_exchange_timeout(connection, timeout_ms);
  const double must_be_sent_by_ms = connection.exchange.must_be_sent_by_ms;
  if (must_be_sent_by_ms < connection.expires_at_ms)
    connection.send_deadline_timer =
        event_loop_.schedule_at(must_be_sent_by_ms, [this, id] { withdraw_exchange(*connections_.at(id)); });
  if (connection.stage == Stage::idle)
    write_on_reused_connection(connection);
  else
    open_connection(connection, entry ? &entry->address : nullptr);
  return id;
}

// An idle connection to the endpoint, or a new one that is not open yet.
UpstreamConnection& UpstreamPool::take_connection(EndpointEntry* entry, ExchangeId id) {
  const Connection* idle = entry ? find_reusable_connection(*entry) : nullptr;
  if (!idle) return *connections_.emplace(id, std::make_unique<Connection>()).first->second;
  remove_from_idle(*idle);
  auto node = connections_.extract(idle->id);
  node.key() = id;
  ++counters_.connections_reused;
  return *connections_.insert(std::move(node)).position->second;
}

// Without an address the exchange ends like one whose connect failed.
void UpstreamPool::open_connection(Connection& connection, const sockaddr_in* address) {
  FileDescriptor fd;
  const bool is_descriptor_available =
      !address || descriptor_budget_.available() > 0 || close_idle_connection() || close_idle_client_();
  if (address && is_descriptor_available) fd = start_connect(*address);
  if (!fd) {
    // A lack of descriptors or buffers in this process must not affect the reputation of the endpoint.
    const bool is_local_failure =
        !is_descriptor_available || (address && (errno == EMFILE || errno == ENFILE || errno == ENOBUFS));
    const AttemptOutcome outcome =
        is_local_failure ? AttemptOutcome::client_error : AttemptOutcome::connect_failed;
    connection.connect_timer = event_loop_.schedule_at(
        connection.started_at_ms,
        [this, outcome, id = connection.id] { complete_exchange(*connections_.at(id), outcome, {}, false); });
    return;
  }
  ++counters_.connections_opened;
  set_connect_timeout(connection);
  // The callback refers to the connection, which outlives its socket, because its id changes with each
  // exchange.
  connection.socket = std::make_unique<TcpStream>(
      event_loop_, descriptor_budget_, std::move(fd),
      [this, owner = &connection](std::uint32_t events) { on_socket_event(owner->id, events); });
}

void UpstreamPool::set_connect_timeout(Connection& connection) {
  // A connect that hangs must not use up the time of its RPC: while less than half of that has passed, the
  // RPC can be retried at another endpoint, or the client can be advised to retry.
  constexpr double max_part_of_exchange = 0.4;
  constexpr double min_bound_ms = 20;
  const double estimate_ms = connect_timeout_.timeout_ms();
  const double exchange_ms = connection.expires_at_ms - connection.started_at_ms;
  const double bound_ms = std::max(max_part_of_exchange * exchange_ms, min_bound_ms);
  const bool is_slow_connect = estimate_ms <= bound_ms;  // otherwise the RPC was short, not the connect slow
  connection.connect_timer =
      event_loop_.schedule_at(connection.started_at_ms + std::min(estimate_ms, bound_ms),
                              [this, id = connection.id, is_slow_connect] {
                                if (is_slow_connect) connect_timeout_.on_connect_timed_out();
                                fail_exchange(*connections_.at(id), AttemptOutcome::reset);
                              });
}

void UpstreamPool::on_socket_event(ExchangeId id, std::uint32_t events) {
  Connection& connection = *connections_.at(id);
  if (connection.stage == Stage::idle)
    return close_connection(id);  // the endpoint closed it or sent unexpected data
  if (connection.stage == Stage::connecting && !finish_connect(connection, events)) return;
  if (connection.stage == Stage::writing_request) {
    const std::size_t written_before = connection.output.written_bytes();
    if (!connection.socket->write(connection.output)) return fail_exchange(connection, AttemptOutcome::reset);
    if (connection.output.is_complete())
      on_output_written(connection);
    else if (connection.is_upload_started && connection.has_more_body &&
             connection.output.written_bytes() > written_before)
      set_upload_timeout(connection);
    if (!connections_.count(id)) return;  // on_ready_for_body() may have abandoned the exchange
  }
  if (!connection.reading_paused) read_response(connection);
}

// Returns false if the connection is not established, or its exchange has ended.
bool UpstreamPool::finish_connect(Connection& connection, std::uint32_t events) {
  if (events & (EPOLLERR | EPOLLHUP) || connection.socket->pending_error() != 0) {
    fail_exchange(connection, AttemptOutcome::reset);
    return false;
  }
  if (!(events & EPOLLOUT)) return false;
  connection.connect_timer.cancel();
  connect_timeout_.on_connected(event_loop_.now() - connection.started_at_ms);
  // The event may be dispatched late: a request whose time has passed must not be sent any more.
  if (event_loop_.now() >= connection.expires_at_ms) {
    fail_exchange(connection, AttemptOutcome::reset);
    return false;
  }
  if (event_loop_.now() >= connection.exchange.must_be_sent_by_ms) {
    withdraw_exchange(connection);
    return false;
  }
  if (connection.exchange.rebuild_request)
    connection.output = connection.exchange.rebuild_request(connection.expires_at_ms - event_loop_.now());
  connection.stage = Stage::writing_request;
  return true;
}

// Only writes. Even a response that is already there is read from the event loop, because `on_complete` must
// not be called before the caller has the exchange's id.
void UpstreamPool::write_on_reused_connection(Connection& connection) {
  connection.stage = Stage::writing_request;
  if (!connection.socket->write(connection.output))
    return schedule_failure(connection, connection.started_at_ms);
  if (!connection.output.is_complete()) return;
  if (connection.has_more_body)
    connection.socket->requeue();
  else
    on_output_written(connection);
}

// Everything passed so far is written: next is the response, or more of the request.
void UpstreamPool::on_output_written(Connection& connection) {
  if (connection.has_more_body) {
    connection.is_upload_started = true;
    set_upload_timeout(connection);
    return connection.exchange.on_ready_for_body();
  }
  connection.stage = Stage::awaiting_response;
  connection.send_deadline_timer.cancel();
}

bool UpstreamPool::send_request_body(ExchangeId id, std::string bytes, bool last, double timeout_ms) {
  const auto it = connections_.find(id);
  if (it == connections_.end()) return false;
  Connection& connection = *it->second;
  connection.output = {};
  connection.output.append_owned(std::move(bytes));
  connection.has_more_body = !last;
  if (last) {
    // The endpoint begins with the last byte: a slow upload of the client must not look like a slow endpoint.
    connection.started_at_ms = event_loop_.now();
    set_exchange_timeout(connection, timeout_ms);
    connection.response_due_at_ms = connection.expires_at_ms;
  }
  if (!connection.socket->write(connection.output)) {
    schedule_failure(connection, event_loop_.now());
    return false;
  }
  if (!last) set_upload_timeout(connection);
  if (!connection.output.is_complete()) return false;
  if (last) on_output_written(connection);
  return !last;
}

void UpstreamPool::set_exchange_timeout(Connection& connection, double timeout_ms) {
  set_expiry(connection, event_loop_.now() + timeout_ms);
}

void UpstreamPool::set_expiry(Connection& connection, double at_ms) {
  connection.expires_at_ms = at_ms;
  connection.timeout_timer = event_loop_.schedule_at(
      at_ms, [this, id = connection.id] { fail_exchange(*connections_.at(id), AttemptOutcome::timed_out); });
}

// While the endpoint takes no more of a request, its last byte may wait in a buffer of the kernel, where
// nobody sees it, and the budget runs.
void UpstreamPool::set_upload_timeout(Connection& connection) {
  const bool is_endpoint_stalling = !connection.output.is_complete();
  set_exchange_timeout(connection, is_endpoint_stalling
                                       ? std::min(longest_pause_ms, connection.exchange.max_upload_stall_ms)
                                       : longest_pause_ms);
}

void UpstreamPool::schedule_failure(Connection& connection, double when_ms) {
  connection.connect_timer = event_loop_.schedule_at(
      when_ms, [this, id = connection.id] { fail_exchange(*connections_.at(id), AttemptOutcome::reset); });
}

// A request can't have run before its last byte was written; after that it may have.
void UpstreamPool::fail_exchange(Connection& connection, AttemptOutcome outcome_if_sent) {
  const bool is_sent = connection.stage == Stage::awaiting_response;
  complete_exchange(connection, is_sent ? outcome_if_sent : AttemptOutcome::connect_failed, {}, false);
}

void UpstreamPool::withdraw_exchange(Connection& connection) {
  complete_exchange(connection, AttemptOutcome::withdrawn, {}, false);
}

void UpstreamPool::complete_exchange(Connection& connection, AttemptOutcome outcome, http::Message response,
                                     bool may_reuse) {
  const double ended_at_ms =
      connection.response_started_at_ms > 0 ? connection.response_started_at_ms : event_loop_.now();
  const double duration_ms = ended_at_ms - connection.started_at_ms;
  const ResponseProgress progress = connection.response_progress(event_loop_.now());
  const auto on_complete = std::move(connection.exchange.on_complete);
  connection.exchange = {};
  // If the endpoint was removed, moved or restarted meanwhile, the connection must not be reused for its id,
  // or for the next endpoint at its address.
  if (may_reuse && is_endpoint_current(connection))
    keep_idle(connection);
  else
    close_connection(connection.id);
  on_complete({.outcome = outcome,
               .duration_ms = duration_ms,
               .response = std::move(response),
               .progress = progress});
}

// Whether the process that the connection leads to may still be used.
bool UpstreamPool::is_endpoint_current(const Connection& connection) const {
  const auto it = endpoints_.find(connection.endpoint_id);
  return it != endpoints_.end() && it->second.accepts_generation(connection.process_generation);
}

void UpstreamPool::close_connection(ExchangeId id) {
  const auto it = connections_.find(id);
  const Connection& connection = *it->second;
  if (connection.stage == Stage::idle) remove_from_idle(connection);
  connections_.erase(it);
}

void UpstreamPool::time_out_exchange(ExchangeId id) {
  const auto it = connections_.find(id);
  if (it != connections_.end()) fail_exchange(*it->second, AttemptOutcome::timed_out);
}

void UpstreamPool::abandon_exchange(ExchangeId id) {
  if (connections_.count(id)) close_connection(id);
}

bool UpstreamPool::is_unsent(ExchangeId id) const {
  const auto it = connections_.find(id);
  return it != connections_.end() && it->second->is_unsent();
}

ResponseProgress UpstreamPool::response_progress(ExchangeId id) const {
  const auto it = connections_.find(id);
  return it == connections_.end() ? ResponseProgress{} : it->second->response_progress(event_loop_.now());
}

}  // namespace indigorill
