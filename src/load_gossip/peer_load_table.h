/// The load that other sidecars cause, added up by endpoint and tenant.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "indigorill/load_balancer.h"

namespace indigorill {

/// Sums of the last load gossip of all peers. Messages are late, lost, doubled and out of order, and a peer
/// may have died since its last one: each replaces what its sender said before, and silence ends it.
class PeerLoadTable {
 public:
  void record_gossip(double now_ms, int peer, const LoadGossip& gossip);
  /// Forgets peers that were not heard for long, and failures that have faded.
  void expire_silent_peers(double now_ms);

  /// True if any peer was heard lately.
  bool has_recent_gossip(double now_ms) const { return now_ms - last_received_at_ms_ <= peer_timeout_ms; }
  /// Attempts of all peers at the endpoint.
  double in_flight(std::uint32_t endpoint_tag) const { return total_in_flight_by_tag_[endpoint_tag]; }
  /// Failures that peers saw at the endpoint; they fade.
  double failures(std::uint32_t endpoint_tag, double now_ms) const;
  /// RPCs of the tenant at all peers.
  double arrivals_per_s(std::size_t tenant) const;

 private:
  static constexpr double never = -1e18;
  // A peer with anything in flight sends gossip once a second at least.
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
