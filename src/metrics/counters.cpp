#include "metrics/counters.h"

namespace indigorill {
namespace {

constexpr std::array<std::string_view, 9> endings{"ok",    "error",     "full", "timed_out", "connect_failed",
                                                  "reset", "cancelled", "moot", "withdrawn"};

}  // namespace

std::string_view name_of(AttemptOutcome how) { return endings[static_cast<std::size_t>(how)]; }

std::ostream& operator<<(std::ostream& out, const Counters& c) {
  const auto one = [&](std::string_view name, Counters::Count value) { out << name << ' ' << value << '\n'; };
  one("rpcs_taken", c.rpcs_received);
  one("rpcs_ok", c.rpcs_ok);
  one("rpcs_pushed_back", c.rpcs_rejected);
  one("rpcs_aborted", c.rpcs_failed);
  one("rpcs_left", c.rpcs_abandoned);
  one("bad_input", c.malformed_requests);
  one("silent_clients", c.timed_out_clients);
  one("out_of_room", c.resource_rejections);
  one("answers_unheard", c.undelivered_responses);
  one("long_requests", c.streamed_requests);
  one("long_answers", c.streamed_responses);
  one("answers_cut", c.truncated_responses);
  for (std::size_t i = 0; i < endings.size(); ++i)
    out << "picks_" << endings[i] << ' ' << c.attempts[i] << '\n';
  for (std::size_t i = 0; i < endings.size(); ++i)
    out << "probes_" << endings[i] << ' ' << c.health_checks[i] << '\n';
  one("connections_accepted", c.connections_accepted);
  one("connections_opened", c.connections_opened);
  one("connections_reused", c.connections_reused);
  one("connections_retired", c.connections_retired);
  one("connections_closed_for_room", c.connections_evicted);
  constexpr std::array<std::string_view, 4> uses{"answered", "silent", "half_sent", "idle"};
  for (std::size_t i = 0; i < uses.size(); ++i)
    out << "closed_for_room_" << uses[i] << ' ' << c.evictions_by_state[i] << '\n';
  one("out_by_hand", c.manually_ejected_endpoints);
  one("orders", c.admin_requests);
  one("orders_refused", c.rejected_admin_requests);
  one("lists", c.endpoint_list_updates);
  one("list_failures", c.endpoint_poll_failures);
  one("malformed_lists", c.malformed_endpoint_lists);
  return out;
}

}  // namespace indigorill
