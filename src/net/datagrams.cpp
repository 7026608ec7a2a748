#include "datagrams.h"

#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <system_error>

namespace indigorill {

datagrams::datagrams(loop& in, const sockaddr_in& where, heard then)
    : runs(in), tell(std::move(then)), fd(::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)) {
  // No reuse of the address: two processes with one place would each hear half.
  if (!fd || ::bind(fd.get(), reinterpret_cast<const sockaddr*>(&where), sizeof where) < 0)
    throw std::system_error(errno, std::generic_category(), "datagrams");
  socklen_t size = sizeof place_of;
  ::getsockname(fd.get(), reinterpret_cast<sockaddr*>(&place_of), &size);
  place = runs.on(fd.get(), [this](std::uint32_t) { read(); });
}

void datagrams::read() {
  // A flood must not keep the RPCs waiting: so many, then the others' turn.
  constexpr int at_once = 64;
  // Longer than any that is meant for us, so that one cut short is seen to be too long.
  std::array<char, 2048> room;
  for (int i = 0; i < at_once; ++i) {
    sockaddr_in from{};
    socklen_t size = sizeof from;
    const ssize_t n =
        ::recvfrom(fd.get(), room.data(), room.size(), 0, reinterpret_cast<sockaddr*>(&from), &size);
    if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) return;
    // Another's machine said that nobody listens there (ECONNREFUSED): the error is read, and that was all.
    if (n >= 0) tell({room.data(), static_cast<std::size_t>(n)}, from);
  }
  runs.again(place);
}

bool datagrams::send(const sockaddr_in& to, std::string_view bytes) {
  return ::sendto(fd.get(), bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr*>(&to),
                  sizeof to) >= 0;
}

}  // namespace indigorill
