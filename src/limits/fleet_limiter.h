/// \file
/// Limits that all sidecars keep together, without talking to each other: what one of them may hold open and
/// request, so that all of them stay under what a server and the discovery service can take. No I/O; clock
/// and identity are given.
///
/// Time is cut into slots. In each slot every instance has a guaranteed part of the limit, and the remainder
/// goes to some of the instances: in rotation where each knows its index (exact), otherwise at random (with a
/// margin for bad luck). Nothing is saved up, so that thousands that start in the same instant add up to no
/// more.
///
/// Times are milliseconds on the clock of the wall, which all instances share but for a few milliseconds.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace indigorill {

/// What a server, and the discovery service, can take from all instances together; 0: no limit.
struct FleetLimits {
  double connections = 0;                 ///< open at one server, in use or not
  double handshakes_per_second = 0;       ///< at one server
  double health_checks_per_second = 0;    ///< at one server
  double discovery_polls_per_second = 0;  ///< of the discovery service
};

/// The place of one instance among all.
struct InstancePosition {
  double instances = 1;           ///< how many share the limits, as far as it is told
  double weight = 1;              ///< its part of the limits, in parts of an average instance
  std::optional<double> index{};  ///< which of the instances it is, from 0; none: it does not know
};

/// What is wrong with these values, in one line; none where they are valid.
std::optional<std::string> find_limits_error(const FleetLimits& limits, const InstancePosition& position);

/// The part of the limits that one instance has.
class FleetLimiter {
 public:
  enum class Resource { connection, handshake, health_check, discovery_poll };

  struct GrantCounts {
    std::uint64_t granted = 0;
    std::uint64_t denied = 0;
  };

  /// `identity`: distinct for each instance. The limits and the position must be valid.
  FleetLimiter(const FleetLimits& limits, const InstancePosition& position, std::uint64_t identity);

  /// All servers that there are.
  void update_endpoints(const std::vector<std::string>& servers);

  /// Whether it would be granted now. `server` is "" for discovery polls.
  bool may_acquire(Resource resource, std::string_view server, double now_ms) const;
  /// The same for a new connection, which takes a handshake as well.
  bool may_open_connection(std::string_view server, double now_ms) const;

  /// Takes one where it is granted, otherwise counts it as denied.
  bool acquire(Resource resource, std::string_view server, double now_ms);
  /// Takes a connection and its handshake. Whoever took it releases it, however it ends.
  bool open_connection(std::string_view server, double now_ms);
  void release_connection(std::string_view server);

  /// Whether all connections to the server may stay; otherwise idle ones have to be closed.
  bool within_connection_limit(std::string_view server, double now_ms) const;
  /// How long until the next slot of the resource has begun.
  double next_slot_delay_ms(Resource resource, double now_ms) const;

  const GrantCounts& counts(Resource resource) const { return counts_[static_cast<std::size_t>(resource)]; }
  /// Over all servers.
  std::uint64_t open_connections() const;

 private:
  /// How the limit of one resource is divided in each slot.
  struct SlotShare {
    bool bounded = false;
    double slot_ms = 0;
    double guaranteed = 0;  // for this instance
    double extra = 0;  // in rotation: how many instances have one more; at random: with which probability
  };
  struct SlotUsage {
    std::int64_t slot = -1;
    double acquired = 0;
  };
  static constexpr std::size_t resource_count = 4;

  SlotShare divide(double limit, double slot_ms) const;
  SlotShare divide_rate(double limit_per_second) const;
  const SlotShare& share_of(Resource resource) const { return shares_[static_cast<std::size_t>(resource)]; }
  std::int64_t slot_number(Resource resource, double now_ms) const;
  double allowed(Resource resource, std::string_view server, double now_ms) const;
  bool has_extra_unit(Resource resource, std::string_view server, std::int64_t slot) const;
  bool has_extra_unit_in_rotation(double extra, std::string_view server, std::int64_t slot) const;
  bool has_extra_unit_at_random(Resource resource, std::string_view server, std::int64_t slot) const;
  std::uint64_t connections_to(std::string_view server) const;

  InstancePosition position_;
  std::uint64_t identity_;
  std::array<SlotShare, resource_count> shares_;
  std::array<GrantCounts, resource_count> counts_;
  std::vector<std::string> endpoints_;  // in order of their names
  std::map<std::string, std::uint64_t, std::less<>> connections_;
  std::map<std::pair<std::string, std::size_t>, SlotUsage> slot_usage_;  // by server and resource
};

}  // namespace indigorill
