/// Endpoints that operators ejected by hand: which ids are known, and which of them are ejected. No I/O, no
/// clock.
#pragma once

#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace indigorill {

/// A set, not a count: two ejections of an endpoint need one restoration. An id is known while the endpoint
/// list has it or it is ejected, so that an endpoint that left the list in the meantime can still be
/// restored, and stays ejected if it returns to the list before that.
class ManualEjections {
 public:
  using EndpointIds = std::set<std::string, std::less<>>;

  /// Follows the endpoint list. `is_complete`: `present` are all endpoints there are; else changes to those
  /// known.
  void update_endpoints(bool is_complete, const std::vector<std::string>& present,
                        const std::vector<std::string>& removed);

  bool is_known(std::string_view id) const { return listed_.contains(id) || ejected_.contains(id); }
  bool is_ejected(std::string_view id) const { return ejected_.contains(id); }
  const EndpointIds& ejected() const { return ejected_; }

  /// Takes over the ejections that all processes of this sidecar have agreed on.
  void replace_ejected(EndpointIds ids) { ejected_ = std::move(ids); }

 private:
  EndpointIds listed_;
  EndpointIds ejected_;
};

/// The ids in `ids` that `other` lacks, in order.
std::vector<std::string> ids_missing_from(const ManualEjections::EndpointIds& other,
                                          const ManualEjections::EndpointIds& ids);

}  // namespace indigorill
