#include "load/fleet.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <nlohmann/json.hpp>

#include "emulator/workload.h"

namespace indigorill::loading {
namespace {

using emulator::EmulatedServer;
using emulator::EventPriority;
using emulator::Fault;

std::string server_name(std::size_t server) { return std::string("s").append(std::to_string(server)); }

std::string format_response(int status, const std::string& body, const std::string& headers = "") {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

double parse_positive(std::string_view text) {
  double v = 0;
  const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), v);
  return fault == std::errc() && end == text.data() + text.size() && std::isfinite(v) && v > 0 ? v : 0;
}

// The value of one field of a query; none: -1.
double query_parameter(std::string_view target, std::string_view field) {
  for (std::size_t at = target.find('?'); at != std::string_view::npos; at = target.find('&', at)) {
    std::string_view pair = target.substr(++at);
    pair = pair.substr(0, pair.find('&'));
    if (pair.starts_with(field) && pair.substr(field.size()).starts_with('='))
      return parse_positive(pair.substr(field.size() + 1));
  }
  return -1;
}

}  // namespace

std::uint16_t port_of(std::uint16_t base, std::size_t which) {
  return base == 0 ? 0 : static_cast<std::uint16_t>(base + which);
}

std::vector<std::string> find_unsupported_features(const emulator::Scenario& s) {
  std::vector<std::string> all;
  if (s.network.loss_rate > 0) all.push_back("net.loss can't be played on loopback");
  for (const Fault& t : s.faults)
    if (t.kind == Fault::Kind::packet_loss) all.push_back("trouble loss can't be played on loopback");
  return all;
}

FakeFleet::FakeFleet(EventLoop& in, FileDescriptorBudget& count, WallClockScheduler& with,
                     const emulator::Scenario& s, std::uint64_t number, std::uint16_t first_port)
    : loop_(in),
      budget_(count),
      clock_(with),
      scenario_(s),
      seed_(number),
      base_port_(first_port),
      discovery_random_(emulator::derive_seed(number, emulator::RandomPurpose::discovery)) {
  emulator::RandomStream speeds(emulator::derive_seed(seed_, emulator::RandomPurpose::servers));
  for (const emulator::ServerGroup& k : scenario_.servers)
    for (int i = 0; i < k.count; ++i)
      add_server(k, i % k.zones, i % k.cells,
                 speeds.sample({emulator::DistributionShape::lognormal, k.speed, k.speed_spread}));
  for (std::size_t i = 0; i < static_cast<std::size_t>(scenario_.sidecars); ++i) {
    agents_.push_back(std::make_unique<FakeAgent>(
        loop_, budget_, [this, i](std::uint64_t c, const http::Message& m) { on_discovery_poll(i, c, m); },
        [this, i](std::uint64_t c) {
          std::erase_if(agents_[i]->watches, [&](const auto& w) { return w.connection == c; });
        },
        port_of(base_port_, i)));
    agents_.back()->listener.open();
  }
}

std::size_t FakeFleet::add_server(const emulator::ServerGroup& k, int zone, int cell, double speed) {
  const std::size_t index = servers_.size();
  servers_.push_back(std::make_unique<ServerState>());
  ServerState& at = *servers_.back();
  at.group = &k;
  at.zone = zone;
  at.cell = cell;
  at.speed = speed;
  at.server = std::make_unique<EmulatedServer>(
      clock_.queue(),
      EmulatedServer::Config{k.cores, k.queue_capacity, speed, k.slow_start_initial_capacity,
                             k.slow_start_duration_ms, k.error_rate, scenario_.rules.slow_start_overload_factor,
                             scenario_.rules.slow_start_window_ms},
      emulator::derive_seed(seed_, emulator::RandomPurpose::server_errors, index),
      EmulatedServer::Callbacks{[this, index](std::uint64_t of) {
                                  const auto it = servers_[index]->jobs.find(of);
                                  if (it != servers_[index]->jobs.end())
                                    ++observations_[it->second.rpc_id].executed;
                                },
                                [this, index](std::uint64_t of, EmulatedServer::JobOutcome how, double held) {
                                  on_job_finished(index, of, how, held);
                                },
                                [this, index] {
                                  ++crashes;
                                  stop_server(index, false);
                                }});
  at.listener = std::make_unique<HttpListener>(
      loop_, budget_, [this, index](std::uint64_t c, const http::Message& m) { on_request(index, c, m); },
      [this, index](std::uint64_t c) { on_connection_closed(index, c); },
      port_of(base_port_, server_port_offset + index));
  at.listener->open();
  return index;
}

void FakeFleet::on_request(std::size_t server, std::uint64_t connection, const http::Message& m) {
  clock_.run_due_events();
  ServerState& at = *servers_[server];
  const std::string_view target = m.slice(m.target);
  const bool first = at.new_connections.emplace(connection, true).second;
  connections += first;
  const std::string report =
      scenario_.rules.load_reports_enabled ? "outstanding=" + std::to_string(static_cast<int>(at.server->jobs_in_flight()))
                              : "";
  if (target.starts_with("/-/")) {
    ++health_checks;
    if (at.server->stalled_until_ms() <= clock_.now())
      return at.listener->send_answer(connection, format_response(at.draining ? 503 : 200, report));
    clock_.schedule(at.server->stalled_until_ms(), EventPriority::server, [this, server, connection, report] {
      servers_[server]->listener->send_answer(connection, format_response(200, report));
    });
    return;
  }
  const auto id = m.find_header("X-Call-Id");
  const double work = parse_positive(m.find_header("X-Work").value_or(""));
  if (!id || work <= 0) {
    ++malformed_requests;
    return at.listener->send_answer(connection, format_response(400, ""));
  }
  if (++observations_[std::string(*id)].received > 1) retry_times_.push_back(clock_.now());
  if (at.draining) return at.listener->send_answer(connection, format_response(503, "", "X-Rejected: 1\r\n"));
  const std::uint64_t of = ++last_job_id_;
  at.jobs[of] = {std::string(*id), connection};
  at.server->submit(of, work + (first ? scenario_.network.handshake_work_ms : 0));
  clock_.run_due_events();
}

std::size_t FakeFleet::max_retries_within(double window) const {
  std::size_t most = 0;
  for (std::size_t first = 0, last = 0; last < retry_times_.size(); ++last) {
    while (retry_times_[first] + window <= retry_times_[last]) ++first;
    most = std::max(most, last - first + 1);
  }
  return most;
}

void FakeFleet::on_job_finished(std::size_t server, std::uint64_t of, EmulatedServer::JobOutcome how,
                                double held) {
  ServerState& at = *servers_[server];
  const auto it = at.jobs.find(of);
  if (it == at.jobs.end()) return;
  const ServerJob was = it->second;
  at.jobs.erase(it);
  std::string headers;
  if (scenario_.rules.load_reports_enabled)
    headers = "X-Load-Report: outstanding=" + std::to_string(static_cast<int>(held)) + "\r\n";
  switch (how) {
    case EmulatedServer::JobOutcome::served:
      return at.listener->send_answer(was.connection, format_response(200, "done", headers));
    case EmulatedServer::JobOutcome::error:
      return at.listener->send_answer(was.connection, format_response(500, "", headers));
    case EmulatedServer::JobOutcome::queue_full:
      return at.listener->send_answer(was.connection,
                                      format_response(503, "", headers + "X-Rejected: 1\r\n"));
    case EmulatedServer::JobOutcome::lost:
      return;  // its connection ends with the process
  }
}

void FakeFleet::on_connection_closed(std::size_t server, std::uint64_t connection) {
  ServerState& at = *servers_[server];
  at.new_connections.erase(connection);
  for (auto it = at.jobs.begin(); it != at.jobs.end();) {
    if (it->second.connection != connection) {
      ++it;
      continue;
    }
    const std::uint64_t of = it->first;
    it = at.jobs.erase(it);
    at.server->cancel_queued(of);
  }
}

void FakeFleet::stop_server(std::size_t server, bool machine) {
  ServerState& at = *servers_[server];
  at.unreachable = machine;
  if (at.server->is_running()) at.server->terminate();
  at.jobs.clear();
  if (machine)
    at.listener->freeze();
  else
    at.listener->close_all();
  clock_.schedule(clock_.queue().now() + scenario_.discovery.detection_ms, EventPriority::discovery,
                  [this, server] {
                    ServerState& then = *servers_[server];
                    if ((then.server->is_running() && !then.unreachable) || !then.advertised) return;
                    then.advertised = false;
                    publish_change(server, EndpointState::gone);
                  });
}

void FakeFleet::restart_server(std::size_t server) {
  ServerState& at = *servers_[server];
  at.server->restart();
  at.draining = false;
  at.advertised = true;
  at.unreachable = false;
  at.listener->close_all();  // it is another process, maybe another machine: what was open ends, unread
  at.listener->open();
  publish_change(server, EndpointState::ready);
}

void FakeFleet::schedule_fault(const Fault& t, std::size_t which) {
  using Kind = Fault::Kind;
  emulator::RandomStream draw(
      emulator::derive_seed(seed_, emulator::RandomPurpose::fault_schedule, which + 1));
  const auto at = [this](double when, emulator::EventQueue::Callback what) {
    clock_.schedule(when, EventPriority::fault, std::move(what));
  };
  const std::vector<std::uint32_t> all = emulator::sample_indices(servers_.size(), t.share, draw);
  const double until = t.start_ms + t.duration_ms;
  switch (t.kind) {
    case Kind::discovery_overload:
      at(t.start_ms, [this, much = t.factor] { discovery_slowdown_ = much; });
      return at(until, [this] { discovery_slowdown_ = 1; });
    case Kind::discovery_outage:
      at(t.start_ms, [this] { discovery_silent_ = true; });
      return at(until, [this] {
        discovery_silent_ = false;
        for (std::size_t i = 0; i < agents_.size(); ++i) schedule_endpoint_update(i);
      });
    case Kind::lose_zone:
      for (std::size_t i = 0; i < servers_.size(); ++i) {
        if (servers_[i]->zone != t.zone) continue;
        at(t.start_ms, [this, i] { stop_server(i, true); });
        at(until, [this, i] { restart_server(i); });
      }
      return;
    default:
      break;
  }
  for (const std::size_t i : all) {
    const double when = t.start_ms + t.spread_ms * draw.uniform(), end = when + t.duration_ms;
    switch (t.kind) {
      case Kind::kill_servers:
        at(when, [this, i] { stop_server(i, false); });
        at(end, [this, i] { restart_server(i); });
        break;
      case Kind::drain_servers:
      case Kind::replace_servers: {
        const bool replaced = t.kind == Kind::replace_servers;
        at(when, [this, i, replaced] {
          servers_[i]->draining = true;
          publish_change(i, EndpointState::draining);
          if (!replaced) return;
          const ServerState& old = *servers_[i];
          restart_server(add_server(*old.group, old.zone, old.cell, old.speed));
        });
        at(end, [this, i, replaced] {
          servers_[i]->advertised = false;
          stop_server(i, false);
          publish_change(i, EndpointState::gone);
          if (!replaced) restart_server(i);
        });
        break;
      }
      case Kind::stall_servers:
        at(when, [this, i, until] { servers_[i]->server->stall(until); });
        break;
      case Kind::slow_servers:
        at(when, [this, i, much = t.factor] { servers_[i]->server->set_slowdown(much); });
        at(end, [this, i] { servers_[i]->server->set_slowdown(1); });
        break;
      case Kind::server_errors:
        at(when, [this, i, much = t.factor] { servers_[i]->server->set_error_rate(much); });
        at(end, [this, i] { servers_[i]->server->set_error_rate(servers_[i]->group->error_rate); });
        break;
      default:
        break;
    }
  }
}

// ---- the list -----------------------------------------------------------------------------------------

std::string FakeFleet::format_endpoint(std::size_t server, EndpointState how) const {
  const ServerState& at = *servers_[server];
  const char* words[] = {"up", "draining", "removed"};
  nlohmann::json e{
      {"instanceId", server_name(server)},
      {"hostPort", format_address(at.listener->address())},
      {"zone", emulator::zone_name(at.zone)},
      {"cell", at.cell},
      {"lifecycle", words[static_cast<std::size_t>(how)]},
      {"startedAtMs", at.server->started_at_ms() > 0 ? clock_.to_unix_ms(at.server->started_at_ms()) : 0}};
  return e.dump();
}

std::string FakeFleet::endpoint_list() const {
  std::string all = R"({"generation":1,"reset":true,"instances":[)";
  for (std::size_t i = 0; i < servers_.size(); ++i)
    all.append(i ? "," : "").append(format_endpoint(i, EndpointState::ready));
  return all + "]}";
}

void FakeFleet::publish_change(std::size_t server, EndpointState how) {
  endpoint_changes_.push_back(format_endpoint(server, how));
  changed_servers_.push_back(server);
  for (std::size_t i = 0; i < agents_.size(); ++i) schedule_endpoint_update(i);
}

void FakeFleet::schedule_endpoint_update(std::size_t which) {
  FakeAgent& a = *agents_[which];
  if (a.update_scheduled || discovery_silent_ || a.known_changes == endpoint_changes_.size()) return;
  a.update_scheduled = true;
  clock_.schedule(clock_.queue().now() + scenario_.discovery.delay_ms +
                      scenario_.discovery.spread_ms * discovery_random_.uniform(),
                  EventPriority::discovery, [this, which] {
                    FakeAgent& to = *agents_[which];
                    to.update_scheduled = false;
                    if (discovery_silent_) return;
                    to.known_changes = endpoint_changes_.size();
                    std::vector<FakeAgent::Watch> waiting;
                    waiting.swap(to.watches);
                    for (const auto& w : waiting) answer_poll(which, w.connection, w.known_changes, false);
                  });
}

void FakeFleet::on_discovery_poll(std::size_t which, std::uint64_t connection, const http::Message& m) {
  clock_.run_due_events();
  ++discovery_polls;
  if (discovery_silent_) return;
  FakeAgent& a = *agents_[which];
  const std::string_view target = m.slice(m.target);
  const double index = query_parameter(target, "index"), wait = query_parameter(target, "wait");
  const bool whole = index < 1 || static_cast<std::size_t>(index) - 1 > a.known_changes;
  const std::size_t from = whole ? 0 : static_cast<std::size_t>(index) - 1;
  if (!whole && from == a.known_changes && wait > 0) {
    a.watches.push_back(
        {connection, from, loop_.schedule_at(loop_.now() + wait, [this, which, connection, from] {
           std::erase_if(agents_[which]->watches, [&](const auto& w) { return w.connection == connection; });
           if (!discovery_silent_) answer_poll(which, connection, from, false);
         })});
    return;
  }
  const double works =
      (whole ? scenario_.discovery.full_list_work_ms : scenario_.discovery.changes_work_ms) * discovery_slowdown_;
  clock_.schedule(clock_.now() + works, EventPriority::discovery, [this, which, connection, from, whole] {
    if (!discovery_silent_) answer_poll(which, connection, from, whole);
  });
}

void FakeFleet::answer_poll(std::size_t which, std::uint64_t connection, std::size_t from, bool whole) {
  FakeAgent& a = *agents_[which];
  std::string body = R"({"generation":)" + std::to_string(a.known_changes + 1) + R"(,"reset":)" +
                     (whole ? "true" : "false") + R"(,"instances":[)";
  bool first = true;
  const auto put = [&](const std::string& e) {
    body.append(first ? "" : ",").append(e);
    first = false;
  };
  if (whole) {
    // As this agent has it: what came later is not known to it.
    std::map<std::size_t, std::string> all;
    const std::size_t at_first = static_cast<std::size_t>(scenario_.initial_server_count());
    for (std::size_t i = 0; i < at_first; ++i) all[i] = format_endpoint(i, EndpointState::ready);
    for (std::size_t i = 0; i < a.known_changes; ++i) {
      if (endpoint_changes_[i].find("\"removed\"") != std::string::npos)
        all.erase(changed_servers_[i]);
      else
        all[changed_servers_[i]] = endpoint_changes_[i];
    }
    for (const auto& [server, e] : all) put(e);
  } else {
    for (std::size_t i = from; i < a.known_changes; ++i) put(endpoint_changes_[i]);
  }
  a.listener.send_answer(connection, format_response(200, body + "]}"));
}

}  // namespace indigorill::loading
