// What is owed when the process is told to stop (docs/endings.md), on real sockets.
#include <doctest/doctest.h>

#include "support/parts.h"

using namespace host;

TEST_CASE(
    "told to stop: what rests is given back while the door is open, so that what crosses it has where to "
    "go") {
  for (const bool longer : {false, true}) {
    const int budget = longer ? 3900 : 140;
    SidecarHarness sidecar(customer_config(longer, longer, RetrySafety::non_idempotent), {5000, 60, 300});
    FakeServer endpoint(sidecar.loop, std::vector<std::string>(9, served_response));
    sidecar.update_endpoints(address_text(endpoint.address));
    TestConnection& rests = sidecar.connect_client();
    TestConnection& crosses = sidecar.connect_client();
    TestConnection& unread = sidecar.connect_client();
    for (TestConnection* client : {&rests, &crosses, &unread})
      CHECK(sidecar.status_of_request(*client, rpc_request_text("read", budget)) == 200);
    bool gone = false;
    unread.send(rpc_request_text("read", budget));  // in the kernel before the word
    sidecar.server.drain([&] { gone = true; });
    crosses.send(rpc_request_text("read", budget));  // crosses the closing
    REQUIRE(run_until(sidecar.loop,
                      [&] { return unread.received.size() == 2 && rests.is_ended && crosses.is_ended; }));
    CHECK(unread.received[1].status == 200);
    CHECK(crosses.received.size() == 1);
    // It is sent once more, over a new connection, as the protocol has it.
    TestConnection& once_more = sidecar.connect_client();
    CHECK(sidecar.status_of_request(once_more, rpc_request_text("read", budget)) == 200);
    CHECK_FALSE(once_more.received[0].keep_alive);
    CHECK_FALSE(gone);
    REQUIRE(run_until(sidecar.loop, [&] { return gone; }));
    CHECK(every_rpc_answered_once(sidecar));
  }
}

TEST_CASE("told to stop: who connected last of all may still ask, and has an answer") {
  SidecarHarness sidecar(customer_config(false, false, RetrySafety::non_idempotent), {5000, 60, 300});
  FakeServer endpoint(sidecar.loop, {served_response});
  sidecar.update_endpoints(address_text(endpoint.address));
  bool gone = false;
  sidecar.server.drain([&] { gone = true; });
  run_for(sidecar.loop, 440);
  TestConnection last(sidecar.loop, sidecar.client_budget, start_connect(sidecar.address),
                      response);  // in the backlog as the door is shut
  for (const double end = sidecar.loop.now() + 15; sidecar.loop.now() < end;) continue;
  run_rounds(sidecar.loop, 3);
  CHECK_FALSE(last.is_ended);
  last.send(rpc_request_text("read", 140));
  REQUIRE(run_until(sidecar.loop, [&] { return last.received.size() == 1; }));
  CHECK(last.received[0].status == 200);
  CHECK(run_until(sidecar.loop, [&] { return gone; }));
  CHECK(every_rpc_answered_once(sidecar));
}

TEST_CASE("told to stop: all has ended before the kill, whatever endpoints and clients do") {
  struct {
    const char* what;
    double deadline;  // the longest that the settings tell
    int budget;
    std::string says;  // the endpoint, if it says anything
    bool reads;        // the client
    int status;
  } table[] = {
      {"an endpoint that hangs, a budget past the longest deadline", 200, 9000, "", true, 502},
      {"an endpoint that hangs, usual times", 200, 150, "", true, 502},
      {"an answer that never ends", 200, 9000, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc", true, 502},
      {"a long answer that is read by nobody", 200, 150, "long", false, 0},
  };
  for (const bool cancels : {false, true})
    for (const auto& row : table) {
      CAPTURE(std::string(row.what));
      LoadBalancerConfig where = customer_config(true, cancels, RetrySafety::non_idempotent);
      for (MethodConfig& m : where.methods) m.latency_objective_ms = row.budget;
      SidecarHarness sidecar(where, {5000, 60, 300}, 100, 64 << 20, row.deadline);
      FakeServer endpoint(sidecar.loop, {"silent"});
      sidecar.update_endpoints(address_text(endpoint.address));
      TestConnection& client = sidecar.connect_client();
      client.send(rpc_request_text("read", row.budget));
      REQUIRE(run_until(sidecar.loop, [&] { return endpoint.request_targets.size() == 1; }));
      WriteBuffer flood;
      const std::string body(20 << 20, 'y');
      if (row.says == "long") {
        flood.append_owned("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n");
        flood.append_borrowed(body);
      } else {
        flood.append_owned(row.says);
      }
      if (!row.reads) {
        client.is_ended = true;  // it looks at nothing any more
      }
      const double told = sidecar.loop.now();
      double gone = 0;
      sidecar.server.drain([&] { gone = sidecar.loop.now(); });
      while (gone == 0 && sidecar.loop.now() < told + 2500) {
        if (!flood.is_complete()) endpoint.connections[0]->stream->write(flood);
        sidecar.loop.run_once(5);
      }
      CHECK(gone > 0);
      CHECK(gone - told < row.deadline + 700);
      CHECK(sidecar.dispatcher.in_flight() == 0);
      if (!row.status) continue;
      run_for(sidecar.loop, 5);
      REQUIRE(client.received.size() == 1);
      CHECK(client.received[0].status == row.status);
      CHECK(sidecar.counters.rpcs_failed == 1);
    }
}

TEST_CASE(
    "told to stop twice, with requests half sent, pipelined, waiting and connecting: each has one end") {
  for (const bool longer : {false, true}) {
    CAPTURE(longer);
    SidecarHarness sidecar(customer_config(longer, longer, RetrySafety::non_idempotent), {5000, 3000, 300},
                           100, 64 << 20, longer ? 400 : 150);
    FakeServer endpoint(sidecar.loop,
                        {served_response, "silent", served_response, served_response, served_response});
    StalledListener late;
    sidecar.upstreams.update_endpoint("a", address_text(endpoint.address));
    sidecar.dispatcher.update_endpoints(true, false, {make_endpoint("a")});
    TestConnection& half = sidecar.connect_client();
    TestConnection& pipelined = sidecar.connect_client();
    TestConnection& waits = sidecar.connect_client();
    TestConnection& connects = sidecar.connect_client();
    const std::string text = rpc_request_text("read", 140);
    half.send(text.substr(0, 30));
    pipelined.send(rpc_request_text("read", 140) + rpc_request_text("read", 140));
    REQUIRE(run_until(sidecar.loop, [&] { return pipelined.received.size() == 1; }));
    waits.send(rpc_request_text("read", 140));
    sidecar.upstreams.update_endpoint("b", address_text(late.address));
    sidecar.dispatcher.update_endpoints(true, false, {make_endpoint("b")});
    connects.send(rpc_request_text("read", 140));
    run_rounds(sidecar.loop);
    int gone = 0;
    int once_more = 0;
    sidecar.server.drain([&] { ++gone; });
    sidecar.server.drain([&] { ++once_more; });
    half.send(text.substr(30));
    REQUIRE(run_until(sidecar.loop, [&] { return gone > 0; }));
    run_for(sidecar.loop, 5);
    CHECK(gone == 1);
    CHECK(once_more == 0);
    for (const TestConnection* client : {&half, &pipelined, &waits, &connects}) {
      CHECK(client->received.size() >= 1);
      CHECK(client->is_ended);
    }
    CHECK(sidecar.dispatcher.in_flight() == 0);
    CHECK(sidecar.counters.rpcs_received == sidecar.counters.rpcs_ok + sidecar.counters.rpcs_rejected +
                                                sidecar.counters.rpcs_failed +
                                                sidecar.counters.rpcs_abandoned);
  }
}
