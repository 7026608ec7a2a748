// Tests of the graceful shutdown (docs/endings.md), on real sockets.
#include <doctest/doctest.h>

#include "support/parts.h"

namespace host {

TEST_CASE(
    "a drain closes idle connections while the listener is still open so that a request crossing the close "
    "can be resent") {
  for (const bool has_long_deadline : {false, true}) {
    const int budget_ms = has_long_deadline ? 3900 : 140;
    SidecarHarness sidecar(customer_config(has_long_deadline, has_long_deadline, RetrySafety::non_idempotent),
                           {5000, 60, 300});
    FakeServer endpoint(sidecar.loop, std::vector<std::string>(9, served_response));
    sidecar.update_endpoints(address_text(endpoint.address));
    TestConnection& idle = sidecar.connect_client();
    TestConnection& crossing = sidecar.connect_client();
    TestConnection& unread = sidecar.connect_client();
    for (TestConnection* client : {&idle, &crossing, &unread})
      CHECK(sidecar.status_of_request(*client, rpc_request_text("read", budget_ms)) == 200);
    bool is_drained = false;
    unread.send(rpc_request_text("read", budget_ms));  // in the kernel before the drain begins
    sidecar.server.drain([&] { is_drained = true; });
    crossing.send(rpc_request_text("read", budget_ms));  // crosses the close of the connection
    REQUIRE(run_until(sidecar.loop,
                      [&] { return unread.received.size() == 2 && idle.is_ended && crossing.is_ended; }));
    CHECK(unread.received[1].status == 200);
    CHECK(crossing.received.size() == 1);
    // A client repeats a request on a new connection if its connection closed before any byte of the
    // response.
    TestConnection& new_connection = sidecar.connect_client();
    CHECK(sidecar.status_of_request(new_connection, rpc_request_text("read", budget_ms)) == 200);
    CHECK_FALSE(new_connection.received[0].keep_alive);
    CHECK_FALSE(is_drained);
    REQUIRE(run_until(sidecar.loop, [&] { return is_drained; }));
    CHECK(every_rpc_answered_once(sidecar));
  }
}

TEST_CASE("a client that connects just before the listener closes in a drain has its request answered") {
  SidecarHarness sidecar(customer_config(false, false, RetrySafety::non_idempotent), {5000, 60, 300});
  FakeServer endpoint(sidecar.loop, {served_response});
  sidecar.update_endpoints(address_text(endpoint.address));
  bool is_drained = false;
  sidecar.server.drain([&] { is_drained = true; });
  run_for(sidecar.loop, 440);
  TestConnection last_client(sidecar.loop, sidecar.client_budget, start_connect(sidecar.address),
                             response);  // in the backlog when the listener closes
  for (const double end_ms = sidecar.loop.now() + 15; sidecar.loop.now() < end_ms;) continue;
  run_rounds(sidecar.loop, 3);
  CHECK_FALSE(last_client.is_ended);
  last_client.send(rpc_request_text("read", 140));
  REQUIRE(run_until(sidecar.loop, [&] { return last_client.received.size() == 1; }));
  CHECK(last_client.received[0].status == 200);
  CHECK(run_until(sidecar.loop, [&] { return is_drained; }));
  CHECK(every_rpc_answered_once(sidecar));
}

TEST_CASE("a drain ends before the process would be killed whatever endpoints and clients do") {
  struct {
    const char* description;
    double longest_deadline_ms;  // of all methods in the settings
    int budget_ms;
    std::string endpoint_output;  // empty for none; "long" for a response of 20 MB
    bool client_reads;
    int status;
  } table[] = {
      {"an endpoint that hangs, a budget past the longest deadline", 200, 9000, "", true, 502},
      {"an endpoint that hangs, a budget below the longest deadline", 200, 150, "", true, 502},
      {"a response that stays incomplete", 200, 9000, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc", true,
       502},
      {"a long response that the client does not read", 200, 150, "long", false, 0},
  };
  for (const bool cancels : {false, true})
    for (const auto& row : table) {
      CAPTURE(std::string(row.description));
      LoadBalancerConfig config = customer_config(true, cancels, RetrySafety::non_idempotent);
      for (MethodConfig& method : config.methods) method.latency_objective_ms = row.budget_ms;
      SidecarHarness sidecar(config, {5000, 60, 300}, 100, 64 << 20, row.longest_deadline_ms);
      FakeServer endpoint(sidecar.loop, {"silent"});
      sidecar.update_endpoints(address_text(endpoint.address));
      TestConnection& client = sidecar.connect_client();
      client.send(rpc_request_text("read", row.budget_ms));
      REQUIRE(run_until(sidecar.loop, [&] { return endpoint.request_targets.size() == 1; }));
      WriteBuffer output;
      const std::string body(20 << 20, 'y');
      if (row.endpoint_output == "long") {
        output.append_owned("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n");
        output.append_borrowed(body);
      } else {
        output.append_owned(row.endpoint_output);
      }
      if (!row.client_reads) {
        client.is_ended = true;  // the client stops reading
      }
      const double started_at_ms = sidecar.loop.now();
      double drained_at_ms = 0;
      sidecar.server.drain([&] { drained_at_ms = sidecar.loop.now(); });
      while (drained_at_ms == 0 && sidecar.loop.now() < started_at_ms + 2500) {
        if (!output.is_complete()) endpoint.connections[0]->stream->write(output);
        sidecar.loop.run_once(5);
      }
      CHECK(drained_at_ms > 0);
      CHECK(drained_at_ms - started_at_ms < row.longest_deadline_ms + 700);
      CHECK(sidecar.dispatcher.in_flight() == 0);
      if (!row.status) continue;
      run_for(sidecar.loop, 5);
      REQUIRE(client.received.size() == 1);
      CHECK(client.received[0].status == row.status);
      CHECK(sidecar.counters.rpcs_failed == 1);
    }
}

TEST_CASE(
    "a second drain call has no effect and each half-sent or pipelined or waiting or connecting request ends "
    "once") {
  for (const bool has_long_deadline : {false, true}) {
    CAPTURE(has_long_deadline);
    SidecarHarness sidecar(customer_config(has_long_deadline, has_long_deadline, RetrySafety::non_idempotent),
                           {5000, 3000, 300}, 100, 64 << 20, has_long_deadline ? 400 : 150);
    FakeServer endpoint(sidecar.loop,
                        {served_response, "silent", served_response, served_response, served_response});
    StalledListener stalled;
    sidecar.upstreams.update_endpoint("a", address_text(endpoint.address));
    sidecar.dispatcher.update_endpoints(true, false, {make_endpoint("a")});
    TestConnection& half_sent = sidecar.connect_client();
    TestConnection& pipelined = sidecar.connect_client();
    TestConnection& waiting = sidecar.connect_client();
    TestConnection& connecting = sidecar.connect_client();
    const std::string text = rpc_request_text("read", 140);
    half_sent.send(text.substr(0, 30));
    pipelined.send(rpc_request_text("read", 140) + rpc_request_text("read", 140));
    REQUIRE(run_until(sidecar.loop, [&] { return pipelined.received.size() == 1; }));
    waiting.send(rpc_request_text("read", 140));
    sidecar.upstreams.update_endpoint("b", address_text(stalled.address));
    sidecar.dispatcher.update_endpoints(true, false, {make_endpoint("b")});
    connecting.send(rpc_request_text("read", 140));
    run_rounds(sidecar.loop);
    int drained_count = 0;
    int second_drained_count = 0;
    sidecar.server.drain([&] { ++drained_count; });
    sidecar.server.drain([&] { ++second_drained_count; });
    half_sent.send(text.substr(30));
    REQUIRE(run_until(sidecar.loop, [&] { return drained_count > 0; }));
    run_for(sidecar.loop, 5);
    CHECK(drained_count == 1);
    CHECK(second_drained_count == 0);
    for (const TestConnection* client : {&half_sent, &pipelined, &waiting, &connecting}) {
      CHECK(client->received.size() >= 1);
      CHECK(client->is_ended);
    }
    CHECK(sidecar.dispatcher.in_flight() == 0);
    CHECK(sidecar.counters.rpcs_received == sidecar.counters.rpcs_ok + sidecar.counters.rpcs_rejected +
                                                sidecar.counters.rpcs_failed +
                                                sidecar.counters.rpcs_abandoned);
  }
}

}  // namespace host
