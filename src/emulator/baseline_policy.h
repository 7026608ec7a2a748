/// \file
/// Baselines: simple load balancers that differ only in how they select an endpoint. Attempts time out at the
/// latency objective, or one tick before the deadline if that is earlier or if late answers have a weight. An
/// RPC is retried on untried endpoints first, as far as its retry safety and the number of attempts allow.
/// When no further attempt is possible, it is rejected, or failed if repeating it is not safe.
#pragma once

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "emulator/balancing_policy.h"
#include "emulator/random_stream.h"

namespace indigorill::emulator {

class BaselinePolicy : public BalancingPolicy {
 public:
  /// `kind`: any policy except PolicyKind::load_balancer.
  BaselinePolicy(PolicyKind kind, const LoadBalancerConfig& config, std::uint64_t seed, double now_ms,
                 ResponseTimeOracle response_time);

  void update_endpoints(double now_ms, bool is_complete, bool is_response,
                        const std::vector<Endpoint>& endpoints) override;
  void endpoint_poll_failed(double now_ms, double poll_duration_ms) override;
  void on_rpc_arrived(double now_ms, const RpcArrival& arrival) override;
  void on_attempt_finished(double now_ms, const std::string& rpc_id, int attempt_index,
                           AttemptOutcome outcome, double duration_ms, bool concluded,
                           const LoadReport& report) override;
  void on_probe_finished(double, const std::string&, AttemptOutcome, const LoadReport&) override {}
  void on_client_disconnected(double now_ms, const std::string& rpc_id) override;
  void set_idle_connections(const std::string&, std::size_t) override {}
  /// Ignored, because baselines run without limits.
  void set_connection_limited(const std::string&, bool) override {}
  void on_timer(double now_ms, std::uint64_t) override { now_ms_ = now_ms; }
  std::optional<Decision> next_decision() override;

 private:
  struct Attempt {
    std::string endpoint;
    bool in_flight = true;
    bool possibly_executed = true;
  };
  struct Rpc {
    MethodConfig method;
    double attempt_deadline_ms;
    std::vector<Attempt> attempts;
    bool concluded;

    // Whether a further attempt is safe, and likewise a retry by the client.
    bool is_repeatable() const;
  };

  bool may_attempt(const Rpc& rpc) const;
  std::optional<Decision> decide_rpc(const std::string& id);
  Decision start_attempt(const std::string& id, Rpc& rpc, const std::string& endpoint);
  std::optional<std::string> select_endpoint(const Rpc& rpc);
  std::string select_of_two(const std::vector<std::string>& candidates);
  std::optional<std::string> select_fastest(const std::vector<std::string>& candidates, double deadline_ms);

  PolicyKind kind_;
  LoadBalancerConfig config_;
  RandomStream random_;
  ResponseTimeOracle response_time_;
  double now_ms_;
  double next_poll_at_ms_ = 0;
  double timer_at_ms_ = 0;  // time of the timer that the host has yet to set; 0: none
  bool poll_pending_ = true;
  std::size_t round_robin_index_ = 0;
  std::set<std::string> ready_endpoints_;
  std::vector<std::string> ready_ids_;
  std::map<std::string, int> in_flight_;
  std::map<std::string, Rpc> rpcs_;
  std::deque<std::string> pending_rpcs_;
};

}  // namespace indigorill::emulator
