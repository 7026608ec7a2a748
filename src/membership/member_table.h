/// \file
/// The view of one member: all other members that it knows, including those that are dead or have left.
#pragma once

#include <array>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "membership/swim_message.h"

namespace indigorill {

/// The other members by name. Times are in ms, by the caller's clock.
class MemberTable {
 public:
  using Entries = std::map<std::string, Member>;

  const Entries& entries() const { return entries_; }
  /// Null if the name is unknown. Valid until the entry is forgotten.
  const Member* find(const std::string& name) const;
  /// Whether no further name may be added.
  bool is_full() const;
  /// Number of members that are alive or suspect.
  std::size_t live_count() const { return live_count_; }
  /// Number of members in each state, in the order of Member::State.
  std::array<std::size_t, member_state_count> count_by_state() const;
  /// Names of the alive members except `excluded`, in alphabetical order.
  std::vector<std::string> alive_names(const std::string& excluded = {}) const;
  /// Names of the members that are alive or suspect, in alphabetical order.
  std::vector<std::string> live_names() const;
  /// The dead members in alphabetical order; the pointers are valid until the table is changed.
  std::vector<const Member*> dead_members() const;

  /// Adds the member, or replaces its entry.
  void put(double now, const Member& member);
  /// Removes the members that have been dead or have left for longer than dead_member_retention_ms.
  void forget_ended(double now);

 private:
  Entries entries_;
  std::map<std::string, double> ended_at_;  // when each member that is not live became known as dead or left
  std::size_t live_count_ = 0;
};

}  // namespace indigorill
