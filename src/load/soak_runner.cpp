#include "load/soak_runner.h"

#include <algorithm>
#include <csignal>
#include <memory>
#include <optional>
#include <stdexcept>
#include <utility>

#include "load/client_crowd.h"
#include "load/effect_rules.h"
#include "load/load_faults.h"
#include "load/load_test_bed.h"
#include "load/loopback.h"
#include "load/sidecar_processes.h"
#include "load/soak_judge.h"

namespace indigorill::load_generator {
namespace {

using emulator::EventPriority;

// Nine in ten restarted sidecars have to be ready within 10 s. A soak starts one and fails if it takes
// longer.
constexpr double ready_timeout_ms = 10000;
// Clients wait this long after the deadline: an RPC answered up to half a second after it is not lost.
constexpr double overdue_allowance_ms = 500;
// A client that has written half a request has to get an error or a close within 3 s of connecting. It has
// 0.5 s more to receive it.
constexpr double half_written_allowance_ms = 3500;
// After SIGHUP the former agent accepts no new connections, and closes the open ones 1.5 s later.
constexpr double retired_agent_closes_after_ms = 1500;
constexpr double due_after_recovery_ms = 6000;
constexpr double due_after_reload_ms = 4000;
constexpr double departure_burst_probability = 0.6;
constexpr int descriptor_limit = 300;
constexpr double max_round_ms = 5;
constexpr std::size_t sidecar_index = 0;  // a soak has one sidecar

class SoakRun {
 public:
  explicit SoakRun(const LoadRunConfig& config)
      : config_(config),
        plan_(draw_soak_plan(config.scenario, config.seed)),
        planned_config_(planned(config, plan_)),
        bed_(planned_config_),
        sidecars_(
            bed_.loop, config.sidecar_command, bed_.sidecar_addresses,
            [this](std::size_t) { return sidecar_config(); }, std::nullopt, config.seed),
        clients_(bed_.loop, bed_.descriptors, bed_.clock, plan_.scenario, config.seed, config.max_requests,
                 bed_.sidecar_addresses),
        crowd_(bed_.loop, bed_.descriptors, bed_.sidecar_addresses[sidecar_index]) {}

  SoakResult run() {
    sidecars_.start(sidecar_index);
    if (!sidecars_.wait_until_ready(sidecar_index, ready_timeout_ms))
      throw std::runtime_error("the sidecar was not ready within 10 s: " +
                               sidecars_.process(sidecar_index).last_line());
    clients_.set_overdue_allowance(overdue_allowance_ms);
    clients_.set_departure_share(plan_.departure_share);
    clients_.start();
    schedule_all();
    run_until_kill();
    return collect();
  }

 private:
  static LoadRunConfig planned(const LoadRunConfig& config, const SoakPlan& plan) {
    LoadRunConfig planned_config = config;
    planned_config.scenario = plan.scenario;
    return planned_config;
  }

  nlohmann::json sidecar_config() const {
    nlohmann::json json = make_sidecar_config(planned_config_, bed_, sidecar_index);
    json["discovery"] = bed_.fleet->agent_address(agent_);
    json["limits"] = {{"sockets", descriptor_limit}};
    return json;
  }

  void at(double time_ms, emulator::EventQueue::Callback callback) {
    bed_.clock.schedule(time_ms, EventPriority::fault, std::move(callback));
  }

  void signal(int number) { sidecars_.process(sidecar_index).send_signal(number); }

  void schedule_all() {
    const FaultTargets targets{.bed = bed_, .clients = clients_, .sidecars = &sidecars_};
    for (std::size_t i = 0; i < plan_.scenario.faults.size(); ++i)
      schedule_fault(targets, plan_.scenario.faults[i], i, config_.seed);
    schedule_signals();
    for (const DiscoveryPhase& phase : plan_.discovery_phases) {
      at(phase.start_ms, [this, phase] { begin_discovery_phase(phase); });
      at(phase.end_ms, [this] { begin_discovery_phase({}); });
    }
    for (const double time_ms : plan_.departure_bursts_ms)
      at(time_ms, [this] { clients_.depart(departure_burst_probability); });
    if (plan_.has_crowd())
      at(plan_.crowd_at_ms, [this] { crowd_.connect(plan_.idle_clients, plan_.half_written_clients); });
  }

  void schedule_signals() {
    at(plan_.terminate_at_ms, [this] {
      signal(SIGTERM);
      clients_.on_sidecar_terminating(sidecar_index, plan_.new_connections_until_ms);
    });
    for (const double time_ms : plan_.reloads_ms) at(time_ms, [this] { reload(); });
    for (const double time_ms : plan_.repeated_terminations_ms) at(time_ms, [this] { signal(SIGTERM); });
    for (const double time_ms : plan_.counter_dumps_ms) at(time_ms, [this] { signal(SIGUSR1); });
    for (const double time_ms : plan_.suspensions_ms) {
      at(time_ms, [this] { signal(SIGSTOP); });
      at(time_ms + SoakPlan::suspension_ms, [this] { signal(SIGCONT); });
    }
  }

  void reload() {
    const std::size_t previous = std::exchange(agent_, bed_.fleet->add_agent());
    sidecars_.replace_config(sidecar_index, sidecar_config());
    signal(SIGHUP);
    bed_.fleet->retire_agent(previous, bed_.clock.now() + retired_agent_closes_after_ms);
    end_reachable_span();
    begin_reachable_span(due_after_reload_ms);
  }

  void begin_discovery_phase(const DiscoveryPhase& phase) {
    bed_.fleet->set_discovery_mode(phase.mode, phase.response_delay_ms);
    const bool was_reachable = is_reachable_;
    is_reachable_ = phase.mode == DiscoveryMode::healthy || phase.mode == DiscoveryMode::slow;
    if (was_reachable && !is_reachable_) end_reachable_span();
    if (!was_reachable) begin_reachable_span(due_after_recovery_ms);
  }

  void begin_reachable_span(double due_after_ms) {
    if (!is_reachable_) return;
    spans_.push_back(
        {.start_ms = bed_.clock.now(), .end_ms = plan_.kill_at_ms, .due_after_ms = due_after_ms});
  }
  void end_reachable_span() {
    if (!spans_.empty()) spans_.back().end_ms = std::min(spans_.back().end_ms, bed_.clock.now());
  }

  void run_until_kill() {
    bed_.clock.start();
    begin_reachable_span(due_after_recovery_ms);
    double last_round_ms = bed_.clock.now();
    while (bed_.clock.now() < plan_.kill_at_ms) {
      bed_.loop.run_once(max_round_ms);
      observer_lag_ms_ = std::max(observer_lag_ms_, bed_.clock.now() - last_round_ms - max_round_ms);
      last_round_ms = bed_.clock.now();
      if (sidecars_.process(sidecar_index).has_exited()) on_exit();
      if (!process_end_.ended_before_kill)
        unserved_clients_ = std::max(unserved_clients_, crowd_.count_unserved(half_written_allowance_ms));
    }
    sidecars_.process(sidecar_index).kill_and_wait();
    clients_.on_sidecar_stopped(sidecar_index);
  }

  void on_exit() {
    process_end_.ended_before_kill = true;
    process_end_.ended_before_termination = bed_.clock.now() < plan_.terminate_at_ms;
    process_end_.exited_cleanly = sidecars_.process(sidecar_index).exited_cleanly();
  }

  SoakResult collect() {
    SoakResult result;
    result.rpcs = clients_.records().size();
    for (const auto& [id, record] : clients_.records())
      if (record.end == RpcRecord::End::answered) ++result.answered;
    for (const auto& [id, observation] : bed_.fleet->rpcs())
      result.attempts += static_cast<std::size_t>(observation.received);
    result.endpoint_changes = bed_.fleet->endpoint_changes().size();
    result.observer_lag_ms = observer_lag_ms_;
    result.plan = describe(plan_);
    result.last_line = sidecars_.process(sidecar_index).last_line();
    result.violations = judge_soak({.records = clients_.records(),
                                    .observations = bed_.fleet->rpcs(),
                                    .endpoint_changes = bed_.fleet->endpoint_changes(),
                                    .reachable_spans = spans_,
                                    .process_end = process_end_,
                                    .drain_grace_ms = plan_.scenario.rules.drain_grace_ms,
                                    .terminated_at_ms = plan_.terminate_at_ms,
                                    .has_crowd = plan_.has_crowd(),
                                    .unserved_clients = unserved_clients_,
                                    .observer_lag_ms = observer_lag_ms_});
    for (const std::string& violation : find_effect_violations(*bed_.fleet, clients_))
      result.violations.push_back(violation);
    return result;
  }

  const LoadRunConfig& config_;
  const SoakPlan plan_;
  const LoadRunConfig planned_config_;
  LoadTestBed bed_;
  std::size_t agent_ = 0;
  SidecarProcesses sidecars_;
  LoadClients clients_;
  ClientCrowd crowd_;
  bool is_reachable_ = true;
  std::vector<ReachableSpan> spans_;
  ProcessEnd process_end_;
  std::size_t unserved_clients_ = 0;
  double observer_lag_ms_ = 0;
};

}  // namespace

SoakResult run_soak(const LoadRunConfig& config) {
  ::signal(SIGPIPE, SIG_IGN);
  SoakRun run(config);
  return run.run();
}

}  // namespace indigorill::load_generator
