#include "metrics/counters.h"

namespace indigorill {
namespace {

constexpr std::array<std::string_view, 9> outcome_names{
    "ok", "error", "full", "timed_out", "connect_failed", "reset", "cancelled", "moot", "withdrawn"};

constexpr std::array<std::string_view, 4> eviction_state_names{"answered", "silent", "half_sent", "idle"};

void write(std::ostream& output, std::string_view name, Counters::Count value) {
  output << name << ' ' << value << '\n';
}

/// Writes an array of counters, each under the prefix and its name in `names`.
template <std::size_t Size>
void write_each(std::ostream& output, std::string_view prefix,
                const std::array<std::string_view, Size>& names,
                const std::array<Counters::Count, Size>& values) {
  for (std::size_t i = 0; i < Size; ++i) output << prefix << names[i] << ' ' << values[i] << '\n';
}

}  // namespace

std::string_view name_of(AttemptOutcome outcome) { return outcome_names[static_cast<std::size_t>(outcome)]; }

std::ostream& operator<<(std::ostream& output, const Counters& counters) {
  write(output, "rpcs_taken", counters.rpcs_received);
  write(output, "rpcs_ok", counters.rpcs_ok);
  write(output, "rpcs_pushed_back", counters.rpcs_rejected);
  write(output, "rpcs_aborted", counters.rpcs_failed);
  write(output, "rpcs_left", counters.rpcs_abandoned);
  write(output, "bad_input", counters.malformed_requests);
  write(output, "silent_clients", counters.timed_out_clients);
  write(output, "out_of_room", counters.resource_rejections);
  write(output, "answers_unheard", counters.undelivered_responses);
  write(output, "long_requests", counters.streamed_requests);
  write(output, "long_answers", counters.streamed_responses);
  write(output, "answers_cut", counters.truncated_responses);
  write_each(output, "picks_", outcome_names, counters.attempts);
  write_each(output, "probes_", outcome_names, counters.health_checks);
  write(output, "connections_accepted", counters.connections_accepted);
  write(output, "connections_opened", counters.connections_opened);
  write(output, "connections_reused", counters.connections_reused);
  write(output, "connections_retired", counters.connections_retired);
  write(output, "connections_closed_for_room", counters.connections_evicted);
  write_each(output, "closed_for_room_", eviction_state_names, counters.evictions_by_state);
  write(output, "out_by_hand", counters.manually_ejected_endpoints);
  write(output, "orders", counters.admin_requests);
  write(output, "orders_refused", counters.rejected_admin_requests);
  write(output, "lists", counters.endpoint_list_updates);
  write(output, "list_failures", counters.endpoint_poll_failures);
  write(output, "malformed_lists", counters.malformed_endpoint_lists);
  write(output, "answers_incomplete", counters.incomplete_responses);
  write(output, "long_requests_overdue", counters.overdue_requests);
  return output;
}

}  // namespace indigorill
