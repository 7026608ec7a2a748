// Shares of a budget: fairness by table, never more than the whole by an exhaustive search and by chance. All
// of it drives the real code.
#include "quota/quota.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <numeric>
#include <queue>
#include <random>
#include <set>
#include <unordered_set>

using namespace indigorill;

namespace {

QuotaConfig two_units(double drift) { return {{{"held", 2, 0, 0}}, 3, 4, 8, drift}; }

// ---- explored exhaustively: three members, two units, the right passes from one divider to another one
// ------

struct Word {
  std::size_t member, divider;
  bool answer;
  QuotaRequest asks;
  QuotaGrant grants;
  std::string text() const {
    std::string s(answer ? "grant " : "ask ");
    s.append(std::to_string(member)).append(answer ? " by " : " of ").append(std::to_string(divider));
    s.append(" no ").append(std::to_string(answer ? grants.request_number : asks.request_number));
    if (answer) s.append(" units ").append(std::to_string(static_cast<int>(grants.amounts.at(0))));
    if (!answer) s.append(" goes by ").append(std::to_string(asks.oldest_grant_in_use));
    return s;
  }
};

struct Town {
  std::vector<QuotaClient> purses;
  std::vector<QuotaAllocator> dividers;
  std::map<std::string, Word> net;  // all that was ever sent
  int tick = 0;
  std::vector<int> asks_left;
};

struct Found {
  std::size_t states = 0;
  std::vector<std::string> trace;
};

// The first divider's right ends at tick 2 of its clock, in true time at the latest; the second begins there.
// That no two have it at once is what the lease's own model shows.
Found explore(std::vector<double> member_rates, std::array<double, 2> divider_rates, QuotaSafeguards stand,
              int ticks, std::vector<int> asks, bool in_order) {
  constexpr double drift = 1.0 / 3, right = 8;
  QuotaConfig with = two_units(drift);
  Town first;
  for (std::size_t i = 0; i < member_rates.size(); ++i) first.purses.emplace_back(with, 10 + i, stand);
  for (int d = 0; d < 2; ++d) first.dividers.emplace_back(with, stand);
  first.dividers[0].start_term(0, 0);
  first.asks_left = std::move(asks);
  const int ends =
      static_cast<int>(std::ceil(right / divider_rates[0]));  // tick at which the first right is over
  const int passes = in_order ? 1 : ends;
  struct Step {
    std::size_t parent;
    std::string what;
  };
  struct Entry {
    std::size_t id;
    Town at;
  };
  std::vector<Step> steps{{0, ""}};
  std::unordered_set<std::string> seen;
  std::queue<Entry> todo;
  todo.push({0, first});
  Found f;
  bool broke = false;
  const auto clock = [&](std::size_t who, int tick) {
    const std::size_t n = member_rates.size();
    return (who < n ? member_rates[who] : divider_rates[who - n]) * tick;
  };
  while (!todo.empty() && !broke) {
    const Entry e = std::move(todo.front());
    todo.pop();
    const auto reach = [&](Entry next, const std::string& how) {
      std::string key = std::to_string(next.at.tick);
      const std::size_t n = next.at.purses.size();
      for (std::size_t i = 0; i < n; ++i)
        key.append("/").append(next.at.purses[i].state_digest(clock(i, next.at.tick)));
      for (std::size_t d = 0; d < 2; ++d)
        key.append("/").append(next.at.dividers[d].state_digest(clock(n + d, next.at.tick)));
      for (const auto& [text, w] : next.at.net) key.append(";").append(text);
      if (broke || !seen.insert(key).second) return;
      steps.push_back({e.id, how});
      next.id = steps.size() - 1;
      double sum = 0;
      for (std::size_t i = 0; i < next.at.purses.size(); ++i)
        sum += next.at.purses[i].allowance(clock(i, next.at.tick), 0);
      broke = sum > 2;
      if (!broke) todo.push(std::move(next));
    };
    if (e.at.tick < ticks) {
      Entry next = e;
      ++next.at.tick;
      if (next.at.tick == passes)
        next.at.dividers[1].start_term(clock(member_rates.size() + 1, passes),
                                       clock(member_rates.size() + 1, ends));
      reach(std::move(next), "time passes");
    }
    for (std::size_t i = 0; i < e.at.purses.size(); ++i)
      if (e.at.asks_left[i] > 0)
        for (std::size_t d = 0; d < 2; ++d) {
          Entry next = e;
          --next.at.asks_left[i];
          QuotaClient& p = next.at.purses[i];
          for (int n = 0; n < 2; ++n) p.record_demand(clock(i, e.at.tick), 0);
          const Word w{i, d, false, p.make_request(clock(i, e.at.tick)), {}};
          next.at.net.emplace(w.text(), w);
          reach(std::move(next), w.text());
        }
    for (const auto& [text, w] : e.at.net) {
      Entry next = e;
      const std::size_t n = e.at.purses.size();
      if (w.answer) {
        next.at.purses[w.member].on_grant(clock(w.member, e.at.tick), w.grants);
      } else {
        const bool has_right = w.divider == 0 ? e.at.tick < passes : e.at.tick >= passes;
        if (!has_right) continue;
        const double now = clock(n + w.divider, e.at.tick);
        const QuotaGrant g =
            next.at.dividers[w.divider].handle_request(now, w.divider == 0 ? right : 1000, w.asks);
        if (g.status != QuotaGrant::Status::granted) continue;
        const Word answer{w.member, w.divider, true, {}, g};
        next.at.net.emplace(answer.text(), answer);
      }
      reach(std::move(next), w.text());
    }
  }
  if (broke)
    for (std::size_t at = steps.size() - 1; at != 0; at = steps[at].parent)
      f.trace.insert(f.trace.begin(), steps[at].what);
  f.states = steps.size();
  return f;
}

}  // namespace

TEST_CASE("shares model: no reachable state has more than the whole in hand") {
  struct {
    std::vector<double> members;
    std::array<double, 2> dividers;
    int ticks;
    std::vector<int> asks;
    bool in_order;
  } rows[]{{{2, 2, 2}, {4, 2}, 3, {1, 1, 1}, false},
           {{2, 4, 2}, {2, 4}, 3, {1, 1, 1}, true},
           {{4, 2}, {4, 4}, 4, {2, 1}, false},
           {{2, 2}, {4, 4}, 4, {2, 1}, true}};
  for (const auto& row : rows) {
    const Found f = explore(row.members, row.dividers, {}, row.ticks, row.asks, row.in_order);
    MESSAGE("shares model: " << f.states << " states");
    CHECK(f.states > 1000);
    std::string way;
    for (const std::string& s : f.trace) way.append("\n    ").append(s);
    CHECK_MESSAGE(f.trace.empty(), way);
  }
}

TEST_CASE("shares model: with any guard taken out more than the whole is found in hand, with the way there") {
  struct {
    const char* name;
    std::array<double, 2> dividers;
    bool in_order;
    void (*without)(QuotaSafeguards&);
  } rows[]{{"from asking", {4, 4}, false, [](QuotaSafeguards& g) { g.expire_from_request = false; }},
           {"waits for quiet", {2, 2}, true, [](QuotaSafeguards& g) { g.wait_for_previous_grants = false; }},
           {"counts what was given",
            {4, 4},
            false,
            [](QuotaSafeguards& g) { g.count_outstanding_grants = false; }},
           {"within the right", {4, 4}, false, [](QuotaSafeguards& g) { g.grant_within_lease = false; }},
           {"allows for drift", {4, 4}, false, [](QuotaSafeguards& g) { g.allow_clock_drift = false; }}};
  for (const auto& row : rows) {
    CAPTURE(std::string(row.name));
    QuotaSafeguards g;
    row.without(g);
    const Found f = explore({2, 2}, row.dividers, g, 3, {2, 1}, row.in_order);
    CHECK_FALSE(f.trace.empty());
    std::string way;
    for (const std::string& s : f.trace) way.append("\n    ").append(s);
    MESSAGE("without \"" << std::string(row.name) << "\": more than the whole after " << f.states
                         << " states:" << way);
  }
}

// ---- by table and by chance
// --------------------------------------------------------------------------------

namespace {

// Asks and answers at once, as often as it takes to settle.
struct RoundTable {
  QuotaConfig with;
  QuotaAllocator d;
  std::vector<QuotaClient> all;
  double now = 1e6;
  RoundTable(QuotaConfig t, std::size_t n) : with(t), d(t) {
    for (std::size_t i = 0; i < n; ++i) all.emplace_back(t, 1 + i);
    d.start_term(now, now);
  }
  void settle(const std::vector<int>& wants, int rounds = 40) {
    for (int r = 0; r < rounds; ++r, now += with.grant_duration_ms / 3)
      for (std::size_t i = 0; i < all.size(); ++i) {
        for (int n = 0; n < wants[i]; ++n) all[i].record_demand(now, 0);
        all[i].on_grant(now, d.handle_request(now, 1e18, all[i].make_request(now)));
      }
  }
  std::vector<int> has(std::size_t b = 0) const {
    std::vector<int> v;
    for (const QuotaClient& p : all)
      v.push_back(static_cast<int>(p.allowance(now - with.grant_duration_ms / 3, b)));
    return v;
  }
};

}  // namespace

TEST_CASE("shares: max-min fair, by demand; the busy one is not cut to the mean; the least have a unit") {
  struct {
    double whole;
    std::vector<int> wants;
    std::vector<int> least;
  } rows[]{{100, {1, 1, 1, 1}, {25, 25, 25, 25}},
           {100, {500, 1, 1, 1}, {90, 1, 1, 1}},
           {100, {500, 500, 1, 1}, {45, 45, 1, 1}},
           {10, {500, 500, 500, 500}, {2, 2, 2, 2}}};
  for (const auto& row : rows) {
    RoundTable t({{{"picks", row.whole, 0, 1000}}, 10, 2000, 60000, 0.01}, row.wants.size());
    t.settle(row.wants);
    const std::vector<int> has = t.has();
    int sum = 0;
    for (std::size_t i = 0; i < has.size(); ++i) {
      CAPTURE(i);
      CHECK(has[i] >= row.least[i]);
      sum += has[i];
    }
    CHECK(sum <= row.whole);
    CHECK(sum >= 0.9 * row.whole);
  }
}

TEST_CASE("shares: a budget smaller than the fleet goes by turns") {
  RoundTable t({{{"list", 2, 0, 500}}, 10, 1000, 60000, 0.01}, 6);
  std::vector<int> had(6);
  for (int r = 0; r < 60; ++r) {
    t.settle(std::vector<int>(6, 5), 3);
    const auto has = t.has();
    CHECK(std::accumulate(has.begin(), has.end(), 0) <= 2);
    for (std::size_t i = 0; i < 6; ++i) had[i] += has[i];
  }
  for (std::size_t i = 0; i < 6; ++i) CHECK(had[i] > 0);
}

TEST_CASE(
    "shares: the floor lasts without a divider, comes to those admitted alone, and ends with its seat") {
  RoundTable t({{{"picks", 20, 2, 1000}}, 5, 2000, 30000, 0.01}, 6);
  t.settle(std::vector<int>(6, 50), 3);
  CHECK_FALSE(t.all[0].is_registered(t.now));  // a new divider does not know who else has a floor
  t.settle(std::vector<int>(6, 50), 60);
  int seated = 0, full = 0;
  for (const QuotaClient& p : t.all) seated += p.is_registered(t.now), full += p.is_rejected_at_capacity();
  CHECK(seated == 5);
  CHECK(full == 1);
  CHECK(t.all[5].allowance(t.now, 0) == 0);
  CHECK(t.all[0].allowance(t.now, 0) >= 2);
  t.now += 10000;
  CHECK(t.all[0].allowance(t.now, 0) == 2);
  CHECK(t.all[0].try_acquire(t.now, 0));
  CHECK(t.all[0].try_acquire(t.now, 0));
  CHECK_FALSE(t.all[0].try_acquire(t.now, 0));
  CHECK(t.all[0].counters(0).denied == 1);
  t.now += 30000;
  CHECK(t.all[0].allowance(t.now, 0) == 0);
}

TEST_CASE("shares: one that was stopped between its question and its spending finds its share over") {
  RoundTable t({{{"picks", 10, 0, 1000}}, 5, 2000, 30000, 0.01}, 1);
  t.settle({50});
  const double before = t.now;
  CHECK(t.all[0].available(before, 0) > 0);
  CHECK_FALSE(t.all[0].try_acquire(before + 5000, 0));
  // An answer from before its sleep, heard after it, is worth nothing either.
  const QuotaRequest a = t.all[0].make_request(t.now);
  const QuotaGrant g = t.d.handle_request(t.now, 1e18, a);
  t.all[0].on_grant(t.now + 5000, g);
  CHECK(t.all[0].allowance(t.now + 5000, 0) == 0);
}

TEST_CASE("shares: a lowered whole is kept to when what was given under the old one has ended") {
  RoundTable t({{{"picks", 100, 0, 1000}}, 5, 2000, 30000, 0.01}, 4);
  t.settle({90, 90, 90, 90});
  t.d.set_total(0, 20);
  const double before = t.now;
  t.settle({90, 90, 90, 90}, 12);
  CHECK(t.now - before <= 3 * 2000 + 2000);
  const auto has = t.has();
  CHECK(std::accumulate(has.begin(), has.end(), 0) <= 20);
  CHECK(std::accumulate(has.begin(), has.end(), 0) >= 16);
}

TEST_CASE("shares: never more than the whole in any window, by chance") {
  // Members with clocks at both bounds; questions and answers lost, doubled and late; dividers that follow
  // one another, in order or not; spending whenever it is allowed, and where it was just checked before a
  // stop.
  std::uint64_t spent_in_all = 0;
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    CAPTURE(seed);
    std::mt19937_64 chance(seed);
    const auto unit = [&] { return std::uniform_real_distribution<double>(0, 1)(chance); };
    constexpr double drift = 0.01, whole = 12, step = 10, window = 1000;
    const QuotaConfig with{{{"picks", whole, 1, window}}, 4, 1500, 6000, drift};
    const auto rate = [&](std::size_t i) { return i % 2 ? 1 + drift : 1 - drift; };
    std::vector<std::unique_ptr<QuotaClient>> members;
    std::uint64_t sessions = 0;
    for (std::size_t i = 0; i < 4; ++i) members.push_back(std::make_unique<QuotaClient>(with, ++sessions));
    auto divides = std::make_unique<QuotaAllocator>(with);
    double began = 0, ends = 5000, quiet = 0;
    std::size_t who = 0;
    const auto clock = [&](std::size_t i, double now) { return 1e6 + now * rate(i); };
    divides->start_term(clock(0, 0), clock(0, 0));
    struct Late {
      double at;
      std::size_t member;
      QuotaRequest ask;
      QuotaGrant grant;
      bool answer;
    };
    std::vector<Late> net;
    std::deque<double> sends;
    for (double now = 0; now < 60000; now += step) {
      if (now >= ends) {  // the right passes: at its end, or before with a word of how long all lives
        who = 1 - who;
        divides = std::make_unique<QuotaAllocator>(with);
        began = now;
        divides->start_term(clock(who, now), clock(who, std::max(now, quiet)));
        ends = now + 2000 + 6000 * unit();
      }
      // What it may give ends by this; a hand-over in order comes earlier.
      const double right = began + 8000;
      quiet = right;
      for (std::size_t i = 0; i < 4; ++i) {
        if (unit() < 0.0005) members[i] = std::make_unique<QuotaClient>(with, ++sessions);
        if (unit() < 0.03) {
          const Late l{now + 300 * unit() * unit(), i, members[i]->make_request(clock(i, now)), {}, false};
          for (int copies = static_cast<int>(chance() % 3); copies > 0; --copies) net.push_back(l);
        }
        while (unit() < 0.3)
          if (members[i]->try_acquire(clock(i, now), 0)) sends.push_back(now), ++spent_in_all;
      }
      for (std::size_t m = 0; m < net.size();) {
        if (net[m].at > now) {
          ++m;
          continue;
        }
        const Late l = net[m];
        net.erase(net.begin() + static_cast<std::ptrdiff_t>(m));
        if (l.answer)
          members[l.member]->on_grant(clock(l.member, now), l.grant);
        else
          net.push_back({now + (unit() < 0.1 ? 3000 : 100) * unit(),
                         l.member,
                         {},
                         divides->handle_request(clock(who, now), clock(who, right), l.ask),
                         true});
      }
      while (!sends.empty() && sends.front() + window <= now) sends.pop_front();
      REQUIRE(static_cast<double>(sends.size()) <= whole);
    }
  }
  CHECK(spent_in_all > 4000);
}
