/// \file
/// Requests to the admin address, which operators use, and the responses to them.
#pragma once

#include <string>
#include <string_view>

#include "event/write_buffer.h"
#include "http/message.h"

namespace indigorill {

/// A decoded request of an operator.
struct AdminRequest {
  enum class Command {
    status,
    membership,
    quotas,
    eject,   ///< eject the endpoint `endpoint_id` manually
    restore  ///< end the manual ejection of `endpoint_id`
  };

  Command command = Command::status;
  std::string endpoint_id;  ///< endpoint to eject or restore; empty for other commands
  int error_status = 0;     ///< HTTP status to reject the request with; 0 if the request is valid
};

AdminRequest decode_admin_request(const http::Message& request);

/// The whole response; its head says that the connection is closed after it.
WriteBuffer encode_admin_response(int status, std::string_view body, bool is_json = false);

}  // namespace indigorill
