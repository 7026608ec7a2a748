#include "load/loopback.h"

#include <arpa/inet.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <system_error>
#include <utility>
#include <vector>

namespace indigorill::load_generator {
namespace {

void bind_to_any_port(const FileDescriptor& socket, const char* what) {
  const sockaddr_in any = loopback_at(0);
  if (!socket || ::bind(socket.get(), reinterpret_cast<const sockaddr*>(&any), sizeof any) < 0)
    throw std::system_error(errno, std::generic_category(), what);
}

}  // namespace

sockaddr_in loopback_at(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(port);
  return address;
}

std::string format_address(const sockaddr_in& address) {
  std::array<char, INET_ADDRSTRLEN> text{};
  ::inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size());
  return std::string(text.data()) + ":" + std::to_string(ntohs(address.sin_port));
}

sockaddr_in bound_address(const FileDescriptor& socket) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  ::getsockname(socket.get(), reinterpret_cast<sockaddr*>(&address), &size);
  return address;
}

sockaddr_in reserve_port() {
  static std::vector<FileDescriptor> reserved;
  const int on = 1;
  FileDescriptor socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  if (socket) ::setsockopt(socket.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  bind_to_any_port(socket, "can't bind a TCP port");
  reserved.push_back(std::move(socket));
  return bound_address(reserved.back());
}

FileDescriptor reserve_datagram_port(sockaddr_in& address) {
  FileDescriptor socket(::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0));
  bind_to_any_port(socket, "can't bind a UDP port");
  address = bound_address(socket);
  return socket;
}

}  // namespace indigorill::load_generator
