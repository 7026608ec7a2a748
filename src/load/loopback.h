/// \file
/// Addresses and ports on loopback.
#pragma once

#include <netinet/in.h>

#include <cstdint>
#include <string>

#include "event/file_descriptor.h"

namespace indigorill::load_generator {

sockaddr_in loopback_at(std::uint16_t port);

/// "address:port".
std::string format_address(const sockaddr_in& address);

/// The address that a socket is bound to.
sockaddr_in bound_address(const FileDescriptor& socket);

/// Reserves a TCP port for a process that starts later. The port stays bound here until the program ends,
/// without a listener, so that the kernel gives it to no other socket; the process can bind it because of
/// SO_REUSEADDR. Throws std::system_error.
sockaddr_in reserve_port();

/// Reserves a UDP port and stores it in `address`. Two processes can't bind the port at once: the returned
/// descriptor has to be closed just before another process binds it. Throws std::system_error.
FileDescriptor reserve_datagram_port(sockaddr_in& address);

}  // namespace indigorill::load_generator
