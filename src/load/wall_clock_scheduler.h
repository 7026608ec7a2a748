/// \file
/// Runs the emulator's event queue by the wall clock, for emulated servers and faults behind real sockets.
#pragma once

#include <utility>

#include "emulator/event_queue.h"
#include "event/event_loop.h"

namespace indigorill::load_generator {

/// Times are milliseconds since start(). The event loop must outlive the scheduler.
class WallClockScheduler {
 public:
  explicit WallClockScheduler(EventLoop& loop) : loop_(loop) {}

  /// The start lies `elapsed_ms` in the past, as if the process had been held up right after the start.
  void start(double elapsed_ms = 0) {
    started_at_ms_ = loop_.now() - elapsed_ms;
    started_ = true;
    run_due_events();
  }

  double now() const { return loop_.now() - started_at_ms_; }
  double to_unix_ms(double time_ms) const { return started_at_ms_ + time_ms; }

  /// Runs all events that are due. Has to be called before an event is scheduled for the current time.
  void run_due_events() {
    if (!started_ || std::exchange(running_events_, true)) return;
    while (events_.run_next(now())) {
    }
    running_events_ = false;
    arm_timer();
  }

  /// The queue's clock shows the time of the running event, even if the event runs late.
  emulator::EventQueue& queue() { return events_; }

  void schedule(double time_ms, emulator::EventPriority priority, emulator::EventQueue::Callback callback) {
    events_.schedule(time_ms, priority, std::move(callback));
    if (started_ && !running_events_) arm_timer();
  }

 private:
  void arm_timer() {
    if (events_.empty()) return;
    timer_ = loop_.schedule_at(started_at_ms_ + events_.next_time_ms(), [this] { run_due_events(); });
  }

  EventLoop& loop_;
  emulator::EventQueue events_;
  double started_at_ms_ = 0;  // Unix time
  bool started_ = false;
  bool running_events_ = false;
  EventLoop::Timer timer_;
};

}  // namespace indigorill::load_generator
