// The emulator's clock: what is due, in one stated order. Equal times fall by rank (troubles change the world
// first, then servers end work, then the network delivers, then the list, timers and clients), equal ranks in
// the order in which they were put down.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <vector>

namespace indigorill::emulator {

enum class EventPriority : std::uint8_t { fault, server, network, discovery, timer, client };

class EventQueue {
 public:
  using Callback = std::function<void()>;

  double now() const { return now_ms_; }
  bool empty() const { return heap_.empty(); }
  double next_time_ms() const { return heap_.front().time_ms; }

  // What is put down for the past is due now: the clock never goes back.
  void schedule(double when, EventPriority of, Callback what) {
    heap_.push_back({std::max(when, now_ms_), of, ++last_sequence_, std::move(what)});
    std::push_heap(heap_.begin(), heap_.end(), runs_later);
  }

  // The next one, unless it is due after `end`; then the clock stands at `end`.
  bool run_next(double end) {
    if (heap_.empty() || heap_.front().time_ms > end) {
      now_ms_ = std::max(now_ms_, end);
      return false;
    }
    std::pop_heap(heap_.begin(), heap_.end(), runs_later);
    const Event due = std::move(heap_.back());
    heap_.pop_back();
    now_ms_ = due.time_ms;
    due.callback();
    return true;
  }

 private:
  struct Event {
    double time_ms;
    EventPriority priority;
    std::uint64_t sequence;
    Callback callback;
  };
  static bool runs_later(const Event& a, const Event& b) {
    if (a.time_ms != b.time_ms) return a.time_ms > b.time_ms;
    if (a.priority != b.priority) return a.priority > b.priority;
    return a.sequence > b.sequence;
  }

  double now_ms_ = 0;
  std::uint64_t last_sequence_ = 0;
  std::vector<Event> heap_;
};

}  // namespace indigorill::emulator
