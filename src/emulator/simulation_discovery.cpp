// The endpoint list: its changes, how sidecars learn of them, and the discovery service with its queue.
#include <algorithm>
#include <cstddef>
#include <utility>

#include "emulator/simulation.h"

namespace indigorill::emulator {
namespace {

// Timeouts of the real sidecar: of a poll after a successful one, and of a poll after a failed one.
constexpr double poll_timeout_ms = 1500;
constexpr double repeated_poll_timeout_ms = 3000;
// Silence after which a subscribed sidecar considers its watch failed.
constexpr double silence_timeout_ms = 1500;
constexpr int discovery_zone = 0;

}  // namespace

Endpoint Simulation::make_endpoint(std::uint32_t server, EndpointState state) const {
  const ServerState& described = servers_[server];
  Endpoint endpoint;
  endpoint.id = server_name(server);
  endpoint.zone = zone_name(described.zone);
  endpoint.cell = described.cell;
  endpoint.started_at_ms = described.server->started_at_ms();
  endpoint.state = state;
  return endpoint;
}

bool Simulation::receives_updates(const SidecarState& sidecar) const {
  return !scenario_.discovery.is_polled || sidecar.subscribed;
}

void Simulation::publish_change(std::uint32_t server, EndpointState state) {
  endpoint_changes_.push_back(make_endpoint(server, state));
  changed_servers_.push_back(server);
  if (first_change_at_ms_ < 0) first_change_at_ms_ = events_.now();
  metrics_.endpoint_convergence_ms = 0;
  for (std::uint32_t i = 0; i < sidecars_.size(); ++i) {
    SidecarState& sidecar = sidecars_[i];
    if (!sidecar.running) continue;
    if (!sidecar.stale) {
      sidecar.stale = true;
      ++stale_sidecar_count_;
    }
    if (receives_updates(sidecar)) schedule_endpoint_update(i);
  }
}

void Simulation::schedule_endpoint_update(std::uint32_t sidecar) {
  SidecarState& state = sidecars_[sidecar];
  if (state.update_scheduled || discovery_silent_) return;
  state.update_scheduled = true;
  const double delay_ms =
      scenario_.discovery.delay_ms + scenario_.discovery.spread_ms * discovery_random_.uniform();
  events_.schedule(events_.now() + delay_ms, EventPriority::discovery,
                   [this, sidecar, incarnation = state.incarnation] {
                     if (!is_same_process(sidecar, incarnation)) return;
                     sidecars_[sidecar].update_scheduled = false;
                     if (!discovery_silent_ && sidecars_[sidecar].stale) deliver_changes(sidecar);
                   });
}

void Simulation::trace_notification(std::uint32_t sidecar, std::uint32_t server, const Endpoint& endpoint) {
  if (endpoint.state == EndpointState::ready && endpoint.started_at_ms <= 0) return;
  TraceEvent event{TraceEvent::Kind::endpoint_notified};
  event.sidecar = sidecar;
  event.server = server;
  event.state = endpoint.state;
  event.started_at_ms = endpoint.started_at_ms;
  trace(event);
}

void Simulation::close_connections_to_gone_server(std::uint32_t sidecar, std::uint32_t server) {
  std::vector<IdleConnection>& idle = sidecars_[sidecar].idle_connections[server];
  for (const IdleConnection& connection : idle) {
    close_connection(server, connection.server_incarnation);
    release_connection_slot(sidecar, server);
  }
  idle.clear();
  report_idle_connections(sidecar, server);
}

// Delivers all changes since the version that the sidecar knows.
void Simulation::deliver_changes(std::uint32_t sidecar) {
  SidecarState& state = sidecars_[sidecar];
  const std::size_t first = state.known_changes;
  const std::vector<Endpoint> changes(endpoint_changes_.begin() + static_cast<std::ptrdiff_t>(first),
                                      endpoint_changes_.end());
  for (std::size_t i = 0; i < changes.size(); ++i)
    trace_notification(sidecar, changed_servers_[first + i], changes[i]);
  for (std::size_t i = 0; i < changes.size(); ++i) {
    if (changes[i].state == EndpointState::gone)
      close_connections_to_gone_server(sidecar, changed_servers_[first + i]);
  }
  state.known_changes = endpoint_changes_.size();
  mark_up_to_date(sidecar);
  state.policy->update_endpoints(events_.now(), false, receives_updates(state), changes);
  update_limiter_endpoints(sidecar);
  execute_decisions(sidecar);
}

std::map<std::uint32_t, Endpoint> Simulation::endpoints_after(std::size_t change_count) const {
  std::map<std::uint32_t, Endpoint> endpoints;
  for (std::uint32_t server = 0; server < initial_endpoints_.size(); ++server)
    endpoints[server] = initial_endpoints_[server];
  for (std::size_t i = 0; i < change_count; ++i) {
    if (endpoint_changes_[i].state == EndpointState::gone)
      endpoints.erase(changed_servers_[i]);
    else
      endpoints[changed_servers_[i]] = endpoint_changes_[i];
  }
  return endpoints;
}

// ListOrigin::restored is used when a sidecar starts: it gets the list that its previous process had.
void Simulation::deliver_full_list(std::uint32_t sidecar, ListOrigin origin) {
  SidecarState& state = sidecars_[sidecar];
  const bool is_response = origin == ListOrigin::discovery_response;
  if (is_response) {
    state.known_changes = endpoint_changes_.size();
    mark_up_to_date(sidecar);
  }
  std::vector<Endpoint> endpoints;
  for (const auto& [server, endpoint] : endpoints_after(state.known_changes)) {
    trace_notification(sidecar, server, endpoint);
    endpoints.push_back(endpoint);
  }
  state.policy->update_endpoints(events_.now(), true, is_response, endpoints);
  update_limiter_endpoints(sidecar);
  execute_decisions(sidecar);
}

void Simulation::mark_up_to_date(std::uint32_t sidecar) {
  if (!sidecars_[sidecar].stale) return;
  sidecars_[sidecar].stale = false;
  --stale_sidecar_count_;
  if (stale_sidecar_count_ == 0) metrics_.endpoint_convergence_ms = events_.now() - first_change_at_ms_;
}

void Simulation::poll_discovery(std::uint32_t sidecar) {
  using Resource = FleetLimiter::Resource;
  SidecarState& state = sidecars_[sidecar];
  if (state.limiter && !state.limiter->acquire(Resource::discovery_poll, "", events_.now())) {
    const double delay_ms = state.limiter->next_slot_delay_ms(Resource::discovery_poll, events_.now());
    events_.schedule(events_.now() + delay_ms, EventPriority::discovery,
                     [this, sidecar, incarnation = state.incarnation] {
                       if (is_same_process(sidecar, incarnation)) poll_discovery(sidecar);
                     });
    return;
  }
  ++metrics_.discovery_polls;
  ++current_second().discovery_polls;
  const std::uint64_t poll = ++last_poll_id_;
  state.pending_poll = poll;
  state.poll_started_at_ms = events_.now();
  const double timeout_ms = state.full_list_next ? repeated_poll_timeout_ms : poll_timeout_ms;
  events_.schedule(events_.now() + timeout_ms, EventPriority::discovery,
                   [this, sidecar, poll] { on_poll_timeout(sidecar, poll); });
  const double delay_ms = one_way_delay(state.zone, discovery_zone);
  events_.schedule(events_.now() + delay_ms, EventPriority::network,
                   [this, sidecar, poll, full_list = state.full_list_next] {
                     on_poll_received(sidecar, poll, full_list);
                   });
}

// The service processes one poll at a time. Polls on which the sidecar has given up still occupy its queue.
void Simulation::on_poll_received(std::uint32_t sidecar, std::uint64_t poll, bool full_list) {
  if (discovery_silent_) return;
  const auto max_length = static_cast<std::size_t>(scenario_.discovery.queue_capacity) + 1;
  if (discovery_queue_length_ >= max_length) {
    ++metrics_.discovery_rejections;
    const double delay_ms = one_way_delay(discovery_zone, sidecars_[sidecar].zone);
    events_.schedule(events_.now() + delay_ms, EventPriority::network,
                     [this, sidecar, poll] { on_poll_rejected(sidecar, poll); });
    return;
  }
  ++discovery_queue_length_;
  const double work_ms =
      full_list ? scenario_.discovery.full_list_work_ms : scenario_.discovery.changes_work_ms;
  discovery_free_at_ms_ = std::max(discovery_free_at_ms_, events_.now()) + work_ms * discovery_slowdown_;
  events_.schedule(discovery_free_at_ms_, EventPriority::discovery, [this, sidecar, poll, full_list] {
    --discovery_queue_length_;
    const double delay_ms = one_way_delay(discovery_zone, sidecars_[sidecar].zone);
    events_.schedule(events_.now() + delay_ms, EventPriority::network,
                     [this, sidecar, poll, full_list] { on_poll_response(sidecar, poll, full_list); });
  });
}

void Simulation::on_poll_response(std::uint32_t sidecar, std::uint64_t poll, bool full_list) {
  SidecarState& state = sidecars_[sidecar];
  const bool is_awaited = state.pending_poll == poll || state.overdue_poll == poll;
  if (!state.running || !is_awaited || discovery_silent_) return;
  state.pending_poll = 0;
  state.overdue_poll = 0;
  state.subscribed = true;
  state.full_list_next = false;
  if (full_list)
    deliver_full_list(sidecar, ListOrigin::discovery_response);
  else
    deliver_changes(sidecar);
}

// The sidecar stops waiting for the poll, but accepts its response until the next poll times out.
void Simulation::on_poll_timeout(std::uint32_t sidecar, std::uint64_t poll) {
  SidecarState& state = sidecars_[sidecar];
  if (!state.running || state.pending_poll != poll) return;
  state.overdue_poll = poll;
  on_poll_failed(sidecar);
}

void Simulation::on_poll_rejected(std::uint32_t sidecar, std::uint64_t poll) {
  SidecarState& state = sidecars_[sidecar];
  if (state.overdue_poll == poll) state.overdue_poll = 0;
  if (state.running && state.pending_poll == poll) on_poll_failed(sidecar);
}

void Simulation::on_poll_failed(std::uint32_t sidecar) {
  SidecarState& state = sidecars_[sidecar];
  state.pending_poll = 0;
  state.subscribed = false;
  state.full_list_next = true;
  state.policy->endpoint_poll_failed(events_.now(), events_.now() - state.poll_started_at_ms);
  execute_decisions(sidecar);
}

void Simulation::stop_discovery() {
  discovery_silent_ = true;
  for (std::uint32_t sidecar = 0; sidecar < sidecars_.size(); ++sidecar) {
    if (!sidecars_[sidecar].subscribed) continue;
    const std::uint64_t poll = ++last_poll_id_;
    sidecars_[sidecar].pending_poll = poll;
    sidecars_[sidecar].poll_started_at_ms = events_.now();
    events_.schedule(events_.now() + silence_timeout_ms, EventPriority::discovery,
                     [this, sidecar, poll] { on_poll_timeout(sidecar, poll); });
  }
}

void Simulation::resume_discovery() {
  discovery_silent_ = false;
  for (std::uint32_t sidecar = 0; sidecar < sidecars_.size(); ++sidecar) {
    const SidecarState& state = sidecars_[sidecar];
    if (state.running && state.stale && receives_updates(state)) schedule_endpoint_update(sidecar);
  }
}

}  // namespace indigorill::emulator
