#include "load_balancer/rpc_arrival.h"

#include <algorithm>
#include <cmath>

namespace indigorill {
namespace {

// Time since the client first sent the RPC that it may now be retrying. A time budget unlike the usual ones
// is taken for the remainder of the client's deadline; with a usual one the time is 0.
double estimate_client_elapsed_ms(BalancerState& state, const MethodConfig& method, double budget_ms) {
  constexpr double tolerance = 0.01;  // share of the deadline that a budget may lose in a busy process
  constexpr std::size_t max_samples = 32;
  constexpr std::size_t min_samples = 16;
  constexpr int min_alike = 3;
  std::deque<double>& recent = state.traffic.recent_time_budgets[&method];
  const auto is_alike = [&](double other_ms) {
    return std::abs(other_ms - budget_ms) <= tolerance * method.deadline_ms;
  };
  const bool is_usual =
      recent.size() < min_samples || std::count_if(recent.begin(), recent.end(), is_alike) >= min_alike;
  recent.push_back(budget_ms);
  if (recent.size() > max_samples) recent.pop_front();
  return is_usual ? 0 : std::max(method.deadline_ms - budget_ms, 0.0);
}

// Share of a tenant's RPCs, over all sidecars, that exceeds its quota.
double over_quota_fraction(const BalancerState& state, std::size_t tenant) {
  const double arrivals_per_s =
      state.traffic.tenant_arrivals_per_s[tenant] + state.peer_loads.arrivals_per_s(tenant);
  constexpr double ms_per_s = 1000;
  const double quota_per_s = state.config.tenants[tenant].allowance_per_ms * ms_per_s;
  return arrivals_per_s > 0 ? std::max(0.0, 1 - quota_per_s / arrivals_per_s) : 0;
}

// RPCs over a tenant's quota count for less. They are selected at random among the tenant's RPCs.
void apply_tenant_quota(BalancerState& state, TrackedRpc& rpc, std::string_view tenant) {
  for (std::size_t i = 0; i < state.config.tenants.size(); ++i) {
    if (state.config.tenants[i].name != tenant) continue;
    ++state.traffic.tenant_arrivals_since_update[i];
    if (state.has_recent_gossip() && state.random_fraction() < over_quota_fraction(state, i))
      rpc.quota_factor = state.config.over_quota_weight;
  }
}

}  // namespace

TrackedRpc& add_rpc(BalancerState& state, const RpcArrival& arrival) {
  const MethodConfig& method = state.find_method(arrival.method);
  auto rpc = std::make_unique<TrackedRpc>();
  rpc->id = arrival.id;
  rpc->method = &method;
  rpc->arrival_index = state.arrival_count++;
  rpc->deadline_ms = arrival.deadline_ms;
  rpc->objective_at_ms = state.now_ms + method.latency_objective_ms;
  rpc->routing_key = arrival.routing_key;
  if (method.deadline_ms > 0 && (arrival.is_retry || !state.config.clients_mark_retries))
    rpc->objective_at_ms -= estimate_client_elapsed_ms(state, method, rpc->deadline_ms - state.now_ms);
  apply_tenant_quota(state, *rpc, arrival.tenant);
  ++state.traffic.arrivals_since_update;
  ++state.gossip.arrivals_since_last;
  state.traffic.record_priority(rpc->quota_factor * method.priority_weight, rpc->arrival_index == 0);
  return state.rpcs.add(std::move(rpc));
}

}  // namespace indigorill
