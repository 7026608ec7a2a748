#include "ejection/manual_ejection.h"

#include <algorithm>
#include <iterator>

namespace indigorill {

void ManualEjections::update_endpoints(bool whole, const std::vector<std::string>& here,
                                       const std::vector<std::string>& gone) {
  if (whole) listed_.clear();
  listed_.insert(here.begin(), here.end());
  for (const std::string& id : gone) listed_.erase(id);
}

std::vector<std::string> ids_missing_from(const ManualEjections::EndpointIds& from,
                                          const ManualEjections::EndpointIds& in) {
  std::vector<std::string> lack;
  std::set_difference(in.begin(), in.end(), from.begin(), from.end(), std::back_inserter(lack));
  return lack;
}

}  // namespace indigorill
