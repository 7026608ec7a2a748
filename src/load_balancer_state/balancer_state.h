/// The whole state of a load balancer, as plain data. The decisions based on it are in src/load_balancer/.
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <random>
#include <string_view>
#include <utility>

#include "indigorill/load_balancer.h"
#include "load_balancer_state/endpoint_table.h"
#include "load_balancer_state/hashing.h"
#include "load_balancer_state/rpc_table.h"
#include "load_balancer_state/traffic_statistics.h"
#include "load_gossip/peer_load_table.h"

namespace indigorill {

/// Rate limit and message numbers of the gossip that this sidecar sends.
struct GossipState {
  double next_at_ms = never;
  double complete_sent_at_ms = never;
  double mean_interval_ms = 100;
  double budget = 1;  ///< in the unit of gossip_message_cost: the value of one RPC
  double arrivals_since_last = 0;
  bool last_had_content = false;
  std::uint32_t sequence = 0;
};

/// The subscription to the endpoint list.
struct EndpointPollState {
  bool is_subscribed = false;
  bool is_in_flight = false;
  double next_at_ms = never;
  double failed_count = 0;

  void record_success() {
    is_in_flight = false;
    is_subscribed = true;
    failed_count = 0;
  }
};

/// Bounds on the retries that may still be sent.
struct RetryBudget {
  double tokens = 5;
  double success_rate = 0.5;  ///< smoothed success rate of recent retries
  double fleet_quota = 1e18;  ///< retries that the fleet's quota leaves to this sidecar
};

/// The host's timers.
struct TimerState {
  double due_timer_at_ms = never;  ///< when the due timer that is set fires
  bool maintenance_timer_wanted = true;
};

/// State of one load balancer. Not copyable: RPCs and endpoints point into it.
struct BalancerState {
  LoadBalancerConfig config;
  MethodConfig unknown_method;  ///< stands in for a method that is not configured
  double max_priority_weight = 0;
  std::size_t local_zone_index = 0;
  std::knuth_b random_engine;
  double now_ms;

  EndpointTable endpoints;
  double total_slow_start_weight = 1;  ///< sum over the ready endpoints
  std::deque<TrackedEndpoint*> pending_probes;
  RpcTable rpcs;
  std::size_t arrival_count = 0;
  PeerLoadTable peer_loads;
  TrafficStatistics traffic;
  GossipState gossip;
  EndpointPollState poll;
  RetryBudget retries;
  TimerState timers;

  BalancerState(LoadBalancerConfig balancer_config, std::uint64_t seed, double start_ms)
      : config(std::move(balancer_config)),
        random_engine(static_cast<std::knuth_b::result_type>(splitmix64_finalize(seed) | 1)),
        now_ms(start_ms) {
    for (const MethodConfig& method : config.methods) {
      max_priority_weight = std::max(max_priority_weight, method.priority_weight);
      unknown_method.latency_objective_ms =
          std::max(unknown_method.latency_objective_ms, method.latency_objective_ms);
    }
    local_zone_index = endpoints.find_or_add_zone(config.zone);
    traffic.tenant_arrivals_since_update.resize(config.tenants.size());
    traffic.tenant_arrivals_per_s.resize(config.tenants.size());
    traffic.usual_service_time_ms =
        TrafficStatistics::initial_service_time_fraction * unknown_method.latency_objective_ms;
    if (!config.probes_report_load) return;
    traffic.mean_others_in_flight = TrafficStatistics::initial_others_in_flight;
    traffic.slow_start_others_in_flight = TrafficStatistics::initial_others_in_flight;
  }
  BalancerState(const BalancerState&) = delete;
  BalancerState& operator=(const BalancerState&) = delete;

  const MethodConfig& find_method(std::string_view name) const {
    const MethodConfig* found = &unknown_method;
    for (const MethodConfig& method : config.methods)
      if (method.name == name) found = &method;
    return *found;
  }
  double random_fraction() { return std::uniform_real_distribution<double>(0, 1)(random_engine); }
  bool has_recent_gossip() const { return peer_loads.has_recent_gossip(now_ms); }
};

}  // namespace indigorill
