// A server of the emulator: cores that serve one queue in order, a bound on the queue, a cold start, stalls,
// slow spells, errors, and a fall if it is overdriven while cold. Knows no network and no sidecar.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <vector>

#include "emulator/event_queue.h"
#include "emulator/random_stream.h"

namespace indigorill::emulator {

class EmulatedServer {
 public:
  struct Config {
    int cores = 1, queue_capacity = 10;
    double speed = 1, slow_start_initial_capacity = 1, slow_start_duration_ms = 0, error_rate = 0;
    double crash_overload_factor = 0, crash_window_ms = 0;  // 0: never falls
  };
  enum class JobOutcome { served, error, queue_full, lost };  // lost: the process is gone
  struct Callbacks {
    std::function<void(std::uint64_t job)> on_started;
    std::function<void(std::uint64_t job, JobOutcome how, double held)>
        on_finished;  // held: in hand, this one too
    std::function<void()> on_crashed;
  };

  EmulatedServer(EventQueue& in, Config is, std::uint64_t seed, Callbacks tell);
  EmulatedServer(const EmulatedServer&) = delete;
  EmulatedServer& operator=(const EmulatedServer&) = delete;

  void submit(std::uint64_t job, double work);  // ms on a standard core
  void cancel_queued(std::uint64_t job);        // if it still waits
  void restart();                               // a new process, from now on
  void terminate();                             // all in hand is lost; comes back by start_cold
  void stall(double until);
  void set_slowdown(double factor) { slowdown_ = factor; }
  void set_error_rate(double error_share) { error_rate_ = error_share; }

  bool is_running() const { return running_; }
  double stalled_until_ms() const { return stalled_until_ms_; }
  double jobs_in_flight() const { return static_cast<double>(queue_.size() + running_jobs_.size()); }
  double started_at_ms() const { return started_at_ms_; }  // 0: long ago
  double capacity_fraction() const;
  double queueing_delay_ms() const;  // ms until a core is free for one that comes now, as it truly is
  double service_rate() const;       // ms of standard work that one core does in a ms now
  const Config& config() const { return config_; }
  double peak_overload() const { return peak_overload_; }  // while cold: work in a span over what it can do

 private:
  struct Job {
    std::uint64_t id;
    double work_ms, ends_at_ms;
    std::uint64_t schedule_id;
  };

  void start_queued_jobs();
  void schedule_completion(const Job& j);
  void complete_job(std::uint64_t id, std::uint64_t turn);
  void record_slow_start_work(double work);

  EventQueue& events_;
  Config config_;
  RandomStream random_;
  Callbacks callbacks_;
  bool running_ = true;
  double started_at_ms_ = 0, stalled_until_ms_ = 0, slowdown_ = 1, error_rate_ = 0, peak_overload_ = 0;
  std::deque<Job> queue_;
  std::vector<Job> running_jobs_;
  std::uint64_t last_schedule_id_ = 0;
  std::deque<std::pair<double, double>> recent_work_;  // while cold: when, and how much work
  double recent_work_sum_ = 0;
};

}  // namespace indigorill::emulator
