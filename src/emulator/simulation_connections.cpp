// Connections: the idle connections of sidecars, the connections that servers accept, and the limits that all
// sidecars observe together.
#include <algorithm>

#include "emulator/simulation.h"

namespace indigorill::emulator {
namespace {

constexpr double ms_per_second = 1000;
// Sidecars close idle connections after this fraction of the servers' idle timeout, because an attempt that
// is sent while the server closes the connection would be reset.
constexpr double idle_timeout_fraction = 0.75;

}  // namespace

bool Simulation::take_idle_connection(std::uint32_t sidecar, std::uint32_t server, IdleConnection& taken) {
  std::vector<IdleConnection>& idle = sidecars_[sidecar].idle_connections[server];
  if (idle.empty()) return false;
  taken = idle.back();
  idle.pop_back();
  report_idle_connections(sidecar, server);
  return true;
}

void Simulation::keep_idle_connection(std::uint32_t sidecar, std::uint32_t server,
                                      std::uint32_t server_incarnation) {
  const bool ended_with_server =
      servers_[server].incarnation != server_incarnation && !servers_[server].unreachable;
  if (ended_with_server) return release_connection_slot(sidecar, server);
  sidecars_[sidecar].idle_connections[server].push_back({events_.now(), server_incarnation});
  report_idle_connections(sidecar, server);
  const double idle_ms = idle_timeout_fraction * scenario_.network.idle_timeout_ms;
  events_.schedule(events_.now() + idle_ms, EventPriority::timer,
                   [this, sidecar, server, idle_ms, incarnation = sidecars_[sidecar].incarnation] {
                     if (!is_same_process(sidecar, incarnation)) return;
                     close_expired_connections(sidecar, server, events_.now() - idle_ms);
                   });
}

void Simulation::close_expired_connections(std::uint32_t sidecar, std::uint32_t server,
                                           double idle_since_ms) {
  std::vector<IdleConnection>& idle = sidecars_[sidecar].idle_connections[server];
  const std::size_t before = idle.size();
  while (!idle.empty() && idle.front().idle_since_ms <= idle_since_ms) {
    close_connection(server, idle.front().server_incarnation);
    release_connection_slot(sidecar, server);
    idle.erase(idle.begin());
  }
  if (idle.size() != before) report_idle_connections(sidecar, server);
}

void Simulation::report_idle_connections(std::uint32_t sidecar, std::uint32_t server) {
  SidecarState& state = sidecars_[sidecar];
  state.policy->set_idle_connections(server_name(server), state.idle_connections[server].size());
}

void Simulation::roll_second_counters(ServerState& server) {
  const auto second = static_cast<std::int64_t>(events_.now() / ms_per_second);
  if (server.counted_second == second) return;
  server.counted_second = second;
  server.handshakes_in_second = 0;
  server.health_checks_in_second = 0;
}

// Returns false if the server already has its maximum number of connections.
bool Simulation::accept_connection(ServerState& server) {
  if (server.connections >= static_cast<std::uint64_t>(server.group->max_connections)) return false;
  ++server.connections;
  metrics_.peak_connections = std::max(metrics_.peak_connections, server.connections);
  roll_second_counters(server);
  ++server.handshakes_in_second;
  metrics_.peak_handshakes_per_second =
      std::max(metrics_.peak_handshakes_per_second, server.handshakes_in_second);
  ++metrics_.handshakes;
  ++current_second().handshakes;
  return true;
}

// Connections to an earlier process of the server ended with that process and are ignored.
void Simulation::close_connection(std::uint32_t server, std::uint32_t incarnation) {
  ServerState& state = servers_[server];
  if (state.incarnation == incarnation && state.connections > 0) --state.connections;
}

void Simulation::release_connection_slot(std::uint32_t sidecar, std::uint32_t server) {
  if (sidecars_[sidecar].limiter) sidecars_[sidecar].limiter->release_connection(server_name(server));
}

// Called before each decision, so that the policy knows the servers to which no new connection may be opened.
void Simulation::apply_limits(std::uint32_t sidecar) {
  SidecarState& state = sidecars_[sidecar];
  if (!state.limiter) return;
  state.connection_limited.resize(servers_.size(), false);
  for (std::uint32_t server = 0; server < servers_.size(); ++server) {
    close_connections_over_limit(sidecar, server);
    const bool is_limited = !state.limiter->may_open_connection(server_name(server), events_.now());
    if (is_limited == static_cast<bool>(state.connection_limited[server])) continue;
    state.connection_limited[server] = static_cast<char>(is_limited);
    state.policy->set_connection_limited(server_name(server), is_limited);
  }
}

void Simulation::close_connections_over_limit(std::uint32_t sidecar, std::uint32_t server) {
  SidecarState& state = sidecars_[sidecar];
  std::vector<IdleConnection>& idle = state.idle_connections[server];
  while (!idle.empty() && !state.limiter->within_connection_limit(server_name(server), events_.now())) {
    close_connection(server, idle.front().server_incarnation);
    release_connection_slot(sidecar, server);
    idle.erase(idle.begin());
    report_idle_connections(sidecar, server);
  }
}

void Simulation::update_limiter_endpoints(std::uint32_t sidecar) {
  SidecarState& state = sidecars_[sidecar];
  if (!state.limiter) return;
  std::vector<std::string> names;
  for (std::uint32_t server = 0; server < servers_.size(); ++server) {
    if (servers_[server].advertised) names.push_back(server_name(server));
  }
  state.limiter->update_endpoints(names);
  state.connection_limited.assign(servers_.size(), false);
  for (std::uint32_t server = 0; server < servers_.size(); ++server)
    state.policy->set_connection_limited(server_name(server), false);
}

}  // namespace indigorill::emulator
