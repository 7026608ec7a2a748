#include "limits/fleet_limiter.h"

#include <algorithm>
#include <boost/math/special_functions/gamma.hpp>
#include <cmath>
#include <sstream>

namespace indigorill {
namespace {

// Rates are shared out by the second: shorter slots leave less than one RPC to share, longer ones let a
// server stand idle for longer. Connections by ten: some two idle times, so that few are closed at a change.
constexpr double rate_slot_ms = 1000, connection_slot_ms = 10000;
// A window as long as a slot may meet two of them, and what was opened in one slot may be in use in the next.
constexpr double slot_overlap = 2;
// How often bad luck may break a bound: once in so many slots of one server.
constexpr double violation_probability = 1e-6;

std::uint64_t mix(std::uint64_t h) {  // splitmix64's finaliser
  h = (h ^ (h >> 30)) * 0xbf58476d1ce4e5b9ULL;
  h = (h ^ (h >> 27)) * 0x94d049bb133111ebULL;
  return h ^ (h >> 31);
}

std::uint64_t hash(std::string_view text) {  // FNV-1a: the same at every instance
  std::uint64_t h = 14695981039346656037ULL;
  for (const char c : text) h = (h ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
  return h;
}

double unit(std::uint64_t h) { return static_cast<double>(mix(h) >> 11) * 0x1p-53; }

// The mean that instances may have together by chance, so that they hardly ever are more than `most`. The sum
// of many small chances has no heavier a tail than Poisson's, whose tail is the incomplete gamma function.
double mean_below_limit(double most) {
  return most < 1 ? 0 : boost::math::gamma_p_inv(std::floor(most) + 1, violation_probability);
}

}  // namespace

std::optional<std::string> find_limits_error(const FleetLimits& b, const InstancePosition& p) {
  std::ostringstream wrong;
  constexpr double most = 1e7;
  const auto sound = [](double v, double least, double highest) {
    return std::isfinite(v) && v >= least && v <= highest;
  };
  if (!sound(p.instances, 1, most) || p.instances != std::floor(p.instances))
    wrong << "instances is " << p.instances << ", not a whole number from 1 to " << most;
  else if (!sound(p.weight, 1e-3, p.instances))
    wrong << "weight is " << p.weight << ", not 0.001 to the number of instances";
  else if (p.index && (!sound(*p.index, 0, most) || *p.index != std::floor(*p.index)))
    wrong << "turn is " << *p.index << ", not a whole number from 0";
  else if (p.index && p.weight != 1)
    wrong << "weight and turn exclude each other";
  for (const auto& [name, v] :
       {std::pair("connections", b.connections), std::pair("handshakes", b.handshakes_per_second),
        std::pair("probes", b.health_checks_per_second),
        std::pair("list_calls", b.discovery_polls_per_second)})
    if (v != 0 && !sound(v, 1, 1e9) && wrong.str().empty())
      wrong << name << " is " << v << ", not 0 or from 1";
  if (wrong.str().empty()) return {};
  return wrong.str();
}

FleetLimiter::FleetLimiter(const FleetLimits& b, const InstancePosition& p, std::uint64_t identity)
    : position_(p), identity_(identity) {
  const auto plan = [&](Resource what, double bound, double length) {
    if (bound <= 0) return;
    SlotShare& s = shares_[static_cast<std::size_t>(what)];
    s.bounded = true;
    const bool a_rate = what != Resource::connection;
    // Of a small bound at least one whole RPC is shared out in a slot.
    s.slot_ms = a_rate ? std::max(length, slot_overlap * length / bound) : length;
    const double budget = bound * (a_rate ? s.slot_ms / rate_slot_ms : 1) / slot_overlap;
    s.guaranteed = std::floor(budget * position_.weight / position_.instances);
    const double rest = budget - s.guaranteed * position_.instances / position_.weight;
    s.extra = position_.index
                  ? std::floor(rest)
                  : std::min(mean_below_limit(rest) * position_.weight / position_.instances, 1.0);
  };
  plan(Resource::connection, b.connections, connection_slot_ms);
  plan(Resource::handshake, b.handshakes_per_second, rate_slot_ms);
  plan(Resource::health_check, b.health_checks_per_second, rate_slot_ms);
  plan(Resource::discovery_poll, b.discovery_polls_per_second, rate_slot_ms);
}

void FleetLimiter::update_endpoints(const std::vector<std::string>& servers) {
  endpoints_ = servers;
  std::sort(endpoints_.begin(), endpoints_.end());
  // What was spent at servers that are gone tells nothing more; what is held there is still given back.
  std::erase_if(slot_usage_, [&](const auto& s) {
    return !s.first.first.empty() && !std::binary_search(endpoints_.begin(), endpoints_.end(), s.first.first);
  });
}

// Each instance's slots begin at another moment: else all that wait would ask in the same instant.
std::int64_t FleetLimiter::slot_number(Resource what, double now) const {
  return static_cast<std::int64_t>(std::floor(now / share_of(what).slot_ms + unit(identity_)));
}

double FleetLimiter::next_slot_delay_ms(Resource what, double now) const {
  if (!share_of(what).bounded) return 0;
  // A millisecond late: at the very boundary the old slot could be met again, for ever.
  constexpr double late = 1;
  return (static_cast<double>(slot_number(what, now) + 1) - unit(identity_)) * share_of(what).slot_ms - now +
         late;
}

bool FleetLimiter::has_extra_unit(Resource what, std::string_view server, std::int64_t at) const {
  const SlotShare& s = share_of(what);
  if (s.extra <= 0) return false;
  const auto rank = static_cast<double>(std::lower_bound(endpoints_.begin(), endpoints_.end(), server) -
                                        endpoints_.begin());
  const auto servers = std::max(static_cast<double>(endpoints_.size()), 1.0);
  if (position_.index) {
    // Turns go round: the next slot has the next ones. At another server they stand elsewhere, evenly, so
    // that an instance has its turn at some server as often as can be.
    const double from = std::floor(rank * position_.instances / servers) + static_cast<double>(at) * s.extra;
    const double mine = std::fmod(
        std::fmod(*position_.index + from, position_.instances) + position_.instances, position_.instances);
    return mine < s.extra;
  }
  // By chance, but as many of the servers in each slot as the chance says: where that is one or more, an
  // instance is never without any. Seen from a server, its instances are still drawn apart from each other.
  const double shift =
      unit(identity_ ^ mix(static_cast<std::uint64_t>(at) * kinds + static_cast<std::uint64_t>(what) + 1));
  const std::uint64_t salt = mix(identity_ + static_cast<std::uint64_t>(at));
  std::size_t before = 0;  // servers that come earlier in this slot's own order
  const std::uint64_t own = mix(hash(server) ^ salt);
  for (const std::string& other : endpoints_) before += mix(hash(other) ^ salt) < own;
  const double first = static_cast<double>(before) * s.extra + shift, last = first + s.extra;
  return std::floor(last) > std::floor(first);
}

double FleetLimiter::allowed(Resource what, std::string_view server, double now) const {
  const std::int64_t at = slot_number(what, now);
  return share_of(what).guaranteed + (has_extra_unit(what, server, at) ? 1 : 0);
}

bool FleetLimiter::may_acquire(Resource what, std::string_view server, double now) const {
  if (!share_of(what).bounded) return true;
  if (what == Resource::connection) {
    const auto it = connections_.find(server);
    return static_cast<double>(it == connections_.end() ? 0 : it->second) < allowed(what, server, now);
  }
  const auto it = slot_usage_.find({std::string(server), static_cast<std::size_t>(what)});
  const bool this_slot = it != slot_usage_.end() && it->second.slot == slot_number(what, now);
  return (this_slot ? it->second.acquired : 0) < allowed(what, server, now);
}

bool FleetLimiter::acquire(Resource what, std::string_view server, double now) {
  GrantCounts& c = counts_[static_cast<std::size_t>(what)];
  if (!may_acquire(what, server, now)) {
    ++c.denied;
    return false;
  }
  ++c.granted;
  if (what == Resource::connection) {
    ++connections_[std::string(server)];
  } else if (share_of(what).bounded) {
    SlotUsage& u = slot_usage_[{std::string(server), static_cast<std::size_t>(what)}];
    const std::int64_t at = slot_number(what, now);
    if (u.slot != at) u = {at, 0};
    ++u.acquired;
  }
  return true;
}

bool FleetLimiter::open_connection(std::string_view server, double now) {
  if (!may_open_connection(server, now)) {
    ++counts_[static_cast<std::size_t>(may_acquire(Resource::connection, server, now) ? Resource::handshake
                                                                                      : Resource::connection)]
          .denied;
    return false;
  }
  return acquire(Resource::handshake, server, now) && acquire(Resource::connection, server, now);
}

void FleetLimiter::release_connection(std::string_view server) {
  const auto it = connections_.find(server);
  if (it != connections_.end() && --it->second == 0) connections_.erase(it);
}

bool FleetLimiter::within_connection_limit(std::string_view server, double now) const {
  if (!share_of(Resource::connection).bounded) return true;
  const auto it = connections_.find(server);
  return it == connections_.end() ||
         static_cast<double>(it->second) <= allowed(Resource::connection, server, now);
}

std::uint64_t FleetLimiter::open_connections() const {
  std::uint64_t all = 0;
  for (const auto& [server, n] : connections_) all += n;
  return all;
}

}  // namespace indigorill
