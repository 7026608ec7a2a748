// The applications: open-loop load on running sidecars. An RPC's time counts from when it was meant to be
// sent, so that a sidecar which holds clients up can't make its own figures look better.
#pragma once

#include <deque>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "emulator/run_metrics.h"
#include "emulator/scenario.h"
#include "emulator/workload.h"
#include "event/socket.h"
#include "event/tcp_stream.h"
#include "http/http_parser.h"
#include "load/clockwork.h"

namespace indigorill::loading {

struct ClientMetrics {  // what clients were told
  std::uint64_t requests = 0, sent = 0, ok = 0, late = 0, rejected = 0, failed = 0, unanswered = 0, lost = 0;
  std::uint64_t skipped = 0;  // more than were allowed, or no descriptor was to be had
  double offered_utility = 0, gained_utility = 0;
  emulator::LatencyHistogram latency;             // from the intended sending
  emulator::LatencyHistogram send_delay;          // from the intended to the true sending
  std::set<std::string> rejected_non_idempotent;  // non-idempotent ones that were pushed back
  std::uint64_t open() const { return requests - ok - late - rejected - failed - unanswered - lost; }
  double utility() const { return offered_utility > 0 ? gained_utility / offered_utility : 0; }
};

class LoadClients {
 public:
  LoadClients(EventLoop& in, FileDescriptorBudget& budget, WallClockScheduler& clock,
              const emulator::Scenario& plays, std::uint64_t seed, std::uint64_t most,
              std::vector<sockaddr_in> sidecars);
  ~LoadClients();

  void start();
  void on_sidecar_stopped(std::size_t sidecar);  // its application stops with it
  void on_sidecar_started(std::size_t sidecar);
  void multiply_rate(double factor) { rate_factor_ *= factor; }
  const ClientMetrics& metrics() const { return metrics_; }
  std::size_t open() const { return requests_.size(); }
  bool is_non_idempotent(const std::string& id) const {
    return non_idempotent_ids_.count(id) > 0;
  }  // non-idempotent

 private:
  struct Connection;
  struct ClientRequest {
    std::size_t sidecar, method;
    double intended_at_ms, work_ms, retry_delay_ms;
    int retries_left;
  };
  enum class RequestOutcome { ok, late, rejected, failed, unanswered, lost };

  void schedule_next_arrival(std::size_t s);
  void on_arrival(std::size_t s, double meant);
  void send_request(std::uint64_t of, double meant);
  void write(Connection& c);
  void on_ready(std::uint64_t which);
  void on_answer(Connection& c, const http::Message& m);
  void on_connection_broken(Connection& c);
  void conclude_request(std::uint64_t of, RequestOutcome f);
  void retry_or_conclude(std::uint64_t of, RequestOutcome f, double advice);
  void release_connection(Connection& c);

  EventLoop& loop_;
  FileDescriptorBudget& descriptors_;
  WallClockScheduler& clock_;
  const emulator::Scenario scenario_;
  std::uint64_t seed_, max_requests_;
  emulator::RandomStream client_random_;
  struct Sidecar {
    sockaddr_in address;
    double arrival_share;
    emulator::RandomStream arrival_random;
    bool running = true;
    std::vector<std::uint64_t> idle_connections;
  };
  std::vector<Sidecar> sidecars_;
  emulator::ArrivalPattern arrival_pattern_;
  double rate_factor_ = 1;
  std::uint64_t last_connection_id_ = 0, last_request_id_ = 0, last_rpc_id_ = 0;
  std::unordered_map<std::uint64_t, std::unique_ptr<Connection>> connections_;
  std::unordered_map<std::uint64_t, ClientRequest> requests_;
  std::set<std::string> non_idempotent_ids_;
  ClientMetrics metrics_;
};

}  // namespace indigorill::loading
