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
struct bounds_of_all {
  double connections = 0;  // open at one server, in use or not
  double handshakes = 0;   // a second at one server
  double probes = 0;       // a second at one server
  double list_calls = 0;   // a second
};

struct place_among {
  double instances = 1;          // how many share the bounds, as far as told
  double weight = 1;             // of this one, where they are unequal: as many instances' shares
  std::optional<double> turn{};  // which of them it is, from 0
};

// What is wrong with these figures, in one line; none where they are sound.
std::optional<std::string> fault_of(const bounds_of_all& b, const place_among& p);

class limits {
 public:
  enum class kind { connection, handshake, probe, list_call };
  struct count {
    std::uint64_t granted = 0, denied = 0;
  };

  limits(const bounds_of_all& b, const place_among& p, std::uint64_t identity);

  void listed(const std::vector<std::string>& servers);  // all that there are

  // Whether it would be granted now; a connection that is opened wants a handshake as well.
  bool may(kind what, std::string_view server, double now) const;
  bool may_open(std::string_view server, double now) const {
    return may(kind::connection, server, now) && may(kind::handshake, server, now);
  }
  // Granted, or counted as denied. Connections are given back, by who took them, however they end.
  bool take(kind what, std::string_view server, double now);
  bool open(std::string_view server, double now);
  void give_back(std::string_view server);
  // Whether all that is held there may stay: else what rests there is to be closed.
  bool keeps(std::string_view server, double now) const;
  double again(kind what, double now) const;  // how long until the next slot has begun, ms

  const count& counted(kind what) const { return counts[static_cast<std::size_t>(what)]; }
  std::uint64_t held() const;

 private:
  // How one bound is shared out in each slot.
  struct share {
    bool bounded = false;
    double length = 0;  // of a slot, ms
    double whole = 0;   // for each instance
    double some = 0;    // by turns: how many instances have one more; by chance: with which chance
  };
  struct used {
    std::int64_t slot = -1;
    double taken = 0;
  };
  static constexpr std::size_t kinds = 4;

  const share& of(kind what) const { return shares[static_cast<std::size_t>(what)]; }
  std::int64_t slot(kind what, double now) const;
  double allowed(kind what, std::string_view server, double now) const;
  bool one_more(kind what, std::string_view server, std::int64_t slot) const;

  place_among place;
  std::uint64_t self;
  std::array<share, kinds> shares;
  std::array<count, kinds> counts;
  std::vector<std::string> known;  // servers, in order of their names
  std::map<std::string, std::uint64_t, std::less<>> connections;
  std::map<std::pair<std::string, std::size_t>, used> spent;
};

}  // namespace indigorill
