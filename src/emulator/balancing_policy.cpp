#include "emulator/balancing_policy.h"

#include <algorithm>
#include <array>
#include <deque>
#include <limits>
#include <map>
#include <set>
#include <utility>

#include "emulator/random_stream.h"

namespace indigorill::emulator {
namespace {

class LoadBalancerPolicy : public BalancingPolicy {
 public:
  LoadBalancerPolicy(const LoadBalancerConfig& where, std::uint64_t seed, double now)
      : load_balancer_(where, seed, now) {}
  void update_endpoints(double now, bool whole, bool asked, const std::vector<Endpoint>& entries) override {
    load_balancer_.update_endpoints(now, whole, asked, entries);
  }
  void endpoint_poll_failed(double now) override { load_balancer_.endpoint_poll_failed(now); }
  void on_rpc_arrived(double now, const RpcArrival& what) override {
    load_balancer_.on_rpc_arrived(now, what);
  }
  void on_attempt_finished(double now, const std::string& rpc, int pick, AttemptOutcome how, double took,
                           bool concluded, const LoadReport& report) override {
    load_balancer_.on_attempt_finished(now, rpc, pick, how, took, concluded, report);
  }
  void on_probe_finished(double now, const std::string& server, AttemptOutcome how,
                         const LoadReport& report) override {
    load_balancer_.on_probe_finished(now, server, how, report);
  }
  void on_client_disconnected(double now, const std::string& rpc) override {
    load_balancer_.on_client_disconnected(now, rpc);
  }
  void set_idle_connections(const std::string& server, std::size_t connections) override {
    load_balancer_.set_idle_connections(server, connections);
  }
  void set_connection_limited(const std::string& server, bool is) override {
    load_balancer_.set_connection_limited(server, is);
  }
  void on_timer(double now, std::uint64_t wake) override { load_balancer_.on_timer(now, wake); }
  std::optional<Decision> next_decision() override { return load_balancer_.next_decision(); }

 private:
  LoadBalancer load_balancer_;
};

// A plain balancer round one rule of choice: time-outs at the latency target, repeats elsewhere as the rules
// allow, a push-back where nothing is left to do.
class BaselinePolicy : public BalancingPolicy {
 public:
  BaselinePolicy(PolicyKind rule, const LoadBalancerConfig& where, std::uint64_t seed, double now,
                 ResponseTimeOracle sees)
      : policy_(rule), config_(where), random_(seed), response_time_(std::move(sees)), now_ms_(now) {
    round_robin_index_ = random_.uniform_index(1 << 20);  // in round robin sidecars must not go round in step
  }

  void update_endpoints(double now, bool whole, bool asked, const std::vector<Endpoint>& entries) override {
    now_ms_ = now;
    if (whole) ready_endpoints_.clear();
    for (const Endpoint& e : entries) {
      if (e.state == EndpointState::ready)
        ready_endpoints_.insert(e.id);
      else
        ready_endpoints_.erase(e.id);
    }
    ready_ids_.assign(ready_endpoints_.begin(), ready_endpoints_.end());
    if (asked) poll_pending_ = false;
  }
  void endpoint_poll_failed(double now) override {
    now_ms_ = now;
    poll_pending_ = config_.must_poll_endpoints;
    constexpr double again = 1000;
    next_poll_at_ms_ = now + again * (0.5 + random_.uniform());
    timer_at_ms_ = next_poll_at_ms_;
  }
  void on_rpc_arrived(double now, const RpcArrival& what) override {
    now_ms_ = now;
    Rpc r{config_.methods.front(), what.deadline_ms, {}, false};
    for (const MethodConfig& m : config_.methods)
      if (m.name == what.method) r.method = m;
    const double target = now + r.method.latency_objective_ms;
    r.attempt_deadline_ms =
        std::min(what.deadline_ms - config_.tick_ms, r.method.late_weight > 0 ? what.deadline_ms : target);
    rpcs_.emplace(what.id, std::move(r));
    pending_rpcs_.emplace_back(what.id);
  }
  void on_attempt_finished(double now, const std::string& id, int number, AttemptOutcome how, double,
                           bool concluded, const LoadReport&) override {
    now_ms_ = now;
    const auto it = rpcs_.find(id);
    if (it == rpcs_.end()) return;
    Attempt& p = it->second.attempts.at(static_cast<std::size_t>(number));
    p.in_flight = false;
    p.possibly_executed = how != AttemptOutcome::rejected && how != AttemptOutcome::connect_failed &&
                          how != AttemptOutcome::client_error;
    --in_flight_[p.endpoint];
    if (concluded || it->second.concluded)
      rpcs_.erase(it);
    else
      pending_rpcs_.push_back(id);
  }
  void on_probe_finished(double, const std::string&, AttemptOutcome, const LoadReport&) override {}
  void on_client_disconnected(double now, const std::string& id) override {
    now_ms_ = now;
    const auto it = rpcs_.find(id);
    if (it == rpcs_.end()) return;
    const bool out = !it->second.attempts.empty() && it->second.attempts.back().in_flight;
    it->second.concluded = true;
    if (!out) rpcs_.erase(it);
  }
  void set_idle_connections(const std::string&, std::size_t) override {}
  void set_connection_limited(const std::string&, bool) override {
  }  // limits are the module's; baselines run without
  void on_timer(double now, std::uint64_t) override { now_ms_ = now; }

  std::optional<Decision> next_decision() override {
    using Verb = Decision::Action;
    if (config_.must_poll_endpoints && poll_pending_ && now_ms_ >= next_poll_at_ms_) {
      poll_pending_ = false;
      return Decision{Verb::poll_endpoints, {}, {}, 0, 0, 0};
    }
    if (timer_at_ms_ > 0)
      return Decision{Verb::set_timer, {}, {}, 0, std::exchange(timer_at_ms_, 0) - now_ms_, 1};
    while (!pending_rpcs_.empty()) {
      const std::string id = pending_rpcs_.front();
      pending_rpcs_.pop_front();
      const auto it = rpcs_.find(id);
      if (it == rpcs_.end()) continue;
      Rpc& r = it->second;
      if (now_ms_ < r.attempt_deadline_ms && may_attempt(r) && !ready_ids_.empty())
        if (const auto to = select_endpoint(r)) return start_attempt(id, r, *to);
      const bool harmless = may_reject(r);
      rpcs_.erase(it);
      return Decision{harmless ? Verb::reject : Verb::fail,      id, {}, 0,
                      harmless ? config_.max_retry_after_ms : 0, 0};
    }
    return {};
  }

 private:
  struct Attempt {
    std::string endpoint;
    bool in_flight = true, possibly_executed = true;
  };
  struct Rpc {
    MethodConfig method;
    double attempt_deadline_ms;
    std::vector<Attempt> attempts;
    bool concluded;
    bool possibly_executed() const {
      return std::any_of(attempts.begin(), attempts.end(),
                         [](const Attempt& p) { return p.possibly_executed; });
    }
  };

  bool may_attempt(const Rpc& r) const {
    if (static_cast<int>(r.attempts.size()) >= config_.max_attempts) return false;
    return r.method.retry_safety == RetrySafety::idempotent || !r.possibly_executed();
  }
  static bool may_reject(const Rpc& r) {
    return r.method.retry_safety == RetrySafety::idempotent || !r.possibly_executed();
  }

  Decision start_attempt(const std::string& id, Rpc& r, const std::string& to) {
    ++in_flight_[to];
    r.attempts.push_back({to});
    return {Decision::Action::send_attempt,  id, to, static_cast<int>(r.attempts.size()) - 1,
            r.attempt_deadline_ms - now_ms_, 0};
  }

  // None, where it is seen that no server would answer in time.
  std::optional<std::string> select_endpoint(const Rpc& r) {
    std::vector<std::string> fresh;
    for (const std::string& n : ready_ids_)
      if (std::none_of(r.attempts.begin(), r.attempts.end(),
                       [&](const Attempt& p) { return p.endpoint == n; }))
        fresh.push_back(n);
    const std::vector<std::string>& from = fresh.empty() ? ready_ids_ : fresh;
    switch (policy_) {
      case PolicyKind::round_robin:
        return from[round_robin_index_++ % from.size()];
      case PolicyKind::two_choices: {
        const std::string &a = from[random_.uniform_index(from.size())],
                          &b = from[random_.uniform_index(from.size())];
        return in_flight_[b] < in_flight_[a] ? b : a;
      }
      case PolicyKind::true_state: {
        // Ties are broken by chance: else all would go to the first of the idle ones.
        double best = std::numeric_limits<double>::infinity();
        std::vector<const std::string*> those;
        for (const std::string& n : from) {
          const double takes = response_time_(n);
          if (takes < best) those.clear(), best = takes;
          if (takes == best) those.push_back(&n);
        }
        if (now_ms_ + best > r.attempt_deadline_ms) return {};
        return *those[random_.uniform_index(those.size())];
      }
      default:
        return from[random_.uniform_index(from.size())];
    }
  }

  PolicyKind policy_;
  LoadBalancerConfig config_;
  RandomStream random_;
  ResponseTimeOracle response_time_;
  double now_ms_, next_poll_at_ms_ = 0, timer_at_ms_ = 0;
  bool poll_pending_ = true;
  std::size_t round_robin_index_ = 0;
  std::set<std::string> ready_endpoints_;
  std::vector<std::string> ready_ids_;
  std::map<std::string, int> in_flight_;
  std::map<std::string, Rpc> rpcs_;
  std::deque<std::string> pending_rpcs_;
};

constexpr std::array<std::pair<const char*, PolicyKind>, 5> policy_names{
    {{"module", PolicyKind::load_balancer},
     {"random", PolicyKind::random},
     {"round-robin", PolicyKind::round_robin},
     {"two-choices", PolicyKind::two_choices},
     {"true-state", PolicyKind::true_state}}};

}  // namespace

std::optional<PolicyKind> parse_policy_kind(const std::string& word) {
  for (const auto& [name, p] : policy_names)
    if (word == name) return p;
  return {};
}

std::string policy_name(PolicyKind p) {
  for (const auto& [name, is] : policy_names)
    if (is == p) return name;
  return {};
}

std::unique_ptr<BalancingPolicy> make_policy(PolicyKind p, const LoadBalancerConfig& where,
                                             std::uint64_t seed, double now, ResponseTimeOracle truth) {
  if (p == PolicyKind::load_balancer) return std::make_unique<LoadBalancerPolicy>(where, seed, now);
  return std::make_unique<BaselinePolicy>(p, where, seed, now, std::move(truth));
}

}  // namespace indigorill::emulator
