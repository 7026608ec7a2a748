#include "brain.h"

#include <algorithm>
#include <array>
#include <deque>
#include <limits>
#include <map>
#include <set>
#include <utility>

#include "chance.h"

namespace indigorill::lab {
namespace {

class module_brain : public brain {
 public:
  module_brain(const terrain& where, std::uint64_t seed, double now) : decides(where, seed, now) {}
  void listed(double now, bool whole, bool asked, const std::vector<endpoint>& entries) override {
    decides.listed(now, whole, asked, entries);
  }
  void list_failed(double now) override { decides.list_failed(now); }
  void rpc_arrived(double now, const arrival& what) override { decides.rpc_arrived(now, what); }
  void pick_ended(double now, const std::string& rpc, int pick, ending how, double took, bool concluded,
                  const load& report) override {
    decides.pick_ended(now, rpc, pick, how, took, concluded, report);
  }
  void probe_ended(double now, const std::string& server, ending how, const load& report) override {
    decides.probe_ended(now, server, how, report);
  }
  void client_left(double now, const std::string& rpc) override { decides.client_left(now, rpc); }
  void resting(const std::string& server, std::size_t connections) override {
    decides.resting(server, connections);
  }
  void barred(const std::string& server, bool is) override { decides.barred(server, is); }
  void woken(double now, std::uint64_t wake) override { decides.woken(now, wake); }
  std::optional<decision> next() override { return decides.next(); }

 private:
  balancer decides;
};

// A plain balancer round one rule of choice: time-outs at the latency target, repeats elsewhere as the rules
// allow, a push-back where nothing is left to do.
class baseline : public brain {
 public:
  baseline(policy rule, const terrain& where, std::uint64_t seed, double now, oracle sees)
      : by(rule), land(where), chance(seed), truth(std::move(sees)), clock(now) {
    turn = chance.below(1 << 20);  // in round robin sidecars must not go round in step
  }

  void listed(double now, bool whole, bool asked, const std::vector<endpoint>& entries) override {
    clock = now;
    if (whole) ready.clear();
    for (const endpoint& e : entries) {
      if (e.state == standing::ready)
        ready.insert(e.id);
      else
        ready.erase(e.id);
    }
    names.assign(ready.begin(), ready.end());
    if (asked) wants_list = false;
  }
  void list_failed(double now) override {
    clock = now;
    wants_list = land.must_ask;
    constexpr double again = 1000;
    ask_at = now + again * (0.5 + chance.unit());
    wake_at = ask_at;
  }
  void rpc_arrived(double now, const arrival& what) override {
    clock = now;
    rpc r{land.methods.front(), what.deadline, {}, false};
    for (const method& m : land.methods)
      if (m.name == what.method) r.how = m;
    const double target = now + r.how.latency_target;
    r.until = std::min(what.deadline - land.tick, r.how.late_utility > 0 ? what.deadline : target);
    rpcs.emplace(what.id, std::move(r));
    undecided.emplace_back(what.id);
  }
  void pick_ended(double now, const std::string& id, int number, ending how, double, bool concluded,
                  const load&) override {
    clock = now;
    const auto it = rpcs.find(id);
    if (it == rpcs.end()) return;
    pick& p = it->second.picks.at(static_cast<std::size_t>(number));
    p.out = false;
    p.may_have_run = how != ending::full && how != ending::connect_failed && how != ending::moot;
    --in_flight[p.server];
    if (concluded || it->second.over)
      rpcs.erase(it);
    else
      undecided.push_back(id);
  }
  void probe_ended(double, const std::string&, ending, const load&) override {}
  void client_left(double now, const std::string& id) override {
    clock = now;
    const auto it = rpcs.find(id);
    if (it == rpcs.end()) return;
    const bool out = !it->second.picks.empty() && it->second.picks.back().out;
    it->second.over = true;
    if (!out) rpcs.erase(it);
  }
  void resting(const std::string&, std::size_t) override {}
  void barred(const std::string&, bool) override {}  // limits are the module's; baselines run without
  void woken(double now, std::uint64_t) override { clock = now; }

  std::optional<decision> next() override {
    using verb = decision::verb;
    if (land.must_ask && wants_list && clock >= ask_at) {
      wants_list = false;
      return decision{verb::follow_list, {}, {}, 0, 0, 0};
    }
    if (wake_at > 0) return decision{verb::wake, {}, {}, 0, std::exchange(wake_at, 0) - clock, 1};
    while (!undecided.empty()) {
      const std::string id = undecided.front();
      undecided.pop_front();
      const auto it = rpcs.find(id);
      if (it == rpcs.end()) continue;
      rpc& r = it->second;
      if (clock < r.until && may_pick(r) && !names.empty())
        if (const auto to = choose(r)) return send(id, r, *to);
      const bool harmless = may_push_back(r);
      rpcs.erase(it);
      return decision{harmless ? verb::push_back : verb::abort, id, {}, 0,
                      harmless ? land.longest_retry_after : 0,  0};
    }
    return {};
  }

 private:
  struct pick {
    std::string server;
    bool out = true, may_have_run = true;
  };
  struct rpc {
    method how;
    double until;
    std::vector<pick> picks;
    bool over;
    bool may_have_run() const {
      return std::any_of(picks.begin(), picks.end(), [](const pick& p) { return p.may_have_run; });
    }
  };

  bool may_pick(const rpc& r) const {
    if (static_cast<int>(r.picks.size()) >= land.most_picks) return false;
    return r.how.repeats == repeatable::idempotent || !r.may_have_run();
  }
  static bool may_push_back(const rpc& r) {
    return r.how.repeats == repeatable::idempotent || !r.may_have_run();
  }

  decision send(const std::string& id, rpc& r, const std::string& to) {
    ++in_flight[to];
    r.picks.push_back({to});
    return {decision::verb::pick, id, to, static_cast<int>(r.picks.size()) - 1, r.until - clock, 0};
  }

  // None, where it is seen that no server would answer in time.
  std::optional<std::string> choose(const rpc& r) {
    std::vector<std::string> fresh;
    for (const std::string& n : names)
      if (std::none_of(r.picks.begin(), r.picks.end(), [&](const pick& p) { return p.server == n; }))
        fresh.push_back(n);
    const std::vector<std::string>& from = fresh.empty() ? names : fresh;
    switch (by) {
      case policy::round_robin:
        return from[turn++ % from.size()];
      case policy::two_choices: {
        const std::string &a = from[chance.below(from.size())], &b = from[chance.below(from.size())];
        return in_flight[b] < in_flight[a] ? b : a;
      }
      case policy::true_state: {
        // Ties are broken by chance: else all would go to the first of the idle ones.
        double best = std::numeric_limits<double>::infinity();
        std::vector<const std::string*> those;
        for (const std::string& n : from) {
          const double takes = truth(n);
          if (takes < best) those.clear(), best = takes;
          if (takes == best) those.push_back(&n);
        }
        if (clock + best > r.until) return {};
        return *those[chance.below(those.size())];
      }
      default:
        return from[chance.below(from.size())];
    }
  }

  policy by;
  terrain land;
  stream chance;
  oracle truth;
  double clock, ask_at = 0, wake_at = 0;
  bool wants_list = true;
  std::size_t turn = 0;
  std::set<std::string> ready;
  std::vector<std::string> names;
  std::map<std::string, int> in_flight;
  std::map<std::string, rpc> rpcs;
  std::deque<std::string> undecided;
};

constexpr std::array<std::pair<const char*, policy>, 5> words{{{"module", policy::module},
                                                               {"random", policy::random},
                                                               {"round-robin", policy::round_robin},
                                                               {"two-choices", policy::two_choices},
                                                               {"true-state", policy::true_state}}};

}  // namespace

std::optional<policy> policy_named(const std::string& word) {
  for (const auto& [name, p] : words)
    if (word == name) return p;
  return {};
}

std::string name_of(policy p) {
  for (const auto& [name, is] : words)
    if (is == p) return name;
  return {};
}

std::unique_ptr<brain> make_brain(policy p, const terrain& where, std::uint64_t seed, double now,
                                  oracle truth) {
  if (p == policy::module) return std::make_unique<module_brain>(where, seed, now);
  return std::make_unique<baseline>(p, where, seed, now, std::move(truth));
}

}  // namespace indigorill::lab
