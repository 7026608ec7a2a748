/// \file
/// Test support: a simulated fleet of load balancers on a stepped clock, with endpoints in slow start.
#pragma once

#include <algorithm>
#include <cmath>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "support/host.h"

namespace host {

struct FleetTraffic {
  const char* name;
  int sidecar_count;
  double rpcs_per_s;  // at each sidecar
  bool in_bursts;     // cycles of three seconds at 2/3 of the mean and one second at twice the mean

  double rate_per_s(double now_ms) const {
    if (!in_bursts) return rpcs_per_s;
    const bool is_burst = std::fmod(now_ms, 4000) >= 3000;
    return rpcs_per_s * (is_burst ? 2 : 2.0 / 3);
  }
};

/// Sidecars on a stepped clock. The warm endpoints are there from the start, the slow-starting ones join
/// later.
struct FleetSimulation {
  static constexpr int warm_count = 16;
  static constexpr int slow_start_count = 4;
  static constexpr double start_ms = 100000;
  static constexpr double joined_at_ms = 103000;
  static constexpr double end_ms = joined_at_ms + 12000;
  static constexpr double step_ms = 10;
  static constexpr double response_time_ms = 20;

  struct RunningAttempt {
    double end_ms;
    std::size_t sidecar_index;
    std::string rpc_id;
    int attempt_index;
  };

  FleetTraffic traffic;
  LoadBalancerConfig config;
  std::vector<std::unique_ptr<LoadBalancerHarness>> sidecars;
  std::vector<Endpoint> endpoints = make_endpoints('a', static_cast<char>('a' + warm_count - 1), "there");
  std::mt19937 random{7};
  std::vector<RunningAttempt> running;
  // Times at which attempts were sent to each endpoint in slow start.
  std::map<std::string, std::vector<double>> sent_ms;

  explicit FleetSimulation(const FleetTraffic& fleet_traffic)
      : traffic(fleet_traffic), config(test_config()) {
    config.sidecar_count = traffic.sidecar_count;
    config.cross_zone_cost = 1;  // all sidecars prefer the endpoints in slow start
    for (int i = 0; i < traffic.sidecar_count; ++i) {
      sidecars.push_back(std::make_unique<LoadBalancerHarness>(config, i + 1));
      sidecars.back()->now = start_ms;
      sidecars.back()->update_endpoints(endpoints);
    }
  }

  void run() {
    bool has_joined = false;
    for (double now = start_ms; now < end_ms; now += step_ms) {
      if (!has_joined && now >= joined_at_ms) {
        has_joined = true;
        join(now);
      }
      for (std::size_t i = 0; i < sidecars.size(); ++i) step_sidecar(i, now);
      finish_attempts(now);
    }
  }
  void join(double now) {
    for (int i = 0; i < slow_start_count; ++i)
      endpoints.push_back(make_endpoint("new" + std::to_string(i), joined_at_ms));
    for (auto& sidecar : sidecars) {
      sidecar->now = now;
      sidecar->update_endpoints(endpoints);
    }
  }
  void step_sidecar(std::size_t index, double now) {
    LoadBalancerHarness& sidecar = *sidecars[index];
    sidecar.now = now;
    if (std::fmod(now, 100) == 0) sidecar.load_balancer.on_timer(now, 1);
    sidecar.load_balancer.on_timer(now, 2);
    if (std::uniform_real_distribution<double>(0, 1)(random) < traffic.rate_per_s(now) / 100)
      sidecar.start_rpc("vital");
    for (const Decision& decision : sidecar.take_decisions()) {
      if (decision.action != Action::send_attempt) continue;
      if (decision.endpoint_id.starts_with("new")) sent_ms[decision.endpoint_id].push_back(now);
      running.push_back({now + response_time_ms, index, decision.rpc_id, decision.attempt_index});
    }
  }
  void finish_attempts(double now) {
    std::erase_if(running, [&](const RunningAttempt& attempt) {
      if (attempt.end_ms > now) return false;
      LoadBalancerHarness& sidecar = *sidecars[attempt.sidecar_index];
      sidecar.load_balancer.on_attempt_finished(now, attempt.rpc_id, attempt.attempt_index,
                                                AttemptOutcome::ok, response_time_ms, true, {});
      sidecar.take_decisions();
      return true;
    });
  }

  // The highest ratio of the attempts within slow_start_burst_ms to the number that is allowed in that time.
  // The allowed number depends on the mean rate per endpoint, since bursts of traffic do not raise the
  // capacity of an endpoint.
  double worst_overload(const std::vector<double>& times_ms) const {
    const double mean_attempts = traffic.sidecar_count * traffic.rpcs_per_s / 1000 /
                                 (warm_count + slow_start_count) * config.slow_start_burst_ms;
    double worst = 0;
    std::size_t first = 0;
    for (std::size_t i = 0; i < times_ms.size(); ++i) {
      while (times_ms[first] <= times_ms[i] - config.slow_start_burst_ms) ++first;
      const double weight = config.slow_start_initial_weight + (1 - config.slow_start_initial_weight) *
                                                                   (times_ms[i] - joined_at_ms) /
                                                                   config.slow_start_duration_ms;
      const double allowed = config.slow_start_overload_factor * weight * mean_attempts;
      const auto attempts = static_cast<double>(i - first + 1);
      worst = std::max(worst, (attempts - 2) / (allowed + 2 * std::sqrt(allowed)));
    }
    return worst;
  }
};

}  // namespace host
