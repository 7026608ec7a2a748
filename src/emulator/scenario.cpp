#include "emulator/scenario.h"

#include <algorithm>
#include <charconv>

namespace indigorill::emulator {

std::string zone_name(int zone) { return "zone-" + std::to_string(zone); }

std::string server_name(std::uint32_t server) { return std::string("s").append(std::to_string(server)); }

std::uint32_t parse_server_index(const std::string& name) {
  std::uint32_t server = 0;
  std::from_chars(name.data() + 1, name.data() + name.size(), server);
  return server;
}

int Scenario::initial_server_count() const {
  int count = 0;
  for (const ServerGroup& group : servers) count += group.count;
  return count;
}

double Scenario::longest_deadline_ms() const {
  double longest_ms = 0;
  for (const MethodWorkload& workload : methods)
    longest_ms = std::max(longest_ms, workload.method.deadline_ms);
  return longest_ms;
}

LoadBalancerConfig Scenario::load_balancer_config(int zone) const {
  constexpr double default_max_poll_silence_ms = 10000;  // default of the real sidecar
  LoadBalancerConfig config;
  for (const MethodWorkload& workload : methods) config.methods.push_back(workload.method);
  config.zone = zone_name(zone);
  config.max_attempts = rules.max_attempts;
  config.cancellation_enabled = rules.cancellation_enabled;
  config.probing_enabled = rules.probing_enabled;
  config.probes_report_load = rules.load_reports_enabled;
  config.must_poll_endpoints = discovery.is_polled;
  config.max_retry_after_ms = rules.max_retry_after_ms;
  config.cross_zone_cost = rules.cross_zone_cost;
  config.probe_cost = rules.probe_cost;
  config.handshake_cost = rules.handshake_cost;
  config.max_poll_silence_ms = default_max_poll_silence_ms;
  config.sidecar_count = sidecars;
  config.slow_start_initial_weight = 1;
  for (const ServerGroup& group : servers) {
    config.slow_start_initial_weight =
        std::min(config.slow_start_initial_weight, group.slow_start_initial_capacity);
    config.slow_start_duration_ms = std::max(config.slow_start_duration_ms, group.slow_start_duration_ms);
  }
  config.slow_start_overload_factor = rules.slow_start_overload_factor;
  config.slow_start_burst_ms = rules.slow_start_window_ms;
  return config;
}

std::optional<std::string> find_unsupported_feature(const Scenario& scenario) {
  using Kind = Fault::Kind;
  for (const Fault& fault : scenario.faults) {
    if (fault.kind == Kind::suspend_sidecars || fault.kind == Kind::terminate_sidecars ||
        fault.kind == Kind::gossip_partition)
      return "troubles stop_sidecars, end_sidecars and cut_talk need real processes: run the scenario with "
             "indigorill-load";
  }
  return std::nullopt;
}

}  // namespace indigorill::emulator
