/// \file
/// Divides budgets of the whole fleet among its sidecars, so that all they may spend never adds up to more
/// than the total. No I/O; the clock is given. After escrow (O'Neil, "The Escrow Transactional Method", ACM
/// TODS 11(4), 1986): a grant is taken off the total until it has certainly ended; and leases (Gray,
/// Cheriton, SOSP 1989), which make that end certain.
///
/// Safety (never more than the total in use) rests on three things alone: a grant lasts from its request, by
/// the client's clock; the allocator counts it from when it made the grant, lengthened by the bound on clock
/// drift; nothing is granted that could outlive the leader's lease. It does not rest on messages, their order
/// or number, on synchronised clocks, nor on a view of the membership.
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

/// Runs in the leader's process, one for each term. All points in time are by this process' clock; a budget
/// is named by its index in QuotaConfig::budgets.
class QuotaAllocator {
 public:
  explicit QuotaAllocator(QuotaConfig config, QuotaSafeguards safeguards = {});

  /// The leader's term begins; nothing granted in earlier terms is in use after `previous_leases_expired_at`.
  void start_term(Milliseconds now, Milliseconds previous_leases_expired_at);
  void set_total(std::size_t budget, double total) { config_.budgets[budget].total = total; }
  /// `lease_expires_at`: until when this process is certainly the leader.
  QuotaGrant handle_request(Milliseconds now, Milliseconds lease_expires_at, const QuotaRequest& request);

  /// An upper bound on the units that clients can have in use by this allocator's grants.
  double max_in_use(Milliseconds now, std::size_t budget) const;
  std::size_t holder_count(Milliseconds now) const;
  /// Two allocators with the same digest behave alike from now on.
  std::string state_digest(Milliseconds now) const;
  /// Entries looked at so far, the cost of all requests: must not grow with the holders beyond a logarithm.
  std::uint64_t step_count() const;
  std::size_t stored_grant_count() const;

 private:
  struct OutstandingGrant {
    std::uint64_t request_number = 0;
    std::vector<double> amounts = {};  // by budget
    Milliseconds expires_at = 0;       // by then it has certainly ended, the budget's window included
  };
  struct QuotaHolder {
    std::uint64_t last_request_number = 0;
    Milliseconds last_request_at = 0;
    Milliseconds registered_until = 0;
    std::vector<double> demands;     // by budget
    std::vector<double> max_in_use;  // by budget, as of the last review
    std::vector<OutstandingGrant> grants;
    Milliseconds next_review_at = 0;  // when the next of its entries ends
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

  // Kept up to date with every change, so that a request does not go over all holders: with some thousands of
  // them that took more than a core.
  std::vector<DemandIndex> demand_indexes_;                        // by budget
  std::vector<double> max_in_use_;                                 // by budget, of all holders
  std::set<std::pair<Milliseconds, std::uint64_t>> review_queue_;  // by next_review_at, then session
  std::uint64_t review_count_ = 0;
};

}  // namespace indigorill
