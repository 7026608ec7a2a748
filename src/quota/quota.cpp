#include "quota/quota.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <utility>

namespace indigorill {
namespace {

constexpr double long_ago = -1e18;

// A text of numbers, for `state`: times as what is left of them, in sixteenths of a millisecond.
struct StateDigest {
  std::string text;
  double now;
  StateDigest& put(double v) {
    std::array<char, 32> room;
    text.append(room.data(),
                std::to_chars(room.begin(), room.end(), static_cast<std::int64_t>(v * 16)).ptr) += ' ';
    return *this;
  }
  StateDigest& put_integer(std::uint64_t n) { return put(static_cast<double>(n)); }
  StateDigest& put_remaining(double when) { return put(std::max(0.0, when - now)); }
};

}  // namespace

// ---- the divider ------------------------------------------------------------------------------------------

double QuotaAllocator::longest_window_ms() const {
  double most = 0;
  for (const FleetBudget& b : config_.budgets) most = std::max(most, b.window_ms);
  return most;
}

void QuotaAllocator::start_term(double now, double quiet_from) {
  // What others spent at the end of their shares counts in the windows that reach over it.
  may_grant_from_ = safeguards_.wait_for_previous_grants
                        ? std::max(now, quiet_from) + with_drift_margin(longest_window_ms())
                        : now;
  // Floors that it does not know of last for a seat's time.
  unknown_registrations_expired_at_ = now + with_drift_margin(config_.registration_duration_ms);
}

double QuotaAllocator::max_in_use_by(const QuotaHolder& s, double now, std::size_t budget) const {
  double most = 0;
  for (const OutstandingGrant& g : s.grants)
    if (now < g.expires_at) most = std::max(most, g.amounts[budget]);
  return most;
}

double QuotaAllocator::max_in_use(double now, std::size_t budget) const {
  double sum = 0;
  for (const auto& [session, s] : holders_) sum += max_in_use_by(s, now, budget);
  return sum;
}

std::size_t QuotaAllocator::holder_count(double now) const {
  return static_cast<std::size_t>(std::count_if(holders_.begin(), holders_.end(),
                                                [&](const auto& s) { return is_active(s.second, now); }));
}

bool QuotaAllocator::is_active(const QuotaHolder& s, double now) const {
  return now < s.registered_until || now < s.last_request_at + 2 * config_.grant_duration_ms ||
         std::any_of(s.grants.begin(), s.grants.end(),
                     [&](const OutstandingGrant& g) { return now < g.expires_at; });
}

QuotaAllocator::QuotaAllocator(QuotaConfig with, QuotaSafeguards g)
    : config_(std::move(with)),
      safeguards_(g),
      demand_indexes_(config_.budgets.size()),
      max_in_use_(config_.budgets.size()) {}

std::uint64_t QuotaAllocator::step_count() const {
  std::uint64_t n = review_count_;
  for (const DemandIndex& d : demand_indexes_) n += d.step_count();
  return n;
}

std::size_t QuotaAllocator::stored_grant_count() const {
  std::size_t n = 0;
  for (const auto& [session, s] : holders_) n += s.grants.size();
  return n;
}

QuotaAllocator::QuotaHolder& QuotaAllocator::find_or_add_holder(std::uint64_t session) {
  const auto [it, fresh] = holders_.try_emplace(session);
  QuotaHolder& s = it->second;
  if (fresh) {
    s.demands.resize(config_.budgets.size());
    s.max_in_use.resize(config_.budgets.size());
    for (DemandIndex& d : demand_indexes_) d.add({0, session});
    review_queue_.insert({s.next_review_at, session});
  }
  return s;
}

void QuotaAllocator::update_demands(std::uint64_t session, QuotaHolder& s, const std::vector<double>& wants) {
  // What is no number has no place in an order, and sums of such a size are still exact.
  constexpr double most = 1e9;
  for (std::size_t b = 0; b < wants.size(); ++b) {
    const double w = wants[b] > 0 ? std::ceil(std::min(wants[b], most)) : 0;
    if (w == s.demands[b]) continue;
    demand_indexes_[b].remove({s.demands[b], session});
    demand_indexes_[b].add({s.demands[b] = w, session});
  }
}

// Many questions in a short time must not fill the memory: two grants become one that covers both, which
// counts for more than they did and never for less.
void QuotaAllocator::store_grant(QuotaHolder& s, OutstandingGrant g) {
  constexpr std::size_t most = 32;  // a share that is asked for three times and a window as long leave six
  if (s.grants.size() >= most) {
    OutstandingGrant& first = s.grants[0];
    const OutstandingGrant& second = s.grants[1];
    first.request_number = std::max(first.request_number, second.request_number);
    first.expires_at = std::max(first.expires_at, second.expires_at);
    for (std::size_t b = 0; b < first.amounts.size(); ++b)
      first.amounts[b] = std::max(first.amounts[b], second.amounts[b]);
    s.grants.erase(std::next(s.grants.begin()));
  }
  s.grants.push_back(std::move(g));
}

// Brings the sums in line with what it has now, and says when that has to be done again.
void QuotaAllocator::review_holder(std::uint64_t session, QuotaHolder& s, double now) {
  ++review_count_;
  std::erase_if(s.grants, [&](const OutstandingGrant& g) { return now >= g.expires_at; });
  for (std::size_t b = 0; b < max_in_use_.size(); ++b) {
    const double most = max_in_use_by(s, now, b);
    max_in_use_[b] += most - std::exchange(s.max_in_use[b], most);
  }
  double next = std::max(s.registered_until, s.last_request_at + 2 * config_.grant_duration_ms);
  for (const OutstandingGrant& g : s.grants) next = std::min(next, g.expires_at);
  // Without a grant only its place is left to end; a grant that ends after that is looked at for its own
  // sake.
  if (next <= now)
    for (const OutstandingGrant& g : s.grants)
      next = next <= now ? g.expires_at : std::min(next, g.expires_at);
  review_queue_.erase({s.next_review_at, session});
  review_queue_.insert({s.next_review_at = next, session});
}

void QuotaAllocator::remove_expired_holders(double now) {
  while (!review_queue_.empty() && review_queue_.begin()->first <= now) {
    const std::uint64_t session = review_queue_.begin()->second;
    QuotaHolder& s = holders_.at(session);
    review_holder(session, s, now);
    // Who has asked for nothing since its last share ended is no sharer any more.
    if (is_active(s, now)) continue;
    for (std::size_t b = 0; b < demand_indexes_.size(); ++b)
      demand_indexes_[b].remove({s.demands[b], session});
    review_queue_.erase({s.next_review_at, session});
    holders_.erase(session);
  }
}

QuotaGrant QuotaAllocator::handle_request(double now, double right_ends, const QuotaRequest& a) {
  QuotaGrant g{QuotaGrant::Status::not_ready, a.session, a.request_number, 0, 0, {}, {}, {}};
  if (a.demands.size() != config_.budgets.size() || now >= right_ends) return g;
  remove_expired_holders(now);
  const bool known = holders_.count(a.session) > 0;
  if (!known && holders_.size() >= static_cast<std::size_t>(config_.max_holders)) {
    g.status = QuotaGrant::Status::at_capacity;
    return g;
  }
  QuotaHolder& s = find_or_add_holder(a.session);
  // Doubled or overtaken: what was answered is answered.
  if (known && a.request_number <= s.last_request_number) return g;
  s.last_request_number = a.request_number;
  s.last_request_at = now;
  update_demands(a.session, s, a.demands);
  s.registered_until = std::max(
      s.registered_until,
      a.registration_remaining_ms > 0
          ? now + with_drift_margin(std::min(a.registration_remaining_ms, config_.registration_duration_ms))
          : long_ago);
  // It never goes back to an earlier answer; what it spent under one counts for a window more.
  for (OutstandingGrant& old : s.grants)
    if (old.request_number < a.oldest_grant_in_use)
      old.expires_at = std::min(old.expires_at, now + with_drift_margin(longest_window_ms()));
  const double certain = now + with_drift_margin(config_.grant_duration_ms);
  if (now < may_grant_from_ || (safeguards_.grant_within_lease && certain > right_ends))
    return review_holder(a.session, s, now), g;
  if (!safeguards_.count_outstanding_grants) s.grants.clear();
  OutstandingGrant given_now{a.request_number, {}, certain + with_drift_margin(longest_window_ms())};
  const auto turn = static_cast<std::size_t>(std::max(0.0, now / config_.grant_duration_ms));
  for (std::size_t b = 0; b < config_.budgets.size(); ++b) {
    const double whole = std::floor(std::max(0.0, config_.allocatable(config_.budgets[b])));
    // Decrease before increase: what others still may spend is theirs, whatever their target is.
    const double others = safeguards_.count_outstanding_grants ? max_in_use_[b] - s.max_in_use[b] : 0;
    given_now.amounts.push_back(std::max(
        0.0,
        std::min(demand_indexes_[b].fair_share({s.demands[b], a.session}, whole, turn), whole - others)));
  }
  if (now >= unknown_registrations_expired_at_ || now < s.registered_until) {
    g.registration_duration_ms = config_.registration_duration_ms;
    s.registered_until = now + with_drift_margin(config_.registration_duration_ms);
  }
  g.status = QuotaGrant::Status::granted;
  g.duration_ms = config_.grant_duration_ms;
  g.amounts = given_now.amounts;
  for (const FleetBudget& b : config_.budgets) g.guaranteed_minimums.push_back(b.guaranteed_minimum);
  store_grant(s, std::move(given_now));
  review_holder(a.session, s, now);
  return g;
}

std::string QuotaAllocator::state_digest(double now) const {
  StateDigest d{{}, now};
  d.put_remaining(may_grant_from_)
      .put_remaining(unknown_registrations_expired_at_)
      .put(std::floor(now / config_.grant_duration_ms));
  for (const auto& [session, s] : holders_) {
    d.put_integer(session).put_integer(s.last_request_number).put_remaining(s.registered_until);
    for (const double w : s.demands) d.put(w);
    for (const OutstandingGrant& g : s.grants)
      if (now < g.expires_at) {
        d.put_integer(g.request_number).put_remaining(g.expires_at);
        for (const double a : g.amounts) d.put(a);
      }
  }
  return d.text;
}

// ---- the purse --------------------------------------------------------------------------------------------

QuotaClient::QuotaClient(QuotaConfig with, std::uint64_t session, QuotaSafeguards g)
    : config_(std::move(with)), safeguards_(g), session_(session) {
  const std::size_t n = config_.budgets.size();
  amounts_.resize(n), guaranteed_minimums_.resize(n), acquired_at_.resize(n), demanded_at_.resize(n),
      smoothed_demands_.resize(n), counters_.resize(n);
}

QuotaRequest QuotaClient::make_request(double now) {
  constexpr std::size_t remembered = 16;
  request_times_[++last_request_number_] = now;
  while (request_times_.size() > remembered) request_times_.erase(request_times_.begin());
  // What is held beyond the new share is still held under the old one.
  bool within = true;
  for (std::size_t b = 0; b < config_.budgets.size(); ++b)
    if (config_.budgets[b].window_ms <= 0 && static_cast<double>(acquired_at_[b].size()) > allowance(now, b))
      within = false;
  if (within) oldest_grant_in_use_ = current_grant_;
  QuotaRequest a{
      session_, last_request_number_, oldest_grant_in_use_, std::max(0.0, registered_until_ - now), {}};
  for (std::size_t b = 0; b < config_.budgets.size(); ++b) {
    expire_history(now, b);
    // A burst is remembered over the next few questions.
    constexpr double fades = 0.7;
    const double present = config_.budgets[b].window_ms > 0
                               ? static_cast<double>(demanded_at_[b].size())
                               : static_cast<double>(acquired_at_[b].size() + demanded_at_[b].size());
    smoothed_demands_[b] = std::max(present, fades * smoothed_demands_[b]);
    a.demands.push_back(smoothed_demands_[b]);
  }
  return a;
}

void QuotaClient::on_grant(double now, const QuotaGrant& g) {
  const auto when = request_times_.find(g.request_number);
  if (g.session != session_ || when == request_times_.end() || g.request_number <= current_grant_) return;
  if (g.status == QuotaGrant::Status::at_capacity) rejected_at_capacity_ = !is_registered(now);
  if (g.status != QuotaGrant::Status::granted || g.amounts.size() != amounts_.size() ||
      g.guaranteed_minimums.size() != guaranteed_minimums_.size())
    return;
  rejected_at_capacity_ = false;
  current_grant_ = g.request_number;
  amounts_ = g.amounts;
  grant_expires_at_ = (safeguards_.expire_from_request ? when->second : now) + g.duration_ms;
  if (g.registration_duration_ms > 0) {
    guaranteed_minimums_ = g.guaranteed_minimums;
    registered_until_ = when->second + g.registration_duration_ms;
  }
  request_times_.erase(request_times_.begin(), std::next(when));
}

double QuotaClient::allowance(double now, std::size_t b) const {
  return (now < grant_expires_at_ ? amounts_[b] : 0) +
         (now < registered_until_ ? guaranteed_minimums_[b] : 0);
}

void QuotaClient::expire_history(double now, std::size_t b) {
  const double w = config_.budgets[b].window_ms > 0 ? window_ms(b) : config_.grant_duration_ms;
  while (!demanded_at_[b].empty() && demanded_at_[b].front() + w <= now) demanded_at_[b].pop_front();
  while (config_.budgets[b].window_ms > 0 && !acquired_at_[b].empty() && acquired_at_[b].front() + w <= now)
    acquired_at_[b].pop_front();
}

void QuotaClient::add_demand(double now, std::size_t b) {
  constexpr std::size_t most = 100000;
  expire_history(now, b);
  if (demanded_at_[b].size() < most) demanded_at_[b].push_back(now);
}

double QuotaClient::available(double now, std::size_t b) {
  expire_history(now, b);
  return std::max(0.0, allowance(now, b) - static_cast<double>(acquired_at_[b].size()));
}

bool QuotaClient::try_acquire(double now, std::size_t b) {
  add_demand(now, b);
  if (available(now, b) < 1) return ++counters_[b].denied, false;
  acquired_at_[b].push_back(now);
  return ++counters_[b].granted, true;
}

void QuotaClient::release(std::size_t b) {
  if (!acquired_at_[b].empty()) acquired_at_[b].pop_back();
}

std::string QuotaClient::state_digest(double now) const {
  StateDigest d{{}, now};
  d.put_integer(last_request_number_)
      .put_integer(current_grant_)
      .put_integer(oldest_grant_in_use_)
      .put_remaining(grant_expires_at_)
      .put_remaining(registered_until_)
      .put(rejected_at_capacity_);
  for (const auto& [number, when] : request_times_)
    d.put_integer(number).put(std::min(now - when, 2 * config_.grant_duration_ms));
  for (std::size_t b = 0; b < amounts_.size(); ++b) {
    d.put(amounts_[b]).put(guaranteed_minimums_[b]).put(smoothed_demands_[b]);
    for (const double s : acquired_at_[b]) d.put(now - s);
  }
  return d.text;
}

}  // namespace indigorill
