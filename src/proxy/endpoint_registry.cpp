#include "proxy/endpoint_registry.h"

#include <vector>

namespace indigorill {

EndpointRegistry::EndpointRegistry(UpstreamPool& upstream_pool, RequestDispatcher& dispatcher,
                                   ManualEjections& ejections, Logger& logger)
    : upstream_pool_(upstream_pool), dispatcher_(dispatcher), ejections_(ejections), logger_(logger) {}

void EndpointRegistry::apply(const EndpointListUpdate& update, Source source) {
  log_update(update);
  if (update.complete) entries_.clear();
  version_ = update.version;
  std::vector<Endpoint> endpoints;
  std::vector<std::string> listed_ids;
  std::vector<std::string> removed_ids;
  for (const EndpointListUpdate::Entry& entry : update.entries) {
    const Endpoint& endpoint = entry.endpoint;
    if (endpoint.state == EndpointState::gone) {
      upstream_pool_.remove_endpoint(endpoint.id);
      entries_.erase(endpoint.id);
      removed_ids.push_back(endpoint.id);
    } else {
      upstream_pool_.update_endpoint(endpoint.id, entry.address, endpoint.state, endpoint.started_at_ms);
      entries_[endpoint.id] = entry;
      listed_ids.push_back(endpoint.id);
    }
    endpoints.push_back(endpoint);
  }
  ejections_.update_endpoints(update.complete, listed_ids, removed_ids);
  // An ejected endpoint that left the list and returned is new to the pool, but still ejected.
  for (const std::string& id : listed_ids)
    if (ejections_.is_ejected(id)) upstream_pool_.set_ejected_manually(id, true);
  if (update.complete) upstream_pool_.retain_endpoints(endpoints);
  dispatcher_.update_endpoints(update.complete, source == Source::poll_response, endpoints);
}

void EndpointRegistry::log_update(const EndpointListUpdate& update) const {
  if (!update.complete && update.entries.empty()) return;
  Logger::Line line = logger_.info();
  line << "endpoint list version " << update.version << (update.complete ? ", complete, " : ", changes, ")
       << update.entries.size() << " entries";
  line.field("version", static_cast<std::int64_t>(update.version));
  line.field("entries", static_cast<std::int64_t>(update.entries.size()));
}

EndpointListUpdate EndpointRegistry::snapshot() const {
  EndpointListUpdate list;
  list.version = version_;
  list.complete = true;
  for (const auto& [id, entry] : entries_) list.entries.push_back(entry);
  return list;
}

}  // namespace indigorill
