/// \file
/// Checks the four operating rules. The trace of a run is its only input; it depends neither on the
/// emulator's model nor on the load balancer's decisions.
///
/// 1. Each RPC gets exactly one final answer, by its deadline. No attempt is made for an RPC that was not
/// received or that is already concluded.
/// 2. An RPC that may have been executed is repeated only as far as its retry safety allows.
/// 3. A sidecar sends no new attempt or health check to a server once the grace period is over that begins
/// when the sidecar is notified that the server is draining or gone.
/// 4. Within a time window, a server in slow start receives no more than a multiple of the work that it can
/// do in the window. Work from sidecars that were not notified of its start does not count.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <tuple>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "emulator/trace.h"

namespace indigorill::emulator {

struct RuleViolation {
  int rule;  ///< 1 to 4
  double time_ms;
  std::uint64_t rpc;  ///< 0 if the violation concerns no RPC
  std::uint32_t server;
  std::uint32_t sidecar;
  std::string description;
};

/// Formats the violation as one readable line.
std::string describe(const RuleViolation& violation);

class RuleChecker : public TraceListener {
 public:
  struct Bounds {
    double drain_grace_ms = 500;
    double slow_start_overload_limit = 3;
    double slow_start_window_ms = 1500;
  };

  explicit RuleChecker(const Bounds& bounds) : bounds_(bounds) {}

  void on_event(const TraceEvent& event) override;

  /// The first violations, up to a maximum number; count() includes all.
  const std::vector<RuleViolation>& violations() const { return violations_; }
  std::uint64_t count(int rule) const { return violation_counts_.at(static_cast<std::size_t>(rule) - 1); }
  std::uint64_t count() const;
  /// The highest ratio over all servers of the work in a slow-start window to the limit for that work.
  double peak_slow_start_overload() const { return peak_slow_start_overload_; }

 private:
  struct Attempt {
    std::uint32_t server;
    double decided_at_ms;
    bool in_flight = true;
    bool possibly_executed = true;  // according to the sidecar
    bool started = false;           // according to the server
    bool succeeded = false;
  };
  struct Rpc {
    std::uint32_t sidecar;
    RetrySafety retry_safety;
    DeduplicationScope deduplication_scope;
    double deduplication_window_ms;
    double deadline_ms;
    bool concluded = false;  // answered, or the client disconnected
    bool answered = false;
    int executions = 0;
    std::map<int, Attempt> attempts;
  };
  struct WorkSample {
    double time_ms;
    double work_ms;
  };
  struct Server {
    double capacity = 0;
    double started_at_ms = 0;
    double slow_start_initial_capacity = 1;
    double slow_start_duration_ms = 0;
    int zone = 0;
    int cell = 0;
    std::deque<WorkSample> recent_work;  // work received from sidecars that were notified of this start
    double recent_work_sum = 0;
    bool violation_reported = false;  // a violation of rule 4 is reported once per start

    bool in_slow_start(double time_ms) const;
    double slow_start_capacity(double time_ms) const;
  };
  struct SidecarAndServer {
    std::uint32_t sidecar;
    std::uint32_t server;
    bool operator<(const SidecarAndServer& other) const {
      return std::tie(sidecar, server) < std::tie(other.sidecar, other.server);
    }
  };

  void add_violation(int rule, const TraceEvent& event, std::string description);
  Rpc* find_open_rpc(const TraceEvent& event, const char* action);
  void on_server_state(const TraceEvent& event);
  void on_endpoint_notified(const TraceEvent& event);
  void on_rpc_received(const TraceEvent& event);
  void on_attempt_decided(const TraceEvent& event);
  void check_retry(const TraceEvent& event, const Rpc& rpc, const Attempt& previous);
  void check_drain_grace(const TraceEvent& event);
  void on_attempt_sent(const TraceEvent& event);
  void on_attempt_received(const TraceEvent& event);
  void check_slow_start(const TraceEvent& event, Server& server);
  void on_attempt_started(const TraceEvent& event);
  void on_attempt_finished(const TraceEvent& event);
  void on_answered(const TraceEvent& event);
  void on_client_disconnected(const TraceEvent& event);
  void on_sidecar_died(const TraceEvent& event);
  void on_run_ended(const TraceEvent& event);
  void forget_if_finished(std::uint64_t id);
  static const Attempt* first_attempt_possibly_executed(const Rpc& rpc, int before);

  Bounds bounds_;
  std::vector<RuleViolation> violations_;
  std::array<std::uint64_t, 4> violation_counts_{};
  std::unordered_map<std::uint64_t, Rpc> rpcs_;
  std::unordered_set<std::uint64_t> finished_rpcs_;
  std::unordered_map<std::uint32_t, Server> servers_;
  // Time of the sidecar's first notification that the server is draining or gone.
  std::map<SidecarAndServer, double> stop_notified_at_;
  // Start time of the server of which the sidecar was last notified.
  std::map<SidecarAndServer, double> notified_start_;
  double peak_slow_start_overload_ = 0;
};

}  // namespace indigorill::emulator
