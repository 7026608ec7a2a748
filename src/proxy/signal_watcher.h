/// @file
/// The signals that control a sidecar process, received as events of its event loop.
#pragma once

#include <functional>

#include "event/event_loop.h"

namespace indigorill {

/// Blocks SIGTERM, SIGINT, SIGUSR1 and SIGHUP, so that they stay pending until a SignalWatcher reads them.
/// To be called first in main(): a SIGTERM received while the config is read then ends the process with
/// status 0 like a later one, and a SIGHUP doesn't end it. Throws std::system_error.
void block_signals();

/// Owns the descriptor over which the blocked signals are read.
class SignalWatcher {
 public:
  using Handler = std::function<void(int signal_number)>;

  /// Blocks the signals, ignores SIGPIPE and opens the descriptor. Throws std::system_error.
  SignalWatcher();

  /// Calls `handler` from the loop for each signal, as long as the watch is kept. The watcher must outlive
  /// the watch.
  [[nodiscard]] EventLoop::Watch watch(EventLoop& event_loop, Handler handler) const;

 private:
  FileDescriptor signal_fd_;
};

}  // namespace indigorill
