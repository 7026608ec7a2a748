#include "shares.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <numeric>

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
  return now < s.seat_until || now <= s.heard + 2 * is.share ||
         std::any_of(s.grants.begin(), s.grants.end(), [&](const grant& g) { return now < g.until; });
}

void divider::forget(double now) {
  for (auto& [session, s] : all) std::erase_if(s.grants, [&](const grant& g) { return now >= g.until; });
  // Who has asked for nothing since its last share ended is no sharer any more.
  std::erase_if(all, [&](const auto& s) { return !counts(s.second, now); });
}

// Max-min fair (Bertsekas, Gallager, "Data Networks", 6.5): nobody has more while another one wants and has
// less; what nobody wants goes to all alike, for who wants more a moment later. Whole units; the odd ones by
// turns.
std::vector<double> divider::targets(double now, std::size_t budget) const {
  const std::size_t n = all.size(), turn = static_cast<std::size_t>(std::max(0.0, now / is.share));
  std::vector<double> wants, has(n);
  for (const auto& [session, s] : all) wants.push_back(std::ceil(s.wants[budget]));
  double left = std::floor(std::max(0.0, is.divided(is.budgets[budget])));
  std::vector<std::size_t> order(n);
  std::iota(order.begin(), order.end(), 0);
  std::stable_sort(order.begin(), order.end(),
                   [&](std::size_t a, std::size_t b) { return wants[a] < wants[b]; });
  for (std::size_t i = 0; i < n; ++i) {
    const double part = left / static_cast<double>(n - i);
    has[order[i]] = std::min(wants[order[i]], part);
    left -= has[order[i]];
  }
  // Whole units alone are given; the parts of units that are over go on by turns.
  for (double& h : has) {
    const double units = std::floor(h + 1e-9);
    left += h - units;
    h = units;
  }
  left = std::floor(left + 1e-9);
  const bool enough = std::equal(has.begin(), has.end(), wants.begin());
  if (enough) {
    const double alike = std::floor(left / static_cast<double>(std::max<std::size_t>(n, 1)));
    for (double& h : has) h += alike;
    left -= alike * static_cast<double>(n);
  }
  // First to those that want more than they have; whose turn it is goes round.
  for (std::size_t i = 0; i < n && left >= 1; ++i) {
    const std::size_t at = (i + turn) % n;
    if (enough || has[at] < wants[at]) ++has[at], --left;
  }
  return has;
}

share_grant divider::answer(double now, double right_ends, const share_ask& a) {
  share_grant g{share_grant::kind::not_yet, a.session, a.number, 0, 0, {}, {}, {}};
  if (a.wants.size() != is.budgets.size() || now >= right_ends) return g;
  forget(now);
  const bool known = all.count(a.session) > 0;
  if (!known && sharers(now) >= static_cast<std::size_t>(is.most)) {
    g.what = share_grant::kind::full;
    return g;
  }
  sharer& s = all[a.session];
  // Doubled or overtaken: what was answered is answered.
  if (known && a.number <= s.last) return g;
  s.last = a.number;
  s.heard = now;
  s.wants = a.wants;
  s.seat_until =
      std::max(s.seat_until, a.seat_left > 0 ? now + stretch(std::min(a.seat_left, is.seat)) : long_ago);
  // It never goes back to an earlier answer; what it spent under one counts for a window more.
  for (grant& old : s.grants)
    if (old.number < a.goes_by) old.until = std::min(old.until, now + stretch(longest_window()));
  const double certain = now + stretch(is.share);
  if (now < from || (stand.within_right && certain > right_ends)) return g;
  if (!stand.counts_given) s.grants.clear();
  grant given_now{a.number, {}, certain + stretch(longest_window())};
  const auto at = static_cast<std::size_t>(std::distance(all.begin(), all.find(a.session)));
  for (std::size_t b = 0; b < is.budgets.size(); ++b) {
    double others = 0;
    if (stand.counts_given)
      for (const auto& [session, o] : all)
        if (session != a.session) others += of_one(o, now, b);
    // Decrease before increase: what others still may spend is theirs, whatever their target is.
    const double free = std::floor(is.divided(is.budgets[b])) - others;
    given_now.amounts.push_back(std::max(0.0, std::min(targets(now, b)[at], free)));
  }
  if (now >= strangers_from || now < s.seat_until) {
    g.seat = is.seat;
    s.seat_until = now + stretch(is.seat);
  }
  g.what = share_grant::kind::given;
  g.lasts = is.share;
  g.amounts = given_now.amounts;
  for (const budget_of_all& b : is.budgets) g.floors.push_back(b.floor);
  s.grants.push_back(std::move(given_now));
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
