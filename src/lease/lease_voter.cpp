#include "lease/lease_voter.h"

#include <algorithm>

namespace indigorill {

using Type = LeaseMessage::Type;

LeaseVoter::LeaseVoter(const LeaseConfig& config, LeaseSafeguards safeguards, Milliseconds now)
    : accepted_duration_(with_drift_margin(config.lease_duration_ms, config.max_clock_drift)),
      rejects_lower_ballots_(safeguards.reject_lower_ballots),
      may_vote_from_(safeguards.abstain_after_start ? now + accepted_duration_ : now) {}

std::optional<LeaseMessage> LeaseVoter::reply_to(Milliseconds now, const LeaseMessage& request) {
  if (is_abstaining(now)) return {};
  if (request.type == Type::prepare) return reply_to_prepare(now, request);
  if (request.type == Type::propose) return reply_to_propose(now, request);
  return {};
}

LeaseMessage LeaseVoter::reply_to_prepare(Milliseconds now, const LeaseMessage& request) {
  if (rejects_lower_ballots_ && request.ballot <= promised_ballot_)
    return make_reply(now, Type::rejected, promised_ballot_);
  promised_ballot_ = std::max(promised_ballot_, request.ballot);
  return make_reply(now, Type::promise, request.ballot);
}

LeaseMessage LeaseVoter::reply_to_propose(Milliseconds now, const LeaseMessage& request) {
  // This voter's promise for the higher ballot may have reported that there is no holder: accepting a lower
  // ballot now could lead to two holders.
  if (rejects_lower_ballots_ && request.ballot < promised_ballot_)
    return make_reply(now, Type::rejected, promised_ballot_);
  promised_ballot_ = std::max(promised_ballot_, request.ballot);
  accepted_lease_ = {.ballot = request.ballot,
                     .holder = request.holder,
                     .holder_session = request.holder_session,
                     .expires_at = now + accepted_duration_,
                     .is_released = false};
  accepted_leases_end_at_ = std::max(accepted_leases_end_at_, accepted_lease_->expires_at);
  return make_reply(now, Type::accepted, request.ballot);
}

bool LeaseVoter::on_released(Milliseconds now, const LeaseMessage& message) {
  if (is_abstaining(now) || !accepted_lease_) return false;
  if (accepted_lease_->holder_session != message.holder_session || accepted_lease_->ballot > message.ballot)
    return false;
  // Quotas granted under the lease may last until its end, so accepted_leases_end_at_ still includes it.
  accepted_lease_->is_released = true;
  return true;
}

const LeaseVoter::AcceptedLease* LeaseVoter::current_lease(Milliseconds now) const {
  if (!accepted_lease_ || accepted_lease_->is_released || now >= accepted_lease_->expires_at) return nullptr;
  return &*accepted_lease_;
}

LeaseMessage LeaseVoter::make_reply(Milliseconds now, Type type, BallotNumber ballot) const {
  LeaseMessage reply{.type = type, .ballot = ballot};
  if (const AcceptedLease* lease = current_lease(now)) {
    reply.holder = lease->holder;
    reply.holder_session = lease->holder_session;
    reply.remaining_ms = lease->expires_at - now;
  }
  reply.previous_leases_remaining_ms = std::max(0.0, accepted_leases_end_at_ - now);
  return reply;
}

void LeaseVoter::write_digest(StateDigest& digest) const {
  digest.put_remaining(may_vote_from_)
      .put_integer(promised_ballot_.round)
      .put_integer(promised_ballot_.session);
  if (accepted_lease_ && digest.now() < accepted_lease_->expires_at) {
    digest.put_integer(accepted_lease_->ballot.round)
        .put_integer(accepted_lease_->ballot.session)
        .put_remaining(accepted_lease_->expires_at)
        .put_text(accepted_lease_->holder)
        .put_text(accepted_lease_->is_released ? "!" : ".");
  }
  digest.put_remaining(accepted_leases_end_at_);
}

}  // namespace indigorill
