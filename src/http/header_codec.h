// Our words and those of the protocol: what a message's head says of an RPC, a pick or a probe, and the heads
// that we write. The only place that knows the protocol's names, beside discovery's.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "config/load_balancer_config.h"
#include "event/write_buffer.h"
#include "http/http_parser.h"
#include "indigorill/load_balancer.h"

namespace indigorill {

enum class RequestKind { rpc, readiness, counters, options, unknown };

RequestKind classify_request(const http::Message& m);

struct RpcRequest {
  std::string_view id, method;
  double budget_ms = 0;  // ms, from the client's sending
  std::optional<std::uint64_t> affinity_key;
  std::string_view tenant;
  bool is_retry = false;  // of an earlier one, where clients say so
  int error_status = 0;   // the status that tells the client what is wrong with it
};

// Views lead into the message.
RpcRequest decode_rpc_request(const http::Message& m);

// An answer in our words: how the pick or probe ended, and the load reported with it.
AttemptOutcome classify_response(const http::Message& answer);
LoadReport decode_load_report(const http::Message& answer, bool of_probe);
bool has_valid_load_report(const http::Message& answer);  // or none

// Heads to be written; what is passed on is lent from the message, which must outlast the writing.
WriteBuffer encode_attempt(const http::Message& call, double patience);
bool is_head_request(const http::Message& call);  // for the head of the answer alone
// The next part of a body that goes out in pieces; of one whose length is not told, in chunks.
std::string encode_body_chunk(std::string_view bytes, bool chunked, bool last);
std::string_view continue_response();
WriteBuffer encode_options_response(bool close);
WriteBuffer encode_health_check(bool with_load);
// old: to a client that knows no chunks; what has no stated length then ends with the connection.
WriteBuffer encode_forwarded_response(const http::Message& answer, bool close, bool head_alone = false,
                                      bool old = false);
WriteBuffer encode_rejection(double after, bool close);
WriteBuffer encode_failure(bool close);
WriteBuffer encode_plain_response(int status, std::string body, bool close);

// What staff ask on the second address.
struct AdminRequest {
  enum class Command { status, membership, quotas, eject, restore } command = Command::status;
  std::string endpoint_id;
  int error_status = 0;  // the status that tells the caller what is wrong with it
};
AdminRequest decode_admin_request(const http::Message& m);
WriteBuffer encode_admin_response(int status, std::string_view text,
                                  bool json = false);  // the answer to one; its connection ends with it

}  // namespace indigorill
