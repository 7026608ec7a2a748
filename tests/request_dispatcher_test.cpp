// RPCs and their attempts against a scripted endpoint, on real sockets.
#include "proxy/request_dispatcher.h"

#include <doctest/doctest.h>

#include <sstream>

#include "support/host.h"
#include "support/parts.h"

using namespace host;

namespace {

// A sidecar's parts round one endpoint, whose clients connect on loopback.
const std::string error_response = response_text(500, ""),
                  rejected_response = response_text(503, "", "X-Rejected: 1\r\n"),
                  malformed_response = "HTTP/1.1 2x0 what\r\n\r\n",
                  truncated_response = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc";

}  // namespace

TEST_CASE("an RPC's picks and its one answer, by what the endpoint does") {
  struct {
    const char* what;
    RetrySafety repeats;
    std::vector<std::string> script;
    int status;
    std::size_t picks;
  } table[] = {
      {"ok", RetrySafety::non_idempotent, {served_response}, 200, 1},
      {"what the client did wrong is told it, no other endpoint is tried",
       RetrySafety::idempotent,
       {response_text(400, "no"), served_response},
       400,
       1},
      {"another's 429 is no pushback of ours", RetrySafety::non_idempotent, {response_text(429, "")}, 502, 1},
      {"an error may have run", RetrySafety::non_idempotent, {error_response, served_response}, 502, 1},
      {"an error is repeated", RetrySafety::idempotent, {error_response, served_response}, 200, 2},
      {"turned away never ran: pushed back, the only endpoint is full",
       RetrySafety::non_idempotent,
       {rejected_response, served_response},
       503,
       1},
      {"a reset may have run", RetrySafety::non_idempotent, {"close", served_response}, 502, 1},
      {"a reset is repeated", RetrySafety::idempotent, {"close", served_response}, 200, 2},
      {"a malformed answer may have run",
       RetrySafety::non_idempotent,
       {malformed_response, served_response},
       502,
       1},
      {"a malformed answer is repeated",
       RetrySafety::idempotent,
       {malformed_response, served_response},
       200,
       2},
      {"a time-out may have run", RetrySafety::non_idempotent, {truncated_response, served_response}, 502, 1},
      {"the last answer on a connection",
       RetrySafety::idempotent,
       {response_text(200, "", "Connection: close\r\n")},
       200,
       1},
      {"until close",
       RetrySafety::idempotent,
       {response_text(200, "x", "Transfer-Encoding: chunked\r\n"), served_response},
       200,
       2},
  };
  for (const auto& row : table) {
    CAPTURE(std::string(row.what));
    SidecarHarness sidecar(row.repeats);
    FakeServer endpoint(sidecar.loop, row.script);
    sidecar.update_endpoints(address_text(endpoint.address));
    CHECK(sidecar.status_of_request(sidecar.connect_client(), rpc_request_text()) == row.status);
    CHECK(endpoint.request_targets.size() == row.picks);
    CHECK(sidecar.dispatcher.in_flight() == 0);
    CHECK(sidecar.counters.rpcs_received ==
          sidecar.counters.rpcs_ok + sidecar.counters.rpcs_rejected + sidecar.counters.rpcs_failed);
    if (row.status == 200 && row.script.back() == served_response)
      CHECK(sidecar.connections[0]->received[0].body() == "served");
  }
}

TEST_CASE(
    "a further pick is spent at its sending: with none left nothing is sent, and the answer is at once") {
  struct {
    double left;
    bool granted;
    std::size_t picks;
    int status, wanted;
  } table[] = {{5, true, 2, 200, 0}, {0, false, 1, 503, 1}, {5, false, 1, 503, 1}};
  for (const auto& row : table) {
    CAPTURE(row.left);
    SidecarHarness sidecar(RetrySafety::idempotent);
    FakeServer endpoint(sidecar.loop, {error_response, served_response});
    sidecar.update_endpoints(address_text(endpoint.address));
    double left = row.left;
    int wanted = 0;
    // The third: told that there is some, and stopped until its share was over.
    sidecar.dispatcher.use_fleet_retry_quota({[&] { return left; },
                                              [&] {
                                                if (!row.granted) left = 0;
                                                return row.granted;
                                              },
                                              [&] { ++wanted; }});
    const double began = sidecar.loop.now();
    CHECK(sidecar.status_of_request(sidecar.connect_client(), rpc_request_text()) == row.status);
    CHECK(sidecar.loop.now() - began < 200);
    CHECK(endpoint.request_targets.size() == row.picks);
    CHECK(wanted == row.wanted);
    CHECK(sidecar.dispatcher.in_flight() == 0);
  }
}

TEST_CASE("an endpoint that can't be connected to has run nothing") {
  SidecarHarness sidecar(RetrySafety::non_idempotent);
  sockaddr_in nowhere = local_address(listen_on_loopback());  // closed again
  sidecar.update_endpoints(address_text(nowhere));
  CHECK(sidecar.status_of_request(sidecar.connect_client(), rpc_request_text()) ==
        503);  // a pushback says that a retry is harmless
  CHECK(sidecar.counters.attempts[static_cast<std::size_t>(AttemptOutcome::connect_failed)] > 0);
}

TEST_CASE("a moved endpoint is met at its new address, one that is gone not at all") {
  SidecarHarness sidecar;
  FakeServer before(sidecar.loop, {served_response}), after(sidecar.loop, {served_response});
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

TEST_CASE("a client that closes has left: its pick is given up") {
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

TEST_CASE("an answer keeps the deadline, also where nothing answers") {
  for (const char* method : {"read", "vital"}) {
    SidecarHarness sidecar(RetrySafety::non_idempotent);
    FakeServer endpoint(sidecar.loop, {"silent"});
    sidecar.update_endpoints(address_text(endpoint.address));
    const double began = sidecar.loop.now();
    CHECK(sidecar.status_of_request(sidecar.connect_client(), rpc_request_text(method, 60)) == 502);
    CHECK(sidecar.loop.now() - began < 90);  // the latency target is 100
  }
}

TEST_CASE("the budget counts from the client's sending, also where the sidecar comes to read it late") {
  SidecarHarness sidecar(RetrySafety::non_idempotent);
  FakeServer endpoint(sidecar.loop, {"silent"});
  sidecar.update_endpoints(address_text(endpoint.address));
  TestConnection& client = sidecar.connect_client();
  run_for(sidecar.loop, 5);
  const double began = sidecar.loop.now();
  client.send(rpc_request_text("read", 120));
  while (sidecar.loop.now() < began + 100) continue;  // the loop stands still
  CHECK(run_until(sidecar.loop, [&] { return client.received.size() == 1; }));
  CHECK(sidecar.loop.now() - began < 160);  // 200 if it counted from the reading
}

TEST_CASE("a wish for the list that comes before anyone follows it is kept, and carried out once") {
  EventLoop loop;
  std::ostringstream log_text;
  Logger lines(log_text, LogLevel::error);
  Counters counts;
  FileDescriptorBudget budget{10};
  UpstreamPool endpoints(loop, budget, counts, lines, {}, [] { return false; });
  LoadBalancerConfig where = test_config();
  where.must_poll_endpoints = true;
  RequestDispatcher rpcs(loop, endpoints, counts, lines, where, 1);
  rpcs.update_endpoints(true, false, {make_endpoint("a")});
  int wishes = 0;
  rpcs.on_endpoint_poll([&] { ++wishes; });
  CHECK(wishes == 1);
  rpcs.update_endpoints(true, true, {make_endpoint("a")});
  CHECK(wishes == 1);
  rpcs.endpoint_poll_failed();
  CHECK(run_until(loop, [&] { return wishes == 2; }));
}
