/// \file
/// The trace of a run: its events, for listeners such as the rule checker and the trace file. Events record
/// actions without their reasons; a listener needs neither the emulator's model nor the load balancer.
#pragma once

#include <cstdint>

#include "indigorill/load_balancer.h"

namespace indigorill::emulator {

/// A sidecar's final answer to an RPC.
enum class RpcAnswer : std::uint8_t { ok, rejected, failed };

/// One event. Which fields are set depends on `kind`.
struct TraceEvent {
  enum class Kind : std::uint8_t {
    server_state,  ///< a server's capacity and location; slow start from `started_at_ms` if that is over 0
    endpoint_notified,    ///< a sidecar learned a server's state and start time
    rpc_received,         ///< a sidecar received an RPC, with its deadline and retry safety
    attempt_decided,      ///< the sidecar selected a server
    attempt_sent,         ///< the attempt's bytes left the sidecar
    attempt_received,     ///< the bytes arrived at the server; the work includes that of the handshake
    attempt_started,      ///< the server began to work on the attempt, which now counts as executed
    attempt_finished,     ///< the attempt's outcome as the sidecar sees it
    health_check_sent,    ///< a health check's bytes left the sidecar
    answered,             ///< the sidecar's final answer
    client_disconnected,  ///< the client no longer waits
    sidecar_died,
    run_ended
  } kind;
  double time_ms = 0;
  std::uint32_t sidecar = 0;
  std::uint32_t server = 0;
  std::uint64_t rpc = 0;  ///< 0: concerns no RPC
  int attempt = 0;

  RetrySafety retry_safety = RetrySafety::idempotent;
  DeduplicationScope deduplication_scope = DeduplicationScope::global;
  double deduplication_window_ms = 0;
  double deadline_ms = 0;

  AttemptOutcome outcome = AttemptOutcome::ok;
  RpcAnswer answer = RpcAnswer::ok;
  EndpointState state = EndpointState::ready;

  double started_at_ms = 0;  ///< start time of the server's process; 0: long before the run
  double work_ms = 0;        ///< work in milliseconds on a core of speed 1
  double capacity = 0;       ///< cores times speed
  double slow_start_initial_capacity = 1;
  double slow_start_duration_ms = 0;
  int zone = 0;
  int cell = 0;
};

/// Receives each event as it happens.
class TraceListener {
 public:
  virtual ~TraceListener() = default;
  virtual void on_event(const TraceEvent& event) = 0;
};

}  // namespace indigorill::emulator
