#include "load/load_test_bed.h"

#include <sys/resource.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <filesystem>
#include <sstream>
#include <stdexcept>

#include "config/load_balancer_config.h"
#include "load/loopback.h"
#include "load/sidecar_processes.h"

namespace indigorill::load_generator {
namespace {

using nlohmann::json;

constexpr std::size_t max_descriptors = 1 << 20;
constexpr std::size_t reserved_descriptors = 32;  // for files that are not sockets
constexpr std::size_t max_port = 65535;
constexpr double us_per_ms = 1000;

// Names of the settings on the wire, in the order of RetrySafety and of DeduplicationScope.
constexpr std::array<const char*, 3> effect_names{"retryable", "dedup", "fragile"};
constexpr std::array<const char*, 3> group_names{"all", "zone", "cell"};

// Raises this process's descriptor limit to the hard limit and returns it, capped at max_descriptors.
std::size_t raise_descriptor_limit() {
  rlimit limit{};
  ::getrlimit(RLIMIT_NOFILE, &limit);
  limit.rlim_cur = limit.rlim_max;
  ::setrlimit(RLIMIT_NOFILE, &limit);
  ::getrlimit(RLIMIT_NOFILE, &limit);
  return std::min<std::size_t>(limit.rlim_cur, max_descriptors);
}

std::string format_hex(std::uint64_t value) {
  std::ostringstream text;
  text << std::hex << value;
  return text.str();
}

std::uint64_t to_us(double duration_ms) {
  return static_cast<std::uint64_t>(std::llround(duration_ms * us_per_ms));
}

json make_method(const MethodConfig& method) {
  return {{"name", method.name},
          {"latencyTarget", to_us(method.latency_objective_ms)},
          {"deadline", to_us(method.deadline_ms)},
          {"utility", method.priority_weight},
          {"overdueUtility", method.late_weight},
          {"effect", effect_names.at(static_cast<std::size_t>(method.retry_safety))},
          {"group", group_names.at(static_cast<std::size_t>(method.deduplication_scope))},
          {"dedupWindow", to_us(method.deduplication_window_ms)}};
}

json make_bounds(const LoadBalancerConfig& config, const emulator::NetworkConfig& network) {
  return {{"maxPicks", config.max_attempts},
          {"cancelling", config.cancellation_enabled},
          {"probes", config.probing_enabled},
          {"retryAfter", config.max_retry_after_ms > 0},
          {"maxRetryAfter", to_us(config.max_retry_after_ms)},
          {"keepalive", to_us(network.idle_timeout_ms)},
          {"connectTimeout", to_us(network.connect_timeout_ms)}};
}

json make_rules(const LoadBalancerConfig& config, const emulator::OperatingRules& rules) {
  return {
      {"askWithin", to_us(config.max_poll_silence_ms)}, {"coldFrom", config.slow_start_initial_weight},
      {"cold", to_us(config.slow_start_duration_ms)},   {"overloadFactor", config.slow_start_overload_factor},
      {"fall", to_us(config.slow_start_burst_ms)},      {"drainGrace", to_us(rules.drain_grace_ms)}};
}

json make_settings(const emulator::Scenario& scenario, int zone) {
  const LoadBalancerConfig config = scenario.load_balancer_config(zone);
  json methods = json::array();
  for (const MethodConfig& method : config.methods) methods.push_back(make_method(method));
  return {
      {"methods", methods},
      {"zone", config.zone},
      {"round", to_us(config.tick_ms)},
      {"balancers", config.sidecar_count},
      {"discovery", config.must_poll_endpoints ? "subscribe" : "automatic"},
      {"bounds", make_bounds(config, scenario.network)},
      {"reporting",
       {{"how", config.probes_report_load ? "answers" : "none"}, {"fields", json::array({in_flight_key})}}},
      {"charges",
       {{"crossZone", config.cross_zone_cost},
        {"probe", config.probe_cost},
        {"handshake", config.handshake_cost}}},
      {"rules", make_rules(config, scenario.rules)}};
}

std::uint16_t sidecar_port(const LoadRunConfig& config, std::size_t sidecar) {
  return port_of(config.base_port, sidecar_port_offset + sidecar);
}

}  // namespace

LoadTestBed::LoadTestBed(const LoadRunConfig& config)
    : descriptors{raise_descriptor_limit() - reserved_descriptors}, clock(loop) {
  const auto sidecars = static_cast<std::size_t>(config.scenario.sidecars);
  const auto servers = static_cast<std::size_t>(config.scenario.initial_server_count());
  if (sidecars > sidecar_port_offset)
    throw std::runtime_error("a run on sockets supports at most " + std::to_string(sidecar_port_offset) +
                             " sidecars");
  if (config.base_port > 0 && config.base_port + server_port_offset + servers > max_port)
    throw std::runtime_error("--base-port is too high for the servers' ports");
  fleet =
      std::make_unique<FakeFleet>(loop, descriptors, clock, config.scenario, config.seed, config.base_port);
  for (std::size_t i = 0; i < sidecars; ++i)
    sidecar_addresses.push_back(config.base_port > 0 ? loopback_at(sidecar_port(config, i)) : reserve_port());
}

json make_sidecar_config(const emulator::Scenario& scenario, std::size_t sidecar,
                         const std::string& listen_address, const std::string& discovery_address,
                         const std::string& known_endpoints, std::uint64_t seed) {
  const int zone = static_cast<int>(sidecar) % scenario.zones;
  const std::uint64_t sidecar_seed = emulator::derive_seed(seed, emulator::RandomPurpose::policy, sidecar);
  return {{"name", std::string("n").append(std::to_string(sidecar))},
          {"listen", listen_address},
          {"discovery", discovery_address},
          {"seed", format_hex(sidecar_seed)},
          {"known", json::parse(known_endpoints)},
          {"settings", make_settings(scenario, zone)}};
}

json make_sidecar_config(const LoadRunConfig& config, const LoadTestBed& bed, std::size_t sidecar) {
  return make_sidecar_config(config.scenario, sidecar, format_address(bed.sidecar_addresses[sidecar]),
                             bed.fleet->agent_address(sidecar), bed.fleet->endpoint_list(), config.seed);
}

void write_sidecar_configs(const LoadRunConfig& config, const std::string& directory) {
  constexpr int json_indent = 1;
  const LoadTestBed bed(config);
  std::filesystem::create_directories(directory);
  for (std::size_t i = 0; i < bed.sidecar_addresses.size(); ++i) {
    const std::string name = std::string("n").append(std::to_string(i)).append(".json");
    write_file(std::filesystem::path(directory) / name,
               make_sidecar_config(config, bed, i).dump(json_indent));
  }
}

}  // namespace indigorill::load_generator
