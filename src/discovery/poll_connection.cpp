#include "discovery/poll_connection.h"

#include <utility>

namespace indigorill {
namespace {

// Enough for about 20,000 entries.
constexpr std::size_t max_endpoint_list_bytes = std::size_t{4} * 1024 * 1024;

// One connection must not keep the event loop from serving the others.
constexpr int max_reads_per_event = 16;

}  // namespace

std::string_view describe(PollFailure failure) {
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

std::unique_ptr<PollConnection> PollConnection::open(EventLoop& event_loop,
                                                     FileDescriptorBudget& descriptor_budget,
                                                     const sockaddr_in& agent_address,
                                                     const Handlers& handlers) {
  FileDescriptor fd = start_connect(agent_address);
  if (!fd) return nullptr;
  return std::unique_ptr<PollConnection>(
      new PollConnection(event_loop, descriptor_budget, std::move(fd), handlers));
}

PollConnection::PollConnection(EventLoop& event_loop, FileDescriptorBudget& descriptor_budget,
                               FileDescriptor fd, const Handlers& handlers)
    : event_loop_(event_loop),
      handlers_(handlers),
      parser_(http::HttpParser::MessageKind::response, max_endpoint_list_bytes),
      stream_(event_loop, descriptor_budget, std::move(fd),
              [this](std::uint32_t events) { handle_events(events); }) {}

void PollConnection::send(const std::string& request) {
  is_awaiting_response_ = true;
  poll_started_at_ms_ = event_loop_.now();
  request_ = {};
  request_.append_owned(request);
  if (is_connected_) handle_events(EPOLLOUT);
}

void PollConnection::handle_events(std::uint32_t events) {
  if (!is_connected_ && !finish_connect(events)) return;
  if (!stream_.write(request_)) return fail(PollFailure::connection_lost);
  for (int i = 0; i < max_reads_per_event; ++i)
    if (!read_response()) return;
  stream_.requeue();
}

// True once the connection is established; reports a failed connect.
bool PollConnection::finish_connect(std::uint32_t events) {
  const bool has_failed = (events & (EPOLLERR | EPOLLHUP)) != 0 || stream_.pending_error() != 0;
  if (has_failed) {
    fail(PollFailure::connect_failed);
    return false;
  }
  is_connected_ = (events & EPOLLOUT) != 0;
  return is_connected_;
}

// Reads once; true if there may be more to read. After false, the connection may have been destroyed.
bool PollConnection::read_response() {
  using ReadStatus = TcpStream::ReadStatus;
  using ParseState = http::HttpParser::ParseState;
  std::size_t count = 0;
  const ReadStatus status = stream_.read(parser_.writable_buffer(), count);
  if (status == ReadStatus::would_block) return false;
  if (status == ReadStatus::data) parser_.commit(count);
  if (status == ReadStatus::end_of_stream) parser_.on_end_of_stream();
  const bool is_closed = status == ReadStatus::end_of_stream || status == ReadStatus::error;
  if (parser_.state() == ParseState::complete) {
    const http::Message response = parser_.take_message();
    is_awaiting_response_ = false;
    handlers_.on_response(*this, response, !is_closed && response.keep_alive);
    return false;
  }
  if (is_closed) {
    fail(PollFailure::connection_lost);
    return false;
  }
  if (parser_.state() == ParseState::error) {
    fail(PollFailure::malformed_response);
    return false;
  }
  return true;
}

void PollConnection::fail(PollFailure failure) { handlers_.on_failure(*this, failure); }

}  // namespace indigorill
