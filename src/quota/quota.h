// A budget of the whole fleet, divided among its sidecars so that all they may spend never adds up to more.
// No I/O; clocks are given. After escrow (O'Neil, "The Escrow Transactional Method", ACM TODS 11(4), 1986):
// what is given is taken off the whole until its end is certain, and leases (Gray, Cheriton, SOSP 1989) make
// that end certain.
//
// What its safety rests on: a share lasts from its asking, by its holder's clock; the divider counts it from
// its giving, stretched by the bound on clocks' rates; nothing is given that could outlive the divider's own
// right. Not on messages, their order or number, on clocks that agree, nor on who is thought to be there.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "quota/demand_index.h"

namespace indigorill {

struct FleetBudget {
  std::string name;
  double total = 0;               // units, of all together
  double guaranteed_minimum = 0;  // of these, to each that was admitted, also with no divider
  double window_ms = 0;           // ms: so many units are spent in any such span; 0: held at once
};

struct QuotaConfig {
  std::vector<FleetBudget> budgets;
  int max_holders = 100;                    // sidecars that may have any of it
  double grant_duration_ms = 2000;          // ms, for which a share lasts
  double registration_duration_ms = 60000;  // ms, for which the floor lasts without a divider
  double max_clock_drift = 0.01;            // by how much any clock's rate may be off
  double with_drift_margin(double ms) const { return ms * (1 + max_clock_drift) / (1 - max_clock_drift); }
  // What is divided: the floors of all that may be there are set aside.
  double allocatable(const FleetBudget& b) const { return b.total - b.guaranteed_minimum * max_holders; }
};

struct QuotaRequest {
  std::uint64_t session = 0, request_number = 0;  // of the asker's process, and of this question
  std::uint64_t oldest_grant_in_use = 0;  // the question whose answer it goes by; earlier ones are void
  double registration_remaining_ms = 0;   // ms
  std::vector<double> demands;            // by budget
  bool operator==(const QuotaRequest&) const = default;
};

struct QuotaGrant {
  enum class Status : std::uint8_t { granted, not_ready, at_capacity, not_leader } status = Status::granted;
  std::uint64_t session = 0, request_number = 0;         // of the question
  double duration_ms = 0, registration_duration_ms = 0;  // ms, from the question; seat 0: no floor yet
  std::vector<double> amounts, guaranteed_minimums;      // by budget
  std::string leader;                                    // not_mine: whom to ask, "" if unknown
  bool operator==(const QuotaGrant&) const = default;
};

// Which guards stand; all, but in a test that shows what each is for.
struct QuotaSafeguards {
  bool expire_from_request = true;       // a share lasts from its question, not from the answer
  bool wait_for_previous_grants = true;  // a new divider waits for the end of what earlier ones gave
  bool count_outstanding_grants = true;  // what was given counts until its end is certain
  bool grant_within_lease = true;        // nothing is given past the divider's own right
  bool allow_clock_drift = true;
};

// With the right to divide: who has what.
class QuotaAllocator {
 public:
  explicit QuotaAllocator(QuotaConfig with, QuotaSafeguards g = {});

  // The right begins: nothing that was given before it is in use after quiet_from.
  void start_term(double now, double quiet_from);
  void set_total(std::size_t budget, double now_whole) { config_.budgets[budget].total = now_whole; }
  // right_ends: until when this process certainly has the right.
  QuotaGrant handle_request(double now, double right_ends, const QuotaRequest& a);
  double max_in_use(double now, std::size_t budget) const;  // in use at most
  std::size_t holder_count(double now) const;
  std::string state_digest(double now) const;  // two with the same text act alike from now on
  // What the answers so far cost, in entries looked at: must not grow with the sharers beyond a logarithm.
  std::uint64_t step_count() const;
  std::size_t stored_grant_count() const;  // grants, of all sharers

 private:
  struct OutstandingGrant {
    std::uint64_t request_number = 0;
    std::vector<double> amounts;
    double expires_at = 0;  // by this clock, certainly over
  };
  struct QuotaHolder {
    std::uint64_t last_request_number = 0;  // question
    double last_request_at = 0, registered_until = 0;
    std::vector<double> demands, max_in_use;  // by budget; in_use: at most, as it was when last looked at
    std::vector<OutstandingGrant> grants;
    double next_review_at = 0;  // when something of it ends next
  };
  double longest_window_ms() const;
  double max_in_use_by(const QuotaHolder& s, double now, std::size_t budget) const;
  bool is_active(const QuotaHolder& s, double now) const;
  double with_drift_margin(double ms) const {
    return safeguards_.allow_clock_drift ? config_.with_drift_margin(ms) : ms;
  }
  QuotaHolder& find_or_add_holder(std::uint64_t session);
  void update_demands(std::uint64_t session, QuotaHolder& s, const std::vector<double>& wants);
  void store_grant(QuotaHolder& s, OutstandingGrant g);
  void review_holder(std::uint64_t session, QuotaHolder& s, double now);
  void remove_expired_holders(double now);

  QuotaConfig config_;
  QuotaSafeguards safeguards_;
  double may_grant_from_ = 0, unknown_registrations_expired_at_ = 0;
  std::map<std::uint64_t, QuotaHolder> holders_;  // by session
  // Kept up with every change, so that an answer doesn't go over all sharers: at some thousands that was more
  // than a core can do.
  std::vector<DemandIndex> demand_indexes_;                  // by budget
  std::vector<double> max_in_use_;                           // by budget, of all sharers
  std::set<std::pair<double, std::uint64_t>> review_queue_;  // by look_at
  std::uint64_t review_count_ = 0;
};

// What one sidecar may spend.
class QuotaClient {
 public:
  struct Counters {
    std::uint64_t granted = 0, denied = 0;
  };

  QuotaClient(QuotaConfig with, std::uint64_t session, QuotaSafeguards g = {});

  QuotaRequest make_request(double now);
  void on_grant(double now, const QuotaGrant& g);
  double allowance(double now, std::size_t budget) const;  // share and floor
  double available(double now, std::size_t budget);        // to be spent now
  bool try_acquire(double now, std::size_t budget);        // spent or held, or counted as denied
  void record_demand(double now, std::size_t budget) { add_demand(now, budget); }  // in vain, without a try
  void release(std::size_t budget);                                                // of what is held at once

  bool has_grant(double now) const { return now < grant_expires_at_; }
  bool is_registered(double now) const { return now < registered_until_; }
  bool is_rejected_at_capacity() const {
    return rejected_at_capacity_;
  }  // more sidecars than allowed: this one has nothing
  std::uint64_t session() const { return session_; }
  std::string state_digest(double now) const;  // two with the same text act alike from now on
  const Counters& counters(std::size_t budget) const { return counters_[budget]; }

 private:
  void add_demand(double now, std::size_t budget);
  void expire_history(double now, std::size_t budget);
  double window_ms(std::size_t budget) const {
    return config_.with_drift_margin(config_.budgets[budget].window_ms);
  }

  QuotaConfig config_;
  QuotaSafeguards safeguards_;
  std::uint64_t session_, last_request_number_ = 0, current_grant_ = 0, oldest_grant_in_use_ = 0;
  std::map<std::uint64_t, double> request_times_;  // when
  std::vector<double> amounts_, guaranteed_minimums_;
  double grant_expires_at_ = 0, registered_until_ = 0;
  bool rejected_at_capacity_ = false;
  std::vector<std::deque<double>> acquired_at_, demanded_at_;  // when; held: spent alone
  std::vector<double> smoothed_demands_;
  std::vector<Counters> counters_;
};

}  // namespace indigorill
