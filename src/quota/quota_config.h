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
  double total = 0;               ///< units, of all sidecars together
  double guaranteed_minimum = 0;  ///< units of it for each registered sidecar, also without an allocator
  /// So many units may be spent in any span of this length; 0: units are held and released instead.
  Milliseconds window_ms = 0;

  bool is_rate() const { return window_ms > 0; }
};

struct QuotaConfig {
  std::vector<FleetBudget> budgets;
  int max_holders = 100;                  ///< sidecars that may have a part of the budgets
  Milliseconds grant_duration_ms = 2000;  ///< how long a grant lasts
  Milliseconds registration_duration_ms =
      60000;                      ///< how long the guaranteed minimum lasts without an allocator
  double max_clock_drift = 0.01;  ///< the fraction by which any clock's rate may be off

  /// How long `duration` by any clock can last by any other one.
  Milliseconds with_drift_margin(Milliseconds duration) const {
    return indigorill::with_drift_margin(duration, max_clock_drift);
  }
  /// What can be granted: the total less the guaranteed minimums of all that may be registered.
  double allocatable(const FleetBudget& budget) const {
    return budget.total - budget.guaranteed_minimum * max_holders;
  }
};

/// All of them are on, except in a test that shows what each one is for.
struct QuotaSafeguards {
  bool expire_from_request = true;       ///< a grant lasts from its request, not from its arrival
  bool wait_for_previous_grants = true;  ///< a new allocator waits for the end of what earlier ones granted
  bool count_outstanding_grants = true;  ///< a grant counts until it has certainly ended
  bool grant_within_lease = true;        ///< nothing is granted past the end of the leader's lease
  bool allow_clock_drift = true;  ///< the allocator counts grants for as long as the slowest clock takes
};

}  // namespace indigorill
