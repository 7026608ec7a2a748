#include "emulator/membership_experiment.h"

#include <algorithm>
#include <functional>
#include <iomanip>
#include <map>
#include <memory>

#include "cluster/envelope.h"
#include "emulator/event_queue.h"
#include "emulator/random_stream.h"

namespace indigorill::emulator {
namespace {

class MembershipSimulation {
 public:
  explicit MembershipSimulation(const MembershipExperiment& g)
      : config(g), random_(derive_seed(g.seed, RandomPurpose::network)) {
    const auto n = static_cast<std::size_t>(config.sidecars);
    members_.resize(n + 1), running.resize(n + 1), datagrams_sent.resize(n + 1), bytes_sent.resize(n + 1),
        next_timer_ms_.resize(n + 1);
    for (std::size_t i = 0; i <= n; ++i) index_by_address_[member_address(i)] = i;
  }

  static std::string member_name(std::size_t i) { return std::string("n").append(std::to_string(i)); }
  static std::string member_address(std::size_t i) {
    return std::string("10.0.").append(std::to_string(i / 250)).append(".").append(std::to_string(i % 250)) +
           ":7900";
  }

  void start(std::size_t i) {
    std::vector<std::string> seeds;
    for (std::size_t s = 0; s < static_cast<std::size_t>(config.seeds); ++s)
      if (s != i) seeds.push_back(member_address(s));
    members_[i] =
        std::make_unique<Membership>(Membership::Config{member_name(i), member_address(i), seeds,
                                                        config.probe_interval_ms, config.probe_timeout_ms},
                                     1, derive_seed(config.seed, RandomPurpose::policy, i), events_.now());
    running[i] = true;
    process_member(i);
  }
  void leave(std::size_t i) {
    members_[i]->leave();
    process_member(i);
    running[i] = false;
  }
  void crash(std::size_t i) { running[i] = false; }

  void run_for(double span) {
    const double until = events_.now() + span;
    while (events_.run_next(until)) continue;
  }
  // How long until nine in ten, and all, of the others see these as they are to be seen.
  ConvergenceTime wait_until_known(const std::vector<std::size_t>& whom, Member::State as) {
    constexpr double step = 100;
    ConvergenceTime k;
    for (const double began = events_.now(); events_.now() - began < config.convergence_timeout_ms;) {
      run_for(step);
      std::size_t is = 0, of = 0;
      for (std::size_t i = 0; i < members_.size(); ++i) {
        if (!running[i]) continue;
        for (const std::size_t w : whom) {
          if (w == i) continue;
          const auto it = members_[i]->view().find(member_name(w));
          ++of;
          is += it != members_[i]->view().end() && it->second.state == as;
        }
      }
      if (k.p90_ms < 0 && 10 * is >= 9 * of) k.p90_ms = events_.now() - began;
      if (is == of) {
        k.all_ms = events_.now() - began;
        break;
      }
    }
    return k;
  }
  // The living that are taken for dead, by each that does so.
  std::uint64_t count_false_deaths() const {
    std::uint64_t n = 0;
    for (std::size_t i = 0; i < members_.size(); ++i) {
      if (!running[i]) continue;
      for (std::size_t w = 0; w < members_.size(); ++w) {
        if (w == i || !running[w]) continue;
        const auto it = members_[i]->view().find(member_name(w));
        n += it != members_[i]->view().end() && it->second.state == Member::State::dead;
      }
    }
    return n;
  }
  void reset_traffic_counters() {
    std::fill(datagrams_sent.begin(), datagrams_sent.end(), 0);
    std::fill(bytes_sent.begin(), bytes_sent.end(), 0);
  }

  const MembershipExperiment config;
  std::vector<std::uint64_t> datagrams_sent, bytes_sent;
  std::vector<bool> running;
  std::size_t longest_datagram_bytes = 0;

 private:
  void process_member(std::size_t i) {
    while (auto l = members_[i]->next_message()) {
      Envelope e;
      e.fleet = "lab";
      e.name = member_name(i);
      e.address = member_address(i);
      e.incarnation = members_[i]->incarnation();
      e.sequence_number = ++last_serial_;
      e.swim_message = std::move(l->message);
      const std::size_t bytes = encode(e).size();
      longest_datagram_bytes = std::max(longest_datagram_bytes, bytes);
      ++datagrams_sent[i];
      bytes_sent[i] += bytes;
      const auto to = index_by_address_.find(l->recipient);
      if (to == index_by_address_.end() || random_.bernoulli(config.loss)) continue;
      events_.schedule(events_.now() + config.delay_ms + config.jitter_ms * random_.uniform(),
                       EventPriority::network, [this, to = to->second, i, talk = std::move(e.swim_message)] {
                         if (!running[to]) return;
                         members_[to]->on_message(events_.now(), member_name(i), member_address(i), talk);
                         process_member(to);
                       });
    }
    if (!running[i]) return;
    const double when = members_[i]->next_timer_at();
    if (next_timer_ms_[i] > events_.now() && next_timer_ms_[i] <= when) return;  // it looks again then
    next_timer_ms_[i] = when;
    events_.schedule(when, EventPriority::timer, [this, i, when] {
      if (!running[i] || next_timer_ms_[i] != when) return;
      members_[i]->on_timer(events_.now());
      process_member(i);
    });
  }

  EventQueue events_;
  RandomStream random_;
  std::vector<std::unique_ptr<Membership>> members_;
  std::vector<double> next_timer_ms_;
  std::map<std::string, std::size_t> index_by_address_;
  std::uint64_t last_serial_ = 0;
};

}  // namespace

MembershipResult run_membership_experiment(const MembershipExperiment& how) {
  MembershipSimulation f(how);
  MembershipResult g;
  const auto n = static_cast<std::size_t>(how.sidecars);
  std::vector<std::size_t> everybody;
  for (std::size_t i = 0; i < n; ++i) {
    f.start(i);
    everybody.push_back(i);
  }
  g.start = f.wait_until_known(everybody, Member::State::alive);
  constexpr double settled = 20000;
  f.run_for(settled);
  f.reset_traffic_counters();
  constexpr double look = 1000;
  std::uint64_t before = f.count_false_deaths();
  for (double t = 0; t < how.steady_state_ms; t += look) {
    f.run_for(look);
    const std::uint64_t now = f.count_false_deaths();
    g.false_deaths += now - std::min(now, before);
    before = now;
  }
  const double seconds = how.steady_state_ms / 1000;
  for (std::size_t i = 0; i < n; ++i) {
    g.datagrams_per_second += static_cast<double>(f.datagrams_sent[i]) / seconds / static_cast<double>(n);
    g.bytes_per_second += static_cast<double>(f.bytes_sent[i]) / seconds / static_cast<double>(n);
    g.peak_bytes_per_second =
        std::max(g.peak_bytes_per_second, static_cast<double>(f.bytes_sent[i]) / seconds);
  }
  f.start(n);
  g.join = f.wait_until_known({n}, Member::State::alive);
  f.run_for(settled);
  f.leave(n);
  g.leave = f.wait_until_known({n}, Member::State::left);
  f.run_for(settled);
  f.crash(n - 1);
  g.death = f.wait_until_known({n - 1}, Member::State::dead);
  g.longest_datagram_bytes = f.longest_datagram_bytes;
  return g;
}

void print_membership_results(std::ostream& out,
                              const std::vector<std::pair<MembershipExperiment, MembershipResult>>& all) {
  const auto put = [&](auto v, int width = 9) { out << std::setw(width) << v; };
  out << " sidecars     loss  start_90 start_all   join_90  join_all  leave_90 leave_all  death_90 death_all"
         " false_deaths  datagrams  bytes_s  most_bytes_s  longest\n";
  out << std::fixed;
  for (const auto& [how, g] : all) {
    out << std::setprecision(2);
    put(how.sidecars);
    put(how.loss);
    out << std::setprecision(1);
    for (const ConvergenceTime* k : {&g.start, &g.join, &g.leave, &g.death})
      for (const double ms : {k->p90_ms, k->all_ms}) put(ms < 0 ? -1 : ms / 1000, 10);
    put(g.false_deaths, 13);
    put(g.datagrams_per_second, 11);
    out << std::setprecision(0);
    put(g.bytes_per_second);
    put(g.peak_bytes_per_second, 14);
    put(g.longest_datagram_bytes);
    out << '\n';
  }
  out << "times in seconds, -1: not within the patience; datagrams and bytes a second, sent by each\n";
}

}  // namespace indigorill::emulator
