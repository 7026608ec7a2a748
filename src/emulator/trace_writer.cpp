#include "emulator/trace_writer.h"

#include <nlohmann/json.hpp>
#include <string>

#include "emulator/simulation.h"

namespace indigorill::emulator {
namespace {

using Kind = TraceEvent::Kind;

// The names below are the format of the trace file.

const char* name_of(Kind kind) {
  switch (kind) {
    case Kind::server_state:
      return "server_is";
    case Kind::endpoint_notified:
      return "told";
    case Kind::rpc_received:
      return "rpc_taken";
    case Kind::attempt_decided:
      return "pick_decided";
    case Kind::attempt_sent:
      return "pick_written";
    case Kind::attempt_received:
      return "pick_came";
    case Kind::attempt_started:
      return "pick_began";
    case Kind::attempt_finished:
      return "pick_over";
    case Kind::health_check_sent:
      return "probe_written";
    case Kind::answered:
      return "answered";
    case Kind::client_disconnected:
      return "client_left";
    case Kind::sidecar_died:
      return "sidecar_died";
    case Kind::run_ended:
      break;
  }
  return "end";
}

const char* name_of(AttemptOutcome outcome) {
  switch (outcome) {
    case AttemptOutcome::ok:
      return "ok";
    case AttemptOutcome::error:
      return "error";
    case AttemptOutcome::rejected:
      return "full";
    case AttemptOutcome::timed_out:
      return "timed_out";
    case AttemptOutcome::connect_failed:
      return "connect_failed";
    case AttemptOutcome::reset:
      return "reset";
    case AttemptOutcome::cancelled:
      return "cancelled";
    case AttemptOutcome::client_error:
      return "moot";
    case AttemptOutcome::withdrawn:
      break;
  }
  return "withdrawn";
}

const char* name_of(RpcAnswer answer) {
  switch (answer) {
    case RpcAnswer::ok:
      return "ok";
    case RpcAnswer::rejected:
      return "pushed_back";
    case RpcAnswer::failed:
      break;
  }
  return "aborted";
}

const char* name_of(EndpointState state) {
  switch (state) {
    case EndpointState::ready:
      return "ready";
    case EndpointState::draining:
      return "draining";
    case EndpointState::gone:
      break;
  }
  return "gone";
}

bool concerns_sidecar(Kind kind) { return kind != Kind::server_state && kind != Kind::run_ended; }

bool concerns_server(Kind kind) {
  return kind != Kind::rpc_received && kind != Kind::client_disconnected && kind != Kind::sidecar_died &&
         kind != Kind::run_ended;
}

bool concerns_attempt(Kind kind) {
  return kind == Kind::attempt_decided || kind == Kind::attempt_sent || kind == Kind::attempt_received ||
         kind == Kind::attempt_started || kind == Kind::attempt_finished;
}

bool has_start_time(const TraceEvent& event) {
  const bool describes_server = event.kind == Kind::endpoint_notified || event.kind == Kind::server_state;
  return describes_server && event.started_at_ms > 0;
}

}  // namespace

void TraceWriter::on_event(const TraceEvent& event) {
  nlohmann::ordered_json line{{"at", event.time_ms}, {"what", name_of(event.kind)}};
  if (concerns_sidecar(event.kind)) line["sidecar"] = event.sidecar;
  if (concerns_server(event.kind)) line["server"] = server_name(event.server);
  if (event.rpc != 0) line["rpc"] = event.rpc;
  if (concerns_attempt(event.kind)) line["pick"] = event.attempt;
  if (event.kind == Kind::rpc_received) line["deadline"] = event.deadline_ms;
  if (event.kind == Kind::attempt_finished) line["how"] = name_of(event.outcome);
  if (event.kind == Kind::answered) line["answer"] = name_of(event.answer);
  if (event.kind == Kind::endpoint_notified) line["state"] = name_of(event.state);
  if (has_start_time(event)) line["started"] = event.started_at_ms;
  if (event.kind == Kind::attempt_received) line["work"] = event.work_ms;
  if (event.kind == Kind::server_state) line["capacity"] = event.capacity;
  output_ << line.dump() << '\n';
}

}  // namespace indigorill::emulator
