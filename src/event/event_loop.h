// The one thread's loop: edge-triggered epoll, due times in one ordered structure, one clock.
#pragma once

#include <sys/epoll.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <unordered_map>

namespace indigorill {

// A descriptor with one owner; closed when the owner lets go of it.
class FileDescriptor {
 public:
  FileDescriptor() = default;
  explicit FileDescriptor(int owned) : fd_(owned) {}
  FileDescriptor(FileDescriptor&& other) noexcept : fd_(other.fd_) { other.fd_ = -1; }
  FileDescriptor& operator=(FileDescriptor&& other) noexcept;
  ~FileDescriptor();

  int get() const { return fd_; }
  explicit operator bool() const { return fd_ >= 0; }

 private:
  int fd_ = -1;
};

class EventLoop {
 public:
  using Callback = std::function<void()>;
  using EventCallback = std::function<void(std::uint32_t events)>;

  // Gives its due time or its place in epoll back when it goes. The loop outlives them.
  class Timer {
   public:
    Timer() = default;
    Timer(Timer&& other) noexcept;
    Timer& operator=(Timer&& other) noexcept;
    ~Timer() { cancel(); }
    bool is_set() const { return loop_ != nullptr; }
    void cancel();

   private:
    friend class EventLoop;
    EventLoop* loop_ = nullptr;
    std::pair<double, std::uint64_t> key_{};
  };
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

  EventLoop();

  // Unix time in ms that only advances: the steady clock plus one offset, fixed at the start.
  double now() const;

  Timer schedule_at(double when, Callback what);
  // first: its events are served ahead of all others in a round, or staff would wait behind a crowd.
  // ends_first: so is its end, or what it gave up would still be worked on, in that round, after the process
  // stood still.
  enum class WatchPriority { normal, high, high_on_hangup };

  // Edge-triggered: `what` must read, write or accept until EAGAIN, or ask to be called again.
  Watch watch_fd(int fd, EventCallback what, WatchPriority as = WatchPriority::normal);
  void requeue(const Watch& which);  // in the next round, with the other descriptors in between

  void run();
  void stop() { is_stopping_ = true; }
  void run_once(double longest);  // one round, which waits so many ms at most

 private:
  void dispatch(std::uint64_t id, std::uint32_t events);
  bool is_prioritized(std::uint64_t id, std::uint32_t events) const;
  void run_due_timers();

  FileDescriptor epoll_;
  double unix_offset_ms_;
  bool is_stopping_ = false;
  std::uint64_t last_id_ = 0;
  std::map<std::pair<double, std::uint64_t>, Callback> timers_;
  struct WatchEntry {
    std::shared_ptr<EventCallback> callback;
    WatchPriority priority;
  };
  std::unordered_map<std::uint64_t, WatchEntry> watches_;
  std::deque<std::uint64_t> requeued_;
};

}  // namespace indigorill
