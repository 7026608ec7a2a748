/// \file
/// One HTTP GET to a sidecar. The event loop goes on serving its other timers and sockets meanwhile.
#pragma once

#include <netinet/in.h>

#include <functional>
#include <optional>
#include <string>

#include "event/event_loop.h"

namespace indigorill::load_generator {

struct HttpAnswer {
  int status = 0;
  std::string body;
};

/// Returns nullopt if the connection fails or no complete answer arrives within the timeout.
std::optional<HttpAnswer> http_get(EventLoop& loop, const sockaddr_in& address, const std::string& path,
                                   double timeout_ms);

/// Polls the sidecar's /-/ready until the sidecar answers 200. Returns false after the timeout, or earlier
/// once `is_hopeless` returns true.
bool wait_until_ready(EventLoop& loop, const sockaddr_in& address, double timeout_ms,
                      const std::function<bool()>& is_hopeless);

}  // namespace indigorill::load_generator
