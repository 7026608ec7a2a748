// What the sharers of one budget want, in order and with sums, so that one's max-min fair part is found
// without going over all: an order-statistic tree (Cormen and others, "Introduction to Algorithms", 14.1)
// whose nodes also keep the sum below them. No I/O, no clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <ext/pb_ds/assoc_container.hpp>
#include <ext/pb_ds/tree_policy.hpp>
#include <utility>

namespace indigorill {

class DemandIndex {
 public:
  // What one wants, in whole units; ordered by the amount, then by who it is.
  using Demand = std::pair<double, std::uint64_t>;

  void add(const Demand& w) { tree_.insert(w); }
  void remove(const Demand& w) { tree_.erase(w); }
  std::size_t size() const { return tree_.size(); }

  // The max-min fair part (Bertsekas, Gallager, "Data Networks", 6.5) of one whose wish is among these, of a
  // whole of so many units: nobody has more while another one wants and has less; what nobody wants goes to
  // all alike, for who wants more a moment later. Whole units; the odd ones by turns.
  double fair_share(const Demand& of, double whole, std::size_t turn) const;

  // Nodes looked at so far: what the answers cost, without a clock.
  std::uint64_t step_count() const { return visited_nodes_; }

 private:
  struct Below {
    std::size_t count = 0;
    double sum = 0;
    Below& operator+=(const Below& b) { return count += b.count, sum += b.sum, *this; }
  };
  template <class Node_CItr, class Node_Itr, class Cmp_Fn, class Alloc>
  struct KeepSums {
    using metadata_type = Below;  // the name that the tree policy asks for
    void operator()(Node_Itr at, Node_CItr end) const {
      Below b{1, (**at).first};
      if (const auto l = at.get_l_child(); l != end) b += l.get_metadata();
      if (const auto r = at.get_r_child(); r != end) b += r.get_metadata();
      const_cast<Below&>(at.get_metadata()) = b;
    }
  };
  using Wishes =
      __gnu_pbds::tree<Demand, __gnu_pbds::null_type, std::less<Demand>, __gnu_pbds::rb_tree_tag, KeepSums>;

  // Those at the front for whom `goes_on`, given the wish and what is before it, holds; it must hold for none
  // after the first for whom it doesn't.
  template <class Holds>
  Below front(Holds goes_on) const;

  Wishes tree_;
  mutable std::uint64_t visited_nodes_ = 0;
};

}  // namespace indigorill
