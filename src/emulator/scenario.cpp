#include "emulator/scenario.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <numeric>
#include <set>
#include <sstream>

namespace indigorill::emulator {
namespace {

constexpr double max_value = 1e9;

ServerGroup decode_server_group(const toml::table& t, ConfigDiagnostics& wrong) {
  TomlSection s(t, "server", wrong);
  ServerGroup k;
  k.name = s.string("kind", "server");
  k.count = s.integer("count", {}, 1, 10000);
  k.cores = s.integer("cores", 1, 1, 1024);
  k.queue_capacity = s.integer("queue", 10, 0, 1000000000);
  k.zones = s.integer("zones", 1, 1, 100);
  k.cells = s.integer("cells", 1, 1, 1000);
  k.max_connections = s.integer("connections", 1000, 1, 10000000);
  k.speed = s.number("speed", 1, 0.001, 1000);
  k.speed_spread = s.number("speed_spread", 0, 0, 1);
  k.slow_start_initial_capacity = s.number("cold_from", 1, 0.001, 1);
  k.slow_start_duration_ms = s.duration_ms("cold_ms", 0);
  k.error_rate = s.number("error_share", 0, 0, 1);
  s.reject_unknown_keys();
  return k;
}

MethodWorkload decode_method_workload(const toml::table& t, ConfigDiagnostics& wrong) {
  TomlSection s(t, "method", wrong);
  MethodWorkload k;
  k.method.name = s.string("name", {});
  k.share = s.number("share", 1, 0, max_value);
  k.work_ms.mean = s.number("work_ms", {}, 1e-6, 1e6);
  k.work_ms.shape = s.enum_value<DistributionShape>("law", DistributionShape::exponential,
                                                    {{"fixed", DistributionShape::fixed},
                                                     {"exponential", DistributionShape::exponential},
                                                     {"lognormal", DistributionShape::lognormal},
                                                     {"pareto", DistributionShape::pareto}});
  k.work_ms.spread = s.number("spread", k.work_ms.shape == DistributionShape::pareto ? 2.5 : 0.5, 0, 100);
  if (k.work_ms.shape == DistributionShape::pareto && k.work_ms.spread <= 1)
    s.add_error("spread", "must be over 1 for pareto, which has no mean else");
  k.method.latency_objective_ms = s.duration_ms("latency_target_ms", {});
  k.method.deadline_ms = s.duration_ms("deadline_ms", k.method.latency_objective_ms);
  if (!(k.method.latency_objective_ms > 0)) s.add_error("latency_target_ms", "must be over 0");
  if (k.method.deadline_ms < k.method.latency_objective_ms)
    s.add_error("deadline_ms", "lies before the latency target");
  k.method.priority_weight = s.number("utility", 1, 0, max_value);
  k.method.late_weight = s.number("late_utility", 0, 0, 1);
  k.method.retry_safety = s.enum_value<RetrySafety>("repeats", RetrySafety::idempotent,
                                                    {{"idempotent", RetrySafety::idempotent},
                                                     {"deduplicated", RetrySafety::idempotency_key},
                                                     {"non-idempotent", RetrySafety::non_idempotent}});
  k.method.deduplication_scope = s.enum_value<DeduplicationScope>("group", DeduplicationScope::global,
                                                                  {{"everywhere", DeduplicationScope::global},
                                                                   {"zone", DeduplicationScope::zone},
                                                                   {"cell", DeduplicationScope::cell}});
  k.method.deduplication_window_ms = s.duration_ms("remembers_ms", 0);
  s.reject_unknown_keys();
  return k;
}

Fault decode_fault(const toml::table& t, double length, int zones, ConfigDiagnostics& wrong) {
  using Kind = Fault::Kind;
  TomlSection s(t, "trouble", wrong);
  Fault is{};
  is.kind = s.enum_value<Kind>("what", {},
                               {{"restart_sidecars", Kind::restart_sidecars},
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
                                {"cut_talk", Kind::gossip_partition}});
  is.start_ms = s.seconds_as_ms("at_s", {});
  is.duration_ms = s.seconds_as_ms("for_s", {});
  if (is.start_ms <= 0 || is.start_ms >= length) s.add_error("at_s", "lies outside the run");
  const std::set<Kind> of_some{Kind::restart_sidecars, Kind::suspend_sidecars, Kind::terminate_sidecars,
                               Kind::gossip_partition, Kind::kill_servers,     Kind::replace_servers,
                               Kind::drain_servers,    Kind::stall_servers,    Kind::slow_servers,
                               Kind::server_errors};
  const std::set<Kind> spread{Kind::restart_sidecars, Kind::suspend_sidecars, Kind::terminate_sidecars,
                              Kind::replace_servers,  Kind::drain_servers,    Kind::kill_servers};
  const std::set<Kind> by_factor{Kind::slow_servers, Kind::load_surge, Kind::discovery_overload};
  if (of_some.count(is.kind)) is.share = s.number("share", {}, 0, 1);
  if (spread.count(is.kind)) is.spread_ms = s.seconds_as_ms("over_s", 0);
  if (by_factor.count(is.kind)) is.factor = s.number("factor", {}, 0.001, 1000);
  if (is.kind == Kind::server_errors || is.kind == Kind::packet_loss)
    is.factor = s.number("rate", {}, 0, 0.999);
  if (is.kind == Kind::lose_zone) is.zone = s.integer("zone", 0, 0, std::max(zones - 1, 0));
  if (is.kind == Kind::gossip_partition) is.one_way = s.boolean("one_way", false);
  s.reject_unknown_keys();
  return is;
}

}  // namespace

std::string zone_name(int zone) { return "zone-" + std::to_string(zone); }

ArrivalPattern make_arrival_pattern(const Scenario& s, RandomStream& chance) {
  const LoadProfile& l = s.load;
  ArrivalPattern p{{}, l.rate_per_second, std::max(l.rate_per_second, l.final_rate_per_second)};
  if (l.process == ArrivalProcess::bursts) {
    const double whole = l.mean_burst_ms + l.mean_calm_ms;
    p.calm_rate = l.rate_per_second * whole / (l.burst_factor * l.mean_burst_ms + l.mean_calm_ms);
    p.peak_rate = p.calm_rate * l.burst_factor;
    bool in_one = chance.bernoulli(l.mean_burst_ms / whole);
    for (double t = 0; t < s.duration_ms; in_one = !in_one) {
      p.bursts.push_back({t, in_one});
      t += chance.exponential(in_one ? l.mean_burst_ms : l.mean_calm_ms);
    }
  }
  for (const Fault& t : s.faults)
    if (t.kind == Fault::Kind::load_surge) p.peak_rate *= std::max(t.factor, 1.0);
  return p;
}

double arrival_rate(const Scenario& s, const ArrivalPattern& p, double when) {
  const LoadProfile& l = s.load;
  if (l.process == ArrivalProcess::ramp)
    return l.rate_per_second + (l.final_rate_per_second - l.rate_per_second) * when / s.duration_ms;
  if (l.process == ArrivalProcess::poisson) return l.rate_per_second;
  const auto after = std::upper_bound(p.bursts.begin(), p.bursts.end(), std::pair(when, true));
  return after != p.bursts.begin() && std::prev(after)->second ? p.calm_rate * l.burst_factor : p.calm_rate;
}

std::vector<std::uint32_t> sample_indices(std::size_t n, double share, RandomStream& chance) {
  std::vector<std::uint32_t> all(n);
  std::iota(all.begin(), all.end(), 0u);
  const auto wanted = static_cast<std::size_t>(std::lround(share * static_cast<double>(n)));
  for (std::size_t i = 0; i < wanted; ++i) std::swap(all[i], all[i + chance.uniform_index(n - i)]);
  all.resize(wanted);
  return all;
}

std::pair<std::size_t, double> sample_rpc(const Scenario& s, RandomStream& chance) {
  double shares = 0;
  for (const MethodWorkload& k : s.methods) shares += k.share;
  double x = chance.uniform() * shares;
  std::size_t method = 0;
  while (method + 1 < s.methods.size() && (x -= s.methods[method].share) >= 0) ++method;
  return {method, chance.sample(s.methods[method].work_ms)};
}

int Scenario::initial_server_count() const {
  int n = 0;
  for (const ServerGroup& k : servers) n += k.count;
  return n;
}

double Scenario::longest_deadline_ms() const {
  double most = 0;
  for (const MethodWorkload& k : methods) most = std::max(most, k.method.deadline_ms);
  return most;
}

LoadBalancerConfig Scenario::load_balancer_config(int zone) const {
  LoadBalancerConfig t;
  for (const MethodWorkload& k : methods) t.methods.push_back(k.method);
  t.zone = zone_name(zone);
  t.max_attempts = rules.most_picks;
  t.cancellation_enabled = rules.cancelling;
  t.probing_enabled = rules.probes;
  t.probes_report_load = rules.reports;
  t.must_poll_endpoints = discovery.asked;
  t.max_retry_after_ms = rules.advice;
  t.cross_zone_cost = rules.cross_zone_price;
  t.probe_cost = rules.probe_price;
  t.handshake_cost = rules.handshake_price;
  constexpr double ask_within = 10000;  // ms; the sidecar's own default
  t.max_poll_silence_ms = ask_within;
  t.sidecar_count = sidecars;
  t.slow_start_initial_weight = 1;
  for (const ServerGroup& k : servers) {
    t.slow_start_initial_weight = std::min(t.slow_start_initial_weight, k.slow_start_initial_capacity);
    t.slow_start_duration_ms = std::max(t.slow_start_duration_ms, k.slow_start_duration_ms);
  }
  t.slow_start_overload_factor = rules.multiple;
  t.slow_start_burst_ms = rules.span;
  return t;
}

Scenario decode_scenario(const toml::table& from) {
  ConfigDiagnostics wrong;
  TomlSection top(from, "", wrong);
  Scenario s;
  s.name = top.string("name", "scenario");
  s.seed = static_cast<std::uint64_t>(top.number("seed", 1, 0, 1e15));
  s.duration_ms = top.seconds_as_ms("seconds", {});
  s.warmup_ms = top.seconds_as_ms("warmup_s", 0);
  if (s.duration_ms <= 0) top.add_error("seconds", "must be over 0");
  if (s.warmup_ms >= s.duration_ms) top.add_error("warmup_s", "leaves nothing to measure");
  s.sidecars = top.integer("sidecars", {}, 1, 100000);
  for (const toml::table* t : top.tables("server", true)) s.servers.push_back(decode_server_group(*t, wrong));
  for (const toml::table* t : top.tables("method", true))
    s.methods.push_back(decode_method_workload(*t, wrong));
  for (const ServerGroup& k : s.servers) s.zones = std::max(s.zones, k.zones);
  double shares = 0;
  for (const MethodWorkload& k : s.methods) shares += k.share;
  if (!s.methods.empty() && shares <= 0) top.add_error("method", "has no share over 0");

  TomlSection load(top.table("load", true), "load", wrong);
  s.load.rate_per_second = load.number("rate", {}, 0, 1e7);
  s.load.process = load.enum_value<ArrivalProcess>("shape", ArrivalProcess::poisson,
                                                   {{"poisson", ArrivalProcess::poisson},
                                                    {"bursts", ArrivalProcess::bursts},
                                                    {"ramp", ArrivalProcess::ramp}});
  if (s.load.process == ArrivalProcess::bursts) {
    s.load.burst_factor = load.number("burst_times", {}, 1, 1000);
    s.load.mean_burst_ms = load.duration_ms("burst_ms", {});
    s.load.mean_calm_ms = load.duration_ms("calm_ms", {});
    if (s.load.mean_burst_ms <= 0 || s.load.mean_calm_ms <= 0)
      load.add_error("burst_ms", "and calm_ms must be over 0");
  }
  if (s.load.process == ArrivalProcess::ramp)
    s.load.final_rate_per_second = load.number("ramp_to", {}, 0, 1e7);
  s.load.zipf_exponent = load.number("skew", 0, 0, 5);
  load.reject_unknown_keys();

  TomlSection net(top.table("net", false), "net", wrong);
  s.network.delay = net.duration_ms("delay_ms", s.network.delay);
  s.network.jitter = net.duration_ms("jitter_ms", s.network.jitter);
  s.network.cross_zone = net.duration_ms("cross_zone_ms", s.network.cross_zone);
  s.network.loss = net.number("loss", 0, 0, 0.9);
  s.network.retransmit = net.duration_ms("retransmit_ms", s.network.retransmit);
  s.network.handshake = net.duration_ms("handshake_ms", 0);
  s.network.handshake_work = net.duration_ms("handshake_work_ms", 0);
  s.network.connect_timeout = net.duration_ms("connect_timeout_ms", s.network.connect_timeout);
  s.network.idle = net.duration_ms("idle_ms", s.network.idle);
  net.reject_unknown_keys();

  TomlSection clients(top.table("clients", false), "clients", wrong);
  s.clients.retries = clients.integer("retries", 0, 0, 100);
  s.clients.wait = clients.duration_ms("wait_ms", s.clients.wait);
  s.clients.doubles = clients.boolean("doubles", false);
  s.clients.heeds = clients.number("heeds", 1, 0, 1);
  clients.reject_unknown_keys();

  TomlSection list(top.table("list", false), "list", wrong);
  s.discovery.asked = list.enum_value<bool>("mode", false, {{"told", false}, {"asked", true}});
  s.discovery.delay = list.duration_ms("delay_ms", s.discovery.delay);
  s.discovery.spread = list.duration_ms("spread_ms", s.discovery.spread);
  s.discovery.notice = list.duration_ms("notice_ms", s.discovery.notice);
  s.discovery.whole = list.duration_ms("whole_ms", 0);
  s.discovery.changes = list.duration_ms("changes_ms", 0);
  s.discovery.queue = list.integer("queue", s.discovery.queue, 0, 1000000);
  list.reject_unknown_keys();

  TomlSection rules(top.table("rules", false), "rules", wrong);
  s.rules.grace = rules.duration_ms("grace_ms", s.rules.grace);
  s.rules.multiple = rules.number("cold_multiple", s.rules.multiple, 1, 1000);
  s.rules.span = rules.duration_ms("cold_span_ms", s.rules.span);
  s.rules.advice = rules.duration_ms("advice_ms", 0);
  s.rules.most_picks = rules.integer("most_picks", s.rules.most_picks, 1, 100);
  s.rules.cancelling = rules.boolean("cancelling", true);
  s.rules.probes = rules.boolean("probes", false);
  s.rules.reports = rules.boolean("reports", false);
  s.rules.probe_price = rules.number("probe_price", 0, 0, 1);
  s.rules.handshake_price = rules.number("handshake_price", 0, 0, 1);
  s.rules.cross_zone_price = rules.number("cross_zone_price", 0, 0, 1);
  rules.reject_unknown_keys();

  TomlSection limits(top.table("limits", false), "limits", wrong);
  s.limits.by_turns = limits.enum_value<bool>("by", false, {{"chance", false}, {"turns", true}});
  s.limits.told = limits.number("told", 1, 0.01, 100);
  s.limits.all = {limits.number("connections", 0, 0, max_value), limits.number("handshakes", 0, 0, max_value),
                  limits.number("probes", 0, 0, max_value), limits.number("list_calls", 0, 0, max_value)};
  if (const auto fault = find_limits_error(s.limits.all, {})) top.add_error("limits", *fault);
  limits.reject_unknown_keys();

  TomlSection talk(top.table("talk", false), "talk", wrong);
  s.gossip.on = top.has("talk");
  s.gossip.voters = talk.integer("voters", s.gossip.voters, 0, 99);
  s.gossip.seeds = talk.integer("seeds", s.gossip.seeds, 1, 100);
  s.gossip.most = talk.integer("most", s.gossip.most, 1, 100000);
  s.gossip.period = talk.duration_ms("period_ms", s.gossip.period);
  s.gossip.timeout = talk.duration_ms("timeout_ms", s.gossip.timeout);
  s.gossip.lease = talk.duration_ms("lease_ms", s.gossip.lease);
  s.gossip.share = talk.duration_ms("share_ms", s.gossip.share);
  s.gossip.seat = talk.seconds_as_ms("seat_s", s.gossip.seat);
  s.gossip.further_picks = talk.number("further_picks", 0, 0, 1e9);
  s.gossip.floor = talk.number("floor", 0, 0, 1e9);
  s.gossip.loss = talk.number("loss", 0, 0, 0.9);
  s.gossip.doubled = talk.number("doubled", 0, 0, 1);
  s.gossip.delay = talk.duration_ms("delay_ms", 0);
  s.gossip.jitter = talk.duration_ms("jitter_ms", 0);
  s.gossip.late = talk.number("late", 0, 0, 1);
  s.gossip.late_by = talk.duration_ms("late_by_ms", 0);
  if (s.gossip.on && (s.gossip.voters > s.sidecars || s.gossip.seeds > s.sidecars))
    top.add_error("talk", "has more voters or seeds than sidecars");
  talk.reject_unknown_keys();

  for (const toml::table* t : top.tables("trouble", false))
    s.faults.push_back(decode_fault(*t, s.duration_ms, s.zones, wrong));
  top.table("ranges", false);
  top.reject_unknown_keys();
  wrong.throw_if_any();
  // Faults of the ranges come last: they speak of a scenario that is sound.
  decode_search_ranges(from);
  return s;
}

std::optional<std::string> find_unsupported_feature(const Scenario& s) {
  using Kind = Fault::Kind;
  for (const Fault& t : s.faults)
    if (t.kind == Kind::suspend_sidecars || t.kind == Kind::terminate_sidecars ||
        t.kind == Kind::gossip_partition)
      return "troubles stop_sidecars, end_sidecars and cut_talk befall real processes: indigorill-load plays "
             "them";
  return {};
}

namespace {

std::pair<std::string, std::string> split_path(const std::string& path) {
  const std::size_t dot = path.rfind('.');
  if (dot == std::string::npos) return {"", path};
  return {path.substr(0, dot), path.substr(dot + 1)};
}

}  // namespace

void set_value(toml::table& in, const std::string& path, double value) {
  const auto [parent, key] = split_path(path);
  toml::table* t = parent.empty() ? &in : in.at_path(parent).as_table();
  if (!t || key.empty() || key.find('[') != std::string::npos)
    throw ConfigError("nothing in the scenario is named " + path);
  if (value == std::floor(value) && std::abs(value) < 1e15)
    t->insert_or_assign(key, static_cast<std::int64_t>(value));
  else
    t->insert_or_assign(key, value);
}

double value_at(const toml::table& in, const std::string& path) {
  const auto v = in.at_path(path).value<double>();
  if (!v) throw ConfigError("the scenario states no number " + path);
  return *v;
}

std::vector<SearchRange> decode_search_ranges(const toml::table& from) {
  std::vector<SearchRange> all;
  const toml::table* t = from["ranges"].as_table();
  if (!t) return all;
  ConfigDiagnostics wrong;
  for (const auto& [key, n] : *t) {
    const std::string path(key.str());
    const toml::array* a = n.as_array();
    const auto least = a && a->size() == 2 ? a->get(0)->value<double>() : std::nullopt;
    const auto most = a && a->size() == 2 ? a->get(1)->value<double>() : std::nullopt;
    if (!least || !most || *least > *most)
      wrong.add(n.source(), "ranges." + path + " is not [least, most]");
    else if (!from.at_path(path).value<double>())
      wrong.add(n.source(), "ranges." + path + " names no number of the scenario");
    else
      all.push_back({path, *least, *most});
  }
  wrong.throw_if_any();
  return all;
}

}  // namespace indigorill::emulator
