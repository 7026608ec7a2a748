#include "lease.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>
#include <utility>

namespace indigorill {
namespace {

// A round that got no majority within so much of a lease is begun anew; candidates spread over as much.
constexpr double patience = 1.0 / 8;
// Asked anew when so much of it has passed: two more rounds can fail before it ends.
constexpr double renewed_after = 1.0 / 3;

using kind = lease_word::kind;

}  // namespace

lease::lease(traits with, std::uint64_t session, std::uint64_t seed, double now, guards g)
    : is(std::move(with)),
      stand(g),
      self(session),
      chance(static_cast<std::knuth_b::result_type>(seed)),
      is_voter(std::find(is.voters.begin(), is.voters.end(), is.name) != is.voters.end()),
      // Without a disk a voter that starts can't know what it accepted before: all of that has to have ended.
      mute_until(g.abstains ? now + stretched(is.length) : now),
      try_at(mute_until) {
  try_later(now, mute_until - now);
}

double lease::next_due() const {
  if (!is_voter || leaving) return std::numeric_limits<double>::infinity();
  return try_at;
}

std::optional<lease::letter> lease::next() {
  if (out.empty()) return {};
  letter l = std::move(out.front());
  out.erase(out.begin());
  return l;
}

std::string lease::known_holder(double now) const {
  if (holds(now)) return is.name;
  return accepted && known(*accepted, now) ? accepted->holder : "";
}

void lease::try_later(double now, double least) {
  const double spread = patience * is.length;
  try_at = now + least + std::uniform_real_distribution<double>(0, spread)(chance);
}

void lease::ask_all(double now, lease_word w) {
  for (const std::string& v : is.voters)
    if (v != is.name) out.push_back({v, w});
  // Its own vote counts like any other's, and is asked last: it may decide at once.
  if (const auto answer = vote(now, w)) hear_answer(now, is.name, *answer);
}

void lease::begin(double now) {
  if (!is_voter || leaving) return;
  at = phase::preparing;
  asking = {++highest, self};
  counted_from = now;
  yes.clear();
  heard_quiet = 0;
  try_later(now, patience * is.length);
  ask_all(now, {kind::prepare, asking, is.name, self, 0, 0});
}

void lease::due(double now) {
  if (!is_voter || leaving || now < try_at) return;
  if (held && now >= ends) held = false;
  if (!held && accepted && known(*accepted, now) && accepted->session != self)
    return try_later(now, accepted->until - now);
  begin(now);
}

// What a voter answers; none while it abstains.
std::optional<lease_word> lease::vote(double now, const lease_word& w) {
  if (!is_voter || abstains(now)) return {};
  const auto say = [&](kind what) {
    lease_word a{what, what == kind::refused ? promised : w.number, {}, 0, 0, 0};
    if (accepted && known(*accepted, now)) {
      a.holder = accepted->holder;
      a.session = accepted->session;
      a.remaining = accepted->until - now;
    }
    a.quiet = std::max(0.0, voter_quiet - now);
    return a;
  };
  switch (w.what) {
    case kind::prepare:
      if (stand.keeps_word && w.number <= promised) return say(kind::refused);
      promised = std::max(promised, w.number);
      return say(kind::promise);
    case kind::propose:
      // Who promised a later ballot may have told its asker that nobody holds the lease.
      if (stand.keeps_word && w.number < promised) return say(kind::refused);
      promised = std::max(promised, w.number);
      accepted = {w.number, w.holder, w.session, now + stretched(is.length), false};
      voter_quiet = std::max(voter_quiet, accepted->until);
      return say(kind::accepted);
    case kind::released:
      // What was given under it may live on until its end: `quiet` still tells of it.
      if (accepted && accepted->session == w.session && accepted->number <= w.number) {
        accepted->released = true;
        if (!held) try_later(now, 0);
      }
      return {};
    default:
      return {};
  }
}

void lease::hear_answer(double now, const std::string& from, const lease_word& w) {
  if (leaving) return;
  highest = std::max(highest, w.number.round);
  if (w.what == kind::refused) {
    // Another one asks too, or holds it: the next round is above all that is known.
    if (w.remaining > 0 && w.session != self && !held) try_later(now, w.remaining);
    return;
  }
  if (w.number != asking) return;
  if (w.what == kind::promise && at == phase::preparing) {
    const bool ours = stand.is_itself ? w.session == self : w.holder == is.name;
    if (stand.respects && !w.holder.empty() && !ours) {
      if (!held) try_later(now, w.remaining);
      return;
    }
    if (!ours || !holds(now)) heard_quiet = std::max(heard_quiet, now + stretched(w.quiet));
    yes.insert(from);
    if (yes.size() < majority()) return;
    at = phase::proposing;
    yes.clear();
    return ask_all(now, {kind::propose, asking, is.name, self, 0, 0});
  }
  if (w.what != kind::accepted || at != phase::proposing) return;
  yes.insert(from);
  if (yes.size() < majority()) return;
  at = phase::idle;
  // Counted from its first question: voters count from their answers, which came later, and a promise from
  // before a voter's restart can't be used after all that it might stand for has ended.
  const double until = (stand.counts_early ? counted_from : now) + is.length;
  if (now >= until && stand.looks_at_clock) return;
  if (!held || now >= ends) quiet_until = heard_quiet;
  held = true;
  ends = until;
  held_by = asking;
  try_at = now + renewed_after * is.length;
}

void lease::heard(double now, const std::string& from, const lease_word& w) {
  if (std::find(is.voters.begin(), is.voters.end(), from) == is.voters.end()) return;
  switch (w.what) {
    case kind::prepare:
    case kind::propose:
    case kind::released:
      if (const auto answer = vote(now, w)) out.push_back({from, *answer});
      return;
    default:
      return hear_answer(now, from, w);
  }
}

void lease::leave(double now) {
  if (std::exchange(leaving, true) || !held || now >= ends) return;
  held = false;
  for (const std::string& v : is.voters)
    if (v != is.name) out.push_back({v, {kind::released, held_by, is.name, self, 0, 0}});
}

std::string lease::state(double now) const {
  std::string s;
  const auto put = [&](double v) {
    std::array<char, 32> room;
    s.append(room.data(), std::to_chars(room.begin(), room.end(), static_cast<std::int64_t>(v * 16)).ptr) +=
        ' ';
  };
  const auto left = [&](double when) { put(std::max(0.0, when - now)); };
  const auto number = [&](const ballot& b) {
    put(static_cast<double>(b.round));
    put(static_cast<double>(b.session));
  };
  put(leaving);
  left(mute_until);
  number(promised);
  if (accepted && now < accepted->until) {
    number(accepted->number);
    left(accepted->until);
    (s += accepted->holder) += accepted->released ? '!' : '.';
  }
  left(voter_quiet);
  put(static_cast<int>(at));
  put(static_cast<double>(highest));
  if (at != phase::idle) {
    number(asking);
    put(std::min(now - counted_from, 2 * is.length));
    left(heard_quiet);
    for (const std::string& v : yes) s += v;
  }
  put(held);
  if (held) {
    left(ends);
    left(quiet_until);
    number(held_by);
  }
  return s;
}

}  // namespace indigorill
