/// \file
/// The emulator's clock and its pending events, which run in a defined and reproducible order.
///
/// Events run in the order of their times. Events at the same time run by priority: faults first, then
/// completions of work at servers, network deliveries, discovery, timers and clients. Events of equal
/// priority run in the order in which they were scheduled.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <utility>
#include <vector>

namespace indigorill::emulator {

/// Priority among events at the same time: the lowest enumerator runs first.
enum class EventPriority : std::uint8_t { fault, server, network, discovery, timer, client };

/// Runs callbacks on a virtual clock. Times are milliseconds since the start of the run.
class EventQueue {
 public:
  using Callback = std::function<void()>;

  double now() const { return now_ms_; }
  bool empty() const { return heap_.empty(); }
  /// Time of the next event; the queue must not be empty.
  double next_time_ms() const { return heap_.front().time_ms; }

  /// Schedules `callback`. A time in the past counts as now, because the clock never goes back.
  void schedule(double time_ms, EventPriority priority, Callback callback) {
    heap_.push_back({std::max(time_ms, now_ms_), priority, ++last_sequence_, std::move(callback)});
    std::push_heap(heap_.begin(), heap_.end(), runs_later);
  }

  /// Runs the next event and returns true. If there is none up to `end_ms`, advances the clock to `end_ms`
  /// and returns false.
  bool run_next(double end_ms) {
    if (heap_.empty() || heap_.front().time_ms > end_ms) {
      now_ms_ = std::max(now_ms_, end_ms);
      return false;
    }
    std::pop_heap(heap_.begin(), heap_.end(), runs_later);
    const Event event = std::move(heap_.back());
    heap_.pop_back();
    now_ms_ = event.time_ms;
    event.callback();
    return true;
  }

 private:
  struct Event {
    double time_ms;
    EventPriority priority;
    std::uint64_t sequence;
    Callback callback;
  };

  static bool runs_later(const Event& left, const Event& right) {
    if (left.time_ms != right.time_ms) return left.time_ms > right.time_ms;
    if (left.priority != right.priority) return left.priority > right.priority;
    return left.sequence > right.sequence;
  }

  double now_ms_ = 0;
  std::uint64_t last_sequence_ = 0;
  std::vector<Event> heap_;
};

}  // namespace indigorill::emulator
