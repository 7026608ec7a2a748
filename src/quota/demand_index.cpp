#include "quota/demand_index.h"

#include <cmath>

namespace indigorill {

template <class Holds>
DemandIndex::Below DemandIndex::front(Holds goes_on) const {
  Below before;
  auto at = tree_.node_begin();
  const auto end = tree_.node_end();
  while (at != end) {
    ++visited_nodes_;
    Below here = before;
    if (const auto l = at.get_l_child(); l != end) here += l.get_metadata();
    if (goes_on(**at, here)) {
      before = here;
      before += Below{1, (**at).first};
      at = at.get_r_child();
    } else {
      at = at.get_l_child();
    }
  }
  return before;
}

double DemandIndex::fair_share(const Demand& of, double whole, std::size_t turn) const {
  const std::size_t n = size();
  if (n == 0) return 0;
  // In order of their wishes, those that an equal part of what those before them leave is enough for.
  const Below served = front([&](const Demand& w, const Below& before) {
    return w.first * static_cast<double>(n - before.count) <= whole - before.sum;
  });
  const std::size_t rank = front([&](const Demand& w, const Below&) { return w < of; }).count;
  const double left = whole - served.sum;
  if (rank < served.count && served.count < n) return of.first;
  // The rest have the same part each; where all are served, what is left goes to all.
  const bool enough = served.count == n;
  const std::size_t among = enough ? n : n - served.count, place = enough ? rank : rank - served.count;
  const double alike = std::floor(left / static_cast<double>(among));
  const double odd = left - alike * static_cast<double>(among);
  const std::size_t my_turn = (place + among - turn % among) % among;
  return (enough ? of.first : 0) + alike + (static_cast<double>(my_turn) < odd ? 1 : 0);
}

}  // namespace indigorill
