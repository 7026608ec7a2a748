// Many members on an emulated network, to measure how soon all know of a join, a leave and a death, how often
// the living are taken for dead, and what it costs each. The members are the sidecar's own; so are the bytes.
#pragma once

#include <cstdint>
#include <ostream>
#include <string>
#include <vector>

namespace indigorill::lab {

struct gathering {
  int sidecars = 10, seeds = 3;
  double loss = 0;                      // of all datagrams
  double period = 1000, timeout = 300;  // ms
  double delay = 1, jitter = 4;         // ms
  double calm = 60000;                  // ms, over which costs and false deaths are counted
  double patience = 300000;             // ms, for each thing to become known
  std::uint64_t seed = 1;
};

struct known_after {
  double nine_in_ten = -1, all = -1;  // ms; -1: not within the patience
};

struct gathered {
  known_after start, join, leave, death;
  std::uint64_t false_deaths = 0;   // a living one taken for dead by one other, in the calm time
  double datagrams = 0, bytes = 0;  // a second, sent by each in the calm time
  double most_bytes = 0;            // by the one that sends most
  std::size_t longest = 0;          // datagram, bytes
};

gathered gather(const gathering& how);

// A line for each, with headings.
void print_gathered(std::ostream& out, const std::vector<std::pair<gathering, gathered>>& all);

}  // namespace indigorill::lab
