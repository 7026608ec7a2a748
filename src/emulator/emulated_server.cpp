#include "emulator/emulated_server.h"

#include <algorithm>

namespace indigorill::emulator {

EmulatedServer::EmulatedServer(EventQueue& in, Config is, std::uint64_t seed, Callbacks to_tell)
    : events_(in), config_(is), random_(seed), callbacks_(std::move(to_tell)), error_rate_(is.error_rate) {}

double EmulatedServer::capacity_fraction() const {
  if (started_at_ms_ <= 0 || config_.slow_start_duration_ms <= 0) return 1;
  return std::min(1.0, config_.slow_start_initial_capacity + (1 - config_.slow_start_initial_capacity) *
                                                                 (events_.now() - started_at_ms_) /
                                                                 config_.slow_start_duration_ms);
}

double EmulatedServer::service_rate() const { return config_.speed * capacity_fraction() / slowdown_; }

double EmulatedServer::queueing_delay_ms() const {
  std::vector<double> free(static_cast<std::size_t>(config_.cores),
                           std::max(events_.now(), stalled_until_ms_));
  for (std::size_t i = 0; i < running_jobs_.size(); ++i) free[i] = running_jobs_[i].ends_at_ms;
  for (const Job& j : queue_) {
    const auto next = std::min_element(free.begin(), free.end());
    *next += j.work_ms / service_rate();
  }
  return *std::min_element(free.begin(), free.end()) - events_.now();
}

// A cold server that gets more than a multiple of what it can do, counted as a budget over a span, falls.
void EmulatedServer::record_slow_start_work(double work) {
  if (!running_ || config_.crash_overload_factor <= 0 || capacity_fraction() >= 1) return;
  recent_work_.push_back({events_.now(), work});
  recent_work_sum_ += work;
  while (recent_work_.front().first <= events_.now() - config_.crash_window_ms) {
    recent_work_sum_ -= recent_work_.front().second;
    recent_work_.pop_front();
  }
  const double can = config_.cores * config_.speed * capacity_fraction() * config_.crash_window_ms;
  peak_overload_ = std::max(peak_overload_, recent_work_sum_ / can);
  if (recent_work_sum_ <= config_.crash_overload_factor * can) return;
  terminate();
  if (callbacks_.on_crashed) callbacks_.on_crashed();
}

void EmulatedServer::submit(std::uint64_t id, double work) {
  record_slow_start_work(work);
  if (!running_) return callbacks_.on_finished(id, JobOutcome::lost, 0);
  if (random_.bernoulli(error_rate_))
    return callbacks_.on_finished(id, JobOutcome::error, jobs_in_flight() + 1);
  if (static_cast<int>(running_jobs_.size()) >= config_.cores &&
      static_cast<int>(queue_.size()) >= config_.queue_capacity)
    return callbacks_.on_finished(id, JobOutcome::queue_full, jobs_in_flight());
  queue_.push_back({id, work, 0, 0});
  start_queued_jobs();
}

void EmulatedServer::start_queued_jobs() {
  while (running_ && !queue_.empty() && static_cast<int>(running_jobs_.size()) < config_.cores) {
    Job j = queue_.front();
    queue_.pop_front();
    j.ends_at_ms = std::max(events_.now(), stalled_until_ms_) + j.work_ms / service_rate();
    j.schedule_id = ++last_schedule_id_;
    running_jobs_.push_back(j);
    schedule_completion(j);
    if (callbacks_.on_started) callbacks_.on_started(j.id);
  }
}

void EmulatedServer::schedule_completion(const Job& j) {
  events_.schedule(j.ends_at_ms, EventPriority::server,
                   [this, id = j.id, turn = j.schedule_id] { complete_job(id, turn); });
}

void EmulatedServer::complete_job(std::uint64_t id, std::uint64_t turn) {
  const auto it = std::find_if(running_jobs_.begin(), running_jobs_.end(),
                               [&](const Job& j) { return j.id == id && j.schedule_id == turn; });
  if (it == running_jobs_.end()) return;  // lost with its process, or put off by a stall
  const double in_hand = jobs_in_flight();
  running_jobs_.erase(it);
  start_queued_jobs();
  callbacks_.on_finished(id, JobOutcome::served, in_hand);
}

void EmulatedServer::cancel_queued(std::uint64_t id) {
  std::erase_if(queue_, [&](const Job& j) { return j.id == id; });
}

void EmulatedServer::terminate() {
  running_ = false;
  std::vector<std::uint64_t> gone;
  for (const Job& j : running_jobs_) gone.push_back(j.id);
  for (const Job& j : queue_) gone.push_back(j.id);
  running_jobs_.clear();
  queue_.clear();
  for (const std::uint64_t id : gone) callbacks_.on_finished(id, JobOutcome::lost, 0);
}

void EmulatedServer::restart() {
  running_ = true;
  started_at_ms_ = events_.now();
  stalled_until_ms_ = 0;
  recent_work_.clear();
  recent_work_sum_ = 0;
}

void EmulatedServer::stall(double until) {
  const double longer = until - std::max(events_.now(), stalled_until_ms_);
  if (longer <= 0) return;
  stalled_until_ms_ = until;
  for (Job& j : running_jobs_) {
    j.ends_at_ms += longer;
    j.schedule_id = ++last_schedule_id_;
    schedule_completion(j);
  }
}

}  // namespace indigorill::emulator
