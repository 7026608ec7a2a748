#include "options.h"

#include <cmath>
#include <fstream>
#include <set>

namespace indigorill {
namespace {

// Who the others are, and how this one is reached by them.
company::traits decode_members(section& s) {
  company::traits m;
  m.fleet = s.text_of("fleet", {});
  if (s.has("fleet") && !plain_name(m.fleet))
    s.fault_here("fleet", "is no name: 64 letters, digits and -_.:/ at most");
  const auto address = [&](const char* key, const std::string& text) {
    const auto a = parse_address(text);
    if (s.has(key) && (!a || a->sin_port == 0)) s.fault_here(key, "is not an address and a port: " + text);
    return a.value_or(sockaddr_in{});
  };
  const std::string listen = s.text_of("listen", {});
  m.listen = address("listen", listen);
  m.advertised = s.text_of("advertise", listen);
  if (m.advertised != listen) address("advertise", m.advertised);
  m.seeds = s.texts("seeds");
  for (const std::string& seed : m.seeds) {
    address("seeds", seed);
    if (seed == m.advertised || seed == listen) s.fault_here("seeds", "holds this one's own address " + seed);
  }
  m.period = s.ms("period_ms", m.period);
  m.timeout = s.ms("timeout_ms", m.timeout);
  constexpr double least_period = 50;  // ms; oftener, two probes overlap on any network but loopback
  if (m.period < least_period) s.fault_here("period_ms", "is under 50");
  // The helpers are asked after the first time-out and need as long once more.
  if (m.timeout <= 0 || 2 * m.timeout > m.period)
    s.fault_here("timeout_ms", "is not over 0 and at most half of period_ms");
  m.voters = s.texts("voters");
  m.lease = s.ms("lease_ms", m.lease);
  constexpr double most_drift = 0.1;
  m.drift = s.number("drift", m.drift, 0, most_drift);
  if (!m.voters.empty() && m.voters.size() % 2 == 0)
    s.fault_here("voters", "are even in number: one more bears no more losses");
  std::set<std::string> names;
  for (const std::string& v : m.voters)
    if (!plain_name(v) || !names.insert(v).second)
      s.fault_here("voters", "holds no name, or one twice: " + v);
  // A round is three messages each way; a third of a lease has to bear two rounds that are lost.
  constexpr double rounds = 10;
  if (!m.voters.empty() && m.lease < rounds * m.timeout)
    s.fault_here("lease_ms", "is under ten times timeout_ms: it would end before it can be renewed");
  s.none_left();
  return m;
}

// What is divided, and how long a part of it lasts.
shares_traits decode_budgets(section& s, faults& wrong, const company::traits& among) {
  shares_traits t;
  constexpr int most_sidecars = 100000;
  constexpr double most_units = 1e9, per_second = 1000;
  t.most = s.whole("most", {}, 1, most_sidecars);
  t.share = s.ms("share_ms", t.share);
  t.seat = s.seconds("seat_s", t.seat);
  t.drift = among.drift;
  // A renewal comes after a third of a lease and may fail once; what is given must end before the right does.
  if (t.share <= 0 || t.stretched(t.share) > among.lease / 3)
    s.fault_here("share_ms", "is not over 0 and at most a third of lease_ms");
  if (t.share < 3 * among.timeout)
    s.fault_here("share_ms", "is under three times timeout_ms: it would end before it can be renewed");
  if (t.seat < t.share) s.fault_here("seat_s", "is shorter than share_ms");
  section picks(s.inner("further_picks", false), "budgets.further_picks", wrong);
  if (s.has("further_picks")) {
    budget_of_all b{"further_picks", picks.number("a_second", {}, 0, most_units), 0, per_second};
    b.floor = picks.number("floor", 0, 0, most_units);
    if (b.floor * t.most > b.whole) picks.fault_here("floor", "times the most sidecars is over the whole");
    if (b.floor != std::floor(b.floor)) picks.fault_here("floor", "is not a whole number");
    t.budgets.push_back(b);
  } else {
    s.fault_here("further_picks", "is missing: there is nothing to divide");
  }
  picks.none_left();
  s.none_left();
  return t;
}

}  // namespace

options decode_options(const toml::table& from) {
  faults wrong;
  section top(from, "", wrong);
  options o;
  section log(top.inner("log", false), "log", wrong);
  o.shown = log.word<level>(
      "level", o.shown,
      {{"error", level::error}, {"warning", level::warning}, {"info", level::info}, {"debug", level::debug}});
  o.form = log.word<log_form>("form", o.form, {{"text", log_form::text}, {"json", log_form::json}});
  o.counters_every = log.seconds("counters_every_s", 0);
  constexpr double least = 1000;  // ms; oftener they would be a flood
  if (o.counters_every > 0 && o.counters_every < least)
    log.fault_here("counters_every_s", "is under a second");
  log.none_left();
  section limits(top.inner("limits", false), "limits", wrong);
  constexpr double most_mb = 1 << 20, mb = 1024 * 1024;
  constexpr int most_sockets = 1 << 20, least_sockets = 33;
  if (const double memory = limits.number("memory_mb", 0, 0, most_mb); memory > 0)
    o.memory = static_cast<std::size_t>(memory * mb);
  if (const int sockets = limits.whole("sockets", 0, 0, most_sockets); sockets > 0) {
    if (sockets < least_sockets) limits.fault_here("sockets", "allows too few");
    o.descriptors = static_cast<std::size_t>(sockets);
  }
  limits.none_left();
  if (top.has("members")) {
    section members(top.inner("members", false), "members", wrong);
    o.with_others = decode_members(members);
  }
  if (top.has("budgets")) {
    section budgets(top.inner("budgets", false), "budgets", wrong);
    if (!o.with_others || o.with_others->voters.empty())
      budgets.fault_here("share_ms", "has nobody to divide: members.voters is missing");
    const shares_traits s = decode_budgets(budgets, wrong, o.with_others.value_or(company::traits{}));
    if (o.with_others) o.with_others->budgets = s;
  }
  top.none_left();
  wrong.raise();
  return o;
}

std::optional<std::string> fault_of_name(const std::string& name) {
  if (plain_name(name)) return {};
  return "config: field name is no name among members: 64 letters, digits and -_.:/ at most";
}

std::vector<std::string> faults_of_config(const std::string& path, const options& with,
                                          const std::function<const char*(const char*)>& variable) {
  std::vector<std::string> all;
  try {
    const nlohmann::json j = read_config(path, variable);
    check_start(j, [&](const std::string& fault) { all.push_back(fault); });
    if (all.empty() && with.with_others)
      if (const auto fault = fault_of_name(decode_start(j).name)) all.push_back(*fault);
  } catch (const malformed& e) {
    all.push_back(e.what());
  }
  return all;
}

}  // namespace indigorill
