/// \file
/// Settings of the leader election, and the safeguards that its tests switch off one by one.
#pragma once

#include <string>
#include <vector>

#include "clock/clock_drift.h"

namespace indigorill {

struct LeaseConfig {
  std::string name;                        ///< name of this process
  std::vector<std::string> voters;         ///< names of the voters: an odd number, the same for all processes
  Milliseconds lease_duration_ms = 10000;  ///< duration of a lease, by the holder's clock
  double max_clock_drift = 0.01;           ///< maximum relative error of the rate of any clock
};

/// All are on in production. Tests switch off one at a time to show the failure that it prevents.
struct LeaseSafeguards {
  bool abstain_after_start = true;  ///< a restarted voter, which lost its promises, does not vote at first
  bool expire_from_round_start = true;  ///< a lease lasts from the holder's first request, not the last reply
  bool yield_to_known_holder = true;  ///< a candidate that learns of another process' lease does not propose
  bool reject_lower_ballots = true;   ///< a voter that promised a ballot rejects lower ones
  bool allow_clock_drift = true;  ///< durations by other processes' clocks are lengthened by the drift bound
  bool identify_holder_by_session = true;  ///< a restarted process does not take its former lease for its own
  bool check_expiry = true;                ///< the holder compares the time with the end of its lease
};

}  // namespace indigorill
