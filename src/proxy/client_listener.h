/// @file
/// The listening socket for client connections.
#pragma once

#include <functional>

#include "event/event_loop.h"
#include "logging/logger.h"

namespace indigorill {

/// Accepts connections while accepting is enabled, a limited number in each iteration of the event loop.
class ClientListener {
 public:
  enum class AcceptResult {
    backlog_empty,
    backlog_remaining,  ///< a batch was accepted; more connections may wait
    blocked,            ///< no descriptor is available or accept failed; connections may wait
  };
  /// Makes room for one more connection; returns false if there is none.
  using MakeRoom = std::function<bool()>;
  using AcceptHandler = std::function<void(FileDescriptor client)>;

  /// `event_loop` and `logger` must outlive the listener.
  ClientListener(EventLoop& event_loop, Logger& logger, MakeRoom make_room, AcceptHandler on_accepted);

  /// Takes ownership of a socket that is already listening.
  void open(FileDescriptor socket);
  bool is_open() const { return static_cast<bool>(socket_); }
  void close();

  /// While accepting is disabled, waiting connections are left to another process that holds the socket.
  void set_accepting(bool accepting);
  bool is_accepting() const { return accepting_; }

  AcceptResult accept_batch();

 private:
  void start_watch();
  void on_ready();
  void log_accept_failure(int error);

  EventLoop& event_loop_;
  Logger& logger_;
  MakeRoom make_room_;
  AcceptHandler on_accepted_;
  FileDescriptor socket_;
  EventLoop::Watch watch_;
  EventLoop::Timer retry_timer_;
  bool accepting_ = true;
  double last_failure_logged_at_ms_ = 0;
};

}  // namespace indigorill
