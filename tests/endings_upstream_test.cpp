// What is owed when a response, a connection or the room for one ends (docs/endings.md), on real sockets.
#include <doctest/doctest.h>

#include "support/parts.h"

using namespace host;

TEST_CASE(
    "an RPC is owed its own answer: where endpoints answer twice, the late one before is not given to it") {
  enum class Seen { behind_the_answer, at_rest, at_reuse };
  for (const Seen first : {Seen::behind_the_answer, Seen::at_rest, Seen::at_reuse})
    for (const double late : {1.0, 4.0, 8.0}) {
      SidecarHarness sidecar(customer_config(true, true, RetrySafety::non_idempotent), {5000, 60, 300});
      const std::string one = response_text(200, "one");
      const std::string two = response_text(200, "two");
      FakeServer endpoint(sidecar.loop, {first == Seen::behind_the_answer ? one + one : one, two, "silent"});
      sidecar.update_endpoints(address_text(endpoint.address));
      TestConnection& client = sidecar.connect_client();
      CHECK(sidecar.status_of_request(client, rpc_request_text("read", 3900)) == 200);
      // That one of them does it is learned from the first; nobody waits for an answer there.
      if (first != Seen::behind_the_answer) endpoint.connections[0]->send(one);
      if (first == Seen::at_rest) run_for(sidecar.loop, 5);
      CHECK(sidecar.status_of_request(client, rpc_request_text("read", 3900)) == 200);
      CHECK(client.received.back().body() == "two");
      client.send(rpc_request_text("read", 3900));
      REQUIRE(run_until(sidecar.loop, [&] { return endpoint.request_targets.size() == 3; }));
      run_for(sidecar.loop, late);
      endpoint.connections[1]->send(two);
      run_for(sidecar.loop, 10);
      CHECK(client.received.size() == 2);
      endpoint.connections.back()->send(response_text(200, "three"));
      REQUIRE(run_until(sidecar.loop, [&] { return client.received.size() == 3; }));
      CHECK(client.received[2].body() == "three");
      CHECK(run_until(sidecar.loop,
                      [&] { return endpoint.connections[1]->is_ended; }));  // it is not trusted again
    }
}

TEST_CASE("a whole answer and a reset in one read: the answer is passed on, the connection not used again") {
  for (const bool by_reset : {false, true}) {
    SidecarHarness sidecar(customer_config(true, true, RetrySafety::non_idempotent), {5000, 60, 300});
    FakeServer endpoint(sidecar.loop, {"silent", served_response});
    sidecar.update_endpoints(address_text(endpoint.address));
    TestConnection& client = sidecar.connect_client();
    client.send(rpc_request_text("read", 3900));
    REQUIRE(run_until(sidecar.loop, [&] { return endpoint.request_targets.size() == 1; }));
    endpoint.connections[0]->send(served_response);
    if (by_reset)
      endpoint.connections[0]->stream->shutdown_write();
    else
      endpoint.connections[0]->close();
    REQUIRE(run_until(sidecar.loop, [&] { return client.received.size() == 1; }));
    CHECK(client.received[0].status == 200);
    CHECK(sidecar.status_of_request(client, rpc_request_text("read", 3900)) == 200);
    CHECK(endpoint.connections.size() == 2);
    CHECK(every_rpc_answered_once(sidecar));
  }
}

TEST_CASE(
    "no descriptor left for a pick, or for its repeat: pushed back at once, and no fault of the endpoint's") {
  for (const bool repeat : {false, true}) {
    CAPTURE(repeat);
    SidecarHarness sidecar(customer_config(true, true, RetrySafety::idempotent), {5000, 60, 300}, 3);
    FakeServer endpoint(sidecar.loop, {"silent"});
    sidecar.update_endpoints(address_text(endpoint.address));
    TestConnection& first = sidecar.connect_client();
    TestConnection& other = sidecar.connect_client();
    first.send(rpc_request_text("read", 3900));
    REQUIRE(run_until(sidecar.loop, [&] { return endpoint.request_targets.size() == 1; }));
    REQUIRE(sidecar.budget.available() == 0);
    TestConnection& asks = repeat ? first : other;
    if (repeat) {
      // What the pick frees, a third client takes in the same breath.
      sidecar.budget.limit = 2;
      endpoint.connections[0]->close();
    } else {
      other.send(rpc_request_text("read", 3900));
    }
    REQUIRE(run_until(sidecar.loop, [&] { return asks.received.size() == 1; }));
    CHECK(asks.received[0].status == 503);
    CHECK(attempts_with_outcome(sidecar, AttemptOutcome::client_error) > 0);
    CHECK(attempts_with_outcome(sidecar, AttemptOutcome::connect_failed) == 0);
    CHECK(endpoint.request_targets.size() == 1);
  }
}

TEST_CASE("room is not made at the cost of a request that is here and not read yet") {
  SidecarHarness sidecar(customer_config(true, true, RetrySafety::idempotent), {5000, 60, 300});
  FakeServer endpoint(sidecar.loop, {served_response, served_response, served_response, served_response});
  sidecar.update_endpoints(address_text(endpoint.address));
  TestConnection& oldest = sidecar.connect_client();
  TestConnection& other = sidecar.connect_client();
  TestConnection& fresh = sidecar.connect_client();
  CHECK(sidecar.status_of_request(oldest, rpc_request_text("read", 3900)) == 200);
  CHECK(sidecar.status_of_request(other, rpc_request_text("read", 3900)) == 200);
  run_for(sidecar.loop, 30);  // also long enough for who said nothing
  oldest.send(rpc_request_text("read", 3900));
  fresh.send(rpc_request_text("read", 3900));
  CHECK(sidecar.server.close_idle_connection());        // the other one
  CHECK_FALSE(sidecar.server.close_idle_connection());  // who waits unread is neither idle nor silent
  REQUIRE(run_until(sidecar.loop, [&] { return oldest.received.size() == 2 && fresh.received.size() == 1; }));
  CHECK(oldest.received[1].status == 200);
  CHECK(fresh.received[0].status == 200);
  CHECK(run_until(sidecar.loop, [&] { return other.is_ended; }));
  CHECK(every_rpc_answered_once(sidecar));
}
