#include "event/event_loop.h"

#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <cmath>
#include <system_error>
#include <utility>

namespace indigorill {
namespace {

double steady_now_ms() {
  return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

double unix_now_ms() {
  return std::chrono::duration<double, std::milli>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

FileDescriptor& FileDescriptor::operator=(FileDescriptor&& other) noexcept {
  std::swap(fd_, other.fd_);
  return *this;
}

FileDescriptor::~FileDescriptor() {
  if (fd_ >= 0) ::close(fd_);
}

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
  if (EventLoop* l = std::exchange(loop_, nullptr)) l->timers_.erase(key_);
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
  if (EventLoop* l = std::exchange(loop_, nullptr)) {
    l->watches_.erase(id_);
    ::epoll_ctl(l->epoll_.get(), EPOLL_CTL_DEL, fd_, nullptr);
  }
}

EventLoop::EventLoop()
    : epoll_(::epoll_create1(EPOLL_CLOEXEC)), unix_offset_ms_(unix_now_ms() - steady_now_ms()) {
  if (!epoll_) throw std::system_error(errno, std::generic_category(), "epoll");
}

double EventLoop::now() const { return steady_now_ms() + unix_offset_ms_; }

EventLoop::Timer EventLoop::schedule_at(double when, Callback what) {
  Timer t;
  t.loop_ = this;
  t.key_ = {when, ++last_id_};
  timers_.emplace(t.key_, std::move(what));
  return t;
}

EventLoop::Watch EventLoop::watch_fd(int fd, EventCallback what, WatchPriority as) {
  epoll_event e{};
  e.events = EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET;
  e.data.u64 = ++last_id_;
  if (::epoll_ctl(epoll_.get(), EPOLL_CTL_ADD, fd, &e) < 0)
    throw std::system_error(errno, std::generic_category(), "epoll_ctl");
  watches_.emplace(last_id_, WatchEntry{std::make_shared<EventCallback>(std::move(what)), as});
  Watch w;
  w.loop_ = this;
  w.id_ = last_id_;
  w.fd_ = fd;
  return w;
}

void EventLoop::requeue(const Watch& which) {
  if (which.loop_) requeued_.push_back(which.id_);
}

void EventLoop::dispatch(std::uint64_t id, std::uint32_t events) {
  // An earlier event of the batch may have closed this one: a name that is gone is looked up in vain, where a
  // pointer would lead to freed memory. The task is held, since it may drop its own watch.
  const auto it = watches_.find(id);
  if (it == watches_.end()) return;
  const std::shared_ptr<EventCallback> held = it->second.callback;
  (*held)(events);
}

bool EventLoop::is_prioritized(std::uint64_t id, std::uint32_t events) const {
  const auto it = watches_.find(id);
  if (it == watches_.end()) return false;
  const bool ends = (events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0;
  return it->second.priority == WatchPriority::high ||
         (ends && it->second.priority == WatchPriority::high_on_hangup);
}

void EventLoop::run_due_timers() {
  // Only what is due by now: tasks that set new due times at once must not keep the sockets waiting.
  const double until = now();
  while (!timers_.empty() && timers_.begin()->first.first <= until) {
    const Callback held = std::move(timers_.begin()->second);
    timers_.erase(timers_.begin());
    held();
  }
}

void EventLoop::run_once(double longest) {
  double wait = requeued_.empty() ? longest : 0;
  if (!timers_.empty()) wait = std::min(wait, timers_.begin()->first.first - now());
  // As many as a process may hold: one round sees all that is ready, so that the first can go ahead of it.
  std::array<epoll_event, 1024> events;
  const int n = ::epoll_wait(epoll_.get(), events.data(), events.size(),
                             static_cast<int>(std::ceil(std::clamp(wait, 0.0, 60000.0))));
  std::stable_partition(events.begin(), events.begin() + std::max(n, 0),
                        [this](const epoll_event& e) { return is_prioritized(e.data.u64, e.events); });
  for (int i = 0; i < n; ++i) dispatch(events[i].data.u64, events[i].events);
  std::deque<std::uint64_t> once;
  once.swap(requeued_);
  for (const std::uint64_t id : once) dispatch(id, EPOLLIN | EPOLLOUT);
  run_due_timers();
}

void EventLoop::run() {
  constexpr double longest = 60000;  // nothing hangs on it: each due time shortens the wait
  while (!is_stopping_) run_once(longest);
}

}  // namespace indigorill
