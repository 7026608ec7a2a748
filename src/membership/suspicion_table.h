/// \file
/// Lifeguard's local suspicion timers: a member that does not answer is suspected before it is declared dead.
/// The more members suspect it independently, the shorter the suspicion lasts.
#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace indigorill {

/// The parameters of the duration of all suspicions.
struct SuspicionTiming {
  double probe_interval_ms = 0;
  std::size_t live_count = 1;    ///< Number of members that are alive or suspect, this one included.
  double health_multiplier = 1;  ///< 1 for a healthy process, higher for a slow one.
};

/// The members that are suspected at present. Times are in ms, by the caller's clock.
class SuspicionTable {
 public:
  void start(double now, const std::string& name, const std::string& accuser);
  void clear(const std::string& name) { suspicions_.erase(name); }
  /// Returns whether the accuser is a new one and was counted.
  bool confirm(const std::string& name, const std::string& accuser);
  /// Postpones all deadlines by the duration of a pause of this process.
  void postpone(double duration_ms);

  /// The earliest deadline; infinite if no member is suspected.
  double next_deadline(const SuspicionTiming& timing) const;
  /// Names of the suspected members whose deadline has passed, in alphabetical order. They stay suspected
  /// until they are cleared.
  std::vector<std::string> expired(double now, const SuspicionTiming& timing) const;

 private:
  struct Suspicion {
    double started_at = 0;
    std::set<std::string> accusers;  // members that suspect it independently
  };

  static double deadline_of(const Suspicion& suspicion, const SuspicionTiming& timing);

  std::map<std::string, Suspicion> suspicions_;
};

}  // namespace indigorill
