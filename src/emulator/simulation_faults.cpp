// Faults of the scenario. The sidecars or servers that a fault affects are drawn when the fault is scheduled,
// so that events before the fault do not change them.
#include <utility>

#include "emulator/simulation.h"

namespace indigorill::emulator {

void Simulation::schedule_fault_event(double time_ms, EventQueue::Callback callback) {
  events_.schedule(time_ms, EventPriority::fault, std::move(callback));
}

void Simulation::schedule_fault(const Fault& fault, std::size_t index) {
  using Kind = Fault::Kind;
  RandomStream random(derive_seed(seed_, RandomPurpose::fault_schedule, index + 1));
  switch (fault.kind) {
    case Kind::suspend_sidecars:
    case Kind::terminate_sidecars:
    case Kind::gossip_partition:
      return;  // rejected before the run by find_unsupported_feature()
    case Kind::restart_sidecars:
      return schedule_sidecar_restarts(fault, random);
    case Kind::lose_zone:
      return schedule_zone_loss(fault);
    case Kind::kill_servers:
      return schedule_server_kills(fault, random);
    case Kind::replace_servers:
    case Kind::drain_servers:
      return schedule_server_drains(fault, random);
    case Kind::stall_servers:
      return schedule_server_stalls(fault, random);
    case Kind::slow_servers:
      return schedule_server_slowdowns(fault, random);
    case Kind::server_errors:
      return schedule_server_errors(fault, random);
    case Kind::packet_loss:
      return schedule_packet_loss(fault);
    case Kind::load_surge:
      return schedule_load_surge(fault);
    case Kind::discovery_overload:
      return schedule_discovery_overload(fault);
    case Kind::discovery_outage:
      return schedule_discovery_outage(fault);
  }
}

void Simulation::schedule_sidecar_restarts(const Fault& fault, RandomStream& random) {
  for (const std::uint32_t sidecar : sample_indices(sidecars_.size(), fault.share, random)) {
    const double start_ms = fault.start_ms + fault.spread_ms * random.uniform();
    schedule_fault_event(start_ms, [this, sidecar] { kill_sidecar(sidecar); });
    schedule_fault_event(start_ms + fault.duration_ms, [this, sidecar] {
      if (!sidecars_[sidecar].running) start_sidecar(sidecar);
    });
  }
}

void Simulation::schedule_zone_loss(const Fault& fault) {
  for (std::uint32_t server = 0; server < servers_.size(); ++server) {
    if (servers_[server].zone != fault.zone) continue;
    schedule_fault_event(fault.start_ms, [this, server] { crash_server(server, StopCause::machine_lost); });
    schedule_fault_event(fault.start_ms + fault.duration_ms, [this, server] { restart_server(server); });
  }
}

void Simulation::schedule_server_kills(const Fault& fault, RandomStream& random) {
  for (const std::uint32_t server : sample_indices(servers_.size(), fault.share, random)) {
    const double start_ms = fault.start_ms + fault.spread_ms * random.uniform();
    schedule_fault_event(start_ms, [this, server] { crash_server(server, StopCause::process_ended); });
    schedule_fault_event(start_ms + fault.duration_ms, [this, server] { restart_server(server); });
  }
}

void Simulation::schedule_server_drains(const Fault& fault, RandomStream& random) {
  for (const std::uint32_t server : sample_indices(servers_.size(), fault.share, random)) {
    const double start_ms = fault.start_ms + fault.spread_ms * random.uniform();
    schedule_fault_event(start_ms, [this, server, kind = fault.kind] { start_draining(server, kind); });
    schedule_fault_event(start_ms + fault.duration_ms,
                         [this, server, kind = fault.kind] { finish_draining(server, kind); });
  }
}

void Simulation::start_draining(std::uint32_t server, Fault::Kind kind) {
  servers_[server].draining = true;
  publish_change(server, EndpointState::draining);
  if (kind != Fault::Kind::replace_servers) return;
  const ServerState& replaced = servers_[server];
  const std::uint32_t replacement = add_server(*replaced.group, replaced.zone, replaced.cell, replaced.speed);
  for (SidecarState& sidecar : sidecars_) sidecar.idle_connections.resize(servers_.size());
  restart_server(replacement);
}

void Simulation::finish_draining(std::uint32_t server, Fault::Kind kind) {
  stop_server(server, StopCause::process_ended);
  publish_change(server, EndpointState::gone);
  servers_[server].advertised = false;
  if (kind != Fault::Kind::replace_servers) restart_server(server);
}

void Simulation::schedule_server_stalls(const Fault& fault, RandomStream& random) {
  const double end_ms = fault.start_ms + fault.duration_ms;
  for (const std::uint32_t server : sample_indices(servers_.size(), fault.share, random))
    schedule_fault_event(fault.start_ms, [this, server, end_ms] { servers_[server].server->stall(end_ms); });
}

void Simulation::schedule_server_slowdowns(const Fault& fault, RandomStream& random) {
  for (const std::uint32_t server : sample_indices(servers_.size(), fault.share, random)) {
    schedule_fault_event(fault.start_ms, [this, server, factor = fault.factor] {
      servers_[server].server->set_slowdown(factor);
    });
    schedule_fault_event(fault.start_ms + fault.duration_ms,
                         [this, server] { servers_[server].server->set_slowdown(1); });
  }
}

void Simulation::schedule_server_errors(const Fault& fault, RandomStream& random) {
  for (const std::uint32_t server : sample_indices(servers_.size(), fault.share, random)) {
    schedule_fault_event(fault.start_ms, [this, server, error_rate = fault.factor] {
      servers_[server].server->set_error_rate(error_rate);
    });
    schedule_fault_event(fault.start_ms + fault.duration_ms, [this, server] {
      servers_[server].server->set_error_rate(servers_[server].group->error_rate);
    });
  }
}

void Simulation::schedule_packet_loss(const Fault& fault) {
  schedule_fault_event(fault.start_ms, [this, loss_rate = fault.factor] { packet_loss_ = loss_rate; });
  schedule_fault_event(fault.start_ms + fault.duration_ms,
                       [this] { packet_loss_ = scenario_.network.loss_rate; });
}

void Simulation::schedule_load_surge(const Fault& fault) {
  schedule_fault_event(fault.start_ms, [this, factor = fault.factor] { surge_factor_ *= factor; });
  schedule_fault_event(fault.start_ms + fault.duration_ms,
                       [this, factor = fault.factor] { surge_factor_ /= factor; });
}

void Simulation::schedule_discovery_overload(const Fault& fault) {
  schedule_fault_event(fault.start_ms, [this, factor = fault.factor] { discovery_slowdown_ = factor; });
  schedule_fault_event(fault.start_ms + fault.duration_ms, [this] { discovery_slowdown_ = 1; });
}

void Simulation::schedule_discovery_outage(const Fault& fault) {
  schedule_fault_event(fault.start_ms, [this] { stop_discovery(); });
  schedule_fault_event(fault.start_ms + fault.duration_ms, [this] { resume_discovery(); });
}

}  // namespace indigorill::emulator
