// Checks the four rules on what happened, from the record alone: it knows neither the model nor the module.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "emulator/trace.h"

namespace indigorill::emulator {

struct RuleViolation {
  int rule;  // 1 to 4
  double time_ms;
  std::uint64_t rpc;  // 0: concerns none
  std::uint32_t server, sidecar;
  std::string description;
};

// One line, as people read it.
std::string describe(const RuleViolation& b);

class RuleChecker : public TraceListener {
 public:
  struct Bounds {
    double drain_grace_ms = 500, slow_start_overload_limit = 3, slow_start_window_ms = 1500;
  };

  explicit RuleChecker(Bounds b) : bounds_(b) {}

  void on_event(const TraceEvent& e) override;

  const std::vector<RuleViolation>& violations() const { return violations_; }  // the first of them
  std::uint64_t count(int rule) const { return violation_counts_.at(static_cast<std::size_t>(rule) - 1); }
  std::uint64_t count() const {
    return violation_counts_[0] + violation_counts_[1] + violation_counts_[2] + violation_counts_[3];
  }
  double peak_slow_start_overload() const {
    return peak_slow_start_overload_;
  }  // of the stated multiple, over all cold servers and spans

 private:
  struct Attempt {
    std::uint32_t server;
    double decided_at_ms;
    bool in_flight = true, possibly_executed = true, started = false, succeeded = false;
  };
  struct Rpc {
    std::uint32_t sidecar;
    RetrySafety retry_safety;
    DeduplicationScope deduplication_scope;
    double deduplication_window_ms, deadline_ms;
    bool concluded = false, answered = false;
    int executions = 0;
    std::map<int, Attempt> attempts;
  };
  struct Server {
    double capacity = 0, started_at_ms = 0, slow_start_initial_capacity = 1, slow_start_duration_ms = 0;
    int zone = 0, cell = 0;
    struct WorkSample {
      double time_ms, work_ms;
    };
    std::deque<WorkSample> recent_work;  // work of sidecars that were told of this start
    double recent_work_sum = 0;
    bool violation_reported = false;  // said once for each start
  };

  void add_violation(int rule, const TraceEvent& e, std::string text);
  Rpc* find_open_rpc(const TraceEvent& e, const char* doing);
  void on_rpc_received(const TraceEvent& e);
  void on_attempt_decided(const TraceEvent& e);
  void on_attempt_sent(const TraceEvent& e);
  void on_attempt_received(const TraceEvent& e);
  void on_attempt_started(const TraceEvent& e);
  void on_attempt_finished(const TraceEvent& e);
  void on_answered(const TraceEvent& e);
  void on_sidecar_died(const TraceEvent& e);
  void on_run_ended(const TraceEvent& e);
  void forget_if_finished(std::uint64_t id);
  static const Attempt* first_attempt_possibly_executed(const Rpc& r, int before);

  Bounds bounds_;
  std::vector<RuleViolation> violations_;
  std::array<std::uint64_t, 4> violation_counts_{};
  std::unordered_map<std::uint64_t, Rpc> rpcs_;
  std::unordered_set<std::uint64_t> finished_rpcs_;
  std::unordered_map<std::uint32_t, Server> servers_;
  std::map<std::pair<std::uint32_t, std::uint32_t>, double> stop_notified_at_;  // sidecar, server: when
  std::map<std::pair<std::uint32_t, std::uint32_t>, double> start_notified_;
  double peak_slow_start_overload_ = 0;
};

}  // namespace indigorill::emulator
