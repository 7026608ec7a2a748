// The emulator's agenda on the wall clock: its servers and troubles, played by stand-ins on sockets.
#pragma once

#include <cmath>
#include <utility>

#include "emulator/event_queue.h"
#include "event/event_loop.h"

namespace indigorill::loading {

class WallClockScheduler {
 public:
  explicit WallClockScheduler(EventLoop& in) : loop_(in) {}

  // ago: the start lies in the past, as for a process that was held up at once.
  void start(double ago = 0) {
    started_at_ms_ = loop_.now() - ago;
    started_ = true;
    run_due_events();
  }
  double now() const { return loop_.now() - started_at_ms_; }  // ms since the start
  double to_unix_ms(double when) const { return started_at_ms_ + when; }

  // All that is due by now; called before anything is put down for now.
  void run_due_events() {
    if (!started_ || std::exchange(running_events_, true)) return;
    while (events_.run_next(now())) {
    }
    running_events_ = false;
    arm_timer();
  }
  emulator::EventQueue& queue() { return events_; }
  void schedule(double when, emulator::EventPriority of, emulator::EventQueue::Callback what) {
    events_.schedule(when, of, std::move(what));
    if (started_ && !running_events_) arm_timer();
  }

 private:
  void arm_timer() {
    if (events_.empty()) return;
    timer_ = loop_.schedule_at(started_at_ms_ + events_.next_time_ms(), [this] { run_due_events(); });
  }

  EventLoop& loop_;
  emulator::EventQueue events_;
  double started_at_ms_ = 0;
  bool started_ = false, running_events_ = false;
  EventLoop::Timer timer_;
};

}  // namespace indigorill::loading
