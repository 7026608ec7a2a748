#include "proxy/client_listener.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>
#include <utility>

namespace indigorill {

ClientListener::ClientListener(EventLoop& event_loop, Logger& logger, MakeRoom make_room,
                               AcceptHandler on_accepted)
    : event_loop_(event_loop),
      logger_(logger),
      make_room_(std::move(make_room)),
      on_accepted_(std::move(on_accepted)) {}

void ClientListener::open(FileDescriptor socket) {
  socket_ = std::move(socket);
  if (accepting_) start_watch();
}

void ClientListener::close() {
  retry_timer_.cancel();
  watch_.cancel();
  socket_ = {};
}

void ClientListener::set_accepting(bool accepting) {
  if (std::exchange(accepting_, accepting) == accepting || !socket_) return;
  retry_timer_.cancel();
  watch_.cancel();
  // A new watch also reports connections that are already waiting.
  if (accepting_) start_watch();
}

void ClientListener::start_watch() {
  watch_ = event_loop_.watch_fd(socket_.get(), [this](std::uint32_t) { on_ready(); });
}

void ClientListener::on_ready() {
  constexpr double retry_interval_ms = 5;  // edge-triggered epoll doesn't report this backlog again
  const AcceptResult result = accept_batch();
  if (result == AcceptResult::backlog_remaining) event_loop_.requeue(watch_);
  if (result == AcceptResult::blocked)
    retry_timer_ = event_loop_.schedule_at(event_loop_.now() + retry_interval_ms, [this] { on_ready(); });
}

ClientListener::AcceptResult ClientListener::accept_batch() {
  constexpr int batch_size = 64;  // then the accepted connections are served
  for (int i = 0; i < batch_size; ++i) {
    if (!make_room_()) return AcceptResult::blocked;
    FileDescriptor client(::accept4(socket_.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (!client) {
      if (errno == EAGAIN || errno == EWOULDBLOCK) return AcceptResult::backlog_empty;
      if (errno == EINTR || errno == ECONNABORTED) continue;
      // EMFILE or a similar error: epoll doesn't report this backlog again, so the accept has to be retried.
      log_accept_failure(errno);
      return AcceptResult::blocked;
    }
    const int enabled = 1;
    ::setsockopt(client.get(), IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
    on_accepted_(std::move(client));
  }
  return AcceptResult::backlog_remaining;
}

void ClientListener::log_accept_failure(int error) {
  constexpr double log_interval_ms = 1000;  // keeps repeated failures from flooding the log
  if (event_loop_.now() <= last_failure_logged_at_ms_ + log_interval_ms) return;
  last_failure_logged_at_ms_ = event_loop_.now();
  logger_.warning() << "accept failed with error " << error << "; retrying";
}

}  // namespace indigorill
