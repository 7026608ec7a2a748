/// \file
/// Client of the discovery agent: polls the endpoint list over HTTP and keeps a watch (a long poll) open
/// while polls succeed.
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

/// A poll that is not answered in time counts as failed, but it may stay open beside the next poll, so that
/// the late response of a slow service can still be used. At most two polls are open, and the first valid
/// list is applied. A failed poll leaves the endpoint list as it is. The load balancer decides when the next
/// poll starts, except after a broken watch or with continuous polling, where the client itself does.
class DiscoveryClient {
 public:
  using UpdateHandler = std::function<void(const EndpointListUpdate&)>;
  using FailureHandler = std::function<void(double poll_duration_ms)>;

  /// `agent_host`: value of the Host header. `drain_grace_ms`: time for which a draining endpoint still
  /// serves, which limits how late its removal may be noticed. `on_poll_failed`: called when a poll has
  /// failed and the load balancer has to schedule the next one. The first four arguments must outlive the
  /// client. All handlers are called from the event loop or from within `poll()`.
  DiscoveryClient(EventLoop& event_loop, FileDescriptorBudget& descriptor_budget, Counters& counters,
                  Logger& logger, const sockaddr_in& agent_address, std::string agent_host,
                  std::uint64_t seed, double drain_grace_ms, UpdateHandler on_update,
                  FailureHandler on_poll_failed);
  DiscoveryClient(const DiscoveryClient&) = delete;
  DiscoveryClient& operator=(const DiscoveryClient&) = delete;

  /// Polls for changes since the known version, or for the complete list if no valid version is known. Does
  /// nothing while a poll that is not overdue is in flight.
  void poll();
  /// Sets the version of an endpoint list that was known before the first poll.
  void set_known_version(std::uint64_t version);
  /// Polls another agent from now on, whose versions may be unrelated to those of the former one: the known
  /// endpoints stay in use until it sends its complete list.
  void switch_agent(const sockaddr_in& agent_address, std::string agent_host);
  /// Makes the client itself start the next poll after a failed one.
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
  /// With continuous polling: timeout of a poll that asks the agent not to wait, and longest delay before a
  /// retry, in ms.
  double prompt_timeout_ms_;
  bool polls_continuously_ = false;
  bool needs_complete_list_ = true;
  /// The last poll failed, and that was logged.
  bool is_failing_ = false;
  /// The agent answered the last poll, so the next one may ask it to wait.
  bool last_poll_succeeded_ = false;
  std::uint64_t version_ = 0;
  double poll_started_at_ms_ = 0;
  /// Connection of the newest poll; idle between two polls, null if none is open.
  std::unique_ptr<PollConnection> connection_;
  /// Connection of an overdue poll that may still be answered; null if there is none.
  std::unique_ptr<PollConnection> older_connection_;
  EventLoop::Timer response_timer_;
  EventLoop::Timer connect_timer_;
  EventLoop::Timer poll_timer_;
};

}  // namespace indigorill
