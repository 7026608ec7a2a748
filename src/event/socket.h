/// \file
/// Creation of non-blocking IPv4 TCP sockets.
#pragma once

#include <netinet/in.h>

#include <optional>
#include <string>

#include "event/file_descriptor.h"

namespace indigorill {

/// Parses "address:port" with a dotted IPv4 address and a port from 1 to 65535; empty if `text` is anything
/// else.
std::optional<sockaddr_in> parse_socket_address(const std::string& text);

/// Opens a socket, binds it and listens. Throws std::system_error if one of these fails.
FileDescriptor open_listener(const sockaddr_in& address);

/// Takes ownership of a listening socket that another process opened and may still hold. Throws ConfigError
/// if `fd` is not a listening TCP socket, std::system_error if it can't be made non-blocking.
FileDescriptor adopt_listener_fd(int fd);

/// Starts to connect. The socket becomes writable when the connect has succeeded or failed. Returns an empty
/// descriptor if the connect failed at once.
FileDescriptor start_connect(const sockaddr_in& address);

}  // namespace indigorill
