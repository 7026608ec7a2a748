/// @file
/// One request to an endpoint and its response, as the user of the connection pool sees them.
#pragma once

#include <cstdint>
#include <functional>
#include <string_view>

#include "event/write_buffer.h"
#include "http/http_parser.h"
#include "indigorill/load_balancer.h"

namespace indigorill {

using ExchangeId = std::uint64_t;

struct ExchangeResult {
  AttemptOutcome outcome;
  double duration_ms;      ///< until a long response began, or the exchange ended
  http::Message response;  ///< empty without one
};

/// What the pool calls for one exchange. Long messages go through in pieces: their functions are called for
/// these alone, and may be left out otherwise.
struct Exchange {
  std::function<void(ExchangeResult)> on_complete;
  /// The head of a long response and its first bytes. Returns false if the rest is of no use.
  std::function<bool(const http::Message&)> on_response_started = nullptr;
  /// The next piece of a long response. Returns whether more is wanted at once; else resume_response() asks
  /// for it.
  std::function<bool(std::string_view piece, bool last)> on_body_piece = nullptr;
  /// The next piece of a long request may be given by send_request_body().
  std::function<void()> on_ready_for_body = nullptr;
  /// What is written once a new connection is up, by the time that is then left.
  std::function<WriteBuffer(double remaining_ms)> rebuild_request = nullptr;
  bool is_head_request = false;
  bool has_more_body = false;  ///< the request is but the first part of a long one
  /// What has its last byte unwritten then was not sent, and ends as withdrawn.
  double must_be_sent_by_ms = 1e18;
};

}  // namespace indigorill
