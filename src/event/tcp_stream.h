/// \file
/// A non-blocking TCP connection registered with the event loop.
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>

#include "event/event_loop.h"
#include "event/file_descriptor.h"
#include "event/write_buffer.h"

namespace indigorill {

/// Owns a connected socket, or one that is connecting, and counts it in a descriptor budget. The loop and the
/// budget must outlive the stream.
class TcpStream {
 public:
  enum class ReadStatus { data, would_block, end_of_stream, error };

  /// `on_ready` is called as described at `EventLoop::watch_fd`.
  TcpStream(EventLoop& loop, FileDescriptorBudget& budget, FileDescriptor fd,
            EventLoop::EventCallback on_ready,
            EventLoop::WatchPriority priority = EventLoop::WatchPriority::normal);
  ~TcpStream();
  TcpStream(const TcpStream&) = delete;
  TcpStream& operator=(const TcpStream&) = delete;

  /// Reads once. `count` is set only if the status is `data`.
  ReadStatus read(std::span<char> buffer, std::size_t& count);

  /// Drops a part of the received data without copying it.
  ReadStatus discard();

  /// For how long, in ms, the data of the last `read()` had waited in the kernel; 0 unless the listener
  /// enabled timestamps.
  double receive_age_ms() const { return receive_age_ms_; }

  /// Writes as much as the socket takes; false if the connection is broken. `buffer.is_complete()` tells
  /// whether all was written.
  bool write(WriteBuffer& buffer);

  /// The pending socket error (SO_ERROR), for instance of a connect; 0 if there is none.
  int pending_error() const;

  /// True if an idle connection can't be reused: the peer closed it or sent unrequested data.
  bool is_stale() const;

  bool has_unread_input() const;

  /// Bytes that were received and not read yet.
  std::size_t unread_bytes() const;

  /// The flags among EPOLLRDHUP, EPOLLHUP and EPOLLERR that are set now; 0 for none.
  std::uint32_t poll_hangup_events() const;

  void shutdown_write();

  /// Makes the close send a reset instead of a FIN.
  void reset_on_close();

  /// Acknowledges received data at once. A peer that coalesces small writes (RFC 896) otherwise holds back
  /// its next one for up to 40 ms, or until something is written here.
  void acknowledge_now();

  /// Bytes written that the peer's kernel has not acknowledged yet.
  std::size_t unacknowledged_bytes() const;

  /// Calls `on_ready` in the next iteration of the loop.
  void requeue() { loop_.requeue(watch_); }

 private:
  EventLoop& loop_;
  FileDescriptorBudget& fd_budget_;
  FileDescriptor fd_;
  double receive_age_ms_ = 0;
  EventLoop::Watch watch_;  // after fd_, so that it is cancelled before the descriptor is closed
};

}  // namespace indigorill
