#include "maintenance.h"

#include <algorithm>
#include <iterator>

namespace indigorill {

void maintenance::listed(bool whole, const std::vector<std::string>& here,
                         const std::vector<std::string>& gone) {
  if (whole) on_list.clear();
  on_list.insert(here.begin(), here.end());
  for (const std::string& id : gone) on_list.erase(id);
}

std::vector<std::string> missing(const maintenance::ids& from, const maintenance::ids& in) {
  std::vector<std::string> lack;
  std::set_difference(in.begin(), in.end(), from.begin(), from.end(), std::back_inserter(lack));
  return lack;
}

}  // namespace indigorill
