#include "limits/fleet_limiter.h"

#include <algorithm>
#include <boost/math/special_functions/gamma.hpp>
#include <cmath>
#include <sstream>

namespace indigorill {
namespace {

// Rates are divided in slots of one second: shorter slots leave less than one RPC to divide, longer ones
// leave a server idle for longer. Connections are divided in slots of ten seconds, which is some two idle
// timeouts, so that few connections are closed when the slot changes.
constexpr double rate_slot_ms = 1000;
constexpr double connection_slot_ms = 10000;
constexpr double ms_per_second = 1000;
// A window as long as a slot can overlap two slots, and a connection that was opened in one slot may be in
// use in the next.
constexpr double slot_overlap = 2;
// Probability that the random division exceeds a limit in one slot of one server.
constexpr double violation_probability = 1e-6;
// Added to the delay until the next slot: because of rounding, a retry exactly at the boundary could fall
// into the old slot again each time.
constexpr double slot_boundary_margin_ms = 1;

constexpr double max_instances = 1e7;
constexpr double min_weight = 1e-3;
constexpr double max_limit = 1e9;

// splitmix64's finaliser.
std::uint64_t mix_bits(std::uint64_t bits) {
  bits = (bits ^ (bits >> 30)) * 0xbf58476d1ce4e5b9ULL;
  bits = (bits ^ (bits >> 27)) * 0x94d049bb133111ebULL;
  return bits ^ (bits >> 31);
}

// FNV-1a, which gives the same hash at every instance.
std::uint64_t hash_name(std::string_view name) {
  std::uint64_t hash = 14695981039346656037ULL;
  for (const char character : name) hash = (hash ^ static_cast<unsigned char>(character)) * 1099511628211ULL;
  return hash;
}

// Maps bits to a number in [0, 1).
double unit_interval(std::uint64_t bits) { return static_cast<double>(mix_bits(bits) >> 11) * 0x1p-53; }

// Mean number of units drawn by all instances together at which they exceed the limit with
// violation_probability. A sum of many independent draws of small probability has no heavier tail than the
// Poisson distribution, whose tail is the incomplete gamma function.
double mean_below_limit(double limit) {
  return limit < 1 ? 0 : boost::math::gamma_p_inv(std::floor(limit) + 1, violation_probability);
}

bool is_between(double value, double minimum, double maximum) {
  return std::isfinite(value) && value >= minimum && value <= maximum;
}

bool is_whole_number(double value, double minimum, double maximum) {
  return is_between(value, minimum, maximum) && value == std::floor(value);
}

std::string describe_position_error(const InstancePosition& position) {
  std::ostringstream error;
  if (!is_whole_number(position.instances, 1, max_instances))
    error << "instances is " << position.instances << ", not a whole number from 1 to " << max_instances;
  else if (!is_between(position.weight, min_weight, position.instances))
    error << "weight is " << position.weight << ", not in the range 0.001 to the number of instances";
  else if (position.index && !is_whole_number(*position.index, 0, max_instances))
    error << "index is " << *position.index << ", not a whole number from 0";
  else if (position.index && position.weight != 1)
    error << "weight and index exclude each other";
  return error.str();
}

std::string describe_limit_error(const char* name, double limit) {
  if (limit == 0 || is_between(limit, 1, max_limit)) return {};
  std::ostringstream error;
  error << name << " is " << limit << ", neither 0 nor from 1 to " << max_limit;
  return error.str();
}

}  // namespace

std::optional<std::string> find_limits_error(const FleetLimits& limits, const InstancePosition& position) {
  for (const std::string& error :
       {describe_position_error(position), describe_limit_error("connections", limits.connections),
        describe_limit_error("handshakes", limits.handshakes_per_second),
        describe_limit_error("probes", limits.health_checks_per_second),
        describe_limit_error("list_calls", limits.discovery_polls_per_second)}) {
    if (!error.empty()) return error;
  }
  return std::nullopt;
}

FleetLimiter::FleetLimiter(const FleetLimits& limits, const InstancePosition& position,
                           std::uint64_t identity)
    : position_(position), identity_(identity) {
  // In the order of Resource.
  shares_ = {divide(limits.connections, connection_slot_ms), divide_rate(limits.handshakes_per_second),
             divide_rate(limits.health_checks_per_second), divide_rate(limits.discovery_polls_per_second)};
}

FleetLimiter::SlotShare FleetLimiter::divide_rate(double limit_per_second) const {
  if (limit_per_second <= 0) return {};
  // For a small limit the slot is longer, so that at least one whole RPC is divided in it.
  const double slot_ms = std::max(rate_slot_ms, slot_overlap * rate_slot_ms / limit_per_second);
  return divide(limit_per_second * (slot_ms / ms_per_second), slot_ms);
}

// `limit`: number of units in one slot.
FleetLimiter::SlotShare FleetLimiter::divide(double limit, double slot_ms) const {
  if (limit <= 0) return {};
  const double budget = limit / slot_overlap;
  SlotShare share;
  share.bounded = true;
  share.slot_ms = slot_ms;
  share.guaranteed = std::floor(budget * position_.weight / position_.instances);
  const double remainder = budget - share.guaranteed * position_.instances / position_.weight;
  const double probability = mean_below_limit(remainder) * position_.weight / position_.instances;
  share.extra = position_.index ? std::floor(remainder) : std::min(probability, 1.0);
  return share;
}

void FleetLimiter::update_endpoints(const std::vector<std::string>& servers) {
  endpoints_ = servers;
  std::sort(endpoints_.begin(), endpoints_.end());
  // The usage at removed servers is no longer needed; connections to them stay counted until their release.
  std::erase_if(slot_usage_, [&](const auto& key_and_usage) {
    const std::string& server = key_and_usage.first.first;
    return !server.empty() && !std::binary_search(endpoints_.begin(), endpoints_.end(), server);
  });
}

// Each instance's slots begin at a different offset: otherwise all waiting instances would request at the
// same instant.
std::int64_t FleetLimiter::slot_number(Resource resource, double now_ms) const {
  return static_cast<std::int64_t>(
      std::floor(now_ms / share_of(resource).slot_ms + unit_interval(identity_)));
}

double FleetLimiter::next_slot_delay_ms(Resource resource, double now_ms) const {
  const SlotShare& share = share_of(resource);
  if (!share.bounded) return 0;
  const auto next_slot = static_cast<double>(slot_number(resource, now_ms) + 1);
  return (next_slot - unit_interval(identity_)) * share.slot_ms - now_ms + slot_boundary_margin_ms;
}

bool FleetLimiter::has_extra_unit(Resource resource, std::string_view server, std::int64_t slot) const {
  const SlotShare& share = share_of(resource);
  if (share.extra <= 0) return false;
  return position_.index ? has_extra_unit_in_rotation(share.extra, server, slot)
                         : has_extra_unit_at_random(resource, server, slot);
}

// With each slot the extra units pass to the next instances. The rotations of the servers start at evenly
// spaced positions, so that an instance has an extra unit at some server as often as possible.
bool FleetLimiter::has_extra_unit_in_rotation(double extra, std::string_view server,
                                              std::int64_t slot) const {
  const double instances = position_.instances;
  const auto server_rank = static_cast<double>(
      std::lower_bound(endpoints_.begin(), endpoints_.end(), server) - endpoints_.begin());
  const auto servers = std::max(static_cast<double>(endpoints_.size()), 1.0);
  const double rotation = std::floor(server_rank * instances / servers) + static_cast<double>(slot) * extra;
  const double place = std::fmod(std::fmod(*position_.index + rotation, instances) + instances, instances);
  return place < extra;
}

// Chooses servers at random by systematic sampling: in each slot an instance has an extra unit at the
// expected number of servers, rounded down or up, hence always at some server if that number is one or more.
// At any one server the draws of different instances are still independent.
bool FleetLimiter::has_extra_unit_at_random(Resource resource, std::string_view server,
                                            std::int64_t slot) const {
  const double extra = share_of(resource).extra;
  const auto slot_bits = static_cast<std::uint64_t>(slot);
  const auto resource_bits = static_cast<std::uint64_t>(resource);
  const double shift = unit_interval(identity_ ^ mix_bits(slot_bits * resource_count + resource_bits + 1));
  const std::uint64_t salt = mix_bits(identity_ + slot_bits);
  const std::uint64_t own_order = mix_bits(hash_name(server) ^ salt);
  const auto earlier_servers =
      std::count_if(endpoints_.begin(), endpoints_.end(),
                    [&](const std::string& other) { return mix_bits(hash_name(other) ^ salt) < own_order; });
  const double start = static_cast<double>(earlier_servers) * extra + shift;
  return std::floor(start + extra) > std::floor(start);
}

double FleetLimiter::allowed(Resource resource, std::string_view server, double now_ms) const {
  const std::int64_t slot = slot_number(resource, now_ms);
  return share_of(resource).guaranteed + (has_extra_unit(resource, server, slot) ? 1 : 0);
}

std::uint64_t FleetLimiter::connections_to(std::string_view server) const {
  const auto found = connections_.find(server);
  return found == connections_.end() ? 0 : found->second;
}

bool FleetLimiter::may_acquire(Resource resource, std::string_view server, double now_ms) const {
  if (!share_of(resource).bounded) return true;
  if (resource == Resource::connection)
    return static_cast<double>(connections_to(server)) < allowed(resource, server, now_ms);
  const auto found = slot_usage_.find({std::string(server), static_cast<std::size_t>(resource)});
  const bool used_in_slot = found != slot_usage_.end() && found->second.slot == slot_number(resource, now_ms);
  const double acquired = used_in_slot ? found->second.acquired : 0;
  return acquired < allowed(resource, server, now_ms);
}

bool FleetLimiter::may_open_connection(std::string_view server, double now_ms) const {
  return may_acquire(Resource::connection, server, now_ms) &&
         may_acquire(Resource::handshake, server, now_ms);
}

bool FleetLimiter::acquire(Resource resource, std::string_view server, double now_ms) {
  GrantCounts& counts = counts_[static_cast<std::size_t>(resource)];
  if (!may_acquire(resource, server, now_ms)) {
    ++counts.denied;
    return false;
  }
  ++counts.granted;
  if (resource == Resource::connection) {
    ++connections_[std::string(server)];
  } else if (share_of(resource).bounded) {
    SlotUsage& usage = slot_usage_[{std::string(server), static_cast<std::size_t>(resource)}];
    const std::int64_t slot = slot_number(resource, now_ms);
    if (usage.slot != slot) usage = {slot, 0};
    ++usage.acquired;
  }
  return true;
}

bool FleetLimiter::open_connection(std::string_view server, double now_ms) {
  if (!may_open_connection(server, now_ms)) {
    const bool may_connect = may_acquire(Resource::connection, server, now_ms);
    const Resource denied = may_connect ? Resource::handshake : Resource::connection;
    ++counts_[static_cast<std::size_t>(denied)].denied;
    return false;
  }
  return acquire(Resource::handshake, server, now_ms) && acquire(Resource::connection, server, now_ms);
}

void FleetLimiter::release_connection(std::string_view server) {
  const auto found = connections_.find(server);
  if (found == connections_.end()) return;
  --found->second;
  if (found->second == 0) connections_.erase(found);
}

bool FleetLimiter::within_connection_limit(std::string_view server, double now_ms) const {
  if (!share_of(Resource::connection).bounded) return true;
  const std::uint64_t open = connections_to(server);
  return open == 0 || static_cast<double>(open) <= allowed(Resource::connection, server, now_ms);
}

std::uint64_t FleetLimiter::open_connections() const {
  std::uint64_t open = 0;
  for (const auto& [server, connections] : connections_) open += connections;
  return open;
}

}  // namespace indigorill
