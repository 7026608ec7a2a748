/// \file
/// The header codec: decodes RPCs and the results of attempts and health checks from messages, and encodes
/// the heads that the sidecar writes. Only this codec and the discovery client contain names of the protocol.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "event/write_buffer.h"
#include "http/message.h"
#include "indigorill/load_balancer.h"

namespace indigorill {

/// Kind of a client's request, as determined by its path.
enum class RequestKind {
  rpc,
  readiness,
  counters,
  options,  ///< OPTIONS *, which asks for the supported methods
  unknown   ///< a reserved path, under /-/, that has no meaning
};

RequestKind classify_request(const http::Message& request);

/// An RPC decoded from a client's request. Its views refer to bytes of the request.
struct RpcRequest {
  std::string_view id;
  std::string_view method;
  double budget_ms = 0;                       ///< time for the whole RPC, from its sending by the client
  std::optional<std::uint64_t> affinity_key;  ///< hash of the name of the object that the RPC concerns
  std::string_view tenant;
  bool is_retry = false;  ///< whether the client marked the RPC as a retry of an earlier one
  int error_status = 0;   ///< HTTP status to reject the request with; 0 if the request is valid
};

RpcRequest decode_rpc_request(const http::Message& request);

bool is_head_request(const http::Message& request);

/// Outcome of the attempt or health check that received this response.
AttemptOutcome classify_response(const http::Message& response);

/// The load report in the header of a response; a response to a health check may have it in the body instead.
LoadReport decode_load_report(const http::Message& response, bool is_health_check);

/// Whether the load report in the header has at least one valid number; true also if there is no report.
bool has_valid_load_report(const http::Message& response);

/// The request that forwards an RPC to an endpoint. The buffer borrows from `request`, which must stay valid
/// until the buffer is written.
WriteBuffer encode_attempt(const http::Message& request, double timeout_ms);

WriteBuffer encode_health_check(bool reports_load);

/// Encodes the next part of a streamed body. `chunked`: the head declares the chunked transfer coding,
/// because the length of the body is unknown.
std::string encode_body_chunk(std::string_view bytes, bool chunked, bool is_last);

/// The interim response after which a client sends its body.
std::string_view continue_response();

/// The response that forwards an endpoint's response to the client. The buffer borrows from `response`, which
/// must stay valid until the buffer is written. `is_head_response`: the response answers a HEAD request and
/// has no body. `client_is_http_1_0`: the client doesn't understand chunks, so a body of unknown length ends
/// with the connection.
WriteBuffer encode_forwarded_response(const http::Message& response, bool close_connection,
                                      bool is_head_response = false, bool client_is_http_1_0 = false);

/// 503, with Retry-After if `retry_after_ms` is above 0.
WriteBuffer encode_rejection(double retry_after_ms, bool close_connection);

/// 502, for an RPC that has failed.
WriteBuffer encode_failure(bool close_connection);

/// The response to OPTIONS *.
WriteBuffer encode_options_response(bool close_connection);

WriteBuffer encode_plain_response(int status, std::string body, bool close_connection);

}  // namespace indigorill
