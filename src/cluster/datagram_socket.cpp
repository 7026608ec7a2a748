#include "cluster/datagram_socket.h"

#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <system_error>
#include <utility>

namespace indigorill {
namespace {

// After this many datagrams other descriptors are served first, so that a flood does not delay RPCs.
constexpr int max_datagrams_per_round = 64;
// Longer than any valid datagram, so that a truncated one is recognized as too long.
constexpr std::size_t receive_buffer_bytes = 2048;

}  // namespace

DatagramSocket::DatagramSocket(EventLoop& event_loop, const sockaddr_in& address, ReceiveHandler on_receive)
    : event_loop_(event_loop),
      on_receive_(std::move(on_receive)),
      fd_(::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)) {
  // SO_REUSEADDR is not set: two processes bound to one address would each receive a part of the datagrams.
  if (!fd_ || ::bind(fd_.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) < 0) {
    throw std::system_error(errno, std::generic_category(), "datagram socket");
  }
  socklen_t size = sizeof local_address_;
  ::getsockname(fd_.get(), reinterpret_cast<sockaddr*>(&local_address_), &size);
  watch_ = event_loop_.watch_fd(fd_.get(), [this](std::uint32_t) { receive(); });
}

void DatagramSocket::receive() {
  std::array<char, receive_buffer_bytes> buffer;
  for (int i = 0; i < max_datagrams_per_round; ++i) {
    sockaddr_in sender{};
    socklen_t sender_size = sizeof sender;
    const ssize_t size = ::recvfrom(fd_.get(), buffer.data(), buffer.size(), 0,
                                    reinterpret_cast<sockaddr*>(&sender), &sender_size);
    if (size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) return;
    // Any other error belongs to a datagram sent earlier (ECONNREFUSED: no socket is bound to its address).
    // This read has cleared the error.
    if (size >= 0) on_receive_({buffer.data(), static_cast<std::size_t>(size)}, sender);
  }
  event_loop_.requeue(watch_);
}

bool DatagramSocket::send(const sockaddr_in& recipient, std::string_view bytes) {
  return ::sendto(fd_.get(), bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr*>(&recipient),
                  sizeof recipient) >= 0;
}

}  // namespace indigorill
