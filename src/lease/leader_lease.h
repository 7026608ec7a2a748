// The right to divide: one holder at a time, by majority of a few named voters, none of which has a disk. A
// lease in the manner of PaxosLease (Trencseni, Gazso, Reinhardt, "PaxosLease: Diskless Paxos for Leases",
// 2012). No I/O; clock and chance are given.
//
// What its safety rests on: majorities meet; rates of clocks stay within `drift` of true time; what is asked
// of `holds` is asked with the present time. Not on clocks that agree, on messages that come in time or once,
// on a timer that fires, on a view of the members.
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace indigorill {

// A later one leads. session: of one process, never used twice.
struct BallotNumber {
  std::uint64_t round = 0, session = 0;
  auto operator<=>(const BallotNumber&) const = default;
};

struct LeaseMessage {
  enum class Type : std::uint8_t {
    prepare,
    promise,
    propose,
    accepted,
    rejected,
    released
  } type = Type::prepare;
  BallotNumber ballot;
  std::string holder;                // promise, refused: whose lease the voter knows of, if it has not ended
  std::uint64_t holder_session = 0;  // of that holder
  double remaining_ms = 0;           // ms, of that lease
  double previous_leases_remaining_ms =
      0;  // ms, until all that was given under any lease known to the voter has ended
  bool operator==(const LeaseMessage&) const = default;
};

class LeaderLease {
 public:
  struct Config {
    std::string name;
    std::vector<std::string> voters;   // an odd number of names
    double lease_duration_ms = 10000;  // ms, of a lease by its holder's clock
    double max_clock_drift = 0.01;     // by how much any clock's rate may be off
  };
  struct OutgoingMessage {
    std::string recipient;  // a voter's name
    LeaseMessage message;
  };
  // Which guards stand; all of them, but in a test that shows what each one is for.
  struct Safeguards {
    bool abstain_after_start = true;  // a voter that comes back knows nothing of what it promised
    bool expire_from_round_start =
        true;                           // the holder counts from its first question, not from the last answer
    bool yield_to_known_holder = true;  // who hears of another's lease doesn't propose
    bool reject_lower_ballots = true;   // a voter that promised a later ballot refuses an earlier one
    bool allow_clock_drift = true;      // voters wait for as long as the slowest holder's clock takes
    bool identify_holder_by_session = true;  // a process is not the holder that it was before its restart
    bool check_expiry = true;
  };

  LeaderLease(Config with, std::uint64_t session, std::uint64_t seed, double now, Safeguards stand);
  LeaderLease(Config with, std::uint64_t session, std::uint64_t seed, double now)
      : LeaderLease(std::move(with), session, seed, now, Safeguards{}) {}

  void on_message(double now, const std::string& from, const LeaseMessage& w);
  void on_timer(double now);
  void start_round(double now);  // asks for it at once; due() does so in its time
  double next_timer_at() const;
  std::optional<OutgoingMessage> next_message();

  // Holds it at this very time; and for how long what is given now may last.
  bool is_holder(double now) const {
    return !has_resigned_ && is_held_ && (!safeguards_.check_expiry || now < expires_at_);
  }
  double expires_at() const { return expires_at_; }
  const BallotNumber& held_ballot() const { return held_ballot_; }
  // From when on nothing that was given under an earlier lease can still be in use.
  double previous_leases_expired_at() const { return previous_leases_expired_at_; }
  // Gives it up for good: nothing may be given after it.
  void resign(double now);

  bool is_voter() const { return is_voter_; }
  bool is_abstaining(double now) const { return now < may_vote_from_; }
  // Whom this voter knows to hold it, "" if none: a hint.
  std::string known_holder(double now) const;
  std::uint64_t session() const { return session_; }
  // Whether an answer of this kind to this ballot can still count.
  bool is_awaiting(const BallotNumber& of, LeaseMessage::Type answer) const {
    return of == round_ballot_ &&
           phase_ == (answer == LeaseMessage::Type::promise ? Phase::preparing : Phase::proposing);
  }
  // All that decides what it does from now on, but chance: two with the same text act alike.
  std::string state_digest(double now) const;
  // How long a time of `ms` by any clock can take by another one.
  double with_drift_margin(double ms) const {
    return safeguards_.allow_clock_drift ? ms * (1 + config_.max_clock_drift) / (1 - config_.max_clock_drift)
                                         : ms;
  }

 private:
  struct AcceptedLease {
    BallotNumber ballot;
    std::string holder;
    std::uint64_t holder_session = 0;
    double expires_at = 0;
    bool is_released = false;
  };

  std::optional<LeaseMessage> answer_as_voter(double now, const LeaseMessage& w);
  void on_reply(double now, const std::string& from, const LeaseMessage& w);
  void broadcast(double now, LeaseMessage w);
  void schedule_round(double now, double least);
  bool is_current(const AcceptedLease& r, double now) const { return !r.is_released && now < r.expires_at; }
  std::size_t majority() const { return config_.voters.size() / 2 + 1; }

  Config config_;
  Safeguards safeguards_;
  std::uint64_t session_;
  std::knuth_b random_;
  bool is_voter_, has_resigned_ = false;

  // As a voter.
  double may_vote_from_, accepted_leases_end_at_ = 0;
  BallotNumber promised_ballot_;
  std::optional<AcceptedLease> accepted_lease_;

  // As one that wants it.
  enum class Phase { idle, preparing, proposing } phase_ = Phase::idle;
  BallotNumber round_ballot_;
  std::uint64_t highest_round_ = 0;
  double round_started_at_ = 0, next_round_at_;
  std::set<std::string> supporters_;
  double reported_expiry_at_ = 0;
  bool is_held_ = false;
  double expires_at_ = 0, previous_leases_expired_at_ = 0;
  BallotNumber held_ballot_;
  std::vector<OutgoingMessage> outbox_;
};

}  // namespace indigorill
