/// \file
/// The applications: open-loop load on running sidecars. The latency of an RPC counts from its intended send
/// time, so that a sidecar that delays its clients can't improve its own metrics.
#pragma once

#include <netinet/in.h>

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
#include "event/event_loop.h"
#include "event/tcp_stream.h"
#include "http/http_parser.h"
#include "load/wall_clock_scheduler.h"

namespace indigorill::load_generator {

/// Counters and latencies as measured by the clients.
struct ClientMetrics {
  std::uint64_t requests = 0;
  std::uint64_t sent = 0;  ///< RPCs sent, client retries included
  std::uint64_t ok = 0;
  std::uint64_t late = 0;
  std::uint64_t rejected = 0;
  std::uint64_t failed = 0;
  std::uint64_t unanswered = 0;
  std::uint64_t lost = 0;
  std::uint64_t skipped = 0;  ///< not sent: over the maximum, or no connection could be opened
  double offered_utility = 0;
  double gained_utility = 0;
  emulator::LatencyHistogram latency;             ///< from the intended send time to the answer
  emulator::LatencyHistogram send_delay;          ///< from the intended to the actual send time
  std::set<std::string> rejected_non_idempotent;  ///< ids of RPCs that must not have been executed

  std::uint64_t open() const { return requests - ok - late - rejected - failed - unanswered - lost; }
  double utility() const { return offered_utility > 0 ? gained_utility / offered_utility : 0; }
};

/// The client's record of one RPC. Times are milliseconds of the run.
struct RpcRecord {
  enum class End {
    open,
    answered,
    departed,       ///< the client left before an answer
    overdue,        ///< no answer came in time, and the client closed the connection
    closed,         ///< the sidecar closed the connection
    closed_reused,  ///< the sidecar closed a connection that had carried an answer, before any part of the
                    ///< next one; the close and the request may have crossed
    refused,  ///< the connection broke before the request was written completely, for example when refused
    killed    ///< the sidecar was killed
  };
  double sent_at_ms = 0;
  double deadline_ms = 0;
  End end = End::open;
  double ended_at_ms = 0;
};

class LoadClients {
 public:
  /// `sidecars`: the addresses that they listen on. At most `max_requests` RPCs are sent, not counting client
  /// retries. The event loop, the descriptor budget and the clock must outlive the clients.
  LoadClients(EventLoop& loop, FileDescriptorBudget& descriptors, WallClockScheduler& clock,
              const emulator::Scenario& scenario, std::uint64_t seed, std::uint64_t max_requests,
              const std::vector<sockaddr_in>& sidecars);
  ~LoadClients();

  void start();
  /// The application of a sidecar stops and starts with the sidecar.
  void on_sidecar_stopped(std::size_t sidecar);
  void on_sidecar_started(std::size_t sidecar);
  void multiply_rate(double factor) { rate_factor_ *= factor; }
  /// The sidecar has got SIGTERM: clients go on using open connections, and open new ones until this time.
  void on_sidecar_terminating(std::size_t sidecar, double new_connections_until_ms);
  /// Sets how long after the deadline a client still waits for an answer.
  void set_overdue_allowance(double allowance_ms) { overdue_allowance_ms_ = allowance_ms; }
  /// Sets the share of RPCs whose client leaves at a random time before the deadline.
  void set_departure_share(double share) { departure_share_ = share; }
  /// Each client with a request in flight leaves now with this probability.
  void depart(double probability);

  const ClientMetrics& metrics() const { return metrics_; }
  std::size_t open() const { return requests_.size(); }
  /// Records by RPC id. Each retry of a client is an RPC with its own id.
  const std::unordered_map<std::string, RpcRecord>& records() const { return records_; }
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
    double new_connections_until_ms = 1e18;
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
  void on_overdue(std::uint64_t connection_id);
  void depart(std::uint64_t connection_id);
  void schedule_departure(Connection& connection, double time_left_ms);
  void record_end(const Connection& connection, RpcRecord::End end);
  RpcRecord::End end_of_broken(const Connection& connection) const;
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
  double overdue_allowance_ms_ = 0;
  double departure_share_ = 0;
  emulator::RandomStream departure_random_;
  std::unordered_map<std::string, RpcRecord> records_;
  ClientMetrics metrics_;
};

}  // namespace indigorill::load_generator
