/// The load that other sidecars cause, summed by endpoint and tenant.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "indigorill/load_balancer.h"

namespace indigorill {

/// Sums over the load gossip of all peers. Messages may arrive late, twice, out of order or not at all, and a
/// peer may have died since its last one. Therefore each message replaces the values that its sender reported
/// before, and the values of a silent peer expire.
class PeerLoadTable {
 public:
  void record_gossip(double now_ms, int peer, const LoadGossip& gossip);
  /// Erases peers that have been silent for too long, and failures that have decayed.
  void expire_silent_peers(double now_ms);

  /// True if gossip of any peer was received lately.
  bool has_recent_gossip(double now_ms) const { return now_ms - last_received_at_ms_ <= peer_timeout_ms; }
  /// Attempts of all peers in flight at the endpoint.
  double in_flight(std::uint32_t endpoint_tag) const { return total_in_flight_by_tag_[endpoint_tag]; }
  /// Failures of peers at the endpoint, decayed by their age.
  double failures(std::uint32_t endpoint_tag, double now_ms) const;
  /// Rate at which the tenant's RPCs arrive at all peers.
  double arrivals_per_s(std::size_t tenant) const;

 private:
  static constexpr double never = -1e18;
  // A peer with attempts in flight sends gossip at least once a second.
  static constexpr double peer_timeout_ms = 1500;

  struct PeerReport {
    double received_at_ms = never;
    std::uint32_t sequence = 0;
    std::map<std::uint32_t, double> in_flight_by_tag;
    std::vector<double> arrivals_per_s;
  };
  struct FailureCount {
    double count = 0;
    double updated_at_ms = never;
  };

  void record_endpoint_load(double now_ms, PeerReport& report, const LoadGossip::EndpointLoad& load);
  void remove_in_flight(PeerReport& report);

  double last_received_at_ms_ = never;
  std::map<int, PeerReport> reports_by_peer_;
  std::vector<double> total_in_flight_by_tag_ = std::vector<double>(LoadGossip::endpoint_tag_count);
  std::map<std::uint32_t, FailureCount> failures_by_tag_;
};

}  // namespace indigorill
