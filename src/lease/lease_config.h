/// \file
/// Settings of the leader election, and the safeguards that its tests switch off one by one.
#pragma once

#include <string>
#include <vector>

#include "clock/clock_drift.h"

namespace indigorill {

struct LeaseConfig {
  std::string name;                        ///< of this process
  std::vector<std::string> voters;         ///< an odd number of names; the same for all processes
  Milliseconds lease_duration_ms = 10000;  ///< by the holder's clock
  double max_clock_drift = 0.01;           ///< the fraction by which any clock's rate may be off
};

/// All of them are on, except in a test that shows what each one is for.
struct LeaseSafeguards {
  bool abstain_after_start = true;         ///< a restarted voter knows nothing of what it promised before
  bool expire_from_round_start = true;     ///< the holder counts from its first request, not the last reply
  bool yield_to_known_holder = true;       ///< a candidate that learns of another's lease does not propose
  bool reject_lower_ballots = true;        ///< a voter that promised a ballot rejects lower ones
  bool allow_clock_drift = true;           ///< voters wait for as long as the slowest holder's clock takes
  bool identify_holder_by_session = true;  ///< a restarted process is not the holder that it was
  bool check_expiry = true;                ///< the holder compares the time with the end of its lease
};

}  // namespace indigorill
