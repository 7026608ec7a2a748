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

class maintenance {
 public:
  using ids = std::set<std::string, std::less<>>;

  void listed(bool whole, const std::vector<std::string>& here, const std::vector<std::string>& gone);

  bool knows(std::string_view id) const { return on_list.count(id) > 0 || is_out.count(id) > 0; }
  bool out(std::string_view id) const { return is_out.count(id) > 0; }
  const ids& all_out() const { return is_out; }

  // What another process of this sidecar, or one before it, left in force.
  void restore(ids all) { is_out = std::move(all); }

 private:
  ids on_list, is_out;
};

// What one set has that the other lacks.
std::vector<std::string> missing(const maintenance::ids& from, const maintenance::ids& in);

}  // namespace indigorill
