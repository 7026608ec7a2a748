#include "proxy/signal_watcher.h"

#include <sys/signalfd.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <system_error>
#include <utility>

namespace indigorill {
namespace {

sigset_t handled_signals() {
  sigset_t set;
  sigemptyset(&set);
  for (const int signal_number : {SIGTERM, SIGINT, SIGUSR1, SIGHUP}) sigaddset(&set, signal_number);
  return set;
}

FileDescriptor open_signal_fd() {
  block_signals();
  const sigset_t set = handled_signals();
  FileDescriptor fd(::signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC));
  if (!fd) throw std::system_error(errno, std::generic_category(), "signalfd");
  return fd;
}

}  // namespace

void block_signals() {
  const sigset_t set = handled_signals();
  if (::sigprocmask(SIG_BLOCK, &set, nullptr) < 0)
    throw std::system_error(errno, std::generic_category(), "sigprocmask");
}

SignalWatcher::SignalWatcher() {
  ::signal(SIGPIPE, SIG_IGN);
  signal_fd_ = open_signal_fd();
}

EventLoop::Watch SignalWatcher::watch(EventLoop& event_loop, Handler handler) const {
  return event_loop.watch_fd(signal_fd_.get(),
                             [fd = signal_fd_.get(), handler = std::move(handler)](std::uint32_t) {
                               signalfd_siginfo info;
                               while (::read(fd, &info, sizeof info) == sizeof info)
                                 handler(static_cast<int>(info.ssi_signo));
                             });
}

}  // namespace indigorill
