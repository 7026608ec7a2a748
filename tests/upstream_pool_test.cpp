// Connections to endpoints: their reuse, their closing and the timeout of connects.
#include "proxy/upstream_pool.h"

#include <doctest/doctest.h>
#include <sys/socket.h>

#include <optional>

#include "support/host.h"
#include "support/parts.h"

namespace host {

TEST_CASE("a connection to an endpoint that was removed or moved is not reused") {
  for (const bool moves : {false, true}) {
    SidecarHarness sidecar;
    FakeServer before(sidecar.loop, {"silent", served_response});
    FakeServer after(sidecar.loop, {served_response});
    sidecar.upstreams.update_endpoint("a", address_text(before.address));
    int ended = 0;
    const auto exchange = [&](const char* endpoint_id, AttemptOutcome expected) {
      WriteBuffer output;
      output.append_owned("GET / HTTP/1.1\r\n\r\n");
      sidecar.upstreams.start_exchange(endpoint_id, std::move(output), 1000,
                                       {[&, expected](const UpstreamPool::ExchangeResult& result) {
                                         ended += result.outcome == expected;
                                       }});
    };
    exchange("a", AttemptOutcome::ok);
    REQUIRE(run_until(sidecar.loop, [&] { return before.request_targets.size() == 1; }));
    if (moves) {
      sidecar.upstreams.update_endpoint("a", address_text(after.address));
    } else {
      sidecar.upstreams.retain_endpoints({make_endpoint("b")});
      sidecar.upstreams.update_endpoint("b", address_text(before.address));  // a new endpoint at its address
    }
    before.connections[0]->send(served_response);
    REQUIRE(run_until(sidecar.loop, [&] { return ended == 1; }));
    exchange(moves ? "a" : "b", AttemptOutcome::ok);
    if (!moves) exchange("a", AttemptOutcome::connect_failed);
    CHECK(run_until(sidecar.loop, [&] { return ended == (moves ? 2 : 3); }));
    CHECK(before.connections.size() == (moves ? 1 : 2));
    CHECK(after.connections.size() == (moves ? 1 : 0));
  }
}

TEST_CASE("the number of idle connections to an endpoint is reported when it changes") {
  SidecarHarness sidecar;
  FakeServer endpoint(sidecar.loop, {served_response, served_response, served_response});
  std::string reported;
  sidecar.upstreams.on_idle_count_changed([&](const std::string& endpoint_id, std::size_t count) {
    reported += endpoint_id + std::to_string(count);
  });
  sidecar.update_endpoints(address_text(endpoint.address));
  TestConnection& client = sidecar.connect_client();
  const auto is_reported = [&](const std::string& expected) {
    return run_until(sidecar.loop, [&] { return reported == expected; });
  };
  CHECK(sidecar.status_of_request(client, rpc_request_text()) == 200);
  CHECK(reported.empty());  // not reusable yet
  CHECK(is_reported("a1"));
  CHECK(sidecar.status_of_request(client, rpc_request_text()) == 200);
  CHECK(reported == "a1a0");
  CHECK(is_reported("a1a0a1"));
  endpoint.connections[0]->close();
  CHECK(is_reported("a1a0a1a0"));
  CHECK(sidecar.status_of_request(client, rpc_request_text()) == 200);
  CHECK(is_reported("a1a0a1a0a1"));
  sidecar.update_endpoints(address_text(endpoint.address), EndpointState::gone);
  sidecar.upstreams.remove_endpoint("a");
  CHECK(reported == "a1a0a1a0a1a0");
}

TEST_CASE("a connect that is never answered fails early once the duration of connects is known") {
  SidecarHarness sidecar(RetrySafety::non_idempotent, 100, {5000, 2000});
  FakeServer quick(sidecar.loop,
                   std::vector<std::string>(8, response_text(200, "", "Connection: close\r\n")));
  const FileDescriptor unresponsive = listen_on_loopback();  // accepts nothing; its backlog is filled
  REQUIRE(::listen(unresponsive.get(), 0) == 0);
  std::vector<FileDescriptor> backlog_fillers;
  backlog_fillers.reserve(8);
  for (int i = 0; i < 8; ++i) backlog_fillers.push_back(start_connect(local_address(unresponsive)));
  sidecar.upstreams.update_endpoint("quick", address_text(quick.address));
  sidecar.upstreams.update_endpoint("unresponsive", address_text(local_address(unresponsive)));
  const auto exchange = [&](const char* endpoint_id) {
    std::optional<UpstreamPool::ExchangeResult> received;
    WriteBuffer output;
    output.append_owned("GET / HTTP/1.1\r\n\r\n");
    sidecar.upstreams.start_exchange(
        endpoint_id, std::move(output), 1500,
        {[&](UpstreamPool::ExchangeResult result) { received = std::move(result); }});
    CHECK(run_until(sidecar.loop, [&] { return received.has_value(); }));
    return received.value_or(UpstreamPool::ExchangeResult{AttemptOutcome::client_error, 0, {}});
  };
  for (int i = 0; i < 8; ++i) CHECK(exchange("quick").outcome == AttemptOutcome::ok);
  const UpstreamPool::ExchangeResult result = exchange("unresponsive");
  CHECK(result.outcome == AttemptOutcome::connect_failed);
  CHECK(result.duration_ms < 1000);  // the exchange times out after 1.5 s, a connect as configured after 2 s
}

TEST_CASE("an idle connection is reused unless the endpoint closed it or it was retired") {
  struct {
    const char* name;
    double idle_timeout_ms, wait_ms;
    bool endpoint_closes;
    std::size_t connections;
  } table[] = {
      {"reused", 5000, 30, false, 1},
      {"not idle for long enough", 5000, 10, false, 2},
      {"closed by the endpoint", 5000, 30, true, 2},
      {"retired before the endpoint closes it", 40, 39, false, 2},
  };
  for (const auto& row : table) {
    CAPTURE(std::string(row.name));
    SidecarHarness sidecar(RetrySafety::non_idempotent, 100, {row.idle_timeout_ms, 60});
    FakeServer endpoint(sidecar.loop, {served_response, served_response});
    sidecar.update_endpoints(address_text(endpoint.address));
    TestConnection& client = sidecar.connect_client();
    CHECK(sidecar.status_of_request(client, rpc_request_text()) == 200);
    if (row.endpoint_closes) endpoint.connections[0]->close();
    run_for(sidecar.loop, row.wait_ms);
    CHECK(sidecar.status_of_request(client, rpc_request_text()) == 200);
    CHECK(endpoint.connections.size() == row.connections);
  }
}

TEST_CASE("a valid response with extra bytes or a bad load report is served and its connection not reused") {
  const std::string good = response_text(200, "served", "X-Load-Report: outstanding=1\r\n");
  struct {
    std::string response;
    std::size_t connections;
  } table[] = {
      {good, 1},
      {good + good, 2},
      {good + "\x01 noise", 2},
      {"HTTP/1.1 103 X\r\nLink: a\r\n\r\nHTTP/1.1 102 X\r\n\r\n" + good, 2},
      {response_text(200, "served", "X-Load-Report: %%%\r\n"), 2},
      {response_text(200, "served", "X-Load-Report: =,=\r\n"), 2},
  };
  for (const auto& row : table) {
    CAPTURE(row.response);
    SidecarHarness sidecar(RetrySafety::non_idempotent);
    FakeServer endpoint(sidecar.loop, {row.response, response_text(200, "next")});
    sidecar.update_endpoints(address_text(endpoint.address));
    TestConnection& client = sidecar.connect_client();
    CHECK(sidecar.status_of_request(client, rpc_request_text()) == 200);
    run_for(sidecar.loop, IdleConnections::min_idle_ms + 1);
    CHECK(sidecar.status_of_request(client, rpc_request_text()) == 200);
    REQUIRE(client.received.size() == 2);
    CHECK(client.received[0].body() == "served");
    CHECK(client.received[1].body() == "next");
    CHECK(endpoint.connections.size() == row.connections);
  }
}

TEST_CASE("a connection that the endpoint closes as an RPC arrives is not written to") {
  SidecarHarness sidecar(RetrySafety::non_idempotent);
  FakeServer endpoint(sidecar.loop, {served_response, served_response});
  sidecar.update_endpoints(address_text(endpoint.address));
  TestConnection& client = sidecar.connect_client();
  CHECK(sidecar.status_of_request(client, rpc_request_text()) == 200);
  run_for(sidecar.loop, IdleConnections::min_idle_ms + 1);
  client.send(rpc_request_text());
  // The close is dispatched to the pool in the same iteration as the RPC, or after it.
  endpoint.connections[0]->close();
  CHECK(run_until(sidecar.loop, [&] { return client.received.size() == 2; }));
  CHECK(client.received.back().status == 200);
}

TEST_CASE("an exchange never ends before start_exchange has returned its id") {
  SidecarHarness sidecar;
  bool ended = false;
  WriteBuffer output;
  output.append_owned("GET / HTTP/1.1\r\n\r\n");
  sidecar.upstreams.start_exchange("unlisted", std::move(output), 100,
                                   {[&](UpstreamPool::ExchangeResult result) {
                                     ended = true;
                                     CHECK(result.outcome == AttemptOutcome::connect_failed);
                                   }});
  CHECK_FALSE(ended);
  CHECK(run_until(sidecar.loop, [&] { return ended; }));
}

}  // namespace host
