/// \file
/// Requests to the second address, which operators use, and the responses to them.
#pragma once

#include <string>
#include <string_view>

#include "event/write_buffer.h"
#include "http/message.h"

namespace indigorill {

/// What an operator asks for.
struct AdminRequest {
  enum class Command {
    status,
    membership,
    quotas,
    eject,   ///< eject the endpoint `endpoint_id` by hand
    restore  ///< let it back in
  };

  Command command = Command::status;
  std::string endpoint_id;  ///< of `eject` and `restore`
  int error_status = 0;     ///< the HTTP status to reject the request with; 0: it is valid
};

AdminRequest decode_admin_request(const http::Message& request);

/// The whole response; the connection is closed after it.
WriteBuffer encode_admin_response(int status, std::string_view body, bool is_json = false);

}  // namespace indigorill
