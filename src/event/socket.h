// Sockets on owned descriptors, and the thin driver that moves bytes between them and the parsers.
#pragma once

#include <netinet/in.h>

#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "config/json_fields.h"
#include "event/event_loop.h"

namespace indigorill {

// "address:port"; none if it is not one.
std::optional<sockaddr_in> parse_socket_address(const std::string& text);

// Descriptors that the process may hold, and those that it does. Whoever opens one asks first.
struct FileDescriptorBudget {
  std::size_t limit, open_count = 0;
  std::size_t available() const { return limit > open_count ? limit - open_count : 0; }
};

FileDescriptor open_listener(const sockaddr_in& where);
// One that listens already and that others hold too. Throws malformed if it is none.
FileDescriptor adopt_listener_fd(int fd);
FileDescriptor start_connect(const sockaddr_in& where);  // begins; none if it can't

// Pieces of a message to be written in one go, and how far that has come. Pieces of others must stay where
// they are until it is done.
class WriteBuffer {
 public:
  void append_owned(std::string piece);  // kept here
  void append_borrowed(std::string_view piece);
  bool is_complete() const { return next_chunk_ == chunks_.size(); }
  bool has_started() const { return written_bytes_ > 0; }  // some of it was written
  std::size_t written_bytes() const { return written_bytes_; }

 private:
  friend class TcpStream;
  std::deque<std::string> owned_chunks_;
  std::vector<std::string_view> chunks_;
  std::size_t next_chunk_ = 0;  // the first piece not written whole; it is shortened as it goes
  std::size_t written_bytes_ = 0;
};

// A non-blocking connection in the loop.
class TcpStream {
 public:
  enum class ReadStatus { data, would_block, end_of_stream, error };

  TcpStream(EventLoop& in, FileDescriptorBudget& budget, FileDescriptor owned, EventLoop::EventCallback ready,
            EventLoop::WatchPriority as = EventLoop::WatchPriority::normal);
  ~TcpStream();
  TcpStream(const TcpStream&) = delete;
  TcpStream& operator=(const TcpStream&) = delete;

  ReadStatus read(std::span<char> room, std::size_t& count);
  ReadStatus discard();  // some of what came, uncopied
  // How long ago, in ms, the last bytes read had come to this machine; 0 where the listener doesn't tell.
  double receive_age_ms() const { return receive_age_ms_; }
  bool write(WriteBuffer& what);  // false if it is broken; done() tells whether all went out
  int pending_error() const;      // of a connect, for one
  bool is_stale() const;          // the other side has closed it, or wrote unasked
  bool has_unread_input() const;  // bytes came that are not read yet
  std::uint32_t poll_hangup_events()
      const;  // EPOLLRDHUP, EPOLLHUP, EPOLLERR, as epoll would tell now; 0: none of them
  void shutdown_write();
  void reset_on_close();                     // the other side sees a reset, not an end
  std::size_t unacknowledged_bytes() const;  // bytes written that the other side's machine has not taken
  void requeue() { loop_.requeue(watch_); }

 private:
  EventLoop& loop_;
  FileDescriptorBudget& fd_budget_;
  FileDescriptor fd_;
  double receive_age_ms_ = 0;
  EventLoop::Watch watch_;  // goes before the descriptor
};

}  // namespace indigorill
