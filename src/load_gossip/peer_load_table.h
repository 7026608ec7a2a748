// What other sidecars told, added up by server and tenant. Messages are late, lost, doubled and out of order,
// and a sidecar may have died since its last one: each replaces what its sender said before, and silence ends
// it.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "indigorill/load_balancer.h"

namespace indigorill {

class PeerLoadTable {
 public:
  void record_gossip(double now, int sidecar, const LoadGossip& what);
  void expire_silent_peers(double now);

  bool has_recent_gossip(double now) const {
    return now - last_received_at_ms_ <= peer_timeout_ms;
  }  // somebody was heard lately
  double in_flight(std::uint32_t server) const { return total_in_flight_by_tag_[server]; }
  double failures(std::uint32_t server, double now) const;  // these fade
  double arrivals_per_s(std::size_t tenant) const;          // a second, at all that were heard

 private:
  static constexpr double peer_timeout_ms =
      1500;  // ms; a sidecar with anything in hand tells each second at least
  struct PeerReport {
    double received_at_ms = -1e18;
    std::uint32_t sequence = 0;
    std::map<std::uint32_t, double> in_flight_by_tag;
    std::vector<double> arrivals_per_s;
  };
  struct FailureCount {
    double count = 0, updated_at_ms = -1e18;
  };
  void remove_in_flight(PeerReport& v);

  double last_received_at_ms_ = -1e18;
  std::map<int, PeerReport> reports_by_peer_;
  std::vector<double> total_in_flight_by_tag_ = std::vector<double>(LoadGossip::endpoint_tag_count);
  std::map<std::uint32_t, FailureCount> failures_by_tag_;
};

}  // namespace indigorill
