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
#include "discovery/poll_connection.h"
#include "logging/logger.h"
#include "metrics/counters.h"

namespace indigorill {

/// A poll that is not answered in time has failed, but its connection stays open beside the next one, so that
/// a slow service is not worked for in vain: two at most are open, and the first valid list counts. A failed
/// poll leaves the endpoint list as it is; when the next one starts is decided by the load balancer, or by
/// the client itself where continuous polling is enabled.
class DiscoveryClient {
 public:
  using UpdateHandler = std::function<void(const EndpointListUpdate&)>;
  using FailureHandler = std::function<void(double poll_duration_ms)>;

  /// `agent_host`: for the Host header. `drain_grace_ms`: how long a draining endpoint still serves, which
  /// bounds how late its removal may be noticed. `on_poll_failed`: called where the load balancer has to
  /// decide on the next poll. The first four must outlive the client; all handlers run in the event loop.
  DiscoveryClient(EventLoop& event_loop, FileDescriptorBudget& descriptor_budget, Counters& counters,
                  Logger& logger, const sockaddr_in& agent_address, std::string agent_host,
                  std::uint64_t seed, double drain_grace_ms, UpdateHandler on_update,
                  FailureHandler on_poll_failed);
  DiscoveryClient(const DiscoveryClient&) = delete;
  DiscoveryClient& operator=(const DiscoveryClient&) = delete;

  /// Polls for changes since the version known, or for the complete list if there is none. Does nothing while
  /// a poll is under way whose time has not passed.
  void poll();
  /// `version`: of a list that is known already, from before the start.
  void set_known_version(std::uint64_t version);
  /// Polls another agent, which may count versions otherwise: the known endpoints stay until it sends its
  /// complete list.
  void switch_agent(const sockaddr_in& agent_address, std::string agent_host);
  /// The client itself starts the next poll after a failed one.
  void enable_continuous_polling() { polls_continuously_ = true; }

 private:
  bool is_long_poll() const;
  std::string poll_target() const;
  double prompt_response_timeout_ms() const;
  void schedule_poll(double delay_ms);
  void schedule_timeouts();
  void cancel_timeouts();
  void handle_response(PollConnection& connection, const http::Message& response, bool reusable);
  void handle_connection_failure(PollConnection& connection, PollFailure failure);
  void handle_timeout(PollFailure failure);
  void handle_failure(PollFailure failure, const std::string& detail = {});
  void drop_older_poll(PollFailure failure, const std::string& detail = {});
  EndpointListUpdate parse_update(std::string_view body) const;
  void accept_update(const EndpointListUpdate& update, double response_time_ms);
  void schedule_next_watch(const EndpointListUpdate& update, double response_time_ms);
  void schedule_retry(bool was_watching);

  EventLoop& event_loop_;
  FileDescriptorBudget& descriptor_budget_;
  Counters& counters_;
  Logger& logger_;
  sockaddr_in agent_address_;
  std::string agent_host_;
  std::knuth_b random_engine_;
  UpdateHandler on_update_;
  FailureHandler on_poll_failed_;
  PollConnection::Handlers connection_handlers_;
  /// Within this time a live agent answers a poll that needs no wait.
  double prompt_timeout_ms_;
  bool polls_continuously_ = false;
  bool needs_complete_list_ = true;
  /// The last poll failed, and that was logged.
  bool is_failing_ = false;
  /// The agent answered the last poll: the next one may wait there.
  bool last_poll_succeeded_ = false;
  std::uint64_t version_ = 0;
  double poll_started_at_ms_ = 0;
  /// Of the newest poll, or idle between two polls.
  std::unique_ptr<PollConnection> connection_;
  /// Of a poll whose time has passed, and that may be answered yet.
  std::unique_ptr<PollConnection> older_connection_;
  EventLoop::Timer response_timer_;
  EventLoop::Timer connect_timer_;
  EventLoop::Timer poll_timer_;
};

}  // namespace indigorill
