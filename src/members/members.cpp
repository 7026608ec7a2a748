#include "members.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <string_view>
#include <tuple>
#include <utility>

namespace indigorill {
namespace {

// SWIM's k; with three helpers at 20 % loss a live member is missed by all of them once in 150 probes or
// less.
constexpr std::size_t helpers = 3;
// A message stays under this, so that its datagram stays well under the 1,400 bytes that no path cuts up.
constexpr std::size_t room_for_news = 900;
constexpr std::size_t cost_of_numbers = 14;
// Each piece of news goes out so many times log10 of the fleet: memberlist's and Lifeguard's figure is four.
constexpr double retellings = 4;
// Lifeguard's alpha and beta: a suspicion lasts at least alpha log10(n) periods, and beta times that while
// nobody else confirms it.
constexpr double alpha = 4, beta = 6;
constexpr double confirmations = 3;
constexpr int worst_health = 8;
constexpr std::uint64_t page_every = 5,
                        recall_every = 5;  // periods: views that differ, sides of a healed cut
// Of many that start at once the first pages know few: a newcomer reads the whole view again in these
// periods.
constexpr std::array<std::uint64_t, 2> read_again{4, 10};
constexpr double remembered = 600000;  // ms; the dead and those that left
constexpr std::size_t most_known = 10000, most_errands = 256, most_out = 4096;

std::size_t cost(const member& m) { return m.name.size() + m.address.size() + cost_of_numbers; }

bool here(const member& m) { return m.is == member::state::alive || m.is == member::state::suspect; }

}  // namespace

bool overrides(const member& a, const member& b) {
  return std::tie(a.incarnation, a.is, a.address) > std::tie(b.incarnation, b.is, b.address);
}

members::members(traits with, std::uint64_t incarnation, std::uint64_t seed, double now)
    : is(std::move(with)),
      self{member::state::alive, is.name, is.address, incarnation},
      chance(static_cast<std::knuth_b::result_type>(seed)),
      next_turn(now + is.period * std::uniform_real_distribution<double>(0, 1)(chance)),
      next_join(now) {}

std::size_t members::there() const { return 1 + living; }

std::array<std::size_t, 4> members::by_state() const {
  std::array<std::size_t, 4> n{};
  for (const auto& [name, m] : known) ++n[static_cast<std::size_t>(m.is)];
  return n;
}

std::string members::address_of(const std::string& name) const {
  if (name == self.name) return self.address;
  const auto it = known.find(name);
  return it == known.end() ? "" : it->second.address;
}

std::optional<members::letter> members::next() {
  if (out.empty()) return {};
  letter l = std::move(out.front());
  out.erase(out.begin());
  return l;
}

double members::next_due() const {
  if (gone) return std::numeric_limits<double>::infinity();
  double when = std::min(next_turn, joined ? next_turn : next_join);
  if (!now_probed.answered && !now_probed.asked_others) when = std::min(when, now_probed.direct_until);
  for (const auto& [number, e] : errands) when = std::min(when, e.nacked ? e.until : e.nack_at);
  for (const auto& [name, s] : suspects) when = std::min(when, suspected_until(s));
  return when;
}

double members::suspected_until(const suspicion& s) const {
  // Lifeguard, section IV-B. A slow process takes the longer the more it doubts itself.
  const double least =
      alpha * std::max(1.0, std::log10(static_cast<double>(there()))) * is.period * stretch();
  const double most = beta * least, others = static_cast<double>(s.from.size()) - 1;
  const double wanted = std::min(confirmations, std::max(1.0, static_cast<double>(there()) - 2));
  const double left = most - (most - least) * std::log(std::max(others, 0.0) + 1) / std::log(wanted + 1);
  return s.since + std::max(least, left);
}

void members::learn_of_self(const member& m) {
  if (m.address != self.address && here(m)) {
    // Two processes with one name: the later one has it. To refute each other would go on for good.
    if (m.incarnation > self.incarnation || (m.incarnation == self.incarnation && m.address > self.address)) {
      if (!std::exchange(out_of_name, true)) ++counts.displaced;
    }
    return;
  }
  if (m.incarnation < self.incarnation || (m.incarnation == self.incarnation && !overrides(m, self))) return;
  // Said to be suspect or dead, or this process came back with an earlier clock than it once had.
  out_of_name = false;
  self.incarnation = m.incarnation + 1;
  ++counts.refuted;
  if (m.is == member::state::suspect) health = std::min(health + 1, worst_health);
}

bool members::learn(double now, const member& m, const std::string& by, bool tell) {
  if (m.name.empty() || m.address.empty()) return false;
  if (m.name == self.name) return learn_of_self(m), false;
  const auto it = known.find(m.name);
  // One more that suspects it of its own accord shortens the wait.
  if (it != known.end() && it->second == m) {
    const auto s = suspects.find(m.name);
    if (s != suspects.end() && s->second.from.size() <= confirmations && s->second.from.insert(by).second)
      say(m);
    return false;
  }
  if (it != known.end() && !overrides(m, it->second)) return false;
  if (it == known.end() && (known.size() >= most_known || !here(m))) {
    return false;  // a death of one never met needs no place here
  }
  const bool was_here = it != known.end() && here(it->second);
  known[m.name] = m;
  living += here(m);
  living -= was_here;
  suspects.erase(m.name);
  if (m.is == member::state::suspect) suspects[m.name] = {now, {by}};
  if (here(m))
    ended.erase(m.name);
  else
    ended.emplace(m.name, now);
  if (here(m) && !was_here && !ring.empty())
    ring.insert(ring.begin() + static_cast<std::ptrdiff_t>(
                                   std::uniform_int_distribution<std::size_t>(0, ring.size())(chance)),
                m.name);
  if (tell || it != known.end()) say(m);
  return true;
}

void members::send(const std::string& to, gossip g, const std::string& about) {
  if (to.empty() || out.size() >= most_out) return;
  std::size_t used = 0;
  const auto put = [&](const member& m) {
    if (used + cost(m) > room_for_news) return false;
    used += cost(m);
    g.news.push_back(m);
    return true;
  };
  for (const member& m : g.news) used += cost(m);
  if (!out_of_name) {
    used += cost(self);
    g.news.insert(g.news.begin(), self);
  }
  // Who is suspected or taken for dead hears of it first of all, so that it can refute it (Lifeguard's
  // buddy).
  if (const auto it = known.find(about); it != known.end() && it->second.is != member::state::alive)
    put(it->second);
  std::vector<std::pair<int, std::string_view>> order;  // the least told first; no more than could fit
  for (const auto& [name, times] : unsaid)
    if (name != about) order.emplace_back(times, name);
  constexpr std::size_t most_fitting = room_for_news / cost_of_numbers;
  const auto end = order.begin() + static_cast<std::ptrdiff_t>(std::min(order.size(), most_fitting));
  std::partial_sort(order.begin(), end, order.end());
  const int most =
      static_cast<int>(std::ceil(retellings * std::max(1.0, std::log10(1.0 + static_cast<double>(there())))));
  for (auto next = order.begin(); next != end; ++next) {
    const auto told = unsaid.find(std::string(next->second));
    const auto it = known.find(told->first);
    if (it != known.end() && !put(it->second)) break;
    if (it == known.end() || ++told->second >= most) unsaid.erase(told);
  }
  out.push_back({to, std::move(g)});
}

std::string members::any_alive(const std::string& but) {
  // A few draws find one; what is left over is looked for in order.
  if (known.empty()) return {};
  std::vector<const std::string*> names;
  for (const auto& [name, m] : known)
    if (m.is == member::state::alive && name != but) names.push_back(&name);
  if (names.empty()) return {};
  return *names[std::uniform_int_distribution<std::size_t>(0, names.size() - 1)(chance)];
}

void members::begin_probe(double now) {
  while (true) {
    if (ring.empty()) {
      for (const auto& [name, m] : known)
        if (here(m)) ring.push_back(name);
      if (ring.empty()) return;
      std::shuffle(ring.begin(), ring.end(), chance);
    }
    const std::string target = ring.back();
    ring.pop_back();
    const auto it = known.find(target);
    if (it == known.end() || !here(it->second)) continue;
    now_probed = {target, ++numbers, now + is.timeout * stretch(), next_turn, false, false, 0, 0};
    ++counts.probes;
    return send(it->second.address, {gossip::kind::ping, numbers, {}, {}, {}}, target);
  }
}

void members::ask_others() {
  now_probed.asked_others = true;
  ++counts.indirect;
  std::vector<std::string> names;
  for (const auto& [name, m] : known)
    if (m.is == member::state::alive && name != now_probed.target) names.push_back(name);
  for (std::size_t i = 0; i < helpers && i < names.size(); ++i) {
    std::swap(names[i], names[std::uniform_int_distribution<std::size_t>(i, names.size() - 1)(chance)]);
    ++now_probed.relays;
    send(known[names[i]].address,
         {gossip::kind::relay, now_probed.number, now_probed.target, known[now_probed.target].address, {}});
  }
}

void members::end_probe(double now) {
  if (now_probed.target.empty()) return;
  const probe p = std::exchange(now_probed, {});
  if (p.answered) {
    health = std::max(health - 1, 0);
    return;
  }
  ++counts.unanswered;
  // Helpers answer at least that they have heard nothing: whose nacks are missing too has itself to blame.
  const std::size_t missing = p.relays - std::min(p.relays, p.nacks);
  health = std::min(health + (p.relays == 0 ? 1 : static_cast<int>(missing)), worst_health);
  const auto it = known.find(p.target);
  if (it == known.end() || !here(it->second)) return;
  member m = it->second;
  m.is = member::state::suspect;
  learn(now, m, self.name, true);
}

void members::judge_suspects(double now) {
  std::vector<std::string> over;
  for (const auto& [name, s] : suspects)
    if (suspected_until(s) <= now) over.push_back(name);
  for (const std::string& name : over) {
    member m = known.at(name);
    m.is = member::state::dead;
    learn(now, m, self.name, true);
  }
}

void members::ask_for_page() {
  const std::string whom = any_alive();
  if (!whom.empty()) send(known[whom].address, {gossip::kind::ask, ++numbers, cursor, {}, {}});
}

// This process stood still: what it has not heard meanwhile is nobody's silence but its own.
void members::catch_up(double now) {
  const double late = now - next_due();
  if (late < is.period) return;
  ++counts.slept;
  health = worst_health;
  now_probed = {};
  for (auto& [name, s] : suspects) s.since += late;
  errands.clear();
  next_turn = std::max(next_turn, now);
  next_join = std::max(next_join, now);
}

void members::due(double now) {
  if (gone) return;
  catch_up(now);
  if (!now_probed.answered && !now_probed.asked_others && now >= now_probed.direct_until) ask_others();
  for (auto it = errands.begin(); it != errands.end();) {
    errand& e = it->second;
    if (!e.nacked && now >= e.nack_at) {
      e.nacked = true;
      send(e.for_address, {gossip::kind::nack, e.number, {}, {}, {}});
    }
    it = now >= e.until ? errands.erase(it) : std::next(it);
  }
  judge_suspects(now);
  if (!joined && now >= next_join) {
    next_join = now + is.period;
    if (any_alive().empty()) {
      for (const std::string& seed : is.seeds)
        if (seed != self.address) send(seed, {gossip::kind::ask, ++numbers, cursor, {}, {}});
    } else {
      ask_for_page();
    }
    if (is.seeds.empty() || (is.seeds.size() == 1 && is.seeds.front() == self.address)) joined = true;
  }
  if (now < next_turn) return;
  end_probe(now);
  next_turn = now + is.period * stretch();
  ++turn;
  begin_probe(now);
  if (std::find(read_again.begin(), read_again.end(), turn) != read_again.end()) {
    cursor.clear();
    joined = false;
    next_join = now;
  } else if (turn % page_every == 0 && joined) {
    cursor = any_alive();
    ask_for_page();
  }
  if (turn % recall_every == 0) {
    // The two sides of a cut take each other for dead: somebody has to ask after the dead, and the seeds.
    std::vector<const member*> old;
    for (auto it = ended.begin(); it != ended.end();) {
      const auto k = known.find(it->first);
      if (k == known.end() || now - it->second > remembered) {
        if (k != known.end()) known.erase(k);
        it = ended.erase(it);
        continue;
      }
      if (k->second.is == member::state::dead) old.push_back(&k->second);
      ++it;
    }
    if (!old.empty()) {
      const member& m = *old[std::uniform_int_distribution<std::size_t>(0, old.size() - 1)(chance)];
      send(m.address, {gossip::kind::ping, ++numbers, {}, {}, {}}, m.name);
    }
    if (!is.seeds.empty()) {
      const std::string& seed =
          is.seeds[std::uniform_int_distribution<std::size_t>(0, is.seeds.size() - 1)(chance)];
      if (seed != self.address) send(seed, {gossip::kind::ping, ++numbers, {}, {}, {}});
    }
  }
}

void members::heard(double now, const std::string& by, const std::string& from, const gossip& g) {
  if (gone) return;
  catch_up(now);
  for (const member& m : g.news) learn(now, m, by, g.what != gossip::kind::page);
  using kind = gossip::kind;
  switch (g.what) {
    case kind::ping:
      return send(from, {kind::ack, g.number, {}, {}, {}}, by);
    case kind::ack: {
      if (!now_probed.answered && g.number == now_probed.number) now_probed.answered = true;
      const auto it = errands.find(g.number);
      if (it == errands.end()) return;
      send(it->second.for_address, {kind::ack, it->second.number, {}, {}, {}});
      errands.erase(it);
      return;
    }
    case kind::relay: {
      if (errands.size() >= most_errands || g.target_at.empty()) return;
      // Four fifths of the usual wait, as in Lifeguard, so that the nack is in time.
      errands[++numbers] = {from, g.number, now + 0.8 * is.timeout, now + is.period, false};
      return send(g.target_at, {kind::ping, numbers, {}, {}, {}}, g.target);
    }
    case kind::nack:
      if (g.number == now_probed.number) ++now_probed.nacks;
      return;
    case kind::ask: {
      gossip page{kind::page, g.number, {}, {}, {}};
      std::size_t used = cost(self);
      const auto put = [&](const member& m) {
        if (used + cost(m) > room_for_news) return false;
        used += cost(m);
        page.news.push_back(m);
        return true;
      };
      auto it = known.upper_bound(g.target);
      while (it != known.end() && put(it->second)) ++it;
      if (it != known.end())
        page.target = page.news.back().name;
      else  // what room is left goes to those before
        for (it = known.begin(); it != known.end() && it->first <= g.target && put(it->second);) ++it;
      return send(from, std::move(page));
    }
    case kind::page:
      if (joined) return;
      joined = g.target.empty();
      cursor = g.target;
      next_join = now + is.period;
      if (!joined) send(from, {kind::ask, ++numbers, cursor, {}, {}});
      return;
  }
}

void members::leave() {
  if (std::exchange(gone, true)) return;
  out.clear();
  self.is = member::state::left;
  std::vector<std::string> names;
  for (const auto& [name, m] : known)
    if (m.is == member::state::alive) names.push_back(name);
  std::shuffle(names.begin(), names.end(), chance);
  // Twice as many as a probe's helpers: at 20 % loss one in 15,000 leaves is heard by nobody.
  for (std::size_t i = 0; i < 2 * helpers && i < names.size(); ++i)
    send(known[names[i]].address, {gossip::kind::ack, 0, {}, {}, {}});
}

}  // namespace indigorill
