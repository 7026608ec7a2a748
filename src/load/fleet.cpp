#include "fleet.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <nlohmann/json.hpp>

namespace indigorill::loading {
namespace {

using lab::rank;
using lab::station;
using lab::trouble;

std::string name_of(std::size_t server) { return std::string("s").append(std::to_string(server)); }

std::string answer_text(int status, const std::string& body, const std::string& headers = "") {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

double number_of(std::string_view text) {
  double v = 0;
  const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), v);
  return fault == std::errc() && end == text.data() + text.size() && std::isfinite(v) && v > 0 ? v : 0;
}

// The value of one field of a query; none: -1.
double query(std::string_view target, std::string_view field) {
  for (std::size_t at = target.find('?'); at != std::string_view::npos; at = target.find('&', at)) {
    std::string_view pair = target.substr(++at);
    pair = pair.substr(0, pair.find('&'));
    if (pair.starts_with(field) && pair.substr(field.size()).starts_with('='))
      return number_of(pair.substr(field.size() + 1));
  }
  return -1;
}

}  // namespace

std::uint16_t port_of(std::uint16_t base, std::size_t which) {
  return base == 0 ? 0 : static_cast<std::uint16_t>(base + which);
}

std::vector<std::string> not_on_sockets(const lab::scenario& s) {
  std::vector<std::string> all;
  if (s.net.loss > 0) all.push_back("net.loss can't be played on loopback");
  for (const trouble& t : s.troubles)
    if (t.what == trouble::kind::loss) all.push_back("trouble loss can't be played on loopback");
  return all;
}

fleet::fleet(loop& in, descriptor_budget& count, clockwork& with, const lab::scenario& s,
             std::uint64_t number, std::uint16_t first_port)
    : runs(in),
      budget(count),
      clock(with),
      plays(s),
      seed(number),
      base_port(first_port),
      chance(lab::seed_of(number, lab::use::list)) {
  lab::stream speeds(lab::seed_of(seed, lab::use::servers));
  for (const lab::server_kind& k : plays.servers)
    for (int i = 0; i < k.count; ++i)
      add(k, i % k.zones, i % k.cells, speeds.draw({lab::shape::lognormal, k.speed, k.speed_spread}));
  for (std::size_t i = 0; i < static_cast<std::size_t>(plays.sidecars); ++i) {
    agents.push_back(std::make_unique<agent_stand_in>(
        runs, budget, [this, i](std::uint64_t c, const http::message& m) { call(i, c, m); },
        [this, i](std::uint64_t c) {
          std::erase_if(agents[i]->watches, [&](const auto& w) { return w.connection == c; });
        },
        port_of(base_port, i)));
    agents.back()->door.open();
  }
}

std::size_t fleet::add(const lab::server_kind& k, int zone, int cell, double speed) {
  const std::size_t index = places.size();
  places.push_back(std::make_unique<place>());
  place& at = *places.back();
  at.kind = &k;
  at.zone = zone;
  at.cell = cell;
  at.speed = speed;
  at.at = std::make_unique<station>(
      clock.plan(),
      station::traits{k.cores, k.queue, speed, k.cold_from, k.cold_for, k.error_share, plays.rules.multiple,
                      plays.rules.span},
      lab::seed_of(seed, lab::use::faults, index),
      station::events{
          [this, index](std::uint64_t of) {
            const auto it = places[index]->jobs.find(of);
            if (it != places[index]->jobs.end()) ++seen[it->second.rpc].ran;
          },
          [this, index](std::uint64_t of, station::outcome how, double held) { ended(index, of, how, held); },
          [this, index] {
            ++falls;
            stop(index, false);
          }});
  at.door = std::make_unique<listener>(
      runs, budget, [this, index](std::uint64_t c, const http::message& m) { asked(index, c, m); },
      [this, index](std::uint64_t c) { hung_up(index, c); }, port_of(base_port, ports_of_servers + index));
  at.door->open();
  return index;
}

void fleet::asked(std::size_t server, std::uint64_t connection, const http::message& m) {
  clock.catch_up();
  place& at = *places[server];
  const std::string_view target = m.text(m.target);
  const bool first = at.fresh.emplace(connection, true).second;
  connections += first;
  const std::string report =
      plays.rules.reports ? "outstanding=" + std::to_string(static_cast<int>(at.at->held())) : "";
  if (target.starts_with("/-/")) {
    ++probes;
    if (at.at->stalled_until() <= clock.now())
      return at.door->answer(connection, answer_text(at.draining ? 503 : 200, report));
    clock.at(at.at->stalled_until(), rank::server, [this, server, connection, report] {
      places[server]->door->answer(connection, answer_text(200, report));
    });
    return;
  }
  const auto id = m.find("X-Call-Id");
  const double work = number_of(m.find("X-Work").value_or(""));
  if (!id || work <= 0) {
    ++unreadable;
    return at.door->answer(connection, answer_text(400, ""));
  }
  if (++seen[std::string(*id)].came > 1) further_at.push_back(clock.now());
  if (at.draining) return at.door->answer(connection, answer_text(503, "", "X-Rejected: 1\r\n"));
  const std::uint64_t of = ++jobs;
  at.jobs[of] = {std::string(*id), connection};
  at.at->come(of, work + (first ? plays.net.handshake_work : 0));
  clock.catch_up();
}

std::size_t fleet::most_further(double window) const {
  std::size_t most = 0;
  for (std::size_t first = 0, last = 0; last < further_at.size(); ++last) {
    while (further_at[first] + window <= further_at[last]) ++first;
    most = std::max(most, last - first + 1);
  }
  return most;
}

void fleet::ended(std::size_t server, std::uint64_t of, station::outcome how, double held) {
  place& at = *places[server];
  const auto it = at.jobs.find(of);
  if (it == at.jobs.end()) return;
  const job was = it->second;
  at.jobs.erase(it);
  std::string headers;
  if (plays.rules.reports)
    headers = "X-Load-Report: outstanding=" + std::to_string(static_cast<int>(held)) + "\r\n";
  switch (how) {
    case station::outcome::served:
      return at.door->answer(was.connection, answer_text(200, "done", headers));
    case station::outcome::error:
      return at.door->answer(was.connection, answer_text(500, "", headers));
    case station::outcome::full:
      return at.door->answer(was.connection, answer_text(503, "", headers + "X-Rejected: 1\r\n"));
    case station::outcome::lost:
      return;  // its connection ends with the process
  }
}

void fleet::hung_up(std::size_t server, std::uint64_t connection) {
  place& at = *places[server];
  at.fresh.erase(connection);
  for (auto it = at.jobs.begin(); it != at.jobs.end();) {
    if (it->second.connection != connection) {
      ++it;
      continue;
    }
    const std::uint64_t of = it->first;
    it = at.jobs.erase(it);
    at.at->withdraw(of);
  }
}

void fleet::stop(std::size_t server, bool machine) {
  place& at = *places[server];
  at.vanished = machine;
  if (at.at->up()) at.at->die();
  at.jobs.clear();
  if (machine)
    at.door->freeze();
  else
    at.door->shut();
  clock.at(clock.plan().now() + plays.list.notice, rank::list, [this, server] {
    place& then = *places[server];
    if ((then.at->up() && !then.vanished) || !then.listed) return;
    then.listed = false;
    change(server, standing::gone);
  });
}

void fleet::come_back(std::size_t server) {
  place& at = *places[server];
  at.at->start_cold();
  at.draining = false;
  at.listed = true;
  at.vanished = false;
  at.door->shut();  // it is another process, maybe another machine: what was open ends, unread
  at.door->open();
  change(server, standing::ready);
}

void fleet::plan(const trouble& t, std::size_t which) {
  using kind = trouble::kind;
  lab::stream draw(lab::seed_of(seed, lab::use::troubles, which + 1));
  const auto at = [this](double when, lab::agenda::task what) {
    clock.at(when, rank::trouble, std::move(what));
  };
  const std::vector<std::uint32_t> all = lab::some_of(places.size(), t.share, draw);
  const double until = t.at + t.lasts;
  switch (t.what) {
    case kind::list_overbooked:
      at(t.at, [this, much = t.factor] { list_slowness = much; });
      return at(until, [this] { list_slowness = 1; });
    case kind::list_silent:
      at(t.at, [this] { list_silent = true; });
      return at(until, [this] {
        list_silent = false;
        for (std::size_t i = 0; i < agents.size(); ++i) send_news(i);
      });
    case kind::lose_zone:
      for (std::size_t i = 0; i < places.size(); ++i) {
        if (places[i]->zone != t.zone) continue;
        at(t.at, [this, i] { stop(i, true); });
        at(until, [this, i] { come_back(i); });
      }
      return;
    default:
      break;
  }
  for (const std::size_t i : all) {
    const double when = t.at + t.over * draw.unit(), end = when + t.lasts;
    switch (t.what) {
      case kind::kill_servers:
        at(when, [this, i] { stop(i, false); });
        at(end, [this, i] { come_back(i); });
        break;
      case kind::drain:
      case kind::replace: {
        const bool replaced = t.what == kind::replace;
        at(when, [this, i, replaced] {
          places[i]->draining = true;
          change(i, standing::draining);
          if (!replaced) return;
          const place& old = *places[i];
          come_back(add(*old.kind, old.zone, old.cell, old.speed));
        });
        at(end, [this, i, replaced] {
          places[i]->listed = false;
          stop(i, false);
          change(i, standing::gone);
          if (!replaced) come_back(i);
        });
        break;
      }
      case kind::stall:
        at(when, [this, i, until] { places[i]->at->stall(until); });
        break;
      case kind::slow:
        at(when, [this, i, much = t.factor] { places[i]->at->slow(much); });
        at(end, [this, i] { places[i]->at->slow(1); });
        break;
      case kind::errors:
        at(when, [this, i, much = t.factor] { places[i]->at->fail(much); });
        at(end, [this, i] { places[i]->at->fail(places[i]->kind->error_share); });
        break;
      default:
        break;
    }
  }
}

// ---- the list -----------------------------------------------------------------------------------------

std::string fleet::entry(std::size_t server, standing how) const {
  const place& at = *places[server];
  const char* words[] = {"up", "draining", "removed"};
  nlohmann::json e{{"instanceId", name_of(server)},
                   {"hostPort", text_of(at.door->where())},
                   {"zone", lab::zone_name(at.zone)},
                   {"cell", at.cell},
                   {"lifecycle", words[static_cast<std::size_t>(how)]},
                   {"startedAtMs", at.at->started() > 0 ? clock.unix_of(at.at->started()) : 0}};
  return e.dump();
}

std::string fleet::list() const {
  std::string all = R"({"generation":1,"reset":true,"instances":[)";
  for (std::size_t i = 0; i < places.size(); ++i) all.append(i ? "," : "").append(entry(i, standing::ready));
  return all + "]}";
}

void fleet::change(std::size_t server, standing how) {
  changes.push_back(entry(server, how));
  changed.push_back(server);
  for (std::size_t i = 0; i < agents.size(); ++i) send_news(i);
}

void fleet::send_news(std::size_t which) {
  agent_stand_in& a = *agents[which];
  if (a.due || list_silent || a.has == changes.size()) return;
  a.due = true;
  clock.at(clock.plan().now() + plays.list.delay + plays.list.spread * chance.unit(), rank::list,
           [this, which] {
             agent_stand_in& to = *agents[which];
             to.due = false;
             if (list_silent) return;
             to.has = changes.size();
             std::vector<agent_stand_in::watch> waiting;
             waiting.swap(to.watches);
             for (const auto& w : waiting) tell(which, w.connection, w.from, false);
           });
}

void fleet::call(std::size_t which, std::uint64_t connection, const http::message& m) {
  clock.catch_up();
  ++list_calls;
  if (list_silent) return;
  agent_stand_in& a = *agents[which];
  const std::string_view target = m.text(m.target);
  const double index = query(target, "index"), wait = query(target, "wait");
  const bool whole = index < 1 || static_cast<std::size_t>(index) - 1 > a.has;
  const std::size_t from = whole ? 0 : static_cast<std::size_t>(index) - 1;
  if (!whole && from == a.has && wait > 0) {
    a.watches.push_back({connection, from, runs.at(runs.now() + wait, [this, which, connection, from] {
                           std::erase_if(agents[which]->watches,
                                         [&](const auto& w) { return w.connection == connection; });
                           if (!list_silent) tell(which, connection, from, false);
                         })});
    return;
  }
  const double works = (whole ? plays.list.whole : plays.list.changes) * list_slowness;
  clock.at(clock.now() + works, rank::list, [this, which, connection, from, whole] {
    if (!list_silent) tell(which, connection, from, whole);
  });
}

void fleet::tell(std::size_t which, std::uint64_t connection, std::size_t from, bool whole) {
  agent_stand_in& a = *agents[which];
  std::string body = R"({"generation":)" + std::to_string(a.has + 1) + R"(,"reset":)" +
                     (whole ? "true" : "false") + R"(,"instances":[)";
  bool first = true;
  const auto put = [&](const std::string& e) {
    body.append(first ? "" : ",").append(e);
    first = false;
  };
  if (whole) {
    // As this agent has it: what came later is not known to it.
    std::map<std::size_t, std::string> all;
    const std::size_t at_first = static_cast<std::size_t>(plays.servers_at_start());
    for (std::size_t i = 0; i < at_first; ++i) all[i] = entry(i, standing::ready);
    for (std::size_t i = 0; i < a.has; ++i) {
      if (changes[i].find("\"removed\"") != std::string::npos)
        all.erase(changed[i]);
      else
        all[changed[i]] = changes[i];
    }
    for (const auto& [server, e] : all) put(e);
  } else {
    for (std::size_t i = from; i < a.has; ++i) put(changes[i]);
  }
  a.door.answer(connection, answer_text(200, body + "]}"));
}

}  // namespace indigorill::loading
