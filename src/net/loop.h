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
class descriptor {
 public:
  descriptor() = default;
  explicit descriptor(int owned) : fd(owned) {}
  descriptor(descriptor&& other) noexcept : fd(other.fd) { other.fd = -1; }
  descriptor& operator=(descriptor&& other) noexcept;
  ~descriptor();

  int get() const { return fd; }
  explicit operator bool() const { return fd >= 0; }

 private:
  int fd = -1;
};

class loop {
 public:
  using task = std::function<void()>;
  using events_task = std::function<void(std::uint32_t events)>;

  // Gives its due time or its place in epoll back when it goes. The loop outlives them.
  class timer {
   public:
    timer() = default;
    timer(timer&& other) noexcept;
    timer& operator=(timer&& other) noexcept;
    ~timer() { drop(); }
    bool set() const { return of != nullptr; }
    void drop();

   private:
    friend class loop;
    loop* of = nullptr;
    std::pair<double, std::uint64_t> key{};
  };
  class watch {
   public:
    watch() = default;
    watch(watch&& other) noexcept;
    watch& operator=(watch&& other) noexcept;
    ~watch() { drop(); }
    void drop();

   private:
    friend class loop;
    loop* of = nullptr;
    std::uint64_t id = 0;
    int fd = -1;
  };

  loop();

  // Unix time in ms that only advances: the steady clock plus one offset, fixed at the start.
  double now() const;

  timer at(double when, task what);
  // first: its events are served ahead of all others in a round, or staff would wait behind a crowd.
  // ends_first: so is its end, or what it gave up would still be worked on, in that round, after the process
  // stood still.
  enum class rank { usual, first, ends_first };

  // Edge-triggered: `what` must read, write or accept until EAGAIN, or ask to be called again.
  watch on(int fd, events_task what, rank as = rank::usual);
  void again(const watch& which);  // in the next round, with the other descriptors in between

  void run();
  void stop() { stopping = true; }
  void round(double longest);  // one round, which waits so many ms at most

 private:
  void call(std::uint64_t id, std::uint32_t events);
  bool first(std::uint64_t id, std::uint32_t events) const;
  void call_due();

  descriptor epoll;
  double offset;
  bool stopping = false;
  std::uint64_t ids = 0;
  std::map<std::pair<double, std::uint64_t>, task> due;
  struct watched {
    std::shared_ptr<events_task> what;
    rank as;
  };
  std::unordered_map<std::uint64_t, watched> watches;
  std::deque<std::uint64_t> requeued;
};

}  // namespace indigorill
