// What one of many sidecars may hold open and ask, so that all of them together stay under what a server, and
// the list's service, can take, though none knows what the others do. No I/O; clock and identity are given.
//
// A bound is cut into slots of time; in each slot every instance has its whole part of the bound, and the
// rest goes to some of them: by turns where each knows which one it is (exact), else by chance (with a margin
// for bad luck). Nothing is saved up, so that thousands that begin in the same instant add up to no more.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace indigorill {

// What a server can take from all instances together, and the list's service; 0: no bound.
struct FleetLimits {
  double connections = 0;                 // open at one server, in use or not
  double handshakes_per_second = 0;       // a second at one server
  double health_checks_per_second = 0;    // a second at one server
  double discovery_polls_per_second = 0;  // a second
};

struct InstancePosition {
  double instances = 1;           // how many share the bounds, as far as told
  double weight = 1;              // of this one, where they are unequal: as many instances' shares
  std::optional<double> index{};  // which of them it is, from 0
};

// What is wrong with these figures, in one line; none where they are sound.
std::optional<std::string> find_limits_error(const FleetLimits& b, const InstancePosition& p);

class FleetLimiter {
 public:
  enum class Resource { connection, handshake, health_check, discovery_poll };
  struct GrantCounts {
    std::uint64_t granted = 0, denied = 0;
  };

  FleetLimiter(const FleetLimits& b, const InstancePosition& p, std::uint64_t identity);

  void update_endpoints(const std::vector<std::string>& servers);  // all that there are

  // Whether it would be granted now; a connection that is opened wants a handshake as well.
  bool may_acquire(Resource what, std::string_view server, double now) const;
  bool may_open_connection(std::string_view server, double now) const {
    return may_acquire(Resource::connection, server, now) && may_acquire(Resource::handshake, server, now);
  }
  // Granted, or counted as denied. Connections are given back, by who took them, however they end.
  bool acquire(Resource what, std::string_view server, double now);
  bool open_connection(std::string_view server, double now);
  void release_connection(std::string_view server);
  // Whether all that is held there may stay: else what rests there is to be closed.
  bool within_connection_limit(std::string_view server, double now) const;
  double next_slot_delay_ms(Resource what, double now) const;  // how long until the next slot has begun, ms

  const GrantCounts& counts(Resource what) const { return counts_[static_cast<std::size_t>(what)]; }
  std::uint64_t open_connections() const;

 private:
  // How one bound is shared out in each slot.
  struct SlotShare {
    bool bounded = false;
    double slot_ms = 0;     // of a slot, ms
    double guaranteed = 0;  // for each instance
    double extra = 0;       // by turns: how many instances have one more; by chance: with which chance
  };
  struct SlotUsage {
    std::int64_t slot = -1;
    double acquired = 0;
  };
  static constexpr std::size_t kinds = 4;

  const SlotShare& share_of(Resource what) const { return shares_[static_cast<std::size_t>(what)]; }
  std::int64_t slot_number(Resource what, double now) const;
  double allowed(Resource what, std::string_view server, double now) const;
  bool has_extra_unit(Resource what, std::string_view server, std::int64_t slot) const;

  InstancePosition position_;
  std::uint64_t identity_;
  std::array<SlotShare, kinds> shares_;
  std::array<GrantCounts, kinds> counts_;
  std::vector<std::string> endpoints_;  // servers, in order of their names
  std::map<std::string, std::uint64_t, std::less<>> connections_;
  std::map<std::pair<std::string, std::size_t>, SlotUsage> slot_usage_;
};

}  // namespace indigorill
