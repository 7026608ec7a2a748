#include "load/fake_fleet.h"

#include <algorithm>
#include <utility>

#include "emulator/workload.h"
#include "load/http_response.h"
#include "load/loopback.h"

namespace indigorill::load_generator {

using emulator::EmulatedServer;
using emulator::EventPriority;
using emulator::Fault;
using emulator::RandomPurpose;
using emulator::RandomStream;

namespace {

constexpr const char* rejected_header = "X-Rejected: 1\r\n";

// Parses X-Budget, for example "12m" (milliseconds) or "12000u" (microseconds); returns 0 if it is missing or
// invalid.
double parse_budget_ms(const http::Message& request) {
  constexpr double us_per_ms = 1000;
  const std::string_view value = request.find_header("X-Budget").value_or("");
  if (value.empty()) return 0;
  const double number = parse_positive(value.substr(0, value.size() - 1));
  return value.back() == 'u' ? number / us_per_ms : number;
}

std::string format_load(double jobs_in_flight) {
  return "outstanding=" + std::to_string(static_cast<int>(jobs_in_flight));
}

}  // namespace

std::uint16_t port_of(std::uint16_t base_port, std::size_t offset) {
  return base_port == 0 ? 0 : static_cast<std::uint16_t>(base_port + offset);
}

std::vector<std::string> find_unsupported_features(const emulator::Scenario& scenario) {
  std::vector<std::string> features;
  if (scenario.network.loss_rate > 0) features.emplace_back("net.loss is not supported on loopback");
  for (const Fault& fault : scenario.faults) {
    if (fault.kind == Fault::Kind::packet_loss)
      features.emplace_back("trouble loss is not supported on loopback");
  }
  return features;
}

FakeFleet::FakeFleet(EventLoop& loop, FileDescriptorBudget& descriptors, WallClockScheduler& clock,
                     const emulator::Scenario& scenario, std::uint64_t seed, std::uint16_t base_port)
    : loop_(loop),
      descriptors_(descriptors),
      clock_(clock),
      scenario_(scenario),
      seed_(seed),
      base_port_(base_port),
      discovery_random_(emulator::derive_seed(seed, RandomPurpose::discovery)) {
  RandomStream speed_random(emulator::derive_seed(seed_, RandomPurpose::servers));
  for (const emulator::ServerGroup& group : scenario_.servers) {
    const emulator::Distribution speed{emulator::DistributionShape::lognormal, group.speed,
                                       group.speed_spread};
    for (int i = 0; i < group.count; ++i)
      add_server(group, i % group.zones, i % group.cells, speed_random.sample(speed));
  }
  for (std::size_t i = 0; i < static_cast<std::size_t>(scenario_.sidecars); ++i) add_agent();
}

std::size_t FakeFleet::add_server(const emulator::ServerGroup& group, int zone, int cell, double speed) {
  const std::size_t index = servers_.size();
  servers_.push_back(std::make_unique<ServerState>());
  ServerState& state = *servers_.back();
  state.group = &group;
  state.zone = zone;
  state.cell = cell;
  state.speed = speed;
  const EmulatedServer::Config config = emulator::make_server_config(group, speed, scenario_.rules);
  const std::uint64_t seed = emulator::derive_seed(seed_, RandomPurpose::server_errors, index);
  state.server = std::make_unique<EmulatedServer>(clock_.queue(), config, seed, server_callbacks(index));
  state.listener = std::make_unique<HttpListener>(
      loop_, descriptors_,
      [this, index](std::uint64_t connection, const http::Message& request) {
        on_request(index, connection, request);
      },
      [this, index](std::uint64_t connection) { on_connection_closed(index, connection); },
      port_of(base_port_, server_port_offset + index));
  state.listener->open();
  return index;
}

EmulatedServer::Callbacks FakeFleet::server_callbacks(std::size_t server) {
  EmulatedServer::Callbacks callbacks;
  callbacks.on_started = [this, server](std::uint64_t job) { on_job_started(server, job); };
  callbacks.on_finished = [this, server](std::uint64_t job, EmulatedServer::JobOutcome outcome,
                                         double jobs_in_flight) {
    on_job_finished(server, job, outcome, jobs_in_flight);
  };
  callbacks.on_crashed = [this, server] {
    ++counters_.crashes;
    stop_server(server, StopCause::process_ended);
  };
  return callbacks;
}

void FakeFleet::on_request(std::size_t server, std::uint64_t connection, const http::Message& request) {
  clock_.run_due_events();
  ServerState& state = *servers_[server];
  const bool is_new_connection = state.used_connections.insert(connection).second;
  if (is_new_connection) ++counters_.connections;
  if (request.slice(request.target).starts_with("/-/")) return on_health_check(server, connection);
  on_rpc(server, connection, request, is_new_connection ? scenario_.network.handshake_work_ms : 0);
}

void FakeFleet::on_health_check(std::size_t server, std::uint64_t connection) {
  const ServerState& state = *servers_[server];
  ++counters_.health_checks;
  std::string report;
  if (scenario_.rules.load_reports_enabled) report = format_load(state.server->jobs_in_flight());
  if (state.server->stalled_until_ms() <= clock_.now()) {
    const int status = state.draining ? unavailable_status : ok_status;
    return state.listener->send_answer(connection, format_response(status, report));
  }
  clock_.schedule(state.server->stalled_until_ms(), EventPriority::server,
                  [this, server, connection, report] {
                    servers_[server]->listener->send_answer(connection, format_response(ok_status, report));
                  });
}

void FakeFleet::on_rpc(std::size_t server, std::uint64_t connection, const http::Message& request,
                       double handshake_work_ms) {
  ServerState& state = *servers_[server];
  const auto rpc_id = request.find_header("X-Call-Id");
  const double work_ms = parse_positive(request.find_header("X-Work").value_or(""));
  if (!rpc_id || work_ms <= 0) {
    ++counters_.malformed_requests;
    return state.listener->send_answer(connection, format_response(bad_request_status, ""));
  }
  RpcObservation& observation = observations_[std::string(*rpc_id)];
  ++observation.received;
  observation.attempts.push_back(
      {.server = server, .received_at_ms = clock_.now(), .time_budget_ms = parse_budget_ms(request)});
  if (observation.received > 1) retry_times_.push_back(clock_.now());
  if (state.draining)
    return state.listener->send_answer(connection, format_response(unavailable_status, "", rejected_header));
  const std::uint64_t job = ++last_job_id_;
  state.jobs[job] = {std::string(*rpc_id), connection};
  state.server->submit(job, work_ms + handshake_work_ms);
  clock_.run_due_events();
}

std::size_t FakeFleet::max_retries_within(double window_ms) const {
  std::size_t highest = 0;
  std::size_t first = 0;
  for (std::size_t last = 0; last < retry_times_.size(); ++last) {
    while (retry_times_[first] + window_ms <= retry_times_[last]) ++first;
    highest = std::max(highest, last - first + 1);
  }
  return highest;
}

void FakeFleet::on_job_started(std::size_t server, std::uint64_t job) {
  const auto found = servers_[server]->jobs.find(job);
  if (found != servers_[server]->jobs.end()) ++observations_[found->second.rpc_id].executed;
}

void FakeFleet::on_job_finished(std::size_t server, std::uint64_t job_id, EmulatedServer::JobOutcome outcome,
                                double jobs_in_flight) {
  ServerState& state = *servers_[server];
  const auto found = state.jobs.find(job_id);
  if (found == state.jobs.end()) return;
  const std::uint64_t connection = found->second.connection;
  state.jobs.erase(found);
  std::string headers;
  if (scenario_.rules.load_reports_enabled)
    headers = "X-Load-Report: " + format_load(jobs_in_flight) + "\r\n";
  switch (outcome) {
    case EmulatedServer::JobOutcome::served:
      return state.listener->send_answer(connection, format_response(ok_status, "done", headers));
    case EmulatedServer::JobOutcome::error:
      return state.listener->send_answer(connection, format_response(server_error_status, "", headers));
    case EmulatedServer::JobOutcome::queue_full:
      return state.listener->send_answer(connection,
                                         format_response(unavailable_status, "", headers + rejected_header));
    case EmulatedServer::JobOutcome::lost:
      return;  // no answer: the connection ends with the process
  }
}

void FakeFleet::on_connection_closed(std::size_t server, std::uint64_t connection) {
  ServerState& state = *servers_[server];
  state.used_connections.erase(connection);
  for (auto job = state.jobs.begin(); job != state.jobs.end();) {
    if (job->second.connection != connection) {
      ++job;
      continue;
    }
    const std::uint64_t id = job->first;
    job = state.jobs.erase(job);
    state.server->cancel_queued(id);
  }
}

void FakeFleet::stop_server(std::size_t server, StopCause cause) {
  ServerState& state = *servers_[server];
  state.unreachable = cause == StopCause::machine_lost;
  if (state.server->is_running()) state.server->terminate();
  state.jobs.clear();
  if (cause == StopCause::machine_lost)
    state.listener->freeze();
  else
    state.listener->close_all();
  clock_.schedule(clock_.queue().now() + scenario_.discovery.detection_ms, EventPriority::discovery,
                  [this, server] { on_stop_detected(server); });
}

void FakeFleet::on_stop_detected(std::size_t server) {
  ServerState& state = *servers_[server];
  const bool is_back = state.server->is_running() && !state.unreachable;
  if (is_back || !state.advertised) return;
  state.advertised = false;
  publish_change(server, EndpointState::gone);
}

void FakeFleet::restart_server(std::size_t server) {
  ServerState& state = *servers_[server];
  state.server->restart();
  state.draining = false;
  state.advertised = true;
  state.unreachable = false;
  // The restarted server is another process, possibly on another machine: connections of the former process
  // end and their unread data is dropped.
  state.listener->close_all();
  state.listener->open();
  publish_change(server, EndpointState::ready);
}

void FakeFleet::schedule_fault_event(double time_ms, emulator::EventQueue::Callback callback) {
  clock_.schedule(time_ms, EventPriority::fault, std::move(callback));
}

void FakeFleet::schedule_fault(const Fault& fault, std::size_t index) {
  using Kind = Fault::Kind;
  if (fault.kind == Kind::discovery_overload) return schedule_discovery_overload(fault);
  if (fault.kind == Kind::discovery_outage) return schedule_discovery_outage(fault);
  if (fault.kind == Kind::lose_zone) return schedule_zone_loss(fault);
  RandomStream random(emulator::derive_seed(seed_, RandomPurpose::fault_schedule, index + 1));
  for (const std::size_t server : emulator::sample_indices(servers_.size(), fault.share, random))
    schedule_server_fault(fault, server, fault.start_ms + fault.spread_ms * random.uniform());
}

void FakeFleet::schedule_zone_loss(const Fault& fault) {
  for (std::size_t server = 0; server < servers_.size(); ++server) {
    if (servers_[server]->zone != fault.zone) continue;
    schedule_fault_event(fault.start_ms, [this, server] { stop_server(server, StopCause::machine_lost); });
    schedule_fault_event(fault.start_ms + fault.duration_ms, [this, server] { restart_server(server); });
  }
}

void FakeFleet::schedule_server_fault(const Fault& fault, std::size_t server, double start_ms) {
  using Kind = Fault::Kind;
  const double end_ms = start_ms + fault.duration_ms;
  const double factor = fault.factor;
  EmulatedServer& emulated = *servers_[server]->server;
  switch (fault.kind) {
    case Kind::kill_servers:
      schedule_fault_event(start_ms, [this, server] { stop_server(server, StopCause::process_ended); });
      return schedule_fault_event(end_ms, [this, server] { restart_server(server); });
    case Kind::drain_servers:
    case Kind::replace_servers:
      schedule_fault_event(start_ms, [this, server, kind = fault.kind] { start_draining(server, kind); });
      return schedule_fault_event(end_ms,
                                  [this, server, kind = fault.kind] { finish_draining(server, kind); });
    case Kind::stall_servers:
      return schedule_fault_event(
          start_ms, [&emulated, until_ms = fault.start_ms + fault.duration_ms] { emulated.stall(until_ms); });
    case Kind::slow_servers:
      schedule_fault_event(start_ms, [&emulated, factor] { emulated.set_slowdown(factor); });
      return schedule_fault_event(end_ms, [&emulated] { emulated.set_slowdown(1); });
    case Kind::server_errors:
      schedule_fault_event(start_ms, [&emulated, factor] { emulated.set_error_rate(factor); });
      return schedule_fault_event(end_ms, [&emulated, error_rate = servers_[server]->group->error_rate] {
        emulated.set_error_rate(error_rate);
      });
    default:
      return;  // not a fault of servers
  }
}

void FakeFleet::start_draining(std::size_t server, Fault::Kind kind) {
  servers_[server]->draining = true;
  publish_change(server, EndpointState::draining);
  if (kind != Fault::Kind::replace_servers) return;
  const ServerState& replaced = *servers_[server];
  restart_server(add_server(*replaced.group, replaced.zone, replaced.cell, replaced.speed));
}

void FakeFleet::finish_draining(std::size_t server, Fault::Kind kind) {
  servers_[server]->advertised = false;
  stop_server(server, StopCause::process_ended);
  publish_change(server, EndpointState::gone);
  if (kind != Fault::Kind::replace_servers) restart_server(server);
}

}  // namespace indigorill::load_generator
