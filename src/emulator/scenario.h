/// \file
/// A scenario for the emulator and the load generator: the fleet, its load and its faults. It is read from a
/// TOML file, which is checked completely before the run starts.
///
/// Durations are milliseconds, rates are per second over all sidecars, work is milliseconds on a core of
/// speed 1.
#pragma once

#include <toml++/toml.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "config/toml_section.h"
#include "emulator/random_stream.h"
#include "indigorill/load_balancer.h"
#include "limits/fleet_limiter.h"

namespace indigorill::emulator {

/// Servers of one kind.
struct ServerGroup {
  std::string name;
  int count = 0;
  int cores = 1;
  int queue_capacity = 10;
  int zones = 1;
  int cells = 1;
  int max_connections = 1000;
  double speed = 1;
  double speed_spread = 0;  ///< standard deviation of the servers' speeds over their mean
  double slow_start_initial_capacity = 1;
  double slow_start_duration_ms = 0;
  double error_rate = 0;
};

/// A method, its share of all RPCs, and the work of its RPCs at a server.
struct MethodWorkload {
  MethodConfig method;
  double share = 1;
  Distribution work_ms;
};

enum class ArrivalProcess { poisson, bursts, ramp };

struct LoadProfile {
  double rate_per_second = 0;
  ArrivalProcess process = ArrivalProcess::poisson;
  double burst_factor = 1;  ///< for bursts: rate during a burst over the rate outside of bursts
  double mean_burst_ms = 0;
  double mean_calm_ms = 0;
  double final_rate_per_second = 0;  ///< for ramp: rate at the end of the run
  double zipf_exponent = 0;          ///< exponent of the sidecars' shares of the load
};

struct Fault {
  enum class Kind {
    restart_sidecars,
    lose_zone,
    kill_servers,
    replace_servers,
    drain_servers,
    stall_servers,
    slow_servers,
    server_errors,
    packet_loss,
    load_surge,
    discovery_overload,
    discovery_outage,
    suspend_sidecars,
    terminate_sidecars,
    gossip_partition
  } kind;
  double start_ms = 0;
  double duration_ms = 0;
  double spread_ms = 0;  ///< time over which the starts at the affected sidecars or servers are spread
  double share = 1;      ///< share of the sidecars or servers that are affected
  double factor = 1;     ///< factor of the slowdown, surge or overload, or rate of errors or losses
  int zone = 0;
  bool one_way = false;  ///< for gossip_partition: the others still receive from the sidecars cut off
};

struct NetworkConfig {
  double delay_ms = 0.2;  ///< one way
  double jitter_ms = 0.05;
  double cross_zone_ms = 0;
  double loss_rate = 0;
  double retransmit_ms = 200;
  double handshake_ms = 0;
  double handshake_work_ms = 0;
  double connect_timeout_ms = 250;
  double idle_timeout_ms = 5000;
};

struct ClientConfig {
  int retries = 0;
  double retry_delay_ms = 100;
  bool exponential_backoff = false;
  double retry_after_compliance = 1;  ///< share of clients that wait for the time in Retry-After
};

struct DiscoveryConfig {
  bool is_polled = false;  ///< sidecars poll for the endpoint list; otherwise it is sent to them
  double delay_ms = 100;
  double spread_ms = 100;
  double detection_ms = 1000;    ///< time until a crashed server is removed from the list
  double full_list_work_ms = 0;  ///< work of the discovery service for a full list
  double changes_work_ms = 0;    ///< work of the discovery service for a watch event
  int queue_capacity = 100;
};

/// Features that the load balancer may use, and parameters of the operating rules that it has to follow.
struct OperatingRules {
  double drain_grace_ms = 500;
  double slow_start_overload_factor = 3;
  double slow_start_window_ms = 1500;
  double max_retry_after_ms = 0;
  int max_attempts = 4;
  bool cancellation_enabled = true;
  bool probing_enabled = false;
  bool load_reports_enabled = false;
  double probe_cost = 0;
  double handshake_cost = 0;
  double cross_zone_cost = 0;
};

/// Limits that all sidecars observe together.
struct LimitConfig {
  FleetLimits fleet;
  bool by_index = false;       ///< whether each sidecar knows its own index
  double instance_factor = 1;  ///< number of instances given to the sidecars over the true number
  bool is_limited() const {
    return fleet.connections + fleet.handshakes_per_second + fleet.health_checks_per_second +
               fleet.discovery_polls_per_second >
           0;
  }
};

/// Membership, leases and quotas between sidecars. Used only where sidecars are real processes.
struct GossipConfig {
  bool enabled = false;
  int voters = 3;
  int seeds = 2;
  int max_quota_holders = 100;
  double probe_interval_ms = 1000;
  double probe_timeout_ms = 300;
  double lease_ms = 10000;
  double quota_refresh_ms = 2000;
  double registration_lease_ms = 60000;
  double retries_per_second = 0;  ///< retry quota of all sidecars together; 0: none
  double guaranteed_minimum = 0;
  double loss_rate = 0;
  double duplicate_rate = 0;
  double delay_ms = 0;
  double jitter_ms = 0;
  double late_rate = 0;  ///< share of datagrams that arrive `late_by_ms` later
  double late_by_ms = 0;
};

struct Scenario {
  std::string name;
  std::uint64_t seed = 1;
  double duration_ms = 0;
  double warmup_ms = 0;  ///< requests that arrive before this time are not measured
  int sidecars = 1;
  int zones = 1;
  std::vector<ServerGroup> servers;
  std::vector<MethodWorkload> methods;
  LoadProfile load;
  NetworkConfig network;
  ClientConfig clients;
  DiscoveryConfig discovery;
  OperatingRules rules;
  LimitConfig limits;
  GossipConfig gossip;
  std::vector<Fault> faults;

  int initial_server_count() const;
  double longest_deadline_ms() const;
  LoadBalancerConfig load_balancer_config(int zone) const;
};

std::string zone_name(int zone);

/// The endpoint id of a server: "s0", "s1", ...
std::string server_name(std::uint32_t server);
std::uint32_t parse_server_index(const std::string& name);

/// Returns one line about features of the scenario that the emulator does not support; none if it supports
/// all.
std::optional<std::string> find_unsupported_feature(const Scenario& scenario);

/// Throws ConfigError, with a line for each error.
Scenario decode_scenario(const toml::table& table);

}  // namespace indigorill::emulator
