// Endpoints that staff took out by hand: which ids are known, and which of them are out. No I/O, no clock.
//
// A set, not a count: two calls out need one call back. An id is known while the list has it or it is out,
// so that one that left the list meanwhile can still be put back, and stays out if it returns before that.
#pragma once

#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace indigorill {

class ManualEjections {
 public:
  using EndpointIds = std::set<std::string, std::less<>>;

  void update_endpoints(bool whole, const std::vector<std::string>& here,
                        const std::vector<std::string>& gone);

  bool is_known(std::string_view id) const { return listed_.count(id) > 0 || ejected_.count(id) > 0; }
  bool is_ejected(std::string_view id) const { return ejected_.count(id) > 0; }
  const EndpointIds& ejected() const { return ejected_; }

  // What another process of this sidecar, or one before it, left in force.
  void replace_ejected(EndpointIds all) { ejected_ = std::move(all); }

 private:
  EndpointIds listed_, ejected_;
};

// What one set has that the other lacks.
std::vector<std::string> ids_missing_from(const ManualEjections::EndpointIds& from,
                                          const ManualEjections::EndpointIds& in);

}  // namespace indigorill
