#include "load_gossip/peer_load_table.h"

#include <algorithm>
#include <cmath>

namespace indigorill {

void PeerLoadTable::remove_in_flight(PeerReport& v) {
  for (const auto& [server, in_hand] : v.in_flight_by_tag)
    total_in_flight_by_tag_[server] = std::max(0.0, total_in_flight_by_tag_[server] - in_hand);
  v.in_flight_by_tag.clear();
}

void PeerLoadTable::record_gossip(double now, int sidecar, const LoadGossip& what) {
  PeerReport& v = reports_by_peer_[sidecar];
  const std::uint32_t on =
      (what.sequence + LoadGossip::sequence_modulus - v.sequence) % LoadGossip::sequence_modulus;
  // One that starts again counts from anywhere: after a silence any number will do.
  if (now - v.received_at_ms < peer_timeout_ms && (on == 0 || on > LoadGossip::sequence_modulus / 2)) return;
  if (what.is_complete) remove_in_flight(v);
  last_received_at_ms_ = v.received_at_ms = now;
  v.sequence = what.sequence;
  if (!what.arrivals_per_s.empty()) v.arrivals_per_s = what.arrivals_per_s;
  for (const LoadGossip::EndpointLoad& k : what.endpoint_loads) {
    if (k.endpoint_tag >= LoadGossip::endpoint_tag_count) continue;
    double& had = v.in_flight_by_tag[k.endpoint_tag];
    total_in_flight_by_tag_[k.endpoint_tag] =
        std::max(0.0, total_in_flight_by_tag_[k.endpoint_tag] + k.in_flight - had);
    had = k.in_flight;
    if (had <= 0) v.in_flight_by_tag.erase(k.endpoint_tag);
    if (k.failures > 0) failures_by_tag_[k.endpoint_tag] = {failures(k.endpoint_tag, now) + k.failures, now};
  }
}

void PeerLoadTable::expire_silent_peers(double now) {
  for (auto& [sidecar, v] : reports_by_peer_)
    if (now - v.received_at_ms > peer_timeout_ms) remove_in_flight(v);
  std::erase_if(reports_by_peer_,
                [&](const auto& v) { return now - v.second.received_at_ms > peer_timeout_ms; });
  std::erase_if(failures_by_tag_, [&](const auto& b) { return failures(b.first, now) < 0.01; });
}

double PeerLoadTable::failures(std::uint32_t server, double now) const {
  constexpr double half_life = 2000;  // ms; a server that fails is told of several times in it
  const auto it = failures_by_tag_.find(server);
  return it == failures_by_tag_.end()
             ? 0
             : it->second.count * std::exp2((it->second.updated_at_ms - now) / half_life);
}

double PeerLoadTable::arrivals_per_s(std::size_t tenant) const {
  double all = 0;
  for (const auto& [sidecar, v] : reports_by_peer_)
    all += tenant < v.arrivals_per_s.size() ? v.arrivals_per_s[tenant] : 0;
  return all;
}

}  // namespace indigorill
