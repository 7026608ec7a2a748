/// \file
/// A connection to the discovery agent and the poll on it.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "event/socket.h"
#include "event/tcp_stream.h"
#include "http/http_parser.h"

namespace indigorill {

/// Reason for which a poll of the endpoint list failed.
enum class PollFailure {
  connect_failed,
  connect_timed_out,
  connection_lost,
  response_timed_out,
  malformed_response,
  unexpected_status,
  invalid_list
};

/// Text for the log, to which the caller appends an unexpected status or the error of an invalid list.
std::string_view describe(PollFailure failure);

/// Carries one poll at a time and reports its outcome. Its owner handles timeouts and decodes the endpoint
/// list.
class PollConnection {
 public:
  /// Called from the event loop or from within `send()`. The call is the last action of the connection, so
  /// the handler may destroy it.
  struct Handlers {
    /// `reusable`: the connection can carry another poll.
    std::function<void(PollConnection&, const http::Message&, bool reusable)> on_response;
    /// The connection can't be used any more. Also called for an idle connection.
    std::function<void(PollConnection&, PollFailure)> on_failure;
  };

  /// Starts to connect; null if that fails at once. The references must outlive the connection.
  static std::unique_ptr<PollConnection> open(EventLoop& event_loop, FileDescriptorBudget& descriptor_budget,
                                              const sockaddr_in& agent_address, const Handlers& handlers);
  PollConnection(const PollConnection&) = delete;
  PollConnection& operator=(const PollConnection&) = delete;

  /// Sends the request once the connection is established. Must not be called while a response is awaited.
  void send(const std::string& request);

  bool is_connected() const { return is_connected_; }
  bool is_awaiting_response() const { return is_awaiting_response_; }
  /// Time since the last call of `send()`, in ms.
  double poll_age_ms() const { return event_loop_.now() - poll_started_at_ms_; }

 private:
  PollConnection(EventLoop& event_loop, FileDescriptorBudget& descriptor_budget, FileDescriptor fd,
                 const Handlers& handlers);

  void handle_events(std::uint32_t events);
  bool finish_connect(std::uint32_t events);
  bool read_response();
  void fail(PollFailure failure);

  EventLoop& event_loop_;
  const Handlers& handlers_;
  bool is_connected_ = false;
  bool is_awaiting_response_ = false;
  double poll_started_at_ms_ = 0;
  http::HttpParser parser_;
  WriteBuffer request_;
  TcpStream stream_;
};

}  // namespace indigorill
