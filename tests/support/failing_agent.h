/// \file
/// Test support: a discovery agent that fails in one way until it recovers, and a sidecar that polls it.
#pragma once

#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "discovery/discovery_client.h"
#include "proxy/request_dispatcher.h"
#include "support/parts.h"

namespace host {

enum class Outage { refused, connect_hangs, silent, half_response, malformed_response, error_status };
inline constexpr std::pair<Outage, const char*> outages[] = {
    {Outage::refused, "refused"},
    {Outage::connect_hangs, "a connect that hangs"},
    {Outage::silent, "no response"},
    {Outage::half_response, "half a response"},
    {Outage::malformed_response, "a malformed response"},
    {Outage::error_status, "an error status"}};

inline std::string response_during(Outage outage) {
  switch (outage) {
    case Outage::half_response:
      return "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{\"generation\"";
    case Outage::malformed_response:
      return "rubbish\r\n\r\n";
    case Outage::error_status:
      return response_text(500, "");
    default:
      return "silent";
  }
}

/// A discovery agent that fails in one way until it recovers, and then answers one poll.
struct FailingAgent {
  FakeServer server;
  std::vector<FileDescriptor> backlog_fillers;

  FailingAgent(EventLoop& event_loop, Outage outage)
      : server(event_loop, std::vector<std::string>(1000, response_during(outage)),
               outage == Outage::refused ? bind_on_loopback() : listen_on_loopback()) {
    if (outage != Outage::connect_hangs) return;
    server.listener_watch.cancel();
    backlog_fillers = fill_backlog(server.listener);
  }
  void recover(const std::string& list_response) {
    server.responses.resize(server.request_targets.size());
    server.responses.push_back(list_response);
    backlog_fillers.clear();
    ::listen(server.listener.get(), 100);
    server.start_accepting();
  }
};

/// A sidecar whose load balancer decides when to poll, with an endpoint list known from before its start.
struct PollingSidecar {
  EventLoop event_loop;
  std::ostringstream log_text;
  Logger logger{log_text, LogLevel::error};
  Counters counters;
  FileDescriptorBudget budget{10};
  UpstreamPool pool{event_loop, budget, counters, logger, {}, [] { return false; }};
  RequestDispatcher dispatcher;
  std::string updates;
  DiscoveryClient discovery_client;

  static LoadBalancerConfig polling_config(double sidecar_count) {
    LoadBalancerConfig config = test_config();
    config.must_poll_endpoints = true;
    config.max_poll_silence_ms = 10000;  // the default of the settings
    config.sidecar_count = sidecar_count;
    return config;
  }
  PollingSidecar(const sockaddr_in& agent_address, double sidecar_count, std::uint64_t seed)
      : dispatcher(event_loop, pool, counters, logger, polling_config(sidecar_count), seed),
        discovery_client(
            event_loop, budget, counters, logger, agent_address, "agent", seed + 1, 500,
            [this](const EndpointListUpdate& update) { apply(update); },
            [this](double poll_duration_ms) { dispatcher.endpoint_poll_failed(poll_duration_ms); }) {
    dispatcher.update_endpoints(true, false, {make_endpoint("a"), make_endpoint("b")});
    discovery_client.set_known_version(9);
    dispatcher.on_endpoint_poll([this] { discovery_client.poll(); });
  }
  void apply(const EndpointListUpdate& update) {
    updates += (update.complete ? "=" : "+") + std::to_string(update.version);
    std::vector<Endpoint> endpoints;
    for (const auto& entry : update.entries) endpoints.push_back(entry.endpoint);
    dispatcher.update_endpoints(update.complete, true, endpoints);
  }
};

}  // namespace host
