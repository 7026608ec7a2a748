#include "scenario.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <numeric>
#include <set>
#include <sstream>

namespace indigorill::lab {
namespace {

constexpr double huge = 1e9;

server_kind decode_server(const toml::table& t, faults& wrong) {
  section s(t, "server", wrong);
  server_kind k;
  k.name = s.text_of("kind", "server");
  k.count = s.whole("count", {}, 1, 10000);
  k.cores = s.whole("cores", 1, 1, 1024);
  k.queue = s.whole("queue", 10, 0, 1000000000);
  k.zones = s.whole("zones", 1, 1, 100);
  k.cells = s.whole("cells", 1, 1, 1000);
  k.connections = s.whole("connections", 1000, 1, 10000000);
  k.speed = s.number("speed", 1, 0.001, 1000);
  k.speed_spread = s.number("speed_spread", 0, 0, 1);
  k.cold_from = s.number("cold_from", 1, 0.001, 1);
  k.cold_for = s.ms("cold_ms", 0);
  k.error_share = s.number("error_share", 0, 0, 1);
  s.none_left();
  return k;
}

work_kind decode_method(const toml::table& t, faults& wrong) {
  section s(t, "method", wrong);
  work_kind k;
  k.is.name = s.text_of("name", {});
  k.share = s.number("share", 1, 0, huge);
  k.work.mean = s.number("work_ms", {}, 1e-6, 1e6);
  k.work.of = s.word<shape>("law", shape::exponential,
                            {{"fixed", shape::fixed},
                             {"exponential", shape::exponential},
                             {"lognormal", shape::lognormal},
                             {"pareto", shape::pareto}});
  k.work.spread = s.number("spread", k.work.of == shape::pareto ? 2.5 : 0.5, 0, 100);
  if (k.work.of == shape::pareto && k.work.spread <= 1)
    s.fault_here("spread", "must be over 1 for pareto, which has no mean else");
  k.is.latency_target = s.ms("latency_target_ms", {});
  k.is.deadline = s.ms("deadline_ms", k.is.latency_target);
  if (!(k.is.latency_target > 0)) s.fault_here("latency_target_ms", "must be over 0");
  if (k.is.deadline < k.is.latency_target) s.fault_here("deadline_ms", "lies before the latency target");
  k.is.utility = s.number("utility", 1, 0, huge);
  k.is.late_utility = s.number("late_utility", 0, 0, 1);
  k.is.repeats = s.word<repeatable>("repeats", repeatable::idempotent,
                                    {{"idempotent", repeatable::idempotent},
                                     {"deduplicated", repeatable::deduplicated},
                                     {"non-idempotent", repeatable::non_idempotent}});
  k.is.drops_repeats =
      s.word<group>("group", group::everywhere,
                    {{"everywhere", group::everywhere}, {"zone", group::zone}, {"cell", group::cell}});
  k.is.remembers = s.ms("remembers_ms", 0);
  s.none_left();
  return k;
}

trouble decode_trouble(const toml::table& t, double length, int zones, faults& wrong) {
  using kind = trouble::kind;
  section s(t, "trouble", wrong);
  trouble is{};
  is.what = s.word<kind>("what", {},
                         {{"restart_sidecars", kind::restart_sidecars},
                          {"lose_zone", kind::lose_zone},
                          {"kill_servers", kind::kill_servers},
                          {"replace", kind::replace},
                          {"drain", kind::drain},
                          {"stall", kind::stall},
                          {"slow", kind::slow},
                          {"errors", kind::errors},
                          {"loss", kind::loss},
                          {"surge", kind::surge},
                          {"list_overbooked", kind::list_overbooked},
                          {"list_silent", kind::list_silent},
                          {"stop_sidecars", kind::stop_sidecars},
                          {"end_sidecars", kind::end_sidecars},
                          {"cut_talk", kind::cut_talk}});
  is.at = s.seconds("at_s", {});
  is.lasts = s.seconds("for_s", {});
  if (is.at <= 0 || is.at >= length) s.fault_here("at_s", "lies outside the run");
  const std::set<kind> of_some{
      kind::restart_sidecars, kind::stop_sidecars, kind::end_sidecars, kind::cut_talk, kind::kill_servers,
      kind::replace,          kind::drain,         kind::stall,        kind::slow,     kind::errors};
  const std::set<kind> spread{kind::restart_sidecars, kind::stop_sidecars, kind::end_sidecars,
                              kind::replace,          kind::drain,         kind::kill_servers};
  const std::set<kind> by_factor{kind::slow, kind::surge, kind::list_overbooked};
  if (of_some.count(is.what)) is.share = s.number("share", {}, 0, 1);
  if (spread.count(is.what)) is.over = s.seconds("over_s", 0);
  if (by_factor.count(is.what)) is.factor = s.number("factor", {}, 0.001, 1000);
  if (is.what == kind::errors || is.what == kind::loss) is.factor = s.number("rate", {}, 0, 0.999);
  if (is.what == kind::lose_zone) is.zone = s.whole("zone", 0, 0, std::max(zones - 1, 0));
  if (is.what == kind::cut_talk) is.one_way = s.mark("one_way", false);
  s.none_left();
  return is;
}

}  // namespace

std::string zone_name(int zone) { return "zone-" + std::to_string(zone); }

pace pace_of(const scenario& s, stream& chance) {
  const load_plan& l = s.load;
  pace p{{}, l.rate, std::max(l.rate, l.ramp_to)};
  if (l.come == arrivals::bursts) {
    const double whole = l.burst_for + l.calm_for;
    p.calm = l.rate * whole / (l.burst_times * l.burst_for + l.calm_for);
    p.most = p.calm * l.burst_times;
    bool in_one = chance.happens(l.burst_for / whole);
    for (double t = 0; t < s.length; in_one = !in_one) {
      p.bursts.push_back({t, in_one});
      t += chance.exponential(in_one ? l.burst_for : l.calm_for);
    }
  }
  for (const trouble& t : s.troubles)
    if (t.what == trouble::kind::surge) p.most *= std::max(t.factor, 1.0);
  return p;
}

double rate_at(const scenario& s, const pace& p, double when) {
  const load_plan& l = s.load;
  if (l.come == arrivals::ramp) return l.rate + (l.ramp_to - l.rate) * when / s.length;
  if (l.come == arrivals::poisson) return l.rate;
  const auto after = std::upper_bound(p.bursts.begin(), p.bursts.end(), std::pair(when, true));
  return after != p.bursts.begin() && std::prev(after)->second ? p.calm * l.burst_times : p.calm;
}

std::vector<std::uint32_t> some_of(std::size_t n, double share, stream& chance) {
  std::vector<std::uint32_t> all(n);
  std::iota(all.begin(), all.end(), 0u);
  const auto wanted = static_cast<std::size_t>(std::lround(share * static_cast<double>(n)));
  for (std::size_t i = 0; i < wanted; ++i) std::swap(all[i], all[i + chance.below(n - i)]);
  all.resize(wanted);
  return all;
}

std::pair<std::size_t, double> draw_rpc(const scenario& s, stream& chance) {
  double shares = 0;
  for (const work_kind& k : s.methods) shares += k.share;
  double x = chance.unit() * shares;
  std::size_t method = 0;
  while (method + 1 < s.methods.size() && (x -= s.methods[method].share) >= 0) ++method;
  return {method, chance.draw(s.methods[method].work)};
}

int scenario::servers_at_start() const {
  int n = 0;
  for (const server_kind& k : servers) n += k.count;
  return n;
}

double scenario::longest_deadline() const {
  double most = 0;
  for (const work_kind& k : methods) most = std::max(most, k.is.deadline);
  return most;
}

terrain scenario::ground(int zone) const {
  terrain t;
  for (const work_kind& k : methods) t.methods.push_back(k.is);
  t.zone = zone_name(zone);
  t.most_picks = rules.most_picks;
  t.cancelling = rules.cancelling;
  t.probing = rules.probes;
  t.probes_report = rules.reports;
  t.must_ask = list.asked;
  t.longest_retry_after = rules.advice;
  t.cross_zone_price = rules.cross_zone_price;
  t.probe_price = rules.probe_price;
  t.handshake_price = rules.handshake_price;
  constexpr double ask_within = 10000;  // ms; the sidecar's own default
  t.ask_within = ask_within;
  t.sidecars = sidecars;
  t.cold_from = 1;
  for (const server_kind& k : servers) {
    t.cold_from = std::min(t.cold_from, k.cold_from);
    t.cold_for = std::max(t.cold_for, k.cold_for);
  }
  t.cold_multiple = rules.multiple;
  t.cold_span = rules.span;
  return t;
}

scenario decode_scenario(const toml::table& from) {
  faults wrong;
  section top(from, "", wrong);
  scenario s;
  s.name = top.text_of("name", "scenario");
  s.seed = static_cast<std::uint64_t>(top.number("seed", 1, 0, 1e15));
  s.length = top.seconds("seconds", {});
  s.warmup = top.seconds("warmup_s", 0);
  if (s.length <= 0) top.fault_here("seconds", "must be over 0");
  if (s.warmup >= s.length) top.fault_here("warmup_s", "leaves nothing to measure");
  s.sidecars = top.whole("sidecars", {}, 1, 100000);
  for (const toml::table* t : top.tables("server", true)) s.servers.push_back(decode_server(*t, wrong));
  for (const toml::table* t : top.tables("method", true)) s.methods.push_back(decode_method(*t, wrong));
  for (const server_kind& k : s.servers) s.zones = std::max(s.zones, k.zones);
  double shares = 0;
  for (const work_kind& k : s.methods) shares += k.share;
  if (!s.methods.empty() && shares <= 0) top.fault_here("method", "has no share over 0");

  section load(top.inner("load", true), "load", wrong);
  s.load.rate = load.number("rate", {}, 0, 1e7);
  s.load.come = load.word<arrivals>(
      "shape", arrivals::poisson,
      {{"poisson", arrivals::poisson}, {"bursts", arrivals::bursts}, {"ramp", arrivals::ramp}});
  if (s.load.come == arrivals::bursts) {
    s.load.burst_times = load.number("burst_times", {}, 1, 1000);
    s.load.burst_for = load.ms("burst_ms", {});
    s.load.calm_for = load.ms("calm_ms", {});
    if (s.load.burst_for <= 0 || s.load.calm_for <= 0)
      load.fault_here("burst_ms", "and calm_ms must be over 0");
  }
  if (s.load.come == arrivals::ramp) s.load.ramp_to = load.number("ramp_to", {}, 0, 1e7);
  s.load.skew = load.number("skew", 0, 0, 5);
  load.none_left();

  section net(top.inner("net", false), "net", wrong);
  s.net.delay = net.ms("delay_ms", s.net.delay);
  s.net.jitter = net.ms("jitter_ms", s.net.jitter);
  s.net.cross_zone = net.ms("cross_zone_ms", s.net.cross_zone);
  s.net.loss = net.number("loss", 0, 0, 0.9);
  s.net.retransmit = net.ms("retransmit_ms", s.net.retransmit);
  s.net.handshake = net.ms("handshake_ms", 0);
  s.net.handshake_work = net.ms("handshake_work_ms", 0);
  s.net.connect_timeout = net.ms("connect_timeout_ms", s.net.connect_timeout);
  s.net.idle = net.ms("idle_ms", s.net.idle);
  net.none_left();

  section clients(top.inner("clients", false), "clients", wrong);
  s.clients.retries = clients.whole("retries", 0, 0, 100);
  s.clients.wait = clients.ms("wait_ms", s.clients.wait);
  s.clients.doubles = clients.mark("doubles", false);
  s.clients.heeds = clients.number("heeds", 1, 0, 1);
  clients.none_left();

  section list(top.inner("list", false), "list", wrong);
  s.list.asked = list.word<bool>("mode", false, {{"told", false}, {"asked", true}});
  s.list.delay = list.ms("delay_ms", s.list.delay);
  s.list.spread = list.ms("spread_ms", s.list.spread);
  s.list.notice = list.ms("notice_ms", s.list.notice);
  s.list.whole = list.ms("whole_ms", 0);
  s.list.changes = list.ms("changes_ms", 0);
  s.list.queue = list.whole("queue", s.list.queue, 0, 1000000);
  list.none_left();

  section rules(top.inner("rules", false), "rules", wrong);
  s.rules.grace = rules.ms("grace_ms", s.rules.grace);
  s.rules.multiple = rules.number("cold_multiple", s.rules.multiple, 1, 1000);
  s.rules.span = rules.ms("cold_span_ms", s.rules.span);
  s.rules.advice = rules.ms("advice_ms", 0);
  s.rules.most_picks = rules.whole("most_picks", s.rules.most_picks, 1, 100);
  s.rules.cancelling = rules.mark("cancelling", true);
  s.rules.probes = rules.mark("probes", false);
  s.rules.reports = rules.mark("reports", false);
  s.rules.probe_price = rules.number("probe_price", 0, 0, 1);
  s.rules.handshake_price = rules.number("handshake_price", 0, 0, 1);
  s.rules.cross_zone_price = rules.number("cross_zone_price", 0, 0, 1);
  rules.none_left();

  section limits(top.inner("limits", false), "limits", wrong);
  s.limits.by_turns = limits.word<bool>("by", false, {{"chance", false}, {"turns", true}});
  s.limits.told = limits.number("told", 1, 0.01, 100);
  s.limits.all = {limits.number("connections", 0, 0, huge), limits.number("handshakes", 0, 0, huge),
                  limits.number("probes", 0, 0, huge), limits.number("list_calls", 0, 0, huge)};
  if (const auto fault = fault_of(s.limits.all, {})) top.fault_here("limits", *fault);
  limits.none_left();

  section talk(top.inner("talk", false), "talk", wrong);
  s.talk.on = top.has("talk");
  s.talk.voters = talk.whole("voters", s.talk.voters, 0, 99);
  s.talk.seeds = talk.whole("seeds", s.talk.seeds, 1, 100);
  s.talk.most = talk.whole("most", s.talk.most, 1, 100000);
  s.talk.period = talk.ms("period_ms", s.talk.period);
  s.talk.timeout = talk.ms("timeout_ms", s.talk.timeout);
  s.talk.lease = talk.ms("lease_ms", s.talk.lease);
  s.talk.share = talk.ms("share_ms", s.talk.share);
  s.talk.seat = talk.seconds("seat_s", s.talk.seat);
  s.talk.further_picks = talk.number("further_picks", 0, 0, 1e9);
  s.talk.floor = talk.number("floor", 0, 0, 1e9);
  s.talk.loss = talk.number("loss", 0, 0, 0.9);
  s.talk.doubled = talk.number("doubled", 0, 0, 1);
  s.talk.delay = talk.ms("delay_ms", 0);
  s.talk.jitter = talk.ms("jitter_ms", 0);
  s.talk.late = talk.number("late", 0, 0, 1);
  s.talk.late_by = talk.ms("late_by_ms", 0);
  if (s.talk.on && (s.talk.voters > s.sidecars || s.talk.seeds > s.sidecars))
    top.fault_here("talk", "has more voters or seeds than sidecars");
  talk.none_left();

  for (const toml::table* t : top.tables("trouble", false))
    s.troubles.push_back(decode_trouble(*t, s.length, s.zones, wrong));
  top.inner("ranges", false);
  top.none_left();
  wrong.raise();
  // Faults of the ranges come last: they speak of a scenario that is sound.
  ranges_of(from);
  return s;
}

std::optional<std::string> not_emulated(const scenario& s) {
  using kind = trouble::kind;
  for (const trouble& t : s.troubles)
    if (t.what == kind::stop_sidecars || t.what == kind::end_sidecars || t.what == kind::cut_talk)
      return "troubles stop_sidecars, end_sidecars and cut_talk befall real processes: indigorill-load plays "
             "them";
  return {};
}

namespace {

std::pair<std::string, std::string> parted(const std::string& path) {
  const std::size_t dot = path.rfind('.');
  if (dot == std::string::npos) return {"", path};
  return {path.substr(0, dot), path.substr(dot + 1)};
}

}  // namespace

void set_value(toml::table& in, const std::string& path, double value) {
  const auto [parent, key] = parted(path);
  toml::table* t = parent.empty() ? &in : in.at_path(parent).as_table();
  if (!t || key.empty() || key.find('[') != std::string::npos)
    throw faulty("nothing in the scenario is named " + path);
  if (value == std::floor(value) && std::abs(value) < 1e15)
    t->insert_or_assign(key, static_cast<std::int64_t>(value));
  else
    t->insert_or_assign(key, value);
}

double value_at(const toml::table& in, const std::string& path) {
  const auto v = in.at_path(path).value<double>();
  if (!v) throw faulty("the scenario states no number " + path);
  return *v;
}

std::vector<range> ranges_of(const toml::table& from) {
  std::vector<range> all;
  const toml::table* t = from["ranges"].as_table();
  if (!t) return all;
  faults wrong;
  for (const auto& [key, n] : *t) {
    const std::string path(key.str());
    const toml::array* a = n.as_array();
    const auto least = a && a->size() == 2 ? a->get(0)->value<double>() : std::nullopt;
    const auto most = a && a->size() == 2 ? a->get(1)->value<double>() : std::nullopt;
    if (!least || !most || *least > *most)
      wrong.at(n.source(), "ranges." + path + " is not [least, most]");
    else if (!from.at_path(path).value<double>())
      wrong.at(n.source(), "ranges." + path + " names no number of the scenario");
    else
      all.push_back({path, *least, *most});
  }
  wrong.raise();
  return all;
}

}  // namespace indigorill::lab
