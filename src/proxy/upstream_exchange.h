/// @file
/// One request to an endpoint and its response, as seen by the user of the connection pool.
#pragma once

#include <cstdint>
#include <functional>
#include <string_view>

#include "event/write_buffer.h"
#include "http/http_parser.h"
#include "indigorill/load_balancer.h"

namespace indigorill {

using ExchangeId = std::uint64_t;

/// What had come of a response when its exchange ended.
struct ResponseProgress {
  bool has_head = false;
  std::uint64_t body_bytes = 0;
  double head_after_ms = 0;  ///< from the start of the exchange; 0 without a head
  double silent_ms = 0;      ///< since the last byte, 0 if there was none
};

struct ExchangeResult {
  AttemptOutcome outcome;
  double duration_ms;      ///< until the start of a long response or the end of the exchange
  http::Message response;  ///< empty if there is none
  ResponseProgress progress = {};
};

/// Callbacks and parameters of one exchange. Long messages are transferred in pieces; the callbacks for them
/// are called for long messages only and may be omitted otherwise.
struct Exchange {
  std::function<void(ExchangeResult)> on_complete;
  /// Receives the head of a long response and its first bytes. Returns false if the rest is not wanted.
  std::function<bool(const http::Message&)> on_response_started = nullptr;
  /// Receives the next piece of a long response. Returns true if more is wanted at once; otherwise
  /// resume_response() has to be called for it.
  std::function<bool(std::string_view piece, bool last)> on_body_piece = nullptr;
  /// The next piece of a long request may be passed to send_request_body().
  std::function<void()> on_ready_for_body = nullptr;
  /// Builds the request to write when a new connection is established, for the time that remains then.
  std::function<WriteBuffer(double remaining_ms)> rebuild_request = nullptr;
  bool is_head_request = false;
  bool has_more_body = false;  ///< the request is only the first part of a long one
  /// A long request fails if the endpoint takes none of its bytes for this time.
  double max_upload_stall_ms = 1e18;
  /// When the client expects the response, as far as that is known before the last piece of a long request.
  double response_due_ms = 1e18;
  /// If the request's last byte has not been written by then, the exchange ends as withdrawn.
  double must_be_sent_by_ms = 1e18;
};

}  // namespace indigorill
