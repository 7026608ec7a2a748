/// \file
/// Settings of the quota: the budgets that the whole fleet shares, and the safeguards that its tests switch
/// off one by one.
#pragma once

#include <string>
#include <vector>

#include "clock/clock_drift.h"

namespace indigorill {

/// An amount of some resource that all sidecars together must not exceed.
struct FleetBudget {
  std::string name;
  double total = 0;               ///< units for all sidecars together
  double guaranteed_minimum = 0;  ///< units for each registered sidecar, also without an allocator
  /// At most `total` units are spent in any time span of this length; 0: units are held and released instead.
  Milliseconds window_ms = 0;

  bool is_rate() const { return window_ms > 0; }
};

struct QuotaConfig {
  std::vector<FleetBudget> budgets;
  int max_holders = 100;                          ///< number of sidecars that may have a part of the budgets
  Milliseconds grant_duration_ms = 2000;          ///< duration of a grant
  Milliseconds registration_duration_ms = 60000;  ///< duration of the guaranteed minimum without an allocator
  double max_clock_drift = 0.01;                  ///< maximum relative error of the rate of any clock

  /// The longest time by any clock that `duration` by another clock can take.
  Milliseconds with_drift_margin(Milliseconds duration) const {
    return indigorill::with_drift_margin(duration, max_clock_drift);
  }
  /// Units that can be granted: the total less the guaranteed minimums of max_holders sidecars.
  double allocatable(const FleetBudget& budget) const {
    return budget.total - budget.guaranteed_minimum * max_holders;
  }
};

/// All are on in production. Tests switch off one at a time to show the failure that it prevents.
struct QuotaSafeguards {
  bool expire_from_request = true;       ///< a grant lasts from its request, not from its arrival
  bool wait_for_previous_grants = true;  ///< a new allocator waits until earlier ones' grants have ended
  bool count_outstanding_grants = true;  ///< a grant counts as in use until it has certainly ended
  bool grant_within_lease = true;        ///< no grant lasts beyond the end of the leader's lease
  bool allow_clock_drift = true;         ///< the allocator lengthens durations by the drift bound
};

}  // namespace indigorill
