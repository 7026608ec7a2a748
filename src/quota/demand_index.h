/// \file
/// What the holders of one budget demand, in order and with prefix sums, so that the max-min fair share of
/// one is found in logarithmic time: an order-statistic tree (Cormen and others, "Introduction to
/// Algorithms", 14.1) whose nodes also keep the sum of their subtrees. No I/O, no clock.
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
    double units = 0;           ///< a whole number
    std::uint64_t session = 0;  ///< of the holder
    // NOLINTNEXTLINE(modernize-use-nullptr): LLVM 14 misreads a defaulted <=>
    auto operator<=>(const Demand&) const = default;
  };

  void add(const Demand& demand) { tree_.insert(demand); }
  void remove(const Demand& demand) { tree_.erase(demand); }
  std::size_t size() const { return tree_.size(); }

  /// The max-min fair share (Bertsekas, Gallager, "Data Networks", 6.5) of `total` units for `demand`, which
  /// must be in the index: nobody has more while another one demands more and has less. What nobody demands
  /// goes to all alike, for who demands more a moment later. In whole units; those left over by the division
  /// go to one after the other as `turn` advances.
  double fair_share(const Demand& demand, double total, std::size_t turn) const;

  /// Nodes looked at so far: the cost of the calls, without a clock.
  std::uint64_t step_count() const { return visited_nodes_; }

 private:
  /// Of a run of demands in order.
  struct PrefixSum {
    std::size_t count = 0;
    double sum = 0;
    PrefixSum& operator+=(const PrefixSum& other) {
      count += other.count;
      sum += other.sum;
      return *this;
    }
  };
  /// Keeps the sum of each subtree in its root, as the tree's update policy.
  template <class ConstNodeIterator, class NodeIterator, class Compare, class Allocator>
  struct SubtreeSums {
    // The library looks for this name.
    using metadata_type = PrefixSum;  // NOLINT(readability-identifier-naming)
    void operator()(NodeIterator node, ConstNodeIterator end) const {
      PrefixSum subtree{.count = 1, .sum = (**node).units};
      if (const auto left = node.get_l_child(); left != end) subtree += left.get_metadata();
      if (const auto right = node.get_r_child(); right != end) subtree += right.get_metadata();
      // The library gives read access alone, and expects this write (its own policies do the same).
      const_cast<PrefixSum&>(node.get_metadata()) = subtree;
    }
  };
  using Tree = __gnu_pbds::tree<Demand, __gnu_pbds::null_type, std::less<Demand>, __gnu_pbds::rb_tree_tag,
                                SubtreeSums>;

  /// The longest prefix of demands for which `includes(demand, sum of those before it)` holds; it must not
  /// hold for any demand after one for which it does not.
  template <class Predicate>
  PrefixSum longest_prefix(Predicate includes) const;

  Tree tree_;
  mutable std::uint64_t visited_nodes_ = 0;
};

}  // namespace indigorill
