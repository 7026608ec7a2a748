#include "discovery/discovery_client.h"

#include <algorithm>
#include <utility>

namespace indigorill {
namespace {

// Some 20,000 entries.
constexpr std::size_t max_endpoint_list_bytes = std::size_t{4} * 1024 * 1024;

// What the agent holds counts as known to this sidecar, so two of these timeouts, a poll in vain and the
// pause behind it, have to pass well within the drain grace. The lower bound is what a process may wait for
// its core.
constexpr double prompt_timeout_per_drain_grace = 0.25;
constexpr double min_prompt_timeout_ms = 20;
constexpr double max_prompt_timeout_ms = 250;

double prompt_timeout_ms(double drain_grace_ms) {
  return std::clamp(drain_grace_ms * prompt_timeout_per_drain_grace, min_prompt_timeout_ms,
                    max_prompt_timeout_ms);
}

// A watch that fell silent is broken, and what it misses counts as known 6 s after that, or 2 s after the
// wait where that is later: with this wait, silence is found within 3 s of its first moment. Once broken, the
// next poll is one that needs no wait, and its answer is due at once.
constexpr int long_poll_wait_ms = 2000;
constexpr double long_poll_transfer_ms = 1000;
constexpr int prompt_poll_wait_ms = 1;

// Where the load balancer decides on polls, the one service behind the agents may take its time.
constexpr double requested_poll_timeout_ms = 1500;

// One connection must not keep the event loop from the others.
constexpr int max_reads_per_event = 16;

}  // namespace

DiscoveryClient::DiscoveryClient(EventLoop& event_loop, FileDescriptorBudget& descriptor_budget,
                                 Counters& counters, Logger& logger, const sockaddr_in& agent_address,
                                 std::string agent_host, std::uint64_t seed, double drain_grace_ms,
                                 UpdateHandler on_update, EventLoop::Callback on_poll_failed)
    : event_loop_(event_loop),
      descriptor_budget_(descriptor_budget),
      counters_(counters),
      logger_(logger),
      agent_address_(agent_address),
      agent_host_(std::move(agent_host)),
      random_engine_(static_cast<std::knuth_b::result_type>(seed | 1)),
      on_update_(std::move(on_update)),
      on_poll_failed_(std::move(on_poll_failed)),
      prompt_timeout_ms_(prompt_timeout_ms(drain_grace_ms)),
      parser_(http::HttpParser::MessageKind::response, max_endpoint_list_bytes) {}

void DiscoveryClient::set_known_version(std::uint64_t version) {
  version_ = version;
  needs_complete_list_ = false;
}

void DiscoveryClient::switch_agent(const sockaddr_in& agent_address, std::string agent_host) {
  agent_address_ = agent_address;
  agent_host_ = std::move(agent_host);
  connection_.reset();
  needs_complete_list_ = true;
  last_poll_succeeded_ = false;
  poll();
}

// The agent may hold its answer back until something changes.
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
  return polls_continuously_ ? prompt_timeout_ms_ : requested_poll_timeout_ms;
}

void DiscoveryClient::schedule_poll(double delay_ms) {
  poll_timer_ = event_loop_.schedule_at(event_loop_.now() + delay_ms, [this] { poll(); });
}

void DiscoveryClient::poll() {
  // A second request on a connection whose response is still to come would get the response to the first.
  if (response_timer_.is_set()) connection_.reset();
  poll_timer_.cancel();
  connect_timer_.cancel();
  poll_started_at_ms_ = event_loop_.now();
  const std::string target = poll_target();
  logger_.debug() << "endpoint list: polls " << target;
  request_ = {};
  request_.append_owned("GET " + target + " HTTP/1.1\r\nHost: " + agent_host_ + "\r\n\r\n");
  const double timeout_ms =
      is_long_poll() ? long_poll_wait_ms + long_poll_transfer_ms : prompt_response_timeout_ms();
  response_timer_ = event_loop_.schedule_at(poll_started_at_ms_ + timeout_ms,
                                            [this] { handle_failure(PollFailure::response_timed_out); });
  if (connection_)
    handle_events(EPOLLOUT);
  else
    open_connection();
}

void DiscoveryClient::open_connection() {
  FileDescriptor fd = start_connect(agent_address_);
  if (!fd) {
    handle_failure(PollFailure::connect_failed);
    return;
  }
  is_connected_ = false;
  // A connection that doesn't come up must not pass for a watch that waits.
  connect_timer_ = event_loop_.schedule_at(poll_started_at_ms_ + prompt_response_timeout_ms(),
                                           [this] { handle_failure(PollFailure::connect_timed_out); });
  parser_ = http::HttpParser(http::HttpParser::MessageKind::response, max_endpoint_list_bytes);
  connection_ = std::make_unique<TcpStream>(event_loop_, descriptor_budget_, std::move(fd),
                                            [this](std::uint32_t events) { handle_events(events); });
}

void DiscoveryClient::handle_events(std::uint32_t events) {
  if (!is_connected_ && !finish_connect(events)) return;
  if (!connection_->write(request_)) {
    handle_failure(PollFailure::connection_lost);
    return;
  }
  for (int i = 0; i < max_reads_per_event; ++i)
    if (!read_response()) return;
  connection_->requeue();
}

// True once the connection is up.
bool DiscoveryClient::finish_connect(std::uint32_t events) {
  const bool has_failed = (events & (EPOLLERR | EPOLLHUP)) != 0 || connection_->pending_error() != 0;
  if (has_failed) {
    handle_failure(PollFailure::connect_failed);
    return false;
  }
  if ((events & EPOLLOUT) == 0) return false;
  is_connected_ = true;
  connect_timer_.cancel();
  return true;
}

// Reads once; true if there may be more to read. The connection may be gone afterwards if not.
bool DiscoveryClient::read_response() {
  using ReadStatus = TcpStream::ReadStatus;
  using ParseState = http::HttpParser::ParseState;
  std::size_t count = 0;
  const ReadStatus status = connection_->read(parser_.writable_buffer(), count);
  if (status == ReadStatus::would_block) return false;
  if (status == ReadStatus::data) parser_.commit(count);
  if (status == ReadStatus::end_of_stream) parser_.on_end_of_stream();
  const bool is_closed = status == ReadStatus::end_of_stream || status == ReadStatus::error;
  if (parser_.state() == ParseState::complete) {
    const http::Message response = parser_.take_message();
    if (is_closed || !response.keep_alive) connection_.reset();
    handle_response(response);
    return false;
  }
  if (is_closed) {
    handle_connection_closed();
    return false;
  }
  if (parser_.state() == ParseState::error) {
    handle_failure(PollFailure::malformed_response);
    return false;
  }
  return true;
}

void DiscoveryClient::handle_connection_closed() {
  if (response_timer_.is_set())
    handle_failure(PollFailure::connection_lost);
  else
    connection_.reset();  // between two polls: the next one opens another
}

void DiscoveryClient::handle_response(const http::Message& response) {
  constexpr int http_ok = 200;
  response_timer_.cancel();
  if (response.status != http_ok) {
    handle_failure(PollFailure::unexpected_status, std::to_string(response.status));
    return;
  }
  EndpointListUpdate update;
  try {
    update = parse_update(response.body());
  } catch (const ParseError& error) {
    // The known endpoints stay: one bad answer must not leave this sidecar without any.
    ++counters_.malformed_endpoint_lists;
    needs_complete_list_ = true;
    handle_failure(PollFailure::invalid_list, error.what());
    return;
  }
  accept_update(update);
}

// Throws ParseError also where changes don't apply to the list that is known. An agent that starts over sends
// its complete list.
EndpointListUpdate DiscoveryClient::parse_update(std::string_view body) const {
  EndpointListUpdate update = parse_endpoint_list(body);
  if (!update.complete && (needs_complete_list_ || update.version < version_))
    throw ParseError("list: changes of an older list");
  return update;
}

void DiscoveryClient::accept_update(const EndpointListUpdate& update) {
  logger_.debug() << "endpoint list: version " << update.version << " after "
                  << event_loop_.now() - poll_started_at_ms_ << " ms";
  if (is_failing_) logger_.info() << "endpoint list: polls succeed again, version " << update.version;
  is_failing_ = false;
  ++counters_.endpoint_list_updates;
  version_ = update.version;
  needs_complete_list_ = false;
  on_update_(update);
  schedule_next_watch(update);
}

void DiscoveryClient::schedule_next_watch(const EndpointListUpdate& update) {
  // At once, since what changes in between counts as known; but an agent that doesn't wait must not keep this
  // process busy. A watch without changes normally takes at least 200 ms.
  constexpr double hasty_response_ms = 20;
  constexpr double pause_after_hasty_response_ms = 100;
  const bool is_hasty = last_poll_succeeded_ && update.entries.empty() &&
                        event_loop_.now() - poll_started_at_ms_ < hasty_response_ms;
  last_poll_succeeded_ = true;
  schedule_poll(is_hasty ? pause_after_hasty_response_ms : 0);
}

std::string_view DiscoveryClient::describe(PollFailure failure) {
  switch (failure) {
    case PollFailure::connect_failed:
      return "no connection";
    case PollFailure::connect_timed_out:
      return "connect timed out";
    case PollFailure::connection_lost:
      return "connection lost";
    case PollFailure::response_timed_out:
      return "response timed out";
    case PollFailure::malformed_response:
      return "malformed response";
    case PollFailure::unexpected_status:
      return "status ";
    case PollFailure::invalid_list:
      return "";
  }
  return "";
}

void DiscoveryClient::handle_failure(PollFailure failure, const std::string& detail) {
  const std::string reason = std::string(describe(failure)) + detail;
  logger_.debug() << "endpoint list: poll failed after " << event_loop_.now() - poll_started_at_ms_
                  << " ms: " << reason;
  ++counters_.endpoint_poll_failures;
  if (!is_failing_) logger_.warning() << "endpoint list: poll failed, the known endpoints stay: " << reason;
  is_failing_ = true;
  response_timer_.cancel();
  connect_timer_.cancel();
  connection_.reset();
  schedule_retry(std::exchange(last_poll_succeeded_, false));
}

void DiscoveryClient::schedule_retry(bool was_watching) {
  if (polls_continuously_) {
    // Jitter: the service behind the agents serves all sidecars.
    std::uniform_real_distribution<double> jitter(0.5, 1);
    schedule_poll(prompt_timeout_ms_ * jitter(random_engine_));
  } else if (was_watching) {
    // A watch that broke is opened anew at once: what it misses soon counts as known, and the load balancer's
    // backoff is meant for a service that can't answer.
    schedule_poll(0);
  } else {
    on_poll_failed_();
  }
}

}  // namespace indigorill
