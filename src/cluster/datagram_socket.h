/// \file
/// A UDP socket in the event loop.
#pragma once

#include <netinet/in.h>

#include <functional>
#include <string_view>

#include "event/event_loop.h"
#include "event/file_descriptor.h"

namespace indigorill {

/// Does not buffer: a datagram that the kernel does not accept is lost, as any datagram may be. The event
/// loop must outlive the socket.
class DatagramSocket {
 public:
  /// The bytes are valid only during the call.
  using ReceiveHandler = std::function<void(std::string_view bytes, const sockaddr_in& sender)>;

  /// Binds the address; port 0 selects any free port. Throws std::system_error if the address is not
  /// available.
  DatagramSocket(EventLoop& event_loop, const sockaddr_in& address, ReceiveHandler on_receive);

  const sockaddr_in& local_address() const { return local_address_; }
  /// Returns whether the kernel accepted the datagram.
  bool send(const sockaddr_in& recipient, std::string_view bytes);

 private:
  void receive();

  EventLoop& event_loop_;
  ReceiveHandler on_receive_;
  FileDescriptor fd_;
  sockaddr_in local_address_{};
  EventLoop::Watch watch_;  // declared after fd_, so destroyed before it
};

}  // namespace indigorill
