// One socket for datagrams in the loop. Nothing is kept for later: what the kernel doesn't take is lost, as
// any datagram may be.
#pragma once

#include <string_view>

#include "event/event_loop.h"
#include "event/socket.h"

namespace indigorill {

class DatagramSocket {
 public:
  using ReceiveHandler = std::function<void(std::string_view bytes, const sockaddr_in& from)>;

  // Throws std::system_error where the address can't be had.
  DatagramSocket(EventLoop& in, const sockaddr_in& where, ReceiveHandler then);

  const sockaddr_in& local_address() const { return local_address_; }
  bool send(const sockaddr_in& to, std::string_view bytes);  // false: not taken

 private:
  void receive();

  EventLoop& event_loop_;
  ReceiveHandler on_receive_;
  FileDescriptor fd_;
  sockaddr_in local_address_{};
  EventLoop::Watch watch_;
};

}  // namespace indigorill
