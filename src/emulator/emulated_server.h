/// \file
/// A server of the emulator: cores that serve one bounded FIFO queue. It models slow start, stalls,
/// slowdowns, errors, and a crash under overload during slow start. It depends on neither the network nor the
/// sidecars.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <vector>

#include "emulator/event_queue.h"
#include "emulator/random_stream.h"
#include "emulator/scenario.h"

namespace indigorill::emulator {

/// Times are milliseconds; work is milliseconds on a core of speed 1.
class EmulatedServer {
 public:
  struct Config {
    int cores = 1;
    int queue_capacity = 10;
    double speed = 1;
    double slow_start_initial_capacity = 1;  ///< fraction of the full capacity right after a start
    double slow_start_duration_ms = 0;       ///< time in which the capacity rises linearly to the full one
    double error_rate = 0;
    double crash_overload_factor = 0;  ///< crashes above this multiple of its slow-start capacity; 0: never
    double crash_window_ms = 0;        ///< window in which received work is summed for crash_overload_factor
  };

  enum class JobOutcome {
    served,
    error,
    queue_full,
    lost  ///< the server's process has ended
  };

  struct Callbacks {
    std::function<void(std::uint64_t job)> on_started;  ///< may be empty
    /// `jobs_in_flight` includes the job if it was served or ended in an error; it is 0 for lost jobs.
    std::function<void(std::uint64_t job, JobOutcome outcome, double jobs_in_flight)> on_finished;
    std::function<void()> on_crashed;  ///< may be empty
  };

  /// `events` must outlive the server.
  EmulatedServer(EventQueue& events, const Config& config, std::uint64_t seed, Callbacks callbacks);
  EmulatedServer(const EmulatedServer&) = delete;
  EmulatedServer& operator=(const EmulatedServer&) = delete;

  void submit(std::uint64_t job, double work_ms);
  /// Removes a job that has not been started; no callback follows.
  void cancel_queued(std::uint64_t job);
  /// Starts a new process, which begins its slow start now.
  void restart();
  /// Ends the process. Its jobs are lost, and so are jobs that are submitted before restart().
  void terminate();
  /// Suspends all work until `until_ms`.
  void stall(double until_ms);
  void set_slowdown(double factor) { slowdown_ = factor; }
  void set_error_rate(double error_rate) { error_rate_ = error_rate; }

  bool is_running() const { return running_; }
  double stalled_until_ms() const { return stalled_until_ms_; }
  double jobs_in_flight() const { return static_cast<double>(queue_.size() + running_jobs_.size()); }
  /// Start time of the process; 0: long before the run.
  double started_at_ms() const { return started_at_ms_; }
  /// The fraction of the full capacity that slow start allows now; 1 when warmed up.
  double capacity_fraction() const;
  /// Time that a job submitted now would wait for a free core, computed from the jobs at the server.
  double queueing_delay_ms() const;
  /// Work that one core currently does in a millisecond.
  double service_rate() const;
  const Config& config() const { return config_; }
  /// The highest ratio of the work received in a window during slow start to the capacity in that window.
  double peak_overload() const { return peak_overload_; }

 private:
  struct Job {
    std::uint64_t id;
    double work_ms;
    double ends_at_ms;
    std::uint64_t schedule_id;  // id of the last scheduled completion; earlier ones have no effect
  };
  struct ReceivedWork {
    double time_ms;
    double work_ms;
  };

  void start_queued_jobs();
  void schedule_completion(const Job& job);
  void complete_job(std::uint64_t id, std::uint64_t schedule_id);
  void record_slow_start_work(double work_ms);

  EventQueue& events_;
  Config config_;
  RandomStream random_;
  Callbacks callbacks_;
  bool running_ = true;
  double started_at_ms_ = 0;
  double stalled_until_ms_ = 0;
  double slowdown_ = 1;
  double error_rate_ = 0;
  double peak_overload_ = 0;
  std::deque<Job> queue_;
  std::vector<Job> running_jobs_;
  std::uint64_t last_schedule_id_ = 0;
  std::deque<ReceivedWork> recent_work_;  // work received in the last window; recorded during slow start only
  double recent_work_sum_ = 0;
};

/// Returns the config of a server of this group; `speed` becomes Config::speed.
EmulatedServer::Config make_server_config(const ServerGroup& group, double speed,
                                          const OperatingRules& rules);

}  // namespace indigorill::emulator
