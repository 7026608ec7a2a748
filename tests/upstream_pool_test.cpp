// Connections to endpoints: which are reused, which are closed, and when a connect has failed.
#include "proxy/upstream_pool.h"

#include <doctest/doctest.h>
#include <sys/socket.h>

#include <optional>

#include "support/host.h"
#include "support/parts.h"

using namespace host;

TEST_CASE("a connection to an endpoint that has gone or moved is not used again") {
  for (const bool moves : {false, true}) {
    SidecarHarness sidecar;
    FakeServer before(sidecar.loop, {"silent", served_response}), after(sidecar.loop, {served_response});
    sidecar.upstreams.update_endpoint("a", address_text(before.address));
    int ended = 0;
    const auto exchange = [&](const char* server, AttemptOutcome how) {
      WriteBuffer what;
      what.append_owned("GET / HTTP/1.1\r\n\r\n");
      sidecar.upstreams.start_exchange(
          server, std::move(what), 1000,
          {[&, how](UpstreamPool::ExchangeResult result) { ended += result.outcome == how; }});
    };
    exchange("a", AttemptOutcome::ok);
    REQUIRE(run_until(sidecar.loop, [&] { return before.request_targets.size() == 1; }));
    if (moves) {
      sidecar.upstreams.update_endpoint("a", address_text(after.address));
    } else {
      sidecar.upstreams.retain_endpoints({make_endpoint("b")});
      sidecar.upstreams.update_endpoint("b", address_text(before.address));  // a new one at its address
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

TEST_CASE("how many connections rest at an endpoint is told when it changes") {
  SidecarHarness sidecar;
  FakeServer endpoint(sidecar.loop, {served_response, served_response, served_response});
  std::string told;
  sidecar.upstreams.on_idle_count_changed(
      [&](const std::string& server, std::size_t n) { told += server + std::to_string(n); });
  sidecar.update_endpoints(address_text(endpoint.address));
  TestConnection& client = sidecar.connect_client();
  CHECK(sidecar.status_of_request(client, rpc_request_text()) == 200);
  CHECK(sidecar.status_of_request(client, rpc_request_text()) == 200);
  CHECK(told == "a1a0a1");
  endpoint.connections[0]->close();
  CHECK(run_until(sidecar.loop, [&] { return told == "a1a0a1a0"; }));
  CHECK(sidecar.status_of_request(client, rpc_request_text()) == 200);
  sidecar.update_endpoints(address_text(endpoint.address), EndpointState::gone);
  sidecar.upstreams.remove_endpoint("a");
  CHECK(told == "a1a0a1a0a1a0");
}

TEST_CASE("a machine that answers no connect costs an RPC little of its time, once connects are known") {
  SidecarHarness sidecar(RetrySafety::non_idempotent, 100, {5000, 2000});
  FakeServer quick(sidecar.loop,
                   std::vector<std::string>(8, response_text(200, "", "Connection: close\r\n")));
  const FileDescriptor mute = listen_on_loopback();  // nobody accepts, and its queue is filled
  REQUIRE(::listen(mute.get(), 0) == 0);
  std::vector<FileDescriptor> filling;
  for (int i = 0; i < 8; ++i) filling.push_back(start_connect(local_address(mute)));
  sidecar.upstreams.update_endpoint("quick", address_text(quick.address));
  sidecar.upstreams.update_endpoint("mute", address_text(local_address(mute)));
  const auto exchange = [&](const char* server) {
    std::optional<UpstreamPool::ExchangeResult> got;
    WriteBuffer what;
    what.append_owned("GET / HTTP/1.1\r\n\r\n");
    sidecar.upstreams.start_exchange(server, std::move(what), 1500,
                                     {[&](UpstreamPool::ExchangeResult result) { got = std::move(result); }});
    CHECK(run_until(sidecar.loop, [&] { return got.has_value(); }));
    return got.value_or(UpstreamPool::ExchangeResult{AttemptOutcome::client_error, 0, {}});
  };
  for (int i = 0; i < 8; ++i) CHECK(exchange("quick").outcome == AttemptOutcome::ok);
  const UpstreamPool::ExchangeResult result = exchange("mute");
  CHECK(result.outcome == AttemptOutcome::connect_failed);
  CHECK(result.duration_ms < 1000);  // a time-out of the exchange would take 1.5 s, the stated time 2 s
}

TEST_CASE("connections are kept, noticed when closed, and retired in time") {
  struct {
    const char* what;
    double idle, wait;
    bool closes;
    std::size_t connections;
  } table[] = {
      {"kept", 5000, 10, false, 1},
      {"closed by the endpoint", 5000, 10, true, 2},
      {"retired before the endpoint closes it", 40, 39, false, 2},
  };
  for (const auto& row : table) {
    CAPTURE(std::string(row.what));
    SidecarHarness sidecar(RetrySafety::non_idempotent, 100, {row.idle, 60});
    FakeServer endpoint(sidecar.loop, {served_response, served_response});
    sidecar.update_endpoints(address_text(endpoint.address));
    TestConnection& client = sidecar.connect_client();
    CHECK(sidecar.status_of_request(client, rpc_request_text()) == 200);
    if (row.closes) endpoint.connections[0]->close();
    run_for(sidecar.loop, row.wait);
    CHECK(sidecar.status_of_request(client, rpc_request_text()) == 200);
    CHECK(endpoint.connections.size() == row.connections);
  }
}

TEST_CASE("a good answer with more than belongs to it is served, its connection is not used again") {
  const std::string good = response_text(200, "served", "X-Load-Report: outstanding=1\r\n");
  struct {
    std::string answer;
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
    CAPTURE(row.answer);
    SidecarHarness sidecar(RetrySafety::non_idempotent);
    FakeServer endpoint(sidecar.loop, {row.answer, response_text(200, "next")});
    sidecar.update_endpoints(address_text(endpoint.address));
    TestConnection& client = sidecar.connect_client();
    CHECK(sidecar.status_of_request(client, rpc_request_text()) == 200);
    CHECK(sidecar.status_of_request(client, rpc_request_text()) == 200);
    REQUIRE(client.received.size() == 2);
    CHECK(client.received[0].body() == "served");
    CHECK(client.received[1].body() == "next");
    CHECK(endpoint.connections.size() == row.connections);
  }
}

TEST_CASE("a connection closed in the same breath is not written to") {
  SidecarHarness sidecar(RetrySafety::non_idempotent);
  FakeServer endpoint(sidecar.loop, {served_response, served_response});
  sidecar.update_endpoints(address_text(endpoint.address));
  TestConnection& client = sidecar.connect_client();
  CHECK(sidecar.status_of_request(client, rpc_request_text()) == 200);
  run_for(sidecar.loop, 5);
  client.send(rpc_request_text());
  // The pool hears of it in the same batch, or after the RPC.
  endpoint.connections[0]->close();
  CHECK(run_until(sidecar.loop, [&] { return client.received.size() == 2; }));
  CHECK(client.received.back().status == 200);
}

TEST_CASE("an exchange ends after its ticket is known, never within send") {
  SidecarHarness sidecar;
  bool ended = false;
  WriteBuffer what;
  what.append_owned("GET / HTTP/1.1\r\n\r\n");
  sidecar.upstreams.start_exchange("unlisted", std::move(what), 100,
                                   {[&](UpstreamPool::ExchangeResult result) {
                                     ended = true;
                                     CHECK(result.outcome == AttemptOutcome::connect_failed);
                                   }});
  CHECK_FALSE(ended);
  CHECK(run_until(sidecar.loop, [&] { return ended; }));
}
