// RPCs and their attempts against a scripted endpoint, on real sockets.
#include "proxy/request_dispatcher.h"

#include <doctest/doctest.h>

#include <sstream>

#include "support/host.h"
#include "support/parts.h"

namespace host {
namespace {

// Responses of the scripted endpoint.
const std::string error_response = response_text(500, ""),
                  rejected_response = response_text(503, "", "X-Rejected: 1\r\n"),
                  malformed_response = "HTTP/1.1 2x0 what\r\n\r\n",
                  truncated_response = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc";

}  // namespace

TEST_CASE("the attempts of an RPC and its one response depend on the behaviour of the endpoint") {
  struct {
    const char* name;
    RetrySafety retry_safety;
    std::vector<std::string> script;
    int status;
    std::size_t attempts;
  } table[] = {
      {"ok", RetrySafety::non_idempotent, {served_response}, 200, 1},
      {"a client error is forwarded to the client without a retry",
       RetrySafety::idempotent,
       {response_text(400, "no"), served_response},
       400,
       1},
      {"a 429 of the endpoint is a failure, not a rejection",
       RetrySafety::non_idempotent,
       {response_text(429, "")},
       502,
       1},
      {"an attempt that ended with an error may have run",
       RetrySafety::non_idempotent,
       {error_response, served_response},
       502,
       1},
      {"an idempotent RPC is retried after an error",
       RetrySafety::idempotent,
       {error_response, served_response},
       200,
       2},
      {"a rejected attempt never ran: the RPC is rejected, as the only endpoint is full",
       RetrySafety::non_idempotent,
       {rejected_response, served_response},
       503,
       1},
      {"an attempt that was reset may have run",
       RetrySafety::non_idempotent,
       {"close", served_response},
       502,
       1},
      {"an idempotent RPC is retried after a reset",
       RetrySafety::idempotent,
       {"close", served_response},
       200,
       2},
      {"an attempt with a malformed response may have run",
       RetrySafety::non_idempotent,
       {malformed_response, served_response},
       502,
       1},
      {"an idempotent RPC is retried after a malformed response",
       RetrySafety::idempotent,
       {malformed_response, served_response},
       200,
       2},
      {"an attempt that timed out may have run",
       RetrySafety::non_idempotent,
       {truncated_response, served_response},
       502,
       1},
      {"the response closes its connection",
       RetrySafety::idempotent,
       {response_text(200, "", "Connection: close\r\n")},
       200,
       1},
      {"a response with both Transfer-Encoding and Content-Length is followed by a retry",
       RetrySafety::idempotent,
       {response_text(200, "x", "Transfer-Encoding: chunked\r\n"), served_response},
       200,
       2},
  };
  for (const auto& row : table) {
    CAPTURE(std::string(row.name));
    SidecarHarness sidecar(row.retry_safety);
    FakeServer endpoint(sidecar.loop, row.script);
    sidecar.update_endpoints(address_text(endpoint.address));
    CHECK(sidecar.status_of_request(sidecar.connect_client(), rpc_request_text()) == row.status);
    CHECK(endpoint.request_targets.size() == row.attempts);
    CHECK(sidecar.dispatcher.in_flight() == 0);
    CHECK(sidecar.counters.rpcs_received ==
          sidecar.counters.rpcs_ok + sidecar.counters.rpcs_rejected + sidecar.counters.rpcs_failed);
    if (row.status == 200 && row.script.back() == served_response)
      CHECK(sidecar.connections[0]->received[0].body() == "served");
  }
}

TEST_CASE("a retry consumes quota when it is sent and without quota the RPC is answered at once") {
  struct {
    double remaining;
    bool granted;
    std::size_t attempts;
    int status, shortages;
  } table[] = {{5, true, 2, 200, 0}, {0, false, 1, 503, 1}, {5, false, 1, 503, 1}};
  for (const auto& row : table) {
    CAPTURE(row.remaining);
    SidecarHarness sidecar(RetrySafety::idempotent);
    FakeServer endpoint(sidecar.loop, {error_response, served_response});
    sidecar.update_endpoints(address_text(endpoint.address));
    double remaining = row.remaining;
    int shortages = 0;
    // In the third row the quota runs out after the load balancer was given it, before the retry is sent.
    sidecar.dispatcher.use_fleet_retry_quota({[&] { return remaining; },
                                              [&] {
                                                if (!row.granted) remaining = 0;
                                                return row.granted;
                                              },
                                              [&] { ++shortages; }});
    const double started_at_ms = sidecar.loop.now();
    CHECK(sidecar.status_of_request(sidecar.connect_client(), rpc_request_text()) == row.status);
    CHECK(sidecar.loop.now() - started_at_ms < 200);
    CHECK(endpoint.request_targets.size() == row.attempts);
    CHECK(shortages == row.shortages);
    CHECK(sidecar.dispatcher.in_flight() == 0);
  }
}

TEST_CASE("a non-idempotent RPC whose connects fail is rejected because it never ran") {
  SidecarHarness sidecar(RetrySafety::non_idempotent);
  sockaddr_in nowhere = local_address(listen_on_loopback());  // closed at once, so that connects are refused
  sidecar.update_endpoints(address_text(nowhere));
  // A rejection tells the client that a retry is safe.
  CHECK(sidecar.status_of_request(sidecar.connect_client(), rpc_request_text()) == 503);
  CHECK(sidecar.counters.attempts[static_cast<std::size_t>(AttemptOutcome::connect_failed)] > 0);
}

TEST_CASE("requests go to the new address of a moved endpoint and not to a draining endpoint") {
  SidecarHarness sidecar;
  FakeServer before(sidecar.loop, {served_response});
  FakeServer after(sidecar.loop, {served_response});
  sidecar.update_endpoints(address_text(before.address));
  TestConnection& client = sidecar.connect_client();
  CHECK(sidecar.status_of_request(client, rpc_request_text()) == 200);
  sidecar.update_endpoints(address_text(after.address));
  CHECK(sidecar.status_of_request(client, rpc_request_text()) == 200);
  CHECK(after.request_targets.size() == 1);
  sidecar.update_endpoints(address_text(after.address), EndpointState::draining);
  CHECK(sidecar.status_of_request(client, rpc_request_text()) == 503);
  CHECK(after.request_targets.size() == 1);
}

TEST_CASE("the attempt of an RPC is abandoned when its client closes the connection") {
  SidecarHarness sidecar;
  FakeServer endpoint(sidecar.loop, {"silent"});
  sidecar.update_endpoints(address_text(endpoint.address));
  TestConnection& client = sidecar.connect_client();
  client.send(rpc_request_text());
  REQUIRE(run_until(sidecar.loop, [&] { return endpoint.request_targets.size() == 1; }));
  client.close();
  CHECK(run_until(sidecar.loop,
                  [&] { return sidecar.counters.rpcs_abandoned == 1 && endpoint.connections[0]->is_ended; }));
  CHECK(sidecar.dispatcher.in_flight() == 0);
}

TEST_CASE("an RPC is answered within its deadline even if the endpoint never responds") {
  for (const char* method : {"read", "vital"}) {
    SidecarHarness sidecar(RetrySafety::non_idempotent);
    FakeServer endpoint(sidecar.loop, {"silent"});
    sidecar.update_endpoints(address_text(endpoint.address));
    const double started_at_ms = sidecar.loop.now();
    CHECK(sidecar.status_of_request(sidecar.connect_client(), rpc_request_text(method, 60)) == 502);
    CHECK(sidecar.loop.now() - started_at_ms < 90);  // the latency objective is 100 ms
  }
}

TEST_CASE("the budget counts from the arrival of the request even if the sidecar reads it late") {
  SidecarHarness sidecar(RetrySafety::non_idempotent);
  FakeServer endpoint(sidecar.loop, {"silent"});
  sidecar.update_endpoints(address_text(endpoint.address));
  TestConnection& client = sidecar.connect_client();
  run_for(sidecar.loop, 5);
  const double started_at_ms = sidecar.loop.now();
  client.send(rpc_request_text("read", 120));
  while (sidecar.loop.now() < started_at_ms + 100) continue;  // the loop doesn't run
  CHECK(run_until(sidecar.loop, [&] { return client.received.size() == 1; }));
  CHECK(sidecar.loop.now() - started_at_ms < 160);  // over 200 ms if it counted from the read
}

TEST_CASE("a poll requested before a poll function is set is kept and carried out once") {
  EventLoop loop;
  std::ostringstream log_text;
  Logger logger(log_text, LogLevel::error);
  Counters counters;
  FileDescriptorBudget budget{10};
  UpstreamPool upstream_pool(loop, budget, counters, logger, {}, [] { return false; });
  LoadBalancerConfig config = test_config();
  config.must_poll_endpoints = true;
  RequestDispatcher dispatcher(loop, upstream_pool, counters, logger, config, 1);
  dispatcher.update_endpoints(true, false, {make_endpoint("a")});
  int polls = 0;
  dispatcher.on_endpoint_poll([&] { ++polls; });
  CHECK(polls == 1);
  dispatcher.update_endpoints(true, true, {make_endpoint("a")});
  CHECK(polls == 1);
  dispatcher.endpoint_poll_failed();
  CHECK(run_until(loop, [&] { return polls == 2; }));
}

}  // namespace host
