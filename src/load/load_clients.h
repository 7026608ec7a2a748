/// \file
/// The applications: open-loop load on running sidecars. An RPC's latency counts from when it was intended to
/// be sent, so that a sidecar which holds clients up can't make its own metrics look better.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "emulator/latency_histogram.h"
#include "emulator/scenario.h"
#include "emulator/workload.h"
#include "event/socket.h"
#include "event/tcp_stream.h"
#include "http/http_parser.h"
#include "load/wall_clock_scheduler.h"

namespace indigorill::load_generator {

/// What the clients saw.
struct ClientMetrics {
  std::uint64_t requests = 0;
  std::uint64_t sent = 0;  ///< RPCs, retries of the clients included
  std::uint64_t ok = 0;
  std::uint64_t late = 0;
  std::uint64_t rejected = 0;
  std::uint64_t failed = 0;
  std::uint64_t unanswered = 0;
  std::uint64_t lost = 0;
  std::uint64_t skipped = 0;  ///< more than allowed, or there was no descriptor for it
  double offered_utility = 0;
  double gained_utility = 0;
  emulator::LatencyHistogram latency;             ///< from the intended sending
  emulator::LatencyHistogram send_delay;          ///< from the intended to the actual sending
  std::set<std::string> rejected_non_idempotent;  ///< ids of RPCs that must not have been executed

  std::uint64_t open() const { return requests - ok - late - rejected - failed - unanswered - lost; }
  double utility() const { return offered_utility > 0 ? gained_utility / offered_utility : 0; }
};

class LoadClients {
 public:
  /// `sidecars`: where they listen; at most `max_requests` are sent. What is passed by reference, but for the
  /// scenario, must outlive the clients.
  LoadClients(EventLoop& loop, FileDescriptorBudget& descriptors, WallClockScheduler& clock,
              const emulator::Scenario& scenario, std::uint64_t seed, std::uint64_t max_requests,
              const std::vector<sockaddr_in>& sidecars);
  ~LoadClients();

  void start();
  /// Its application stops and starts with it.
  void on_sidecar_stopped(std::size_t sidecar);
  void on_sidecar_started(std::size_t sidecar);
  void multiply_rate(double factor) { rate_factor_ *= factor; }

  const ClientMetrics& metrics() const { return metrics_; }
  std::size_t open() const { return requests_.size(); }
  bool is_non_idempotent(const std::string& rpc_id) const { return non_idempotent_ids_.count(rpc_id) > 0; }

 private:
  struct Connection;
  struct ClientRequest {
    std::size_t sidecar;
    std::size_t method;
    double intended_at_ms;
    double work_ms;
    double retry_delay_ms;
    int retries_left;
  };
  enum class RequestOutcome { ok, late, rejected, failed, unanswered, lost };
  struct Sidecar {
    sockaddr_in address;
    double arrival_share;
    emulator::RandomStream arrival_random;
    bool running = true;
    std::vector<std::uint64_t> idle_connections;
  };

  const MethodConfig& method_of(const ClientRequest& request) const;
  void schedule_next_arrival(std::size_t sidecar);
  void on_arrival(std::size_t sidecar, double intended_at_ms);
  void send_request(std::uint64_t request_id, double intended_at_ms);
  Connection* take_idle_connection(std::size_t sidecar);
  Connection* open_connection(std::size_t sidecar);
  std::string format_request(const ClientRequest& request, const std::string& rpc_id,
                             double time_left_ms) const;
  void on_deadline(std::uint64_t connection_id);
  void write(Connection& connection);
  void on_ready(std::uint64_t connection_id);
  void on_answer(Connection& connection, const http::Message& message);
  void on_connection_broken(Connection& connection);
  void release_connection(Connection& connection);
  void conclude_request(std::uint64_t request_id, RequestOutcome outcome);
  void count_outcome(RequestOutcome outcome);
  void retry_or_conclude(std::uint64_t request_id, RequestOutcome outcome, double retry_after_ms);

  EventLoop& loop_;
  FileDescriptorBudget& descriptors_;
  WallClockScheduler& clock_;
  const emulator::Scenario scenario_;
  std::uint64_t seed_;
  std::uint64_t max_requests_;
  emulator::RandomStream client_random_;
  std::vector<Sidecar> sidecars_;
  emulator::ArrivalPattern arrival_pattern_;
  double rate_factor_ = 1;
  std::uint64_t last_connection_id_ = 0;
  std::uint64_t last_request_id_ = 0;
  std::uint64_t last_rpc_id_ = 0;
  std::unordered_map<std::uint64_t, std::unique_ptr<Connection>> connections_;
  std::unordered_map<std::uint64_t, ClientRequest> requests_;
  std::set<std::string> non_idempotent_ids_;
  ClientMetrics metrics_;
};

}  // namespace indigorill::load_generator
