// Sidecars: they execute the decisions of their policy, send attempts to servers and receive the outcomes.
#include <charconv>
#include <string>
#include <utility>

#include "emulator/simulation.h"

namespace indigorill::emulator {
namespace {

std::uint64_t parse_rpc_id(const std::string& text) {
  std::uint64_t id = 0;
  std::from_chars(text.data(), text.data() + text.size(), id);
  return id;
}

AttemptOutcome outcome_of(EmulatedServer::JobOutcome outcome) {
  using JobOutcome = EmulatedServer::JobOutcome;
  switch (outcome) {
    case JobOutcome::served:
      return AttemptOutcome::ok;
    case JobOutcome::error:
      return AttemptOutcome::error;
    case JobOutcome::queue_full:
      return AttemptOutcome::rejected;
    case JobOutcome::lost:
      break;
  }
  return AttemptOutcome::reset;
}

}  // namespace

bool Simulation::OpenRpc::has_no_open_attempt() const {
  for (const Attempt& attempt : attempts) {
    if (attempt.phase != AttemptPhase::finished) return false;
  }
  return true;
}

void Simulation::execute_decisions(std::uint32_t sidecar) {
  SidecarState& state = sidecars_[sidecar];
  if (state.executing_decisions || !state.running) return;
  state.executing_decisions = true;
  for (;;) {
    apply_limits(sidecar);
    const auto decision = state.policy->next_decision();
    if (!decision) break;
    execute(sidecar, *decision);
  }
  state.executing_decisions = false;
}

void Simulation::execute(std::uint32_t sidecar, const Decision& decision) {
  using Action = Decision::Action;
  switch (decision.action) {
    case Action::send_attempt:
      return start_attempt(sidecar, decision);
    case Action::reject:
      answer_rpc(parse_rpc_id(decision.rpc_id), RpcAnswer::rejected, decision.delay_ms);
      return erase_if_finished(parse_rpc_id(decision.rpc_id));
    case Action::fail:
      answer_rpc(parse_rpc_id(decision.rpc_id), RpcAnswer::failed, 0);
      return erase_if_finished(parse_rpc_id(decision.rpc_id));
    case Action::cancel_attempt:
      return cancel_attempt(decision);
    case Action::health_check:
      return start_health_check(sidecar, parse_server_index(decision.endpoint_id));
    case Action::poll_endpoints:
      return poll_discovery(sidecar);
    case Action::set_timer:
      return start_timer(sidecar, decision);
    case Action::send_gossip:
      return;
  }
}

void Simulation::start_timer(std::uint32_t sidecar, const Decision& decision) {
  const std::uint32_t incarnation = sidecars_[sidecar].incarnation;
  events_.schedule(events_.now() + decision.delay_ms, EventPriority::timer,
                   [this, sidecar, incarnation, timer_id = decision.timer_id] {
                     if (!is_same_process(sidecar, incarnation)) return;
                     sidecars_[sidecar].policy->on_timer(events_.now(), timer_id);
                     execute_decisions(sidecar);
                   });
}

Simulation::Attempt& Simulation::attempt(AttemptId id) {
  return rpcs_.at(id.rpc).attempts[static_cast<std::size_t>(id.index)];
}

Simulation::Attempt* Simulation::find_open_attempt(AttemptId id) {
  const auto found = rpcs_.find(id.rpc);
  if (found == rpcs_.end()) return nullptr;
  Attempt& attempt = found->second.attempts[static_cast<std::size_t>(id.index)];
  return attempt.phase == AttemptPhase::finished ? nullptr : &attempt;
}

void Simulation::start_attempt(std::uint32_t sidecar, const Decision& decision) {
  const std::uint64_t rpc_id = parse_rpc_id(decision.rpc_id);
  OpenRpc& rpc = rpcs_.at(rpc_id);
  const std::uint32_t server = parse_server_index(decision.endpoint_id);
  const AttemptId id{rpc_id, static_cast<int>(rpc.attempts.size())};
  rpc.attempts.push_back({.server = server,
                          .server_incarnation = servers_[server].incarnation,
                          .phase = AttemptPhase::connecting,
                          .new_connection = true,
                          .counted_as_incoming = true,
                          .started_at_ms = events_.now(),
                          .job = 0});
  ++servers_[server].incoming_attempts;
  ++metrics_.attempts;
  ++current_second().attempts;
  trace_attempt(TraceEvent::Kind::attempt_decided, id, server, sidecar);
  events_.schedule(events_.now() + decision.delay_ms, EventPriority::timer,
                   [this, id] { on_attempt_timeout(id); });
  IdleConnection connection{};
  if (!take_idle_connection(sidecar, server, connection)) return connect(id);
  rpc.attempts.back().new_connection = false;
  rpc.attempts.back().server_incarnation = connection.server_incarnation;
  send_attempt(id);
}

void Simulation::connect(AttemptId id) {
  const std::uint32_t sidecar = rpcs_.at(id.rpc).sidecar;
  const std::uint32_t server = attempt(id).server;
  const double started_at_ms = events_.now();
  SidecarState& state = sidecars_[sidecar];
  if (state.limiter && !state.limiter->open_connection(server_name(server), started_at_ms)) {
    // Another decision at the same time used up the limit of new connections. Nothing was sent and the server
    // is not at fault, so the outcome is client_error.
    attempt(id).new_connection = false;
    events_.schedule(started_at_ms, EventPriority::timer, [this, id] {
      if (find_open_attempt(id)) finish_attempt(id, AttemptOutcome::client_error, {});
    });
    return;
  }
  events_.schedule(started_at_ms + state.connect_timeout.timeout_ms(), EventPriority::timer,
                   [this, id, sidecar] { on_connect_timeout(id, sidecar); });
  const double delay_ms = one_way_delay(state.zone, servers_[server].zone);
  events_.schedule(started_at_ms + delay_ms, EventPriority::network,
                   [this, id, sidecar, server, started_at_ms] {
                     on_connect_received(id, sidecar, server, started_at_ms);
                   });
}

void Simulation::on_connect_timeout(AttemptId id, std::uint32_t sidecar) {
  const Attempt* attempt = find_open_attempt(id);
  if (!attempt || attempt->phase != AttemptPhase::connecting) return;
  sidecars_[sidecar].connect_timeout.on_connect_timed_out();
  finish_attempt(id, AttemptOutcome::connect_failed, {});
}

void Simulation::on_connect_received(AttemptId id, std::uint32_t sidecar, std::uint32_t server,
                                     double started_at_ms) {
  ServerState& state = servers_[server];
  if (state.unreachable) return;
  const double return_delay_ms = one_way_delay(state.zone, sidecars_[sidecar].zone);
  if (!state.server->is_running() || !accept_connection(state)) {
    events_.schedule(events_.now() + return_delay_ms, EventPriority::network, [this, id] {
      const Attempt* attempt = find_open_attempt(id);
      if (attempt && attempt->phase == AttemptPhase::connecting)
        finish_attempt(id, AttemptOutcome::connect_failed, {});
    });
    return;
  }
  events_.schedule(events_.now() + return_delay_ms + scenario_.network.handshake_ms, EventPriority::network,
                   [this, id, server, started_at_ms, incarnation = state.incarnation] {
                     on_connected(id, server, incarnation, started_at_ms);
                   });
}

void Simulation::on_connected(AttemptId id, std::uint32_t server, std::uint32_t incarnation,
                              double started_at_ms) {
  Attempt* attempt = find_open_attempt(id);
  if (!attempt || attempt->phase != AttemptPhase::connecting) return close_connection(server, incarnation);
  const std::uint32_t sidecar = rpcs_.at(id.rpc).sidecar;
  sidecars_[sidecar].connect_timeout.on_connected(events_.now() - started_at_ms);
  attempt->server_incarnation = incarnation;
  send_attempt(id);
}

void Simulation::send_attempt(AttemptId id) {
  const OpenRpc& rpc = rpcs_.at(id.rpc);
  Attempt& sent = attempt(id);
  sent.phase = AttemptPhase::sent;
  sent.job = ++last_job_id_;
  const auto request = requests_.find(rpc.request);
  const double request_work_ms = request != requests_.end() ? request->second.work_ms : 0;
  const double handshake_work_ms = sent.new_connection ? scenario_.network.handshake_work_ms : 0;
  const AttemptInTransit in_transit{.id = id,
                                    .sidecar = rpc.sidecar,
                                    .server = sent.server,
                                    .server_incarnation = sent.server_incarnation,
                                    .job = sent.job,
                                    .work_ms = request_work_ms + handshake_work_ms};
  trace_attempt(TraceEvent::Kind::attempt_sent, id, sent.server, rpc.sidecar);
  const double delay_ms = one_way_delay(sidecars_[rpc.sidecar].zone, servers_[sent.server].zone);
  events_.schedule(events_.now() + delay_ms, EventPriority::network,
                   [this, in_transit] { on_attempt_received(in_transit); });
}

void Simulation::on_attempt_received(const AttemptInTransit& received) {
  ServerState& server = servers_[received.server];
  Attempt* open_attempt = find_open_attempt(received.id);
  if (open_attempt) stop_counting_as_incoming(*open_attempt);
  if (server.unreachable) return;
  if (!server.server->is_running() || server.incarnation != received.server_incarnation)
    return respond(received, AttemptOutcome::reset);
  TraceEvent event{TraceEvent::Kind::attempt_received};
  event.rpc = received.id.rpc;
  event.attempt = received.id.index;
  event.server = received.server;
  event.sidecar = received.sidecar;
  event.work_ms = received.work_ms;
  trace(event);
  if (server.draining) return respond(received, AttemptOutcome::rejected);
  jobs_[received.job] = {received.id, received.sidecar};
  server.server->submit(received.job, received.work_ms);
  if (!open_attempt) server.server->cancel_queued(received.job);  // the sidecar has closed its connection
}

void Simulation::respond(const AttemptInTransit& received, AttemptOutcome outcome) {
  const double delay_ms = one_way_delay(servers_[received.server].zone, sidecars_[received.sidecar].zone);
  events_.schedule(events_.now() + delay_ms, EventPriority::network, [this, id = received.id, outcome] {
    if (find_open_attempt(id)) finish_attempt(id, outcome, {});
  });
}

void Simulation::on_job_started(std::uint32_t server, std::uint64_t job_id) {
  const auto found = jobs_.find(job_id);
  if (found == jobs_.end() || found->second.attempt.rpc == 0) return;
  if (servers_[server].server->capacity_fraction() < 1) ++current_second().started_in_slow_start;
  trace_attempt(TraceEvent::Kind::attempt_started, found->second.attempt, server, found->second.sidecar);
}

void Simulation::on_job_finished(std::uint32_t server, std::uint64_t job_id,
                                 EmulatedServer::JobOutcome job_outcome, double jobs_in_flight) {
  const auto found = jobs_.find(job_id);
  if (found == jobs_.end()) return;
  const ServerJob job = found->second;
  jobs_.erase(found);
  if (job.attempt.rpc == 0 || servers_[server].unreachable) return;
  LoadReport report;
  if (scenario_.rules.load_reports_enabled) report.in_flight = jobs_in_flight;
  const AttemptOutcome outcome = outcome_of(job_outcome);
  const double delay_ms = one_way_delay(servers_[server].zone, sidecars_[job.sidecar].zone);
  events_.schedule(events_.now() + delay_ms, EventPriority::network,
                   [this, id = job.attempt, outcome, report] {
                     if (find_open_attempt(id)) finish_attempt(id, outcome, report);
                   });
}

void Simulation::stop_counting_as_incoming(Attempt& attempt) {
  if (!attempt.counted_as_incoming) return;
  attempt.counted_as_incoming = false;
  --servers_[attempt.server].incoming_attempts;
}

// Keeps or closes the attempt's connection. If it is closed, cancels the attempt's job in the server's queue.
void Simulation::release_attempt(const OpenRpc& rpc, Attempt& attempt, AttemptOutcome outcome) {
  stop_counting_as_incoming(attempt);
  const bool has_response = outcome == AttemptOutcome::ok || outcome == AttemptOutcome::error ||
                            outcome == AttemptOutcome::rejected;
  if (attempt.phase == AttemptPhase::connecting && attempt.new_connection)
    release_connection_slot(rpc.sidecar, attempt.server);
  if (attempt.phase == AttemptPhase::sent && has_response) {
    keep_idle_connection(rpc.sidecar, attempt.server, attempt.server_incarnation);
  } else if (attempt.phase == AttemptPhase::sent) {
    close_connection(attempt.server, attempt.server_incarnation);
    release_connection_slot(rpc.sidecar, attempt.server);
    const double delay_ms = one_way_delay(sidecars_[rpc.sidecar].zone, servers_[attempt.server].zone);
    events_.schedule(events_.now() + delay_ms, EventPriority::network,
                     [this, server = attempt.server, job = attempt.job] {
                       if (!servers_[server].unreachable) servers_[server].server->cancel_queued(job);
                     });
  }
  attempt.phase = AttemptPhase::finished;
}

void Simulation::count_attempt_outcome(AttemptOutcome outcome) {
  if (outcome == AttemptOutcome::timed_out) ++metrics_.timed_out;
  if (outcome == AttemptOutcome::rejected) ++metrics_.queue_full;
  if (outcome == AttemptOutcome::error || outcome == AttemptOutcome::reset) ++metrics_.errors;
  if (outcome == AttemptOutcome::connect_failed) {
    ++metrics_.connect_failed;
    ++current_second().connect_failed;
  }
}

void Simulation::finish_attempt(AttemptId id, AttemptOutcome outcome, const LoadReport& report) {
  OpenRpc& rpc = rpcs_.at(id.rpc);
  Attempt& finished = attempt(id);
  const std::uint32_t sidecar = rpc.sidecar;
  const double duration_ms = events_.now() - finished.started_at_ms;
  release_attempt(rpc, finished, outcome);
  count_attempt_outcome(outcome);
  TraceEvent event{TraceEvent::Kind::attempt_finished};
  event.rpc = id.rpc;
  event.attempt = id.index;
  event.server = finished.server;
  event.sidecar = sidecar;
  event.outcome = outcome;
  trace(event);
  if (outcome == AttemptOutcome::ok && !rpc.concluded) answer_rpc(id.rpc, RpcAnswer::ok, 0);
  sidecars_[sidecar].policy->on_attempt_finished(events_.now(), std::to_string(id.rpc), id.index, outcome,
                                                 duration_ms, rpc.concluded, report);
  execute_decisions(sidecar);
  erase_if_finished(id.rpc);
}

void Simulation::on_attempt_timeout(AttemptId id) {
  const Attempt* attempt = find_open_attempt(id);
  if (!attempt) return;
  const bool is_connecting = attempt->phase == AttemptPhase::connecting;
  finish_attempt(id, is_connecting ? AttemptOutcome::connect_failed : AttemptOutcome::timed_out, {});
}

void Simulation::cancel_attempt(const Decision& decision) {
  const AttemptId id{parse_rpc_id(decision.rpc_id), decision.attempt_index};
  if (find_open_attempt(id)) finish_attempt(id, AttemptOutcome::cancelled, {});
}

void Simulation::answer_rpc(std::uint64_t rpc_id, RpcAnswer answer, double retry_after_ms) {
  OpenRpc& rpc = rpcs_.at(rpc_id);
  if (rpc.concluded) return;
  rpc.concluded = true;
  TraceEvent event{TraceEvent::Kind::answered};
  event.rpc = rpc_id;
  event.sidecar = rpc.sidecar;
  event.answer = answer;
  if (!rpc.attempts.empty()) event.server = rpc.attempts.back().server;
  trace(event);
  const ClientRequest& request = requests_.at(rpc.request);
  const double latency_ms = events_.now() - request.arrived_at_ms;
  const bool meets_objective = latency_ms <= method_of(request).latency_objective_ms;
  if (answer == RpcAnswer::ok)
    conclude_request(rpc.request, meets_objective ? RequestOutcome::ok : RequestOutcome::late);
  else if (answer == RpcAnswer::rejected)
    retry_or_conclude(rpc.request, RequestOutcome::rejected, retry_after_ms);
  else
    retry_or_conclude(rpc.request, RequestOutcome::failed, retry_after_ms);
}

void Simulation::erase_if_finished(std::uint64_t rpc_id) {
  const auto found = rpcs_.find(rpc_id);
  if (found != rpcs_.end() && found->second.concluded && found->second.has_no_open_attempt())
    rpcs_.erase(found);
}

}  // namespace indigorill::emulator
