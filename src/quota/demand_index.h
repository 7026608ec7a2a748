/// \file
/// The demands of all holders of one budget, in ascending order and with prefix sums, so that the max-min
/// fair share of one holder is found in logarithmic time. This is an order-statistic tree (Cormen and others,
/// "Introduction to Algorithms", 14.1) whose nodes also keep the sums of their subtrees. No I/O, no clock.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <ext/pb_ds/assoc_container.hpp>
#include <ext/pb_ds/tree_policy.hpp>
#include <functional>

namespace indigorill {

class DemandIndex {
 public:
  /// Ordered by the units, then by the session.
  struct Demand {
    double units = 0;           ///< demanded units, a whole number
    std::uint64_t session = 0;  ///< session of the holder
    // NOLINTNEXTLINE(modernize-use-nullptr): LLVM 14 misreads a defaulted <=>
    auto operator<=>(const Demand&) const = default;
  };

  void add(const Demand& demand) { tree_.insert(demand); }
  void remove(const Demand& demand) { tree_.erase(demand); }
  std::size_t size() const { return tree_.size(); }

  /// The max-min fair share (Bertsekas, Gallager, "Data Networks", 6.5) of `total` units for `demand`, which
  /// must be in the index: no holder has more than another holder whose demand is not met. Units that are not
  /// demanded are divided equally among all holders, in case their demands rise a moment later. Shares are in
  /// whole units; units left over by the division go to the holders in rotation as `turn` advances.
  double fair_share(const Demand& demand, double total, std::size_t turn) const;

  /// Number of tree nodes visited so far: the cost of all calls, measured without a clock.
  std::uint64_t step_count() const { return visited_nodes_; }

 private:
  /// Number and sum of consecutive demands.
  struct PrefixSum {
    std::size_t count = 0;
    double sum = 0;
    PrefixSum& operator+=(const PrefixSum& other) {
      count += other.count;
      sum += other.sum;
      return *this;
    }
  };
  /// The tree's update policy: keeps the sum of each subtree in its root.
  template <class ConstNodeIterator, class NodeIterator, class Compare, class Allocator>
  struct SubtreeSums {
    // The library requires this name.
    using metadata_type = PrefixSum;  // NOLINT(readability-identifier-naming)
    void operator()(NodeIterator node, ConstNodeIterator end) const {
      PrefixSum subtree{.count = 1, .sum = (**node).units};
      if (const auto left = node.get_l_child(); left != end) subtree += left.get_metadata();
      if (const auto right = node.get_r_child(); right != end) subtree += right.get_metadata();
      // The library gives read access only, but expects this write; its own policies do the same.
      const_cast<PrefixSum&>(node.get_metadata()) = subtree;
    }
  };
  using Tree = __gnu_pbds::tree<Demand, __gnu_pbds::null_type, std::less<Demand>, __gnu_pbds::rb_tree_tag,
                                SubtreeSums>;

  /// Sum of the longest prefix of demands for which `includes(demand, sum of the demands before it)` is true.
  /// `includes` must be false for each demand after one for which it is false.
  template <class Predicate>
  PrefixSum longest_prefix(Predicate includes) const;

  Tree tree_;
  mutable std::uint64_t visited_nodes_ = 0;
};

}  // namespace indigorill
