#include "lease/leader_lease.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace indigorill {
namespace {

using Type = LeaseMessage::Type;

/// Fraction of the lease duration. A candidate starts a new round if the present one has no majority after
/// this time plus a random delay of up to the same time, which spreads the rounds of different candidates.
constexpr double round_timeout_fraction = 1.0 / 8;
/// Each round that times out without a majority doubles the timeout of the next one, as voters may be slow.
/// The maximum is half a lease duration, which leaves time to use the lease.
constexpr int max_timeout_doublings = 2;
/// A lease is renewed after this fraction of its duration, so that there is usually time for another round if
/// one fails. After several slow or failed rounds the timeout of a round can be longer than the time left.
constexpr double renewal_fraction = 1.0 / 3;

bool contains(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

LeaseConfig apply_safeguards(LeaseConfig config, const LeaseSafeguards& safeguards) {
  if (!safeguards.allow_clock_drift) config.max_clock_drift = 0;
  return config;
}

}  // namespace

LeaderLease::LeaderLease(Config config, std::uint64_t session, std::uint64_t seed, Milliseconds now,
                         Safeguards safeguards)
    : config_(apply_safeguards(std::move(config), safeguards)),
      safeguards_(safeguards),
      session_(session),
      random_(static_cast<std::knuth_b::result_type>(seed)),
      is_voter_(contains(config_.voters, config_.name)),
      voter_(config_, safeguards, now),
      next_round_at_(voter_.may_vote_from()) {
  schedule_round(now, voter_.may_vote_from() - now);
}

Milliseconds LeaderLease::next_timer_at() const {
  return is_candidate() ? next_round_at_ : std::numeric_limits<Milliseconds>::infinity();
}

std::optional<LeaderLease::OutgoingMessage> LeaderLease::next_message() {
  if (outbox_.empty()) return {};
  OutgoingMessage message = std::move(outbox_.front());
  outbox_.erase(outbox_.begin());
  return message;
}

bool LeaderLease::is_holder(Milliseconds now) const {
  return !has_resigned_ && is_held_ && (!safeguards_.check_expiry || now < expires_at_);
}

std::string LeaderLease::known_holder(Milliseconds now) const {
  if (is_holder(now)) return config_.name;
  const LeaseVoter::AcceptedLease* lease = voter_.current_lease(now);
  return lease ? lease->holder : "";
}

bool LeaderLease::is_awaiting(const BallotNumber& ballot, Type reply) const {
  const Phase phase = reply == Type::promise ? Phase::preparing : Phase::proposing;
  return ballot == round_ballot_ && phase_ == phase;
}

void LeaderLease::schedule_round(Milliseconds now, Milliseconds delay) {
  next_round_at_ = now + delay + std::uniform_real_distribution<double>(0, round_timeout())(random_);
}

Milliseconds LeaderLease::round_timeout() const {
  const int doublings = std::min(unanswered_rounds_, max_timeout_doublings);
  return std::ldexp(round_timeout_fraction * config_.lease_duration_ms, doublings);
}

LeaseMessage LeaderLease::make_message(Type type, const BallotNumber& ballot) const {
  return {.type = type, .ballot = ballot, .holder = config_.name, .holder_session = session_};
}

void LeaderLease::send_to_others(const LeaseMessage& message) {
  for (const std::string& voter : config_.voters) {
    if (voter != config_.name) outbox_.push_back({voter, message});
  }
}

void LeaderLease::request_votes(Milliseconds now, Type type) {
  const LeaseMessage request = make_message(type, round_ballot_);
  send_to_others(request);
  // This process votes like any other voter; its vote is taken last, as it may complete the majority at once.
  if (const auto reply = voter_.reply_to(now, request)) on_reply(now, config_.name, *reply);
}

void LeaderLease::start_round(Milliseconds now) {
  if (!is_candidate()) return;
  if (phase_ != Phase::idle) ++unanswered_rounds_;
  phase_ = Phase::preparing;
  round_ballot_ = {.round = ++highest_round_, .session = session_};
  round_started_at_ = now;
  supporters_.clear();
  reported_expiry_at_ = 0;
  schedule_round(now, round_timeout());
  request_votes(now, Type::prepare);
}

void LeaderLease::on_timer(Milliseconds now) {
  if (!is_candidate() || now < next_round_at_) return;
  if (is_held_ && now >= expires_at_) is_held_ = false;
  const LeaseVoter::AcceptedLease* lease = voter_.current_lease(now);
  const bool is_held_by_another = !is_held_ && lease && lease->holder_session != session_;
  if (is_held_by_another) {
    schedule_round(now, lease->expires_at - now);
    return;
  }
  start_round(now);
}

void LeaderLease::on_message(Milliseconds now, const std::string& sender, const LeaseMessage& message) {
  if (!contains(config_.voters, sender)) return;
  switch (message.type) {
    case Type::prepare:
    case Type::propose:
      if (!is_voter_) return;
      if (const auto reply = voter_.reply_to(now, message)) outbox_.push_back({sender, *reply});
      return;
    case Type::released:
      if (is_voter_ && voter_.on_released(now, message) && !is_held_) schedule_round(now, 0);
      return;
    default:
      on_reply(now, sender, message);
  }
}

void LeaderLease::on_reply(Milliseconds now, const std::string& sender, const LeaseMessage& reply) {
  if (has_resigned_) return;
  highest_round_ = std::max(highest_round_, reply.ballot.round);
  if (reply.type == Type::rejected) {
    on_rejection(now, reply);
    return;
  }
  if (reply.ballot != round_ballot_) return;
  if (reply.type == Type::promise && phase_ == Phase::preparing) {
    on_promise(now, sender, reply);
  } else if (reply.type == Type::accepted && phase_ == Phase::proposing) {
    on_accepted(now, sender);
  }
}

// Another candidate has a higher ballot or holds the lease. on_reply() has recorded the round of the
// rejection, so that the next round is higher.
void LeaderLease::on_rejection(Milliseconds now, const LeaseMessage& reply) {
  const bool is_held_by_another = reply.remaining_ms > 0 && reply.holder_session != session_;
  if (is_held_by_another && !is_held_) schedule_round(now, reply.remaining_ms);
}

bool LeaderLease::is_own_lease(const LeaseMessage& reply) const {
  return safeguards_.identify_holder_by_session ? reply.holder_session == session_
                                                : reply.holder == config_.name;
}

void LeaderLease::on_promise(Milliseconds now, const std::string& sender, const LeaseMessage& reply) {
  const bool is_own = is_own_lease(reply);
  if (safeguards_.yield_to_known_holder && !reply.holder.empty() && !is_own) {
    if (!is_held_) schedule_round(now, reply.remaining_ms);
    return;
  }
  if (!is_own || !is_holder(now)) {
    const Milliseconds remaining =
        with_drift_margin(reply.previous_leases_remaining_ms, config_.max_clock_drift);
    reported_expiry_at_ = std::max(reported_expiry_at_, now + remaining);
  }
  supporters_.insert(sender);
  if (supporters_.size() < majority()) return;
  phase_ = Phase::proposing;
  supporters_.clear();
  request_votes(now, Type::propose);
}

void LeaderLease::on_accepted(Milliseconds now, const std::string& sender) {
  supporters_.insert(sender);
  if (supporters_.size() < majority()) return;
  phase_ = Phase::idle;
  const bool was_prompt = now - round_started_at_ < round_timeout_fraction * config_.lease_duration_ms;
  if (was_prompt) unanswered_rounds_ = 0;
  hold_lease(now);
}

void LeaderLease::hold_lease(Milliseconds now) {
  // The duration counts from the first request of the round; voters count it from their replies, which come
  // later. If a voter restarts after its promise, the lease that results from this promise has therefore
  // ended by the time the voter votes again.
  const Milliseconds counted_from = safeguards_.expire_from_round_start ? round_started_at_ : now;
  const Milliseconds expires_at = counted_from + config_.lease_duration_ms;
  if (now >= expires_at && safeguards_.check_expiry) return;
  const bool is_renewal = is_held_ && now < expires_at_;
  if (!is_renewal) previous_leases_expired_at_ = reported_expiry_at_;
  is_held_ = true;
  expires_at_ = expires_at;
  held_ballot_ = round_ballot_;
  next_round_at_ = now + renewal_fraction * config_.lease_duration_ms;
}

void LeaderLease::resign(Milliseconds now) {
  if (has_resigned_) return;
  has_resigned_ = true;
  if (!is_held_ || now >= expires_at_) return;
  is_held_ = false;
  send_to_others(make_message(Type::released, held_ballot_));
}

std::string LeaderLease::state_digest(Milliseconds now) const {
  StateDigest digest(now);
  digest.put(has_resigned_);
  voter_.write_digest(digest);
  digest.put(static_cast<int>(phase_)).put_integer(highest_round_);
  if (phase_ != Phase::idle) {
    digest.put_integer(round_ballot_.round)
        .put_integer(round_ballot_.session)
        .put_elapsed(round_started_at_, 2 * config_.lease_duration_ms)
        .put_remaining(reported_expiry_at_);
    for (const std::string& voter : supporters_) digest.put_text(voter);
  }
  digest.put(is_held_);
  if (is_held_) {
    digest.put_remaining(expires_at_)
        .put_remaining(previous_leases_expired_at_)
        .put_integer(held_ballot_.round)
        .put_integer(held_ballot_.session);
  }
  return digest.text();
}

}  // namespace indigorill
