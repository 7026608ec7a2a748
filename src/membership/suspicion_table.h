/// \file
/// Lifeguard's local suspicion timers: a member that does not answer is suspected before it is declared dead,
/// for the shorter a time the more others suspect it on their own account.
#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace indigorill {

/// What the duration of all suspicions depends on.
struct SuspicionTiming {
  double probe_interval_ms = 0;
  std::size_t live_count = 1;    ///< Members that are alive or suspect, this one included.
  double health_multiplier = 1;  ///< 1 for a healthy process, more for one that is slow itself.
};

/// The members that are suspected now. Times are in ms, by the caller's clock.
class SuspicionTable {
 public:
  void start(double now, const std::string& name, const std::string& accuser);
  void clear(const std::string& name) { suspicions_.erase(name); }
  /// Returns whether the accuser is new and was counted.
  bool confirm(const std::string& name, const std::string& accuser);
  /// Moves all deadlines by a time in which this process stood still.
  void postpone(double duration_ms);

  /// Infinite if nobody is suspected.
  double next_deadline(const SuspicionTiming& timing) const;
  /// The names of those whose deadline has passed, in alphabetical order. They stay until they are cleared.
  std::vector<std::string> expired(double now, const SuspicionTiming& timing) const;

 private:
  struct Suspicion {
    double started_at = 0;
    std::set<std::string> accusers;  // those that suspect it on their own account
  };

  static double deadline_of(const Suspicion& suspicion, const SuspicionTiming& timing);

  std::map<std::string, Suspicion> suspicions_;
};

}  // namespace indigorill
