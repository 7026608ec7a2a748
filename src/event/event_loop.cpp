#include "event/event_loop.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <cmath>
#include <system_error>

namespace indigorill {
namespace {

// As many events as the process may hold descriptors, so that one iteration sees all ready descriptors and
// can dispatch those with priority first.
constexpr std::size_t max_events_per_iteration = 1024;

// No timer depends on this bound, since each timer shortens the wait.
constexpr double max_epoll_wait_ms = 60000;

template <class Clock>
double clock_ms() {
  return std::chrono::duration<double, std::milli>(Clock::now().time_since_epoch()).count();
}

double steady_now_ms() { return clock_ms<std::chrono::steady_clock>(); }

double unix_now_ms() { return clock_ms<std::chrono::system_clock>(); }

}  // namespace

EventLoop::Timer::Timer(Timer&& other) noexcept
    : loop_(std::exchange(other.loop_, nullptr)), key_(other.key_) {}

EventLoop::Timer& EventLoop::Timer::operator=(Timer&& other) noexcept {
  if (this != &other) {
    cancel();
    loop_ = std::exchange(other.loop_, nullptr);
    key_ = other.key_;
  }
  return *this;
}

void EventLoop::Timer::cancel() {
  if (EventLoop* loop = std::exchange(loop_, nullptr)) loop->timers_.erase(key_);
}

EventLoop::Watch::Watch(Watch&& other) noexcept
    : loop_(std::exchange(other.loop_, nullptr)), id_(other.id_), fd_(other.fd_) {}

EventLoop::Watch& EventLoop::Watch::operator=(Watch&& other) noexcept {
  if (this != &other) {
    cancel();
    loop_ = std::exchange(other.loop_, nullptr);
    id_ = other.id_;
    fd_ = other.fd_;
  }
  return *this;
}

void EventLoop::Watch::cancel() {
  if (EventLoop* loop = std::exchange(loop_, nullptr)) {
    loop->watches_.erase(id_);
    ::epoll_ctl(loop->epoll_.get(), EPOLL_CTL_DEL, fd_, nullptr);
  }
}

EventLoop::EventLoop()
    : epoll_(::epoll_create1(EPOLL_CLOEXEC)), unix_offset_ms_(unix_now_ms() - steady_now_ms()) {
  if (!epoll_) throw std::system_error(errno, std::generic_category(), "epoll");
}

double EventLoop::now() const { return steady_now_ms() + unix_offset_ms_; }

EventLoop::Timer EventLoop::schedule_at(double due_ms, Callback callback) {
  Timer timer;
  timer.loop_ = this;
  timer.key_ = {.due_ms = due_ms, .id = ++last_id_};
  timers_.emplace(timer.key_, std::move(callback));
  return timer;
}

EventLoop::Watch EventLoop::watch_fd(int fd, EventCallback callback, WatchPriority priority) {
  const std::uint64_t id = ++last_id_;
  epoll_event registration{};
  registration.events = EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET;
  registration.data.u64 = id;
  if (::epoll_ctl(epoll_.get(), EPOLL_CTL_ADD, fd, &registration) < 0)
    throw std::system_error(errno, std::generic_category(), "epoll_ctl");
  watches_.emplace(id, WatchEntry{.callback = std::make_shared<EventCallback>(std::move(callback)),
                                  .priority = priority,
                                  .is_requeued = false});
  Watch watch;
  watch.loop_ = this;
  watch.id_ = id;
  watch.fd_ = fd;
  return watch;
}

void EventLoop::requeue(const Watch& watch) {
  if (!watch.loop_) return;
  // If a watch that requeues twice were dispatched twice, its dispatches would double in each iteration.
  if (std::exchange(watches_.at(watch.id_).is_requeued, true)) return;
  requeued_.push_back(watch.id_);
}

void EventLoop::run() {
  while (!is_stopping_) run_once(max_epoll_wait_ms);
}

void EventLoop::run_once(double max_wait_ms) {
  std::array<epoll_event, max_events_per_iteration> buffer;
  const int count = std::max(wait_for_events(buffer, max_wait_ms), 0);
  const std::span<epoll_event> events(buffer.data(), static_cast<std::size_t>(count));
  std::stable_partition(events.begin(), events.end(), [this](const epoll_event& event) {
    return is_prioritized(event.data.u64, event.events);
  });
  for (const epoll_event& event : events) dispatch(event.data.u64, event.events);
  dispatch_requeued();
  run_due_timers();
}

int EventLoop::wait_for_events(std::span<epoll_event> events, double max_wait_ms) {
  double wait_ms = requeued_.empty() ? max_wait_ms : 0;
  if (!timers_.empty()) wait_ms = std::min(wait_ms, timers_.begin()->first.due_ms - now());
  const int timeout_ms = static_cast<int>(std::ceil(std::clamp(wait_ms, 0.0, max_epoll_wait_ms)));
  return ::epoll_wait(epoll_.get(), events.data(), static_cast<int>(events.size()), timeout_ms);
}

void EventLoop::dispatch(std::uint64_t id, std::uint32_t events) {
  // An earlier event of the iteration may have cancelled this watch, so it is looked up by id: a pointer
  // could dangle. The callback is kept alive here because it may cancel its own watch.
  const auto entry = watches_.find(id);
  if (entry == watches_.end()) return;
  const std::shared_ptr<EventCallback> callback = entry->second.callback;
  (*callback)(events);
}

void EventLoop::dispatch_requeued() {
  // Callbacks that requeue themselves wait for the next iteration.
  std::deque<std::uint64_t> ids;
  ids.swap(requeued_);
  for (const std::uint64_t id : ids) {
    const auto entry = watches_.find(id);
    if (entry == watches_.end()) continue;
    entry->second.is_requeued = false;
    dispatch(id, EPOLLIN | EPOLLOUT);
  }
}

void EventLoop::run_due_timers() {
  // Runs only timers that are due by now: callbacks that schedule new timers at once must not starve the
  // descriptors.
  const double until_ms = now();
  while (!timers_.empty() && timers_.begin()->first.due_ms <= until_ms) {
    const Callback callback = std::move(timers_.begin()->second);
    timers_.erase(timers_.begin());
    callback();
  }
}

bool EventLoop::is_prioritized(std::uint64_t id, std::uint32_t events) const {
  const auto entry = watches_.find(id);
  if (entry == watches_.end()) return false;
  const bool is_hangup = (events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0;
  const WatchPriority priority = entry->second.priority;
  return priority == WatchPriority::high || (is_hangup && priority == WatchPriority::high_on_hangup);
}

}  // namespace indigorill
