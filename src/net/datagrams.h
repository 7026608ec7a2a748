// One socket for datagrams in the loop. Nothing is kept for later: what the kernel doesn't take is lost, as
// any datagram may be.
#pragma once

#include <string_view>

#include "socket.h"

namespace indigorill {

class datagrams {
 public:
  using heard = std::function<void(std::string_view bytes, const sockaddr_in& from)>;

  // Throws std::system_error where the address can't be had.
  datagrams(loop& in, const sockaddr_in& where, heard then);

  const sockaddr_in& where() const { return place_of; }
  bool send(const sockaddr_in& to, std::string_view bytes);  // false: not taken

 private:
  void read();

  loop& runs;
  heard tell;
  descriptor fd;
  sockaddr_in place_of{};
  loop::watch place;
};

}  // namespace indigorill
