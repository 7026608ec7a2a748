/// \file
/// One HTTP GET to a sidecar. The event loop, and what else is on it, goes on meanwhile.
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

/// None where no answer comes within the timeout.
std::optional<HttpAnswer> http_get(EventLoop& loop, const sockaddr_in& address, const std::string& path,
                                   double timeout_ms);

/// Whether the sidecar says within the timeout that it is ready; `is_hopeless` ends the wait early.
bool wait_until_ready(EventLoop& loop, const sockaddr_in& address, double timeout_ms,
                      const std::function<bool()>& is_hopeless);

}  // namespace indigorill::load_generator
