/// \file
/// The view of one member: all others that it knows of, also those that are dead or have left.
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
  /// Members that are alive or suspect.
  std::size_t live_count() const { return live_count_; }
  /// In the order of Member::State.
  std::array<std::size_t, member_state_count> count_by_state() const;
  /// The names in alphabetical order of those that are alive, but for one.
  std::vector<std::string> alive_names(const std::string& excluded = {}) const;
  /// The names in alphabetical order of those that are alive or suspect.
  std::vector<std::string> live_names() const;
  /// In alphabetical order; valid until the table is changed.
  std::vector<const Member*> dead_members() const;

  /// Adds the member, or replaces what was known of it.
  void put(double now, const Member& member);
  /// Forgets those that have been dead or gone for so long that nobody asks for them any more.
  void forget_ended(double now);

 private:
  Entries entries_;
  std::map<std::string, double> ended_at_;  // when those that are not live were first known to be so
  std::size_t live_count_ = 0;
};

}  // namespace indigorill
