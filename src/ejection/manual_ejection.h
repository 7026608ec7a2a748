/// \file
/// The endpoints that operators ejected manually: which ids are known, and which of them are ejected. No I/O,
/// no clock.
#pragma once

#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace indigorill {

/// Ejections are a set, not a count: one restoration ends any number of ejections of an endpoint. An id is
/// known while it is in the endpoint list or ejected, so that an endpoint that has left the list can still be
/// restored, and stays ejected if it returns to the list before it is restored.
class ManualEjections {
 public:
  using EndpointIds = std::set<std::string, std::less<>>;

  /// Applies an update of the endpoint list. If `is_complete`, `present` holds all endpoints of the list;
  /// otherwise `present` and `removed` are changes to the known list.
  void update_endpoints(bool is_complete, const std::vector<std::string>& present,
                        const std::vector<std::string>& removed);

  bool is_known(std::string_view id) const { return listed_.contains(id) || ejected_.contains(id); }
  bool is_ejected(std::string_view id) const { return ejected_.contains(id); }
  const EndpointIds& ejected() const { return ejected_; }

  /// Replaces the ejected ids by those on which all processes of this sidecar have agreed.
  void replace_ejected(EndpointIds ids) { ejected_ = std::move(ids); }

 private:
  EndpointIds listed_;
  EndpointIds ejected_;
};

/// The ids in `ids` that `other` lacks, in order.
std::vector<std::string> ids_missing_from(const ManualEjections::EndpointIds& other,
                                          const ManualEjections::EndpointIds& ids);

}  // namespace indigorill
