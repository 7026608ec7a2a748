// What the emulator is to play, from a TOML file that is checked as a whole before anything runs.
#pragma once

#include <toml++/toml.h>

#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "config/toml_section.h"
#include "emulator/random_stream.h"
#include "indigorill/load_balancer.h"
#include "limits/fleet_limiter.h"

namespace indigorill::emulator {

struct ServerGroup {
  std::string name;
  int count = 0, cores = 1, queue_capacity = 10, zones = 1, cells = 1, max_connections = 1000;
  double speed = 1, speed_spread = 0;  // standard deviation over mean, of one server from the next
  double slow_start_initial_capacity = 1,
         slow_start_duration_ms = 0;  // what a fresh one can do, and when it is warm; linear in between
  double error_rate = 0;
};

struct MethodWorkload {
  MethodConfig method;
  double share = 1;
  Distribution work_ms;
};

enum class ArrivalProcess { poisson, bursts, ramp };

struct LoadProfile {
  double rate_per_second = 0;  // RPCs a second, over all sidecars
  ArrivalProcess process = ArrivalProcess::poisson;
  double burst_factor = 1, mean_burst_ms = 0,
         mean_calm_ms = 0;  // bursts: the rate in one, and their mean lengths
  double final_rate_per_second = 0;
  double zipf_exponent = 0;  // Zipf's exponent over the sidecars
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
  double start_ms = 0, duration_ms = 0, spread_ms = 0;  // over: how far it is spread
  double share = 1, factor = 1;
  int zone = 0;
  bool one_way = false;  // cut_talk: the others hear them, they don't hear the others
};

struct Scenario {
  std::string name;
  std::uint64_t seed = 1;
  double duration_ms = 0, warmup_ms = 0;
  int sidecars = 1, zones = 1;
  std::vector<ServerGroup> servers;
  std::vector<MethodWorkload> methods;
  LoadProfile load;
  struct {
    double delay = 0.2, jitter = 0.05, cross_zone = 0, loss = 0, retransmit = 200;
    double handshake = 0, handshake_work = 0, connect_timeout = 250, idle = 5000;
  } network;
  struct {
    int retries = 0;
    double wait = 100;
    bool doubles = false;
    double heeds = 1;  // the share of clients that wait as long as a push-back advises
  } clients;
  struct {
    bool asked = false;
    double delay = 100, spread = 100, notice = 1000, whole = 0, changes = 0;
    int queue = 100;
  } discovery;
  struct {
    double grace = 500, multiple = 3, span = 1500, advice = 0;
    int most_picks = 4;
    bool cancelling = true, probes = false, reports = false;
    double probe_price = 0, handshake_price = 0, cross_zone_price = 0;
  } rules;
  struct {
    FleetLimits all;
    bool by_turns = false;
    double told = 1;  // the number of instances that they are told, over the true one
    bool any() const {
      return all.connections + all.handshakes_per_second + all.health_checks_per_second +
                 all.discovery_polls_per_second >
             0;
    }
  } limits;
  // How sidecars talk, and what they share; on real processes alone.
  struct {
    bool on = false;
    int voters = 3, seeds = 2, most = 100;
    double period = 1000, timeout = 300, lease = 10000, share = 2000, seat = 60000;
    double further_picks = 0, floor = 0;  // a second, over all; 0: no budget
    double loss = 0, doubled = 0, delay = 0, jitter = 0, late = 0, late_by = 0;
  } gossip;
  std::vector<Fault> faults;

  int initial_server_count() const;
  double longest_deadline_ms() const;
  LoadBalancerConfig load_balancer_config(int zone) const;
};

std::string zone_name(int zone);

// How the load comes and goes: what holds whatever decides.
struct ArrivalPattern {
  std::vector<std::pair<double, bool>> bursts;  // from when on, and whether it is one
  double calm_rate = 0, peak_rate = 0;          // RPCs a second; most: never more, in surges either
};
ArrivalPattern make_arrival_pattern(const Scenario& s, RandomStream& chance);
double arrival_rate(const Scenario& s, const ArrivalPattern& p, double when);  // without surges
// The share of n, by a shuffle: whom a trouble befalls.
std::vector<std::uint32_t> sample_indices(std::size_t n, double share, RandomStream& chance);
std::pair<std::size_t, double> sample_rpc(const Scenario& s, RandomStream& chance);  // its method and work

// What of it the emulator can't play, in a line; none where it can play all.
std::optional<std::string> find_unsupported_feature(const Scenario& s);

Scenario decode_scenario(const toml::table& from);  // throws faulty

// Sets what a dotted path names ("load.rate", "trouble[0].share"); throws faulty where there is none.
void set_value(toml::table& in, const std::string& path, double value);
double value_at(const toml::table& in, const std::string& path);

// The variables that `search` may move, from the table `ranges`.
struct SearchRange {
  std::string path;
  double minimum, maximum;
};
std::vector<SearchRange> decode_search_ranges(const toml::table& from);

}  // namespace indigorill::emulator
