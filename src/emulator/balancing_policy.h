// What decides at an emulated sidecar: the real module, or a baseline to compare it with. Baselines are here
// for measuring only; the sidecar never runs one.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "indigorill/load_balancer.h"

namespace indigorill::emulator {

class BalancingPolicy {
 public:
  virtual ~BalancingPolicy() = default;
  virtual void update_endpoints(double now, bool whole, bool asked, const std::vector<Endpoint>& entries) = 0;
  virtual void endpoint_poll_failed(double now) = 0;
  virtual void on_rpc_arrived(double now, const RpcArrival& what) = 0;
  virtual void on_attempt_finished(double now, const std::string& rpc, int pick, AttemptOutcome how,
                                   double took, bool concluded, const LoadReport& report) = 0;
  virtual void on_probe_finished(double now, const std::string& server, AttemptOutcome how,
                                 const LoadReport& report) = 0;
  virtual void on_client_disconnected(double now, const std::string& rpc) = 0;
  virtual void set_idle_connections(const std::string& server, std::size_t connections) = 0;
  virtual void set_connection_limited(const std::string& server, bool is) = 0;
  virtual void on_timer(double now, std::uint64_t wake) = 0;
  virtual std::optional<Decision> next_decision() = 0;
};

enum class PolicyKind { load_balancer, random, round_robin, two_choices, true_state };

std::optional<PolicyKind> parse_policy_kind(const std::string& word);
std::string policy_name(PolicyKind p);

// How long an RPC sent to this server now would truly take there, for the policy that sees the true state.
using ResponseTimeOracle = std::function<double(const std::string& server)>;

std::unique_ptr<BalancingPolicy> make_policy(PolicyKind p, const LoadBalancerConfig& where,
                                             std::uint64_t seed, double now, ResponseTimeOracle truth);

}  // namespace indigorill::emulator
