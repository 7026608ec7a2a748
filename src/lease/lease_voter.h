/// \file
/// The voter's (acceptor's) side of the leader election: the promise and the accepted lease of one voter. No
/// I/O; the caller supplies the time.
#pragma once

#include <optional>
#include <string>

#include "clock/clock_drift.h"
#include "lease/lease_config.h"
#include "lease/lease_message.h"
#include "verification/state_digest.h"

namespace indigorill {

/// Keeps nothing on disk. After a start it abstains until every lease that it may have accepted has ended.
class LeaseVoter {
 public:
  struct AcceptedLease {
    BallotNumber ballot;
    std::string holder;
    std::uint64_t holder_session = 0;
    Milliseconds expires_at = 0;  ///< by this voter's clock; by the holder's clock the lease ends no later
    bool is_released = false;
  };

  /// Creates a voter that starts at `now`.
  LeaseVoter(const LeaseConfig& config, LeaseSafeguards safeguards, Milliseconds now);

  /// The reply to a prepare or propose message; none while the voter abstains, and none to other messages.
  std::optional<LeaseMessage> reply_to(Milliseconds now, const LeaseMessage& request);
  /// Records that a holder gave up its lease. False if this voter abstains or has not accepted that lease.
  bool on_released(Milliseconds now, const LeaseMessage& message);

  bool is_abstaining(Milliseconds now) const { return now < may_vote_from_; }
  Milliseconds may_vote_from() const { return may_vote_from_; }
  /// The accepted lease, nullptr if there is none or it is released or expired. Valid until the next call.
  const AcceptedLease* current_lease(Milliseconds now) const;
  void write_digest(StateDigest& digest) const;

 private:
  LeaseMessage make_reply(Milliseconds now, LeaseMessage::Type type, BallotNumber ballot) const;
  LeaseMessage reply_to_prepare(Milliseconds now, const LeaseMessage& request);
  LeaseMessage reply_to_propose(Milliseconds now, const LeaseMessage& request);

  Milliseconds accepted_duration_;  // lease duration, lengthened by the drift bound
  bool rejects_lower_ballots_;
  Milliseconds may_vote_from_;
  Milliseconds accepted_leases_end_at_ = 0;  // latest end of all leases accepted so far
  BallotNumber promised_ballot_;
  std::optional<AcceptedLease> accepted_lease_;
};

}  // namespace indigorill
