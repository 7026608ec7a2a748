#include "event/socket.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>
#include <charconv>
#include <cstdint>
#include <system_error>

#include "config/config_error.h"

namespace indigorill {
namespace {

FileDescriptor open_tcp_socket() {
  return FileDescriptor(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
}

void enable_option(int fd, int level, int option) {
  const int enabled = 1;
  ::setsockopt(fd, level, option, &enabled, sizeof enabled);
}

/// Returns the value of a socket option; -1 if `fd` is not a socket.
int read_option(int fd, int option) {
  int value = 0;
  socklen_t size = sizeof value;
  return ::getsockopt(fd, SOL_SOCKET, option, &value, &size) < 0 ? -1 : value;
}

/// Accepted connections inherit the option. Their data then shows for how long it waited in the backlog or in
/// kernel buffers.
void enable_receive_timestamps(int listener) { enable_option(listener, SOL_SOCKET, SO_TIMESTAMPNS); }

}  // namespace

std::optional<sockaddr_in> parse_socket_address(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) return {};
  sockaddr_in address{};
  address.sin_family = AF_INET;
  if (::inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr) != 1) return {};
  std::uint16_t port = 0;
  const char* end = text.data() + text.size();
  const auto [parsed_to, error] = std::from_chars(text.data() + colon + 1, end, port);
  if (error != std::errc() || parsed_to != end || port == 0) return {};
  address.sin_port = htons(port);
  return address;
}

FileDescriptor open_listener(const sockaddr_in& address) {
  FileDescriptor fd = open_tcp_socket();
  if (fd) {
    // A restart must not wait for the connections of the previous process to leave TIME_WAIT.
    enable_option(fd.get(), SOL_SOCKET, SO_REUSEADDR);
    enable_receive_timestamps(fd.get());
  }
  if (!fd || ::bind(fd.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) < 0 ||
      ::listen(fd.get(), SOMAXCONN) < 0)
    throw std::system_error(errno, std::generic_category(), "listen");
  return fd;
}

FileDescriptor adopt_listener_fd(int fd) {
  if (read_option(fd, SO_ACCEPTCONN) != 1 || read_option(fd, SO_TYPE) != SOCK_STREAM ||
      read_option(fd, SO_DOMAIN) != AF_INET)
    throw ConfigError({.file = {},
                       .field = "LB_INHERITED_FD",
                       .cause = "does not name a listening TCP socket: " + std::to_string(fd)});
  enable_receive_timestamps(fd);
  // O_NONBLOCK belongs to the socket and so applies to all processes that share it. A blocking accept would
  // stall the event loop.
  if (::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) | O_NONBLOCK) < 0 || ::fcntl(fd, F_SETFD, FD_CLOEXEC) < 0)
    throw std::system_error(errno, std::generic_category(), "fcntl");
  return FileDescriptor(fd);
}

FileDescriptor start_connect(const sockaddr_in& address) {
  FileDescriptor fd = open_tcp_socket();
  if (!fd) return {};
  enable_option(fd.get(), IPPROTO_TCP, TCP_NODELAY);
  if (::connect(fd.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) < 0 &&
      errno != EINPROGRESS)
    return {};
  return fd;
}

}  // namespace indigorill
