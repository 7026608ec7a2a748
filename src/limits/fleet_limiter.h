/// \file
/// Limits that all sidecars together observe without communication between them. Each sidecar has a part of
/// the limits of a server (open connections, handshakes, health checks) and of the discovery service (polls).
/// No I/O; the caller supplies the time and the sidecar's identity.
///
/// Time is divided into slots. In each slot every instance has a guaranteed part of the limit, and the
/// remainder goes to some of the instances: in rotation if each instance knows its index (exact), otherwise
/// at random (with a margin for random deviations). Unused parts do not accumulate, so that even thousands of
/// instances that start at the same instant stay within the limit.
///
/// Times are in milliseconds of the wall clock, which all instances share to within a few milliseconds.
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

/// Limits of one server, and of the discovery service, for all instances together; 0: no limit.
struct FleetLimits {
  double connections = 0;                 ///< open connections to one server, idle ones included
  double handshakes_per_second = 0;       ///< with one server
  double health_checks_per_second = 0;    ///< of one server
  double discovery_polls_per_second = 0;  ///< of the discovery service
};

/// The position of one instance among all instances.
struct InstancePosition {
  double instances = 1;           ///< configured number of instances that share the limits
  double weight = 1;              ///< this instance's part of the limits, relative to an average instance's
  std::optional<double> index{};  ///< number of this instance, from 0; none if it is unknown
};

/// The first error in these values, in one line; none if they are valid.
std::optional<std::string> find_limits_error(const FleetLimits& limits, const InstancePosition& position);

/// One instance's part of the limits.
class FleetLimiter {
 public:
  enum class Resource { connection, handshake, health_check, discovery_poll };

  struct GrantCounts {
    std::uint64_t granted = 0;
    std::uint64_t denied = 0;
  };

  /// `identity`: distinct for each instance. The limits and the position must be valid.
  FleetLimiter(const FleetLimits& limits, const InstancePosition& position, std::uint64_t identity);

  /// Replaces the list of servers.
  void update_endpoints(const std::vector<std::string>& servers);

  /// Whether acquire() would be granted now. `server` is "" for discovery polls.
  bool may_acquire(Resource resource, std::string_view server, double now_ms) const;
  /// Whether open_connection() would be granted now; a new connection requires a handshake as well.
  bool may_open_connection(std::string_view server, double now_ms) const;

  /// Acquires one unit if that is granted, otherwise counts it as denied.
  bool acquire(Resource resource, std::string_view server, double now_ms);
  /// Acquires a connection and its handshake. The caller has to release the connection, also if it fails.
  bool open_connection(std::string_view server, double now_ms);
  void release_connection(std::string_view server);

  /// Whether all connections to the server may stay open; if not, idle ones have to be closed.
  bool within_connection_limit(std::string_view server, double now_ms) const;
  /// Delay until the next slot of the resource has begun; 0 if the resource has no limit.
  double next_slot_delay_ms(Resource resource, double now_ms) const;

  const GrantCounts& counts(Resource resource) const { return counts_[static_cast<std::size_t>(resource)]; }
  /// Number of open connections to all servers.
  std::uint64_t open_connections() const;

 private:
  /// How the limit of one resource is divided in each slot.
  struct SlotShare {
    bool bounded = false;
    double slot_ms = 0;
    double guaranteed = 0;  // units of this instance
    double extra = 0;  // in rotation: number of instances with one more unit; at random: probability of one
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
  std::vector<std::string> endpoints_;  // sorted by name
  std::map<std::string, std::uint64_t, std::less<>> connections_;
  std::map<std::pair<std::string, std::size_t>, SlotUsage> slot_usage_;  // by server and resource
};

}  // namespace indigorill
