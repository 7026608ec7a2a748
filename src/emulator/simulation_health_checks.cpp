// Health checks: each uses an idle connection or a new one, and finishes at most once: with its response,
// with a refused or reset connection, or with its timeout.
#include <algorithm>

#include "emulator/simulation.h"

namespace indigorill::emulator {
namespace {

constexpr double health_check_timeout_ms = 250;  // the value of the real sidecar

}  // namespace

bool Simulation::acquire_health_check(std::uint32_t sidecar, std::uint32_t server) {
  const SidecarState& state = sidecars_[sidecar];
  if (!state.limiter) return true;
  const std::string name = server_name(server);
  if (!state.limiter->acquire(FleetLimiter::Resource::health_check, name, events_.now())) return false;
  return !state.idle_connections[server].empty() || state.limiter->open_connection(name, events_.now());
}

void Simulation::start_health_check(std::uint32_t sidecar, std::uint32_t server) {
  const HealthCheck check{.id = ++last_health_check_id_,
                          .sidecar = sidecar,
                          .sidecar_incarnation = sidecars_[sidecar].incarnation,
                          .server = server};
  if (!acquire_health_check(sidecar, server)) {
    events_.schedule(events_.now(), EventPriority::timer, [this, check] {
      if (!is_same_process(check.sidecar, check.sidecar_incarnation)) return;
      sidecars_[check.sidecar].policy->on_probe_finished(events_.now(), server_name(check.server),
                                                         AttemptOutcome::client_error, {});
      execute_decisions(check.sidecar);
    });
    return;
  }
  ++metrics_.health_checks;
  ++current_second().health_checks;
  TraceEvent event{TraceEvent::Kind::health_check_sent};
  event.server = server;
  event.sidecar = sidecar;
  trace(event);
  open_health_checks_.insert(check.id);
  events_.schedule(events_.now() + health_check_timeout_ms, EventPriority::timer,
                   [this, check] { finish_health_check(check, AttemptOutcome::timed_out, {}); });
  const double delay_ms = one_way_delay(sidecars_[sidecar].zone, servers_[server].zone);
  IdleConnection connection{};
  if (take_idle_connection(sidecar, server, connection)) {
    events_.schedule(events_.now() + delay_ms, EventPriority::network,
                     [this, check, incarnation = connection.server_incarnation] {
                       on_health_check_received(check, incarnation);
                     });
    return;
  }
  events_.schedule(events_.now() + delay_ms, EventPriority::network,
                   [this, check] { connect_health_check(check); });
}

void Simulation::connect_health_check(const HealthCheck& check) {
  ServerState& state = servers_[check.server];
  if (state.unreachable) return;
  const int sidecar_zone = sidecars_[check.sidecar].zone;
  const double return_delay_ms = one_way_delay(state.zone, sidecar_zone);
  if (!state.server->is_running() || !accept_connection(state))
    return finish_health_check_after(return_delay_ms, check, AttemptOutcome::connect_failed);
  TraceEvent event{TraceEvent::Kind::attempt_received};
  event.server = check.server;
  event.sidecar = check.sidecar;
  event.work_ms = scenario_.network.handshake_work_ms;
  trace(event);
  const std::uint64_t job = ++last_job_id_;
  const std::uint32_t incarnation = state.incarnation;
  jobs_[job] = {.attempt = {.rpc = 0, .index = 0}, .sidecar = check.sidecar};
  state.server->submit(job, scenario_.network.handshake_work_ms);
  const double request_delay_ms = one_way_delay(sidecar_zone, state.zone);
  events_.schedule(events_.now() + return_delay_ms + scenario_.network.handshake_ms + request_delay_ms,
                   EventPriority::network,
                   [this, check, incarnation] { on_health_check_received(check, incarnation); });
}

void Simulation::on_health_check_received(const HealthCheck& check, std::uint32_t server_incarnation) {
  ServerState& state = servers_[check.server];
  if (state.unreachable) return;
  const double return_delay_ms = one_way_delay(state.zone, sidecars_[check.sidecar].zone);
  if (!state.server->is_running() || state.incarnation != server_incarnation)
    return finish_health_check_after(return_delay_ms, check, AttemptOutcome::reset);
  roll_second_counters(state);
  ++state.health_checks_in_second;
  metrics_.peak_health_checks_per_second =
      std::max(metrics_.peak_health_checks_per_second, state.health_checks_in_second);
  const double answered_at_ms = std::max(events_.now(), state.server->stalled_until_ms());
  events_.schedule(answered_at_ms, EventPriority::server, [this, check, server_incarnation, return_delay_ms] {
    answer_health_check(check, server_incarnation, return_delay_ms);
  });
}

void Simulation::answer_health_check(const HealthCheck& check, std::uint32_t server_incarnation,
                                     double return_delay_ms) {
  const ServerState& state = servers_[check.server];
  LoadReport report;
  if (scenario_.rules.load_reports_enabled) report.in_flight = state.server->jobs_in_flight();
  const AttemptOutcome outcome = state.draining ? AttemptOutcome::error : AttemptOutcome::ok;
  events_.schedule(events_.now() + return_delay_ms, EventPriority::network,
                   [this, check, server_incarnation, outcome, report] {
                     if (finish_health_check(check, outcome, report))
                       keep_idle_connection(check.sidecar, check.server, server_incarnation);
                     else
                       close_connection(check.server, server_incarnation);
                   });
}

void Simulation::finish_health_check_after(double delay_ms, const HealthCheck& check,
                                           AttemptOutcome outcome) {
  events_.schedule(events_.now() + delay_ms, EventPriority::network,
                   [this, check, outcome] { finish_health_check(check, outcome, {}); });
}

// Returns false if the check was finished before or its sidecar's process has ended.
bool Simulation::finish_health_check(const HealthCheck& check, AttemptOutcome outcome,
                                     const LoadReport& report) {
  if (open_health_checks_.erase(check.id) == 0) return false;
  if (!is_same_process(check.sidecar, check.sidecar_incarnation)) return false;
  const bool connection_ended = outcome != AttemptOutcome::ok && outcome != AttemptOutcome::error;
  if (connection_ended) release_connection_slot(check.sidecar, check.server);
  sidecars_[check.sidecar].policy->on_probe_finished(events_.now(), server_name(check.server), outcome,
                                                     report);
  execute_decisions(check.sidecar);
  return true;
}

}  // namespace indigorill::emulator
