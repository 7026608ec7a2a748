#include "loop.h"

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

double steady_ms() {
  return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

double unix_ms() {
  return std::chrono::duration<double, std::milli>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

descriptor& descriptor::operator=(descriptor&& other) noexcept {
  std::swap(fd, other.fd);
  return *this;
}

descriptor::~descriptor() {
  if (fd >= 0) ::close(fd);
}

loop::timer::timer(timer&& other) noexcept : of(std::exchange(other.of, nullptr)), key(other.key) {}

loop::timer& loop::timer::operator=(timer&& other) noexcept {
  if (this != &other) {
    drop();
    of = std::exchange(other.of, nullptr);
    key = other.key;
  }
  return *this;
}

void loop::timer::drop() {
  if (loop* l = std::exchange(of, nullptr)) l->due.erase(key);
}

loop::watch::watch(watch&& other) noexcept
    : of(std::exchange(other.of, nullptr)), id(other.id), fd(other.fd) {}

loop::watch& loop::watch::operator=(watch&& other) noexcept {
  if (this != &other) {
    drop();
    of = std::exchange(other.of, nullptr);
    id = other.id;
    fd = other.fd;
  }
  return *this;
}

void loop::watch::drop() {
  if (loop* l = std::exchange(of, nullptr)) {
    l->watches.erase(id);
    ::epoll_ctl(l->epoll.get(), EPOLL_CTL_DEL, fd, nullptr);
  }
}

loop::loop() : epoll(::epoll_create1(EPOLL_CLOEXEC)), offset(unix_ms() - steady_ms()) {
  if (!epoll) throw std::system_error(errno, std::generic_category(), "epoll");
}

double loop::now() const { return steady_ms() + offset; }

loop::timer loop::at(double when, task what) {
  timer t;
  t.of = this;
  t.key = {when, ++ids};
  due.emplace(t.key, std::move(what));
  return t;
}

loop::watch loop::on(int fd, events_task what, rank as) {
  epoll_event e{};
  e.events = EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET;
  e.data.u64 = ++ids;
  if (::epoll_ctl(epoll.get(), EPOLL_CTL_ADD, fd, &e) < 0)
    throw std::system_error(errno, std::generic_category(), "epoll_ctl");
  watches.emplace(ids, watched{std::make_shared<events_task>(std::move(what)), as});
  watch w;
  w.of = this;
  w.id = ids;
  w.fd = fd;
  return w;
}

void loop::again(const watch& which) {
  if (which.of) requeued.push_back(which.id);
}

void loop::call(std::uint64_t id, std::uint32_t events) {
  // An earlier event of the batch may have closed this one: a name that is gone is looked up in vain, where a
  // pointer would lead to freed memory. The task is held, since it may drop its own watch.
  const auto it = watches.find(id);
  if (it == watches.end()) return;
  const std::shared_ptr<events_task> held = it->second.what;
  (*held)(events);
}

bool loop::first(std::uint64_t id, std::uint32_t events) const {
  const auto it = watches.find(id);
  if (it == watches.end()) return false;
  const bool ends = (events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0;
  return it->second.as == rank::first || (ends && it->second.as == rank::ends_first);
}

void loop::call_due() {
  // Only what is due by now: tasks that set new due times at once must not keep the sockets waiting.
  const double until = now();
  while (!due.empty() && due.begin()->first.first <= until) {
    const task held = std::move(due.begin()->second);
    due.erase(due.begin());
    held();
  }
}

void loop::round(double longest) {
  double wait = requeued.empty() ? longest : 0;
  if (!due.empty()) wait = std::min(wait, due.begin()->first.first - now());
  // As many as a process may hold: one round sees all that is ready, so that the first can go ahead of it.
  std::array<epoll_event, 1024> events;
  const int n = ::epoll_wait(epoll.get(), events.data(), events.size(),
                             static_cast<int>(std::ceil(std::clamp(wait, 0.0, 60000.0))));
  std::stable_partition(events.begin(), events.begin() + std::max(n, 0),
                        [this](const epoll_event& e) { return first(e.data.u64, e.events); });
  for (int i = 0; i < n; ++i) call(events[i].data.u64, events[i].events);
  std::deque<std::uint64_t> once;
  once.swap(requeued);
  for (const std::uint64_t id : once) call(id, EPOLLIN | EPOLLOUT);
  call_due();
}

void loop::run() {
  constexpr double longest = 60000;  // nothing hangs on it: each due time shortens the wait
  while (!stopping) round(longest);
}

}  // namespace indigorill
