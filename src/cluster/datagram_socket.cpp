#include "cluster/datagram_socket.h"

#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <system_error>

namespace indigorill {

DatagramSocket::DatagramSocket(EventLoop& in, const sockaddr_in& where, ReceiveHandler then)
    : event_loop_(in),
      on_receive_(std::move(then)),
      fd_(::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)) {
  // No reuse of the address: two processes with one place would each hear half.
  if (!fd_ || ::bind(fd_.get(), reinterpret_cast<const sockaddr*>(&where), sizeof where) < 0)
    throw std::system_error(errno, std::generic_category(), "datagrams");
  socklen_t size = sizeof local_address_;
  ::getsockname(fd_.get(), reinterpret_cast<sockaddr*>(&local_address_), &size);
  watch_ = event_loop_.watch_fd(fd_.get(), [this](std::uint32_t) { receive(); });
}

void DatagramSocket::receive() {
  // A flood must not keep the RPCs waiting: so many, then the others' turn.
  constexpr int at_once = 64;
  // Longer than any that is meant for us, so that one cut short is seen to be too long.
  std::array<char, 2048> room;
  for (int i = 0; i < at_once; ++i) {
    sockaddr_in from{};
    socklen_t size = sizeof from;
    const ssize_t n =
        ::recvfrom(fd_.get(), room.data(), room.size(), 0, reinterpret_cast<sockaddr*>(&from), &size);
    if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) return;
    // Another's machine said that nobody listens there (ECONNREFUSED): the error is read, and that was all.
    if (n >= 0) on_receive_({room.data(), static_cast<std::size_t>(n)}, from);
  }
  event_loop_.requeue(watch_);
}

bool DatagramSocket::send(const sockaddr_in& to, std::string_view bytes) {
  return ::sendto(fd_.get(), bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr*>(&to),
                  sizeof to) >= 0;
}

}  // namespace indigorill
