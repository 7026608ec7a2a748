#include "gathering.h"

#include <algorithm>
#include <functional>
#include <iomanip>
#include <map>
#include <memory>

#include "../members/envelope.h"
#include "agenda.h"
#include "chance.h"

namespace indigorill::lab {
namespace {

class field {
 public:
  explicit field(const gathering& g) : how(g), chance(seed_of(g.seed, use::network)) {
    const auto n = static_cast<std::size_t>(how.sidecars);
    all.resize(n + 1), up.resize(n + 1), sent.resize(n + 1), sent_bytes.resize(n + 1), wakes.resize(n + 1);
    for (std::size_t i = 0; i <= n; ++i) numbers[address(i)] = i;
  }

  static std::string name(std::size_t i) { return std::string("n").append(std::to_string(i)); }
  static std::string address(std::size_t i) {
    return std::string("10.0.").append(std::to_string(i / 250)).append(".").append(std::to_string(i % 250)) +
           ":7900";
  }

  void start(std::size_t i) {
    std::vector<std::string> seeds;
    for (std::size_t s = 0; s < static_cast<std::size_t>(how.seeds); ++s)
      if (s != i) seeds.push_back(address(s));
    all[i] = std::make_unique<members>(members::traits{name(i), address(i), seeds, how.period, how.timeout},
                                       1, seed_of(how.seed, use::policy, i), due.now());
    up[i] = true;
    act(i);
  }
  void leave(std::size_t i) {
    all[i]->leave();
    act(i);
    up[i] = false;
  }
  void die(std::size_t i) { up[i] = false; }

  void run(double span) {
    const double until = due.now() + span;
    while (due.step(until)) continue;
  }
  // How long until nine in ten, and all, of the others see these as they are to be seen.
  known_after wait(const std::vector<std::size_t>& whom, member::state as) {
    constexpr double step = 100;
    known_after k;
    for (const double began = due.now(); due.now() - began < how.patience;) {
      run(step);
      std::size_t is = 0, of = 0;
      for (std::size_t i = 0; i < all.size(); ++i) {
        if (!up[i]) continue;
        for (const std::size_t w : whom) {
          if (w == i) continue;
          const auto it = all[i]->view().find(name(w));
          ++of;
          is += it != all[i]->view().end() && it->second.is == as;
        }
      }
      if (k.nine_in_ten < 0 && 10 * is >= 9 * of) k.nine_in_ten = due.now() - began;
      if (is == of) {
        k.all = due.now() - began;
        break;
      }
    }
    return k;
  }
  // The living that are taken for dead, by each that does so.
  std::uint64_t taken_for_dead() const {
    std::uint64_t n = 0;
    for (std::size_t i = 0; i < all.size(); ++i) {
      if (!up[i]) continue;
      for (std::size_t w = 0; w < all.size(); ++w) {
        if (w == i || !up[w]) continue;
        const auto it = all[i]->view().find(name(w));
        n += it != all[i]->view().end() && it->second.is == member::state::dead;
      }
    }
    return n;
  }
  void forget_counts() {
    std::fill(sent.begin(), sent.end(), 0);
    std::fill(sent_bytes.begin(), sent_bytes.end(), 0);
  }

  const gathering how;
  std::vector<std::uint64_t> sent, sent_bytes;
  std::vector<bool> up;
  std::size_t longest = 0;

 private:
  void act(std::size_t i) {
    while (auto l = all[i]->next()) {
      envelope e;
      e.fleet = "lab";
      e.name = name(i);
      e.address = address(i);
      e.incarnation = all[i]->incarnation();
      e.serial = ++serials;
      e.talk = std::move(l->what);
      const std::size_t bytes = encode(e).size();
      longest = std::max(longest, bytes);
      ++sent[i];
      sent_bytes[i] += bytes;
      const auto to = numbers.find(l->to);
      if (to == numbers.end() || chance.happens(how.loss)) continue;
      due.at(due.now() + how.delay + how.jitter * chance.unit(), rank::network,
             [this, to = to->second, i, talk = std::move(e.talk)] {
               if (!up[to]) return;
               all[to]->heard(due.now(), name(i), address(i), talk);
               act(to);
             });
    }
    if (!up[i]) return;
    const double when = all[i]->next_due();
    if (wakes[i] > due.now() && wakes[i] <= when) return;  // it looks again then
    wakes[i] = when;
    due.at(when, rank::timer, [this, i, when] {
      if (!up[i] || wakes[i] != when) return;
      all[i]->due(due.now());
      act(i);
    });
  }

  agenda due;
  stream chance;
  std::vector<std::unique_ptr<members>> all;
  std::vector<double> wakes;
  std::map<std::string, std::size_t> numbers;
  std::uint64_t serials = 0;
};

}  // namespace

gathered gather(const gathering& how) {
  field f(how);
  gathered g;
  const auto n = static_cast<std::size_t>(how.sidecars);
  std::vector<std::size_t> everybody;
  for (std::size_t i = 0; i < n; ++i) {
    f.start(i);
    everybody.push_back(i);
  }
  g.start = f.wait(everybody, member::state::alive);
  constexpr double settled = 20000;
  f.run(settled);
  f.forget_counts();
  constexpr double look = 1000;
  std::uint64_t before = f.taken_for_dead();
  for (double t = 0; t < how.calm; t += look) {
    f.run(look);
    const std::uint64_t now = f.taken_for_dead();
    g.false_deaths += now - std::min(now, before);
    before = now;
  }
  const double seconds = how.calm / 1000;
  for (std::size_t i = 0; i < n; ++i) {
    g.datagrams += static_cast<double>(f.sent[i]) / seconds / static_cast<double>(n);
    g.bytes += static_cast<double>(f.sent_bytes[i]) / seconds / static_cast<double>(n);
    g.most_bytes = std::max(g.most_bytes, static_cast<double>(f.sent_bytes[i]) / seconds);
  }
  f.start(n);
  g.join = f.wait({n}, member::state::alive);
  f.run(settled);
  f.leave(n);
  g.leave = f.wait({n}, member::state::left);
  f.run(settled);
  f.die(n - 1);
  g.death = f.wait({n - 1}, member::state::dead);
  g.longest = f.longest;
  return g;
}

void print_gathered(std::ostream& out, const std::vector<std::pair<gathering, gathered>>& all) {
  const auto put = [&](auto v, int width = 9) { out << std::setw(width) << v; };
  out << " sidecars     loss  start_90 start_all   join_90  join_all  leave_90 leave_all  death_90 death_all"
         " false_deaths  datagrams  bytes_s  most_bytes_s  longest\n";
  out << std::fixed;
  for (const auto& [how, g] : all) {
    out << std::setprecision(2);
    put(how.sidecars);
    put(how.loss);
    out << std::setprecision(1);
    for (const known_after* k : {&g.start, &g.join, &g.leave, &g.death})
      for (const double ms : {k->nine_in_ten, k->all}) put(ms < 0 ? -1 : ms / 1000, 10);
    put(g.false_deaths, 13);
    put(g.datagrams, 11);
    out << std::setprecision(0);
    put(g.bytes);
    put(g.most_bytes, 14);
    put(g.longest);
    out << '\n';
  }
  out << "times in seconds, -1: not within the patience; datagrams and bytes a second, sent by each\n";
}

}  // namespace indigorill::lab
