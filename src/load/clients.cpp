#include "load/clients.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace indigorill::loading {
namespace {

using emulator::EventPriority;
constexpr double ms_per_s = 1000;

}  // namespace

struct LoadClients::Connection {
  std::uint64_t id;
  std::size_t sidecar;
  std::unique_ptr<TcpStream> transport;
  http::HttpParser parser{http::HttpParser::MessageKind::response};
  WriteBuffer output;
  std::uint64_t request = 0;  // 0: idle
  std::string rpc_id;
  bool reused = false;  // an answer came over it before
  double intended_at_ms = 0;
  EventLoop::Timer deadline_timer;
};

LoadClients::LoadClients(EventLoop& in, FileDescriptorBudget& budget, WallClockScheduler& with,
                         const emulator::Scenario& s, std::uint64_t number, std::uint64_t bound,
                         std::vector<sockaddr_in> where)
    : loop_(in),
      descriptors_(budget),
      clock_(with),
      scenario_(s),
      seed_(number),
      max_requests_(bound),
      client_random_(emulator::derive_seed(number, emulator::RandomPurpose::clients)) {
  double all = 0;
  for (std::size_t i = 0; i < where.size(); ++i) {
    const double weight = std::pow(static_cast<double>(i) + 1, -scenario_.load.zipf_exponent);
    sidecars_.push_back(
        {where[i],
         weight,
         emulator::RandomStream(emulator::derive_seed(seed_, emulator::RandomPurpose::arrivals, i)),
         true,
         {}});
    all += weight;
  }
  for (Sidecar& c : sidecars_) c.arrival_share /= all;
  emulator::RandomStream shares(emulator::derive_seed(seed_, emulator::RandomPurpose::arrival_pattern));
  arrival_pattern_ = emulator::make_arrival_pattern(scenario_, shares);
}

LoadClients::~LoadClients() = default;

void LoadClients::start() {
  for (std::size_t i = 0; i < sidecars_.size(); ++i) schedule_next_arrival(i);
}

void LoadClients::schedule_next_arrival(std::size_t s) {
  const double mean = ms_per_s / (arrival_pattern_.peak_rate * sidecars_[s].arrival_share);
  if (!std::isfinite(mean)) return;
  const double when = clock_.queue().now() + sidecars_[s].arrival_random.exponential(mean);
  if (when >= scenario_.duration_ms) return;
  // The agenda's clock stands at the intended time, however late the process gets to it.
  clock_.schedule(when, EventPriority::client, [this, s, when] {
    if (sidecars_[s].arrival_random.bernoulli(emulator::arrival_rate(scenario_, arrival_pattern_, when) *
                                              rate_factor_ / arrival_pattern_.peak_rate))
      on_arrival(s, when);
    schedule_next_arrival(s);
  });
}

void LoadClients::on_arrival(std::size_t s, double meant) {
  Sidecar& c = sidecars_[s];
  const auto [method, work] = emulator::sample_rpc(scenario_, c.arrival_random);
  if (!c.running) return;
  if (metrics_.requests >= max_requests_) {
    ++metrics_.skipped;
    return;
  }
  ++metrics_.requests;
  const std::uint64_t id = ++last_request_id_;
  requests_[id] = {s, method, meant, work, scenario_.clients.retry_delay_ms, scenario_.clients.retries};
  send_request(id, meant);
}

void LoadClients::send_request(std::uint64_t of, double meant) {
  const ClientRequest& t = requests_.at(of);
  Sidecar& to = sidecars_[t.sidecar];
  Connection* c = nullptr;
  while (!to.idle_connections.empty() && !c) {
    const auto it = connections_.find(to.idle_connections.back());
    to.idle_connections.pop_back();
    if (it == connections_.end()) continue;
    c = it->second.get();
    if (c->transport->is_stale()) {
      connections_.erase(it);
      c = nullptr;
    }
  }
  if (!c) {
    FileDescriptor fd = descriptors_.available() > 0 ? start_connect(to.address) : FileDescriptor();
    if (!fd) {
      ++metrics_.skipped;
      return conclude_request(of, RequestOutcome::lost);
    }
    const std::uint64_t name = ++last_connection_id_;
    auto fresh = std::make_unique<Connection>();
    fresh->id = name;
    fresh->sidecar = t.sidecar;
    fresh->transport = std::make_unique<TcpStream>(loop_, descriptors_, std::move(fd),
                                                   [this, name](std::uint32_t) { on_ready(name); });
    c = connections_.emplace(name, std::move(fresh)).first->second.get();
  }
  const MethodConfig& how = scenario_.methods[t.method].method;
  // What is left of the client's time, by its own clock.
  const double left = t.intended_at_ms + how.deadline_ms - clock_.now();
  if (left < 1) {
    release_connection(*c);
    return conclude_request(of, RequestOutcome::unanswered);
  }
  c->request = of;
  c->rpc_id = std::to_string(seed_) + "-" + std::to_string(++last_rpc_id_);
  c->intended_at_ms = meant;
  const bool safe = how.retry_safety == RetrySafety::idempotent;
  if (how.retry_safety == RetrySafety::non_idempotent) non_idempotent_ids_.insert(c->rpc_id);
  c->output = {};
  c->output.append_owned(
      (safe ? "GET /" : "POST /") + how.name + " HTTP/1.1\r\nHost: app\r\nX-Call-Id: " + c->rpc_id +
      "\r\nX-Call-Class: " + how.name +
      "\r\nX-Budget: " + std::to_string(static_cast<long long>(left * 1000)) +
      "u\r\nX-Work: " + std::to_string(t.work_ms) + "\r\n" + (safe ? "\r\n" : "Content-Length: 2\r\n\r\n{}"));
  ++metrics_.sent;
  metrics_.send_delay.add(std::max(clock_.now() - meant, 0.0));
  c->deadline_timer =
      loop_.schedule_at(clock_.to_unix_ms(t.intended_at_ms + how.deadline_ms), [this, name = c->id] {
        const auto it = connections_.find(name);
        const std::uint64_t waited = it->second->request;
        connections_.erase(it);
        conclude_request(waited, RequestOutcome::unanswered);
      });
  write(*c);
}

void LoadClients::write(Connection& c) {
  if (!c.output.is_complete() && !c.transport->write(c.output)) on_connection_broken(c);
}

void LoadClients::on_ready(std::uint64_t which) {
  clock_.run_due_events();
  for (;;) {
    const auto it = connections_.find(which);
    if (it == connections_.end()) return;
    Connection& c = *it->second;
    if (!c.output.is_complete() && !c.transport->write(c.output)) return on_connection_broken(c);
    std::size_t n = 0;
    const TcpStream::ReadStatus was = c.transport->read(c.parser.writable_buffer(), n);
    if (was == TcpStream::ReadStatus::would_block) return;
    if (was != TcpStream::ReadStatus::data) return on_connection_broken(c);
    c.parser.commit(n);
    if (c.parser.state() == http::HttpParser::ParseState::error) return on_connection_broken(c);
    if (c.parser.state() != http::HttpParser::ParseState::complete) continue;
    const http::Message m = c.parser.take_message();
    if (c.request == 0) return on_connection_broken(c);
    on_answer(c, m);
  }
}

void LoadClients::on_answer(Connection& c, const http::Message& m) {
  const std::uint64_t of = c.request;
  const std::string id = c.rpc_id;
  const ClientRequest& t = requests_.at(of);
  const MethodConfig& how = scenario_.methods[t.method].method;
  const bool in_time = clock_.now() - t.intended_at_ms <= how.latency_objective_ms;
  double advice = 0;
  if (const auto after = m.find_header("Retry-After")) {
    double seconds = 0;
    std::from_chars(after->data(), after->data() + after->size(), seconds);
    advice = seconds * ms_per_s;
  }
  if (m.keep_alive)
    release_connection(c);
  else
    connections_.erase(c.id);
  if (m.status == 200) return conclude_request(of, in_time ? RequestOutcome::ok : RequestOutcome::late);
  const bool pushed = m.status == 429 || m.status == 503;
  if (pushed && how.retry_safety == RetrySafety::non_idempotent) metrics_.rejected_non_idempotent.insert(id);
  retry_or_conclude(of, pushed ? RequestOutcome::rejected : RequestOutcome::failed, advice);
}

// A connection that breaks with an RPC on it loses it; one that the sidecar closed between two is no loss.
void LoadClients::on_connection_broken(Connection& c) {
  const std::uint64_t of = c.request;
  const bool crossed = c.reused && of != 0 && !c.parser.has_partial_input();
  const double meant = c.intended_at_ms;
  connections_.erase(c.id);
  if (of == 0) return;
  // The close crossed the RPC on its way: it was not read, and is sent once more on a new connection.
  if (crossed && sidecars_[requests_.at(of).sidecar].running) return send_request(of, meant);
  conclude_request(
      of, sidecars_[requests_.at(of).sidecar].running ? RequestOutcome::unanswered : RequestOutcome::lost);
}

void LoadClients::release_connection(Connection& c) {
  c.deadline_timer.cancel();
  c.request = 0;
  c.reused = true;
  sidecars_[c.sidecar].idle_connections.push_back(c.id);
}

void LoadClients::conclude_request(std::uint64_t of, RequestOutcome f) {
  const ClientRequest t = requests_.at(of);
  requests_.erase(of);
  const MethodConfig& how = scenario_.methods[t.method].method;
  const bool counted = t.intended_at_ms >= scenario_.warmup_ms && f != RequestOutcome::lost;
  if (counted) metrics_.offered_utility += how.priority_weight;
  switch (f) {
    case RequestOutcome::ok:
      ++metrics_.ok;
      if (counted) metrics_.gained_utility += how.priority_weight;
      break;
    case RequestOutcome::late:
      ++metrics_.late;
      if (counted) metrics_.gained_utility += how.priority_weight * how.late_weight;
      break;
    case RequestOutcome::rejected:
      ++metrics_.rejected;
      break;
    case RequestOutcome::failed:
      ++metrics_.failed;
      break;
    case RequestOutcome::unanswered:
      ++metrics_.unanswered;
      break;
    case RequestOutcome::lost:
      ++metrics_.lost;
      break;
  }
  if (counted && (f == RequestOutcome::ok || f == RequestOutcome::late))
    metrics_.latency.add(clock_.now() - t.intended_at_ms);
}

void LoadClients::retry_or_conclude(std::uint64_t of, RequestOutcome f, double advice) {
  ClientRequest& t = requests_.at(of);
  const MethodConfig& how = scenario_.methods[t.method].method;
  const bool harmless = f == RequestOutcome::rejected || how.retry_safety == RetrySafety::idempotent;
  const double waits =
      std::max(t.retry_delay_ms, client_random_.bernoulli(scenario_.clients.retry_after_compliance) ? advice : 0);
  const double when = clock_.now() + waits;
  if (!harmless || t.retries_left <= 0 || when >= t.intended_at_ms + how.deadline_ms)
    return conclude_request(of, f);
  --t.retries_left;
  if (scenario_.clients.exponential_backoff) t.retry_delay_ms *= 2;
  clock_.schedule(when, EventPriority::client, [this, of, when] {
    if (requests_.count(of)) send_request(of, when);
  });
}

void LoadClients::on_sidecar_stopped(std::size_t s) {
  sidecars_[s].running = false;
  std::vector<std::uint64_t> gone, lost;
  for (const auto& [name, c] : connections_)
    if (c->sidecar == s) gone.push_back(name);
  for (const std::uint64_t name : gone) connections_.erase(name);
  for (const auto& [id, t] : requests_)
    if (t.sidecar == s) lost.push_back(id);
  for (const std::uint64_t id : lost) conclude_request(id, RequestOutcome::lost);
  sidecars_[s].idle_connections.clear();
}

void LoadClients::on_sidecar_started(std::size_t s) { sidecars_[s].running = true; }

}  // namespace indigorill::loading
