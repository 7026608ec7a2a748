#include "load/load_clients.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <utility>

#include "event/socket.h"
#include "load/http_response.h"

namespace indigorill::load_generator {
namespace {

using emulator::EventPriority;
using emulator::RandomPurpose;
using emulator::RandomStream;

constexpr double ms_per_second = 1000;
constexpr double us_per_ms = 1000;
constexpr double min_time_left_ms = 1;  // an RPC with less time left is not sent

double parse_retry_after_ms(const http::Message& message) {
  const auto value = message.find_header("Retry-After");
  if (!value) return 0;
  double seconds = 0;
  std::from_chars(value->data(), value->data() + value->size(), seconds);
  return seconds * ms_per_second;
}

}  // namespace

struct LoadClients::Connection {
  std::uint64_t id;
  std::size_t sidecar;
  std::unique_ptr<TcpStream> transport;
  http::HttpParser parser{http::HttpParser::MessageKind::response};
  WriteBuffer output;
  std::uint64_t request = 0;  // 0: idle
  std::string rpc_id;
  bool reused = false;  // the connection has carried an answer before
  double intended_at_ms = 0;
  EventLoop::Timer deadline_timer;
  EventLoop::Timer departure_timer;
};

LoadClients::LoadClients(EventLoop& loop, FileDescriptorBudget& descriptors, WallClockScheduler& clock,
                         const emulator::Scenario& scenario, std::uint64_t seed, std::uint64_t max_requests,
                         const std::vector<sockaddr_in>& sidecars)
    : loop_(loop),
      descriptors_(descriptors),
      clock_(clock),
      scenario_(scenario),
      seed_(seed),
      max_requests_(max_requests),
      client_random_(emulator::derive_seed(seed, RandomPurpose::clients)),
      departure_random_(emulator::derive_seed(seed, RandomPurpose::clients, 1)) {
  double share_sum = 0;
  for (std::size_t i = 0; i < sidecars.size(); ++i) {
    const double share = std::pow(static_cast<double>(i) + 1, -scenario_.load.zipf_exponent);
    sidecars_.push_back(
        {.address = sidecars[i],
         .arrival_share = share,
         .arrival_random = RandomStream(emulator::derive_seed(seed, RandomPurpose::arrivals, i)),
         .running = true,
         .idle_connections = {}});
    share_sum += share;
  }
  for (Sidecar& sidecar : sidecars_) sidecar.arrival_share /= share_sum;
  RandomStream pattern_random(emulator::derive_seed(seed, RandomPurpose::arrival_pattern));
  arrival_pattern_ = emulator::make_arrival_pattern(scenario_, pattern_random);
}

LoadClients::~LoadClients() = default;

const MethodConfig& LoadClients::method_of(const ClientRequest& request) const {
  return scenario_.methods[request.method].method;
}

void LoadClients::start() {
  for (std::size_t i = 0; i < sidecars_.size(); ++i) schedule_next_arrival(i);
}

void LoadClients::schedule_next_arrival(std::size_t sidecar) {
  Sidecar& state = sidecars_[sidecar];
  const double mean_interval_ms = ms_per_second / (arrival_pattern_.peak_rate * state.arrival_share);
  if (!std::isfinite(mean_interval_ms)) return;
  // The queue's clock shows the intended time of the current event, even if the process runs the event late.
  const double arrival_ms = clock_.queue().now() + state.arrival_random.exponential(mean_interval_ms);
  if (arrival_ms >= scenario_.duration_ms) return;
  clock_.schedule(arrival_ms, EventPriority::client, [this, sidecar, arrival_ms] {
    const double rate = emulator::arrival_rate(scenario_, arrival_pattern_, arrival_ms) * rate_factor_;
    if (sidecars_[sidecar].arrival_random.bernoulli(rate / arrival_pattern_.peak_rate))
      on_arrival(sidecar, arrival_ms);
    schedule_next_arrival(sidecar);
  });
}

void LoadClients::on_arrival(std::size_t sidecar, double intended_at_ms) {
  Sidecar& state = sidecars_[sidecar];
  const emulator::SampledRpc sampled = emulator::sample_rpc(scenario_, state.arrival_random);
  if (!state.running) return;
  if (metrics_.requests >= max_requests_) {
    ++metrics_.skipped;
    return;
  }
  ++metrics_.requests;
  const std::uint64_t id = ++last_request_id_;
  requests_[id] = {.sidecar = sidecar,
                   .method = sampled.method,
                   .intended_at_ms = intended_at_ms,
                   .work_ms = sampled.work_ms,
                   .retry_delay_ms = scenario_.clients.retry_delay_ms,
                   .retries_left = scenario_.clients.retries};
  send_request(id, intended_at_ms);
}

// Returns null if no idle connection is still open.
LoadClients::Connection* LoadClients::take_idle_connection(std::size_t sidecar) {
  std::vector<std::uint64_t>& idle = sidecars_[sidecar].idle_connections;
  while (!idle.empty()) {
    const auto found = connections_.find(idle.back());
    idle.pop_back();
    if (found == connections_.end()) continue;
    if (!found->second->transport->is_stale()) return found->second.get();
    connections_.erase(found);
  }
  return nullptr;
}

// Returns null if no descriptor is available, the time for new connections is over, or connecting fails.
LoadClients::Connection* LoadClients::open_connection(std::size_t sidecar) {
  if (descriptors_.available() == 0 || clock_.now() > sidecars_[sidecar].new_connections_until_ms)
    return nullptr;
  FileDescriptor socket = start_connect(sidecars_[sidecar].address);
  if (!socket) return nullptr;
  const std::uint64_t id = ++last_connection_id_;
  auto connection = std::make_unique<Connection>();
  connection->id = id;
  connection->sidecar = sidecar;
  connection->transport = std::make_unique<TcpStream>(loop_, descriptors_, std::move(socket),
                                                      [this, id](std::uint32_t) { on_ready(id); });
  return connections_.emplace(id, std::move(connection)).first->second.get();
}

std::string LoadClients::format_request(const ClientRequest& request, const std::string& rpc_id,
                                        double time_left_ms) const {
  const MethodConfig& method = method_of(request);
  const bool is_idempotent = method.retry_safety == RetrySafety::idempotent;
  const auto budget_us = static_cast<long long>(time_left_ms * us_per_ms);
  std::string head = is_idempotent ? "GET /" : "POST /";
  head += method.name + " HTTP/1.1\r\n";
  head += "Host: app\r\n";
  head += "X-Call-Id: " + rpc_id + "\r\n";
  head += "X-Call-Class: " + method.name + "\r\n";
  head += "X-Budget: " + std::to_string(budget_us) + "u\r\n";
  head += "X-Work: " + std::to_string(request.work_ms) + "\r\n";
  return head + (is_idempotent ? "\r\n" : "Content-Length: 2\r\n\r\n{}");
}

void LoadClients::send_request(std::uint64_t request_id, double intended_at_ms) {
  const ClientRequest& request = requests_.at(request_id);
  Connection* connection = take_idle_connection(request.sidecar);
  if (!connection) connection = open_connection(request.sidecar);
  if (!connection) {
    if (clock_.now() <= sidecars_[request.sidecar].new_connections_until_ms) ++metrics_.skipped;
    return conclude_request(request_id, RequestOutcome::lost);
  }
  const MethodConfig& method = method_of(request);
  const double deadline_ms = request.intended_at_ms + method.deadline_ms;
  const double time_left_ms = deadline_ms - clock_.now();
  if (time_left_ms < min_time_left_ms) {
    release_connection(*connection);
    return conclude_request(request_id, RequestOutcome::unanswered);
  }
  connection->request = request_id;
  connection->rpc_id = std::to_string(seed_) + "-" + std::to_string(++last_rpc_id_);
  connection->intended_at_ms = intended_at_ms;
  if (method.retry_safety == RetrySafety::non_idempotent) non_idempotent_ids_.insert(connection->rpc_id);
  connection->output = {};
  connection->output.append_owned(format_request(request, connection->rpc_id, time_left_ms));
  ++metrics_.sent;
  metrics_.send_delay.add(std::max(clock_.now() - intended_at_ms, 0.0));
  records_[connection->rpc_id] = {.sent_at_ms = clock_.now(), .deadline_ms = deadline_ms};
  connection->deadline_timer = loop_.schedule_at(clock_.to_unix_ms(deadline_ms + overdue_allowance_ms_),
                                                 [this, id = connection->id] { on_overdue(id); });
  schedule_departure(*connection, time_left_ms);
  write(*connection);
}

void LoadClients::on_overdue(std::uint64_t connection_id) {
  const auto found = connections_.find(connection_id);
  const std::uint64_t request_id = found->second->request;
  record_end(*found->second, RpcRecord::End::overdue);
  connections_.erase(found);
  conclude_request(request_id, RequestOutcome::unanswered);
}

void LoadClients::schedule_departure(Connection& connection, double time_left_ms) {
  if (!departure_random_.bernoulli(departure_share_)) return;
  const double departs_at_ms = clock_.now() + time_left_ms * departure_random_.uniform();
  connection.departure_timer =
      loop_.schedule_at(clock_.to_unix_ms(departs_at_ms), [this, id = connection.id] { depart(id); });
}

void LoadClients::depart(std::uint64_t connection_id) {
  const auto found = connections_.find(connection_id);
  const std::uint64_t request_id = found->second->request;
  record_end(*found->second, RpcRecord::End::departed);
  connections_.erase(found);
  conclude_request(request_id, RequestOutcome::lost);
}

void LoadClients::depart(double probability) {
  std::vector<std::uint64_t> departing;
  for (const auto& [id, connection] : connections_)
    if (connection->request != 0 && departure_random_.bernoulli(probability)) departing.push_back(id);
  for (const std::uint64_t id : departing) depart(id);
}

void LoadClients::record_end(const Connection& connection, RpcRecord::End end) {
  RpcRecord& record = records_.at(connection.rpc_id);
  record.end = end;
  record.ended_at_ms = clock_.now();
}

RpcRecord::End LoadClients::end_of_broken(const Connection& connection) const {
  if (!connection.output.is_complete()) return RpcRecord::End::refused;
  const bool may_cross = connection.reused && !connection.parser.has_partial_input();
  return may_cross ? RpcRecord::End::closed_reused : RpcRecord::End::closed;
}

void LoadClients::write(Connection& connection) {
  if (!connection.output.is_complete() && !connection.transport->write(connection.output))
    on_connection_broken(connection);
}

void LoadClients::on_ready(std::uint64_t connection_id) {
  using ParseState = http::HttpParser::ParseState;
  clock_.run_due_events();
  for (;;) {
    const auto found = connections_.find(connection_id);
    if (found == connections_.end()) return;
    Connection& connection = *found->second;
    if (!connection.output.is_complete() && !connection.transport->write(connection.output))
      return on_connection_broken(connection);
    std::size_t received = 0;
    const TcpStream::ReadStatus status =
        connection.transport->read(connection.parser.writable_buffer(), received);
    if (status == TcpStream::ReadStatus::would_block) return;
    if (status != TcpStream::ReadStatus::data) return on_connection_broken(connection);
    connection.parser.commit(received);
    if (connection.parser.state() == ParseState::error) return on_connection_broken(connection);
    if (connection.parser.state() != ParseState::complete) continue;
    const http::Message message = connection.parser.take_message();
    if (connection.request == 0) return on_connection_broken(connection);
    on_answer(connection, message);
  }
}

void LoadClients::on_answer(Connection& connection, const http::Message& message) {
  const std::uint64_t request_id = connection.request;
  const std::string rpc_id = connection.rpc_id;
  const ClientRequest& request = requests_.at(request_id);
  const MethodConfig& method = method_of(request);
  const bool meets_objective = clock_.now() - request.intended_at_ms <= method.latency_objective_ms;
  const double retry_after_ms = parse_retry_after_ms(message);
  record_end(connection, RpcRecord::End::answered);
  if (message.keep_alive)
    release_connection(connection);
  else
    connections_.erase(connection.id);
  if (message.status == ok_status)
    return conclude_request(request_id, meets_objective ? RequestOutcome::ok : RequestOutcome::late);
  const bool rejected = message.status == too_many_requests_status || message.status == unavailable_status;
  if (rejected && method.retry_safety == RetrySafety::non_idempotent)
    metrics_.rejected_non_idempotent.insert(rpc_id);
  retry_or_conclude(request_id, rejected ? RequestOutcome::rejected : RequestOutcome::failed, retry_after_ms);
}

// The request on a broken connection ends as unanswered, or as lost if the sidecar does not run or the time
// for new connections is over, unless the request is sent again. A connection that breaks while idle loses
// nothing.
void LoadClients::on_connection_broken(Connection& connection) {
  const std::uint64_t request_id = connection.request;
  const bool closed_while_idle =
      connection.reused && request_id != 0 && !connection.parser.has_partial_input();
  const double intended_at_ms = connection.intended_at_ms;
  if (request_id != 0) record_end(connection, end_of_broken(connection));
  connections_.erase(connection.id);
  if (request_id == 0) return;
  const Sidecar& sidecar = sidecars_[requests_.at(request_id).sidecar];
  const bool sidecar_runs = sidecar.running && clock_.now() <= sidecar.new_connections_until_ms;
  // The sidecar's close of the idle connection crossed the request, which is taken as not read and is sent
  // again on another connection.
  if (closed_while_idle && sidecar_runs) return send_request(request_id, intended_at_ms);
  conclude_request(request_id, sidecar_runs ? RequestOutcome::unanswered : RequestOutcome::lost);
}

void LoadClients::release_connection(Connection& connection) {
  connection.deadline_timer.cancel();
  connection.departure_timer.cancel();
  connection.request = 0;
  connection.reused = true;
  sidecars_[connection.sidecar].idle_connections.push_back(connection.id);
}

void LoadClients::count_outcome(RequestOutcome outcome) {
  switch (outcome) {
    case RequestOutcome::ok:
      ++metrics_.ok;
      return;
    case RequestOutcome::late:
      ++metrics_.late;
      return;
    case RequestOutcome::rejected:
      ++metrics_.rejected;
      return;
    case RequestOutcome::failed:
      ++metrics_.failed;
      return;
    case RequestOutcome::unanswered:
      ++metrics_.unanswered;
      return;
    case RequestOutcome::lost:
      ++metrics_.lost;
      return;
  }
}

void LoadClients::conclude_request(std::uint64_t request_id, RequestOutcome outcome) {
  const ClientRequest request = requests_.at(request_id);
  requests_.erase(request_id);
  count_outcome(outcome);
  const bool is_measured = request.intended_at_ms >= scenario_.warmup_ms;
  if (!is_measured || outcome == RequestOutcome::lost) return;
  const MethodConfig& method = method_of(request);
  metrics_.offered_utility += method.priority_weight;
  if (outcome == RequestOutcome::ok) metrics_.gained_utility += method.priority_weight;
  if (outcome == RequestOutcome::late) metrics_.gained_utility += method.priority_weight * method.late_weight;
  if (outcome == RequestOutcome::ok || outcome == RequestOutcome::late)
    metrics_.latency.add(clock_.now() - request.intended_at_ms);
}

void LoadClients::retry_or_conclude(std::uint64_t request_id, RequestOutcome outcome, double retry_after_ms) {
  ClientRequest& request = requests_.at(request_id);
  const MethodConfig& method = method_of(request);
  const bool may_retry =
      outcome == RequestOutcome::rejected || method.retry_safety == RetrySafety::idempotent;
  const bool heeds_retry_after = client_random_.bernoulli(scenario_.clients.retry_after_compliance);
  const double delay_ms = std::max(request.retry_delay_ms, heeds_retry_after ? retry_after_ms : 0);
  const double retry_at_ms = clock_.now() + delay_ms;
  const bool in_time = retry_at_ms < request.intended_at_ms + method.deadline_ms;
  if (!may_retry || request.retries_left <= 0 || !in_time) return conclude_request(request_id, outcome);
  --request.retries_left;
  if (scenario_.clients.exponential_backoff) request.retry_delay_ms *= 2;
  clock_.schedule(retry_at_ms, EventPriority::client, [this, request_id, retry_at_ms] {
    if (requests_.count(request_id) > 0) send_request(request_id, retry_at_ms);
  });
}

void LoadClients::on_sidecar_stopped(std::size_t sidecar) {
  sidecars_[sidecar].running = false;
  for (const auto& [id, connection] : connections_)
    if (connection->sidecar == sidecar && connection->request != 0)
      record_end(*connection, RpcRecord::End::killed);
  std::erase_if(connections_,
                [&](const auto& id_and_connection) { return id_and_connection.second->sidecar == sidecar; });
  std::vector<std::uint64_t> lost_requests;
  for (const auto& [id, request] : requests_) {
    if (request.sidecar == sidecar) lost_requests.push_back(id);
  }
  for (const std::uint64_t id : lost_requests) conclude_request(id, RequestOutcome::lost);
  sidecars_[sidecar].idle_connections.clear();
}

void LoadClients::on_sidecar_terminating(std::size_t sidecar, double new_connections_until_ms) {
  sidecars_[sidecar].new_connections_until_ms = new_connections_until_ms;
}

void LoadClients::on_sidecar_started(std::size_t sidecar) { sidecars_[sidecar].running = true; }

}  // namespace indigorill::load_generator
