/// \file
/// Test support: a load balancer with two methods and a few endpoints, and fakes on loopback of the peers of
/// a sidecar. Fakes run in the event loop of the test, so that no test sleeps or races.
#pragma once

#include <arpa/inet.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <system_error>
#include <vector>

#include "event/socket.h"
#include "event/tcp_stream.h"
#include "http/header_codec.h"
#include "http/http_parser.h"
#include "indigorill/load_balancer.h"

namespace host {

using namespace indigorill;  // NOLINT(google-build-using-namespace): the tests name nothing else
using Action = Decision::Action;

inline LoadBalancerConfig test_config(RetrySafety retry_safety = RetrySafety::idempotent,
                                      DeduplicationScope scope = DeduplicationScope::global) {
  LoadBalancerConfig config;
  config.methods = {{"read", 100, 1, 0, retry_safety, scope, 200},
                    {"vital", 100, 10, 0, retry_safety, scope, 200}};
  config.zone = "here";
  config.max_attempts = 4;
  config.cancellation_enabled = true;
  config.max_retry_after_ms = 1000;
  config.slow_start_initial_weight = 0.2;
  config.slow_start_duration_ms = 20000;
  config.slow_start_overload_factor = 3;
  config.slow_start_burst_ms = 1000;
  return config;
}

inline Endpoint make_endpoint(std::string id, double started_at = 0,
                              EndpointState state = EndpointState::ready, std::string zone = "here",
                              int cell = 0) {
  return {std::move(id), std::move(zone), cell, started_at, state};
}

/// Endpoints past their slow start, whose ids are the letters from `first` to `last`.
inline std::vector<Endpoint> make_endpoints(char first, char last, const std::string& zone = "here") {
  std::vector<Endpoint> endpoints;
  for (char letter = first; letter <= last; ++letter)
    endpoints.push_back(make_endpoint(std::string(1, letter), 0, EndpointState::ready, zone));
  return endpoints;
}

/// A load balancer whose clock the test sets.
struct LoadBalancerHarness {
  LoadBalancer load_balancer;
  double now = 1000;
  int next_rpc_number = 0;

  explicit LoadBalancerHarness(LoadBalancerConfig config = test_config(), std::uint64_t seed = 1)
      : load_balancer(std::move(config), seed, 0) {}

  void update_endpoints(const std::vector<Endpoint>& endpoints) {
    load_balancer.update_endpoints(now, true, false, endpoints);
  }

  /// Returns all pending decisions except those that set timers.
  std::vector<Decision> take_decisions() {
    std::vector<Decision> decisions;
    while (auto decision = load_balancer.next_decision())
      if (decision->action != Action::set_timer) decisions.push_back(*decision);
    return decisions;
  }

  void run_maintenance_until(double end) {
    constexpr double interval_ms = 100;
    while (now < end) {
      now += interval_ms;
      load_balancer.on_timer(now, 1);
      load_balancer.on_timer(now, 2);
      take_decisions();
    }
  }

  /// Returns the pending decision if there is exactly one, else a decision that no test expects.
  Decision only_decision() {
    const auto decisions = take_decisions();
    if (decisions.size() == 1) return decisions.front();
    return {Action::set_timer, "", "none, or several", 0, 0, 0};
  }

  std::string start_rpc(const char* method = "read", double budget_ms = 300) {
    std::string id = std::to_string(next_rpc_number++);
    load_balancer.on_rpc_arrived(now, {id, method, now + budget_ms, {}});
    return id;
  }

  /// Runs an RPC with this endpoint as the only one; its attempt ends with `outcome`. 25 ms is the duration
  /// that the load balancer assumes before it has measured any.
  void record_attempt(const std::string& endpoint_id, AttemptOutcome outcome, double duration_ms = 25) {
    update_endpoints({make_endpoint(endpoint_id)});
    const std::string id = start_rpc();
    const auto decisions = take_decisions();
    if (decisions.empty() || decisions.front().action != Action::send_attempt) return;
    load_balancer.on_attempt_finished(now, id, 0, outcome, duration_ms, true, {});
    take_decisions();
  }
};

/// Parses the bytes one by one. Returns their message, or an empty one if they are not exactly one message.
inline http::Message parse_message(http::HttpParser::MessageKind kind, const std::string& bytes) {
  http::HttpParser parser(kind);
  for (const char byte : bytes) {
    parser.writable_buffer()[0] = byte;
    parser.commit(1);
  }
  const bool is_complete = parser.state() == http::HttpParser::ParseState::complete;
  return is_complete ? parser.take_message() : http::Message{};
}

/// Runs the loop until the condition holds, for two seconds at most. Returns whether the condition holds.
inline bool run_until(EventLoop& loop, const std::function<bool()>& condition) {
  const double deadline = loop.now() + 2000;
  while (!condition()) {
    if (loop.now() > deadline) return false;
    loop.run_once(5);
  }
  return true;
}

inline void run_for(EventLoop& loop, double duration_ms) {
  const double end = loop.now() + duration_ms;
  while (loop.now() < end) loop.run_once(1);
}

/// Returns the bytes that the buffer sends over a socket.
inline std::string write_to_socket(WriteBuffer buffer) {
  std::array<int, 2> ends{};
  if (::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends.data()) < 0) return "no socketpair";
  EventLoop loop;
  FileDescriptorBudget budget{10};
  const FileDescriptor receiver(ends[1]);
  TcpStream sender(loop, budget, FileDescriptor(ends[0]), [](std::uint32_t) {});
  if (!sender.write(buffer) || !buffer.is_complete()) return "not written whole";
  std::string text(4096, 0);
  const ssize_t received = ::recv(receiver.get(), text.data(), text.size(), 0);
  text.resize(static_cast<std::size_t>(std::max<ssize_t>(received, 0)));
  return text;
}

inline sockaddr_in local_address(const FileDescriptor& fd) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  ::getsockname(fd.get(), reinterpret_cast<sockaddr*>(&address), &size);
  return address;
}

inline std::string address_text(const sockaddr_in& address) {
  return "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
}

/// A loopback address without a port: the kernel chooses one at the bind.
inline sockaddr_in loopback_address() {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

inline FileDescriptor listen_on_loopback() { return open_listener(loopback_address()); }

/// A socket that refuses connections until the test makes it listen; its port stays reserved meanwhile.
inline FileDescriptor bind_on_loopback() {
  const sockaddr_in address = loopback_address();
  FileDescriptor fd(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  const int enabled = 1;
  ::setsockopt(fd.get(), SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
  if (::bind(fd.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) < 0)
    throw std::system_error(errno, std::generic_category(), "bind");
  return fd;
}

/// One end of a connection, with the messages received on it and whether it has ended.
struct TestConnection {
  EventLoop& loop;
  FileDescriptorBudget& budget;
  std::unique_ptr<TcpStream> stream;
  http::HttpParser parser;
  std::vector<http::Message> received;
  bool is_ended = false;
  std::function<void(TestConnection&)> on_message = [](TestConnection&) {};

  TestConnection(EventLoop& event_loop, FileDescriptorBudget& fd_budget, FileDescriptor fd,
                 http::HttpParser::MessageKind kind)
      : loop(event_loop), budget(fd_budget), parser(kind) {
    stream = std::make_unique<TcpStream>(loop, budget, std::move(fd), [this](std::uint32_t) { read(); });
  }

  void read() {
    while (stream && !is_ended) {
      std::size_t count = 0;
      const TcpStream::ReadStatus status = stream->read(parser.writable_buffer(), count);
      if (status == TcpStream::ReadStatus::would_block) return;
      if (status == TcpStream::ReadStatus::data) {
        parser.commit(count);
      } else {
        parser.on_end_of_stream();
        is_ended = true;
      }
      while (parser.state() == http::HttpParser::ParseState::complete) {
        received.push_back(parser.take_message());
        on_message(*this);
      }
    }
  }

  void send(const std::string& bytes) {
    WriteBuffer output;
    output.append_owned(bytes);
    if (stream) stream->write(output);
  }

  void close() { stream.reset(); }
};

inline std::string response_text(int status, const std::string& body, const std::string& headers = "") {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// A server on loopback that answers requests with its responses in order. The response "close" closes the
/// connection and "silent" sends nothing. Requests after the last response are not answered.
struct FakeServer {
  EventLoop& loop;
  FileDescriptorBudget budget{100};
  FileDescriptor listener;
  sockaddr_in address = local_address(listener);
  std::vector<std::string> responses;
  std::vector<std::string> request_targets;
  std::vector<std::unique_ptr<TestConnection>> connections;
  EventLoop::Watch listener_watch;
  double response_delay_ms = 0;
  std::vector<EventLoop::Timer> delayed_responses;

  FakeServer(EventLoop& event_loop, std::vector<std::string> scripted_responses,
             FileDescriptor listening_socket = listen_on_loopback())
      : loop(event_loop), listener(std::move(listening_socket)), responses(std::move(scripted_responses)) {
    start_accepting();
  }

  void start_accepting() {
    listener_watch.cancel();
    listener_watch = loop.watch_fd(listener.get(), [this](std::uint32_t) { accept_all(); });
  }

  void accept_all() {
    for (;;) {
      FileDescriptor fd(::accept4(listener.get(), nullptr, nullptr, SOCK_NONBLOCK));
      if (!fd) return;
      connections.push_back(std::make_unique<TestConnection>(loop, budget, std::move(fd),
                                                             http::HttpParser::MessageKind::request));
      connections.back()->on_message = [this](TestConnection& connection) { respond(connection); };
      connections.back()->read();
    }
  }

  void respond(TestConnection& connection) {
    const http::Message& request = connection.received.back();
    const std::size_t index = request_targets.size();
    request_targets.emplace_back(request.slice(request.target));
    const std::string response = index < responses.size() ? responses[index] : "silent";
    if (response == "close") return connection.close();
    if (response == "silent") return;
    if (response_delay_ms > 0)
      delayed_responses.push_back(loop.schedule_at(loop.now() + response_delay_ms,
                                                   [&connection, response] { connection.send(response); }));
    else
      connection.send(response);
  }
};

}  // namespace host
