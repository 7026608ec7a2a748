// What a sidecar took in, sent and answered, by outcome.
#pragma once

#include <array>
#include <cstdint>
#include <ostream>
#include <string_view>

#include "indigorill/balance.h"

namespace indigorill {

struct counters {
  using count = std::uint64_t;
  using by_ending = std::array<count, 9>;

  count taken = 0, ok = 0, pushed_back = 0, aborted = 0, left = 0;  // RPCs
  count bad_input = 0, silent = 0, out_of_room = 0;                 // answered without the module
  count long_requests = 0, long_answers = 0, cut = 0;               // in pieces; answers that broke off
  count unheard = 0;                                                // answers whose client had gone
  by_ending picks{}, probes{};
  count accepted = 0, opened = 0, reused = 0, retired = 0, closed_for_room = 0;  // connections
  std::array<count, 4> closed_by_use{};  // of clients: answered, silent, half sent, idle
  count out_by_hand = 0;                 // endpoints that are out now
  count orders = 0, orders_refused = 0;  // calls on the second address, and those answered no
  count lists = 0, list_failures = 0, malformed_lists = 0;

  static void add(by_ending& to, ending how) { ++to[static_cast<std::size_t>(how)]; }
};

std::string_view name_of(ending how);

// A line each: "name value".
std::ostream& operator<<(std::ostream& out, const counters& c);

}  // namespace indigorill
