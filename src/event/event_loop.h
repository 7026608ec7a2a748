/// \file
/// The single-threaded event loop of the process: edge-triggered epoll, timers, and one clock.
///
/// All times are milliseconds since the Unix epoch as double, all durations milliseconds as double.
#pragma once

#include <sys/epoll.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <span>
#include <unordered_map>
#include <utility>

#include "event/file_descriptor.h"

namespace indigorill {

/// Dispatches I/O events and timers to callbacks, on the thread that calls `run()`.
///
/// Timers and watches are handles: destroying one cancels it. The loop must outlive its handles.
class EventLoop {
 public:
  using Callback = std::function<void()>;
  /// Receives the epoll events (EPOLLIN, EPOLLOUT, EPOLLRDHUP, ...) that are pending.
  using EventCallback = std::function<void(std::uint32_t events)>;

 private:
  struct TimerKey {
    double due_ms = 0;
    std::uint64_t id = 0;  // breaks ties: timers due at the same time fire in the order of scheduling

    friend bool operator<(const TimerKey& left, const TimerKey& right) {
      return std::pair(left.due_ms, left.id) < std::pair(right.due_ms, right.id);
    }
  };

 public:
  /// Handle of a scheduled callback.
  class Timer {
   public:
    Timer() = default;
    Timer(Timer&& other) noexcept;
    Timer& operator=(Timer&& other) noexcept;
    ~Timer() { cancel(); }

    /// True from scheduling until `cancel()`; firing doesn't change it.
    bool is_set() const { return loop_ != nullptr; }
    void cancel();

   private:
    friend class EventLoop;
    EventLoop* loop_ = nullptr;
    TimerKey key_;
  };

  /// Handle of a descriptor registered with the loop. It doesn't own the descriptor and must be cancelled
  /// before the descriptor is closed.
  class Watch {
   public:
    Watch() = default;
    Watch(Watch&& other) noexcept;
    Watch& operator=(Watch&& other) noexcept;
    ~Watch() { cancel(); }

    void cancel();

   private:
    friend class EventLoop;
    EventLoop* loop_ = nullptr;
    std::uint64_t id_ = 0;
    int fd_ = -1;
  };

  /// Which events of one iteration are dispatched ahead of the others.
  enum class WatchPriority {
    normal,
    /// All events go first, so that operators are served while clients crowd the process.
    high,
    /// Hangups and errors go first, so that abandoned work is dropped before more work begins, also when the
    /// process was suspended for a while.
    high_on_hangup
  };

  /// Throws std::system_error if epoll is not available.
  EventLoop();

  /// Unix time that never goes back: the steady clock plus an offset fixed at construction.
  double now() const;

  /// Calls `callback` once when the clock reaches `due_ms`, unless the returned handle is cancelled first.
  Timer schedule_at(double due_ms, Callback callback);

  /// Calls `callback` on each readiness change of `fd`. The watch is edge-triggered: the callback has to
  /// read, write or accept until EAGAIN, or to `requeue()` the watch. Throws std::system_error if the
  /// descriptor can't be registered.
  Watch watch_fd(int fd, EventCallback callback, WatchPriority priority = WatchPriority::normal);

  /// Dispatches EPOLLIN | EPOLLOUT to the watch in the next iteration, after the events of other descriptors;
  /// once, however often it is called until then.
  void requeue(const Watch& watch);

  /// Iterates until `stop()`.
  void run();
  void stop() { is_stopping_ = true; }

  /// One iteration: waits for events for at most `max_wait_ms`, then dispatches events and due timers.
  void run_once(double max_wait_ms);

 private:
  struct WatchEntry {
    std::shared_ptr<EventCallback> callback;
    WatchPriority priority;
    bool is_requeued = false;
  };

  int wait_for_events(std::span<epoll_event> events, double max_wait_ms);
  void dispatch(std::uint64_t id, std::uint32_t events);
  void dispatch_requeued();
  void run_due_timers();
  bool is_prioritized(std::uint64_t id, std::uint32_t events) const;

  FileDescriptor epoll_;
  double unix_offset_ms_;
  bool is_stopping_ = false;
  std::uint64_t last_id_ = 0;
  std::map<TimerKey, Callback> timers_;
  std::unordered_map<std::uint64_t, WatchEntry> watches_;
  std::deque<std::uint64_t> requeued_;
};

}  // namespace indigorill
