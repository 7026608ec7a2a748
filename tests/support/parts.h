/// \file
/// Test support: the parts of a sidecar on loopback, whose event loop the test runs, and endpoints to which
/// connects hang.
#pragma once

#include <array>
#include <sstream>

#include "discovery/discovery_client.h"
#include "proxy/http_server.h"
#include "support/host.h"

namespace host {

constexpr auto request = http::HttpParser::MessageKind::request;
constexpr auto response = http::HttpParser::MessageKind::response;

/// The parts of a sidecar between its clients and endpoints. `update_endpoints()` lists one endpoint, "a".
struct SidecarHarness {
  EventLoop loop;
  std::ostringstream log_text;
  Logger logger{log_text, LogLevel::debug};
  Counters counters;
  FileDescriptorBudget budget;
  UpstreamPool upstreams;
  RequestDispatcher dispatcher;
  HttpServer server;
  sockaddr_in address;
  FileDescriptorBudget client_budget{100};
  std::vector<std::unique_ptr<TestConnection>> connections;

  explicit SidecarHarness(RetrySafety retry_safety = RetrySafety::idempotent,
                          std::size_t max_descriptors = 100, ConnectionConfig upstream = {5000, 60},
                          std::size_t max_memory_bytes = 64 << 20)
      : SidecarHarness(test_config(retry_safety), upstream, max_descriptors, max_memory_bytes) {}

  SidecarHarness(const LoadBalancerConfig& config, ConnectionConfig upstream,
                 std::size_t max_descriptors = 100, std::size_t max_memory_bytes = 64 << 20,
                 double request_timeout_ms = 3000)
      : budget{max_descriptors},
        upstreams(loop, budget, counters, logger, upstream,
                  [this] { return server.close_idle_connection(); }),
        dispatcher(loop, upstreams, counters, logger, config, 1),
        server(loop, budget, counters, logger, dispatcher,
               {max_descriptors - max_descriptors / 8, max_descriptors / 2, max_memory_bytes,
                request_timeout_ms},
               [this] { return upstreams.close_idle_connection(); }) {
    FileDescriptor listener = listen_on_loopback();
    address = local_address(listener);
    server.use_listener(std::move(listener));
  }

  void update_endpoints(const std::string& endpoint_address, EndpointState state = EndpointState::ready) {
    upstreams.update_endpoint("a", endpoint_address);
    dispatcher.update_endpoints(true, false, {make_endpoint("a", 0, state)});
  }

  TestConnection& connect_client() {
    connections.push_back(
        std::make_unique<TestConnection>(loop, client_budget, start_connect(address), response));
    TestConnection& client = *connections.back();
    run_until(loop, [&] { return client.stream->pending_error() == 0; });
    return client;
  }

  /// Sends a request, waits for its response and returns the status; 0 if there is none.
  int status_of_request(TestConnection& client, const std::string& text) {
    const std::size_t received_before = client.received.size();
    client.send(text);
    run_until(loop, [&] { return client.received.size() > received_before || client.is_ended; });
    return client.received.size() > received_before ? client.received.back().status : 0;
  }
};

/// Each request has a unique call id unless `id` gives one.
inline std::string rpc_request_text(const std::string& method = "read", int budget_ms = 300, int id = 0) {
  static int last_id = 0;
  if (id == 0) id = --last_id;
  return "GET /" + method + " HTTP/1.1\r\nX-Call-Id: " + std::to_string(id) + "\r\nX-Call-Class: " + method +
         "\r\nX-Budget: " + std::to_string(budget_ms) + "m\r\n\r\n";
}

inline const std::string served_response = response_text(200, "served");

inline std::string instance_json(const std::string& id, const std::string& state = "up") {
  return R"({"instanceId":")" + id + R"(","hostPort":"127.0.0.1:1","zone":"z","cell":3,"lifecycle":")" +
         state + R"(","weight":1.0,"startedAtMs":5})";
}
inline std::string endpoint_list_response(int version, bool is_complete, const std::string& instances) {
  return response_text(200, R"({"generation":)" + std::to_string(version) + R"(,"reset":)" +
                                (is_complete ? "true" : "false") + R"(,"instances":[)" + instances + "]}");
}

/// A discovery client that records the updates it receives: "=" for a complete list or "+" for changes, then
/// the version and the ids of the endpoints.
struct DiscoveryHarness {
  EventLoop loop;
  std::ostringstream log_text;
  Logger logger{log_text, LogLevel::info};
  Counters counters;
  FileDescriptorBudget budget{10};
  std::string updates;
  int failure_count = 0;
  double grace_ms = 500;
  std::unique_ptr<DiscoveryClient> client;

  void start(const sockaddr_in& agent, bool polls_continuously,
             std::optional<std::uint64_t> known_version = {}) {
    client = std::make_unique<DiscoveryClient>(
        loop, budget, counters, logger, agent, "agent", 1, grace_ms,
        [this](const EndpointListUpdate& update) { record(update); }, [this](double) { ++failure_count; });
    if (polls_continuously) client->enable_continuous_polling();
    if (known_version) client->set_known_version(*known_version);
    client->poll();
  }

  void record(const EndpointListUpdate& update) {
    updates.append(update.complete ? "=" : "+").append(std::to_string(update.version));
    for (const auto& entry : update.entries) updates += entry.endpoint.id;
  }
};

/// Fills the listener's backlog, so that connects to it hang while the returned connections are kept.
inline std::vector<FileDescriptor> fill_backlog(const FileDescriptor& listener) {
  ::listen(listener.get(), 0);
  constexpr std::size_t enough_to_fill = 8;
  std::vector<FileDescriptor> connections;
  connections.reserve(enough_to_fill);
  for (std::size_t i = 0; i < enough_to_fill; ++i)
    connections.push_back(start_connect(local_address(listener)));
  return connections;
}

/// An endpoint with a full backlog. Connects to it hang until `release()` and then succeed when the kernel
/// repeats the SYN, a second after the first one. The endpoint records what it receives and sends nothing.
struct StalledListener {
  FileDescriptor listener = listen_on_loopback();
  sockaddr_in address = local_address(listener);
  std::vector<FileDescriptor> backlog_fillers = fill_backlog(listener);
  std::vector<FileDescriptor> accepted;
  std::string received;

  void release() {
    backlog_fillers.clear();
    ::listen(listener.get(), 100);
  }

  void receive() {
    for (;;) {
      FileDescriptor fd(::accept4(listener.get(), nullptr, nullptr, SOCK_NONBLOCK));
      if (!fd) break;
      accepted.push_back(std::move(fd));
    }
    for (const FileDescriptor& fd : accepted) receive_from(fd);
  }

  void receive_from(const FileDescriptor& fd) {
    std::array<char, 4096> buffer;
    for (;;) {
      const ssize_t count = ::recv(fd.get(), buffer.data(), buffer.size(), 0);
      if (count <= 0) return;
      received.append(buffer.data(), static_cast<std::size_t>(count));
    }
  }

  std::size_t request_count() const {
    std::size_t count = 0;
    for (std::size_t at = received.find("X-Call-Id"); at != std::string::npos;
         at = received.find("X-Call-Id", at + 1))
      ++count;
    return count;
  }
};

inline std::size_t attempts_with_outcome(const SidecarHarness& sidecar, AttemptOutcome outcome) {
  return sidecar.counters.attempts[static_cast<std::size_t>(outcome)];
}

inline bool every_rpc_answered_once(const SidecarHarness& sidecar) {
  const Counters& counters = sidecar.counters;
  return sidecar.dispatcher.in_flight() == 0 &&
         counters.rpcs_received ==
             counters.rpcs_ok + counters.rpcs_rejected + counters.rpcs_failed + counters.rpcs_abandoned;
}

/// Settings of different customers, as far as they affect outcomes. The long deadline leaves a connect time
/// for the second that a lost SYN costs.
inline LoadBalancerConfig customer_config(bool has_long_deadline, bool cancels, RetrySafety retry_safety,
                                          DeduplicationScope scope = DeduplicationScope::global) {
  LoadBalancerConfig config = test_config(retry_safety, scope);
  for (MethodConfig& method : config.methods) {
    method.deadline_ms = has_long_deadline ? 4000 : 150;
    method.latency_objective_ms = method.deadline_ms;
    method.deduplication_window_ms = 10000;
  }
  config.cancellation_enabled = cancels;
  config.probing_enabled = cancels;
  config.max_attempts = cancels ? 4 : 2;
  config.max_retry_after_ms = cancels ? 1000 : 0;
  return config;
}
inline constexpr ConnectionConfig slow_upstream_config{5000, 3000, 300};

/// Runs iterations of the loop that do not wait for events or timers.
inline void run_rounds(EventLoop& loop, int rounds = 20) {
  for (int i = 0; i < rounds; ++i) loop.run_once(0);
}

/// Runs the loop until the condition holds. Returns how long that took, in ms, or -1 after more than
/// `max_ms`.
inline double elapsed_until(EventLoop& loop, double max_ms, const std::function<bool()>& condition) {
  const double start = loop.now();
  while (!condition()) {
    if (loop.now() > start + max_ms) return -1;
    loop.run_once(2);
  }
  return loop.now() - start;
}

inline const std::string list_version_9 =
    endpoint_list_response(9, true, instance_json("a") + "," + instance_json("b"));
inline const std::string draining_version_10 =
    endpoint_list_response(10, false, instance_json("b", "draining"));

}  // namespace host
