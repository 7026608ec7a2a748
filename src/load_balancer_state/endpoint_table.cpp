#include "load_balancer_state/endpoint_table.h"

#include <algorithm>
#include <utility>

#include "load_balancer_state/hashing.h"

namespace indigorill {

TrackedEndpoint* EndpointTable::find(std::string_view id) const {
  const auto it = endpoints_by_id_.find(id);
  return it == endpoints_by_id_.end() ? nullptr : it->second.get();
}

TrackedEndpoint& EndpointTable::find_or_add(const std::string& id) {
  std::unique_ptr<TrackedEndpoint>& endpoint = endpoints_by_id_[id];
  if (!endpoint) {
    endpoint = std::make_unique<TrackedEndpoint>();
    endpoint->id = id;
    endpoint->id_hash = fnv1a_hash(id);
    endpoint->machine_type = &machine_type({});
    known_.push_back(endpoint.get());
  }
  return *endpoint;
}

void EndpointTable::update(const Endpoint& listed) {
  TrackedEndpoint& endpoint = find_or_add(listed.id);
  endpoint.zone_index = find_or_add_zone(listed.zone);
  endpoint.cell = listed.cell;
  endpoint.machine_type = &machine_type(listed.machine_type);
  const double started_at_ms = listed.started_at_ms > 0 ? listed.started_at_ms : never;
  endpoint.set_start_time(std::max(started_at_ms, endpoint.reinstated_at_ms));
  endpoint.is_listed = listed.state == EndpointState::ready;
}

void EndpointTable::erase_if(const std::function<bool(const TrackedEndpoint&)>& is_obsolete) {
  std::erase_if(known_, [&](const TrackedEndpoint* endpoint) {
    if (!is_obsolete(*endpoint)) return false;
    endpoints_by_id_.erase(endpoints_by_id_.find(endpoint->id));
    return true;
  });
}

std::size_t EndpointTable::find_or_add_zone(const std::string& name) {
  auto it = std::find(zone_names_.begin(), zone_names_.end(), name);
  if (it == zone_names_.end()) it = zone_names_.insert(it, name);
  return static_cast<std::size_t>(it - zone_names_.begin());
}

void EndpointTable::clear_listed() {
  for (TrackedEndpoint* endpoint : known_) endpoint->is_listed = false;
}

void EndpointTable::refresh_ready() {
  ready_.clear();
  for (TrackedEndpoint* endpoint : known_) {
    endpoint->is_ready = endpoint->is_listed && !endpoint->ejected_manually;
    if (endpoint->is_ready) ready_.push_back(endpoint);
  }
}

std::vector<LoadGossip::EndpointLoad> EndpointTable::take_loads(bool is_complete) {
  std::vector<LoadGossip::EndpointLoad> loads;
  for (TrackedEndpoint* endpoint : known_) {
    const double in_flight = endpoint->in_flight;
    const bool has_load = is_complete ? in_flight > 0 : in_flight != endpoint->last_gossiped_in_flight;
    if (has_load || endpoint->failures_to_gossip > 0)
      loads.push_back({endpoint->gossip_tag(), in_flight, std::exchange(endpoint->failures_to_gossip, 0)});
    endpoint->last_gossiped_in_flight = in_flight;
  }
  return loads;
}

std::vector<std::uint64_t> EndpointTable::best_scores_by_zone(std::uint64_t key) const {
  std::vector<std::uint64_t> best(zone_names_.size());
  for (const TrackedEndpoint* endpoint : ready_) {
    std::uint64_t& best_of_zone = best[endpoint->zone_index];
    best_of_zone = std::max(best_of_zone, rendezvous_score(key, endpoint->id_hash));
  }
  return best;
}

}  // namespace indigorill
