#include "config/options.h"

#include <cmath>
#include <set>
#include <string>

#include "config/toml_section.h"
#include "event/socket.h"

namespace indigorill {
namespace {

constexpr double bytes_per_mb = 1024 * 1024;
constexpr double ms_per_s = 1000;

// At shorter intervals the counters would flood the log.
constexpr double min_counters_interval_ms = 1000;

constexpr double max_memory_mb = 1 << 20;
constexpr int max_sockets = 1 << 20;

// The sidecar's own descriptors must take less than half of the limit; a lower limit would leave too few for
// connections.
constexpr int min_sockets = 33;

// At shorter intervals two probes overlap on any network but loopback.
constexpr double min_probe_interval_ms = 50;

constexpr double max_clock_drift = 0.1;

// A round takes two round trips: prepare and its reply, propose and its reply. A lease is renewed after a
// third of its duration. At this minimum each third is longer than three times timeout_ms, so a round fits in
// it if each reply arrives within timeout_ms.
constexpr double min_probe_timeouts_per_lease = 10;

// A grant is renewed after a third of its duration, and one renewal may fail.
constexpr double min_probe_timeouts_per_grant = 3;

// A lease is renewed after a third of its duration, and grants must expire before the lease that authorizes
// them.
constexpr double min_grants_per_lease = 3;

constexpr int max_quota_holders = 100000;
constexpr double max_budget_per_s = 1e9;

/// Parses `text`, the value of the key. If it is not an address, returns a zero address, and reports an error
/// unless the key is missing.
sockaddr_in check_address(TomlSection& section, const char* key, const std::string& text) {
  const auto address = parse_socket_address(text);
  if (!address && section.has(key)) section.add_error(key, "is not an address and a port: " + text);
  return address.value_or(sockaddr_in{});
}

void decode_addresses(TomlSection& section, ClusterNode::Config& config) {
  const std::string listen = section.string("listen", {});
  config.listen_address = check_address(section, "listen", listen);
  config.advertised_address = section.string("advertise", listen);
  if (config.advertised_address != listen) check_address(section, "advertise", config.advertised_address);
  config.seed_addresses = section.strings("seeds");
  for (const std::string& seed : config.seed_addresses) {
    check_address(section, "seeds", seed);
    if (seed == config.advertised_address || seed == listen)
      section.add_error("seeds", "contains the node's own address " + seed);
  }
}

void decode_probe_timing(TomlSection& section, ClusterNode::Config& config) {
  config.probe_interval_ms = section.duration_ms("period_ms", config.probe_interval_ms);
  config.probe_timeout_ms = section.duration_ms("timeout_ms", config.probe_timeout_ms);
  if (config.probe_interval_ms < min_probe_interval_ms) section.add_error("period_ms", "is below 50 ms");
  // Indirect probes start after the timeout of the direct probe and need the same time again.
  if (config.probe_timeout_ms <= 0 || 2 * config.probe_timeout_ms > config.probe_interval_ms)
    section.add_error("timeout_ms", "must be above 0 and at most half of period_ms");
}

void decode_lease_options(TomlSection& section, ClusterNode::Config& config) {
  config.voters = section.strings("voters");
  config.lease_ms = section.duration_ms("lease_ms", config.lease_ms);
  config.max_clock_drift = section.number("drift", config.max_clock_drift, 0, max_clock_drift);
  if (!config.voters.empty() && config.voters.size() % 2 == 0)
    section.add_error("voters", "has an even number of names: one voter fewer tolerates as many failures");
  std::set<std::string> distinct_voters;
  for (const std::string& voter : config.voters)
    if (!is_valid_name(voter) || !distinct_voters.insert(voter).second)
      section.add_error("voters", "contains an invalid or repeated name: " + voter);
  if (!config.voters.empty() && config.lease_ms < min_probe_timeouts_per_lease * config.probe_timeout_ms)
    section.add_error("lease_ms",
                      "is less than ten times timeout_ms: the lease would expire before it can be renewed");
}

ClusterNode::Config decode_cluster_options(const toml::table& table, ConfigDiagnostics& diagnostics) {
  TomlSection section(table, "members", diagnostics);
  ClusterNode::Config config;
  config.fleet = section.string("fleet", {});
  if (section.has("fleet") && !is_valid_name(config.fleet))
    section.add_error("fleet", "is not a valid name: at most 64 letters, digits and -_.:/");
  decode_addresses(section, config);
  decode_probe_timing(section, config);
  decode_lease_options(section, config);
  section.reject_unknown_keys();
  return config;
}

/// Decodes the retry budget that the fleet shares.
FleetBudget decode_retry_budget(const toml::table& table, int max_holders, ConfigDiagnostics& diagnostics) {
  TomlSection section(table, "budgets.further_picks", diagnostics);
  FleetBudget budget{"further_picks", section.number("a_second", {}, 0, max_budget_per_s), 0, ms_per_s};
  budget.guaranteed_minimum = section.number("floor", 0, 0, max_budget_per_s);
  if (budget.guaranteed_minimum * max_holders > budget.total)
    section.add_error("floor", "multiplied by budgets.most exceeds a_second");
  if (budget.guaranteed_minimum != std::floor(budget.guaranteed_minimum))
    section.add_error("floor", "is not a whole number");
  section.reject_unknown_keys();
  return budget;
}

void decode_grant_timing(TomlSection& section, const ClusterNode::Config& cluster, QuotaConfig& quota) {
  quota.grant_duration_ms = section.duration_ms("share_ms", quota.grant_duration_ms);
  quota.registration_duration_ms = section.seconds_as_ms("seat_s", quota.registration_duration_ms);
  quota.max_clock_drift = cluster.max_clock_drift;
  if (quota.grant_duration_ms <= 0 ||
      quota.with_drift_margin(quota.grant_duration_ms) > cluster.lease_ms / min_grants_per_lease)
    section.add_error("share_ms", "must be above 0 and at most a third of lease_ms");
  if (quota.grant_duration_ms < min_probe_timeouts_per_grant * cluster.probe_timeout_ms)
    section.add_error("share_ms",
                      "is less than three times timeout_ms: the grant would expire before it can be renewed");
  if (quota.registration_duration_ms < quota.grant_duration_ms)
    section.add_error("seat_s", "is shorter than share_ms");
}

QuotaConfig decode_quota_options(TomlSection& section, const ClusterNode::Config& cluster,
                                 ConfigDiagnostics& diagnostics) {
  QuotaConfig quota;
  quota.max_holders = section.integer("most", {}, 1, max_quota_holders);
  decode_grant_timing(section, cluster, quota);
  const toml::table& retry_budget = section.table("further_picks", false);
  if (section.has("further_picks"))
    quota.budgets.push_back(decode_retry_budget(retry_budget, quota.max_holders, diagnostics));
  else
    section.add_error("further_picks", "is missing: there is no budget to allocate");
  section.reject_unknown_keys();
  return quota;
}

void decode_log_options(const toml::table& table, ConfigDiagnostics& diagnostics, Options& options) {
  TomlSection section(table, "log", diagnostics);
  options.log_level = section.enum_value<LogLevel>("level", options.log_level,
                                                   {{"error", LogLevel::error},
                                                    {"warning", LogLevel::warning},
                                                    {"info", LogLevel::info},
                                                    {"debug", LogLevel::debug}});
  options.log_format = section.enum_value<LogFormat>("form", options.log_format,
                                                     {{"text", LogFormat::text}, {"json", LogFormat::json}});
  options.counters_interval_ms = section.seconds_as_ms("counters_every_s", 0);
  if (options.counters_interval_ms > 0 && options.counters_interval_ms < min_counters_interval_ms)
    section.add_error("counters_every_s", "is above 0 and below 1 second");
  section.reject_unknown_keys();
}

void decode_limits(const toml::table& table, ConfigDiagnostics& diagnostics, Options& options) {
  TomlSection section(table, "limits", diagnostics);
  const double memory_mb = section.number("memory_mb", 0, 0, max_memory_mb);
  if (memory_mb > 0) options.max_memory_bytes = static_cast<std::size_t>(memory_mb * bytes_per_mb);
  const int sockets = section.integer("sockets", 0, 0, max_sockets);
  if (sockets > 0) {
    if (sockets < min_sockets)
      section.add_error("sockets", "is too low: too few descriptors would be left for connections");
    options.max_descriptors = static_cast<std::size_t>(sockets);
  }
  section.reject_unknown_keys();
}

void decode_budgets(const toml::table& table, ConfigDiagnostics& diagnostics, Options& options) {
  TomlSection section(table, "budgets", diagnostics);
  if (!options.cluster || options.cluster->voters.empty())
    section.add_error("share_ms", "requires a leader: members.voters is missing or empty");
  const QuotaConfig quota =
      decode_quota_options(section, options.cluster.value_or(ClusterNode::Config{}), diagnostics);
  if (options.cluster) options.cluster->quota = quota;
}

}  // namespace

Options decode_options(const toml::table& file) {
  ConfigDiagnostics diagnostics;
  TomlSection root(file, "", diagnostics);
  Options options;
  decode_log_options(root.table("log", false), diagnostics, options);
  decode_limits(root.table("limits", false), diagnostics, options);
  if (root.has("members"))
    options.cluster = decode_cluster_options(root.table("members", false), diagnostics);
  if (root.has("budgets")) decode_budgets(root.table("budgets", false), diagnostics, options);
  root.reject_unknown_keys();
  diagnostics.throw_if_any();
  return options;
}

}  // namespace indigorill
