#include "play.h"

#include <sys/resource.h>
#include <sys/socket.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cmath>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <set>

#include "../decode/settings.h"
#include "../lab/experiment.h"
#include "crew.h"

namespace indigorill::loading {
namespace {

using lab::trouble;

std::string hex(std::uint64_t v) {
  std::ostringstream s;
  s << std::hex << v;
  return s.str();
}

// As many descriptors as this process may have.
std::size_t raised_limit() {
  rlimit most{};
  ::getrlimit(RLIMIT_NOFILE, &most);
  most.rlim_cur = most.rlim_max;
  ::setrlimit(RLIMIT_NOFILE, &most);
  ::getrlimit(RLIMIT_NOFILE, &most);
  constexpr std::size_t enough = 1 << 20;
  return std::min<std::size_t>(most.rlim_cur, enough);
}

std::vector<std::string> verdict(const told& heard, const fleet& stand_ins, const clients& apps) {
  std::vector<std::string> broken;
  if (heard.unanswered > 0)
    broken.push_back("rule 1: " + std::to_string(heard.unanswered) +
                     " RPCs got no answer before their deadline");
  std::uint64_t twice = 0, ran = 0;
  std::string example;
  for (const auto& [id, s] : stand_ins.rpcs())
    if (s.ran > 1 && apps.once(id)) ++twice, example = id;
  if (twice > 0)
    broken.push_back("rule 2: " + std::to_string(twice) + " non-idempotent RPCs ran twice, " + example +
                     " for one");
  for (const std::string& id : heard.must_not_have_run) {
    const auto it = stand_ins.rpcs().find(id);
    if (it != stand_ins.rpcs().end() && it->second.ran > 0) ++ran, example = id;
  }
  if (ran > 0)
    broken.push_back("rule 2: " + std::to_string(ran) +
                     " non-idempotent RPCs were pushed back though they ran, " + example + " for one");
  if (stand_ins.unreadable > 0)
    broken.push_back(std::to_string(stand_ins.unreadable) +
                     " RPCs came to endpoints without what clients sent");
  return broken;
}

}  // namespace

nlohmann::json config_of(const lab::scenario& s, std::size_t sidecar, const std::string& listen,
                         const std::string& discovery, const std::string& known, std::uint64_t seed) {
  using nlohmann::json;
  const auto us = [](double ms) { return static_cast<std::uint64_t>(std::llround(ms * 1000)); };
  const terrain t = s.ground(static_cast<int>(sidecar) % s.zones);
  json methods = json::array();
  for (const method& m : t.methods) {
    const char* effects[] = {"retryable", "dedup", "fragile"};
    const char* groups[] = {"all", "zone", "cell"};
    methods.push_back({{"name", m.name},
                       {"latencyTarget", us(m.latency_target)},
                       {"deadline", us(m.deadline)},
                       {"utility", m.utility},
                       {"overdueUtility", m.late_utility},
                       {"effect", effects[static_cast<std::size_t>(m.repeats)]},
                       {"group", groups[static_cast<std::size_t>(m.drops_repeats)]},
                       {"dedupWindow", us(m.remembers)}});
  }
  json settings{
      {"methods", methods},
      {"zone", t.zone},
      {"round", us(t.tick)},
      {"balancers", t.sidecars},
      {"discovery", t.must_ask ? "subscribe" : "automatic"},
      {"bounds",
       {{"maxPicks", t.most_picks},
        {"cancelling", t.cancelling},
        {"probes", t.probing},
        {"retryAfter", t.longest_retry_after > 0},
        {"maxRetryAfter", us(t.longest_retry_after)},
        {"keepalive", us(s.net.idle)},
        {"connectTimeout", us(s.net.connect_timeout)}}},
      {"reporting", {{"how", t.probes_report ? "answers" : "none"}, {"fields", json::array({held_word})}}},
      {"charges",
       {{"crossZone", t.cross_zone_price}, {"probe", t.probe_price}, {"handshake", t.handshake_price}}},
      {"rules",
       {{"askWithin", us(t.ask_within)},
        {"coldFrom", t.cold_from},
        {"cold", us(t.cold_for)},
        {"overloadFactor", t.cold_multiple},
        {"fall", us(t.cold_span)},
        {"drainGrace", us(s.rules.grace)}}}};
  return {{"name", "n" + std::to_string(sidecar)},
          {"listen", listen},
          {"discovery", discovery},
          {"seed", hex(lab::seed_of(seed, lab::use::policy, sidecar))},
          {"known", json::parse(known)},
          {"settings", settings}};
}

namespace {

// Stand-ins and where the sidecars are to be.
struct stage {
  explicit stage(const start_of_load& with) : room{raised_limit() - own}, clock(runs) {
    if (with.plays.sidecars > static_cast<int>(ports_of_sidecars))
      throw std::runtime_error("at most " + std::to_string(ports_of_sidecars) + " sidecars on sockets");
    if (with.base_port > 0 && with.base_port + ports_of_servers + with.plays.servers_at_start() > 65535)
      throw std::runtime_error("--base-port leaves no room for the servers' ports");
    stand_ins = std::make_unique<fleet>(runs, room, clock, with.plays, with.seed, with.base_port);
    for (std::size_t i = 0; i < static_cast<std::size_t>(with.plays.sidecars); ++i)
      places.push_back(with.base_port ? loopback_at(port_of(with.base_port, ports_of_sidecars + i))
                                      : free_place());
  }
  static constexpr std::size_t own = 32;  // descriptors for all that is no socket
  loop runs;
  descriptor_budget room;
  clockwork clock;
  std::unique_ptr<fleet> stand_ins;
  std::vector<sockaddr_in> places;
};

nlohmann::json config_at(const start_of_load& with, const stage& on, std::size_t i) {
  return config_of(with.plays, i, text_of(on.places[i]), on.stand_ins->agent(i), on.stand_ins->list(),
                   with.seed);
}

std::optional<talking> talk_of(const lab::scenario& s) {
  if (!s.talk.on) return {};
  const auto& t = s.talk;
  return talking{
      "load",   t.period, t.timeout, t.seeds, {t.loss, t.doubled, t.delay, t.jitter, t.late, t.late_by},
      t.voters, t.lease,  t.share,   t.seat,  t.further_picks,
      t.floor,  t.most};
}

bool of_sidecars(trouble::kind what) {
  using kind = trouble::kind;
  return what == kind::restart_sidecars || what == kind::stop_sidecars || what == kind::end_sidecars ||
         what == kind::cut_talk;
}

void plan(const trouble& t, std::size_t which, stage& on, clients& apps, std::uint64_t seed, crew* sidecars) {
  const auto at = [&](double when, lab::agenda::task what) {
    on.clock.at(when, lab::rank::trouble, std::move(what));
  };
  if (t.what == trouble::kind::surge) {
    at(t.at, [&apps, much = t.factor] { apps.surge(much); });
    return at(t.at + t.lasts, [&apps, much = t.factor] { apps.surge(1 / much); });
  }
  using kind = trouble::kind;
  if (!of_sidecars(t.what)) return on.stand_ins->plan(t, which);
  lab::stream draw(lab::seed_of(seed, lab::use::troubles, which + 1));
  const std::vector<std::uint32_t> some = lab::some_of(sidecars->size(), t.share, draw);
  if (t.what == kind::cut_talk) {
    const std::set<std::size_t> apart(some.begin(), some.end());
    for (const bool is : {true, false})
      at(is ? t.at : t.at + t.lasts, [sidecars, apart, is, one_way = t.one_way] {
        for (std::size_t a = 0; a < sidecars->size(); ++a)
          for (const std::size_t b : apart)
            if (apart.count(a) == 0) {
              sidecars->between().cut(a, b, is);
              if (!one_way) sidecars->between().cut(b, a, is);
            }
      });
    return;
  }
  for (const std::size_t s : some) {
    const double when = t.at + t.over * draw.unit();
    if (t.what == kind::stop_sidecars) {
      // Its machine stands still, its application too: what that had asked is lost to it.
      at(when, [sidecars, &apps, s] {
        sidecars->at(s).signal(SIGSTOP);
        apps.died(s);
      });
      at(when + t.lasts, [sidecars, &apps, s] {
        sidecars->at(s).signal(SIGCONT);
        apps.back(s);
      });
      continue;
    }
    at(when, [sidecars, &apps, s, in_order = t.what == kind::end_sidecars] {
      if (in_order)
        sidecars->at(s).signal(SIGTERM);
      else
        sidecars->at(s).kill();
      apps.died(s);
    });
    at(when + t.lasts, [sidecars, &on, &apps, s] {
      sidecars->at(s).kill();  // one that was told to end and hangs
      sidecars->start(s);
      // Its application waits until it is ready, without holding up the others.
      const auto again = std::make_shared<lab::agenda::task>();
      *again = [&on, &apps, s, again = std::weak_ptr(again)] {
        const descriptor fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
        const auto* where = reinterpret_cast<const sockaddr*>(&on.places[s]);
        constexpr double pause = 5;
        if (fd && ::connect(fd.get(), where, sizeof on.places[s]) == 0) return apps.back(s);
        if (const auto self = again.lock())
          on.clock.at(on.clock.now() + pause, lab::rank::client, [self] { (*self)(); });
      };
      (*again)();
    });
  }
}

}  // namespace

void write_configs(const start_of_load& with, const std::string& to) {
  const stage on(with);
  std::filesystem::create_directories(to);
  for (std::size_t i = 0; i < on.places.size(); ++i)
    write_file(std::filesystem::path(to) / ("n" + std::to_string(i) + ".json"),
               config_at(with, on, i).dump(1));
}

namespace {

// Judged by what came to the stand-ins: picks that were sent within a window come within a little more.
void judge_budget(const lab::scenario& s, const fleet& stand_ins, outcome& o) {
  constexpr double window = 1000, on_the_way = 50;  // ms
  o.further = stand_ins.further().size();
  o.further_by_second.resize(static_cast<std::size_t>(std::ceil(s.length / window)));
  for (const double at : stand_ins.further())
    if (const auto second = static_cast<std::size_t>(std::max(at, 0.0) / window);
        second < o.further_by_second.size())
      ++o.further_by_second[second];
  if (!s.talk.on || s.talk.further_picks <= 0) return;
  o.most_further = stand_ins.most_further(window - on_the_way);
  o.used_of_budget = static_cast<double>(o.further) / (s.talk.further_picks * s.length / window);
  if (static_cast<double>(o.most_further) <= s.talk.further_picks) return;
  ++o.over_budget;
  std::ostringstream text;
  text << "budget: " << o.most_further << " further picks in a second, of " << s.talk.further_picks;
  o.broken.push_back(text.str());
}

}  // namespace

outcome play(const start_of_load& with) {
  ::signal(SIGPIPE, SIG_IGN);
  stage on(with);
  std::unique_ptr<crew> sidecars;
  if (!with.command.empty()) {
    sidecars = std::make_unique<crew>(
        on.runs, with.command, on.places, [&](std::size_t i) { return config_at(with, on, i); },
        talk_of(with.plays), with.seed);
    for (std::size_t i = 0; i < on.places.size(); ++i) sidecars->start(i);
  }
  constexpr double to_begin = 10000;
  for (std::size_t i = 0; i < on.places.size(); ++i) {
    const auto gone = [&] { return sidecars && sidecars->at(i).ended(); };
    if (!ready(on.runs, on.places[i], to_begin, gone))
      throw std::runtime_error("sidecar n" + std::to_string(i) + " at " + text_of(on.places[i]) +
                               " is not ready" + (sidecars ? ": " + sidecars->at(i).last_line() : ""));
  }
  clients apps(on.runs, on.room, on.clock, with.plays, with.seed, with.most, on.places);
  apps.begin();
  for (std::size_t i = 0; i < with.plays.troubles.size(); ++i)
    plan(with.plays.troubles[i], i, on, apps, with.seed, sidecars.get());
  on.clock.start();
  constexpr double spare = 1000, round = 20;
  const double end = with.plays.length + with.plays.longest_deadline();
  while (on.clock.now() < with.plays.length || (apps.open() > 0 && on.clock.now() < end + spare))
    on.runs.round(round);

  outcome o;
  o.heard = apps.heard();
  for (const auto& [id, s] : on.stand_ins->rpcs()) {
    o.came += static_cast<std::uint64_t>(s.came);
    o.ran += static_cast<std::uint64_t>(s.ran);
  }
  o.probes = on.stand_ins->probes;
  o.connections = on.stand_ins->connections;
  o.falls = on.stand_ins->falls;
  o.list_calls = on.stand_ins->list_calls;
  o.broken = verdict(o.heard, *on.stand_ins, apps);
  judge_budget(with.plays, *on.stand_ins, o);
  // The clock of a busy process stands: what it measures then is itself.
  constexpr double too_late = 5, q = 0.99;
  if (o.heard.behind.quantile(q) > too_late) {
    std::ostringstream text;
    text << "one RPC in a hundred was sent " << o.heard.behind.quantile(q) << " ms late or more";
    o.pace = text.str();
  } else if (o.heard.left_out > 0) {
    o.pace = std::to_string(o.heard.left_out) + " RPCs were not sent, for lack of room";
  }
  o.kept_pace = o.pace.empty();
  return o;
}

namespace {

void print(std::ostream& out, const outcome& o) {
  const auto line = [&](const char* name, double v) {
    out << "  " << std::left << std::setw(18) << name << std::setprecision(4) << v << '\n';
  };
  const auto share = [&](std::uint64_t n) {
    return o.heard.tasks ? static_cast<double>(n) / static_cast<double>(o.heard.tasks) : 0;
  };
  out << o.heard.tasks << " RPCs wanted, " << o.heard.sent << " sent with retries\n";
  line("utility", o.heard.utility());
  line("p50_ms", o.heard.answered.quantile(0.5));
  line("p99_ms", o.heard.answered.quantile(0.99));
  out << "  " << std::left << std::setw(18) << "p99.9_ms" << o.heard.answered.quantile(0.999)
      << (o.heard.answered.few(0.999) ? " *" : "") << '\n';
  line("ok", share(o.heard.ok));
  line("late", share(o.heard.late));
  line("pushed_back", share(o.heard.pushed_back));
  line("aborted", share(o.heard.aborted));
  line("unanswered", share(o.heard.unanswered));
  line("lost", share(o.heard.lost));
  line("picks", share(o.came));
  line("handshakes", share(o.connections));
  line("probes", share(o.probes));
  line("list_calls", static_cast<double>(o.list_calls));
  line("falls", static_cast<double>(o.falls));
  line("further_picks", static_cast<double>(o.further));
  if (o.used_of_budget >= 0) {
    line("most_a_second", static_cast<double>(o.most_further));
    line("over_budget", static_cast<double>(o.over_budget));
    line("used_of_budget", o.used_of_budget);
    out << "  further picks, second by second:\n";
    constexpr std::size_t widest = 60;
    const std::size_t most = *std::max_element(o.further_by_second.begin(), o.further_by_second.end());
    for (std::size_t second = 0; second < o.further_by_second.size(); ++second) {
      const std::size_t n = o.further_by_second[second];
      out << "  " << std::right << std::setw(4) << second << std::setw(5) << n << ' '
          << std::string(most > widest ? n * widest / most : n, '#') << '\n';
    }
  }
  line("sent_late_p99_ms", o.heard.behind.quantile(0.99));
  for (const std::string& b : o.broken) out << "  broken: " << b << '\n';
  if (!o.kept_pace) out << "  could not keep its own pace: " << o.pace << '\n';
  if (o.heard.answered.few(0.999)) out << "* fewer than ten samples lie beyond this quantile\n";
}

}  // namespace

int command(int argc, const char* const* argv, std::ostream& out, std::ostream& err) {
  CLI::App app(
      "Plays a scenario on sockets: open-loop load on sidecars, with stand-ins for endpoints and discovery, "
      "all on "
      "loopback. Exit status: 0, 1 if it can't begin, 2 for words or a scenario at fault, 3 if a rule was "
      "broken, "
      "4 if it could not keep its own pace.",
      "indigorill-load");
  std::string file, folder_for_configs;
  std::vector<std::string> settings;
  start_of_load with;
  app.add_option("scenario", file, "the scenario, a TOML file")->required();
  app.add_option("--set", settings, "path=value in place of the file's, as load.rate=500");
  app.add_option("--seed", with.seed, "in place of the scenario's");
  app.add_option("--start", with.command, "the sidecar's program, started as often as the scenario says");
  app.add_option("--base-port", with.base_port,
                 "agents listen from here on, sidecars 1000 above, endpoints 2000 above");
  app.add_option("--write-configs", folder_for_configs, "write the sidecars' configs into a folder, and end");
  app.add_option("--most", with.most, "RPCs, at most")->check(CLI::Range(1, 100000000));
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    return app.exit(e, out, err) == 0 ? 0 : 2;
  }
  try {
    toml::table t = read_toml(file);
    with.plays = lab::decode_scenario(t);
    for (const std::string& text : settings) {
      const auto [path, value] = lab::parse_setting(text);
      lab::set_value(t, path, value);
    }
    with.plays = lab::decode_scenario(t);
    if (app.count("--seed") == 0) with.seed = with.plays.seed;
    std::string wrong;
    for (const std::string& fault : not_on_sockets(with.plays)) wrong += (wrong.empty() ? "" : "\n") + fault;
    for (const trouble& is : with.plays.troubles)
      if (is.what == trouble::kind::cut_talk && !with.plays.talk.on)
        wrong = "trouble cut_talk wants a section talk";
    if (with.command.empty() && with.base_port == 0)
      wrong = "neither --start nor --base-port: where are the sidecars?";
    if (with.command.empty())
      for (const trouble& is : with.plays.troubles)
        if (of_sidecars(is.what))
          wrong =
              "trouble restart_sidecars wants --start, as do all of sidecars: only what it started does it "
              "kill";
    if (!wrong.empty()) throw faulty(wrong);
    if (!folder_for_configs.empty()) {
      write_configs(with, folder_for_configs);
      out << with.plays.sidecars << " configs in " << folder_for_configs << '\n';
      return 0;
    }
    const outcome o = play(with);
    print(out, o);
    return !o.broken.empty() ? 3 : !o.kept_pace ? 4 : 0;
  } catch (const faulty& e) {
    err << e.what() << '\n';
    return 2;
  } catch (const std::exception& e) {
    err << "indigorill-load: " << e.what() << '\n';
    return 1;
  }
}

}  // namespace indigorill::loading
