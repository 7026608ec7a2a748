/// \file
/// Divides budgets of the whole fleet among its sidecars, so that the units that all sidecars may spend never
/// exceed the total. No I/O; the caller supplies the time. Based on escrow (O'Neil, "The Escrow Transactional
/// Method", ACM TODS 11(4), 1986): a grant is subtracted from the total until it has certainly ended; and on
/// leases (Gray, Cheriton, SOSP 1989), which make that end certain.
///
/// Safety (never more than the total in use) depends on three conditions only: a grant lasts from its
/// request, by the client's clock; the allocator counts a grant from the time when it made the grant, for a
/// duration that is lengthened by the bound on clock drift; the allocator grants nothing that could outlast
/// the leader's lease. Safety does not depend on the delivery, order or number of messages, on synchronised
/// clocks, or on a view of the membership.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "clock/clock_drift.h"
#include "quota/demand_index.h"
#include "quota/quota_config.h"
#include "quota/quota_message.h"

namespace indigorill {

/// Runs in the leader's process; each term has an allocator of its own. All points in time are by this
/// process' clock. A budget is identified by its index in QuotaConfig::budgets.
class QuotaAllocator {
 public:
  explicit QuotaAllocator(QuotaConfig config, QuotaSafeguards safeguards = {});

  /// Begins the leader's term. Nothing granted in earlier terms is in use after `previous_leases_expired_at`.
  void start_term(Milliseconds now, Milliseconds previous_leases_expired_at);
  void set_total(std::size_t budget, double total) { config_.budgets[budget].total = total; }
  /// `lease_expires_at`: time until which this process is certainly the leader.
  QuotaGrant handle_request(Milliseconds now, Milliseconds lease_expires_at, const QuotaRequest& request);

  /// An upper bound on the units that clients can have in use by this allocator's grants.
  double max_in_use(Milliseconds now, std::size_t budget) const;
  std::size_t holder_count(Milliseconds now) const;
  /// Two allocators with the same digest behave alike from now on.
  std::string state_digest(Milliseconds now) const;
  /// Number of entries visited so far: the cost of all requests. The cost of one request must not grow faster
  /// than the logarithm of the number of holders.
  std::uint64_t step_count() const;
  std::size_t stored_grant_count() const;

 private:
  struct OutstandingGrant {
    std::uint64_t request_number = 0;
    std::vector<double> amounts = {};  // by budget
    Milliseconds expires_at = 0;  // by then the grant and the longest window after it have certainly ended
  };
  struct QuotaHolder {
    std::uint64_t last_request_number = 0;
    Milliseconds last_request_at = 0;
    Milliseconds registered_until = 0;
    std::vector<double> demands;     // by budget
    std::vector<double> max_in_use;  // by budget, as of the last review
    std::vector<OutstandingGrant> grants;
    Milliseconds next_review_at = 0;  // time when the next of its grants, or its place, ends
  };

  double max_in_use_by(const QuotaHolder& holder, Milliseconds now, std::size_t budget) const;
  bool is_active(const QuotaHolder& holder, Milliseconds now) const;
  Milliseconds place_ends_at(const QuotaHolder& holder) const;
  Milliseconds longest_window_margin() const;

  QuotaHolder& find_or_add_holder(std::uint64_t session);
  void record_request(QuotaHolder& holder, Milliseconds now, const QuotaRequest& request);
  void update_demands(QuotaHolder& holder, const QuotaRequest& request);
  QuotaGrant make_grant(QuotaHolder& holder, Milliseconds now, const QuotaRequest& request);
  double amount_for(const QuotaHolder& holder, Milliseconds now, std::uint64_t session,
                    std::size_t budget) const;
  static void store_grant(QuotaHolder& holder, OutstandingGrant grant);
  void review_holder(std::uint64_t session, QuotaHolder& holder, Milliseconds now);
  Milliseconds next_review_of(const QuotaHolder& holder, Milliseconds now) const;
  void remove_expired_holders(Milliseconds now);

  QuotaConfig config_;
  QuotaSafeguards safeguards_;
  Milliseconds may_grant_from_ = 0;
  Milliseconds unknown_registrations_expired_at_ = 0;
  std::map<std::uint64_t, QuotaHolder> holders_;  // by session

  // Updated with every change, so that a request does not iterate over all holders: with some thousands of
  // holders the iteration took more than one CPU core.
  std::vector<DemandIndex> demand_indexes_;                        // by budget
  std::vector<double> max_in_use_;                                 // by budget, of all holders
  std::set<std::pair<Milliseconds, std::uint64_t>> review_queue_;  // by next_review_at, then session
  std::uint64_t review_count_ = 0;
};

}  // namespace indigorill
