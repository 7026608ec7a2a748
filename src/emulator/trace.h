// What happened, as the emulator tells it to whoever listens: the auditor and the log. The entries name what
// was done, not why; whoever listens needs neither the model nor the module.
#pragma once

#include <cstdint>

#include "indigorill/load_balancer.h"

namespace indigorill::emulator {

enum class RpcAnswer : std::uint8_t { ok, rejected, failed };

struct TraceEvent {
  enum class Kind : std::uint8_t {
    server_state,       // a server, what it can do and where it stands; started > 0: cold from then on
    endpoint_notified,  // a sidecar learned a server's standing (and start)
    rpc_received,       // by a sidecar, with its deadline and how it may be repeated
    attempt_decided,    // the sidecar chose a server
    attempt_sent,       // its bytes left the sidecar
    attempt_received,   // they came to the server, work and handshake together
    attempt_started,    // the server began to work on it: from here on it has run
    attempt_finished,   // the sidecar holds it to have ended like this
    health_check_sent,
    answered,             // the sidecar's final answer
    client_disconnected,  // the client waits no longer
    sidecar_died,
    run_ended  // of the run
  } kind;
  double time_ms = 0;
  std::uint32_t sidecar = 0, server = 0;
  std::uint64_t rpc = 0;
  int attempt = 0;
  // Each of these belongs to the entries that need it.
  RetrySafety retry_safety = RetrySafety::idempotent;
  DeduplicationScope deduplication_scope = DeduplicationScope::global;
  double deduplication_window_ms = 0, deadline_ms = 0;
  AttemptOutcome outcome = AttemptOutcome::ok;
  RpcAnswer answer = RpcAnswer::ok;
  EndpointState state = EndpointState::ready;
  double started_at_ms = 0, work_ms = 0, capacity = 0, slow_start_initial_capacity = 1,
         slow_start_duration_ms = 0;
  int zone = 0, cell = 0;
};

class TraceListener {
 public:
  virtual ~TraceListener() = default;
  virtual void on_event(const TraceEvent& e) = 0;
};

}  // namespace indigorill::emulator
