#include "emulator/balancing_policy.h"

#include <array>
#include <utility>

#include "emulator/baseline_policy.h"

namespace indigorill::emulator {
namespace {

// Forwards all calls to the real load balancer.
class LoadBalancerPolicy : public BalancingPolicy {
 public:
  LoadBalancerPolicy(const LoadBalancerConfig& config, std::uint64_t seed, double now_ms)
      : load_balancer_(config, seed, now_ms) {}

  void update_endpoints(double now_ms, bool is_complete, bool is_response,
                        const std::vector<Endpoint>& endpoints) override {
    load_balancer_.update_endpoints(now_ms, is_complete, is_response, endpoints);
  }
  void endpoint_poll_failed(double now_ms, double poll_duration_ms) override {
    load_balancer_.endpoint_poll_failed(now_ms, poll_duration_ms);
  }
  void on_rpc_arrived(double now_ms, const RpcArrival& arrival) override {
    load_balancer_.on_rpc_arrived(now_ms, arrival);
  }
  void on_attempt_finished(double now_ms, const std::string& rpc, int attempt, AttemptOutcome outcome,
                           double duration_ms, bool concluded, const LoadReport& report) override {
    load_balancer_.on_attempt_finished(now_ms, rpc, attempt, outcome, duration_ms, concluded, report);
  }
  void on_probe_finished(double now_ms, const std::string& endpoint, AttemptOutcome outcome,
                         const LoadReport& report) override {
    load_balancer_.on_probe_finished(now_ms, endpoint, outcome, report);
  }
  void on_client_disconnected(double now_ms, const std::string& rpc) override {
    load_balancer_.on_client_disconnected(now_ms, rpc);
  }
  void set_idle_connections(const std::string& endpoint, std::size_t connections) override {
    load_balancer_.set_idle_connections(endpoint, connections);
  }
  void set_connection_limited(const std::string& endpoint, bool is_limited) override {
    load_balancer_.set_connection_limited(endpoint, is_limited);
  }
  void on_timer(double now_ms, std::uint64_t timer_id) override { load_balancer_.on_timer(now_ms, timer_id); }
  std::optional<Decision> next_decision() override { return load_balancer_.next_decision(); }

 private:
  LoadBalancer load_balancer_;
};

// The names of the policies on the command line and in reports.
constexpr std::array<std::pair<const char*, PolicyKind>, 5> policy_names{
    {{"module", PolicyKind::load_balancer},
     {"random", PolicyKind::random},
     {"round-robin", PolicyKind::round_robin},
     {"two-choices", PolicyKind::two_choices},
     {"true-state", PolicyKind::true_state}}};

}  // namespace

std::optional<PolicyKind> parse_policy_kind(const std::string& name) {
  for (const auto& [known_name, kind] : policy_names) {
    if (name == known_name) return kind;
  }
  return std::nullopt;
}

std::string policy_name(PolicyKind kind) {
  for (const auto& [name, known_kind] : policy_names) {
    if (kind == known_kind) return name;
  }
  return {};
}

std::unique_ptr<BalancingPolicy> make_policy(PolicyKind kind, const LoadBalancerConfig& config,
                                             std::uint64_t seed, double now_ms,
                                             ResponseTimeOracle response_time) {
  if (kind == PolicyKind::load_balancer) return std::make_unique<LoadBalancerPolicy>(config, seed, now_ms);
  return std::make_unique<BaselinePolicy>(kind, config, seed, now_ms, std::move(response_time));
}

}  // namespace indigorill::emulator
