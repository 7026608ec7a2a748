// What the emulator is to play, from a TOML file that is checked as a whole before anything runs.
#pragma once

#include <toml++/toml.h>

#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "../decode/section.h"
#include "../limits/limits.h"
#include "chance.h"
#include "indigorill/balance.h"

namespace indigorill::lab {

struct server_kind {
  std::string name;
  int count = 0, cores = 1, queue = 10, zones = 1, cells = 1, connections = 1000;
  double speed = 1, speed_spread = 0;  // standard deviation over mean, of one server from the next
  double cold_from = 1, cold_for = 0;  // what a fresh one can do, and when it is warm; linear in between
  double error_share = 0;
};

struct work_kind {
  method is;
  double share = 1;
  law work;
};

enum class arrivals { poisson, bursts, ramp };

struct load_plan {
  double rate = 0;  // RPCs a second, over all sidecars
  arrivals come = arrivals::poisson;
  double burst_times = 1, burst_for = 0, calm_for = 0;  // bursts: the rate in one, and their mean lengths
  double ramp_to = 0;
  double skew = 0;  // Zipf's exponent over the sidecars
};

struct trouble {
  enum class kind {
    restart_sidecars,
    lose_zone,
    kill_servers,
    replace,
    drain,
    stall,
    slow,
    errors,
    loss,
    surge,
    list_overbooked,
    list_silent,
    stop_sidecars,
    end_sidecars,
    cut_talk
  } what;
  double at = 0, lasts = 0, over = 0;  // over: how far it is spread
  double share = 1, factor = 1;
  int zone = 0;
  bool one_way = false;  // cut_talk: the others hear them, they don't hear the others
};

struct scenario {
  std::string name;
  std::uint64_t seed = 1;
  double length = 0, warmup = 0;
  int sidecars = 1, zones = 1;
  std::vector<server_kind> servers;
  std::vector<work_kind> methods;
  load_plan load;
  struct {
    double delay = 0.2, jitter = 0.05, cross_zone = 0, loss = 0, retransmit = 200;
    double handshake = 0, handshake_work = 0, connect_timeout = 250, idle = 5000;
  } net;
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
  } list;
  struct {
    double grace = 500, multiple = 3, span = 1500, advice = 0;
    int most_picks = 4;
    bool cancelling = true, probes = false, reports = false;
    double probe_price = 0, handshake_price = 0, cross_zone_price = 0;
  } rules;
  struct {
    bounds_of_all all;
    bool by_turns = false;
    double told = 1;  // the number of instances that they are told, over the true one
    bool any() const { return all.connections + all.handshakes + all.probes + all.list_calls > 0; }
  } limits;
  // How sidecars talk, and what they share; on real processes alone.
  struct {
    bool on = false;
    int voters = 3, seeds = 2, most = 100;
    double period = 1000, timeout = 300, lease = 10000, share = 2000, seat = 60000;
    double further_picks = 0, floor = 0;  // a second, over all; 0: no budget
    double loss = 0, doubled = 0, delay = 0, jitter = 0, late = 0, late_by = 0;
  } talk;
  std::vector<trouble> troubles;

  int servers_at_start() const;
  double longest_deadline() const;
  terrain ground(int zone) const;
};

std::string zone_name(int zone);

// How the load comes and goes: what holds whatever decides.
struct pace {
  std::vector<std::pair<double, bool>> bursts;  // from when on, and whether it is one
  double calm = 0, most = 0;                    // RPCs a second; most: never more, in surges either
};
pace pace_of(const scenario& s, stream& chance);
double rate_at(const scenario& s, const pace& p, double when);  // without surges
// The share of n, by a shuffle: whom a trouble befalls.
std::vector<std::uint32_t> some_of(std::size_t n, double share, stream& chance);
std::pair<std::size_t, double> draw_rpc(const scenario& s, stream& chance);  // its method and work

// What of it the emulator can't play, in a line; none where it can play all.
std::optional<std::string> not_emulated(const scenario& s);

scenario decode_scenario(const toml::table& from);  // throws faulty

// Sets what a dotted path names ("load.rate", "trouble[0].share"); throws faulty where there is none.
void set_value(toml::table& in, const std::string& path, double value);
double value_at(const toml::table& in, const std::string& path);

// The variables that `search` may move, from the table `ranges`.
struct range {
  std::string path;
  double least, most;
};
std::vector<range> ranges_of(const toml::table& from);

}  // namespace indigorill::lab
