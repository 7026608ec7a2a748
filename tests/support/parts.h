// For the tests: a sidecar's parts on loopback, stepped by hand, and endpoints that hold a connect back.
#pragma once

#include <array>
#include <sstream>

#include "discovery/discovery_client.h"
#include "proxy/http_server.h"
#include "support/host.h"

namespace host {

constexpr auto request = http::HttpParser::MessageKind::request,
               response = http::HttpParser::MessageKind::response;

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

  explicit SidecarHarness(RetrySafety repeats = RetrySafety::idempotent, std::size_t descriptors = 100,
                          ConnectionConfig with = {5000, 60}, std::size_t bytes = 64 << 20)
      : SidecarHarness(test_config(repeats), with, descriptors, bytes) {}
  SidecarHarness(const LoadBalancerConfig& where_it_stands, ConnectionConfig with,
                 std::size_t descriptors = 100, std::size_t bytes = 64 << 20, double deadline = 3000)
      : budget{descriptors},
        upstreams(loop, budget, counters, logger, with, [this] { return server.close_idle_connection(); }),
        dispatcher(loop, upstreams, counters, logger, where_it_stands, 1),
        server(loop, budget, counters, logger, dispatcher,
               {descriptors - descriptors / 8, descriptors / 2, bytes, deadline},
               [this] { return upstreams.close_idle_connection(); }) {
    FileDescriptor door = listen_on_loopback();
    address = local_address(door);
    server.use_listener(std::move(door));
  }
  void update_endpoints(const std::string& endpoint_address, EndpointState state = EndpointState::ready) {
    upstreams.update_endpoint("a", endpoint_address);
    dispatcher.update_endpoints(true, false, {make_endpoint("a", 0, state)});
  }
  TestConnection& connect_client() {
    connections.push_back(
        std::make_unique<TestConnection>(loop, client_budget, start_connect(address), response));
    run_until(loop, [&] { return connections.back()->stream->pending_error() == 0; });
    return *connections.back();
  }
  int status_of_request(TestConnection& from, const std::string& text) {
    const std::size_t before = from.received.size();
    from.send(text);
    run_until(loop, [&] { return from.received.size() > before || from.is_ended; });
    return from.received.size() > before ? from.received.back().status : 0;
  }
};

inline std::string rpc_request_text(const std::string& method = "read", int budget = 300, int id = 0) {
  static int ids = 0;  // each has one of its own, unless told
  return "GET /" + method + " HTTP/1.1\r\nX-Call-Id: " + std::to_string(id ? id : --ids) +
         "\r\nX-Call-Class: " + method + "\r\nX-Budget: " + std::to_string(budget) + "m\r\n\r\n";
}

inline const std::string served_response = response_text(200, "served");

inline std::string instance_json(const std::string& id, const std::string& state = "up") {
  return R"({"instanceId":")" + id + R"(","hostPort":"127.0.0.1:1","zone":"z","cell":3,"lifecycle":")" +
         state + R"(","weight":1.0,"startedAtMs":5})";
}
inline std::string endpoint_list_response(int version, bool whole, const std::string& entries) {
  return response_text(200, R"({"generation":)" + std::to_string(version) + R"(,"reset":)" +
                                (whole ? "true" : "false") + R"(,"instances":[)" + entries + "]}");
}

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
  void start(const sockaddr_in& agent, bool by_itself, std::optional<std::uint64_t> had = {}) {
    client = std::make_unique<DiscoveryClient>(
        loop, budget, counters, logger, agent, "agent", 1, grace_ms,
        [this](const EndpointListUpdate& r) {
          updates += (r.complete ? "=" : "+") + std::to_string(r.version);
          for (const auto& e : r.entries) updates += e.endpoint.id;
        },
        [this] { ++failure_count; });
    if (by_itself) client->enable_continuous_polling();
    if (had) client->set_known_version(*had);
    client->poll();
  }
};

// An endpoint whose queue is full: connects to it hang until it is let up, and come up with the next try of
// their kernel, a second after the first. It says what came over any connection, and nothing.
struct StalledListener {
  FileDescriptor listener = listen_on_loopback();
  sockaddr_in address = local_address(listener);
  std::vector<FileDescriptor> backlog_fillers, accepted;
  std::string received;

  StalledListener() {
    ::listen(listener.get(), 0);
    for (int i = 0; i < 8; ++i) backlog_fillers.push_back(start_connect(address));
  }
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
    std::array<char, 4096> some;
    for (const FileDescriptor& fd : accepted)
      for (ssize_t n; (n = ::recv(fd.get(), some.data(), some.size(), 0)) > 0;)
        received.append(some.data(), static_cast<std::size_t>(n));
  }
  std::size_t request_count() const {
    std::size_t n = 0;
    for (std::size_t at = 0; (at = received.find("X-Call-Id", at)) != std::string::npos; ++at) ++n;
    return n;
  }
};

inline std::size_t attempts_with_outcome(const SidecarHarness& h, AttemptOutcome how) {
  return h.counters.attempts[static_cast<std::size_t>(how)];
}

inline bool every_rpc_answered_once(const SidecarHarness& h) {
  return h.dispatcher.in_flight() == 0 &&
         h.counters.rpcs_received == h.counters.rpcs_ok + h.counters.rpcs_rejected + h.counters.rpcs_failed +
                                         h.counters.rpcs_abandoned;
}

// Settings unlike one another in what bears on endings: the long one leaves a connect the second that a lost
// SYN costs.
inline LoadBalancerConfig customer_config(bool longer, bool cancels, RetrySafety repeats,
                                          DeduplicationScope drops = DeduplicationScope::global) {
  LoadBalancerConfig t = test_config(repeats, drops);
  for (MethodConfig& m : t.methods) {
    m.latency_objective_ms = m.deadline_ms = longer ? 4000 : 150;
    m.deduplication_window_ms = 10000;
  }
  t.cancellation_enabled = cancels;
  t.probing_enabled = cancels;
  t.max_attempts = cancels ? 4 : 2;
  t.max_retry_after_ms = cancels ? 1000 : 0;
  return t;
}
inline constexpr ConnectionConfig slow_upstream_config{5000, 3000, 300};

// A burst of rounds, in which nothing has to wait for time.
inline void run_rounds(EventLoop& runs, int n = 20) {
  for (int i = 0; i < n; ++i) runs.run_once(0);
}

// Until so, for so long at most; how long it took, or -1.
inline double elapsed_until(EventLoop& runs, double longest, const std::function<bool()>& so) {
  const double began = runs.now();
  while (!so()) {
    if (runs.now() > began + longest) return -1;
    runs.run_once(2);
  }
  return runs.now() - began;
}

inline const std::string list_version_9 =
                             endpoint_list_response(9, true, instance_json("a") + "," + instance_json("b")),
                         draining_version_10 =
                             endpoint_list_response(10, false, instance_json("b", "draining"));

// Nobody accepts at this door any more, and its queue is full: a connect hangs.
inline std::vector<FileDescriptor> fill_backlog(const FileDescriptor& door) {
  ::listen(door.get(), 0);
  std::vector<FileDescriptor> all;
  for (int i = 0; i < 8; ++i) all.push_back(start_connect(local_address(door)));
  return all;
}

}  // namespace host
