/// \file
/// The balancing policy of an emulated sidecar: the real load balancer, or a baseline to compare it with.
/// Baselines exist for measurements only; a real sidecar never runs one.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "indigorill/load_balancer.h"

namespace indigorill::emulator {

/// The functions of LoadBalancer that the emulator uses; they are documented there. Times are milliseconds on
/// the emulator's clock.
class BalancingPolicy {
 public:
  virtual ~BalancingPolicy() = default;
  /// `is_complete`: `endpoints` is the complete list, not only changes to it. `is_response`: it may be the
  /// response to a poll.
  virtual void update_endpoints(double now_ms, bool is_complete, bool is_response,
                                const std::vector<Endpoint>& endpoints) = 0;
  virtual void endpoint_poll_failed(double now_ms, double poll_duration_ms) = 0;
  virtual void on_rpc_arrived(double now_ms, const RpcArrival& arrival) = 0;
  /// `concluded`: the RPC has its final answer, or its client disconnected.
  virtual void on_attempt_finished(double now_ms, const std::string& rpc, int attempt, AttemptOutcome outcome,
                                   double duration_ms, bool concluded, const LoadReport& report) = 0;
  virtual void on_probe_finished(double now_ms, const std::string& endpoint, AttemptOutcome outcome,
                                 const LoadReport& report) = 0;
  virtual void on_client_disconnected(double now_ms, const std::string& rpc) = 0;
  virtual void set_idle_connections(const std::string& endpoint, std::size_t connections) = 0;
  virtual void set_connection_limited(const std::string& endpoint, bool is_limited) = 0;
  virtual void on_timer(double now_ms, std::uint64_t timer_id) = 0;
  virtual std::optional<Decision> next_decision() = 0;
};

enum class PolicyKind { load_balancer, random, round_robin, two_choices, true_state };

/// Returns the policy with this name on the command line, or nullopt if no policy has it.
std::optional<PolicyKind> parse_policy_kind(const std::string& name);
std::string policy_name(PolicyKind kind);

/// Returns the response time in milliseconds to expect of an RPC that is sent to this endpoint now, computed
/// from the true state of the server; for PolicyKind::true_state.
using ResponseTimeOracle = std::function<double(const std::string& endpoint)>;

std::unique_ptr<BalancingPolicy> make_policy(PolicyKind kind, const LoadBalancerConfig& config,
                                             std::uint64_t seed, double now_ms,
                                             ResponseTimeOracle response_time);

}  // namespace indigorill::emulator
