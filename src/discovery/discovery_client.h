/// The client of discovery's agent: polls the endpoint list over HTTP and keeps a watch (a long poll) open
/// while that works.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <string_view>

#include "discovery/endpoint_list.h"
#include "event/socket.h"
#include "event/tcp_stream.h"
#include "http/http_parser.h"
#include "logging/logger.h"
#include "metrics/counters.h"

namespace indigorill {

/// One poll is under way at a time. A failed poll leaves the endpoint list as it is; when the next one starts
/// is decided by the load balancer, or by the client itself where continuous polling is enabled.
class DiscoveryClient {
 public:
  using UpdateHandler = std::function<void(const EndpointListUpdate&)>;

  /// `agent_host`: for the Host header. `drain_grace_ms`: how long a draining endpoint still serves, which
  /// bounds how late its removal may be noticed. `on_poll_failed`: called where the load balancer has to
  /// decide on the next poll. The first four must outlive the client; all handlers run in the event loop.
  DiscoveryClient(EventLoop& event_loop, FileDescriptorBudget& descriptor_budget, Counters& counters,
                  Logger& logger, const sockaddr_in& agent_address, std::string agent_host,
                  std::uint64_t seed, double drain_grace_ms, UpdateHandler on_update,
                  EventLoop::Callback on_poll_failed);
  DiscoveryClient(const DiscoveryClient&) = delete;
  DiscoveryClient& operator=(const DiscoveryClient&) = delete;

  /// Polls for changes since the version known, or for the complete list if there is none. A poll under way
  /// is abandoned.
  void poll();
  /// `version`: of a list that is known already, from before the start.
  void set_known_version(std::uint64_t version);
  /// Polls another agent, which may count versions otherwise: the known endpoints stay until it sends its
  /// complete list.
  void switch_agent(const sockaddr_in& agent_address, std::string agent_host);
  /// The client itself starts the next poll after a failed one.
  void enable_continuous_polling() { polls_continuously_ = true; }

 private:
  enum class PollFailure {
    connect_failed,
    connect_timed_out,
    connection_lost,
    response_timed_out,
    malformed_response,
    unexpected_status,
    invalid_list
  };

  static std::string_view describe(PollFailure failure);

  bool is_long_poll() const;
  std::string poll_target() const;
  double prompt_response_timeout_ms() const;
  void schedule_poll(double delay_ms);
  void open_connection();
  void handle_events(std::uint32_t events);
  bool finish_connect(std::uint32_t events);
  bool read_response();
  void handle_connection_closed();
  void handle_response(const http::Message& response);
  EndpointListUpdate parse_update(std::string_view body) const;
  void accept_update(const EndpointListUpdate& update);
  void schedule_next_watch(const EndpointListUpdate& update);
  void handle_failure(PollFailure failure, const std::string& detail = {});
  void schedule_retry(bool was_watching);

  EventLoop& event_loop_;
  FileDescriptorBudget& descriptor_budget_;
  Counters& counters_;
  Logger& logger_;
  sockaddr_in agent_address_;
  std::string agent_host_;
  std::knuth_b random_engine_;
  UpdateHandler on_update_;
  EventLoop::Callback on_poll_failed_;
  /// Within this time a live agent answers a poll that needs no wait.
  double prompt_timeout_ms_;
  bool polls_continuously_ = false;
  bool needs_complete_list_ = true;
  bool is_connected_ = false;
  /// The last poll failed, and that was logged.
  bool is_failing_ = false;
  /// The agent answered the last poll: the next one may wait there.
  bool last_poll_succeeded_ = false;
  std::uint64_t version_ = 0;
  double poll_started_at_ms_ = 0;
  std::unique_ptr<TcpStream> connection_;
  http::HttpParser parser_;
  WriteBuffer request_;
  EventLoop::Timer response_timer_;
  EventLoop::Timer connect_timer_;
  EventLoop::Timer poll_timer_;
};

}  // namespace indigorill
