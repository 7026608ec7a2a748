#include "counters.h"

namespace indigorill {
namespace {

constexpr std::array<std::string_view, 9> endings{"ok",    "error",     "full", "timed_out", "connect_failed",
                                                  "reset", "cancelled", "moot", "withdrawn"};

}  // namespace

std::string_view name_of(ending how) { return endings[static_cast<std::size_t>(how)]; }

std::ostream& operator<<(std::ostream& out, const counters& c) {
  const auto one = [&](std::string_view name, counters::count value) { out << name << ' ' << value << '\n'; };
  one("rpcs_taken", c.taken);
  one("rpcs_ok", c.ok);
  one("rpcs_pushed_back", c.pushed_back);
  one("rpcs_aborted", c.aborted);
  one("rpcs_left", c.left);
  one("bad_input", c.bad_input);
  one("silent_clients", c.silent);
  one("out_of_room", c.out_of_room);
  one("answers_unheard", c.unheard);
  one("long_requests", c.long_requests);
  one("long_answers", c.long_answers);
  one("answers_cut", c.cut);
  for (std::size_t i = 0; i < endings.size(); ++i) out << "picks_" << endings[i] << ' ' << c.picks[i] << '\n';
  for (std::size_t i = 0; i < endings.size(); ++i)
    out << "probes_" << endings[i] << ' ' << c.probes[i] << '\n';
  one("connections_accepted", c.accepted);
  one("connections_opened", c.opened);
  one("connections_reused", c.reused);
  one("connections_retired", c.retired);
  one("connections_closed_for_room", c.closed_for_room);
  constexpr std::array<std::string_view, 4> uses{"answered", "silent", "half_sent", "idle"};
  for (std::size_t i = 0; i < uses.size(); ++i)
    out << "closed_for_room_" << uses[i] << ' ' << c.closed_by_use[i] << '\n';
  one("out_by_hand", c.out_by_hand);
  one("orders", c.orders);
  one("orders_refused", c.orders_refused);
  one("lists", c.lists);
  one("list_failures", c.list_failures);
  one("malformed_lists", c.malformed_lists);
  return out;
}

}  // namespace indigorill
