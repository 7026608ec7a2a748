#include "lease/leader_lease.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>
#include <utility>

namespace indigorill {
namespace {

// A round that got no majority within so much of a lease is begun anew; candidates spread over as much.
constexpr double patience = 1.0 / 8;
// Asked anew when so much of it has passed: two more rounds can fail before it ends.
constexpr double renewed_after = 1.0 / 3;

using Kind = LeaseMessage::Type;

}  // namespace

LeaderLease::LeaderLease(Config with, std::uint64_t session, std::uint64_t seed, double now, Safeguards g)
    : config_(std::move(with)),
      safeguards_(g),
      session_(session),
      random_(static_cast<std::knuth_b::result_type>(seed)),
      is_voter_(std::find(config_.voters.begin(), config_.voters.end(), config_.name) !=
                config_.voters.end()),
      // Without a disk a voter that starts can't know what it accepted before: all of that has to have ended.
      may_vote_from_(g.abstain_after_start ? now + with_drift_margin(config_.lease_duration_ms) : now),
      next_round_at_(may_vote_from_) {
  schedule_round(now, may_vote_from_ - now);
}

double LeaderLease::next_timer_at() const {
  if (!is_voter_ || has_resigned_) return std::numeric_limits<double>::infinity();
  return next_round_at_;
}

std::optional<LeaderLease::OutgoingMessage> LeaderLease::next_message() {
  if (outbox_.empty()) return {};
  OutgoingMessage l = std::move(outbox_.front());
  outbox_.erase(outbox_.begin());
  return l;
}

std::string LeaderLease::known_holder(double now) const {
  if (is_holder(now)) return config_.name;
  return accepted_lease_ && is_current(*accepted_lease_, now) ? accepted_lease_->holder : "";
}

void LeaderLease::schedule_round(double now, double least) {
  const double spread = patience * config_.lease_duration_ms;
  next_round_at_ = now + least + std::uniform_real_distribution<double>(0, spread)(random_);
}

void LeaderLease::broadcast(double now, LeaseMessage w) {
  for (const std::string& v : config_.voters)
    if (v != config_.name) outbox_.push_back({v, w});
  // Its own vote counts like any other's, and is asked last: it may decide at once.
  if (const auto answer = answer_as_voter(now, w)) on_reply(now, config_.name, *answer);
}

void LeaderLease::start_round(double now) {
  if (!is_voter_ || has_resigned_) return;
  phase_ = Phase::preparing;
  round_ballot_ = {++highest_round_, session_};
  round_started_at_ = now;
  supporters_.clear();
  reported_expiry_at_ = 0;
  schedule_round(now, patience * config_.lease_duration_ms);
  broadcast(now, {Kind::prepare, round_ballot_, config_.name, session_, 0, 0});
}

void LeaderLease::on_timer(double now) {
  if (!is_voter_ || has_resigned_ || now < next_round_at_) return;
  if (is_held_ && now >= expires_at_) is_held_ = false;
  if (!is_held_ && accepted_lease_ && is_current(*accepted_lease_, now) &&
      accepted_lease_->holder_session != session_)
    return schedule_round(now, accepted_lease_->expires_at - now);
  start_round(now);
}

// What a voter answers; none while it abstains.
std::optional<LeaseMessage> LeaderLease::answer_as_voter(double now, const LeaseMessage& w) {
  if (!is_voter_ || is_abstaining(now)) return {};
  const auto say = [&](Kind what) {
    LeaseMessage a{what, what == Kind::rejected ? promised_ballot_ : w.ballot, {}, 0, 0, 0};
    if (accepted_lease_ && is_current(*accepted_lease_, now)) {
      a.holder = accepted_lease_->holder;
      a.holder_session = accepted_lease_->holder_session;
      a.remaining_ms = accepted_lease_->expires_at - now;
    }
    a.previous_leases_remaining_ms = std::max(0.0, accepted_leases_end_at_ - now);
    return a;
  };
  switch (w.type) {
    case Kind::prepare:
      if (safeguards_.reject_lower_ballots && w.ballot <= promised_ballot_) return say(Kind::rejected);
      promised_ballot_ = std::max(promised_ballot_, w.ballot);
      return say(Kind::promise);
    case Kind::propose:
      // Who promised a later ballot may have told its asker that nobody holds the lease.
      if (safeguards_.reject_lower_ballots && w.ballot < promised_ballot_) return say(Kind::rejected);
      promised_ballot_ = std::max(promised_ballot_, w.ballot);
      accepted_lease_ = {w.ballot, w.holder, w.holder_session,
                         now + with_drift_margin(config_.lease_duration_ms), false};
      accepted_leases_end_at_ = std::max(accepted_leases_end_at_, accepted_lease_->expires_at);
      return say(Kind::accepted);
    case Kind::released:
      // What was given under it may live on until its end: `quiet` still tells of it.
      if (accepted_lease_ && accepted_lease_->holder_session == w.holder_session &&
          accepted_lease_->ballot <= w.ballot) {
        accepted_lease_->is_released = true;
        if (!is_held_) schedule_round(now, 0);
      }
      return {};
    default:
      return {};
  }
}

void LeaderLease::on_reply(double now, const std::string& from, const LeaseMessage& w) {
  if (has_resigned_) return;
  highest_round_ = std::max(highest_round_, w.ballot.round);
  if (w.type == Kind::rejected) {
    // Another one asks too, or holds it: the next round is above all that is known.
    if (w.remaining_ms > 0 && w.holder_session != session_ && !is_held_) schedule_round(now, w.remaining_ms);
    return;
  }
  if (w.ballot != round_ballot_) return;
  if (w.type == Kind::promise && phase_ == Phase::preparing) {
    const bool ours =
        safeguards_.identify_holder_by_session ? w.holder_session == session_ : w.holder == config_.name;
    if (safeguards_.yield_to_known_holder && !w.holder.empty() && !ours) {
      if (!is_held_) schedule_round(now, w.remaining_ms);
      return;
    }
    if (!ours || !is_holder(now))
      reported_expiry_at_ =
          std::max(reported_expiry_at_, now + with_drift_margin(w.previous_leases_remaining_ms));
    supporters_.insert(from);
    if (supporters_.size() < majority()) return;
    phase_ = Phase::proposing;
    supporters_.clear();
    return broadcast(now, {Kind::propose, round_ballot_, config_.name, session_, 0, 0});
  }
  if (w.type != Kind::accepted || phase_ != Phase::proposing) return;
  supporters_.insert(from);
  if (supporters_.size() < majority()) return;
  phase_ = Phase::idle;
  // Counted from its first question: voters count from their answers, which came later, and a promise from
  // before a voter's restart can't be used after all that it might stand for has ended.
  const double until =
      (safeguards_.expire_from_round_start ? round_started_at_ : now) + config_.lease_duration_ms;
  if (now >= until && safeguards_.check_expiry) return;
  if (!is_held_ || now >= expires_at_) previous_leases_expired_at_ = reported_expiry_at_;
  is_held_ = true;
  expires_at_ = until;
  held_ballot_ = round_ballot_;
  next_round_at_ = now + renewed_after * config_.lease_duration_ms;
}

void LeaderLease::on_message(double now, const std::string& from, const LeaseMessage& w) {
  if (std::find(config_.voters.begin(), config_.voters.end(), from) == config_.voters.end()) return;
  switch (w.type) {
    case Kind::prepare:
    case Kind::propose:
    case Kind::released:
      if (const auto answer = answer_as_voter(now, w)) outbox_.push_back({from, *answer});
      return;
    default:
      return on_reply(now, from, w);
  }
}

void LeaderLease::resign(double now) {
  if (std::exchange(has_resigned_, true) || !is_held_ || now >= expires_at_) return;
  is_held_ = false;
  for (const std::string& v : config_.voters)
    if (v != config_.name)
      outbox_.push_back({v, {Kind::released, held_ballot_, config_.name, session_, 0, 0}});
}

std::string LeaderLease::state_digest(double now) const {
  std::string s;
  const auto put = [&](double v) {
    std::array<char, 32> room;
    s.append(room.data(), std::to_chars(room.begin(), room.end(), static_cast<std::int64_t>(v * 16)).ptr) +=
        ' ';
  };
  const auto left = [&](double when) { put(std::max(0.0, when - now)); };
  const auto number = [&](const BallotNumber& b) {
    put(static_cast<double>(b.round));
    put(static_cast<double>(b.session));
  };
  put(has_resigned_);
  left(may_vote_from_);
  number(promised_ballot_);
  if (accepted_lease_ && now < accepted_lease_->expires_at) {
    number(accepted_lease_->ballot);
    left(accepted_lease_->expires_at);
    (s += accepted_lease_->holder) += accepted_lease_->is_released ? '!' : '.';
  }
  left(accepted_leases_end_at_);
  put(static_cast<int>(phase_));
  put(static_cast<double>(highest_round_));
  if (phase_ != Phase::idle) {
    number(round_ballot_);
    put(std::min(now - round_started_at_, 2 * config_.lease_duration_ms));
    left(reported_expiry_at_);
    for (const std::string& v : supporters_) s += v;
  }
  put(is_held_);
  if (is_held_) {
    left(expires_at_);
    left(previous_leases_expired_at_);
    number(held_ballot_);
  }
  return s;
}

}  // namespace indigorill
