/// \file
/// Leader election by a lease: at most one process holds it at a time, granted by a majority of a few named
/// voters, none of which has a disk. After PaxosLease (Trencseni, Gazso, Reinhardt, "PaxosLease: Diskless
/// Paxos for Leases", 2012). No I/O; clock and random seed are given.
///
/// Safety (never two holders) rests on three things alone: any two majorities share a voter; the rate of each
/// clock stays within LeaseConfig::max_clock_drift of true time; is_holder() is called with the present time.
/// It does not rest on synchronised clocks, on messages that arrive in time, in order or once, on timers that
/// fire, nor on a view of the membership.
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

/// One process' part in the election: candidate and holder, and voter if it is named as one. Only voters are
/// candidates. All points in time are by this process' clock.
class LeaderLease {
 public:
  using Config = LeaseConfig;
  using Safeguards = LeaseSafeguards;

  struct OutgoingMessage {
    std::string recipient;  ///< a voter's name
    LeaseMessage message;
  };

  /// `session` identifies this run of the process and must never be used twice.
  LeaderLease(Config config, std::uint64_t session, std::uint64_t seed, Milliseconds now,
              Safeguards safeguards = {});

  /// Takes in a message; one whose sender is no voter is dropped.
  void on_message(Milliseconds now, const std::string& sender, const LeaseMessage& message);
  /// Starts a round if one is due; to be called at next_timer_at() or later.
  void on_timer(Milliseconds now);
  /// Asks for the lease, or for its renewal, at once.
  void start_round(Milliseconds now);
  /// Infinite for a process that is no candidate.
  Milliseconds next_timer_at() const;
  /// The next message to be sent, if any; to be called until there is none.
  std::optional<OutgoingMessage> next_message();

  /// Whether this process is the leader at this very moment.
  bool is_holder(Milliseconds now) const;
  /// The end of the lease; what the leader grants must not outlive it. Means something for the holder alone.
  Milliseconds expires_at() const { return expires_at_; }
  const BallotNumber& held_ballot() const { return held_ballot_; }
  /// From when on nothing that was granted under an earlier lease can still be in use.
  Milliseconds previous_leases_expired_at() const { return previous_leases_expired_at_; }
  /// Gives up the lease and the candidacy for good; nothing may be granted afterwards.
  void resign(Milliseconds now);

  bool is_voter() const { return is_voter_; }
  bool is_abstaining(Milliseconds now) const { return voter_.is_abstaining(now); }
  /// Whom this process believes to be the holder, empty if nobody: a hint.
  std::string known_holder(Milliseconds now) const;
  /// Whether a reply of this type to this ballot can still count.
  bool is_awaiting(const BallotNumber& ballot, LeaseMessage::Type reply) const;
  /// All that decides its behaviour from now on, randomness aside.
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
  /// For how long a round waits for its majority.
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
  std::uint64_t highest_round_ = 0;  // of all that it heard of
  Milliseconds round_started_at_ = 0;
  Milliseconds next_round_at_;
  int unanswered_rounds_ = 0;            // in a row
  std::set<std::string> supporters_;     // voters that agreed in this phase
  Milliseconds reported_expiry_at_ = 0;  // of all earlier leases, by the promises of this round

  // The lease that it holds or held.
  bool is_held_ = false;
  Milliseconds expires_at_ = 0;
  Milliseconds previous_leases_expired_at_ = 0;
  BallotNumber held_ballot_;

  std::vector<OutgoingMessage> outbox_;
};

}  // namespace indigorill
