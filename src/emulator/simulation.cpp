#include "emulator/simulation.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace indigorill::emulator {
namespace {

constexpr double ms_per_second = 1000;

}  // namespace

Simulation::Simulation(const Scenario& scenario, PolicyKind policy, std::uint64_t seed,
                       std::vector<TraceListener*> listeners)
    : scenario_(scenario),
      policy_(policy),
      seed_(seed),
      listeners_(std::move(listeners)),
      end_at_ms_(scenario.duration_ms + scenario.longest_deadline_ms()),
      network_random_(derive_seed(seed, RandomPurpose::network)),
      discovery_random_(derive_seed(seed, RandomPurpose::discovery)),
      client_random_(derive_seed(seed, RandomPurpose::clients)),
      packet_loss_(scenario.network.loss_rate) {
  add_initial_servers();
  add_sidecars();
  for (std::size_t i = 0; i < scenario_.faults.size(); ++i) schedule_fault(scenario_.faults[i], i);
}

void Simulation::add_initial_servers() {
  RandomStream speed_random(derive_seed(seed_, RandomPurpose::servers));
  for (const ServerGroup& group : scenario_.servers) {
    const Distribution speed{DistributionShape::lognormal, group.speed, group.speed_spread};
    for (int i = 0; i < group.count; ++i)
      add_server(group, i % group.zones, i % group.cells, speed_random.sample(speed));
  }
  for (std::uint32_t server = 0; server < servers_.size(); ++server)
    initial_endpoints_.push_back(make_endpoint(server, EndpointState::ready));
}

void Simulation::add_sidecars() {
  RandomStream pattern_random(derive_seed(seed_, RandomPurpose::arrival_pattern));
  arrival_pattern_ = make_arrival_pattern(scenario_, pattern_random);
  sidecars_.resize(static_cast<std::size_t>(scenario_.sidecars));
  double share_sum = 0;
  for (std::size_t i = 0; i < sidecars_.size(); ++i) {
    sidecars_[i].arrival_share = std::pow(static_cast<double>(i) + 1, -scenario_.load.zipf_exponent);
    share_sum += sidecars_[i].arrival_share;
  }
  for (std::uint32_t i = 0; i < sidecars_.size(); ++i) {
    SidecarState& sidecar = sidecars_[i];
    sidecar.arrival_share /= share_sum;
    sidecar.zone = static_cast<int>(i) % scenario_.zones;
    sidecar.arrival_random = RandomStream(derive_seed(seed_, RandomPurpose::arrivals, i));
    start_sidecar(i);
    schedule_next_arrival(i);
  }
}

std::unique_ptr<FleetLimiter> Simulation::make_limiter(std::uint32_t sidecar) const {
  InstancePosition position;
  position.instances = std::max(1.0, std::round(scenario_.sidecars * scenario_.limits.instance_factor));
  if (scenario_.limits.by_index) position.index = sidecar;
  return std::make_unique<FleetLimiter>(scenario_.limits.fleet, position,
                                        derive_seed(seed_, RandomPurpose::policy, sidecar));
}

void Simulation::start_sidecar(std::uint32_t sidecar) {
  SidecarState& state = sidecars_[sidecar];
  state.running = true;
  ++state.incarnation;
  state.subscribed = false;
  state.update_scheduled = false;
  state.full_list_next = false;
  state.pending_poll = 0;
  state.overdue_poll = 0;
  state.idle_connections.assign(servers_.size(), {});
  state.connect_timeout = ConnectTimeoutEstimator(scenario_.network.connect_timeout_ms);
  state.limiter.reset();
  state.connection_limited.clear();
  // Baselines run without limits.
  if (scenario_.limits.is_limited() && policy_ == PolicyKind::load_balancer)
    state.limiter = make_limiter(sidecar);
  const std::uint64_t process = sidecar + (std::uint64_t{state.incarnation} << 32);
  state.policy = make_policy(policy_, scenario_.load_balancer_config(state.zone),
                             derive_seed(seed_, RandomPurpose::policy, process), events_.now(),
                             [this, sidecar](const std::string& name) {
                               return true_response_time(sidecar, parse_server_index(name));
                             });
  const bool is_stale = state.known_changes < endpoint_changes_.size();
  if (is_stale && !state.stale) ++stale_sidecar_count_;
  state.stale = is_stale;
  // The sidecar starts with the endpoint list up to the last change that it received; a real sidecar finds
  // that list in its configuration.
  deliver_full_list(sidecar, ListOrigin::restored);
  if (!scenario_.discovery.is_polled && state.stale) schedule_endpoint_update(sidecar);
}

void Simulation::kill_sidecar(std::uint32_t sidecar) {
  SidecarState& state = sidecars_[sidecar];
  if (!state.running) return;
  state.running = false;
  if (state.stale) {
    state.stale = false;
    --stale_sidecar_count_;
  }
  state.policy.reset();
  state.subscribed = false;
  TraceEvent event{TraceEvent::Kind::sidecar_died};
  event.sidecar = sidecar;
  trace(event);
  drop_rpcs_of(sidecar);
  for (std::uint32_t server = 0; server < state.idle_connections.size(); ++server) {
    for (const IdleConnection& connection : state.idle_connections[server])
      close_connection(server, connection.server_incarnation);
  }
  state.idle_connections.assign(servers_.size(), {});
  drop_requests_of(sidecar);
}

void Simulation::drop_rpcs_of(std::uint32_t sidecar) {
  for (auto& [id, rpc] : rpcs_) {
    if (rpc.sidecar != sidecar) continue;
    for (Attempt& attempt : rpc.attempts) abandon_attempt(attempt);
  }
  std::erase_if(rpcs_, [&](const auto& id_and_rpc) { return id_and_rpc.second.sidecar == sidecar; });
}

void Simulation::abandon_attempt(Attempt& attempt) {
  if (attempt.phase == AttemptPhase::finished) return;
  stop_counting_as_incoming(attempt);
  if (attempt.phase != AttemptPhase::sent) return;
  close_connection(attempt.server, attempt.server_incarnation);
  const ServerState& server = servers_[attempt.server];
  if (!server.unreachable) server.server->cancel_queued(attempt.job);
}

void Simulation::drop_requests_of(std::uint32_t sidecar) {
  std::vector<std::uint64_t> lost_requests;
  for (const auto& [id, request] : requests_) {
    if (request.sidecar == sidecar) lost_requests.push_back(id);
  }
  for (const std::uint64_t id : lost_requests) conclude_request(id, RequestOutcome::lost);
}

bool Simulation::is_same_process(std::uint32_t sidecar, std::uint32_t incarnation) const {
  return sidecars_[sidecar].running && sidecars_[sidecar].incarnation == incarnation;
}

// A lost packet arrives after the retransmission timeout, which doubles with each further loss, as TCP sends
// the packet again.
double Simulation::one_way_delay(int from_zone, int to_zone) {
  constexpr double max_retransmit_ms = 10000;
  const NetworkConfig& network = scenario_.network;
  double delay_ms = network.delay_ms + network_random_.exponential(network.jitter_ms) +
                    (from_zone == to_zone ? 0 : network.cross_zone_ms);
  double retransmit_ms = network.retransmit_ms;
  while (retransmit_ms < max_retransmit_ms && network_random_.bernoulli(packet_loss_)) {
    delay_ms += retransmit_ms;
    retransmit_ms *= 2;
  }
  return delay_ms;
}

void Simulation::trace(TraceEvent event) {
  event.time_ms = events_.now();
  for (TraceListener* listener : listeners_) listener->on_event(event);
}

void Simulation::trace_attempt(TraceEvent::Kind kind, AttemptId id, std::uint32_t server,
                               std::uint32_t sidecar) {
  TraceEvent event{kind};
  event.rpc = id.rpc;
  event.attempt = id.index;
  event.server = server;
  event.sidecar = sidecar;
  trace(event);
}

SecondMetrics& Simulation::second_metrics(std::size_t second) {
  if (metrics_.seconds.size() <= second) metrics_.seconds.resize(second + 1);
  return metrics_.seconds[second];
}

SecondMetrics& Simulation::current_second() {
  return second_metrics(static_cast<std::size_t>(events_.now() / ms_per_second));
}

bool Simulation::run_next_event() {
  const bool has_run = events_.run_next(end_at_ms_);
  if (has_run) ++metrics_.events;
  return has_run;
}

RunMetrics Simulation::run_to_end() {
  using Resource = FleetLimiter::Resource;
  while (run_next_event()) {
  }
  metrics_.open_at_end = requests_.size();
  for (const SecondMetrics& second : metrics_.seconds) {
    metrics_.peak_discovery_polls_per_second =
        std::max(metrics_.peak_discovery_polls_per_second, second.discovery_polls);
  }
  for (const SidecarState& sidecar : sidecars_) {
    if (!sidecar.limiter) continue;
    for (const Resource resource :
         {Resource::connection, Resource::handshake, Resource::health_check, Resource::discovery_poll})
      metrics_.limit_denials += sidecar.limiter->counts(resource).denied;
  }
  trace(TraceEvent{TraceEvent::Kind::run_ended});
  return metrics_;
}

bool Simulation::is_conserved() const {
  return metrics_.arrived == metrics_.ok + metrics_.late + metrics_.rejected + metrics_.failed +
                                 metrics_.unanswered + metrics_.lost + requests_.size();
}

RunMetrics run_simulation(const Scenario& scenario, PolicyKind policy, std::uint64_t seed,
                          TraceListener* listener) {
  RuleChecker checker({.drain_grace_ms = scenario.rules.drain_grace_ms,
                       .slow_start_overload_limit = scenario.rules.slow_start_overload_factor,
                       .slow_start_window_ms = scenario.rules.slow_start_window_ms});
  std::vector<TraceListener*> listeners{&checker};
  if (listener) listeners.push_back(listener);
  Simulation simulation(scenario, policy, seed, listeners);
  RunMetrics metrics = simulation.run_to_end();
  metrics.violations = checker.violations();
  metrics.violation_count = checker.count();
  metrics.peak_slow_start_overload = checker.peak_slow_start_overload();
  return metrics;
}

}  // namespace indigorill::emulator
