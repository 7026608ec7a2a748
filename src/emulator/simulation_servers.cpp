// Servers: how they are added, stopped, crashed and restarted.
#include <utility>

#include "emulator/simulation.h"

namespace indigorill::emulator {

std::uint32_t Simulation::add_server(const ServerGroup& group, int zone, int cell, double speed) {
  const auto index = static_cast<std::uint32_t>(servers_.size());
  ServerState& state = servers_.emplace_back();
  state.zone = zone;
  state.cell = cell;
  state.group = &group;
  state.speed = speed;
  const EmulatedServer::Config config = make_server_config(group, speed, scenario_.rules);
  EmulatedServer::Callbacks callbacks;
  callbacks.on_started = [this, index](std::uint64_t job) { on_job_started(index, job); };
  callbacks.on_finished = [this, index](std::uint64_t job, EmulatedServer::JobOutcome outcome,
                                        double jobs_in_flight) {
    on_job_finished(index, job, outcome, jobs_in_flight);
  };
  callbacks.on_crashed = [this, index] {
    ++metrics_.crashes;
    crash_server(index, StopCause::process_ended);
  };
  state.server = std::make_unique<EmulatedServer>(
      events_, config, derive_seed(seed_, RandomPurpose::server_errors, index), std::move(callbacks));
  trace_server_state(index);
  return index;
}

void Simulation::trace_server_state(std::uint32_t server) {
  const ServerState& state = servers_[server];
  TraceEvent event{TraceEvent::Kind::server_state};
  event.server = server;
  event.capacity = state.group->cores * state.speed;
  event.started_at_ms = state.server->started_at_ms();
  event.slow_start_initial_capacity = state.group->slow_start_initial_capacity;
  event.slow_start_duration_ms = state.group->slow_start_duration_ms;
  event.zone = state.zone;
  event.cell = state.cell;
  trace(event);
}

// A lost machine sends nothing any more. If only the process ends, its connections are reset and new ones are
// refused.
void Simulation::stop_server(std::uint32_t server, StopCause cause) {
  ServerState& state = servers_[server];
  state.unreachable = cause == StopCause::machine_lost;
  if (state.server->is_running()) state.server->terminate();
  state.connections = 0;
  if (cause == StopCause::machine_lost) return;
  ++state.incarnation;
  events_.schedule(events_.now() + scenario_.network.delay_ms, EventPriority::network,
                   [this, server] { on_connections_reset(server); });
}

// Stops the server without notice: the discovery service has to detect it.
void Simulation::crash_server(std::uint32_t server, StopCause cause) {
  stop_server(server, cause);
  events_.schedule(
      events_.now() + scenario_.discovery.detection_ms, EventPriority::discovery,
      [this, server, incarnation = servers_[server].incarnation] { on_crash_detected(server, incarnation); });
}

// Removes the idle connections of all sidecars to the ended process.
void Simulation::on_connections_reset(std::uint32_t server) {
  const std::uint32_t incarnation = servers_[server].incarnation;
  for (std::uint32_t sidecar = 0; sidecar < sidecars_.size(); ++sidecar) {
    const auto ended = std::erase_if(
        sidecars_[sidecar].idle_connections[server],
        [&](const IdleConnection& connection) { return connection.server_incarnation != incarnation; });
    for (std::size_t i = 0; i < ended; ++i) release_connection_slot(sidecar, server);
    if (ended > 0 && sidecars_[sidecar].running) report_idle_connections(sidecar, server);
  }
}

void Simulation::on_crash_detected(std::uint32_t server, std::uint32_t incarnation) {
  ServerState& state = servers_[server];
  const bool is_back = state.server->is_running() && !state.unreachable;
  if (state.incarnation != incarnation || is_back || !state.advertised) return;
  state.advertised = false;
  publish_change(server, EndpointState::gone);
}

void Simulation::restart_server(std::uint32_t server) {
  ServerState& state = servers_[server];
  if (state.unreachable) {
    ++state.incarnation;
    state.connections = 0;
  }
  state.unreachable = false;
  state.draining = false;
  state.advertised = true;
  state.server->restart();
  trace_server_state(server);
  publish_change(server, EndpointState::ready);
}

double Simulation::mean_work_ms() const {
  double work_sum_ms = 0;
  double share_sum = 0;
  for (const MethodWorkload& workload : scenario_.methods) {
    work_sum_ms += workload.share * workload.work_ms.mean;
    share_sum += workload.share;
  }
  return work_sum_ms / share_sum;
}

double Simulation::true_response_time(std::uint32_t sidecar, std::uint32_t server) const {
  constexpr double never_ms = 1e12;
  const ServerState& state = servers_[server];
  if (state.unreachable || state.draining || !state.server->is_running()) return never_ms;
  const double work_ms = mean_work_ms();
  const double rate = state.server->service_rate();
  const double incoming_work_ms = static_cast<double>(state.incoming_attempts) * work_ms;
  const double incoming_ms = incoming_work_ms / (rate * state.server->config().cores);
  const bool same_zone = state.zone == sidecars_[sidecar].zone;
  const double delay_ms = scenario_.network.delay_ms + (same_zone ? 0 : scenario_.network.cross_zone_ms);
  const bool needs_connection = sidecars_[sidecar].idle_connections[server].empty();
  const double connect_ms = needs_connection ? scenario_.network.handshake_ms +
                                                   scenario_.network.handshake_work_ms / rate + 2 * delay_ms
                                             : 0;
  return state.server->queueing_delay_ms() + incoming_ms + work_ms / rate + 2 * delay_ms + connect_ms;
}

}  // namespace indigorill::emulator
