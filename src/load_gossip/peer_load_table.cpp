#include "load_gossip/peer_load_table.h"

#include <algorithm>
#include <cmath>

namespace indigorill {

void PeerLoadTable::record_gossip(double now_ms, int peer, const LoadGossip& gossip) {
  constexpr std::uint32_t modulus = LoadGossip::sequence_modulus;
  PeerReport& report = reports_by_peer_[peer];
  const std::uint32_t advance = (gossip.sequence + modulus - report.sequence) % modulus;
  const bool is_outdated = advance == 0 || advance > modulus / 2;
  // A restarted peer begins at an arbitrary number, so after a silence any number is accepted.
  if (is_outdated && now_ms - report.received_at_ms < peer_timeout_ms) return;
  if (gossip.is_complete) remove_in_flight(report);
  last_received_at_ms_ = now_ms;
  report.received_at_ms = now_ms;
  report.sequence = gossip.sequence;
  if (!gossip.arrivals_per_s.empty()) report.arrivals_per_s = gossip.arrivals_per_s;
  for (const LoadGossip::EndpointLoad& load : gossip.endpoint_loads)
    record_endpoint_load(now_ms, report, load);
}

void PeerLoadTable::record_endpoint_load(double now_ms, PeerReport& report,
                                         const LoadGossip::EndpointLoad& load) {
  const std::uint32_t tag = load.endpoint_tag;
  if (tag >= LoadGossip::endpoint_tag_count) return;
  double& previous = report.in_flight_by_tag[tag];
  double& total = total_in_flight_by_tag_[tag];
  total = std::max(0.0, total + load.in_flight - previous);
  previous = load.in_flight;
  if (load.in_flight <= 0) report.in_flight_by_tag.erase(tag);
  if (load.failures > 0) failures_by_tag_[tag] = {failures(tag, now_ms) + load.failures, now_ms};
}

void PeerLoadTable::remove_in_flight(PeerReport& report) {
  for (const auto& [tag, in_flight] : report.in_flight_by_tag) {
    double& total = total_in_flight_by_tag_[tag];
    total = std::max(0.0, total - in_flight);
  }
  report.in_flight_by_tag.clear();
}

void PeerLoadTable::expire_silent_peers(double now_ms) {
  constexpr double min_failures = 0.01;
  const auto is_silent = [&](const PeerReport& report) {
    return now_ms - report.received_at_ms > peer_timeout_ms;
  };
  for (auto& [peer, report] : reports_by_peer_)
    if (is_silent(report)) remove_in_flight(report);
  std::erase_if(reports_by_peer_, [&](const auto& entry) { return is_silent(entry.second); });
  std::erase_if(failures_by_tag_,
                [&](const auto& entry) { return failures(entry.first, now_ms) < min_failures; });
}

double PeerLoadTable::failures(std::uint32_t endpoint_tag, double now_ms) const {
  constexpr double half_life_ms = 2000;  // a failing endpoint is in several messages during this time
  const auto entry = failures_by_tag_.find(endpoint_tag);
  if (entry == failures_by_tag_.end()) return 0;
  const FailureCount& failures = entry->second;
  return failures.count * std::exp2((failures.updated_at_ms - now_ms) / half_life_ms);
}

double PeerLoadTable::arrivals_per_s(std::size_t tenant) const {
  double total = 0;
  for (const auto& [peer, report] : reports_by_peer_)
    if (tenant < report.arrivals_per_s.size()) total += report.arrivals_per_s[tenant];
  return total;
}

}  // namespace indigorill
