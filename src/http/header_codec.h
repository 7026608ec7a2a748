/// \file
/// The header codec: what the heads of messages say of an RPC, an attempt or a health check, and the heads
/// that the sidecar writes. Beside the discovery client this is the only place that knows the names in the
/// protocol.
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

/// What a client's request is for, by its path.
enum class RequestKind {
  rpc,
  readiness,
  counters,
  options,  ///< OPTIONS *: what the sidecar supports
  unknown   ///< a reserved path that means nothing
};

RequestKind classify_request(const http::Message& request);

/// An RPC as a client's request describes it. Views lead into the request.
struct RpcRequest {
  std::string_view id;
  std::string_view method;
  double budget_ms = 0;                       ///< time for the whole RPC, from when the client sent it
  std::optional<std::uint64_t> affinity_key;  ///< hash of the object that the RPC is about
  std::string_view tenant;
  bool is_retry = false;  ///< of an earlier RPC, as far as clients say so
  int error_status = 0;   ///< the HTTP status to reject the request with; 0: it is valid
};

RpcRequest decode_rpc_request(const http::Message& request);

bool is_head_request(const http::Message& request);

/// How the attempt or health check that got this response has ended.
AttemptOutcome classify_response(const http::Message& response);

/// The load that an endpoint reports beside its response; a health check may have it in the body instead.
LoadReport decode_load_report(const http::Message& response, bool is_health_check);

/// False if there is a load report that has no readable figure; true also if there is none.
bool has_valid_load_report(const http::Message& response);

/// The request that forwards an RPC to an endpoint. Borrows from `request`, which must outlast the writing.
WriteBuffer encode_attempt(const http::Message& request, double timeout_ms);

WriteBuffer encode_health_check(bool reports_load);

/// The next part of a streamed body; `chunked` unless its length was stated in the head.
std::string encode_body_chunk(std::string_view bytes, bool chunked, bool is_last);

/// The interim response after which a client sends its body.
std::string_view continue_response();

/// Forwards an endpoint's response to the client. Borrows from `response`, which must outlast the writing.
/// `is_head_response`: it answers a HEAD request and has no body. `client_is_http_1_0`: the client doesn't
/// understand chunks, so a body of unknown length ends with the connection.
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
