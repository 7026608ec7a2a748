/// The endpoints that a load balancer knows, by id and in the order in which they were added.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "load_balancer_state/tracked_endpoint.h"

namespace indigorill {

/// Owns all tracked endpoints; references stay valid until the endpoint is erased.
class EndpointTable {
 public:
  /// Null if no endpoint has this id.
  TrackedEndpoint* find(std::string_view id) const;
  TrackedEndpoint& find_or_add(const std::string& id);
  /// Applies one entry of the endpoint list, adding the endpoint if it is new.
  void update(const Endpoint& listed);
  void erase_if(const std::function<bool(const TrackedEndpoint&)>& is_obsolete);

  /// Position of the zone among all zones seen so far.
  std::size_t find_or_add_zone(const std::string& name);
  std::size_t zone_count() const { return zone_names_.size(); }
  MachineTypeStats& machine_type(const std::string& name) { return machine_types_[name]; }

  /// Marks all endpoints as absent from the endpoint list.
  void clear_listed();
  /// Recomputes which endpoints are ready.
  void refresh_ready();

  /// The loads to gossip: those of all endpoints, or only those that changed since the last call.
  std::vector<LoadGossip::EndpointLoad> take_loads(bool is_complete);
  /// The best rendezvous score for a key among the ready endpoints of each zone.
  std::vector<std::uint64_t> best_scores_by_zone(std::uint64_t key) const;

  const std::vector<TrackedEndpoint*>& known() const { return known_; }
  const std::vector<TrackedEndpoint*>& ready() const { return ready_; }

 private:
  std::map<std::string, std::unique_ptr<TrackedEndpoint>, std::less<>> endpoints_by_id_;
  std::vector<TrackedEndpoint*> known_;
  std::vector<TrackedEndpoint*> ready_;
  std::vector<std::string> zone_names_;
  std::map<std::string, MachineTypeStats> machine_types_;
};

}  // namespace indigorill
