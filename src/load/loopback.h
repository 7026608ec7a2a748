/// \file
/// Addresses and ports on loopback.
#pragma once

#include <netinet/in.h>

#include <cstdint>
#include <string>

#include "event/socket.h"

namespace indigorill::load_generator {

sockaddr_in loopback_at(std::uint16_t port);

/// "address:port".
std::string format_address(const sockaddr_in& address);

/// The address that a socket is bound to.
sockaddr_in bound_address(const FileDescriptor& socket);

/// A TCP port for a process to come. It stays bound here until the program ends, though not listened on, so
/// that no other socket is given it meanwhile; the process binds it all the same (SO_REUSEADDR). Throws
/// std::system_error.
sockaddr_in reserve_port();

/// A UDP port, set in `address`. It can't be held while another process has it: the descriptor has to be
/// closed just before that. Throws std::system_error.
FileDescriptor reserve_datagram_port(sockaddr_in& address);

}  // namespace indigorill::load_generator
