#include "ejection/manual_ejection.h"

#include <algorithm>
#include <iterator>

namespace indigorill {

void ManualEjections::update_endpoints(bool is_complete, const std::vector<std::string>& present,
                                       const std::vector<std::string>& removed) {
  if (is_complete) listed_.clear();
  listed_.insert(present.begin(), present.end());
  for (const std::string& id : removed) listed_.erase(id);
}

std::vector<std::string> ids_missing_from(const ManualEjections::EndpointIds& other,
                                          const ManualEjections::EndpointIds& ids) {
  std::vector<std::string> missing;
  std::set_difference(ids.begin(), ids.end(), other.begin(), other.end(), std::back_inserter(missing));
  return missing;
}

}  // namespace indigorill
