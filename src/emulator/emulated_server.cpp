#include "emulator/emulated_server.h"

#include <algorithm>
#include <utility>

namespace indigorill::emulator {

EmulatedServer::EmulatedServer(EventQueue& events, const Config& config, std::uint64_t seed,
                               Callbacks callbacks)
    : events_(events),
      config_(config),
      random_(seed),
      callbacks_(std::move(callbacks)),
      error_rate_(config.error_rate) {}

double EmulatedServer::capacity_fraction() const {
  if (started_at_ms_ <= 0 || config_.slow_start_duration_ms <= 0) return 1;
  const double initial = config_.slow_start_initial_capacity;
  const double age_ms = events_.now() - started_at_ms_;
  return std::min(1.0, initial + (1 - initial) * age_ms / config_.slow_start_duration_ms);
}

double EmulatedServer::service_rate() const { return config_.speed * capacity_fraction() / slowdown_; }

double EmulatedServer::queueing_delay_ms() const {
  std::vector<double> core_free_at_ms(static_cast<std::size_t>(config_.cores),
                                      std::max(events_.now(), stalled_until_ms_));
  for (std::size_t i = 0; i < running_jobs_.size(); ++i) core_free_at_ms[i] = running_jobs_[i].ends_at_ms;
  for (const Job& job : queue_) {
    const auto next_core = std::min_element(core_free_at_ms.begin(), core_free_at_ms.end());
    *next_core += job.work_ms / service_rate();
  }
  return *std::min_element(core_free_at_ms.begin(), core_free_at_ms.end()) - events_.now();
}

void EmulatedServer::record_slow_start_work(double work_ms) {
  if (!running_ || config_.crash_overload_factor <= 0 || capacity_fraction() >= 1) return;
  recent_work_.push_back({events_.now(), work_ms});
  recent_work_sum_ += work_ms;
  while (recent_work_.front().time_ms <= events_.now() - config_.crash_window_ms) {
    recent_work_sum_ -= recent_work_.front().work_ms;
    recent_work_.pop_front();
  }
  const double capacity = config_.cores * config_.speed * capacity_fraction() * config_.crash_window_ms;
  peak_overload_ = std::max(peak_overload_, recent_work_sum_ / capacity);
  if (recent_work_sum_ <= config_.crash_overload_factor * capacity) return;
  terminate();
  if (callbacks_.on_crashed) callbacks_.on_crashed();
}

void EmulatedServer::submit(std::uint64_t job, double work_ms) {
  record_slow_start_work(work_ms);
  if (!running_) return callbacks_.on_finished(job, JobOutcome::lost, 0);
  if (random_.bernoulli(error_rate_))
    return callbacks_.on_finished(job, JobOutcome::error, jobs_in_flight() + 1);
  const bool all_cores_busy = static_cast<int>(running_jobs_.size()) >= config_.cores;
  if (all_cores_busy && static_cast<int>(queue_.size()) >= config_.queue_capacity)
    return callbacks_.on_finished(job, JobOutcome::queue_full, jobs_in_flight());
  queue_.push_back({.id = job, .work_ms = work_ms, .ends_at_ms = 0, .schedule_id = 0});
  start_queued_jobs();
}

void EmulatedServer::start_queued_jobs() {
  while (running_ && !queue_.empty() && static_cast<int>(running_jobs_.size()) < config_.cores) {
    Job job = queue_.front();
    queue_.pop_front();
    job.ends_at_ms = std::max(events_.now(), stalled_until_ms_) + job.work_ms / service_rate();
    job.schedule_id = ++last_schedule_id_;
    running_jobs_.push_back(job);
    schedule_completion(job);
    if (callbacks_.on_started) callbacks_.on_started(job.id);
  }
}

void EmulatedServer::schedule_completion(const Job& job) {
  events_.schedule(job.ends_at_ms, EventPriority::server,
                   [this, id = job.id, schedule_id = job.schedule_id] { complete_job(id, schedule_id); });
}

void EmulatedServer::complete_job(std::uint64_t id, std::uint64_t schedule_id) {
  const auto found = std::find_if(running_jobs_.begin(), running_jobs_.end(), [&](const Job& job) {
    return job.id == id && job.schedule_id == schedule_id;
  });
  if (found == running_jobs_.end()) return;  // lost with its process, or postponed by a stall
  const double in_flight = jobs_in_flight();
  running_jobs_.erase(found);
  start_queued_jobs();
  callbacks_.on_finished(id, JobOutcome::served, in_flight);
}

void EmulatedServer::cancel_queued(std::uint64_t job) {
  std::erase_if(queue_, [&](const Job& queued) { return queued.id == job; });
}

void EmulatedServer::terminate() {
  running_ = false;
  std::vector<std::uint64_t> lost_jobs;
  for (const Job& job : running_jobs_) lost_jobs.push_back(job.id);
  for (const Job& job : queue_) lost_jobs.push_back(job.id);
  running_jobs_.clear();
  queue_.clear();
  for (const std::uint64_t job : lost_jobs) callbacks_.on_finished(job, JobOutcome::lost, 0);
}

void EmulatedServer::restart() {
  running_ = true;
  started_at_ms_ = events_.now();
  stalled_until_ms_ = 0;
  recent_work_.clear();
  recent_work_sum_ = 0;
}

void EmulatedServer::stall(double until_ms) {
  const double extension_ms = until_ms - std::max(events_.now(), stalled_until_ms_);
  if (extension_ms <= 0) return;
  stalled_until_ms_ = until_ms;
  for (Job& job : running_jobs_) {
    job.ends_at_ms += extension_ms;
    job.schedule_id = ++last_schedule_id_;
    schedule_completion(job);
  }
}

EmulatedServer::Config make_server_config(const ServerGroup& group, double speed,
                                          const OperatingRules& rules) {
  return {.cores = group.cores,
          .queue_capacity = group.queue_capacity,
          .speed = speed,
          .slow_start_initial_capacity = group.slow_start_initial_capacity,
          .slow_start_duration_ms = group.slow_start_duration_ms,
          .error_rate = group.error_rate,
          .crash_overload_factor = rules.slow_start_overload_factor,
          .crash_window_ms = rules.slow_start_window_ms};
}

}  // namespace indigorill::emulator
