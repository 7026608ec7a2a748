#include "quota/demand_index.h"

#include <cmath>

namespace indigorill {

template <class Predicate>
DemandIndex::PrefixSum DemandIndex::longest_prefix(Predicate includes) const {
  PrefixSum prefix;
  auto node = tree_.node_begin();
  const auto end = tree_.node_end();
  while (node != end) {
    ++visited_nodes_;
    PrefixSum before_node = prefix;
    if (const auto left = node.get_l_child(); left != end) before_node += left.get_metadata();
    if (includes(**node, before_node)) {
      prefix = before_node;
      prefix += PrefixSum{.count = 1, .sum = (**node).units};
      node = node.get_r_child();
    } else {
      node = node.get_l_child();
    }
  }
  return prefix;
}

double DemandIndex::fair_share(const Demand& demand, double total, std::size_t turn) const {
  const std::size_t holders = size();
  if (holders == 0) return 0;
  // In ascending order, a demand is satisfied if it fits into an equal part of the units that are left for it
  // and the demands after it.
  const PrefixSum satisfied = longest_prefix([&](const Demand& other, const PrefixSum& before) {
    return other.units * static_cast<double>(holders - before.count) <= total - before.sum;
  });
  const std::size_t rank =
      longest_prefix([&](const Demand& other, const PrefixSum&) { return other < demand; }).count;
  const bool all_satisfied = satisfied.count == holders;
  if (!all_satisfied && rank < satisfied.count) return demand.units;

  // The remainder goes in equal parts to the holders that are not satisfied; if all are satisfied, to all.
  const std::size_t recipients = all_satisfied ? holders : holders - satisfied.count;
  const std::size_t position = all_satisfied ? rank : rank - satisfied.count;
  const double left = total - satisfied.sum;
  const double equal_part = std::floor(left / static_cast<double>(recipients));
  const double odd_units = left - equal_part * static_cast<double>(recipients);
  const std::size_t turns_until_own = (position + recipients - turn % recipients) % recipients;
  const double odd_unit = static_cast<double>(turns_until_own) < odd_units ? 1 : 0;
  const double base = all_satisfied ? demand.units : 0;
  return base + equal_part + odd_unit;
}

}  // namespace indigorill
