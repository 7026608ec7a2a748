#include "load/scenario_runner.h"

#include <algorithm>
#include <cmath>
#include <csignal>
#include <memory>
#include <optional>
#include <sstream>
#include <stdexcept>

#include "load/effect_rules.h"
#include "load/http_get.h"
#include "load/load_faults.h"
#include "load/load_test_bed.h"
#include "load/loopback.h"
#include "load/sidecar_processes.h"

namespace indigorill::load_generator {
namespace {

constexpr double ready_timeout_ms = 10000;
constexpr double drain_allowance_ms = 1000;  // after the longest deadline
constexpr double max_round_ms = 20;
constexpr double second_ms = 1000;
// The check of the quota counts retries in windows that are shorter than a second by this, since delivery
// delays can bring retries closer together than they were sent.
constexpr double delivery_allowance_ms = 50;
// Bound on the 99th percentile of the send delay. If the load generator sends later, its latencies measure
// itself rather than the sidecars, and the run is judged as not having kept its pace (exit status 4).
constexpr double max_send_delay_ms = 5;
constexpr double send_delay_quantile = 0.99;

std::optional<GossipOptions> gossip_options(const emulator::GossipConfig& gossip) {
  if (!gossip.enabled) return std::nullopt;
  return GossipOptions{.cluster_name = "load",
                       .probe_interval_ms = gossip.probe_interval_ms,
                       .probe_timeout_ms = gossip.probe_timeout_ms,
                       .seed_count = gossip.seeds,
                       .conditions = {.loss = gossip.loss_rate,
                                      .duplicated = gossip.duplicate_rate,
                                      .delay_ms = gossip.delay_ms,
                                      .jitter_ms = gossip.jitter_ms,
                                      .late = gossip.late_rate,
                                      .late_by_ms = gossip.late_by_ms},
                       .voter_count = gossip.voters,
                       .lease_ms = gossip.lease_ms,
                       .quota_refresh_ms = gossip.quota_refresh_ms,
                       .registration_lease_ms = gossip.registration_lease_ms,
                       .retries_per_second = gossip.retries_per_second,
                       .guaranteed_minimum = gossip.guaranteed_minimum,
                       .max_quota_holders = gossip.max_quota_holders};
}

// Returns null if the sidecars are already running.
std::unique_ptr<SidecarProcesses> start_sidecars(const LoadRunConfig& config, LoadTestBed& bed) {
  if (config.sidecar_command.empty()) return nullptr;
  auto sidecars = std::make_unique<SidecarProcesses>(
      bed.loop, config.sidecar_command, bed.sidecar_addresses,
      [&](std::size_t i) { return make_sidecar_config(config, bed, i); },
      gossip_options(config.scenario.gossip), config.seed);
  for (std::size_t i = 0; i < sidecars->size(); ++i) sidecars->start(i);
  return sidecars;
}

void require_ready(LoadTestBed& bed, SidecarProcesses* sidecars) {
  for (std::size_t i = 0; i < bed.sidecar_addresses.size(); ++i) {
    const sockaddr_in& address = bed.sidecar_addresses[i];
    const auto has_exited = [&] { return sidecars && sidecars->process(i).has_exited(); };
    if (wait_until_ready(bed.loop, address, ready_timeout_ms, has_exited)) continue;
    const std::string reason = sidecars ? ": " + sidecars->process(i).last_line() : "";
    throw std::runtime_error("sidecar n" + std::to_string(i) + " at " + format_address(address) +
                             " is not ready" + reason);
  }
}

void run_until_drained(const emulator::Scenario& scenario, LoadTestBed& bed, const LoadClients& clients) {
  const double latest_end_ms = scenario.duration_ms + scenario.longest_deadline_ms() + drain_allowance_ms;
  bed.clock.start();
  while (bed.clock.now() < scenario.duration_ms || (clients.open() > 0 && bed.clock.now() < latest_end_ms))
    bed.loop.run_once(max_round_ms);
}

std::vector<std::string> find_rule_violations(const FakeFleet& fleet, const LoadClients& clients) {
  const ClientMetrics& metrics = clients.metrics();
  std::vector<std::string> violations;
  if (metrics.unanswered > 0)
    violations.push_back("rule 1: " + std::to_string(metrics.unanswered) +
                         " RPCs got no answer before their deadline");
  for (const std::string& violation : find_effect_violations(fleet, clients)) violations.push_back(violation);
  if (fleet.counters().malformed_requests > 0)
    violations.push_back(std::to_string(fleet.counters().malformed_requests) +
                         " RPCs came to endpoints without what clients sent");
  return violations;
}

std::vector<std::size_t> count_by_second(const std::vector<double>& times_ms, double duration_ms) {
  std::vector<std::size_t> counts(static_cast<std::size_t>(std::ceil(duration_ms / second_ms)));
  for (const double time_ms : times_ms) {
    const auto second = static_cast<std::size_t>(std::max(time_ms, 0.0) / second_ms);
    if (second < counts.size()) ++counts[second];
  }
  return counts;
}

// Checks the retry quota against the retries that the servers received.
void check_retry_quota(const emulator::Scenario& scenario, const FakeFleet& fleet, LoadRunResult& result) {
  const double quota_per_second = scenario.gossip.retries_per_second;
  result.retries = fleet.retry_times().size();
  result.retries_by_second = count_by_second(fleet.retry_times(), scenario.duration_ms);
  if (!scenario.gossip.enabled || quota_per_second <= 0) return;
  result.max_retries_per_second = fleet.max_retries_within(second_ms - delivery_allowance_ms);
  result.budget_used_fraction =
      static_cast<double>(result.retries) / (quota_per_second * scenario.duration_ms / second_ms);
  if (static_cast<double>(result.max_retries_per_second) <= quota_per_second) return;
  ++result.budget_violations;
  std::ostringstream text;
  text << "budget: " << result.max_retries_per_second << " further picks in a second, of "
       << quota_per_second;
  result.violations.push_back(text.str());
}

std::string describe_pace_failure(const ClientMetrics& metrics) {
  const double send_delay_ms = metrics.send_delay.quantile(send_delay_quantile);
  std::ostringstream text;
  if (send_delay_ms > max_send_delay_ms)
    text << "one RPC in a hundred was sent " << send_delay_ms << " ms late or more";
  else if (metrics.skipped > 0)
    text << metrics.skipped << " RPCs were not sent, for lack of room";
  return text.str();
}

emulator::LatencyHistogram first_attempt_delays(const FakeFleet& fleet, const LoadClients& clients) {
  emulator::LatencyHistogram delays;
  for (const auto& [id, observation] : fleet.rpcs()) {
    const auto record = clients.records().find(id);
    if (record == clients.records().end() || observation.attempts.empty()) continue;
    delays.add(observation.attempts.front().received_at_ms - record->second.sent_at_ms);
  }
  return delays;
}

LoadRunResult collect_result(const LoadRunConfig& config, const FakeFleet& fleet,
                             const LoadClients& clients) {
  LoadRunResult result;
  result.client_metrics = clients.metrics();
  result.first_attempt_delay = first_attempt_delays(fleet, clients);
  for (const auto& [id, observation] : fleet.rpcs()) {
    result.attempts_received += static_cast<std::uint64_t>(observation.received);
    result.attempts_executed += static_cast<std::uint64_t>(observation.executed);
  }
  const FleetCounters& counters = fleet.counters();
  result.health_checks = counters.health_checks;
  result.connections = counters.connections;
  result.crashes = counters.crashes;
  result.discovery_polls = counters.discovery_polls;
  result.violations = find_rule_violations(fleet, clients);
  check_retry_quota(config.scenario, fleet, result);
  result.pace_failure = describe_pace_failure(result.client_metrics);
  return result;
}

}  // namespace

LoadRunResult run_scenario(const LoadRunConfig& config) {
  ::signal(SIGPIPE, SIG_IGN);
  LoadTestBed bed(config);
  const std::unique_ptr<SidecarProcesses> sidecars = start_sidecars(config, bed);
  require_ready(bed, sidecars.get());
  LoadClients clients(bed.loop, bed.descriptors, bed.clock, config.scenario, config.seed, config.max_requests,
                      bed.sidecar_addresses);
  clients.start();
  const FaultTargets targets{.bed = bed, .clients = clients, .sidecars = sidecars.get()};
  for (std::size_t i = 0; i < config.scenario.faults.size(); ++i)
    schedule_fault(targets, config.scenario.faults[i], i, config.seed);
  run_until_drained(config.scenario, bed, clients);
  return collect_result(config, *bed.fleet, clients);
}

}  // namespace indigorill::load_generator
