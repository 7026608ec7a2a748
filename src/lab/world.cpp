#include "world.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace indigorill::lab {
namespace {

constexpr double ms_per_s = 1000;

std::string server_name(std::uint32_t server) { return std::string("s").append(std::to_string(server)); }

std::uint32_t server_number(const std::string& name) {
  std::uint32_t n = 0;
  std::from_chars(name.data() + 1, name.data() + name.size(), n);
  return n;
}

std::uint64_t number(const std::string& id) {
  std::uint64_t n = 0;
  std::from_chars(id.data(), id.data() + id.size(), n);
  return n;
}

}  // namespace

bool world::rpc::idle() const {
  return std::all_of(picks.begin(), picks.end(), [](const pick& p) { return p.in == stage::over; });
}

// ---- set up ----------------------------------------------------------------------------------------------

world::world(const scenario& s, policy p, std::uint64_t number_of_run, std::vector<witness*> listeners)
    : plays(s),
      by(p),
      seed(number_of_run),
      told(std::move(listeners)),
      end_at(s.length + s.longest_deadline()),
      network(seed_of(seed, use::network)),
      lists(seed_of(seed, use::list)),
      wishes(seed_of(seed, use::clients)),
      loss(s.net.loss) {
  stream speeds(seed_of(seed, use::servers));
  for (const server_kind& k : plays.servers)
    for (int i = 0; i < k.count; ++i)
      add_server(k, i % k.zones, i % k.cells, speeds.draw({shape::lognormal, k.speed, k.speed_spread}));
  for (std::uint32_t i = 0; i < places.size(); ++i) first_list.push_back(shown(i, standing::ready));

  stream shares(seed_of(seed, use::shares));
  comes = pace_of(plays, shares);
  sidecars.resize(static_cast<std::size_t>(plays.sidecars));
  double all = 0;
  for (std::size_t i = 0; i < sidecars.size(); ++i)
    all += sidecars[i].weight = std::pow(static_cast<double>(i) + 1, -plays.load.skew);
  for (std::uint32_t i = 0; i < sidecars.size(); ++i) {
    sidecar& c = sidecars[i];
    c.weight /= all;
    c.zone = static_cast<int>(i) % plays.zones;
    c.arrives = stream(seed_of(seed, use::arrivals, i));
    start_sidecar(i);
    next_arrival(i);
  }
  for (std::size_t i = 0; i < plays.troubles.size(); ++i) plan(plays.troubles[i], i);
}

std::uint32_t world::add_server(const server_kind& k, int zone, int cell, double speed) {
  const auto index = static_cast<std::uint32_t>(places.size());
  place& at = places.emplace_back();
  at.zone = zone;
  at.cell = cell;
  at.kind = &k;
  at.speed = speed;
  station::traits is{
      k.cores,         k.queue, speed, k.cold_from, k.cold_for, k.error_share, plays.rules.multiple,
      plays.rules.span};
  at.at = std::make_unique<station>(
      due, is, seed_of(seed, use::faults, index),
      station::events{
          [this, index](std::uint64_t of) {
            const auto it = jobs.find(of);
            if (it == jobs.end() || it->second.rpc == 0) return;
            if (places[index].at->warmth() < 1) ++this_second().cold_began;
            entry e{entry::what::pick_began};
            e.rpc = it->second.rpc;
            e.pick = it->second.pick;
            e.server = index;
            e.sidecar = it->second.sidecar;
            say(e);
          },
          [this, index](std::uint64_t of, station::outcome how, double held) { ended(index, of, how, held); },
          [this, index] {
            ++seen.falls;
            stop_server(index, false, true);
          }});
  say_what_it_is(index);
  return index;
}

void world::say_what_it_is(std::uint32_t server) {
  const place& at = places[server];
  entry e{entry::what::server_is};
  e.server = server;
  e.capacity = at.kind->cores * at.speed;
  e.started = at.at->started();
  e.cold_from = at.kind->cold_from;
  e.cold_for = at.kind->cold_for;
  e.zone = at.zone;
  e.cell = at.cell;
  say(e);
}

void world::start_sidecar(std::uint32_t s) {
  sidecar& c = sidecars[s];
  c.up = true;
  ++c.life;
  c.subscribed = c.news_due = c.whole_next = false;
  c.call = 0;
  c.resting.assign(places.size(), {});
  c.patience = connect_patience(plays.net.connect_timeout);
  c.within.reset();
  c.barred.clear();
  if (plays.limits.any() && by == policy::module) {
    place_among where{std::max(1.0, std::round(plays.sidecars * plays.limits.told)), 1, {}};
    if (plays.limits.by_turns) where.turn = s;
    c.within = std::make_unique<limits>(plays.limits.all, where, seed_of(seed, use::policy, s));
  }
  c.decides = make_brain(
      by, plays.ground(c.zone), seed_of(seed, use::policy, s + (std::uint64_t{c.life} << 32)), due.now(),
      [this, s](const std::string& server) { return true_time(s, server_number(server)); });
  // The list as it last had it is restored, as a sidecar finds it in its config.
  const bool lags = c.known < changes.size();
  if (lags && !c.behind) ++behind;
  c.behind = lags;
  tell(s, true, false);
  if (!plays.list.asked && c.behind) news_for(s);
}

void world::plan(const trouble& t, std::size_t which) {
  using kind = trouble::kind;
  stream chance(seed_of(seed, use::troubles, which + 1));
  const auto at = [this](double when, agenda::task what) { due.at(when, rank::trouble, std::move(what)); };
  const double from = t.at, until = t.at + t.lasts;
  // Drawn now, so that what happens until then changes nothing.
  const auto befallen = [&](std::size_t n) { return some_of(n, t.share, chance); };
  switch (t.what) {
    case kind::stop_sidecars:
    case kind::end_sidecars:
    case kind::cut_talk:
      return;  // refused before: not_emulated
    case kind::restart_sidecars:
      for (const std::uint32_t s : befallen(sidecars.size())) {
        const double when = from + t.over * chance.unit();
        at(when, [this, s] { kill_sidecar(s); });
        at(when + t.lasts, [this, s] {
          if (!sidecars[s].up) start_sidecar(s);
        });
      }
      return;
    case kind::lose_zone:
      for (std::uint32_t i = 0; i < places.size(); ++i) {
        if (places[i].zone != t.zone) continue;
        at(from, [this, i] { stop_server(i, true, true); });
        at(until, [this, i] { return_server(i); });
      }
      return;
    case kind::kill_servers:
      for (const std::uint32_t i : befallen(places.size())) {
        const double when = from + t.over * chance.unit();
        at(when, [this, i] { stop_server(i, false, true); });
        at(when + t.lasts, [this, i] { return_server(i); });
      }
      return;
    case kind::replace:
    case kind::drain:
      for (const std::uint32_t i : befallen(places.size())) {
        const double when = from + t.over * chance.unit();
        const bool replaced = t.what == kind::replace;
        at(when, [this, i, replaced] {
          places[i].draining = true;
          change(i, standing::draining);
          if (!replaced) return;
          const std::uint32_t fresh =
              add_server(*places[i].kind, places[i].zone, places[i].cell, places[i].speed);
          for (sidecar& c : sidecars) c.resting.resize(places.size());
          return_server(fresh);
        });
        at(when + t.lasts, [this, i, replaced] {
          stop_server(i, false, false);
          change(i, standing::gone);
          places[i].listed = false;
          if (!replaced) return_server(i);
        });
      }
      return;
    case kind::stall:
      for (const std::uint32_t i : befallen(places.size()))
        at(from, [this, i, until] { places[i].at->stall(until); });
      return;
    case kind::slow:
    case kind::errors:
      for (const std::uint32_t i : befallen(places.size())) {
        const bool slow = t.what == kind::slow;
        at(from,
           [this, i, slow, much = t.factor] { slow ? places[i].at->slow(much) : places[i].at->fail(much); });
        at(until, [this, i, slow] {
          slow ? places[i].at->slow(1) : places[i].at->fail(places[i].kind->error_share);
        });
      }
      return;
    case kind::loss:
      at(from, [this, much = t.factor] { loss = much; });
      at(until, [this] { loss = plays.net.loss; });
      return;
    case kind::surge:
      at(from, [this, much = t.factor] { surge *= much; });
      at(until, [this, much = t.factor] { surge /= much; });
      return;
    case kind::list_overbooked:
      at(from, [this, much = t.factor] { list_slowness = much; });
      at(until, [this] { list_slowness = 1; });
      return;
    case kind::list_silent:
      at(from, [this] {
        list_silent = true;
        // Who watches finds out by a silence.
        constexpr double silence = 1500;
        for (std::uint32_t s = 0; s < sidecars.size(); ++s) {
          if (!sidecars[s].subscribed) continue;
          const std::uint64_t call = sidecars[s].call = ++next_call;
          due.at(due.now() + silence, rank::list, [this, s, call] { list_failed(s, call); });
        }
      });
      at(until, [this] {
        list_silent = false;
        for (std::uint32_t s = 0; s < sidecars.size(); ++s)
          if (sidecars[s].up && sidecars[s].behind && (!plays.list.asked || sidecars[s].subscribed))
            news_for(s);
      });
      return;
  }
}

// ---- applications -------------------------------------------------------------------------------------

// Thinned from the highest rate, so that what one sidecar's clients ask does not hang on another's.
void world::next_arrival(std::uint32_t s) {
  sidecar& c = sidecars[s];
  const double mean = ms_per_s / (comes.most * c.weight);
  if (!std::isfinite(mean)) return;
  const double when = due.now() + c.arrives.exponential(mean);
  if (when >= plays.length) return;
  due.at(when, rank::client, [this, s] {
    if (sidecars[s].arrives.happens(rate_at(plays, comes, due.now()) * surge / comes.most)) arrive(s);
    next_arrival(s);
  });
}

void world::arrive(std::uint32_t s) {
  sidecar& c = sidecars[s];
  const auto [method, work] = draw_rpc(plays, c.arrives);
  if (!c.up) return;  // an application stops and starts with its sidecar
  const std::uint64_t id = ++next_task;
  const bool counted = due.now() >= plays.warmup;
  tasks[id] = {s, method, due.now(), work, plays.clients.retries, plays.clients.wait, counted};
  ++seen.arrived;
  ++this_second().arrived;
  ask(id);
}

void world::ask(std::uint64_t of) {
  const task& t = tasks.at(of);
  const std::uint64_t id = ++next_rpc;
  const method& how = plays.methods[t.method].is;
  const double deadline = t.came + how.deadline;
  rpcs[id] = {t.sidecar, of, false, {}};
  entry e{entry::what::rpc_taken};
  e.rpc = id;
  e.sidecar = t.sidecar;
  e.deadline = deadline;
  e.repeats = how.repeats;
  e.drops = how.drops_repeats;
  e.remembers = how.remembers;
  say(e);
  due.at(deadline, rank::client, [this, id] {
    const auto it = rpcs.find(id);
    if (it == rpcs.end() || it->second.over) return;
    const std::uint32_t s = it->second.sidecar;
    it->second.over = true;
    // The record keeps it open: that its client had to leave is the breach.
    conclude_task(it->second.task, fate::unanswered);
    sidecars[s].decides->client_left(due.now(), std::to_string(id));
    pull(s);
    forget_if_over(id);
  });
  const std::string name = std::to_string(id);
  const std::uint32_t s = t.sidecar;
  sidecars[s].decides->rpc_arrived(due.now(), {name, how.name, deadline, {}});
  pull(s);
}

void world::conclude_task(std::uint64_t of, fate f) {
  const auto it = tasks.find(of);
  const task t = it->second;
  const method& how = plays.methods[t.method].is;
  tasks.erase(it);
  const double took = due.now() - t.came;
  const auto came_in = std::min(static_cast<std::size_t>(t.came / ms_per_s),
                                static_cast<std::size_t>(plays.length / ms_per_s));
  if (seen.seconds.size() <= came_in) seen.seconds.resize(came_in + 1);
  second& sec = seen.seconds[came_in];
  const double gained = f == fate::ok ? how.utility : f == fate::late ? how.utility * how.late_utility : 0;
  switch (f) {
    case fate::ok:
      ++seen.ok, ++sec.ok;
      break;
    case fate::late:
      ++seen.late, ++sec.late;
      break;
    case fate::pushed_back:
      ++seen.pushed_back, ++sec.pushed_back;
      break;
    case fate::aborted:
      ++seen.aborted, ++sec.aborted;
      break;
    case fate::unanswered:
      ++seen.unanswered;
      break;
    case fate::lost:
      ++seen.lost;
      return;  // nobody is left to whom it was worth anything
  }
  sec.offered += how.utility;
  sec.gained += gained;
  if (!t.counted) return;
  seen.offered += how.utility;
  seen.gained += gained;
  if (f == fate::ok || f == fate::late) seen.answered.add(took);
}

void world::retry_or(std::uint64_t of, fate f, double advice) {
  task& t = tasks.at(of);
  const method& how = plays.methods[t.method].is;
  const bool harmless = f == fate::pushed_back || how.repeats == repeatable::idempotent;
  const double waits = std::max(t.wait, wishes.happens(plays.clients.heeds) ? advice : 0);
  if (!harmless || t.tries_left <= 0 || due.now() + waits >= t.came + how.deadline)
    return conclude_task(of, f);
  --t.tries_left;
  if (plays.clients.doubles) t.wait *= 2;
  due.at(due.now() + waits, rank::client, [this, of] {
    if (tasks.count(of)) ask(of);
  });
}

// ---- sidecars -----------------------------------------------------------------------------------------

void world::pull(std::uint32_t s) {
  sidecar& c = sidecars[s];
  if (c.pulling || !c.up) return;
  c.pulling = true;
  for (;;) {
    tell_limits(s);
    const auto d = c.decides->next();
    if (!d) break;
    carry_out(s, *d);
  }
  c.pulling = false;
}

void world::carry_out(std::uint32_t s, const decision& d) {
  using verb = decision::verb;
  switch (d.what) {
    case verb::pick:
      return send(s, d);
    case verb::push_back:
      conclude(number(d.rpc), answer::pushed_back, d.after);
      return forget_if_over(number(d.rpc));
    case verb::abort:
      conclude(number(d.rpc), answer::aborted, 0);
      return forget_if_over(number(d.rpc));
    case verb::cancel:
      return cancel(s, d);
    case verb::probe:
      return probe(s, server_number(d.server));
    case verb::follow_list:
      return call_list(s);
    case verb::tell:
      return;
    case verb::wake:
      due.at(due.now() + d.after, rank::timer, [this, s, life = sidecars[s].life, wake = d.wake] {
        if (!sidecars[s].up || sidecars[s].life != life) return;
        sidecars[s].decides->woken(due.now(), wake);
        pull(s);
      });
  }
}

world::pick* world::live(std::uint64_t id, int n) {
  const auto it = rpcs.find(id);
  if (it == rpcs.end()) return nullptr;
  pick& p = it->second.picks[static_cast<std::size_t>(n)];
  return p.in == stage::over ? nullptr : &p;
}

void world::send(std::uint32_t s, const decision& d) {
  const std::uint64_t id = number(d.rpc);
  rpc& r = rpcs.at(id);
  const std::uint32_t server = server_number(d.server);
  const int n = static_cast<int>(r.picks.size());
  r.picks.push_back({server, places[server].life, stage::connecting, true, true, due.now(), 0});
  ++places[server].coming;
  ++seen.picks;
  ++this_second().picks;
  entry e{entry::what::pick_decided};
  e.rpc = id;
  e.pick = n;
  e.server = server;
  e.sidecar = s;
  say(e);
  due.at(due.now() + d.after, rank::timer, [this, id, n] { time_out(id, n); });
  connection got;
  if (!take_rested(s, server, got)) return connect(id, n);
  r.picks.back().fresh = false;
  r.picks.back().server_life = got.life;
  write(id, n);
}

bool world::take_rested(std::uint32_t s, std::uint32_t server, connection& got) {
  std::vector<connection>& rested = sidecars[s].resting[server];
  if (rested.empty()) return false;
  got = rested.back();
  rested.pop_back();
  tell_resting(s, server);
  return true;
}

void world::tell_resting(std::uint32_t s, std::uint32_t server) {
  sidecars[s].decides->resting(server_name(server), sidecars[s].resting[server].size());
}

// Told before each decision, so that nothing is picked that may not be opened.
void world::tell_limits(std::uint32_t s) {
  sidecar& c = sidecars[s];
  if (!c.within) return;
  c.barred.resize(places.size(), false);
  for (std::uint32_t i = 0; i < places.size(); ++i) {
    while (!c.resting[i].empty() && !c.within->keeps(server_name(i), due.now())) {
      close(i, c.resting[i].front().life);
      closed(s, i);
      c.resting[i].erase(c.resting[i].begin());
      tell_resting(s, i);
    }
    const bool is = !c.within->may_open(server_name(i), due.now());
    if (is == static_cast<bool>(c.barred[i])) continue;
    c.barred[i] = is;
    c.decides->barred(server_name(i), is);
  }
}

void world::list_servers(std::uint32_t s) {
  if (!sidecars[s].within) return;
  std::vector<std::string> names;
  for (std::uint32_t i = 0; i < places.size(); ++i)
    if (places[i].listed) names.push_back(server_name(i));
  sidecars[s].within->listed(names);
  sidecars[s].barred.assign(places.size(), false);
  for (std::uint32_t i = 0; i < places.size(); ++i) sidecars[s].decides->barred(server_name(i), false);
}

void world::closed(std::uint32_t s, std::uint32_t server) {
  if (sidecars[s].within) sidecars[s].within->give_back(server_name(server));
}

void world::count_second(place& at) {
  const auto second_now = static_cast<std::int64_t>(due.now() / ms_per_s);
  if (at.second != second_now) at.second = second_now, at.handshakes = at.probes = 0;
}

bool world::accept(place& at) {
  if (at.connections >= static_cast<std::uint64_t>(at.kind->connections)) return false;
  ++at.connections;
  seen.most_connections = std::max(seen.most_connections, at.connections);
  count_second(at);
  seen.most_handshakes = std::max(seen.most_handshakes, ++at.handshakes);
  ++seen.handshakes;
  ++this_second().handshakes;
  return true;
}

void world::connect(std::uint64_t id, int n) {
  const rpc& r = rpcs.at(id);
  const std::uint32_t s = r.sidecar, server = r.picks[static_cast<std::size_t>(n)].server;
  const double began = due.now();
  if (sidecars[s].within && !sidecars[s].within->open(server_name(server), began)) {
    // Two decisions in one breath: nothing was sent, and no server is to blame.
    rpcs.at(id).picks[static_cast<std::size_t>(n)].fresh = false;
    due.at(began, rank::timer, [this, id, n] {
      if (live(id, n)) end_pick(id, n, ending::moot, {});
    });
    return;
  }
  due.at(began + sidecars[s].patience.now(), rank::timer, [this, id, n, s] {
    pick* p = live(id, n);
    if (!p || p->in != stage::connecting) return;
    sidecars[s].patience.not_up();
    end_pick(id, n, ending::connect_failed, {});
  });
  due.at(began + trip(sidecars[s].zone, places[server].zone), rank::network, [this, id, n, s, server, began] {
    place& at = places[server];
    if (at.vanished) return;
    const double back = trip(at.zone, sidecars[s].zone);
    if (!at.at->up() || !accept(at)) {
      due.at(due.now() + back, rank::network, [this, id, n] {
        pick* p = live(id, n);
        if (p && p->in == stage::connecting) end_pick(id, n, ending::connect_failed, {});
      });
      return;
    }
    due.at(due.now() + back + plays.net.handshake, rank::network,
           [this, id, n, server, began, life = at.life] { connected(id, n, server, life, began); });
  });
}

void world::connected(std::uint64_t id, int n, std::uint32_t server, std::uint32_t life, double began) {
  pick* p = live(id, n);
  if (!p || p->in != stage::connecting) return close(server, life);
  sidecars[rpcs.at(id).sidecar].patience.up(due.now() - began);
  p->server_life = life;
  write(id, n);
}

void world::write(std::uint64_t id, int n) {
  rpc& r = rpcs.at(id);
  pick& p = r.picks[static_cast<std::size_t>(n)];
  p.in = stage::written;
  p.job = ++next_job;
  const double work = tasks.count(r.task) ? tasks.at(r.task).work : 0;
  const double all = work + (p.fresh ? plays.net.handshake_work : 0);
  entry e{entry::what::pick_written};
  e.rpc = id;
  e.pick = n;
  e.server = p.server;
  e.sidecar = r.sidecar;
  say(e);
  due.at(due.now() + trip(sidecars[r.sidecar].zone, places[p.server].zone), rank::network,
         [this, id, n, s = r.sidecar, server = p.server, life = p.server_life, of = p.job, all] {
           come(id, n, s, server, life, of, all);
         });
}

void world::come(std::uint64_t id, int n, std::uint32_t s, std::uint32_t server, std::uint32_t life,
                 std::uint64_t of, double work) {
  place& at = places[server];
  pick* p = live(id, n);
  if (p && p->coming) p->coming = false, --at.coming;
  if (at.vanished) return;
  const auto answer_with = [&](ending how) {
    due.at(due.now() + trip(at.zone, sidecars[s].zone), rank::network, [this, id, n, how] {
      if (live(id, n)) end_pick(id, n, how, {});
    });
  };
  if (!at.at->up() || at.life != life) return answer_with(ending::reset);
  entry e{entry::what::pick_came};
  e.rpc = id;
  e.pick = n;
  e.server = server;
  e.sidecar = s;
  e.work = work;
  say(e);
  if (at.draining) return answer_with(ending::full);
  jobs[of] = {id, n, s};
  at.at->come(of, work);
  if (!p) at.at->withdraw(of);  // its connection ended right behind it
}

void world::ended(std::uint32_t server, std::uint64_t of, station::outcome how, double held) {
  const auto it = jobs.find(of);
  if (it == jobs.end()) return;
  const job was = it->second;
  jobs.erase(it);
  if (was.rpc == 0 || places[server].vanished) return;
  load report;
  if (plays.rules.reports) report.held = held;
  using outcome = station::outcome;
  const ending means = how == outcome::served  ? ending::ok
                       : how == outcome::error ? ending::error
                       : how == outcome::full  ? ending::full
                                               : ending::reset;
  due.at(due.now() + trip(places[server].zone, sidecars[was.sidecar].zone), rank::network,
         [this, was, means, report] {
           if (live(was.rpc, was.pick)) end_pick(was.rpc, was.pick, means, report);
         });
}

// The pick is over; its connection rests or ends, and what still waits for it at the server goes.
void world::let_go(rpc& r, pick& p, ending how) {
  place& at = places[p.server];
  if (p.coming) p.coming = false, --at.coming;
  const bool whole = how == ending::ok || how == ending::error || how == ending::full;
  if (p.in == stage::connecting && p.fresh) closed(r.sidecar, p.server);
  if (p.in == stage::written && whole) {
    rest(r.sidecar, p.server, p.server_life);
  } else if (p.in == stage::written) {
    close(p.server, p.server_life);
    closed(r.sidecar, p.server);
    due.at(due.now() + trip(sidecars[r.sidecar].zone, at.zone), rank::network,
           [this, server = p.server, of = p.job] {
             if (!places[server].vanished) places[server].at->withdraw(of);
           });
  }
  p.in = stage::over;
}

void world::end_pick(std::uint64_t id, int n, ending how, const load& report) {
  rpc& r = rpcs.at(id);
  pick& p = r.picks[static_cast<std::size_t>(n)];
  const std::uint32_t s = r.sidecar;
  const double took = due.now() - p.sent;
  let_go(r, p, how);
  seen.timed_out += how == ending::timed_out;
  seen.full += how == ending::full;
  seen.errors += how == ending::error || how == ending::reset;
  if (how == ending::connect_failed) ++seen.connect_failed, ++this_second().connect_failed;
  entry e{entry::what::pick_over};
  e.rpc = id;
  e.pick = n;
  e.server = p.server;
  e.sidecar = s;
  e.how = how;
  say(e);
  if (how == ending::ok && !r.over) conclude(id, answer::ok, 0);
  sidecars[s].decides->pick_ended(due.now(), std::to_string(id), n, how, took, r.over, report);
  pull(s);
  forget_if_over(id);
}

void world::time_out(std::uint64_t id, int n) {
  const pick* p = live(id, n);
  if (!p) return;
  end_pick(id, n, p->in == stage::connecting ? ending::connect_failed : ending::timed_out, {});
}

void world::cancel(std::uint32_t, const decision& d) {
  const std::uint64_t id = number(d.rpc);
  if (live(id, d.pick)) end_pick(id, d.pick, ending::cancelled, {});
}

void world::conclude(std::uint64_t id, answer a, double advice) {
  rpc& r = rpcs.at(id);
  if (r.over) return;
  r.over = true;
  entry e{entry::what::answered};
  e.rpc = id;
  e.sidecar = r.sidecar;
  e.final = a;
  if (!r.picks.empty()) e.server = r.picks.back().server;
  say(e);
  const task& t = tasks.at(r.task);
  const bool in_time = due.now() - t.came <= plays.methods[t.method].is.latency_target;
  if (a == answer::ok)
    conclude_task(r.task, in_time ? fate::ok : fate::late);
  else
    retry_or(r.task, a == answer::pushed_back ? fate::pushed_back : fate::aborted, advice);
}

void world::forget_if_over(std::uint64_t id) {
  const auto it = rpcs.find(id);
  if (it != rpcs.end() && it->second.over && it->second.idle()) rpcs.erase(it);
}

void world::rest(std::uint32_t s, std::uint32_t server, std::uint32_t life) {
  if (places[server].life != life && !places[server].vanished) return closed(s, server);  // ended with it
  sidecars[s].resting[server].push_back({due.now(), life});
  tell_resting(s, server);
  // Retired before the server would close it: a pick written to it then would be a reset.
  constexpr double part = 0.75;
  due.at(due.now() + part * plays.net.idle, rank::timer, [this, s, server, of = sidecars[s].life] {
    if (sidecars[s].life != of || !sidecars[s].up) return;
    std::vector<connection>& rested = sidecars[s].resting[server];
    const double since = due.now() - part * plays.net.idle;
    const std::size_t before = rested.size();
    while (!rested.empty() && rested.front().since <= since) {
      close(server, rested.front().life);
      closed(s, server);
      rested.erase(rested.begin());
    }
    if (rested.size() != before) tell_resting(s, server);
  });
}

void world::close(std::uint32_t server, std::uint32_t life) {
  if (places[server].life == life && places[server].connections > 0) --places[server].connections;
}

void world::probe(std::uint32_t s, std::uint32_t server) {
  sidecar& c = sidecars[s];
  using kind = limits::kind;
  if (c.within && (!c.within->take(kind::probe, server_name(server), due.now()) ||
                   (c.resting[server].empty() && !c.within->open(server_name(server), due.now())))) {
    due.at(due.now(), rank::timer, [this, s, server, life = c.life] {
      if (!sidecars[s].up || sidecars[s].life != life) return;
      sidecars[s].decides->probe_ended(due.now(), server_name(server), ending::moot, {});
      pull(s);
    });
    return;
  }
  ++seen.probes;
  ++this_second().probes;
  entry e{entry::what::probe_written};
  e.server = server;
  e.sidecar = s;
  say(e);
  // Ended at most once: by its answer, a refusal or the time-out.
  const auto over = std::make_shared<bool>(false);
  const auto end = [this, s, server, over, life = sidecars[s].life](ending how, const load& report) {
    if (std::exchange(*over, true) || !sidecars[s].up || sidecars[s].life != life) return false;
    if (how != ending::ok && how != ending::error) closed(s, server);
    sidecars[s].decides->probe_ended(due.now(), server_name(server), how, report);
    pull(s);
    return true;
  };
  constexpr double patience = 250;  // the sidecar's own
  due.at(due.now() + patience, rank::timer, [end] { end(ending::timed_out, {}); });

  const auto answered = [this, s, server, end](std::uint32_t life) {
    place& at = places[server];
    if (at.vanished) return;
    const double back = trip(at.zone, sidecars[s].zone);
    if (!at.at->up() || at.life != life) {
      due.at(due.now() + back, rank::network, [end] { end(ending::reset, {}); });
      return;
    }
    count_second(at);
    seen.most_probes = std::max(seen.most_probes, ++at.probes);
    const double when = std::max(due.now(), at.at->stalled_until());
    due.at(when, rank::server, [this, s, server, end, life, back] {
      load report;
      if (plays.rules.reports) report.held = places[server].at->held();
      const ending how = places[server].draining ? ending::error : ending::ok;
      due.at(due.now() + back, rank::network, [this, s, server, end, life, how, report] {
        if (end(how, report))
          rest(s, server, life);
        else
          close(server, life);
      });
    });
  };
  const double there = trip(sidecars[s].zone, places[server].zone);
  connection got;
  if (take_rested(s, server, got)) {
    due.at(due.now() + there, rank::network, [answered, life = got.life] { answered(life); });
    return;
  }
  due.at(due.now() + there, rank::network, [this, s, server, end, answered] {
    place& at = places[server];
    if (at.vanished) return;
    const double back = trip(at.zone, sidecars[s].zone);
    if (!at.at->up() || !accept(at)) {
      due.at(due.now() + back, rank::network, [end] { end(ending::connect_failed, {}); });
      return;
    }
    entry work{entry::what::pick_came};
    work.server = server;
    work.sidecar = s;
    work.work = plays.net.handshake_work;
    say(work);
    const std::uint64_t of = ++next_job;
    const std::uint32_t life = at.life;
    jobs[of] = {0, 0, s};
    at.at->come(of, plays.net.handshake_work);
    const double forth = trip(sidecars[s].zone, at.zone);
    due.at(due.now() + back + plays.net.handshake + forth, rank::network,
           [answered, life] { answered(life); });
  });
}

void world::kill_sidecar(std::uint32_t s) {
  sidecar& c = sidecars[s];
  if (!c.up) return;
  c.up = false;
  if (c.behind) c.behind = false, --behind;
  c.decides.reset();
  c.subscribed = false;
  entry e{entry::what::sidecar_died};
  e.sidecar = s;
  say(e);
  for (auto it = rpcs.begin(); it != rpcs.end();) {
    rpc& r = it->second;
    if (r.sidecar != s) {
      ++it;
      continue;
    }
    for (pick& p : r.picks) {
      if (p.in == stage::over) continue;
      if (p.coming) --places[p.server].coming;
      if (p.in == stage::written) {
        close(p.server, p.server_life);
        if (!places[p.server].vanished) places[p.server].at->withdraw(p.job);
      }
    }
    it = rpcs.erase(it);
  }
  for (std::uint32_t i = 0; i < c.resting.size(); ++i)
    for (const connection& k : c.resting[i]) close(i, k.life);
  c.resting.assign(places.size(), {});
  std::vector<std::uint64_t> gone;
  for (const auto& [id, t] : tasks)
    if (t.sidecar == s) gone.push_back(id);
  for (const std::uint64_t id : gone) conclude_task(id, fate::lost);
}

// ---- the list -----------------------------------------------------------------------------------------

endpoint world::shown(std::uint32_t server, standing how) const {
  const place& at = places[server];
  return {server_name(server), zone_name(at.zone), at.cell, at.at->started(), how};
}

void world::change(std::uint32_t server, standing how) {
  changes.push_back(shown(server, how));
  changed.push_back(server);
  if (first_change < 0) first_change = due.now();
  seen.all_told = 0;
  for (std::uint32_t s = 0; s < sidecars.size(); ++s) {
    sidecar& c = sidecars[s];
    if (!c.up) continue;
    if (!c.behind) c.behind = true, ++behind;
    if (!plays.list.asked || c.subscribed) news_for(s);
  }
}

void world::news_for(std::uint32_t s) {
  sidecar& c = sidecars[s];
  if (c.news_due || list_silent) return;
  c.news_due = true;
  const double after = plays.list.delay + plays.list.spread * lists.unit();
  due.at(due.now() + after, rank::list, [this, s, life = c.life] {
    if (!sidecars[s].up || sidecars[s].life != life) return;
    sidecars[s].news_due = false;
    if (!list_silent && sidecars[s].behind) tell(s, false, true);
  });
}

// All that happened since the version that the sidecar knows; at a start, the whole list as it last had it.
void world::tell(std::uint32_t s, bool whole, bool asked) {
  sidecar& c = sidecars[s];
  const auto note = [&](std::uint32_t server, const endpoint& is) {
    if (is.state == standing::ready && is.started <= 0) return;
    entry e{entry::what::told};
    e.sidecar = s;
    e.server = server;
    e.state = is.state;
    e.started = is.started;
    say(e);
  };
  if (!whole) {
    const auto from = static_cast<std::ptrdiff_t>(c.known);
    const std::vector<endpoint> news(changes.begin() + from, changes.end());
    for (std::size_t i = c.known; i < changes.size(); ++i) note(changed[i], changes[i]);
    for (std::size_t i = c.known; i < changes.size(); ++i) {
      if (changes[i].state != standing::gone) continue;
      for (const connection& k : c.resting[changed[i]]) close(changed[i], k.life), closed(s, changed[i]);
      c.resting[changed[i]].clear();
      tell_resting(s, changed[i]);
    }
    c.known = changes.size();
    up_to_date(s);
    c.decides->listed(due.now(), false, asked, news);
    list_servers(s);
    return pull(s);
  }
  if (asked) {
    c.known = changes.size();
    up_to_date(s);
  }
  std::map<std::uint32_t, endpoint> all;
  for (std::uint32_t i = 0; i < first_list.size(); ++i) all[i] = first_list[i];
  for (std::size_t i = 0; i < c.known; ++i) {
    if (changes[i].state == standing::gone)
      all.erase(changed[i]);
    else
      all[changed[i]] = changes[i];
  }
  std::vector<endpoint> entries;
  for (const auto& [server, is] : all) {
    note(server, is);
    entries.push_back(is);
  }
  c.decides->listed(due.now(), true, asked, entries);
  list_servers(s);
  pull(s);
}

void world::up_to_date(std::uint32_t s) {
  if (!sidecars[s].behind) return;
  sidecars[s].behind = false;
  if (--behind == 0) seen.all_told = due.now() - first_change;
}

// One service for all: it works on one call after the other, and what was given up on still fills its queue.
void world::call_list(std::uint32_t s) {
  sidecar& c = sidecars[s];
  if (c.within && !c.within->take(limits::kind::list_call, "", due.now())) {
    due.at(due.now() + c.within->again(limits::kind::list_call, due.now()), rank::list,
           [this, s, life = c.life] {
             if (sidecars[s].up && sidecars[s].life == life) call_list(s);
           });
    return;
  }
  ++seen.list_calls;
  ++this_second().list_calls;
  const std::uint64_t call = c.call = ++next_call;
  const bool whole = c.whole_next;
  constexpr double gives_up = 1500;  // the sidecar's own
  due.at(due.now() + gives_up, rank::list, [this, s, call] { list_failed(s, call); });
  due.at(due.now() + trip(c.zone, 0), rank::network, [this, s, call, whole] {
    if (list_silent) return;
    if (list_pending >= static_cast<std::size_t>(plays.list.queue) + 1) {
      ++seen.list_refusals;
      due.at(due.now() + trip(0, sidecars[s].zone), rank::network, [this, s, call] { list_failed(s, call); });
      return;
    }
    ++list_pending;
    list_free =
        std::max(list_free, due.now()) + (whole ? plays.list.whole : plays.list.changes) * list_slowness;
    due.at(list_free, rank::list, [this, s, call, whole] {
      --list_pending;
      due.at(due.now() + trip(0, sidecars[s].zone), rank::network, [this, s, call, whole] {
        sidecar& to = sidecars[s];
        if (!to.up || to.call != call || list_silent) return;
        to.call = 0;
        to.subscribed = true;
        to.whole_next = false;
        tell(s, whole, true);
      });
    });
  });
}

void world::list_failed(std::uint32_t s, std::uint64_t call) {
  sidecar& c = sidecars[s];
  if (!c.up || c.call != call) return;
  c.call = 0;
  c.subscribed = false;
  c.whole_next = true;
  c.decides->list_failed(due.now());
  pull(s);
}

// ---- servers ------------------------------------------------------------------------------------------

// machine: it says nothing any more; else its connections end and new ones are refused.
void world::stop_server(std::uint32_t server, bool machine, bool noticed) {
  place& at = places[server];
  at.vanished = machine;
  if (at.at->up()) at.at->die();
  at.connections = 0;
  if (!machine) {
    ++at.life;
    // Who holds a connection there sees it end a trip later.
    due.at(due.now() + plays.net.delay, rank::network, [this, server] {
      for (std::uint32_t s = 0; s < sidecars.size(); ++s) {
        std::vector<connection>& rested = sidecars[s].resting[server];
        const auto ended_ones =
            std::erase_if(rested, [&](const connection& k) { return k.life != places[server].life; });
        for (std::size_t i = 0; i < ended_ones; ++i) closed(s, server);
        if (ended_ones > 0 && sidecars[s].up) tell_resting(s, server);
      }
    });
  }
  if (!noticed) return;
  due.at(due.now() + plays.list.notice, rank::list, [this, server, life = at.life] {
    place& then = places[server];
    if (then.life != life || (then.at->up() && !then.vanished) || !then.listed) return;
    then.listed = false;
    change(server, standing::gone);
  });
}

void world::return_server(std::uint32_t server) {
  place& at = places[server];
  if (at.vanished) ++at.life, at.connections = 0;
  at.vanished = at.draining = false;
  at.listed = true;
  at.at->start_cold();
  say_what_it_is(server);
  change(server, standing::ready);
}

double world::true_time(std::uint32_t s, std::uint32_t server) const {
  constexpr double hopeless = 1e12;
  const place& at = places[server];
  if (at.vanished || at.draining || !at.at->up()) return hopeless;
  double mean = 0, shares = 0;
  for (const work_kind& k : plays.methods) mean += k.share * k.work.mean, shares += k.share;
  mean /= shares;
  const double rate = at.at->rate();
  const double on_the_way = static_cast<double>(at.coming) * mean / (rate * at.at->is().cores);
  const double there = plays.net.delay + (at.zone == sidecars[s].zone ? 0 : plays.net.cross_zone);
  const bool fresh = sidecars[s].resting[server].empty();
  const double joining = fresh ? plays.net.handshake + plays.net.handshake_work / rate + 2 * there : 0;
  return at.at->work_ahead() + on_the_way + mean / rate + 2 * there + joining;
}

// ---- all of it ----------------------------------------------------------------------------------------

// One way. What is lost comes after the retransmission's time, doubled each time, as TCP sends it again.
double world::trip(int from_zone, int to_zone) {
  double takes = plays.net.delay + network.exponential(plays.net.jitter) +
                 (from_zone == to_zone ? 0 : plays.net.cross_zone);
  constexpr double longest_wait = 10000;
  for (double again = plays.net.retransmit; again < longest_wait && network.happens(loss); again *= 2)
    takes += again;
  return takes;
}

void world::say(entry e) {
  e.at = due.now();
  for (witness* w : told) w->saw(e);
}

second& world::this_second() {
  const auto at = static_cast<std::size_t>(due.now() / ms_per_s);
  if (seen.seconds.size() <= at) seen.seconds.resize(at + 1);
  return seen.seconds[at];
}

bool world::step() {
  const bool more = due.step(end_at);
  if (more) ++seen.events;
  return more;
}

figures world::finish() {
  while (step()) {
  }
  seen.open = tasks.size();
  for (const second& sec : seen.seconds)
    seen.most_list_calls = std::max(seen.most_list_calls, sec.list_calls);
  using kind = limits::kind;
  for (const sidecar& c : sidecars)
    for (const kind k : {kind::connection, kind::handshake, kind::probe, kind::list_call})
      if (c.within) seen.denied += c.within->counted(k).denied;
  entry e{entry::what::end};
  say(e);
  return seen;
}

bool world::conserved() const {
  return seen.arrived ==
         seen.ok + seen.late + seen.pushed_back + seen.aborted + seen.unanswered + seen.lost + tasks.size();
}

figures play(const scenario& s, policy by, std::uint64_t seed, witness* more) {
  auditor checks({s.rules.grace, s.rules.multiple, s.rules.span});
  std::vector<witness*> listeners{&checks};
  if (more) listeners.push_back(more);
  world w(s, by, seed, listeners);
  figures f = w.finish();
  f.breaches = checks.breaches();
  f.breached = checks.count();
  f.worst_cold = checks.worst_cold();
  return f;
}

}  // namespace indigorill::lab
