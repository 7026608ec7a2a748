// Decodes a scenario from its TOML table, section by section. Errors are collected in the order of the
// sections.
#include <algorithm>
#include <map>
#include <string>

#include "emulator/scenario.h"
#include "emulator/scenario_table.h"

namespace indigorill::emulator {
namespace {

constexpr double max_value = 1e9;  // upper bound of shares, weights and limits, above any sensible value
constexpr double max_rate_per_second = 1e7;

ServerGroup decode_server_group(const toml::table& table, ConfigDiagnostics& diagnostics) {
  TomlSection section(table, "server", diagnostics);
  ServerGroup group;
  group.name = section.string("kind", "server");
  group.count = section.integer("count", {}, 1, 10000);
  group.cores = section.integer("cores", 1, 1, 1024);
  group.queue_capacity = section.integer("queue", 10, 0, 1000000000);
  group.zones = section.integer("zones", 1, 1, 100);
  group.cells = section.integer("cells", 1, 1, 1000);
  group.max_connections = section.integer("connections", 1000, 1, 10000000);
  group.speed = section.number("speed", 1, 0.001, 1000);
  group.speed_spread = section.number("speed_spread", 0, 0, 1);
  group.slow_start_initial_capacity = section.number("cold_from", 1, 0.001, 1);
  group.slow_start_duration_ms = section.duration_ms("cold_ms", 0);
  group.error_rate = section.number("error_share", 0, 0, 1);
  section.reject_unknown_keys();
  return group;
}

Distribution decode_work_distribution(TomlSection& section) {
  using Shape = DistributionShape;
  constexpr double default_pareto_exponent = 2.5;
  constexpr double default_spread = 0.5;
  Distribution work;
  work.mean = section.number("work_ms", {}, 1e-6, 1e6);
  work.shape = section.enum_value<Shape>("law", Shape::exponential,
                                         {{"fixed", Shape::fixed},
                                          {"exponential", Shape::exponential},
                                          {"lognormal", Shape::lognormal},
                                          {"pareto", Shape::pareto}});
  const bool is_pareto = work.shape == Shape::pareto;
  work.spread = section.number("spread", is_pareto ? default_pareto_exponent : default_spread, 0, 100);
  if (is_pareto && work.spread <= 1)
    section.add_error("spread", "must be over 1 for pareto: the mean is infinite otherwise");
  return work;
}

MethodWorkload decode_method_workload(const toml::table& table, ConfigDiagnostics& diagnostics) {
  TomlSection section(table, "method", diagnostics);
  MethodWorkload workload;
  MethodConfig& method = workload.method;
  method.name = section.string("name", {});
  workload.share = section.number("share", 1, 0, max_value);
  workload.work_ms = decode_work_distribution(section);
  method.latency_objective_ms = section.duration_ms("latency_target_ms", {});
  method.deadline_ms = section.duration_ms("deadline_ms", method.latency_objective_ms);
  if (!(method.latency_objective_ms > 0)) section.add_error("latency_target_ms", "must be over 0");
  if (method.deadline_ms < method.latency_objective_ms)
    section.add_error("deadline_ms", "is less than latency_target_ms");
  method.priority_weight = section.number("utility", 1, 0, max_value);
  method.late_weight = section.number("late_utility", 0, 0, 1);
  method.retry_safety = section.enum_value<RetrySafety>("repeats", RetrySafety::idempotent,
                                                        {{"idempotent", RetrySafety::idempotent},
                                                         {"deduplicated", RetrySafety::idempotency_key},
                                                         {"non-idempotent", RetrySafety::non_idempotent}});
  method.deduplication_scope =
      section.enum_value<DeduplicationScope>("group", DeduplicationScope::global,
                                             {{"everywhere", DeduplicationScope::global},
                                              {"zone", DeduplicationScope::zone},
                                              {"cell", DeduplicationScope::cell}});
  method.deduplication_window_ms = section.duration_ms("remembers_ms", 0);
  section.reject_unknown_keys();
  return workload;
}

LoadProfile decode_load(const toml::table& table, ConfigDiagnostics& diagnostics) {
  TomlSection section(table, "load", diagnostics);
  LoadProfile load;
  load.rate_per_second = section.number("rate", {}, 0, max_rate_per_second);
  load.process = section.enum_value<ArrivalProcess>("shape", ArrivalProcess::poisson,
                                                    {{"poisson", ArrivalProcess::poisson},
                                                     {"bursts", ArrivalProcess::bursts},
                                                     {"ramp", ArrivalProcess::ramp}});
  if (load.process == ArrivalProcess::bursts) {
    load.burst_factor = section.number("burst_times", {}, 1, 1000);
    load.mean_burst_ms = section.duration_ms("burst_ms", {});
    load.mean_calm_ms = section.duration_ms("calm_ms", {});
    if (load.mean_burst_ms <= 0 || load.mean_calm_ms <= 0)
      section.add_error("burst_ms", "and calm_ms must be over 0");
  }
  if (load.process == ArrivalProcess::ramp)
    load.final_rate_per_second = section.number("ramp_to", {}, 0, max_rate_per_second);
  load.zipf_exponent = section.number("skew", 0, 0, 5);
  section.reject_unknown_keys();
  return load;
}

NetworkConfig decode_network(const toml::table& table, ConfigDiagnostics& diagnostics) {
  TomlSection section(table, "net", diagnostics);
  NetworkConfig network;
  network.delay_ms = section.duration_ms("delay_ms", network.delay_ms);
  network.jitter_ms = section.duration_ms("jitter_ms", network.jitter_ms);
  network.cross_zone_ms = section.duration_ms("cross_zone_ms", network.cross_zone_ms);
  network.loss_rate = section.number("loss", 0, 0, 0.9);
  network.retransmit_ms = section.duration_ms("retransmit_ms", network.retransmit_ms);
  network.handshake_ms = section.duration_ms("handshake_ms", 0);
  network.handshake_work_ms = section.duration_ms("handshake_work_ms", 0);
  network.connect_timeout_ms = section.duration_ms("connect_timeout_ms", network.connect_timeout_ms);
  network.idle_timeout_ms = section.duration_ms("idle_ms", network.idle_timeout_ms);
  section.reject_unknown_keys();
  return network;
}

ClientConfig decode_clients(const toml::table& table, ConfigDiagnostics& diagnostics) {
  TomlSection section(table, "clients", diagnostics);
  ClientConfig clients;
  clients.retries = section.integer("retries", 0, 0, 100);
  clients.retry_delay_ms = section.duration_ms("wait_ms", clients.retry_delay_ms);
  clients.exponential_backoff = section.boolean("doubles", false);
  clients.retry_after_compliance = section.number("heeds", 1, 0, 1);
  section.reject_unknown_keys();
  return clients;
}

DiscoveryConfig decode_discovery(const toml::table& table, ConfigDiagnostics& diagnostics) {
  TomlSection section(table, "list", diagnostics);
  DiscoveryConfig discovery;
  discovery.is_polled = section.enum_value<bool>("mode", false, {{"told", false}, {"asked", true}});
  discovery.delay_ms = section.duration_ms("delay_ms", discovery.delay_ms);
  discovery.spread_ms = section.duration_ms("spread_ms", discovery.spread_ms);
  discovery.detection_ms = section.duration_ms("notice_ms", discovery.detection_ms);
  discovery.full_list_work_ms = section.duration_ms("whole_ms", 0);
  discovery.changes_work_ms = section.duration_ms("changes_ms", 0);
  discovery.queue_capacity = section.integer("queue", discovery.queue_capacity, 0, 1000000);
  section.reject_unknown_keys();
  return discovery;
}

OperatingRules decode_rules(const toml::table& table, ConfigDiagnostics& diagnostics) {
  TomlSection section(table, "rules", diagnostics);
  OperatingRules rules;
  rules.drain_grace_ms = section.duration_ms("grace_ms", rules.drain_grace_ms);
  rules.slow_start_overload_factor =
      section.number("cold_multiple", rules.slow_start_overload_factor, 1, 1000);
  rules.slow_start_window_ms = section.duration_ms("cold_span_ms", rules.slow_start_window_ms);
  rules.max_retry_after_ms = section.duration_ms("advice_ms", 0);
  rules.max_attempts = section.integer("most_picks", rules.max_attempts, 1, 100);
  rules.cancellation_enabled = section.boolean("cancelling", true);
  rules.probing_enabled = section.boolean("probes", false);
  rules.load_reports_enabled = section.boolean("reports", false);
  rules.probe_cost = section.number("probe_price", 0, 0, 1);
  rules.handshake_cost = section.number("handshake_price", 0, 0, 1);
  rules.cross_zone_cost = section.number("cross_zone_price", 0, 0, 1);
  section.reject_unknown_keys();
  return rules;
}

LimitConfig decode_limits(TomlSection& top, ConfigDiagnostics& diagnostics) {
  TomlSection section(top.table("limits", false), "limits", diagnostics);
  LimitConfig limits;
  limits.by_index = section.enum_value<bool>("by", false, {{"chance", false}, {"turns", true}});
  limits.instance_factor = section.number("told", 1, 0.01, 100);
  limits.fleet.connections = section.number("connections", 0, 0, max_value);
  limits.fleet.handshakes_per_second = section.number("handshakes", 0, 0, max_value);
  limits.fleet.health_checks_per_second = section.number("probes", 0, 0, max_value);
  limits.fleet.discovery_polls_per_second = section.number("list_calls", 0, 0, max_value);
  if (const auto error = find_limits_error(limits.fleet, {})) top.add_error("limits", *error);
  section.reject_unknown_keys();
  return limits;
}

GossipConfig decode_gossip(TomlSection& top, int sidecars, ConfigDiagnostics& diagnostics) {
  TomlSection section(top.table("talk", false), "talk", diagnostics);
  GossipConfig gossip;
  gossip.enabled = top.has("talk");
  gossip.voters = section.integer("voters", gossip.voters, 0, 99);
  gossip.seeds = section.integer("seeds", gossip.seeds, 1, 100);
  gossip.max_quota_holders = section.integer("most", gossip.max_quota_holders, 1, 100000);
  gossip.probe_interval_ms = section.duration_ms("period_ms", gossip.probe_interval_ms);
  gossip.probe_timeout_ms = section.duration_ms("timeout_ms", gossip.probe_timeout_ms);
  gossip.lease_ms = section.duration_ms("lease_ms", gossip.lease_ms);
  gossip.quota_refresh_ms = section.duration_ms("share_ms", gossip.quota_refresh_ms);
  gossip.registration_lease_ms = section.seconds_as_ms("seat_s", gossip.registration_lease_ms);
  gossip.retries_per_second = section.number("further_picks", 0, 0, max_value);
  gossip.guaranteed_minimum = section.number("floor", 0, 0, max_value);
  gossip.loss_rate = section.number("loss", 0, 0, 0.9);
  gossip.duplicate_rate = section.number("doubled", 0, 0, 1);
  gossip.delay_ms = section.duration_ms("delay_ms", 0);
  gossip.jitter_ms = section.duration_ms("jitter_ms", 0);
  gossip.late_rate = section.number("late", 0, 0, 1);
  gossip.late_by_ms = section.duration_ms("late_by_ms", 0);
  if (gossip.enabled && (gossip.voters > sidecars || gossip.seeds > sidecars))
    top.add_error("talk", "has more voters or seeds than sidecars");
  section.reject_unknown_keys();
  return gossip;
}

const std::map<std::string, Fault::Kind>& fault_kinds() {
  using Kind = Fault::Kind;
  static const std::map<std::string, Kind> kinds{{"restart_sidecars", Kind::restart_sidecars},
                                                 {"lose_zone", Kind::lose_zone},
                                                 {"kill_servers", Kind::kill_servers},
                                                 {"replace", Kind::replace_servers},
                                                 {"drain", Kind::drain_servers},
                                                 {"stall", Kind::stall_servers},
                                                 {"slow", Kind::slow_servers},
                                                 {"errors", Kind::server_errors},
                                                 {"loss", Kind::packet_loss},
                                                 {"surge", Kind::load_surge},
                                                 {"list_overbooked", Kind::discovery_overload},
                                                 {"list_silent", Kind::discovery_outage},
                                                 {"stop_sidecars", Kind::suspend_sidecars},
                                                 {"end_sidecars", Kind::terminate_sidecars},
                                                 {"cut_talk", Kind::gossip_partition}};
  return kinds;
}

// Returns whether the fault may start at different times at the affected sidecars or servers.
bool can_be_spread(Fault::Kind kind) {
  using Kind = Fault::Kind;
  return kind == Kind::restart_sidecars || kind == Kind::suspend_sidecars ||
         kind == Kind::terminate_sidecars || kind == Kind::replace_servers || kind == Kind::drain_servers ||
         kind == Kind::kill_servers;
}

bool affects_a_share(Fault::Kind kind) {
  using Kind = Fault::Kind;
  return can_be_spread(kind) || kind == Kind::gossip_partition || kind == Kind::stall_servers ||
         kind == Kind::slow_servers || kind == Kind::server_errors;
}

bool has_factor(Fault::Kind kind) {
  using Kind = Fault::Kind;
  return kind == Kind::slow_servers || kind == Kind::load_surge || kind == Kind::discovery_overload;
}

bool has_rate(Fault::Kind kind) {
  return kind == Fault::Kind::server_errors || kind == Fault::Kind::packet_loss;
}

Fault decode_fault(const toml::table& table, const Scenario& scenario, ConfigDiagnostics& diagnostics) {
  TomlSection section(table, "trouble", diagnostics);
  Fault fault{};
  fault.kind = section.enum_value<Fault::Kind>("what", {}, fault_kinds());
  fault.start_ms = section.seconds_as_ms("at_s", {});
  fault.duration_ms = section.seconds_as_ms("for_s", {});
  if (fault.start_ms <= 0 || fault.start_ms >= scenario.duration_ms)
    section.add_error("at_s", "is outside the run");
  if (affects_a_share(fault.kind)) fault.share = section.number("share", {}, 0, 1);
  if (can_be_spread(fault.kind)) fault.spread_ms = section.seconds_as_ms("over_s", 0);
  if (has_factor(fault.kind)) fault.factor = section.number("factor", {}, 0.001, 1000);
  if (has_rate(fault.kind)) fault.factor = section.number("rate", {}, 0, 0.999);
  if (fault.kind == Fault::Kind::lose_zone)
    fault.zone = section.integer("zone", 0, 0, std::max(scenario.zones - 1, 0));
  if (fault.kind == Fault::Kind::gossip_partition) fault.one_way = section.boolean("one_way", false);
  section.reject_unknown_keys();
  return fault;
}

void decode_run(TomlSection& top, Scenario& scenario) {
  constexpr double max_seed = 1e15;  // exact as a double
  scenario.name = top.string("name", "scenario");
  scenario.seed = static_cast<std::uint64_t>(top.number("seed", 1, 0, max_seed));
  scenario.duration_ms = top.seconds_as_ms("seconds", {});
  scenario.warmup_ms = top.seconds_as_ms("warmup_s", 0);
  if (scenario.duration_ms <= 0) top.add_error("seconds", "must be over 0");
  if (scenario.warmup_ms >= scenario.duration_ms) top.add_error("warmup_s", "leaves no time to measure");
  scenario.sidecars = top.integer("sidecars", {}, 1, 100000);
}

void decode_fleet(TomlSection& top, Scenario& scenario, ConfigDiagnostics& diagnostics) {
  for (const toml::table* table : top.tables("server", true))
    scenario.servers.push_back(decode_server_group(*table, diagnostics));
  for (const toml::table* table : top.tables("method", true))
    scenario.methods.push_back(decode_method_workload(*table, diagnostics));
  for (const ServerGroup& group : scenario.servers) scenario.zones = std::max(scenario.zones, group.zones);
  double share_sum = 0;
  for (const MethodWorkload& workload : scenario.methods) share_sum += workload.share;
  if (!scenario.methods.empty() && share_sum <= 0) top.add_error("method", "has no share over 0");
}

}  // namespace

Scenario decode_scenario(const toml::table& table) {
  ConfigDiagnostics diagnostics;
  TomlSection top(table, "", diagnostics);
  Scenario scenario;
  decode_run(top, scenario);
  decode_fleet(top, scenario, diagnostics);
  scenario.load = decode_load(top.table("load", true), diagnostics);
  scenario.network = decode_network(top.table("net", false), diagnostics);
  scenario.clients = decode_clients(top.table("clients", false), diagnostics);
  scenario.discovery = decode_discovery(top.table("list", false), diagnostics);
  scenario.rules = decode_rules(top.table("rules", false), diagnostics);
  scenario.limits = decode_limits(top, diagnostics);
  scenario.gossip = decode_gossip(top, scenario.sidecars, diagnostics);
  for (const toml::table* fault : top.tables("trouble", false))
    scenario.faults.push_back(decode_fault(*fault, scenario, diagnostics));
  top.table("ranges", false);
  top.reject_unknown_keys();
  diagnostics.throw_if_any();
  // The search ranges are decoded last, because they refer to values of a valid scenario.
  decode_search_ranges(table);
  return scenario;
}

}  // namespace indigorill::emulator
