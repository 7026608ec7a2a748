#include "event/tcp_stream.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <sys/uio.h>

#include <array>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <ctime>
#include <utility>

namespace indigorill {
namespace {

// A longer age results from a step of the wall clock, not from a wait.
constexpr double max_receive_age_ms = 60000;

// The head of a message takes about ten vectors. Vectors that don't fit are sent by the next call.
constexpr std::size_t max_vectors_per_write = 64;

constexpr std::size_t discard_bytes_per_call = std::size_t{256} * 1024;

/// How long ago, in ms, the kernel received the data of `message`; 0 if the message has no usable timestamp.
double kernel_receive_age_ms(msghdr& message) {
  for (cmsghdr* control = CMSG_FIRSTHDR(&message); control; control = CMSG_NXTHDR(&message, control)) {
    if (control->cmsg_level != SOL_SOCKET || control->cmsg_type != SCM_TIMESTAMPNS) continue;
    timespec received;
    std::memcpy(&received, CMSG_DATA(control), sizeof received);
    const auto age = std::chrono::system_clock::now().time_since_epoch() -
                     std::chrono::seconds(received.tv_sec) - std::chrono::nanoseconds(received.tv_nsec);
    const double age_ms = std::chrono::duration<double, std::milli>(age).count();
    return age_ms > 0 && age_ms < max_receive_age_ms ? age_ms : 0;
  }
  return 0;
}

bool is_would_block(int error) { return error == EAGAIN || error == EWOULDBLOCK; }

/// The status of a receive call that returned `result`, with errno set if `result` is negative.
TcpStream::ReadStatus read_status(ssize_t result) {
  if (result > 0) return TcpStream::ReadStatus::data;
  if (result == 0) return TcpStream::ReadStatus::end_of_stream;
  return is_would_block(errno) ? TcpStream::ReadStatus::would_block : TcpStream::ReadStatus::error;
}

/// Repeats a system call that was interrupted by a signal.
template <class Call>
ssize_t retry_if_interrupted(Call&& call) {
  for (;;) {
    const ssize_t result = call();
    if (result >= 0 || errno != EINTR) return result;
  }
}

}  // namespace

TcpStream::TcpStream(EventLoop& loop, FileDescriptorBudget& budget, FileDescriptor fd,
                     EventLoop::EventCallback on_ready, EventLoop::WatchPriority priority)
    : loop_(loop),
      fd_budget_(budget),
      fd_(std::move(fd)),
      watch_(loop.watch_fd(fd_.get(), std::move(on_ready), priority)) {
  ++fd_budget_.open_count;
}

TcpStream::~TcpStream() { --fd_budget_.open_count; }

TcpStream::ReadStatus TcpStream::read(std::span<char> buffer, std::size_t& count) {
  iovec vector{.iov_base = buffer.data(), .iov_len = buffer.size()};
  alignas(cmsghdr) std::array<char, CMSG_SPACE(sizeof(timespec))> control;
  msghdr message{};
  const ssize_t received = retry_if_interrupted([&] {
    message = {};
    message.msg_iov = &vector;
    message.msg_iovlen = 1;
    message.msg_control = control.data();
    message.msg_controllen = control.size();
    return ::recvmsg(fd_.get(), &message, 0);
  });
  if (received > 0) {
    count = static_cast<std::size_t>(received);
    receive_age_ms_ = kernel_receive_age_ms(message);
  }
  return read_status(received);
}

TcpStream::ReadStatus TcpStream::discard() {
  return read_status(
      retry_if_interrupted([&] { return ::recv(fd_.get(), nullptr, discard_bytes_per_call, MSG_TRUNC); }));
}

bool TcpStream::write(WriteBuffer& buffer) {
  while (!buffer.is_complete()) {
    std::array<iovec, max_vectors_per_write> vectors;
    msghdr message{};
    message.msg_iov = vectors.data();
    message.msg_iovlen = buffer.fill(vectors);
    // Without MSG_NOSIGNAL a closed peer would kill the process with SIGPIPE.
    const ssize_t sent = retry_if_interrupted([&] { return ::sendmsg(fd_.get(), &message, MSG_NOSIGNAL); });
    if (sent < 0) return is_would_block(errno);
    buffer.advance(static_cast<std::size_t>(sent));
  }
  return true;
}

int TcpStream::pending_error() const {
  int error = 0;
  socklen_t size = sizeof error;
  return ::getsockopt(fd_.get(), SOL_SOCKET, SO_ERROR, &error, &size) < 0 ? errno : error;
}

bool TcpStream::is_stale() const {
  char byte;
  return ::recv(fd_.get(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) >= 0 || (errno != EAGAIN && errno != EINTR);
}

bool TcpStream::has_unread_input() const {
  char byte;
  return ::recv(fd_.get(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

std::uint32_t TcpStream::poll_hangup_events() const {
  pollfd request{.fd = fd_.get(), .events = POLLRDHUP, .revents = 0};
  if (::poll(&request, 1, 0) <= 0) return 0;
  return static_cast<std::uint32_t>(request.revents);  // poll and epoll share the values of these flags
}

void TcpStream::reset_on_close() {
  const linger at_once{.l_onoff = 1, .l_linger = 0};
  ::setsockopt(fd_.get(), SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
}

void TcpStream::acknowledge_now() {
  const int enabled = 1;
  ::setsockopt(fd_.get(), IPPROTO_TCP, TCP_QUICKACK, &enabled, sizeof enabled);
}

std::size_t TcpStream::unacknowledged_bytes() const {
  int count = 0;
  return ::ioctl(fd_.get(), SIOCOUTQ, &count) < 0 || count < 0 ? 0 : static_cast<std::size_t>(count);
}

std::size_t TcpStream::unread_bytes() const {
  int count = 0;
  return ::ioctl(fd_.get(), SIOCINQ, &count) < 0 || count < 0 ? 0 : static_cast<std::size_t>(count);
}

void TcpStream::shutdown_write() { ::shutdown(fd_.get(), SHUT_WR); }

}  // namespace indigorill
