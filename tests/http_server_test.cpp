// The HTTP server: what clients do, its limits, and its graceful shutdown.
#include "proxy/http_server.h"

#include <doctest/doctest.h>
#include <sys/resource.h>

#include <algorithm>

#include "support/host.h"
#include "support/parts.h"

using namespace host;

TEST_CASE("what is no RPC is answered at once, and nothing is sent on") {
  struct {
    std::string text;
    int status;
    bool closes;
  } table[] = {
      {"GET /-/ready HTTP/1.1\r\n\r\n", 200, false},
      {"GET /-/counters HTTP/1.1\r\n\r\n", 200, false},
      {"GET /-/else HTTP/1.1\r\n\r\n", 404, true},
      {rpc_request_text("unheard"), 404, true},
      {"GET /read HTTP/1.1\r\nX-Budget: 5m\r\n\r\n", 400, true},
      {"GET /read HTTP/1.1\r\nX-Call-Id: 1\r\nX-Budget: soon\r\n\r\n", 400, true},
      {"GET /read HTTP/1.1\r\nX-Call-Id: 1\r\nX-Call-Id: 2\r\nX-Budget: 5m\r\n\r\n", 400, true},
      {"GET /read HTTP/1.1\r\nX-Call-Id: 1\r\nX-Budget: 5m\r\nX-Budget: 9m\r\n\r\n", 400, true},
      {"GET /vital HTTP/1.1\r\nX-Call-Id: 1\r\nX-Call-Class: read\r\nX-Budget: 5m\r\n\r\n", 400, true},
      {"DELETE /read HTTP/1.1\r\nX-Call-Id: 1\r\nX-Budget: 5m\r\n\r\n", 405, true},
      {"nonsense\r\n\r\n", 400, true},
      {"POST /read HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", 400, true},
  };
  for (const auto& row : table) {
    CAPTURE(row.text);
    SidecarHarness sidecar;
    FakeServer endpoint(sidecar.loop, {served_response});
    sidecar.update_endpoints(address_text(endpoint.address));
    TestConnection& client = sidecar.connect_client();
    CHECK(sidecar.status_of_request(client, row.text) == row.status);
    run_for(sidecar.loop, 5);
    CHECK(client.is_ended == row.closes);
    CHECK(endpoint.request_targets.empty());
    CHECK(sidecar.counters.rpcs_received == 0);
  }
}

TEST_CASE("an id that is open is refused to whoever else brings it, and free again afterwards") {
  SidecarHarness sidecar;
  FakeServer endpoint(sidecar.loop, {"silent", served_response});
  sidecar.update_endpoints(address_text(endpoint.address));
  TestConnection &first = sidecar.connect_client(), &other = sidecar.connect_client();
  first.send(rpc_request_text("read", 300, 7));
  REQUIRE(run_until(sidecar.loop, [&] { return endpoint.request_targets.size() == 1; }));
  CHECK(sidecar.status_of_request(other, rpc_request_text("read", 300, 7)) == 409);
  CHECK(endpoint.request_targets.size() == 1);
  first.close();
  REQUIRE(run_until(sidecar.loop, [&] { return sidecar.counters.rpcs_abandoned == 1; }));
  CHECK(sidecar.status_of_request(sidecar.connect_client(), rpc_request_text("read", 300, 7)) == 200);
}

TEST_CASE("who says nothing, or half, has an error or a close within 3 s; who was served may rest") {
  SidecarHarness sidecar;
  FakeServer endpoint(sidecar.loop, {served_response});
  sidecar.update_endpoints(address_text(endpoint.address));
  TestConnection &served_one = sidecar.connect_client(), &silent = sidecar.connect_client(),
                 &half = sidecar.connect_client(), &late_half = sidecar.connect_client();
  CHECK(sidecar.status_of_request(served_one, rpc_request_text()) == 200);
  half.send("GET /read HT");
  run_for(sidecar.loop, 1500);
  CHECK_FALSE(silent.is_ended);
  late_half.send("POST /read HTTP/1.1\r\nContent-Length: 9\r\n\r\nabc");
  run_for(sidecar.loop, 1450);
  CHECK(silent.is_ended);
  CHECK(silent.received.empty());
  for (const TestConnection* client : {&half, &late_half})
    CHECK((client->is_ended && client->received.size() == 1 && client->received[0].status == 408));
  CHECK_FALSE(served_one.is_ended);
  CHECK(run_until(sidecar.loop, [&] { return sidecar.budget.open_count == 2; }));  // with one to the endpoint
}

TEST_CASE("a flood of silent clients costs usual ones neither their place nor their answers") {
  SidecarHarness sidecar(RetrySafety::idempotent, 40);
  FakeServer endpoint(sidecar.loop, {served_response, served_response, served_response});
  sidecar.update_endpoints(address_text(endpoint.address));
  TestConnection& usual = sidecar.connect_client();
  CHECK(sidecar.status_of_request(usual, rpc_request_text()) == 200);
  for (int i = 0; i < 60; ++i) {
    sidecar.connect_client();
    run_for(sidecar.loop, 5);
  }
  CHECK(sidecar.status_of_request(usual, rpc_request_text()) == 200);
  CHECK(sidecar.status_of_request(sidecar.connect_client(), rpc_request_text()) == 200);
  CHECK(sidecar.counters.resource_rejections == 0);
}

TEST_CASE("clients that ask once and stay, more than there is room for, are all answered") {
  SidecarHarness sidecar(RetrySafety::idempotent, 40);
  FakeServer endpoint(sidecar.loop, std::vector<std::string>(90, served_response));
  sidecar.update_endpoints(address_text(endpoint.address));
  for (int i = 0; i < 90; ++i)
    CHECK(sidecar.status_of_request(sidecar.connect_client(), rpc_request_text()) == 200);
  CHECK(sidecar.counters.resource_rejections == 0);
  // Half of the room may rest; beyond it the young keep their connection no longer than their answer takes.
  CHECK(std::count_if(sidecar.connections.begin(), sidecar.connections.end(),
                      [](const auto& s) { return s->received[0].keep_alive; }) == 20);
  CHECK(run_until(sidecar.loop, [&] { return sidecar.budget.open_count == 21; }));
}

TEST_CASE("a body of 60 MB is refused at its head, thrown away as it comes, and costs others nothing") {
  SidecarHarness sidecar;
  FakeServer endpoint(sidecar.loop, {served_response});
  sidecar.update_endpoints(address_text(endpoint.address));
  TestConnection &rude = sidecar.connect_client(), &usual = sidecar.connect_client();
  std::string rest(60 << 20, 'x');
  WriteBuffer body;
  body.append_borrowed("POST /read HTTP/1.1\r\nContent-Length: 62914560\r\n\r\n");
  body.append_borrowed(rest);
  CHECK(rude.stream->write(body));
  CHECK(sidecar.status_of_request(usual, rpc_request_text()) == 200);
  CHECK(run_until(sidecar.loop,
                  [&] { return !rude.stream->write(body) || body.is_complete() || rude.is_ended; }));
  REQUIRE(rude.received.size() == 1);
  CHECK(rude.received[0].status == 413);
}

TEST_CASE("requests in one breath are answered in order, split anywhere") {
  const std::string two = rpc_request_text() + rpc_request_text("vital");
  for (std::size_t at = 0; at < two.size(); at += 7) {
    SidecarHarness sidecar;
    FakeServer endpoint(sidecar.loop, {response_text(200, "one"), response_text(200, "two")});
    sidecar.update_endpoints(address_text(endpoint.address));
    TestConnection& client = sidecar.connect_client();
    client.send(two.substr(0, at));
    run_for(sidecar.loop, 1);
    client.send(two.substr(at));
    REQUIRE(run_until(sidecar.loop, [&] { return client.received.size() == 2; }));
    CHECK(client.received[0].body() == "one");
    CHECK(client.received[1].body() == "two");
  }
}

TEST_CASE("few descriptors: idle connections go first, then RPCs are pushed back") {
  SidecarHarness sidecar(RetrySafety::idempotent, 8);
  FakeServer endpoint(sidecar.loop,
                      {"silent", "silent", "silent", "silent", "silent", "silent", "silent", "silent"});
  sidecar.update_endpoints(address_text(endpoint.address));
  for (const char letter : std::string("abcdefgh"))
    sidecar.upstreams.update_endpoint(std::string(1, letter), address_text(endpoint.address));
  sidecar.dispatcher.update_endpoints(true, false, make_endpoints('a', 'h'));
  for (int i = 0; i < 4; ++i) sidecar.connect_client();
  run_for(sidecar.loop, 5);
  CHECK(sidecar.budget.open_count == 4);
  for (int i = 0; i < 4; ++i) sidecar.connections[i]->send(rpc_request_text());  // each needs another one
  run_for(sidecar.loop, 5);
  CHECK(sidecar.budget.open_count == 8);
  TestConnection& more = sidecar.connect_client();
  more.send(rpc_request_text());
  CHECK(run_until(sidecar.loop, [&] {
    return sidecar.counters.rpcs_ok + sidecar.counters.rpcs_rejected + sidecar.counters.rpcs_failed >= 4;
  }));
  CHECK(run_until(sidecar.loop, [&] { return more.received.size() == 1 || more.is_ended; }));
  CHECK(sidecar.budget.open_count <= 8);
  // Room that we have not is no failure of the endpoint's.
  CHECK(sidecar.counters.attempts[static_cast<std::size_t>(AttemptOutcome::connect_failed)] == 0);
  CHECK(more.received.size() == 1);
  CHECK(more.received.back().status == 503);
}

TEST_CASE("little memory: RPCs are pushed back, nothing is sent") {
  SidecarHarness sidecar(RetrySafety::idempotent, 100, {5000, 60}, 1);
  FakeServer endpoint(sidecar.loop, {served_response});
  sidecar.update_endpoints(address_text(endpoint.address));
  CHECK(sidecar.status_of_request(sidecar.connect_client(), rpc_request_text()) == 503);
  CHECK(sidecar.connections[0]->received[0].find_header("Retry-After") == "1.000");
  CHECK(sidecar.counters.resource_rejections == 1);
  CHECK(endpoint.request_targets.empty());
}

TEST_CASE("an accept that failed for want of descriptors is tried again") {
  SidecarHarness sidecar;
  FakeServer endpoint(sidecar.loop, {served_response});
  sidecar.update_endpoints(address_text(endpoint.address));
  rlimit before;
  REQUIRE(::getrlimit(RLIMIT_NOFILE, &before) == 0);
  TestConnection& client = sidecar.connect_client();
  rlimit none = before;
  none.rlim_cur = 1;
  FileDescriptor late = start_connect(sidecar.address);
  ::setrlimit(RLIMIT_NOFILE, &none);
  run_for(sidecar.loop, 3);  // the edge is spent on an accept that fails
  ::setrlimit(RLIMIT_NOFILE, &before);
  TestConnection after(sidecar.loop, sidecar.client_budget, std::move(late), response);
  CHECK(sidecar.status_of_request(client, rpc_request_text()) == 200);
  CHECK(sidecar.status_of_request(after, "GET /-/ready HTTP/1.1\r\n\r\n") == 200);
}

TEST_CASE("told to stop: takes on what comes for 0.4 s, answers all with a close, then goes") {
  SidecarHarness sidecar;
  FakeServer endpoint(sidecar.loop, {"silent", served_response, served_response});
  sidecar.update_endpoints(address_text(endpoint.address));
  TestConnection &held = sidecar.connect_client(), &idle = sidecar.connect_client();
  held.send(rpc_request_text("read", 1200));
  REQUIRE(run_until(sidecar.loop, [&] { return endpoint.request_targets.size() == 1; }));
  bool gone = false;
  sidecar.server.drain([&] { gone = true; });
  CHECK(sidecar.status_of_request(idle, rpc_request_text()) == 200);
  CHECK_FALSE(idle.received.back().keep_alive);
  CHECK(sidecar.status_of_request(sidecar.connect_client(), "GET /-/ready HTTP/1.1\r\n\r\n") == 503);
  run_for(sidecar.loop, 400);
  CHECK(sidecar.status_of_request(sidecar.connect_client(), rpc_request_text()) ==
        200);  // a new connection, late
  CHECK(run_until(sidecar.loop, [&] { return held.received.size() == 1; }));
  CHECK(run_until(sidecar.loop, [&] { return gone; }));
  CHECK(sidecar.dispatcher.in_flight() == 0);
  CHECK(sidecar.counters.rpcs_received == sidecar.counters.rpcs_ok + sidecar.counters.rpcs_rejected);
}

TEST_CASE("told to stop: the backlog is emptied before the listener is closed") {
  SidecarHarness sidecar(RetrySafety::idempotent, 600);
  bool gone = false;
  sidecar.server.drain([&] { gone = true; });
  for (int i = 0; i < 220; ++i) {  // while the loop stands still, more than some rounds accept
    sidecar.connections.push_back(std::make_unique<TestConnection>(sidecar.loop, sidecar.client_budget,
                                                                   start_connect(sidecar.address), response));
    sidecar.connections.back()->send("GET /-/ready HTTP/1.1\r\n\r\n");
  }
  for (const double end = sidecar.loop.now() + 460; sidecar.loop.now() < end;) continue;
  CHECK(run_until(sidecar.loop, [&] { return gone; }));
  run_for(sidecar.loop, 5);
  CHECK(std::all_of(sidecar.connections.begin(), sidecar.connections.end(),
                    [](const auto& s) { return s->received.size() == 1; }));
}

TEST_CASE("told to stop: a request half sent may still be ended, but not for ever") {
  for (const bool ends : {true, false}) {
    SidecarHarness sidecar;
    FakeServer endpoint(sidecar.loop, {served_response});
    sidecar.update_endpoints(address_text(endpoint.address));
    TestConnection& client = sidecar.connect_client();
    const std::string whole = rpc_request_text("read", 900);
    client.send(whole.substr(0, 20));
    run_for(sidecar.loop, 5);
    bool gone = false;
    sidecar.server.drain([&] { gone = true; });
    run_for(sidecar.loop, 480);
    if (ends) client.send(whole.substr(20));
    REQUIRE(run_until(sidecar.loop, [&] { return gone; }));
    run_for(sidecar.loop, 5);
    REQUIRE(client.received.size() == 1);
    CHECK(client.received[0].status == (ends ? 200 : 408));
  }
}
