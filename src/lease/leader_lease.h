/// \file
/// Leader election by a lease. A majority of a few named voters grants the lease to at most one process at a
/// time; voters keep nothing on disk. Based on PaxosLease (Trencseni, Gazso, Reinhardt, "PaxosLease: Diskless
/// Paxos for Leases", 2012). No I/O; the caller supplies the time and the random seed.
///
/// Safety (never two holders) depends on three conditions only: any two majorities share a voter; the rate of
/// each clock stays within LeaseConfig::max_clock_drift of true time; is_holder() is called with the present
/// time. Safety does not depend on synchronised clocks, on messages that arrive in time, in order or exactly
/// once, on timers that fire, or on a view of the membership.
#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "clock/clock_drift.h"
#include "lease/lease_config.h"
#include "lease/lease_message.h"
#include "lease/lease_voter.h"
#include "verification/state_digest.h"

namespace indigorill {

/// One process' part in the election, as voter, candidate and holder. Only the named voters vote, and only
/// they are candidates. All points in time are by this process' clock.
class LeaderLease {
 public:
  using Config = LeaseConfig;
  using Safeguards = LeaseSafeguards;

  struct OutgoingMessage {
    std::string recipient;  ///< name of a voter
    LeaseMessage message;
  };

  /// `session` identifies this run of the process and must never be used twice.
  LeaderLease(Config config, std::uint64_t session, std::uint64_t seed, Milliseconds now,
              Safeguards safeguards = {});

  /// Handles a message; drops it if its sender is not a voter.
  void on_message(Milliseconds now, const std::string& sender, const LeaseMessage& message);
  /// Starts a round if one is due. To be called at next_timer_at() or later.
  void on_timer(Milliseconds now);
  /// Starts a round at once, to obtain the lease or to renew it.
  void start_round(Milliseconds now);
  /// Time when on_timer() is to be called; infinity for a process that is not a candidate.
  Milliseconds next_timer_at() const;
  /// Removes and returns the next message to send, if any. To be called until there is none.
  std::optional<OutgoingMessage> next_message();

  /// Whether this process is the leader at `now`, which must be the present time.
  bool is_holder(Milliseconds now) const;
  /// End of the lease; nothing that the leader grants may outlast it. Meaningful for the holder only.
  Milliseconds expires_at() const { return expires_at_; }
  const BallotNumber& held_ballot() const { return held_ballot_; }
  /// Time from which nothing that was granted under an earlier lease can still be in use.
  Milliseconds previous_leases_expired_at() const { return previous_leases_expired_at_; }
  /// Gives up the lease and the candidacy permanently; the caller must not grant anything afterwards.
  void resign(Milliseconds now);

  bool is_voter() const { return is_voter_; }
  bool is_abstaining(Milliseconds now) const { return voter_.is_abstaining(now); }
  /// Name of the holder as far as this process knows, empty if it knows of none. Only a hint.
  std::string known_holder(Milliseconds now) const;
  /// Whether a reply of this type to this ballot can still count.
  bool is_awaiting(const BallotNumber& ballot, LeaseMessage::Type reply) const;
  /// Digest of the state that decides the future behaviour, apart from the random generator, the times of
  /// rounds and messages that are not sent yet.
  std::string state_digest(Milliseconds now) const;

 private:
  enum class Phase { idle, preparing, proposing };

  void on_reply(Milliseconds now, const std::string& sender, const LeaseMessage& reply);
  void on_rejection(Milliseconds now, const LeaseMessage& reply);
  void on_promise(Milliseconds now, const std::string& sender, const LeaseMessage& reply);
  void on_accepted(Milliseconds now, const std::string& sender);
  void hold_lease(Milliseconds now);
  bool is_own_lease(const LeaseMessage& reply) const;

  void request_votes(Milliseconds now, LeaseMessage::Type type);
  void send_to_others(const LeaseMessage& message);
  LeaseMessage make_message(LeaseMessage::Type type, const BallotNumber& ballot) const;
  void schedule_round(Milliseconds now, Milliseconds delay);
  /// Time that a round waits for a majority.
  Milliseconds round_timeout() const;
  bool is_candidate() const { return is_voter_ && !has_resigned_; }
  std::size_t majority() const { return config_.voters.size() / 2 + 1; }

  Config config_;
  Safeguards safeguards_;
  std::uint64_t session_;
  std::knuth_b random_;
  bool is_voter_;
  bool has_resigned_ = false;
  LeaseVoter voter_;

  // The present round.
  Phase phase_ = Phase::idle;
  BallotNumber round_ballot_;
  std::uint64_t highest_round_ = 0;  // of this process and of all replies
  Milliseconds round_started_at_ = 0;
  Milliseconds next_round_at_;
  int unanswered_rounds_ = 0;            // rounds without a majority since the last prompt one
  std::set<std::string> supporters_;     // voters that agreed in this phase
  Milliseconds reported_expiry_at_ = 0;  // end of all earlier leases, by the promises of this round

  // The lease that this process holds or held last.
  bool is_held_ = false;
  Milliseconds expires_at_ = 0;
  Milliseconds previous_leases_expired_at_ = 0;
  BallotNumber held_ballot_;

  std::vector<OutgoingMessage> outbox_;
};

}  // namespace indigorill
