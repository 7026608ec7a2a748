#include "event/socket.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <sys/uio.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <chrono>
#include <cstring>
#include <system_error>

namespace indigorill {
namespace {

double kernel_receive_age_ms(msghdr& m) {
  for (cmsghdr* c = CMSG_FIRSTHDR(&m); c; c = CMSG_NXTHDR(&m, c)) {
    if (c->cmsg_level != SOL_SOCKET || c->cmsg_type != SCM_TIMESTAMPNS) continue;
    timespec came;
    std::memcpy(&came, CMSG_DATA(c), sizeof came);
    const auto since = std::chrono::system_clock::now().time_since_epoch() -
                       std::chrono::seconds(came.tv_sec) - std::chrono::nanoseconds(came.tv_nsec);
    constexpr double most = 60000;  // more is no wait, but somebody who set the clock
    const double ms = std::chrono::duration<double, std::milli>(since).count();
    return ms > 0 && ms < most ? ms : 0;
  }
  return 0;
}

}  // namespace

std::optional<sockaddr_in> parse_socket_address(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) return {};
  sockaddr_in a{};
  a.sin_family = AF_INET;
  if (::inet_pton(AF_INET, text.substr(0, colon).c_str(), &a.sin_addr) != 1) return {};
  std::uint16_t port = 0;
  const char* end = text.data() + text.size();
  const auto [stopped, fault] = std::from_chars(text.data() + colon + 1, end, port);
  if (fault != std::errc() || stopped != end || port == 0) return {};
  a.sin_port = htons(port);
  return a;
}

FileDescriptor open_listener(const sockaddr_in& where) {
  FileDescriptor fd(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  const int on = 1;
  // A restart must not wait for the connections of the process before it.
  if (fd) ::setsockopt(fd.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  // Accepted connections inherit it: what waited in the backlog or the kernel's buffers tells since when.
  if (fd) ::setsockopt(fd.get(), SOL_SOCKET, SO_TIMESTAMPNS, &on, sizeof on);
  if (!fd || ::bind(fd.get(), reinterpret_cast<const sockaddr*>(&where), sizeof where) < 0 ||
      ::listen(fd.get(), SOMAXCONN) < 0)
    throw std::system_error(errno, std::generic_category(), "listen");
  return fd;
}

FileDescriptor adopt_listener_fd(int fd) {
  const auto option = [&](int name) {
    int value = 0;
    socklen_t size = sizeof value;
    return ::getsockopt(fd, SOL_SOCKET, name, &value, &size) < 0 ? -1 : value;
  };
  if (option(SO_ACCEPTCONN) != 1 || option(SO_TYPE) != SOCK_STREAM || option(SO_DOMAIN) != AF_INET)
    throw ParseError("LB_INHERITED_FD names no listening TCP socket: " + std::to_string(fd));
  const int on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_TIMESTAMPNS, &on, sizeof on);
  // The flag is of the socket, and so of all that hold it: a blocking accept would hold up the loop.
  if (::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) | O_NONBLOCK) < 0 || ::fcntl(fd, F_SETFD, FD_CLOEXEC) < 0)
    throw std::system_error(errno, std::generic_category(), "fcntl");
  return FileDescriptor(fd);
}

FileDescriptor start_connect(const sockaddr_in& where) {
  FileDescriptor fd(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!fd) return {};
  const int on = 1;
  ::setsockopt(fd.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  if (::connect(fd.get(), reinterpret_cast<const sockaddr*>(&where), sizeof where) < 0 &&
      errno != EINPROGRESS)
    return {};
  return fd;
}

void WriteBuffer::append_owned(std::string piece) {
  owned_chunks_.push_back(std::move(piece));
  append_borrowed(owned_chunks_.back());
}

void WriteBuffer::append_borrowed(std::string_view piece) {
  if (!piece.empty()) chunks_.push_back(piece);
}

TcpStream::TcpStream(EventLoop& in, FileDescriptorBudget& budget, FileDescriptor owned,
                     EventLoop::EventCallback ready, EventLoop::WatchPriority as)
    : loop_(in),
      fd_budget_(budget),
      fd_(std::move(owned)),
      watch_(in.watch_fd(fd_.get(), std::move(ready), as)) {
  ++fd_budget_.open_count;
}

TcpStream::~TcpStream() { --fd_budget_.open_count; }

TcpStream::ReadStatus TcpStream::read(std::span<char> room, std::size_t& count) {
  iovec to{room.data(), room.size()};
  alignas(cmsghdr) std::array<char, CMSG_SPACE(sizeof(timespec))> stamp;
  for (;;) {
    msghdr m{};
    m.msg_iov = &to;
    m.msg_iovlen = 1;
    m.msg_control = stamp.data();
    m.msg_controllen = stamp.size();
    const ssize_t n = ::recvmsg(fd_.get(), &m, 0);
    if (n > 0) {
      count = static_cast<std::size_t>(n);
      receive_age_ms_ = kernel_receive_age_ms(m);
      return ReadStatus::data;
    }
    if (n == 0) return ReadStatus::end_of_stream;
    if (errno == EAGAIN || errno == EWOULDBLOCK) return ReadStatus::would_block;
    if (errno != EINTR) return ReadStatus::error;
  }
}

TcpStream::ReadStatus TcpStream::discard() {
  constexpr std::size_t most = 256 * 1024;
  ssize_t n;
  do n = ::recv(fd_.get(), nullptr, most, MSG_TRUNC);
  while (n < 0 && errno == EINTR);
  return n > 0                                     ? ReadStatus::data
         : n == 0                                  ? ReadStatus::end_of_stream
         : errno == EAGAIN || errno == EWOULDBLOCK ? ReadStatus::would_block
                                                   : ReadStatus::error;
}

bool TcpStream::write(WriteBuffer& what) {
  while (!what.is_complete()) {
    std::array<iovec, 64> parts;  // heads take some ten; more go in the next call
    std::size_t n = 0;
    for (std::size_t i = what.next_chunk_; i < what.chunks_.size() && n < parts.size(); ++i, ++n)
      parts[n] = {const_cast<char*>(what.chunks_[i].data()), what.chunks_[i].size()};
    msghdr m{};
    m.msg_iov = parts.data();
    m.msg_iovlen = n;
    const ssize_t sent = ::sendmsg(fd_.get(), &m, MSG_NOSIGNAL);  // a closed peer must not kill us
    if (sent < 0) {
      if (errno == EINTR) continue;
      return errno == EAGAIN || errno == EWOULDBLOCK;
    }
    what.written_bytes_ += static_cast<std::size_t>(sent);
    for (std::size_t left = static_cast<std::size_t>(sent); left > 0;) {
      std::string_view& piece = what.chunks_[what.next_chunk_];
      const std::size_t now = std::min(left, piece.size());
      piece.remove_prefix(now);
      left -= now;
      if (piece.empty()) ++what.next_chunk_;
    }
  }
  return true;
}

int TcpStream::pending_error() const {
  int error = 0;
  socklen_t size = sizeof error;
  return ::getsockopt(fd_.get(), SOL_SOCKET, SO_ERROR, &error, &size) < 0 ? errno : error;
}

bool TcpStream::is_stale() const {
  char c;
  return ::recv(fd_.get(), &c, 1, MSG_PEEK | MSG_DONTWAIT) >= 0 || (errno != EAGAIN && errno != EINTR);
}

std::uint32_t TcpStream::poll_hangup_events() const {
  pollfd p{fd_.get(), POLLRDHUP, 0};
  return ::poll(&p, 1, 0) > 0 ? static_cast<std::uint32_t>(p.revents)
                              : 0;  // epoll's words have poll's values
}

bool TcpStream::has_unread_input() const {
  char c;
  return ::recv(fd_.get(), &c, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

void TcpStream::reset_on_close() {
  const linger at_once{1, 0};
  ::setsockopt(fd_.get(), SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
}

std::size_t TcpStream::unacknowledged_bytes() const {
  int n = 0;
  return ::ioctl(fd_.get(), SIOCOUTQ, &n) < 0 || n < 0 ? 0 : static_cast<std::size_t>(n);
}

void TcpStream::shutdown_write() { ::shutdown(fd_.get(), SHUT_WR); }

}  // namespace indigorill
