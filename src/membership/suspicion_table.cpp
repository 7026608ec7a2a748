#include "membership/suspicion_table.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace indigorill {
namespace {

// Lifeguard's alpha and beta: a suspicion lasts for at least alpha log10(n) probe intervals, and for beta
// times as long without a confirmation by another member.
constexpr double suspicion_multiplier = 4;
constexpr double max_suspicion_multiplier = 6;
// Lifeguard's K: the number of confirmations at which a suspicion has its minimum duration.
constexpr double expected_confirmations = 3;

}  // namespace

void SuspicionTable::start(double now, const std::string& name, const std::string& accuser) {
  suspicions_[name] = {.started_at = now, .accusers = {accuser}};
}

bool SuspicionTable::confirm(const std::string& name, const std::string& accuser) {
  const auto suspicion = suspicions_.find(name);
  if (suspicion == suspicions_.end()) return false;
  std::set<std::string>& accusers = suspicion->second.accusers;
  if (static_cast<double>(accusers.size()) > expected_confirmations) return false;
  return accusers.insert(accuser).second;
}

void SuspicionTable::postpone(double duration_ms) {
  for (auto& [name, suspicion] : suspicions_) suspicion.started_at += duration_ms;
}

double SuspicionTable::next_deadline(const SuspicionTiming& timing) const {
  double next = std::numeric_limits<double>::infinity();
  for (const auto& [name, suspicion] : suspicions_) next = std::min(next, deadline_of(suspicion, timing));
  return next;
}

std::vector<std::string> SuspicionTable::expired(double now, const SuspicionTiming& timing) const {
  std::vector<std::string> names;
  for (const auto& [name, suspicion] : suspicions_) {
    if (deadline_of(suspicion, timing) <= now) names.push_back(name);
  }
  return names;
}

double SuspicionTable::deadline_of(const Suspicion& suspicion, const SuspicionTiming& timing) {
  // The formula of Lifeguard, section IV-B.
  const double live_count = static_cast<double>(timing.live_count);
  const double min_duration_ms = suspicion_multiplier * std::max(1.0, std::log10(live_count)) *
                                 timing.probe_interval_ms * timing.health_multiplier;
  const double max_duration_ms = max_suspicion_multiplier * min_duration_ms;
  const double confirmations = static_cast<double>(suspicion.accusers.size()) - 1;
  // In a small fleet fewer members can confirm the suspicion.
  const double wanted_confirmations = std::min(expected_confirmations, std::max(1.0, live_count - 2));
  const double duration_ms = max_duration_ms - (max_duration_ms - min_duration_ms) *
                                                   std::log(std::max(confirmations, 0.0) + 1) /
                                                   std::log(wanted_confirmations + 1);
  return suspicion.started_at + std::max(min_duration_ms, duration_ms);
}

}  // namespace indigorill
