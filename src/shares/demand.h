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

class demand {
 public:
  // What one wants, in whole units; ordered by the amount, then by who it is.
  using wish = std::pair<double, std::uint64_t>;

  void add(const wish& w) { tree.insert(w); }
  void take_out(const wish& w) { tree.erase(w); }
  std::size_t size() const { return tree.size(); }

  // The max-min fair part (Bertsekas, Gallager, "Data Networks", 6.5) of one whose wish is among these, of a
  // whole of so many units: nobody has more while another one wants and has less; what nobody wants goes to
  // all alike, for who wants more a moment later. Whole units; the odd ones by turns.
  double part(const wish& of, double whole, std::size_t turn) const;

  // Nodes looked at so far: what the answers cost, without a clock.
  std::uint64_t steps() const { return looked; }

 private:
  struct below {
    std::size_t count = 0;
    double sum = 0;
    below& operator+=(const below& b) { return count += b.count, sum += b.sum, *this; }
  };
  template <class Node_CItr, class Node_Itr, class Cmp_Fn, class Alloc>
  struct keep_sums {
    using metadata_type = below;
    void operator()(Node_Itr at, Node_CItr end) const {
      below b{1, (**at).first};
      if (const auto l = at.get_l_child(); l != end) b += l.get_metadata();
      if (const auto r = at.get_r_child(); r != end) b += r.get_metadata();
      const_cast<below&>(at.get_metadata()) = b;
    }
  };
  using wishes =
      __gnu_pbds::tree<wish, __gnu_pbds::null_type, std::less<wish>, __gnu_pbds::rb_tree_tag, keep_sums>;

  // Those at the front for whom `goes_on`, given the wish and what is before it, holds; it must hold for none
  // after the first for whom it doesn't.
  template <class Holds>
  below front(Holds goes_on) const;

  wishes tree;
  mutable std::uint64_t looked = 0;
};

}  // namespace indigorill
