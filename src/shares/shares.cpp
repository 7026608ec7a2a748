#include "shares.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <utility>

namespace indigorill {
namespace {

constexpr double long_ago = -1e18;

// A text of numbers, for `state`: times as what is left of them, in sixteenths of a millisecond.
struct digest {
  std::string text;
  double now;
  digest& put(double v) {
    std::array<char, 32> room;
    text.append(room.data(),
                std::to_chars(room.begin(), room.end(), static_cast<std::int64_t>(v * 16)).ptr) += ' ';
    return *this;
  }
  digest& number(std::uint64_t n) { return put(static_cast<double>(n)); }
  digest& left(double when) { return put(std::max(0.0, when - now)); }
};

}  // namespace

// ---- the divider ------------------------------------------------------------------------------------------

double divider::longest_window() const {
  double most = 0;
  for (const budget_of_all& b : is.budgets) most = std::max(most, b.window);
  return most;
}

void divider::begin(double now, double quiet_from) {
  // What others spent at the end of their shares counts in the windows that reach over it.
  from = stand.waits_quiet ? std::max(now, quiet_from) + stretch(longest_window()) : now;
  // Floors that it does not know of last for a seat's time.
  strangers_from = now + stretch(is.seat);
}

double divider::of_one(const sharer& s, double now, std::size_t budget) const {
  double most = 0;
  for (const grant& g : s.grants)
    if (now < g.until) most = std::max(most, g.amounts[budget]);
  return most;
}

double divider::given(double now, std::size_t budget) const {
  double sum = 0;
  for (const auto& [session, s] : all) sum += of_one(s, now, budget);
  return sum;
}

std::size_t divider::sharers(double now) const {
  return static_cast<std::size_t>(
      std::count_if(all.begin(), all.end(), [&](const auto& s) { return counts(s.second, now); }));
}

bool divider::counts(const sharer& s, double now) const {
  return now < s.seat_until || now < s.heard + 2 * is.share ||
         std::any_of(s.grants.begin(), s.grants.end(), [&](const grant& g) { return now < g.until; });
}

divider::divider(shares_traits with, share_guards g)
    : is(std::move(with)), stand(g), demands(is.budgets.size()), in_use(is.budgets.size()) {}

std::uint64_t divider::steps() const {
  std::uint64_t n = looked;
  for (const demand& d : demands) n += d.steps();
  return n;
}

std::size_t divider::stored() const {
  std::size_t n = 0;
  for (const auto& [session, s] : all) n += s.grants.size();
  return n;
}

divider::sharer& divider::admit(std::uint64_t session) {
  const auto [it, fresh] = all.try_emplace(session);
  sharer& s = it->second;
  if (fresh) {
    s.wants.resize(is.budgets.size());
    s.in_use.resize(is.budgets.size());
    for (demand& d : demands) d.add({0, session});
    looks.insert({s.look_at, session});
  }
  return s;
}

void divider::wish(std::uint64_t session, sharer& s, const std::vector<double>& wants) {
  // What is no number has no place in an order, and sums of such a size are still exact.
  constexpr double most = 1e9;
  for (std::size_t b = 0; b < wants.size(); ++b) {
    const double w = wants[b] > 0 ? std::ceil(std::min(wants[b], most)) : 0;
    if (w == s.wants[b]) continue;
    demands[b].take_out({s.wants[b], session});
    demands[b].add({s.wants[b] = w, session});
  }
}

// Many questions in a short time must not fill the memory: two grants become one that covers both, which
// counts for more than they did and never for less.
void divider::give(sharer& s, grant g) {
  constexpr std::size_t most = 32;  // a share that is asked for three times and a window as long leave six
  if (s.grants.size() >= most) {
    grant& first = s.grants[0];
    const grant& second = s.grants[1];
    first.number = std::max(first.number, second.number);
    first.until = std::max(first.until, second.until);
    for (std::size_t b = 0; b < first.amounts.size(); ++b)
      first.amounts[b] = std::max(first.amounts[b], second.amounts[b]);
    s.grants.erase(std::next(s.grants.begin()));
  }
  s.grants.push_back(std::move(g));
}

// Brings the sums in line with what it has now, and says when that has to be done again.
void divider::settle(std::uint64_t session, sharer& s, double now) {
  ++looked;
  std::erase_if(s.grants, [&](const grant& g) { return now >= g.until; });
  for (std::size_t b = 0; b < in_use.size(); ++b) {
    const double most = of_one(s, now, b);
    in_use[b] += most - std::exchange(s.in_use[b], most);
  }
  double next = std::max(s.seat_until, s.heard + 2 * is.share);
  for (const grant& g : s.grants) next = std::min(next, g.until);
  // Without a grant only its place is left to end; a grant that ends after that is looked at for its own
  // sake.
  if (next <= now)
    for (const grant& g : s.grants) next = next <= now ? g.until : std::min(next, g.until);
  looks.erase({s.look_at, session});
  looks.insert({s.look_at = next, session});
}

void divider::forget(double now) {
  while (!looks.empty() && looks.begin()->first <= now) {
    const std::uint64_t session = looks.begin()->second;
    sharer& s = all.at(session);
    settle(session, s, now);
    // Who has asked for nothing since its last share ended is no sharer any more.
    if (counts(s, now)) continue;
    for (std::size_t b = 0; b < demands.size(); ++b) demands[b].take_out({s.wants[b], session});
    looks.erase({s.look_at, session});
    all.erase(session);
  }
}

share_grant divider::answer(double now, double right_ends, const share_ask& a) {
  share_grant g{share_grant::kind::not_yet, a.session, a.number, 0, 0, {}, {}, {}};
  if (a.wants.size() != is.budgets.size() || now >= right_ends) return g;
  forget(now);
  const bool known = all.count(a.session) > 0;
  if (!known && all.size() >= static_cast<std::size_t>(is.most)) {
    g.what = share_grant::kind::full;
    return g;
  }
  sharer& s = admit(a.session);
  // Doubled or overtaken: what was answered is answered.
  if (known && a.number <= s.last) return g;
  s.last = a.number;
  s.heard = now;
  wish(a.session, s, a.wants);
  s.seat_until =
      std::max(s.seat_until, a.seat_left > 0 ? now + stretch(std::min(a.seat_left, is.seat)) : long_ago);
  // It never goes back to an earlier answer; what it spent under one counts for a window more.
  for (grant& old : s.grants)
    if (old.number < a.goes_by) old.until = std::min(old.until, now + stretch(longest_window()));
  const double certain = now + stretch(is.share);
  if (now < from || (stand.within_right && certain > right_ends)) return settle(a.session, s, now), g;
  if (!stand.counts_given) s.grants.clear();
  grant given_now{a.number, {}, certain + stretch(longest_window())};
  const auto turn = static_cast<std::size_t>(std::max(0.0, now / is.share));
  for (std::size_t b = 0; b < is.budgets.size(); ++b) {
    const double whole = std::floor(std::max(0.0, is.divided(is.budgets[b])));
    // Decrease before increase: what others still may spend is theirs, whatever their target is.
    const double others = stand.counts_given ? in_use[b] - s.in_use[b] : 0;
    given_now.amounts.push_back(
        std::max(0.0, std::min(demands[b].part({s.wants[b], a.session}, whole, turn), whole - others)));
  }
  if (now >= strangers_from || now < s.seat_until) {
    g.seat = is.seat;
    s.seat_until = now + stretch(is.seat);
  }
  g.what = share_grant::kind::given;
  g.lasts = is.share;
  g.amounts = given_now.amounts;
  for (const budget_of_all& b : is.budgets) g.floors.push_back(b.floor);
  give(s, std::move(given_now));
  settle(a.session, s, now);
  return g;
}

std::string divider::state(double now) const {
  digest d{{}, now};
  d.left(from).left(strangers_from).put(std::floor(now / is.share));
  for (const auto& [session, s] : all) {
    d.number(session).number(s.last).left(s.seat_until);
    for (const double w : s.wants) d.put(w);
    for (const grant& g : s.grants)
      if (now < g.until) {
        d.number(g.number).left(g.until);
        for (const double a : g.amounts) d.put(a);
      }
  }
  return d.text;
}

// ---- the purse --------------------------------------------------------------------------------------------

purse::purse(shares_traits with, std::uint64_t session, share_guards g)
    : is(std::move(with)), stand(g), self(session) {
  const std::size_t n = is.budgets.size();
  amounts.resize(n), floors.resize(n), spent.resize(n), wants.resize(n), most_wanted.resize(n),
      counts.resize(n);
}

share_ask purse::ask(double now) {
  constexpr std::size_t remembered = 16;
  asked[++questions] = now;
  while (asked.size() > remembered) asked.erase(asked.begin());
  // What is held beyond the new share is still held under the old one.
  bool within = true;
  for (std::size_t b = 0; b < is.budgets.size(); ++b)
    if (is.budgets[b].window <= 0 && static_cast<double>(spent[b].size()) > allowed(now, b)) within = false;
  if (within) void_before = goes_by;
  share_ask a{self, questions, void_before, std::max(0.0, seat_until - now), {}};
  for (std::size_t b = 0; b < is.budgets.size(); ++b) {
    pass(now, b);
    // A burst is remembered over the next few questions.
    constexpr double fades = 0.7;
    const double present = is.budgets[b].window > 0 ? static_cast<double>(wants[b].size())
                                                    : static_cast<double>(spent[b].size() + wants[b].size());
    most_wanted[b] = std::max(present, fades * most_wanted[b]);
    a.wants.push_back(most_wanted[b]);
  }
  return a;
}

void purse::heard(double now, const share_grant& g) {
  const auto when = asked.find(g.number);
  if (g.session != self || when == asked.end() || g.number <= goes_by) return;
  if (g.what == share_grant::kind::full) refused = !seated(now);
  if (g.what != share_grant::kind::given || g.amounts.size() != amounts.size() ||
      g.floors.size() != floors.size())
    return;
  refused = false;
  goes_by = g.number;
  amounts = g.amounts;
  until = (stand.from_asking ? when->second : now) + g.lasts;
  if (g.seat > 0) {
    floors = g.floors;
    seat_until = when->second + g.seat;
  }
  asked.erase(asked.begin(), std::next(when));
}

double purse::allowed(double now, std::size_t b) const {
  return (now < until ? amounts[b] : 0) + (now < seat_until ? floors[b] : 0);
}

void purse::pass(double now, std::size_t b) {
  const double w = is.budgets[b].window > 0 ? window(b) : is.share;
  while (!wants[b].empty() && wants[b].front() + w <= now) wants[b].pop_front();
  while (is.budgets[b].window > 0 && !spent[b].empty() && spent[b].front() + w <= now) spent[b].pop_front();
}

void purse::note(double now, std::size_t b) {
  constexpr std::size_t most = 100000;
  pass(now, b);
  if (wants[b].size() < most) wants[b].push_back(now);
}

double purse::left(double now, std::size_t b) {
  pass(now, b);
  return std::max(0.0, allowed(now, b) - static_cast<double>(spent[b].size()));
}

bool purse::take(double now, std::size_t b) {
  note(now, b);
  if (left(now, b) < 1) return ++counts[b].denied, false;
  spent[b].push_back(now);
  return ++counts[b].granted, true;
}

void purse::give_back(std::size_t b) {
  if (!spent[b].empty()) spent[b].pop_back();
}

std::string purse::state(double now) const {
  digest d{{}, now};
  d.number(questions).number(goes_by).number(void_before).left(until).left(seat_until).put(refused);
  for (const auto& [number, when] : asked) d.number(number).put(std::min(now - when, 2 * is.share));
  for (std::size_t b = 0; b < amounts.size(); ++b) {
    d.put(amounts[b]).put(floors[b]).put(most_wanted[b]);
    for (const double s : spent[b]) d.put(now - s);
  }
  return d.text;
}

}  // namespace indigorill
