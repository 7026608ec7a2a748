#include "discovery/discovery_client.h"

#include <algorithm>
#include <utility>

namespace indigorill {
namespace {

// A change that the agent has counts as known to this sidecar, so a failed poll and the delay before its
// retry, at most two prompt timeouts, have to end well within the drain grace. The minimum allows for the
// time that a process may wait for a CPU core.
constexpr double prompt_timeout_per_drain_grace = 0.25;
constexpr double min_prompt_timeout_ms = 20;
constexpr double max_prompt_timeout_ms = 250;

double prompt_timeout_ms(double drain_grace_ms) {
  return std::clamp(drain_grace_ms * prompt_timeout_per_drain_grace, min_prompt_timeout_ms,
                    max_prompt_timeout_ms);
}

// A watch that goes silent is broken. The changes that it misses count as known 6 s after it went silent, or
// 2 s after the end of its wait if that is later. With this wait, silence is detected within 3 s of its
// beginning. With continuous polling, the poll after a broken watch asks the agent not to wait, so its
// response is due at once.
constexpr int long_poll_wait_ms = 2000;
constexpr double long_poll_transfer_ms = 1000;
constexpr int prompt_poll_wait_ms = 1;

// Response timeouts of polls that the load balancer schedules. The one service behind all agents may be slow,
// and it handles a poll after a failed one only after those that are queued already, so that poll gets more
// time.
constexpr double requested_poll_timeout_ms = 1500;
constexpr double repeated_poll_timeout_ms = 3000;

// Continuous polls follow each other within a fraction of the drain grace, which is too fast for a slow
// agent, so an overdue poll stays open for at least this long before a newer overdue poll replaces it. Of the
// 6 s after which a change counts as known even if polls failed, this leaves 2.5 s for the newer poll.
constexpr double min_older_poll_age_ms = 3000;

}  // namespace

DiscoveryClient::DiscoveryClient(EventLoop& event_loop, FileDescriptorBudget& descriptor_budget,
                                 Counters& counters, Logger& logger, const sockaddr_in& agent_address,
                                 std::string agent_host, std::uint64_t seed, double drain_grace_ms,
                                 UpdateHandler on_update, FailureHandler on_poll_failed)
    : event_loop_(event_loop),
      descriptor_budget_(descriptor_budget),
      counters_(counters),
      logger_(logger),
      agent_address_(agent_address),
      agent_host_(std::move(agent_host)),
      random_engine_(static_cast<std::knuth_b::result_type>(seed | 1)),
      on_update_(std::move(on_update)),
      on_poll_failed_(std::move(on_poll_failed)),
      connection_handlers_{
          .on_response = [this](PollConnection& connection, const http::Message& response,
                                bool reusable) { handle_response(connection, response, reusable); },
          .on_failure = [this](PollConnection& connection,
                               PollFailure failure) { handle_connection_failure(connection, failure); }},
      prompt_timeout_ms_(prompt_timeout_ms(drain_grace_ms)) {}

void DiscoveryClient::set_known_version(std::uint64_t version) {
  version_ = version;
  needs_complete_list_ = false;
}

void DiscoveryClient::switch_agent(const sockaddr_in& agent_address, std::string agent_host) {
  agent_address_ = agent_address;
  agent_host_ = std::move(agent_host);
  connection_.reset();
  older_connection_.reset();
  needs_complete_list_ = true;
  is_failing_ = false;
  last_poll_succeeded_ = false;
  poll();
}

// True if the agent may delay its response until the list changes.
bool DiscoveryClient::is_long_poll() const {
  return !needs_complete_list_ && (last_poll_succeeded_ || !polls_continuously_);
}

std::string DiscoveryClient::poll_target() const {
  std::string target = "/api/targets";
  if (needs_complete_list_) return target;
  const int wait_ms = is_long_poll() ? long_poll_wait_ms : prompt_poll_wait_ms;
  target += "?index=" + std::to_string(version_);
  target += "&wait=" + std::to_string(wait_ms);
  return target;
}

double DiscoveryClient::prompt_response_timeout_ms() const {
  if (polls_continuously_) return prompt_timeout_ms_;
  return is_failing_ ? repeated_poll_timeout_ms : requested_poll_timeout_ms;
}

void DiscoveryClient::schedule_poll(double delay_ms) {
  poll_timer_ = event_loop_.schedule_at(event_loop_.now() + delay_ms, [this] { poll(); });
}

void DiscoveryClient::poll() {
  if (connection_ && connection_->is_awaiting_response()) return;
  poll_timer_.cancel();
  cancel_timeouts();
  poll_started_at_ms_ = event_loop_.now();
  const std::string target = poll_target();
  logger_.debug() << "endpoint list: polls " << target;
  if (!connection_)
    connection_ = PollConnection::open(event_loop_, descriptor_budget_, agent_address_, connection_handlers_);
  if (!connection_) {
    handle_failure(PollFailure::connect_failed);
    return;
  }
  schedule_timeouts();
  connection_->send("GET " + target + " HTTP/1.1\r\nHost: " + agent_host_ + "\r\n\r\n");
}

void DiscoveryClient::schedule_timeouts() {
  const double response_timeout_ms =
      is_long_poll() ? long_poll_wait_ms + long_poll_transfer_ms : prompt_response_timeout_ms();
  response_timer_ = event_loop_.schedule_at(poll_started_at_ms_ + response_timeout_ms,
                                            [this] { handle_timeout(PollFailure::response_timed_out); });
  // A connection that is not established in time must not be mistaken for a watch that waits for changes.
  connect_timer_ = event_loop_.schedule_at(poll_started_at_ms_ + prompt_response_timeout_ms(), [this] {
    if (!connection_->is_connected()) handle_timeout(PollFailure::connect_timed_out);
  });
}

void DiscoveryClient::cancel_timeouts() {
  response_timer_.cancel();
  connect_timer_.cancel();
}

void DiscoveryClient::handle_response(PollConnection& connection, const http::Message& response,
                                      bool reusable) {
  constexpr int http_ok = 200;
  const double response_time_ms = connection.poll_age_ms();
  const bool is_older = &connection == older_connection_.get();
  const auto fail = [&](PollFailure failure, const std::string& detail) {
    return is_older ? drop_older_poll(failure, detail) : handle_failure(failure, detail);
  };
  if (response.status != http_ok)
    return fail(PollFailure::unexpected_status, std::to_string(response.status));
  EndpointListUpdate update;
  try {
    update = parse_update(response.body());
  } catch (const ParseError& error) {
    // The known endpoints stay in use: one invalid response must not leave this sidecar without endpoints.
    ++counters_.malformed_endpoint_lists;
    if (!is_older) needs_complete_list_ = true;
    return fail(PollFailure::invalid_list, error.what());
  }
  if (is_older) connection_ = std::move(older_connection_);
  older_connection_.reset();
  if (!reusable) connection_.reset();
  accept_update(update, response_time_ms);
}

void DiscoveryClient::handle_connection_failure(PollConnection& connection, PollFailure failure) {
  if (&connection == older_connection_.get())
    drop_older_poll(failure);
  else if (connection.is_awaiting_response())
    handle_failure(failure);
  else
    connection_.reset();  // idle between two polls; the next poll opens a new one
}

// Keeps the overdue poll open beside the next one; with continuous polling, an older overdue poll is kept
// instead until it has reached its minimum age. The response may be on its way, and if each overdue poll were
// abandoned, no response of a service that always takes longer than the timeout would ever arrive.
void DiscoveryClient::handle_timeout(PollFailure failure) {
  const bool replaces_older_poll =
      !older_connection_ || !polls_continuously_ || older_connection_->poll_age_ms() >= min_older_poll_age_ms;
  if (replaces_older_poll) older_connection_ = std::move(connection_);
  handle_failure(failure);
}

void DiscoveryClient::drop_older_poll(PollFailure failure, const std::string& detail) {
  logger_.debug() << "endpoint list: poll that was overdue failed after " << older_connection_->poll_age_ms()
                  << " ms: " << describe(failure) << detail;
  older_connection_.reset();
}

// Also throws ParseError if the update holds changes that don't apply to the known list. An agent whose
// versions start over sends its complete list.
EndpointListUpdate DiscoveryClient::parse_update(std::string_view body) const {
  EndpointListUpdate update = parse_endpoint_list(body);
  if (!update.complete && (needs_complete_list_ || update.version < version_))
    throw ParseError("list: changes of an older list");
  return update;
}

void DiscoveryClient::accept_update(const EndpointListUpdate& update, double response_time_ms) {
  logger_.debug() << "endpoint list: version " << update.version << " after " << response_time_ms << " ms";
  if (is_failing_) logger_.info() << "endpoint list: polls succeed again, version " << update.version;
  cancel_timeouts();
  is_failing_ = false;
  ++counters_.endpoint_list_updates;
  version_ = update.version;
  needs_complete_list_ = false;
  on_update_(update);
  schedule_next_watch(update, response_time_ms);
}

void DiscoveryClient::schedule_next_watch(const EndpointListUpdate& update, double response_time_ms) {
  // The next watch starts at once, since a change between two watches counts as known. After a hasty response
  // it starts after a pause, since an agent that doesn't wait must not keep this process busy. A watch
  // without changes normally takes at least 200 ms.
  constexpr double hasty_response_ms = 20;
  constexpr double pause_after_hasty_response_ms = 100;
  const bool is_hasty =
      last_poll_succeeded_ && update.entries.empty() && response_time_ms < hasty_response_ms;
  last_poll_succeeded_ = true;
  schedule_poll(is_hasty ? pause_after_hasty_response_ms : 0);
}

void DiscoveryClient::handle_failure(PollFailure failure, const std::string& detail) {
  const std::string reason = std::string(describe(failure)) + detail;
  logger_.debug() << "endpoint list: poll failed after " << event_loop_.now() - poll_started_at_ms_
                  << " ms: " << reason;
  ++counters_.endpoint_poll_failures;
  if (!is_failing_) logger_.warning() << "endpoint list: poll failed, the known endpoints stay: " << reason;
  is_failing_ = true;
  cancel_timeouts();
  connection_.reset();
  schedule_retry(std::exchange(last_poll_succeeded_, false));
}

void DiscoveryClient::schedule_retry(bool was_watching) {
  if (polls_continuously_) {
    // The jitter spreads the polls of all sidecars, which one service behind the agents handles.
    std::uniform_real_distribution<double> jitter(0.5, 1);
    schedule_poll(prompt_timeout_ms_ * jitter(random_engine_));
  } else if (was_watching) {
    // A broken watch is reopened at once: the changes that it misses soon count as known, and the load
    // balancer's backoff is meant for a service that can't answer.
    schedule_poll(0);
  } else {
    on_poll_failed_(event_loop_.now() - poll_started_at_ms_);
  }
}

}  // namespace indigorill
