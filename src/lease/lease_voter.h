/// \file
/// The voter's (acceptor's) side of the leader election: what one voter promised and accepted. No I/O; the
/// clock is given.
#pragma once

#include <optional>
#include <string>

#include "clock/clock_drift.h"
#include "lease/lease_config.h"
#include "lease/lease_message.h"
#include "verification/state_digest.h"

namespace indigorill {

/// Has no disk: after a start it abstains until every lease that it may have accepted before has ended.
class LeaseVoter {
 public:
  struct AcceptedLease {
    BallotNumber ballot;
    std::string holder;
    std::uint64_t holder_session = 0;
    Milliseconds expires_at = 0;  ///< by this clock; by then the holder's own count has certainly ended
    bool is_released = false;
  };

  /// A voter that starts at `now`.
  LeaseVoter(const LeaseConfig& config, LeaseSafeguards safeguards, Milliseconds now);

  /// The reply to a prepare or propose message; none while it abstains, nor to any other message.
  std::optional<LeaseMessage> reply_to(Milliseconds now, const LeaseMessage& request);
  /// Takes in that a holder gave up its lease. True if it was the one that this voter had accepted.
  bool on_released(Milliseconds now, const LeaseMessage& message);

  bool is_abstaining(Milliseconds now) const { return now < may_vote_from_; }
  Milliseconds may_vote_from() const { return may_vote_from_; }
  /// The lease that is neither released nor expired, nullptr if there is none. Valid until the next call.
  const AcceptedLease* current_lease(Milliseconds now) const;
  void write_digest(StateDigest& digest) const;

 private:
  LeaseMessage make_reply(Milliseconds now, LeaseMessage::Type type, BallotNumber ballot) const;
  LeaseMessage reply_to_prepare(Milliseconds now, const LeaseMessage& request);
  LeaseMessage reply_to_propose(Milliseconds now, const LeaseMessage& request);

  Milliseconds accepted_duration_;  // of a lease, by whichever clock it lasts longest
  bool rejects_lower_ballots_;
  Milliseconds may_vote_from_;
  Milliseconds accepted_leases_end_at_ = 0;  // of all that it ever accepted
  BallotNumber promised_ballot_;
  std::optional<AcceptedLease> accepted_lease_;
};

}  // namespace indigorill
