#include "quota/quota_client.h"

#include <algorithm>
#include <utility>

#include "verification/state_digest.h"

namespace indigorill {

QuotaClient::QuotaClient(QuotaConfig config, std::uint64_t session, QuotaSafeguards safeguards)
    : config_(std::move(config)),
      safeguards_(safeguards),
      session_(session),
      budgets_(config_.budgets.size()) {}

QuotaRequest QuotaClient::make_request(Milliseconds now) {
  constexpr std::size_t max_unanswered_requests = 16;  // replies to older requests are dropped
  ++last_request_number_;
  requested_at_[last_request_number_] = now;
  while (requested_at_.size() > max_unanswered_requests) requested_at_.erase(requested_at_.begin());
  // Units that are held in excess of the present allowance are still held under earlier grants.
  if (!holds_more_than_allowance(now)) oldest_grant_in_use_ = current_grant_;
  QuotaRequest request{.session = session_,
                       .request_number = last_request_number_,
                       .oldest_grant_in_use = oldest_grant_in_use_,
                       .registration_remaining_ms = std::max(0.0, registered_until_ - now)};
  for (std::size_t budget = 0; budget < budgets_.size(); ++budget)
    request.demands.push_back(update_demand(now, budget));
  return request;
}

bool QuotaClient::holds_more_than_allowance(Milliseconds now) const {
  for (std::size_t budget = 0; budget < budgets_.size(); ++budget) {
    if (config_.budgets[budget].is_rate()) continue;
    const auto held = static_cast<double>(budgets_[budget].acquired_at.size());
    if (held > allowance(now, budget)) return true;
  }
  return false;
}

double QuotaClient::update_demand(Milliseconds now, std::size_t budget) {
  // A burst of demand affects the next few requests as well.
  constexpr double decay_per_request = 0.7;
  expire_history(now, budget);
  Usage& usage = budgets_[budget];
  const std::size_t held = config_.budgets[budget].is_rate() ? 0 : usage.acquired_at.size();
  const auto present_demand = static_cast<double>(held + usage.demanded_at.size());
  usage.smoothed_demand = std::max(present_demand, decay_per_request * usage.smoothed_demand);
  return usage.smoothed_demand;
}

void QuotaClient::on_grant(Milliseconds now, const QuotaGrant& grant) {
  const auto request = requested_at_.find(grant.request_number);
  if (grant.session != session_ || request == requested_at_.end()) return;
  if (grant.request_number <= current_grant_) return;
  if (grant.status == QuotaGrant::Status::at_capacity) rejected_at_capacity_ = !is_registered(now);
  if (grant.status != QuotaGrant::Status::granted) return;
  if (grant.amounts.size() != budgets_.size() || grant.guaranteed_minimums.size() != budgets_.size()) return;

  rejected_at_capacity_ = false;
  current_grant_ = grant.request_number;
  const Milliseconds requested_at = request->second;
  grant_expires_at_ = (safeguards_.expire_from_request ? requested_at : now) + grant.duration_ms;
  for (std::size_t budget = 0; budget < budgets_.size(); ++budget)
    budgets_[budget].granted_amount = grant.amounts[budget];
  const bool is_registration = grant.registration_duration_ms > 0;
  if (is_registration) {
    registered_until_ = requested_at + grant.registration_duration_ms;
    for (std::size_t budget = 0; budget < budgets_.size(); ++budget)
      budgets_[budget].guaranteed_minimum = grant.guaranteed_minimums[budget];
  }
  requested_at_.erase(requested_at_.begin(), std::next(request));
}

double QuotaClient::allowance(Milliseconds now, std::size_t budget) const {
  const Usage& usage = budgets_[budget];
  return (has_grant(now) ? usage.granted_amount : 0) + (is_registered(now) ? usage.guaranteed_minimum : 0);
}

double QuotaClient::available(Milliseconds now, std::size_t budget) {
  expire_history(now, budget);
  return std::max(0.0, allowance(now, budget) - static_cast<double>(budgets_[budget].acquired_at.size()));
}

bool QuotaClient::try_acquire(Milliseconds now, std::size_t budget) {
  record_demand(now, budget);
  Usage& usage = budgets_[budget];
  if (available(now, budget) < 1) {
    ++usage.counters.denied;
    return false;
  }
  usage.acquired_at.push_back(now);
  ++usage.counters.granted;
  return true;
}

void QuotaClient::record_demand(Milliseconds now, std::size_t budget) {
  constexpr std::size_t max_remembered_demands = 100000;
  expire_history(now, budget);
  std::deque<Milliseconds>& demanded_at = budgets_[budget].demanded_at;
  if (demanded_at.size() < max_remembered_demands) demanded_at.push_back(now);
}

void QuotaClient::release(std::size_t budget) {
  std::deque<Milliseconds>& acquired_at = budgets_[budget].acquired_at;
  if (!acquired_at.empty()) acquired_at.pop_back();
}

void QuotaClient::expire_history(Milliseconds now, std::size_t budget) {
  const FleetBudget& config = config_.budgets[budget];
  const Milliseconds span =
      config.is_rate() ? config_.with_drift_margin(config.window_ms) : config_.grant_duration_ms;
  const auto drop_expired = [&](std::deque<Milliseconds>& times) {
    while (!times.empty() && times.front() + span <= now) times.pop_front();
  };
  drop_expired(budgets_[budget].demanded_at);
  if (config.is_rate()) drop_expired(budgets_[budget].acquired_at);
}

std::string QuotaClient::state_digest(Milliseconds now) const {
  StateDigest digest(now);
  digest.put_integer(last_request_number_)
      .put_integer(current_grant_)
      .put_integer(oldest_grant_in_use_)
      .put_remaining(grant_expires_at_)
      .put_remaining(registered_until_)
      .put(rejected_at_capacity_);
  for (const auto& [number, requested_at] : requested_at_)
    digest.put_integer(number).put_elapsed(requested_at, 2 * config_.grant_duration_ms);
  for (const Usage& usage : budgets_) {
    digest.put(usage.granted_amount).put(usage.guaranteed_minimum).put(usage.smoothed_demand);
    for (const Milliseconds acquired_at : usage.acquired_at) digest.put(now - acquired_at);
  }
  return digest.text();
}

}  // namespace indigorill
