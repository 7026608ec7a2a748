#include "quota/quota_allocator.h"

#include <algorithm>
#include <cmath>

#include "verification/state_digest.h"

namespace indigorill {
namespace {

/// A holder that has sent no request for this number of grant durations loses its place, unless it is
/// registered or has an outstanding grant.
constexpr double silent_grant_durations = 2;

QuotaConfig apply_safeguards(QuotaConfig config, const QuotaSafeguards& safeguards) {
  if (!safeguards.allow_clock_drift) config.max_clock_drift = 0;
  return config;
}

}  // namespace

QuotaAllocator::QuotaAllocator(QuotaConfig config, QuotaSafeguards safeguards)
    : config_(apply_safeguards(std::move(config), safeguards)),
      safeguards_(safeguards),
      demand_indexes_(config_.budgets.size()),
      max_in_use_(config_.budgets.size()) {}

void QuotaAllocator::start_term(Milliseconds now, Milliseconds previous_leases_expired_at) {
  // Units spent just before earlier grants ended still count in the windows that extend beyond that end.
  may_grant_from_ = safeguards_.wait_for_previous_grants
                        ? std::max(now, previous_leases_expired_at) + longest_window_margin()
                        : now;
  // Sidecars unknown to this allocator may have a guaranteed minimum, for as long as a registration lasts.
  unknown_registrations_expired_at_ = now + config_.with_drift_margin(config_.registration_duration_ms);
}

QuotaGrant QuotaAllocator::handle_request(Milliseconds now, Milliseconds lease_expires_at,
                                          const QuotaRequest& request) {
  QuotaGrant refusal{.status = QuotaGrant::Status::not_ready,
                     .session = request.session,
                     .request_number = request.request_number};
  if (request.demands.size() != config_.budgets.size() || now >= lease_expires_at) return refusal;
  remove_expired_holders(now);
  const bool is_known = holders_.contains(request.session);
  if (!is_known && holders_.size() >= static_cast<std::size_t>(config_.max_holders)) {
    refusal.status = QuotaGrant::Status::at_capacity;
    return refusal;
  }
  QuotaHolder& holder = find_or_add_holder(request.session);
  const bool is_stale = is_known && request.request_number <= holder.last_request_number;
  if (is_stale) return refusal;
  record_request(holder, now, request);

  const Milliseconds grant_ends_at = now + config_.with_drift_margin(config_.grant_duration_ms);
  const bool outlives_lease = safeguards_.grant_within_lease && grant_ends_at > lease_expires_at;
  const bool may_grant = now >= may_grant_from_ && !outlives_lease;
  QuotaGrant reply = may_grant ? make_grant(holder, now, request) : refusal;
  review_holder(request.session, holder, now);
  return reply;
}

void QuotaAllocator::record_request(QuotaHolder& holder, Milliseconds now, const QuotaRequest& request) {
  holder.last_request_number = request.request_number;
  holder.last_request_at = now;
  update_demands(holder, request);
  if (request.registration_remaining_ms > 0) {
    const Milliseconds remaining =
        std::min(request.registration_remaining_ms, config_.registration_duration_ms);
    holder.registered_until = std::max(holder.registered_until, now + config_.with_drift_margin(remaining));
  }
  // The client never uses a superseded grant again; units that it spent under one count for one more window.
  const Milliseconds superseded_grants_end_at = now + longest_window_margin();
  for (OutstandingGrant& grant : holder.grants) {
    if (grant.request_number < request.oldest_grant_in_use)
      grant.expires_at = std::min(grant.expires_at, superseded_grants_end_at);
  }
}

void QuotaAllocator::update_demands(QuotaHolder& holder, const QuotaRequest& request) {
  // With demands up to this size, sums of units are exact. NaN, which cannot be ordered, counts as 0.
  constexpr double max_demand = 1e9;
  for (std::size_t budget = 0; budget < request.demands.size(); ++budget) {
    const double requested = request.demands[budget];
    const double demand = requested > 0 ? std::ceil(std::min(requested, max_demand)) : 0;
    if (demand == holder.demands[budget]) continue;
    demand_indexes_[budget].remove({holder.demands[budget], request.session});
    demand_indexes_[budget].add({demand, request.session});
    holder.demands[budget] = demand;
  }
}

QuotaGrant QuotaAllocator::make_grant(QuotaHolder& holder, Milliseconds now, const QuotaRequest& request) {
  if (!safeguards_.count_outstanding_grants) holder.grants.clear();
  QuotaGrant grant{.status = QuotaGrant::Status::granted,
                   .session = request.session,
                   .request_number = request.request_number,
                   .duration_ms = config_.grant_duration_ms};
  for (std::size_t budget = 0; budget < config_.budgets.size(); ++budget) {
    grant.amounts.push_back(amount_for(holder, now, request.session, budget));
    grant.guaranteed_minimums.push_back(config_.budgets[budget].guaranteed_minimum);
  }
  const bool may_register = now >= unknown_registrations_expired_at_ || now < holder.registered_until;
  if (may_register) {
    grant.registration_duration_ms = config_.registration_duration_ms;
    holder.registered_until = now + config_.with_drift_margin(config_.registration_duration_ms);
  }
  const Milliseconds grant_ends_at = now + config_.with_drift_margin(config_.grant_duration_ms);
  store_grant(holder, {.request_number = request.request_number,
                       .amounts = grant.amounts,
                       .expires_at = grant_ends_at + longest_window_margin()});
  return grant;
}

double QuotaAllocator::amount_for(const QuotaHolder& holder, Milliseconds now, std::uint64_t session,
                                  std::size_t budget) const {
  const double total = std::floor(std::max(0.0, config_.allocatable(config_.budgets[budget])));
  const auto turn = static_cast<std::size_t>(std::max(0.0, now / config_.grant_duration_ms));
  const double fair_share =
      demand_indexes_[budget].fair_share({holder.demands[budget], session}, total, turn);
  // Decrease before increase: units that other holders may still spend are not granted again, even if the
  // fair shares of these holders are smaller now.
  const double others_in_use =
      safeguards_.count_outstanding_grants ? max_in_use_[budget] - holder.max_in_use[budget] : 0;
  return std::max(0.0, std::min(fair_share, total - others_in_use));
}

// Many requests in a short time must not fill the memory: beyond a fixed number, the two oldest grants are
// merged into one that covers both, so that it counts for at least as much as they did.
void QuotaAllocator::store_grant(QuotaHolder& holder, OutstandingGrant grant) {
  // Three requests per grant duration, and a window of the same length, make six grants.
  constexpr std::size_t max_grants = 32;
  if (holder.grants.size() >= max_grants) {
    OutstandingGrant& first = holder.grants[0];
    const OutstandingGrant& second = holder.grants[1];
    first.request_number = std::max(first.request_number, second.request_number);
    first.expires_at = std::max(first.expires_at, second.expires_at);
    for (std::size_t budget = 0; budget < first.amounts.size(); ++budget)
      first.amounts[budget] = std::max(first.amounts[budget], second.amounts[budget]);
    holder.grants.erase(std::next(holder.grants.begin()));
  }
  holder.grants.push_back(std::move(grant));
}

QuotaAllocator::QuotaHolder& QuotaAllocator::find_or_add_holder(std::uint64_t session) {
  const auto [position, is_new] = holders_.try_emplace(session);
  QuotaHolder& holder = position->second;
  if (is_new) {
    holder.demands.resize(config_.budgets.size());
    holder.max_in_use.resize(config_.budgets.size());
    for (DemandIndex& index : demand_indexes_) index.add({0, session});
    review_queue_.insert({holder.next_review_at, session});
  }
  return holder;
}

// Removes expired grants, updates the sums of units in use, and schedules the next review.
void QuotaAllocator::review_holder(std::uint64_t session, QuotaHolder& holder, Milliseconds now) {
  ++review_count_;
  std::erase_if(holder.grants, [&](const OutstandingGrant& grant) { return now >= grant.expires_at; });
  for (std::size_t budget = 0; budget < max_in_use_.size(); ++budget) {
    const double in_use = max_in_use_by(holder, now, budget);
    max_in_use_[budget] += in_use - holder.max_in_use[budget];
    holder.max_in_use[budget] = in_use;
  }
  review_queue_.erase({holder.next_review_at, session});
  holder.next_review_at = next_review_of(holder, now);
  review_queue_.insert({holder.next_review_at, session});
}

// Time when the holder's next grant ends, or when its place ends if that is earlier and still to come.
Milliseconds QuotaAllocator::next_review_of(const QuotaHolder& holder, Milliseconds now) const {
  Milliseconds next = place_ends_at(holder);
  for (const OutstandingGrant& grant : holder.grants)
    next = next <= now ? grant.expires_at : std::min(next, grant.expires_at);
  return next;
}

void QuotaAllocator::remove_expired_holders(Milliseconds now) {
  while (!review_queue_.empty() && review_queue_.begin()->first <= now) {
    const std::uint64_t session = review_queue_.begin()->second;
    QuotaHolder& holder = holders_.at(session);
    review_holder(session, holder, now);
    if (is_active(holder, now)) continue;
    for (std::size_t budget = 0; budget < demand_indexes_.size(); ++budget)
      demand_indexes_[budget].remove({holder.demands[budget], session});
    review_queue_.erase({holder.next_review_at, session});
    holders_.erase(session);
  }
}

Milliseconds QuotaAllocator::place_ends_at(const QuotaHolder& holder) const {
  const Milliseconds silence = silent_grant_durations * config_.grant_duration_ms;
  return std::max(holder.registered_until, holder.last_request_at + silence);
}

bool QuotaAllocator::is_active(const QuotaHolder& holder, Milliseconds now) const {
  return now < place_ends_at(holder) ||
         std::any_of(holder.grants.begin(), holder.grants.end(),
                     [&](const OutstandingGrant& grant) { return now < grant.expires_at; });
}

Milliseconds QuotaAllocator::longest_window_margin() const {
  Milliseconds longest = 0;
  for (const FleetBudget& budget : config_.budgets) longest = std::max(longest, budget.window_ms);
  return config_.with_drift_margin(longest);
}

double QuotaAllocator::max_in_use_by(const QuotaHolder& holder, Milliseconds now, std::size_t budget) const {
  double most = 0;
  for (const OutstandingGrant& grant : holder.grants) {
    if (now < grant.expires_at) most = std::max(most, grant.amounts[budget]);
  }
  return most;
}

double QuotaAllocator::max_in_use(Milliseconds now, std::size_t budget) const {
  double sum = 0;
  for (const auto& [session, holder] : holders_) sum += max_in_use_by(holder, now, budget);
  return sum;
}

std::size_t QuotaAllocator::holder_count(Milliseconds now) const {
  return static_cast<std::size_t>(std::count_if(
      holders_.begin(), holders_.end(), [&](const auto& entry) { return is_active(entry.second, now); }));
}

std::uint64_t QuotaAllocator::step_count() const {
  std::uint64_t steps = review_count_;
  for (const DemandIndex& index : demand_indexes_) steps += index.step_count();
  return steps;
}

std::size_t QuotaAllocator::stored_grant_count() const {
  std::size_t count = 0;
  for (const auto& [session, holder] : holders_) count += holder.grants.size();
  return count;
}

std::string QuotaAllocator::state_digest(Milliseconds now) const {
  StateDigest digest(now);
  digest.put_remaining(may_grant_from_)
      .put_remaining(unknown_registrations_expired_at_)
      .put(std::floor(now / config_.grant_duration_ms));
  for (const auto& [session, holder] : holders_) {
    digest.put_integer(session)
        .put_integer(holder.last_request_number)
        .put_remaining(holder.registered_until);
    for (const double demand : holder.demands) digest.put(demand);
    for (const OutstandingGrant& grant : holder.grants) {
      if (now >= grant.expires_at) continue;
      digest.put_integer(grant.request_number).put_remaining(grant.expires_at);
      for (const double amount : grant.amounts) digest.put(amount);
    }
  }
  return digest.text();
}

}  // namespace indigorill
