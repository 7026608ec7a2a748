/// \file
/// One sidecar's side of the quota: requests a part of the fleet's budgets from the allocator, and counts the
/// units of it that the sidecar spends. No I/O; the caller supplies the time.
///
/// Safety requires that a grant lasts from its request, by this process' clock, and that this clock is read
/// at the moment when a unit is spent: see quota/quota_allocator.h.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "clock/clock_drift.h"
#include "quota/quota_config.h"
#include "quota/quota_message.h"

namespace indigorill {

/// A budget is identified by its index in QuotaConfig::budgets.
class QuotaClient {
 public:
  struct Counters {
    std::uint64_t granted = 0;
    std::uint64_t denied = 0;
  };

  /// `session` identifies this run of the process and must never be used twice.
  QuotaClient(QuotaConfig config, std::uint64_t session, QuotaSafeguards safeguards = {});

  /// Creates the next request, to be sent to the leader.
  QuotaRequest make_request(Milliseconds now);
  /// Handles a reply; drops it if a later request was granted already, or if it is of another session.
  void on_grant(Milliseconds now, const QuotaGrant& grant);

  /// Units that this sidecar may spend or hold: those granted and the guaranteed minimum.
  double allowance(Milliseconds now, std::size_t budget) const;
  /// Units of the allowance that are left.
  double available(Milliseconds now, std::size_t budget);
  /// Spends or holds one unit. False, and counted as denied, if none is available.
  bool try_acquire(Milliseconds now, std::size_t budget);
  /// Counts one unit as demanded without an attempt to acquire it.
  void record_demand(Milliseconds now, std::size_t budget);
  /// Releases one unit of a budget whose units are held, not spent.
  void release(std::size_t budget);

  bool has_grant(Milliseconds now) const { return now < grant_expires_at_; }
  bool is_registered(Milliseconds now) const { return now < registered_until_; }
  /// True if the allocator refused this sidecar, as QuotaConfig::max_holders others have a place already.
  bool is_rejected_at_capacity() const { return rejected_at_capacity_; }
  const Counters& counters(std::size_t budget) const { return budgets_[budget].counters; }
  /// Two clients with the same digest behave alike from now on.
  std::string state_digest(Milliseconds now) const;

 private:
  /// This sidecar's use of one budget.
  struct Usage {
    double granted_amount = 0;
    double guaranteed_minimum = 0;
    std::deque<Milliseconds> acquired_at;  // in the latest window, or of all units that are held
    std::deque<Milliseconds> demanded_at;  // in the latest window or grant duration
    double smoothed_demand = 0;
    Counters counters;
  };

  void expire_history(Milliseconds now, std::size_t budget);
  double update_demand(Milliseconds now, std::size_t budget);
  bool holds_more_than_allowance(Milliseconds now) const;

  QuotaConfig config_;
  QuotaSafeguards safeguards_;
  std::uint64_t session_;
  std::uint64_t last_request_number_ = 0;
  std::uint64_t current_grant_ = 0;  // number of the request that was granted
  std::uint64_t oldest_grant_in_use_ = 0;
  std::map<std::uint64_t, Milliseconds> requested_at_;  // of requests without a reply, by number
  Milliseconds grant_expires_at_ = 0;
  Milliseconds registered_until_ = 0;
  bool rejected_at_capacity_ = false;
  std::vector<Usage> budgets_;
};

}  // namespace indigorill
