#include "emulator/simulation.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace indigorill::emulator {
namespace {

constexpr double ms_per_s = 1000;

std::string server_name(std::uint32_t server) { return std::string("s").append(std::to_string(server)); }

std::uint32_t parse_server_index(const std::string& name) {
  std::uint32_t n = 0;
  std::from_chars(name.data() + 1, name.data() + name.size(), n);
  return n;
}

std::uint64_t parse_rpc_id(const std::string& id) {
  std::uint64_t n = 0;
  std::from_chars(id.data(), id.data() + id.size(), n);
  return n;
}

}  // namespace

bool Simulation::OpenRpc::has_no_open_attempt() const {
  return std::all_of(attempts.begin(), attempts.end(),
                     [](const Attempt& p) { return p.phase == AttemptPhase::finished; });
}

// ---- set up ----------------------------------------------------------------------------------------------

Simulation::Simulation(const Scenario& s, PolicyKind p, std::uint64_t number_of_run,
                       std::vector<TraceListener*> listeners)
    : scenario_(s),
      policy_(p),
      seed_(number_of_run),
      listeners_(std::move(listeners)),
      end_at_ms_(s.duration_ms + s.longest_deadline_ms()),
      network_random_(derive_seed(seed_, RandomPurpose::network)),
      discovery_random_(derive_seed(seed_, RandomPurpose::discovery)),
      client_random_(derive_seed(seed_, RandomPurpose::clients)),
      packet_loss_(s.network.loss_rate) {
  RandomStream speeds(derive_seed(seed_, RandomPurpose::servers));
  for (const ServerGroup& k : scenario_.servers)
    for (int i = 0; i < k.count; ++i)
      add_server(k, i % k.zones, i % k.cells,
                 speeds.sample({DistributionShape::lognormal, k.speed, k.speed_spread}));
  for (std::uint32_t i = 0; i < servers_.size(); ++i)
    initial_endpoints_.push_back(make_endpoint(i, EndpointState::ready));

  RandomStream shares(derive_seed(seed_, RandomPurpose::arrival_pattern));
  arrival_pattern_ = make_arrival_pattern(scenario_, shares);
  sidecars_.resize(static_cast<std::size_t>(scenario_.sidecars));
  double all = 0;
  for (std::size_t i = 0; i < sidecars_.size(); ++i)
    all += sidecars_[i].arrival_share = std::pow(static_cast<double>(i) + 1, -scenario_.load.zipf_exponent);
  for (std::uint32_t i = 0; i < sidecars_.size(); ++i) {
    SidecarState& c = sidecars_[i];
    c.arrival_share /= all;
    c.zone = static_cast<int>(i) % scenario_.zones;
    c.arrival_random = RandomStream(derive_seed(seed_, RandomPurpose::arrivals, i));
    start_sidecar(i);
    schedule_next_arrival(i);
  }
  for (std::size_t i = 0; i < scenario_.faults.size(); ++i) schedule_fault(scenario_.faults[i], i);
}

std::uint32_t Simulation::add_server(const ServerGroup& k, int zone, int cell, double speed) {
  const auto index = static_cast<std::uint32_t>(servers_.size());
  ServerState& at = servers_.emplace_back();
  at.zone = zone;
  at.cell = cell;
  at.group = &k;
  at.speed = speed;
  EmulatedServer::Config is{k.cores,
                            k.queue_capacity,
                            speed,
                            k.slow_start_initial_capacity,
                            k.slow_start_duration_ms,
                            k.error_rate,
                            scenario_.rules.slow_start_overload_factor,
                            scenario_.rules.slow_start_window_ms};
  at.server = std::make_unique<EmulatedServer>(
      events_, is, derive_seed(seed_, RandomPurpose::server_errors, index),
      EmulatedServer::Callbacks{[this, index](std::uint64_t of) {
                                  const auto it = jobs_.find(of);
                                  if (it == jobs_.end() || it->second.rpc == 0) return;
                                  if (servers_[index].server->capacity_fraction() < 1)
                                    ++current_second().started_in_slow_start;
                                  TraceEvent e{TraceEvent::Kind::attempt_started};
                                  e.rpc = it->second.rpc;
                                  e.attempt = it->second.attempt;
                                  e.server = index;
                                  e.sidecar = it->second.sidecar;
                                  trace(e);
                                },
                                [this, index](std::uint64_t of, EmulatedServer::JobOutcome how, double held) {
                                  on_job_finished(index, of, how, held);
                                },
                                [this, index] {
                                  ++metrics_.crashes;
                                  stop_server(index, false, true);
                                }});
  trace_server_state(index);
  return index;
}

void Simulation::trace_server_state(std::uint32_t server) {
  const ServerState& at = servers_[server];
  TraceEvent e{TraceEvent::Kind::server_state};
  e.server = server;
  e.capacity = at.group->cores * at.speed;
  e.started_at_ms = at.server->started_at_ms();
  e.slow_start_initial_capacity = at.group->slow_start_initial_capacity;
  e.slow_start_duration_ms = at.group->slow_start_duration_ms;
  e.zone = at.zone;
  e.cell = at.cell;
  trace(e);
}

void Simulation::start_sidecar(std::uint32_t s) {
  SidecarState& c = sidecars_[s];
  c.running = true;
  ++c.incarnation;
  c.subscribed = c.update_scheduled = c.full_list_next = false;
  c.pending_poll = 0;
  c.idle_connections.assign(servers_.size(), {});
  c.connect_timeout = ConnectTimeoutEstimator(scenario_.network.connect_timeout_ms);
  c.limiter.reset();
  c.connection_limited.clear();
  if (scenario_.limits.is_limited() && policy_ == PolicyKind::load_balancer) {
    InstancePosition where{
        std::max(1.0, std::round(scenario_.sidecars * scenario_.limits.instance_factor)), 1, {}};
    if (scenario_.limits.by_index) where.index = s;
    c.limiter = std::make_unique<FleetLimiter>(scenario_.limits.fleet, where,
                                               derive_seed(seed_, RandomPurpose::policy, s));
  }
  c.policy = make_policy(
      policy_, scenario_.load_balancer_config(c.zone),
      derive_seed(seed_, RandomPurpose::policy, s + (std::uint64_t{c.incarnation} << 32)), events_.now(),
      [this, s](const std::string& server) { return true_response_time(s, parse_server_index(server)); });
  // The list as it last had it is restored, as a sidecar finds it in its config.
  const bool lags = c.known_changes < endpoint_changes_.size();
  if (lags && !c.stale) ++stale_sidecar_count_;
  c.stale = lags;
  deliver_endpoints(s, true, false);
  if (!scenario_.discovery.is_polled && c.stale) schedule_endpoint_update(s);
}

void Simulation::schedule_fault(const Fault& t, std::size_t which) {
  using Kind = Fault::Kind;
  RandomStream chance(derive_seed(seed_, RandomPurpose::fault_schedule, which + 1));
  const auto at = [this](double when, EventQueue::Callback what) {
    events_.schedule(when, EventPriority::fault, std::move(what));
  };
  const double from = t.start_ms, until = t.start_ms + t.duration_ms;
  // Drawn now, so that what happens until then changes nothing.
  const auto befallen = [&](std::size_t n) { return sample_indices(n, t.share, chance); };
  switch (t.kind) {
    case Kind::suspend_sidecars:
    case Kind::terminate_sidecars:
    case Kind::gossip_partition:
      return;  // refused before: not_emulated
    case Kind::restart_sidecars:
      for (const std::uint32_t s : befallen(sidecars_.size())) {
        const double when = from + t.spread_ms * chance.uniform();
        at(when, [this, s] { kill_sidecar(s); });
        at(when + t.duration_ms, [this, s] {
          if (!sidecars_[s].running) start_sidecar(s);
        });
      }
      return;
    case Kind::lose_zone:
      for (std::uint32_t i = 0; i < servers_.size(); ++i) {
        if (servers_[i].zone != t.zone) continue;
        at(from, [this, i] { stop_server(i, true, true); });
        at(until, [this, i] { restart_server(i); });
      }
      return;
    case Kind::kill_servers:
      for (const std::uint32_t i : befallen(servers_.size())) {
        const double when = from + t.spread_ms * chance.uniform();
        at(when, [this, i] { stop_server(i, false, true); });
        at(when + t.duration_ms, [this, i] { restart_server(i); });
      }
      return;
    case Kind::replace_servers:
    case Kind::drain_servers:
      for (const std::uint32_t i : befallen(servers_.size())) {
        const double when = from + t.spread_ms * chance.uniform();
        const bool replaced = t.kind == Kind::replace_servers;
        at(when, [this, i, replaced] {
          servers_[i].draining = true;
          publish_change(i, EndpointState::draining);
          if (!replaced) return;
          const std::uint32_t fresh =
              add_server(*servers_[i].group, servers_[i].zone, servers_[i].cell, servers_[i].speed);
          for (SidecarState& c : sidecars_) c.idle_connections.resize(servers_.size());
          restart_server(fresh);
        });
        at(when + t.duration_ms, [this, i, replaced] {
          stop_server(i, false, false);
          publish_change(i, EndpointState::gone);
          servers_[i].advertised = false;
          if (!replaced) restart_server(i);
        });
      }
      return;
    case Kind::stall_servers:
      for (const std::uint32_t i : befallen(servers_.size()))
        at(from, [this, i, until] { servers_[i].server->stall(until); });
      return;
    case Kind::slow_servers:
    case Kind::server_errors:
      for (const std::uint32_t i : befallen(servers_.size())) {
        const bool slow = t.kind == Kind::slow_servers;
        at(from, [this, i, slow, much = t.factor] {
          slow ? servers_[i].server->set_slowdown(much) : servers_[i].server->set_error_rate(much);
        });
        at(until, [this, i, slow] {
          slow ? servers_[i].server->set_slowdown(1)
               : servers_[i].server->set_error_rate(servers_[i].group->error_rate);
        });
      }
      return;
    case Kind::packet_loss:
      at(from, [this, much = t.factor] { packet_loss_ = much; });
      at(until, [this] { packet_loss_ = scenario_.network.loss_rate; });
      return;
    case Kind::load_surge:
      at(from, [this, much = t.factor] { surge_factor_ *= much; });
      at(until, [this, much = t.factor] { surge_factor_ /= much; });
      return;
    case Kind::discovery_overload:
      at(from, [this, much = t.factor] { discovery_slowdown_ = much; });
      at(until, [this] { discovery_slowdown_ = 1; });
      return;
    case Kind::discovery_outage:
      at(from, [this] {
        discovery_silent_ = true;
        // Who watches finds out by a silence.
        constexpr double silence = 1500;
        for (std::uint32_t s = 0; s < sidecars_.size(); ++s) {
          if (!sidecars_[s].subscribed) continue;
          const std::uint64_t call = sidecars_[s].pending_poll = ++last_poll_id_;
          events_.schedule(events_.now() + silence, EventPriority::discovery,
                           [this, s, call] { on_poll_failed(s, call); });
        }
      });
      at(until, [this] {
        discovery_silent_ = false;
        for (std::uint32_t s = 0; s < sidecars_.size(); ++s)
          if (sidecars_[s].running && sidecars_[s].stale &&
              (!scenario_.discovery.is_polled || sidecars_[s].subscribed))
            schedule_endpoint_update(s);
      });
      return;
  }
}

// ---- applications -------------------------------------------------------------------------------------

// Thinned from the highest rate, so that what one sidecar's clients ask does not hang on another's.
void Simulation::schedule_next_arrival(std::uint32_t s) {
  SidecarState& c = sidecars_[s];
  const double mean = ms_per_s / (arrival_pattern_.peak_rate * c.arrival_share);
  if (!std::isfinite(mean)) return;
  const double when = events_.now() + c.arrival_random.exponential(mean);
  if (when >= scenario_.duration_ms) return;
  events_.schedule(when, EventPriority::client, [this, s] {
    if (sidecars_[s].arrival_random.bernoulli(arrival_rate(scenario_, arrival_pattern_, events_.now()) *
                                              surge_factor_ / arrival_pattern_.peak_rate))
      on_arrival(s);
    schedule_next_arrival(s);
  });
}

void Simulation::on_arrival(std::uint32_t s) {
  SidecarState& c = sidecars_[s];
  const auto [method, work] = sample_rpc(scenario_, c.arrival_random);
  if (!c.running) return;  // an application stops and starts with its sidecar
  const std::uint64_t id = ++last_request_id_;
  const bool counted = events_.now() >= scenario_.warmup_ms;
  requests_[id] = {
      s, method, events_.now(), work, scenario_.clients.retries, scenario_.clients.retry_delay_ms, counted};
  ++metrics_.arrived;
  ++current_second().arrived;
  send_request(id);
}

void Simulation::send_request(std::uint64_t of) {
  const ClientRequest& t = requests_.at(of);
  const std::uint64_t id = ++last_rpc_id_;
  const MethodConfig& how = scenario_.methods[t.method].method;
  const double deadline = t.arrived_at_ms + how.deadline_ms;
  rpcs_[id] = {t.sidecar, of, false, {}};
  TraceEvent e{TraceEvent::Kind::rpc_received};
  e.rpc = id;
  e.sidecar = t.sidecar;
  e.deadline_ms = deadline;
  e.retry_safety = how.retry_safety;
  e.deduplication_scope = how.deduplication_scope;
  e.deduplication_window_ms = how.deduplication_window_ms;
  trace(e);
  events_.schedule(deadline, EventPriority::client, [this, id] {
    const auto it = rpcs_.find(id);
    if (it == rpcs_.end() || it->second.concluded) return;
    const std::uint32_t s = it->second.sidecar;
    it->second.concluded = true;
    // The record keeps it open: that its client had to leave is the breach.
    conclude_request(it->second.request, RequestOutcome::unanswered);
    sidecars_[s].policy->on_client_disconnected(events_.now(), std::to_string(id));
    execute_decisions(s);
    erase_if_finished(id);
  });
  const std::string name = std::to_string(id);
  const std::uint32_t s = t.sidecar;
  sidecars_[s].policy->on_rpc_arrived(events_.now(), {name, how.name, deadline, {}});
  execute_decisions(s);
}

void Simulation::conclude_request(std::uint64_t of, RequestOutcome f) {
  const auto it = requests_.find(of);
  const ClientRequest t = it->second;
  const MethodConfig& how = scenario_.methods[t.method].method;
  requests_.erase(it);
  const double took = events_.now() - t.arrived_at_ms;
  const auto came_in = std::min(static_cast<std::size_t>(t.arrived_at_ms / ms_per_s),
                                static_cast<std::size_t>(scenario_.duration_ms / ms_per_s));
  if (metrics_.seconds.size() <= came_in) metrics_.seconds.resize(came_in + 1);
  SecondMetrics& sec = metrics_.seconds[came_in];
  const double gained = f == RequestOutcome::ok     ? how.priority_weight
                        : f == RequestOutcome::late ? how.priority_weight * how.late_weight
                                                    : 0;
  switch (f) {
    case RequestOutcome::ok:
      ++metrics_.ok, ++sec.ok;
      break;
    case RequestOutcome::late:
      ++metrics_.late, ++sec.late;
      break;
    case RequestOutcome::rejected:
      ++metrics_.rejected, ++sec.rejected;
      break;
    case RequestOutcome::failed:
      ++metrics_.failed, ++sec.failed;
      break;
    case RequestOutcome::unanswered:
      ++metrics_.unanswered;
      break;
    case RequestOutcome::lost:
      ++metrics_.lost;
      return;  // nobody is left to whom it was worth anything
  }
  sec.offered_utility += how.priority_weight;
  sec.gained_utility += gained;
  if (!t.measured) return;
  metrics_.offered_utility += how.priority_weight;
  metrics_.gained_utility += gained;
  if (f == RequestOutcome::ok || f == RequestOutcome::late) metrics_.latency.add(took);
}

void Simulation::retry_or_conclude(std::uint64_t of, RequestOutcome f, double advice) {
  ClientRequest& t = requests_.at(of);
  const MethodConfig& how = scenario_.methods[t.method].method;
  const bool harmless = f == RequestOutcome::rejected || how.retry_safety == RetrySafety::idempotent;
  const double waits = std::max(
      t.retry_delay_ms, client_random_.bernoulli(scenario_.clients.retry_after_compliance) ? advice : 0);
  if (!harmless || t.retries_left <= 0 || events_.now() + waits >= t.arrived_at_ms + how.deadline_ms)
    return conclude_request(of, f);
  --t.retries_left;
  if (scenario_.clients.exponential_backoff) t.retry_delay_ms *= 2;
  events_.schedule(events_.now() + waits, EventPriority::client, [this, of] {
    if (requests_.count(of)) send_request(of);
  });
}

// ---- sidecars -----------------------------------------------------------------------------------------

void Simulation::execute_decisions(std::uint32_t s) {
  SidecarState& c = sidecars_[s];
  if (c.executing_decisions || !c.running) return;
  c.executing_decisions = true;
  for (;;) {
    apply_limits(s);
    const auto d = c.policy->next_decision();
    if (!d) break;
    execute(s, *d);
  }
  c.executing_decisions = false;
}

void Simulation::execute(std::uint32_t s, const Decision& d) {
  using Verb = Decision::Action;
  switch (d.action) {
    case Verb::send_attempt:
      return start_attempt(s, d);
    case Verb::reject:
      answer_rpc(parse_rpc_id(d.rpc_id), RpcAnswer::rejected, d.delay_ms);
      return erase_if_finished(parse_rpc_id(d.rpc_id));
    case Verb::fail:
      answer_rpc(parse_rpc_id(d.rpc_id), RpcAnswer::failed, 0);
      return erase_if_finished(parse_rpc_id(d.rpc_id));
    case Verb::cancel_attempt:
      return cancel_attempt(s, d);
    case Verb::health_check:
      return start_health_check(s, parse_server_index(d.endpoint_id));
    case Verb::poll_endpoints:
      return poll_discovery(s);
    case Verb::send_gossip:
      return;
    case Verb::set_timer:
      events_.schedule(events_.now() + d.delay_ms, EventPriority::timer,
                       [this, s, life = sidecars_[s].incarnation, wake = d.timer_id] {
                         if (!sidecars_[s].running || sidecars_[s].incarnation != life) return;
                         sidecars_[s].policy->on_timer(events_.now(), wake);
                         execute_decisions(s);
                       });
  }
}

Simulation::Attempt* Simulation::find_open_attempt(std::uint64_t id, int n) {
  const auto it = rpcs_.find(id);
  if (it == rpcs_.end()) return nullptr;
  Attempt& p = it->second.attempts[static_cast<std::size_t>(n)];
  return p.phase == AttemptPhase::finished ? nullptr : &p;
}

void Simulation::start_attempt(std::uint32_t s, const Decision& d) {
  const std::uint64_t id = parse_rpc_id(d.rpc_id);
  OpenRpc& r = rpcs_.at(id);
  const std::uint32_t server = parse_server_index(d.endpoint_id);
  const int n = static_cast<int>(r.attempts.size());
  r.attempts.push_back(
      {server, servers_[server].incarnation, AttemptPhase::connecting, true, true, events_.now(), 0});
  ++servers_[server].incoming_attempts;
  ++metrics_.attempts;
  ++current_second().attempts;
  TraceEvent e{TraceEvent::Kind::attempt_decided};
  e.rpc = id;
  e.attempt = n;
  e.server = server;
  e.sidecar = s;
  trace(e);
  events_.schedule(events_.now() + d.delay_ms, EventPriority::timer,
                   [this, id, n] { on_attempt_timeout(id, n); });
  IdleConnection got;
  if (!take_idle_connection(s, server, got)) return connect(id, n);
  r.attempts.back().new_connection = false;
  r.attempts.back().server_incarnation = got.incarnation;
  send_attempt_bytes(id, n);
}

bool Simulation::take_idle_connection(std::uint32_t s, std::uint32_t server, IdleConnection& got) {
  std::vector<IdleConnection>& rested = sidecars_[s].idle_connections[server];
  if (rested.empty()) return false;
  got = rested.back();
  rested.pop_back();
  report_idle_connections(s, server);
  return true;
}

void Simulation::report_idle_connections(std::uint32_t s, std::uint32_t server) {
  sidecars_[s].policy->set_idle_connections(server_name(server),
                                            sidecars_[s].idle_connections[server].size());
}

// Told before each decision, so that nothing is picked that may not be opened.
void Simulation::apply_limits(std::uint32_t s) {
  SidecarState& c = sidecars_[s];
  if (!c.limiter) return;
  c.connection_limited.resize(servers_.size(), false);
  for (std::uint32_t i = 0; i < servers_.size(); ++i) {
    while (!c.idle_connections[i].empty() &&
           !c.limiter->within_connection_limit(server_name(i), events_.now())) {
      close_connection(i, c.idle_connections[i].front().incarnation);
      release_connection_slot(s, i);
      c.idle_connections[i].erase(c.idle_connections[i].begin());
      report_idle_connections(s, i);
    }
    const bool is = !c.limiter->may_open_connection(server_name(i), events_.now());
    if (is == static_cast<bool>(c.connection_limited[i])) continue;
    c.connection_limited[i] = is;
    c.policy->set_connection_limited(server_name(i), is);
  }
}

void Simulation::update_limiter_endpoints(std::uint32_t s) {
  if (!sidecars_[s].limiter) return;
  std::vector<std::string> names;
  for (std::uint32_t i = 0; i < servers_.size(); ++i)
    if (servers_[i].advertised) names.push_back(server_name(i));
  sidecars_[s].limiter->update_endpoints(names);
  sidecars_[s].connection_limited.assign(servers_.size(), false);
  for (std::uint32_t i = 0; i < servers_.size(); ++i)
    sidecars_[s].policy->set_connection_limited(server_name(i), false);
}

void Simulation::release_connection_slot(std::uint32_t s, std::uint32_t server) {
  if (sidecars_[s].limiter) sidecars_[s].limiter->release_connection(server_name(server));
}

void Simulation::roll_second_counters(ServerState& at) {
  const auto second_now = static_cast<std::int64_t>(events_.now() / ms_per_s);
  if (at.counted_second != second_now)
    at.counted_second = second_now, at.handshakes_in_second = at.health_checks_in_second = 0;
}

bool Simulation::accept_connection(ServerState& at) {
  if (at.connections >= static_cast<std::uint64_t>(at.group->max_connections)) return false;
  ++at.connections;
  metrics_.peak_connections = std::max(metrics_.peak_connections, at.connections);
  roll_second_counters(at);
  metrics_.peak_handshakes_per_second =
      std::max(metrics_.peak_handshakes_per_second, ++at.handshakes_in_second);
  ++metrics_.handshakes;
  ++current_second().handshakes;
  return true;
}

void Simulation::connect(std::uint64_t id, int n) {
  const OpenRpc& r = rpcs_.at(id);
  const std::uint32_t s = r.sidecar, server = r.attempts[static_cast<std::size_t>(n)].server;
  const double began = events_.now();
  if (sidecars_[s].limiter && !sidecars_[s].limiter->open_connection(server_name(server), began)) {
    // Two decisions in one breath: nothing was sent, and no server is to blame.
    rpcs_.at(id).attempts[static_cast<std::size_t>(n)].new_connection = false;
    events_.schedule(began, EventPriority::timer, [this, id, n] {
      if (find_open_attempt(id, n)) finish_attempt(id, n, AttemptOutcome::client_error, {});
    });
    return;
  }
  events_.schedule(began + sidecars_[s].connect_timeout.timeout_ms(), EventPriority::timer, [this, id, n, s] {
    Attempt* p = find_open_attempt(id, n);
    if (!p || p->phase != AttemptPhase::connecting) return;
    sidecars_[s].connect_timeout.on_connect_timed_out();
    finish_attempt(id, n, AttemptOutcome::connect_failed, {});
  });
  events_.schedule(began + one_way_delay(sidecars_[s].zone, servers_[server].zone), EventPriority::network,
                   [this, id, n, s, server, began] {
                     ServerState& at = servers_[server];
                     if (at.unreachable) return;
                     const double back = one_way_delay(at.zone, sidecars_[s].zone);
                     if (!at.server->is_running() || !accept_connection(at)) {
                       events_.schedule(events_.now() + back, EventPriority::network, [this, id, n] {
                         Attempt* p = find_open_attempt(id, n);
                         if (p && p->phase == AttemptPhase::connecting)
                           finish_attempt(id, n, AttemptOutcome::connect_failed, {});
                       });
                       return;
                     }
                     events_.schedule(events_.now() + back + scenario_.network.handshake_ms,
                                      EventPriority::network,
                                      [this, id, n, server, began, life = at.incarnation] {
                                        on_connected(id, n, server, life, began);
                                      });
                   });
}

void Simulation::on_connected(std::uint64_t id, int n, std::uint32_t server, std::uint32_t life,
                              double began) {
  Attempt* p = find_open_attempt(id, n);
  if (!p || p->phase != AttemptPhase::connecting) return close_connection(server, life);
  sidecars_[rpcs_.at(id).sidecar].connect_timeout.on_connected(events_.now() - began);
  p->server_incarnation = life;
  send_attempt_bytes(id, n);
}

void Simulation::send_attempt_bytes(std::uint64_t id, int n) {
  OpenRpc& r = rpcs_.at(id);
  Attempt& p = r.attempts[static_cast<std::size_t>(n)];
  p.phase = AttemptPhase::sent;
  p.job = ++last_job_id_;
  const double work = requests_.count(r.request) ? requests_.at(r.request).work_ms : 0;
  const double all = work + (p.new_connection ? scenario_.network.handshake_work_ms : 0);
  TraceEvent e{TraceEvent::Kind::attempt_sent};
  e.rpc = id;
  e.attempt = n;
  e.server = p.server;
  e.sidecar = r.sidecar;
  trace(e);
  events_.schedule(events_.now() + one_way_delay(sidecars_[r.sidecar].zone, servers_[p.server].zone),
                   EventPriority::network,
                   [this, id, n, s = r.sidecar, server = p.server, life = p.server_incarnation, of = p.job,
                    all] { on_attempt_received(id, n, s, server, life, of, all); });
}

void Simulation::on_attempt_received(std::uint64_t id, int n, std::uint32_t s, std::uint32_t server,
                                     std::uint32_t life, std::uint64_t of, double work) {
  ServerState& at = servers_[server];
  Attempt* p = find_open_attempt(id, n);
  if (p && p->counted_as_incoming) p->counted_as_incoming = false, --at.incoming_attempts;
  if (at.unreachable) return;
  const auto answer_with = [&](AttemptOutcome how) {
    events_.schedule(events_.now() + one_way_delay(at.zone, sidecars_[s].zone), EventPriority::network,
                     [this, id, n, how] {
                       if (find_open_attempt(id, n)) finish_attempt(id, n, how, {});
                     });
  };
  if (!at.server->is_running() || at.incarnation != life) return answer_with(AttemptOutcome::reset);
  TraceEvent e{TraceEvent::Kind::attempt_received};
  e.rpc = id;
  e.attempt = n;
  e.server = server;
  e.sidecar = s;
  e.work_ms = work;
  trace(e);
  if (at.draining) return answer_with(AttemptOutcome::rejected);
  jobs_[of] = {id, n, s};
  at.server->submit(of, work);
  if (!p) at.server->cancel_queued(of);  // its connection ended right behind it
}

void Simulation::on_job_finished(std::uint32_t server, std::uint64_t of, EmulatedServer::JobOutcome how,
                                 double held) {
  const auto it = jobs_.find(of);
  if (it == jobs_.end()) return;
  const ServerJob was = it->second;
  jobs_.erase(it);
  if (was.rpc == 0 || servers_[server].unreachable) return;
  LoadReport report;
  if (scenario_.rules.load_reports_enabled) report.in_flight = held;
  using Outcome = EmulatedServer::JobOutcome;
  const AttemptOutcome means = how == Outcome::served       ? AttemptOutcome::ok
                               : how == Outcome::error      ? AttemptOutcome::error
                               : how == Outcome::queue_full ? AttemptOutcome::rejected
                                                            : AttemptOutcome::reset;
  events_.schedule(events_.now() + one_way_delay(servers_[server].zone, sidecars_[was.sidecar].zone),
                   EventPriority::network, [this, was, means, report] {
                     if (find_open_attempt(was.rpc, was.attempt))
                       finish_attempt(was.rpc, was.attempt, means, report);
                   });
}

// The pick is over; its connection rests or ends, and what still waits for it at the server goes.
void Simulation::release_attempt(OpenRpc& r, Attempt& p, AttemptOutcome how) {
  ServerState& at = servers_[p.server];
  if (p.counted_as_incoming) p.counted_as_incoming = false, --at.incoming_attempts;
  const bool whole =
      how == AttemptOutcome::ok || how == AttemptOutcome::error || how == AttemptOutcome::rejected;
  if (p.phase == AttemptPhase::connecting && p.new_connection) release_connection_slot(r.sidecar, p.server);
  if (p.phase == AttemptPhase::sent && whole) {
    keep_idle_connection(r.sidecar, p.server, p.server_incarnation);
  } else if (p.phase == AttemptPhase::sent) {
    close_connection(p.server, p.server_incarnation);
    release_connection_slot(r.sidecar, p.server);
    events_.schedule(events_.now() + one_way_delay(sidecars_[r.sidecar].zone, at.zone),
                     EventPriority::network, [this, server = p.server, of = p.job] {
                       if (!servers_[server].unreachable) servers_[server].server->cancel_queued(of);
                     });
  }
  p.phase = AttemptPhase::finished;
}

void Simulation::finish_attempt(std::uint64_t id, int n, AttemptOutcome how, const LoadReport& report) {
  OpenRpc& r = rpcs_.at(id);
  Attempt& p = r.attempts[static_cast<std::size_t>(n)];
  const std::uint32_t s = r.sidecar;
  const double took = events_.now() - p.started_at_ms;
  release_attempt(r, p, how);
  metrics_.timed_out += how == AttemptOutcome::timed_out;
  metrics_.queue_full += how == AttemptOutcome::rejected;
  metrics_.errors += how == AttemptOutcome::error || how == AttemptOutcome::reset;
  if (how == AttemptOutcome::connect_failed) ++metrics_.connect_failed, ++current_second().connect_failed;
  TraceEvent e{TraceEvent::Kind::attempt_finished};
  e.rpc = id;
  e.attempt = n;
  e.server = p.server;
  e.sidecar = s;
  e.outcome = how;
  trace(e);
  if (how == AttemptOutcome::ok && !r.concluded) answer_rpc(id, RpcAnswer::ok, 0);
  sidecars_[s].policy->on_attempt_finished(events_.now(), std::to_string(id), n, how, took, r.concluded,
                                           report);
  execute_decisions(s);
  erase_if_finished(id);
}

void Simulation::on_attempt_timeout(std::uint64_t id, int n) {
  const Attempt* p = find_open_attempt(id, n);
  if (!p) return;
  finish_attempt(
      id, n,
      p->phase == AttemptPhase::connecting ? AttemptOutcome::connect_failed : AttemptOutcome::timed_out, {});
}

void Simulation::cancel_attempt(std::uint32_t, const Decision& d) {
  const std::uint64_t id = parse_rpc_id(d.rpc_id);
  if (find_open_attempt(id, d.attempt_index))
    finish_attempt(id, d.attempt_index, AttemptOutcome::cancelled, {});
}

void Simulation::answer_rpc(std::uint64_t id, RpcAnswer a, double advice) {
  OpenRpc& r = rpcs_.at(id);
  if (r.concluded) return;
  r.concluded = true;
  TraceEvent e{TraceEvent::Kind::answered};
  e.rpc = id;
  e.sidecar = r.sidecar;
  e.answer = a;
  if (!r.attempts.empty()) e.server = r.attempts.back().server;
  trace(e);
  const ClientRequest& t = requests_.at(r.request);
  const bool in_time =
      events_.now() - t.arrived_at_ms <= scenario_.methods[t.method].method.latency_objective_ms;
  if (a == RpcAnswer::ok)
    conclude_request(r.request, in_time ? RequestOutcome::ok : RequestOutcome::late);
  else
    retry_or_conclude(r.request, a == RpcAnswer::rejected ? RequestOutcome::rejected : RequestOutcome::failed,
                      advice);
}

void Simulation::erase_if_finished(std::uint64_t id) {
  const auto it = rpcs_.find(id);
  if (it != rpcs_.end() && it->second.concluded && it->second.has_no_open_attempt()) rpcs_.erase(it);
}

void Simulation::keep_idle_connection(std::uint32_t s, std::uint32_t server, std::uint32_t life) {
  if (servers_[server].incarnation != life && !servers_[server].unreachable)
    return release_connection_slot(s, server);  // ended with it
  sidecars_[s].idle_connections[server].push_back({events_.now(), life});
  report_idle_connections(s, server);
  // Retired before the server would close it: a pick written to it then would be a reset.
  constexpr double part = 0.75;
  events_.schedule(events_.now() + part * scenario_.network.idle_timeout_ms, EventPriority::timer,
                   [this, s, server, of = sidecars_[s].incarnation] {
                     if (sidecars_[s].incarnation != of || !sidecars_[s].running) return;
                     std::vector<IdleConnection>& rested = sidecars_[s].idle_connections[server];
                     const double since = events_.now() - part * scenario_.network.idle_timeout_ms;
                     const std::size_t before = rested.size();
                     while (!rested.empty() && rested.front().idle_since_ms <= since) {
                       close_connection(server, rested.front().incarnation);
                       release_connection_slot(s, server);
                       rested.erase(rested.begin());
                     }
                     if (rested.size() != before) report_idle_connections(s, server);
                   });
}

void Simulation::close_connection(std::uint32_t server, std::uint32_t life) {
  if (servers_[server].incarnation == life && servers_[server].connections > 0)
    --servers_[server].connections;
}

void Simulation::start_health_check(std::uint32_t s, std::uint32_t server) {
  SidecarState& c = sidecars_[s];
  using Kind = FleetLimiter::Resource;
  if (c.limiter && (!c.limiter->acquire(Kind::health_check, server_name(server), events_.now()) ||
                    (c.idle_connections[server].empty() &&
                     !c.limiter->open_connection(server_name(server), events_.now())))) {
    events_.schedule(events_.now(), EventPriority::timer, [this, s, server, life = c.incarnation] {
      if (!sidecars_[s].running || sidecars_[s].incarnation != life) return;
      sidecars_[s].policy->on_probe_finished(events_.now(), server_name(server), AttemptOutcome::client_error,
                                             {});
      execute_decisions(s);
    });
    return;
  }
  ++metrics_.health_checks;
  ++current_second().health_checks;
  TraceEvent e{TraceEvent::Kind::health_check_sent};
  e.server = server;
  e.sidecar = s;
  trace(e);
  // Ended at most once: by its answer, a refusal or the time-out.
  const auto over = std::make_shared<bool>(false);
  const auto end = [this, s, server, over, life = sidecars_[s].incarnation](AttemptOutcome how,
                                                                            const LoadReport& report) {
    if (std::exchange(*over, true) || !sidecars_[s].running || sidecars_[s].incarnation != life) return false;
    if (how != AttemptOutcome::ok && how != AttemptOutcome::error) release_connection_slot(s, server);
    sidecars_[s].policy->on_probe_finished(events_.now(), server_name(server), how, report);
    execute_decisions(s);
    return true;
  };
  constexpr double patience = 250;  // the sidecar's own
  events_.schedule(events_.now() + patience, EventPriority::timer,
                   [end] { end(AttemptOutcome::timed_out, {}); });

  const auto answered = [this, s, server, end](std::uint32_t life) {
    ServerState& at = servers_[server];
    if (at.unreachable) return;
    const double back = one_way_delay(at.zone, sidecars_[s].zone);
    if (!at.server->is_running() || at.incarnation != life) {
      events_.schedule(events_.now() + back, EventPriority::network,
                       [end] { end(AttemptOutcome::reset, {}); });
      return;
    }
    roll_second_counters(at);
    metrics_.peak_health_checks_per_second =
        std::max(metrics_.peak_health_checks_per_second, ++at.health_checks_in_second);
    const double when = std::max(events_.now(), at.server->stalled_until_ms());
    events_.schedule(when, EventPriority::server, [this, s, server, end, life, back] {
      LoadReport report;
      if (scenario_.rules.load_reports_enabled) report.in_flight = servers_[server].server->jobs_in_flight();
      const AttemptOutcome how = servers_[server].draining ? AttemptOutcome::error : AttemptOutcome::ok;
      events_.schedule(events_.now() + back, EventPriority::network,
                       [this, s, server, end, life, how, report] {
                         if (end(how, report))
                           keep_idle_connection(s, server, life);
                         else
                           close_connection(server, life);
                       });
    });
  };
  const double there = one_way_delay(sidecars_[s].zone, servers_[server].zone);
  IdleConnection got;
  if (take_idle_connection(s, server, got)) {
    events_.schedule(events_.now() + there, EventPriority::network,
                     [answered, life = got.incarnation] { answered(life); });
    return;
  }
  events_.schedule(events_.now() + there, EventPriority::network, [this, s, server, end, answered] {
    ServerState& at = servers_[server];
    if (at.unreachable) return;
    const double back = one_way_delay(at.zone, sidecars_[s].zone);
    if (!at.server->is_running() || !accept_connection(at)) {
      events_.schedule(events_.now() + back, EventPriority::network,
                       [end] { end(AttemptOutcome::connect_failed, {}); });
      return;
    }
    TraceEvent work{TraceEvent::Kind::attempt_received};
    work.server = server;
    work.sidecar = s;
    work.work_ms = scenario_.network.handshake_work_ms;
    trace(work);
    const std::uint64_t of = ++last_job_id_;
    const std::uint32_t life = at.incarnation;
    jobs_[of] = {0, 0, s};
    at.server->submit(of, scenario_.network.handshake_work_ms);
    const double forth = one_way_delay(sidecars_[s].zone, at.zone);
    events_.schedule(events_.now() + back + scenario_.network.handshake_ms + forth, EventPriority::network,
                     [answered, life] { answered(life); });
  });
}

void Simulation::kill_sidecar(std::uint32_t s) {
  SidecarState& c = sidecars_[s];
  if (!c.running) return;
  c.running = false;
  if (c.stale) c.stale = false, --stale_sidecar_count_;
  c.policy.reset();
  c.subscribed = false;
  TraceEvent e{TraceEvent::Kind::sidecar_died};
  e.sidecar = s;
  trace(e);
  for (auto it = rpcs_.begin(); it != rpcs_.end();) {
    OpenRpc& r = it->second;
    if (r.sidecar != s) {
      ++it;
      continue;
    }
    for (Attempt& p : r.attempts) {
      if (p.phase == AttemptPhase::finished) continue;
      if (p.counted_as_incoming) --servers_[p.server].incoming_attempts;
      if (p.phase == AttemptPhase::sent) {
        close_connection(p.server, p.server_incarnation);
        if (!servers_[p.server].unreachable) servers_[p.server].server->cancel_queued(p.job);
      }
    }
    it = rpcs_.erase(it);
  }
  for (std::uint32_t i = 0; i < c.idle_connections.size(); ++i)
    for (const IdleConnection& k : c.idle_connections[i]) close_connection(i, k.incarnation);
  c.idle_connections.assign(servers_.size(), {});
  std::vector<std::uint64_t> gone;
  for (const auto& [id, t] : requests_)
    if (t.sidecar == s) gone.push_back(id);
  for (const std::uint64_t id : gone) conclude_request(id, RequestOutcome::lost);
}

// ---- the list -----------------------------------------------------------------------------------------

Endpoint Simulation::make_endpoint(std::uint32_t server, EndpointState how) const {
  const ServerState& at = servers_[server];
  return {server_name(server), zone_name(at.zone), at.cell, at.server->started_at_ms(), how};
}

void Simulation::publish_change(std::uint32_t server, EndpointState how) {
  endpoint_changes_.push_back(make_endpoint(server, how));
  changed_servers_.push_back(server);
  if (first_change_at_ms_ < 0) first_change_at_ms_ = events_.now();
  metrics_.endpoint_convergence_ms = 0;
  for (std::uint32_t s = 0; s < sidecars_.size(); ++s) {
    SidecarState& c = sidecars_[s];
    if (!c.running) continue;
    if (!c.stale) c.stale = true, ++stale_sidecar_count_;
    if (!scenario_.discovery.is_polled || c.subscribed) schedule_endpoint_update(s);
  }
}

void Simulation::schedule_endpoint_update(std::uint32_t s) {
  SidecarState& c = sidecars_[s];
  if (c.update_scheduled || discovery_silent_) return;
  c.update_scheduled = true;
  const double after =
      scenario_.discovery.delay_ms + scenario_.discovery.spread_ms * discovery_random_.uniform();
  events_.schedule(events_.now() + after, EventPriority::discovery, [this, s, life = c.incarnation] {
    if (!sidecars_[s].running || sidecars_[s].incarnation != life) return;
    sidecars_[s].update_scheduled = false;
    if (!discovery_silent_ && sidecars_[s].stale) deliver_endpoints(s, false, true);
  });
}

// All that happened since the version that the sidecar knows; at a start, the whole list as it last had it.
void Simulation::deliver_endpoints(std::uint32_t s, bool whole, bool asked) {
  SidecarState& c = sidecars_[s];
  const auto note = [&](std::uint32_t server, const Endpoint& is) {
    if (is.state == EndpointState::ready && is.started_at_ms <= 0) return;
    TraceEvent e{TraceEvent::Kind::endpoint_notified};
    e.sidecar = s;
    e.server = server;
    e.state = is.state;
    e.started_at_ms = is.started_at_ms;
    trace(e);
  };
  if (!whole) {
    const auto from = static_cast<std::ptrdiff_t>(c.known_changes);
    const std::vector<Endpoint> news(endpoint_changes_.begin() + from, endpoint_changes_.end());
    for (std::size_t i = c.known_changes; i < endpoint_changes_.size(); ++i)
      note(changed_servers_[i], endpoint_changes_[i]);
    for (std::size_t i = c.known_changes; i < endpoint_changes_.size(); ++i) {
      if (endpoint_changes_[i].state != EndpointState::gone) continue;
      for (const IdleConnection& k : c.idle_connections[changed_servers_[i]])
        close_connection(changed_servers_[i], k.incarnation), release_connection_slot(s, changed_servers_[i]);
      c.idle_connections[changed_servers_[i]].clear();
      report_idle_connections(s, changed_servers_[i]);
    }
    c.known_changes = endpoint_changes_.size();
    mark_up_to_date(s);
    c.policy->update_endpoints(events_.now(), false, asked, news);
    update_limiter_endpoints(s);
    return execute_decisions(s);
  }
  if (asked) {
    c.known_changes = endpoint_changes_.size();
    mark_up_to_date(s);
  }
  std::map<std::uint32_t, Endpoint> all;
  for (std::uint32_t i = 0; i < initial_endpoints_.size(); ++i) all[i] = initial_endpoints_[i];
  for (std::size_t i = 0; i < c.known_changes; ++i) {
    if (endpoint_changes_[i].state == EndpointState::gone)
      all.erase(changed_servers_[i]);
    else
      all[changed_servers_[i]] = endpoint_changes_[i];
  }
  std::vector<Endpoint> entries;
  for (const auto& [server, is] : all) {
    note(server, is);
    entries.push_back(is);
  }
  c.policy->update_endpoints(events_.now(), true, asked, entries);
  update_limiter_endpoints(s);
  execute_decisions(s);
}

void Simulation::mark_up_to_date(std::uint32_t s) {
  if (!sidecars_[s].stale) return;
  sidecars_[s].stale = false;
  if (--stale_sidecar_count_ == 0) metrics_.endpoint_convergence_ms = events_.now() - first_change_at_ms_;
}

// One service for all: it works on one call after the other, and what was given up on still fills its queue.
void Simulation::poll_discovery(std::uint32_t s) {
  SidecarState& c = sidecars_[s];
  if (c.limiter && !c.limiter->acquire(FleetLimiter::Resource::discovery_poll, "", events_.now())) {
    events_.schedule(
        events_.now() + c.limiter->next_slot_delay_ms(FleetLimiter::Resource::discovery_poll, events_.now()),
        EventPriority::discovery, [this, s, life = c.incarnation] {
          if (sidecars_[s].running && sidecars_[s].incarnation == life) poll_discovery(s);
        });
    return;
  }
  ++metrics_.discovery_polls;
  ++current_second().discovery_polls;
  const std::uint64_t call = c.pending_poll = ++last_poll_id_;
  const bool whole = c.full_list_next;
  constexpr double gives_up = 1500;  // the sidecar's own
  events_.schedule(events_.now() + gives_up, EventPriority::discovery,
                   [this, s, call] { on_poll_failed(s, call); });
  events_.schedule(events_.now() + one_way_delay(c.zone, 0), EventPriority::network, [this, s, call, whole] {
    if (discovery_silent_) return;
    if (discovery_queue_length_ >= static_cast<std::size_t>(scenario_.discovery.queue_capacity) + 1) {
      ++metrics_.discovery_rejections;
      events_.schedule(events_.now() + one_way_delay(0, sidecars_[s].zone), EventPriority::network,
                       [this, s, call] { on_poll_failed(s, call); });
      return;
    }
    ++discovery_queue_length_;
    discovery_free_at_ms_ =
        std::max(discovery_free_at_ms_, events_.now()) +
        (whole ? scenario_.discovery.full_list_work_ms : scenario_.discovery.changes_work_ms) *
            discovery_slowdown_;
    events_.schedule(discovery_free_at_ms_, EventPriority::discovery, [this, s, call, whole] {
      --discovery_queue_length_;
      events_.schedule(events_.now() + one_way_delay(0, sidecars_[s].zone), EventPriority::network,
                       [this, s, call, whole] {
                         SidecarState& to = sidecars_[s];
                         if (!to.running || to.pending_poll != call || discovery_silent_) return;
                         to.pending_poll = 0;
                         to.subscribed = true;
                         to.full_list_next = false;
                         deliver_endpoints(s, whole, true);
                       });
    });
  });
}

void Simulation::on_poll_failed(std::uint32_t s, std::uint64_t call) {
  SidecarState& c = sidecars_[s];
  if (!c.running || c.pending_poll != call) return;
  c.pending_poll = 0;
  c.subscribed = false;
  c.full_list_next = true;
  c.policy->endpoint_poll_failed(events_.now());
  execute_decisions(s);
}

// ---- servers ------------------------------------------------------------------------------------------

// machine: it says nothing any more; else its connections end and new ones are refused.
void Simulation::stop_server(std::uint32_t server, bool machine, bool noticed) {
  ServerState& at = servers_[server];
  at.unreachable = machine;
  if (at.server->is_running()) at.server->terminate();
  at.connections = 0;
  if (!machine) {
    ++at.incarnation;
    // Who holds a connection there sees it end a trip later.
    events_.schedule(events_.now() + scenario_.network.delay_ms, EventPriority::network, [this, server] {
      for (std::uint32_t s = 0; s < sidecars_.size(); ++s) {
        std::vector<IdleConnection>& rested = sidecars_[s].idle_connections[server];
        const auto ended_ones = std::erase_if(
            rested, [&](const IdleConnection& k) { return k.incarnation != servers_[server].incarnation; });
        for (std::size_t i = 0; i < ended_ones; ++i) release_connection_slot(s, server);
        if (ended_ones > 0 && sidecars_[s].running) report_idle_connections(s, server);
      }
    });
  }
  if (!noticed) return;
  events_.schedule(
      events_.now() + scenario_.discovery.detection_ms, EventPriority::discovery,
      [this, server, life = at.incarnation] {
        ServerState& then = servers_[server];
        if (then.incarnation != life || (then.server->is_running() && !then.unreachable) || !then.advertised)
          return;
        then.advertised = false;
        publish_change(server, EndpointState::gone);
      });
}

void Simulation::restart_server(std::uint32_t server) {
  ServerState& at = servers_[server];
  if (at.unreachable) ++at.incarnation, at.connections = 0;
  at.unreachable = at.draining = false;
  at.advertised = true;
  at.server->restart();
  trace_server_state(server);
  publish_change(server, EndpointState::ready);
}

double Simulation::true_response_time(std::uint32_t s, std::uint32_t server) const {
  constexpr double hopeless = 1e12;
  const ServerState& at = servers_[server];
  if (at.unreachable || at.draining || !at.server->is_running()) return hopeless;
  double mean = 0, shares = 0;
  for (const MethodWorkload& k : scenario_.methods) mean += k.share * k.work_ms.mean, shares += k.share;
  mean /= shares;
  const double rate = at.server->service_rate();
  const double on_the_way =
      static_cast<double>(at.incoming_attempts) * mean / (rate * at.server->config().cores);
  const double there =
      scenario_.network.delay_ms + (at.zone == sidecars_[s].zone ? 0 : scenario_.network.cross_zone_ms);
  const bool fresh = sidecars_[s].idle_connections[server].empty();
  const double joining =
      fresh ? scenario_.network.handshake_ms + scenario_.network.handshake_work_ms / rate + 2 * there : 0;
  return at.server->queueing_delay_ms() + on_the_way + mean / rate + 2 * there + joining;
}

// ---- all of it ----------------------------------------------------------------------------------------

// One way. What is lost comes after the retransmission's time, doubled each time, as TCP sends it again.
double Simulation::one_way_delay(int from_zone, int to_zone) {
  double takes = scenario_.network.delay_ms + network_random_.exponential(scenario_.network.jitter_ms) +
                 (from_zone == to_zone ? 0 : scenario_.network.cross_zone_ms);
  constexpr double longest_wait = 10000;
  for (double again = scenario_.network.retransmit_ms;
       again < longest_wait && network_random_.bernoulli(packet_loss_); again *= 2)
    takes += again;
  return takes;
}

void Simulation::trace(TraceEvent e) {
  e.time_ms = events_.now();
  for (TraceListener* w : listeners_) w->on_event(e);
}

SecondMetrics& Simulation::current_second() {
  const auto at = static_cast<std::size_t>(events_.now() / ms_per_s);
  if (metrics_.seconds.size() <= at) metrics_.seconds.resize(at + 1);
  return metrics_.seconds[at];
}

bool Simulation::run_next_event() {
  const bool more = events_.run_next(end_at_ms_);
  if (more) ++metrics_.events;
  return more;
}

RunMetrics Simulation::run_to_end() {
  while (run_next_event()) {
  }
  metrics_.open_at_end = requests_.size();
  for (const SecondMetrics& sec : metrics_.seconds)
    metrics_.peak_discovery_polls_per_second =
        std::max(metrics_.peak_discovery_polls_per_second, sec.discovery_polls);
  using Kind = FleetLimiter::Resource;
  for (const SidecarState& c : sidecars_)
    for (const Kind k : {Kind::connection, Kind::handshake, Kind::health_check, Kind::discovery_poll})
      if (c.limiter) metrics_.limit_denials += c.limiter->counts(k).denied;
  TraceEvent e{TraceEvent::Kind::run_ended};
  trace(e);
  return metrics_;
}

bool Simulation::is_conserved() const {
  return metrics_.arrived == metrics_.ok + metrics_.late + metrics_.rejected + metrics_.failed +
                                 metrics_.unanswered + metrics_.lost + requests_.size();
}

RunMetrics run_simulation(const Scenario& s, PolicyKind by, std::uint64_t seed, TraceListener* more) {
  RuleChecker checks(
      {s.rules.drain_grace_ms, s.rules.slow_start_overload_factor, s.rules.slow_start_window_ms});
  std::vector<TraceListener*> listeners{&checks};
  if (more) listeners.push_back(more);
  Simulation w(s, by, seed, listeners);
  RunMetrics f = w.run_to_end();
  f.violations = checks.violations();
  f.violation_count = checks.count();
  f.peak_slow_start_overload = checks.peak_slow_start_overload();
  return f;
}

}  // namespace indigorill::emulator
