/// @file
/// The endpoint list that is in force, and its distribution to the parts of the proxy that use it.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "discovery/discovery_client.h"
#include "ejection/manual_ejection.h"
#include "logging/logger.h"
#include "proxy/request_dispatcher.h"
#include "proxy/upstream_pool.h"

namespace indigorill {

/// Applies each endpoint list to the connection pool, the manual ejections and the dispatcher, in this order,
/// and keeps the resulting list for a child process.
class EndpointRegistry {
 public:
  /// Whether an update answers a poll of this process, or restores an earlier list.
  enum class Source { restored, poll_response };

  /// All references must outlive the registry.
  EndpointRegistry(UpstreamPool& upstream_pool, RequestDispatcher& dispatcher, ManualEjections& ejections,
                   Logger& logger);

  void apply(const EndpointListUpdate& update, Source source);

  /// Version of the update applied last.
  std::uint64_t version() const { return version_; }
  std::size_t size() const { return entries_.size(); }
  /// The complete list in force, draining endpoints included.
  EndpointListUpdate snapshot() const;

 private:
  void log_update(const EndpointListUpdate& update) const;

  UpstreamPool& upstream_pool_;
  RequestDispatcher& dispatcher_;
  ManualEjections& ejections_;
  Logger& logger_;
  std::map<std::string, EndpointListUpdate::Entry> entries_;  // by endpoint id
  std::uint64_t version_ = 0;
};

}  // namespace indigorill
