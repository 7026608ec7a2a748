/// \file
/// Durations measured by clocks that do not agree: each process uses its own clock, whose rate is off by a
/// bounded fraction. No I/O; the caller always passes the time.
#pragma once

namespace indigorill {

/// A duration, or a point in time of one process' own clock, in milliseconds.
using Milliseconds = double;

/// Returns how long a `duration` measured by one clock can be by any other clock, if the rate of each is off
/// by at most the fraction `max_clock_drift` of true time.
constexpr Milliseconds with_drift_margin(Milliseconds duration, double max_clock_drift) {
  return duration * (1 + max_clock_drift) / (1 - max_clock_drift);
}

}  // namespace indigorill
