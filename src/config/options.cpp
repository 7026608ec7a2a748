#include "config/options.h"

#include <cmath>
#include <fstream>
#include <set>

namespace indigorill {
namespace {

// Who the others are, and how this one is reached by them.
ClusterNode::Config decode_membership_options(TomlSection& s) {
  ClusterNode::Config m;
  m.fleet = s.string("fleet", {});
  if (s.has("fleet") && !is_valid_name(m.fleet))
    s.add_error("fleet", "is no name: 64 letters, digits and -_.:/ at most");
  const auto address = [&](const char* key, const std::string& text) {
    const auto a = parse_socket_address(text);
    if (s.has(key) && (!a || a->sin_port == 0)) s.add_error(key, "is not an address and a port: " + text);
    return a.value_or(sockaddr_in{});
  };
  const std::string listen = s.string("listen", {});
  m.listen_address = address("listen", listen);
  m.advertised_address = s.string("advertise", listen);
  if (m.advertised_address != listen) address("advertise", m.advertised_address);
  m.seed_addresses = s.strings("seeds");
  for (const std::string& seed : m.seed_addresses) {
    address("seeds", seed);
    if (seed == m.advertised_address || seed == listen)
      s.add_error("seeds", "holds this one's own address " + seed);
  }
  m.probe_interval_ms = s.duration_ms("period_ms", m.probe_interval_ms);
  m.probe_timeout_ms = s.duration_ms("timeout_ms", m.probe_timeout_ms);
  constexpr double least_period = 50;  // ms; oftener, two probes overlap on any network but loopback
  if (m.probe_interval_ms < least_period) s.add_error("period_ms", "is under 50");
  // The helpers are asked after the first time-out and need as long once more.
  if (m.probe_timeout_ms <= 0 || 2 * m.probe_timeout_ms > m.probe_interval_ms)
    s.add_error("timeout_ms", "is not over 0 and at most half of period_ms");
  m.voters = s.strings("voters");
  m.lease_ms = s.duration_ms("lease_ms", m.lease_ms);
  constexpr double most_drift = 0.1;
  m.max_clock_drift = s.number("drift", m.max_clock_drift, 0, most_drift);
  if (!m.voters.empty() && m.voters.size() % 2 == 0)
    s.add_error("voters", "are even in number: one more bears no more losses");
  std::set<std::string> names;
  for (const std::string& v : m.voters)
    if (!is_valid_name(v) || !names.insert(v).second)
      s.add_error("voters", "holds no name, or one twice: " + v);
  // A round is three messages each way; a third of a lease has to bear two rounds that are lost.
  constexpr double rounds = 10;
  if (!m.voters.empty() && m.lease_ms < rounds * m.probe_timeout_ms)
    s.add_error("lease_ms", "is under ten times timeout_ms: it would end before it can be renewed");
  s.reject_unknown_keys();
  return m;
}

// What is divided, and how long a part of it lasts.
QuotaConfig decode_quota_options(TomlSection& s, ConfigDiagnostics& wrong, const ClusterNode::Config& among) {
  QuotaConfig t;
  constexpr int most_sidecars = 100000;
  constexpr double most_units = 1e9, per_second = 1000;
  t.max_holders = s.integer("most", {}, 1, most_sidecars);
  t.grant_duration_ms = s.duration_ms("share_ms", t.grant_duration_ms);
  t.registration_duration_ms = s.seconds_as_ms("seat_s", t.registration_duration_ms);
  t.max_clock_drift = among.max_clock_drift;
  // A renewal comes after a third of a lease and may fail once; what is given must end before the right does.
  if (t.grant_duration_ms <= 0 || t.with_drift_margin(t.grant_duration_ms) > among.lease_ms / 3)
    s.add_error("share_ms", "is not over 0 and at most a third of lease_ms");
  if (t.grant_duration_ms < 3 * among.probe_timeout_ms)
    s.add_error("share_ms", "is under three times timeout_ms: it would end before it can be renewed");
  if (t.registration_duration_ms < t.grant_duration_ms) s.add_error("seat_s", "is shorter than share_ms");
  TomlSection picks(s.table("further_picks", false), "budgets.further_picks", wrong);
  if (s.has("further_picks")) {
    FleetBudget b{"further_picks", picks.number("a_second", {}, 0, most_units), 0, per_second};
    b.guaranteed_minimum = picks.number("floor", 0, 0, most_units);
    if (b.guaranteed_minimum * t.max_holders > b.total)
      picks.add_error("floor", "times the most sidecars is over the whole");
    if (b.guaranteed_minimum != std::floor(b.guaranteed_minimum))
      picks.add_error("floor", "is not a whole number");
    t.budgets.push_back(b);
  } else {
    s.add_error("further_picks", "is missing: there is nothing to divide");
  }
  picks.reject_unknown_keys();
  s.reject_unknown_keys();
  return t;
}

}  // namespace

Options decode_options(const toml::table& from) {
  ConfigDiagnostics wrong;
  TomlSection top(from, "", wrong);
  Options o;
  TomlSection log(top.table("log", false), "log", wrong);
  o.log_level = log.enum_value<LogLevel>("level", o.log_level,
                                         {{"error", LogLevel::error},
                                          {"warning", LogLevel::warning},
                                          {"info", LogLevel::info},
                                          {"debug", LogLevel::debug}});
  o.log_format =
      log.enum_value<LogFormat>("form", o.log_format, {{"text", LogFormat::text}, {"json", LogFormat::json}});
  o.counters_interval_ms = log.seconds_as_ms("counters_every_s", 0);
  constexpr double least = 1000;  // ms; oftener they would be a flood
  if (o.counters_interval_ms > 0 && o.counters_interval_ms < least)
    log.add_error("counters_every_s", "is under a second");
  log.reject_unknown_keys();
  TomlSection limits(top.table("limits", false), "limits", wrong);
  constexpr double most_mb = 1 << 20, mb = 1024 * 1024;
  constexpr int most_sockets = 1 << 20, least_sockets = 33;
  if (const double memory = limits.number("memory_mb", 0, 0, most_mb); memory > 0)
    o.max_memory_bytes = static_cast<std::size_t>(memory * mb);
  if (const int sockets = limits.integer("sockets", 0, 0, most_sockets); sockets > 0) {
    if (sockets < least_sockets) limits.add_error("sockets", "allows too few");
    o.max_descriptors = static_cast<std::size_t>(sockets);
  }
  limits.reject_unknown_keys();
  if (top.has("members")) {
    TomlSection members(top.table("members", false), "members", wrong);
    o.cluster = decode_membership_options(members);
  }
  if (top.has("budgets")) {
    TomlSection budgets(top.table("budgets", false), "budgets", wrong);
    if (!o.cluster || o.cluster->voters.empty())
      budgets.add_error("share_ms", "has nobody to divide: members.voters is missing");
    const QuotaConfig s = decode_quota_options(budgets, wrong, o.cluster.value_or(ClusterNode::Config{}));
    if (o.cluster) o.cluster->quota = s;
  }
  top.reject_unknown_keys();
  wrong.throw_if_any();
  return o;
}

std::optional<std::string> find_node_name_error(const std::string& name) {
  if (is_valid_name(name)) return {};
  return "config: field name is no name among members: 64 letters, digits and -_.:/ at most";
}

std::vector<std::string> find_config_errors(const std::string& path, const Options& with,
                                            const std::function<const char*(const char*)>& variable) {
  std::vector<std::string> all;
  try {
    const nlohmann::json j = read_config_json(path, variable);
    check_sidecar_config(j, [&](const std::string& fault) { all.push_back(fault); });
    if (all.empty() && with.cluster)
      if (const auto fault = find_node_name_error(decode_sidecar_config(j).name)) all.push_back(*fault);
  } catch (const ParseError& e) {
    all.push_back(e.what());
  }
  return all;
}

}  // namespace indigorill
