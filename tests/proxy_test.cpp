#include <doctest/doctest.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <sstream>

#include "proxy/http_server.h"
#include "proxy/sidecar.h"
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
  for (const auto& t : table) {
    CAPTURE(std::string(t.what));
    SidecarHarness h(t.repeats);
    FakeServer endpoint(h.loop, t.script);
    h.update_endpoints(address_text(endpoint.address));
    CHECK(h.status_of_request(h.connect_client(), rpc_request_text()) == t.status);
    CHECK(endpoint.request_targets.size() == t.picks);
    CHECK(h.dispatcher.in_flight() == 0);
    CHECK(h.counters.rpcs_received == h.counters.rpcs_ok + h.counters.rpcs_rejected + h.counters.rpcs_failed);
    if (t.status == 200 && t.script.back() == served_response)
      CHECK(h.connections[0]->received[0].body() == "served");
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
  for (const auto& t : table) {
    CAPTURE(t.left);
    SidecarHarness h(RetrySafety::idempotent);
    FakeServer endpoint(h.loop, {error_response, served_response});
    h.update_endpoints(address_text(endpoint.address));
    double left = t.left;
    int wanted = 0;
    // The third: told that there is some, and stopped until its share was over.
    h.dispatcher.use_fleet_retry_quota({[&] { return left; },
                                        [&] {
                                          if (!t.granted) left = 0;
                                          return t.granted;
                                        },
                                        [&] { ++wanted; }});
    const double began = h.loop.now();
    CHECK(h.status_of_request(h.connect_client(), rpc_request_text()) == t.status);
    CHECK(h.loop.now() - began < 200);
    CHECK(endpoint.request_targets.size() == t.picks);
    CHECK(wanted == t.wanted);
    CHECK(h.dispatcher.in_flight() == 0);
  }
}

TEST_CASE("an endpoint that can't be connected to has run nothing") {
  SidecarHarness h(RetrySafety::non_idempotent);
  sockaddr_in nowhere = local_address(listen_on_loopback());  // closed again
  h.update_endpoints(address_text(nowhere));
  CHECK(h.status_of_request(h.connect_client(), rpc_request_text()) ==
        503);  // a pushback says that a retry is harmless
  CHECK(h.counters.attempts[static_cast<std::size_t>(AttemptOutcome::connect_failed)] > 0);
}

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
  for (const auto& t : table) {
    CAPTURE(t.text);
    SidecarHarness h;
    FakeServer endpoint(h.loop, {served_response});
    h.update_endpoints(address_text(endpoint.address));
    TestConnection& c = h.connect_client();
    CHECK(h.status_of_request(c, t.text) == t.status);
    run_for(h.loop, 5);
    CHECK(c.is_ended == t.closes);
    CHECK(endpoint.request_targets.empty());
    CHECK(h.counters.rpcs_received == 0);
  }
}

TEST_CASE("an id that is open is refused to whoever else brings it, and free again afterwards") {
  SidecarHarness h;
  FakeServer endpoint(h.loop, {"silent", served_response});
  h.update_endpoints(address_text(endpoint.address));
  TestConnection &first = h.connect_client(), &other = h.connect_client();
  first.send(rpc_request_text("read", 300, 7));
  REQUIRE(run_until(h.loop, [&] { return endpoint.request_targets.size() == 1; }));
  CHECK(h.status_of_request(other, rpc_request_text("read", 300, 7)) == 409);
  CHECK(endpoint.request_targets.size() == 1);
  first.close();
  REQUIRE(run_until(h.loop, [&] { return h.counters.rpcs_abandoned == 1; }));
  CHECK(h.status_of_request(h.connect_client(), rpc_request_text("read", 300, 7)) == 200);
}

TEST_CASE("who says nothing, or half, has an error or a close within 3 s; who was served may rest") {
  SidecarHarness h;
  FakeServer endpoint(h.loop, {served_response});
  h.update_endpoints(address_text(endpoint.address));
  TestConnection &served_one = h.connect_client(), &silent = h.connect_client(), &half = h.connect_client(),
                 &late_half = h.connect_client();
  CHECK(h.status_of_request(served_one, rpc_request_text()) == 200);
  half.send("GET /read HT");
  run_for(h.loop, 1500);
  CHECK_FALSE(silent.is_ended);
  late_half.send("POST /read HTTP/1.1\r\nContent-Length: 9\r\n\r\nabc");
  run_for(h.loop, 1450);
  CHECK(silent.is_ended);
  CHECK(silent.received.empty());
  for (const TestConnection* c : {&half, &late_half})
    CHECK((c->is_ended && c->received.size() == 1 && c->received[0].status == 408));
  CHECK_FALSE(served_one.is_ended);
  CHECK(run_until(h.loop, [&] { return h.budget.open_count == 2; }));  // with one to the endpoint
}

TEST_CASE("a flood of silent clients costs usual ones neither their place nor their answers") {
  SidecarHarness h(RetrySafety::idempotent, 40);
  FakeServer endpoint(h.loop, {served_response, served_response, served_response});
  h.update_endpoints(address_text(endpoint.address));
  TestConnection& usual = h.connect_client();
  CHECK(h.status_of_request(usual, rpc_request_text()) == 200);
  for (int i = 0; i < 60; ++i) {
    h.connect_client();
    run_for(h.loop, 5);
  }
  CHECK(h.status_of_request(usual, rpc_request_text()) == 200);
  CHECK(h.status_of_request(h.connect_client(), rpc_request_text()) == 200);
  CHECK(h.counters.resource_rejections == 0);
}

TEST_CASE("clients that ask once and stay, more than there is room for, are all answered") {
  SidecarHarness h(RetrySafety::idempotent, 40);
  FakeServer endpoint(h.loop, std::vector<std::string>(90, served_response));
  h.update_endpoints(address_text(endpoint.address));
  for (int i = 0; i < 90; ++i) CHECK(h.status_of_request(h.connect_client(), rpc_request_text()) == 200);
  CHECK(h.counters.resource_rejections == 0);
  // Half of the room may rest; beyond it the young keep their connection no longer than their answer takes.
  CHECK(std::count_if(h.connections.begin(), h.connections.end(),
                      [](const auto& s) { return s->received[0].keep_alive; }) == 20);
  CHECK(run_until(h.loop, [&] { return h.budget.open_count == 21; }));
}

TEST_CASE("a body of 60 MB is refused at its head, thrown away as it comes, and costs others nothing") {
  SidecarHarness h;
  FakeServer endpoint(h.loop, {served_response});
  h.update_endpoints(address_text(endpoint.address));
  TestConnection &rude = h.connect_client(), &usual = h.connect_client();
  std::string rest(60 << 20, 'x');
  WriteBuffer body;
  body.append_borrowed("POST /read HTTP/1.1\r\nContent-Length: 62914560\r\n\r\n");
  body.append_borrowed(rest);
  CHECK(rude.stream->write(body));
  CHECK(h.status_of_request(usual, rpc_request_text()) == 200);
  CHECK(run_until(h.loop, [&] { return !rude.stream->write(body) || body.is_complete() || rude.is_ended; }));
  REQUIRE(rude.received.size() == 1);
  CHECK(rude.received[0].status == 413);
}

TEST_CASE("a connection to an endpoint that has gone or moved is not used again") {
  for (const bool moves : {false, true}) {
    SidecarHarness h;
    FakeServer before(h.loop, {"silent", served_response}), after(h.loop, {served_response});
    h.upstreams.update_endpoint("a", address_text(before.address));
    int ended = 0;
    const auto exchange = [&](const char* server, AttemptOutcome how) {
      WriteBuffer what;
      what.append_owned("GET / HTTP/1.1\r\n\r\n");
      h.upstreams.start_exchange(server, std::move(what), 1000,
                                 {[&, how](UpstreamPool::ExchangeResult r) { ended += r.outcome == how; }});
    };
    exchange("a", AttemptOutcome::ok);
    REQUIRE(run_until(h.loop, [&] { return before.request_targets.size() == 1; }));
    if (moves) {
      h.upstreams.update_endpoint("a", address_text(after.address));
    } else {
      h.upstreams.retain_endpoints({make_endpoint("b")});
      h.upstreams.update_endpoint("b", address_text(before.address));  // a new one at its address
    }
    before.connections[0]->send(served_response);
    REQUIRE(run_until(h.loop, [&] { return ended == 1; }));
    exchange(moves ? "a" : "b", AttemptOutcome::ok);
    if (!moves) exchange("a", AttemptOutcome::connect_failed);
    CHECK(run_until(h.loop, [&] { return ended == (moves ? 2 : 3); }));
    CHECK(before.connections.size() == (moves ? 1 : 2));
    CHECK(after.connections.size() == (moves ? 1 : 0));
  }
}

TEST_CASE("how many connections rest at an endpoint is told when it changes") {
  SidecarHarness h;
  FakeServer endpoint(h.loop, {served_response, served_response, served_response});
  std::string told;
  h.upstreams.on_idle_count_changed(
      [&](const std::string& server, std::size_t n) { told += server + std::to_string(n); });
  h.update_endpoints(address_text(endpoint.address));
  TestConnection& c = h.connect_client();
  CHECK(h.status_of_request(c, rpc_request_text()) == 200);
  CHECK(h.status_of_request(c, rpc_request_text()) == 200);
  CHECK(told == "a1a0a1");
  endpoint.connections[0]->close();
  CHECK(run_until(h.loop, [&] { return told == "a1a0a1a0"; }));
  CHECK(h.status_of_request(c, rpc_request_text()) == 200);
  h.update_endpoints(address_text(endpoint.address), EndpointState::gone);
  h.upstreams.remove_endpoint("a");
  CHECK(told == "a1a0a1a0a1a0");
}

TEST_CASE("how long a connect may take: as long as stated, until it is known how long they do take") {
  struct {
    const char* what;
    int up;
    double took;
    int not_up;
    double least, most;
  } table[] = {
      {"nothing known", 0, 0, 3, 250, 250},
      {"too few known", 7, 1, 0, 250, 250},
      {"quick ones", 8, 0.2, 0, 20, 20},
      {"slow ones", 100, 10, 0, 80, 80},
      {"slower than stated", 8, 300, 0, 250, 250},
      {"each failure in a row doubles it", 8, 1, 2, 80, 80},
      {"never past what is stated", 8, 1, 500, 250, 250},
  };
  for (const auto& row : table) {
    CAPTURE(std::string(row.what));
    ConnectTimeoutEstimator p(250);
    for (int i = 0; i < row.up; ++i) p.on_connected(row.took);
    for (int i = 0; i < row.not_up; ++i) p.on_connect_timed_out();
    CHECK(p.timeout_ms() >= row.least);
    CHECK(p.timeout_ms() <= row.most);
  }
  ConnectTimeoutEstimator p(250);
  p.on_connected(20);
  for (int i = 0; i < 100; ++i) p.on_connected(1);
  CHECK(p.timeout_ms() < 25);  // one slow connect is forgotten
  p.on_connect_timed_out(), p.on_connected(1);
  CHECK(p.timeout_ms() < 25);  // and so are failures, by the next that comes up
}

TEST_CASE("a machine that answers no connect costs an RPC little of its time, once connects are known") {
  SidecarHarness h(RetrySafety::non_idempotent, 100, {5000, 2000});
  FakeServer quick(h.loop, std::vector<std::string>(8, response_text(200, "", "Connection: close\r\n")));
  const FileDescriptor mute = listen_on_loopback();  // nobody accepts, and its queue is filled
  REQUIRE(::listen(mute.get(), 0) == 0);
  std::vector<FileDescriptor> filling;
  for (int i = 0; i < 8; ++i) filling.push_back(start_connect(local_address(mute)));
  h.upstreams.update_endpoint("quick", address_text(quick.address));
  h.upstreams.update_endpoint("mute", address_text(local_address(mute)));
  const auto exchange = [&](const char* server) {
    std::optional<UpstreamPool::ExchangeResult> got;
    WriteBuffer what;
    what.append_owned("GET / HTTP/1.1\r\n\r\n");
    h.upstreams.start_exchange(server, std::move(what), 1500,
                               {[&](UpstreamPool::ExchangeResult r) { got = std::move(r); }});
    CHECK(run_until(h.loop, [&] { return got.has_value(); }));
    return got.value_or(UpstreamPool::ExchangeResult{AttemptOutcome::client_error, 0, {}});
  };
  for (int i = 0; i < 8; ++i) CHECK(exchange("quick").outcome == AttemptOutcome::ok);
  const UpstreamPool::ExchangeResult r = exchange("mute");
  CHECK(r.outcome == AttemptOutcome::connect_failed);
  CHECK(r.duration_ms < 1000);  // a time-out of the exchange would take 1.5 s, the stated time 2 s
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
  for (const auto& t : table) {
    CAPTURE(std::string(t.what));
    SidecarHarness h(RetrySafety::non_idempotent, 100, {t.idle, 60});
    FakeServer endpoint(h.loop, {served_response, served_response});
    h.update_endpoints(address_text(endpoint.address));
    TestConnection& c = h.connect_client();
    CHECK(h.status_of_request(c, rpc_request_text()) == 200);
    if (t.closes) endpoint.connections[0]->close();
    run_for(h.loop, t.wait);
    CHECK(h.status_of_request(c, rpc_request_text()) == 200);
    CHECK(endpoint.connections.size() == t.connections);
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
  for (const auto& t : table) {
    CAPTURE(t.answer);
    SidecarHarness h(RetrySafety::non_idempotent);
    FakeServer endpoint(h.loop, {t.answer, response_text(200, "next")});
    h.update_endpoints(address_text(endpoint.address));
    TestConnection& c = h.connect_client();
    CHECK(h.status_of_request(c, rpc_request_text()) == 200);
    CHECK(h.status_of_request(c, rpc_request_text()) == 200);
    REQUIRE(c.received.size() == 2);
    CHECK(c.received[0].body() == "served");
    CHECK(c.received[1].body() == "next");
    CHECK(endpoint.connections.size() == t.connections);
  }
}

TEST_CASE("a connection closed in the same breath is not written to") {
  SidecarHarness h(RetrySafety::non_idempotent);
  FakeServer endpoint(h.loop, {served_response, served_response});
  h.update_endpoints(address_text(endpoint.address));
  TestConnection& c = h.connect_client();
  CHECK(h.status_of_request(c, rpc_request_text()) == 200);
  run_for(h.loop, 5);
  c.send(rpc_request_text());
  // The pool hears of it in the same batch, or after the RPC.
  endpoint.connections[0]->close();
  CHECK(run_until(h.loop, [&] { return c.received.size() == 2; }));
  CHECK(c.received.back().status == 200);
}

TEST_CASE("a moved endpoint is met at its new address, one that is gone not at all") {
  SidecarHarness h;
  FakeServer before(h.loop, {served_response}), after(h.loop, {served_response});
  h.update_endpoints(address_text(before.address));
  TestConnection& c = h.connect_client();
  CHECK(h.status_of_request(c, rpc_request_text()) == 200);
  h.update_endpoints(address_text(after.address));
  CHECK(h.status_of_request(c, rpc_request_text()) == 200);
  CHECK(after.request_targets.size() == 1);
  h.update_endpoints(address_text(after.address), EndpointState::draining);
  CHECK(h.status_of_request(c, rpc_request_text()) == 503);
  CHECK(after.request_targets.size() == 1);
}

TEST_CASE("a client that closes has left: its pick is given up") {
  SidecarHarness h;
  FakeServer endpoint(h.loop, {"silent"});
  h.update_endpoints(address_text(endpoint.address));
  TestConnection& c = h.connect_client();
  c.send(rpc_request_text());
  REQUIRE(run_until(h.loop, [&] { return endpoint.request_targets.size() == 1; }));
  c.close();
  CHECK(
      run_until(h.loop, [&] { return h.counters.rpcs_abandoned == 1 && endpoint.connections[0]->is_ended; }));
  CHECK(h.dispatcher.in_flight() == 0);
}

TEST_CASE("requests in one breath are answered in order, split anywhere") {
  const std::string two = rpc_request_text() + rpc_request_text("vital");
  for (std::size_t at = 0; at < two.size(); at += 7) {
    SidecarHarness h;
    FakeServer endpoint(h.loop, {response_text(200, "one"), response_text(200, "two")});
    h.update_endpoints(address_text(endpoint.address));
    TestConnection& c = h.connect_client();
    c.send(two.substr(0, at));
    run_for(h.loop, 1);
    c.send(two.substr(at));
    REQUIRE(run_until(h.loop, [&] { return c.received.size() == 2; }));
    CHECK(c.received[0].body() == "one");
    CHECK(c.received[1].body() == "two");
  }
}

TEST_CASE("an answer keeps the deadline, also where nothing answers") {
  for (const char* method : {"read", "vital"}) {
    SidecarHarness h(RetrySafety::non_idempotent);
    FakeServer endpoint(h.loop, {"silent"});
    h.update_endpoints(address_text(endpoint.address));
    const double began = h.loop.now();
    CHECK(h.status_of_request(h.connect_client(), rpc_request_text(method, 60)) == 502);
    CHECK(h.loop.now() - began < 90);  // the latency target is 100
  }
}

TEST_CASE("the budget counts from the client's sending, also where the sidecar comes to read it late") {
  SidecarHarness h(RetrySafety::non_idempotent);
  FakeServer endpoint(h.loop, {"silent"});
  h.update_endpoints(address_text(endpoint.address));
  TestConnection& c = h.connect_client();
  run_for(h.loop, 5);
  const double began = h.loop.now();
  c.send(rpc_request_text("read", 120));
  while (h.loop.now() < began + 100) continue;  // the loop stands still
  CHECK(run_until(h.loop, [&] { return c.received.size() == 1; }));
  CHECK(h.loop.now() - began < 160);  // 200 if it counted from the reading
}

TEST_CASE("few descriptors: idle connections go first, then RPCs are pushed back") {
  SidecarHarness h(RetrySafety::idempotent, 8);
  FakeServer endpoint(h.loop,
                      {"silent", "silent", "silent", "silent", "silent", "silent", "silent", "silent"});
  h.update_endpoints(address_text(endpoint.address));
  for (const char c : std::string("abcdefgh"))
    h.upstreams.update_endpoint(std::string(1, c), address_text(endpoint.address));
  h.dispatcher.update_endpoints(true, false, make_endpoints('a', 'h'));
  for (int i = 0; i < 4; ++i) h.connect_client();
  run_for(h.loop, 5);
  CHECK(h.budget.open_count == 4);
  for (int i = 0; i < 4; ++i) h.connections[i]->send(rpc_request_text());  // each needs another one
  run_for(h.loop, 5);
  CHECK(h.budget.open_count == 8);
  TestConnection& more = h.connect_client();
  more.send(rpc_request_text());
  CHECK(run_until(
      h.loop, [&] { return h.counters.rpcs_ok + h.counters.rpcs_rejected + h.counters.rpcs_failed >= 4; }));
  CHECK(run_until(h.loop, [&] { return more.received.size() == 1 || more.is_ended; }));
  CHECK(h.budget.open_count <= 8);
  // Room that we have not is no failure of the endpoint's.
  CHECK(h.counters.attempts[static_cast<std::size_t>(AttemptOutcome::connect_failed)] == 0);
  CHECK(more.received.size() == 1);
  CHECK(more.received.back().status == 503);
}

TEST_CASE("little memory: RPCs are pushed back, nothing is sent") {
  SidecarHarness h(RetrySafety::idempotent, 100, {5000, 60}, 1);
  FakeServer endpoint(h.loop, {served_response});
  h.update_endpoints(address_text(endpoint.address));
  CHECK(h.status_of_request(h.connect_client(), rpc_request_text()) == 503);
  CHECK(h.connections[0]->received[0].find_header("Retry-After") == "1.000");
  CHECK(h.counters.resource_rejections == 1);
  CHECK(endpoint.request_targets.empty());
}

TEST_CASE("an accept that failed for want of descriptors is tried again") {
  SidecarHarness h;
  FakeServer endpoint(h.loop, {served_response});
  h.update_endpoints(address_text(endpoint.address));
  rlimit before;
  REQUIRE(::getrlimit(RLIMIT_NOFILE, &before) == 0);
  TestConnection& c = h.connect_client();
  rlimit none = before;
  none.rlim_cur = 1;
  FileDescriptor late = start_connect(h.address);
  ::setrlimit(RLIMIT_NOFILE, &none);
  run_for(h.loop, 3);  // the edge is spent on an accept that fails
  ::setrlimit(RLIMIT_NOFILE, &before);
  TestConnection after(h.loop, h.client_budget, std::move(late), response);
  CHECK(h.status_of_request(c, rpc_request_text()) == 200);
  CHECK(h.status_of_request(after, "GET /-/ready HTTP/1.1\r\n\r\n") == 200);
}

TEST_CASE("told to stop: takes on what comes for 0.4 s, answers all with a close, then goes") {
  SidecarHarness h;
  FakeServer endpoint(h.loop, {"silent", served_response, served_response});
  h.update_endpoints(address_text(endpoint.address));
  TestConnection &held = h.connect_client(), &idle = h.connect_client();
  held.send(rpc_request_text("read", 1200));
  REQUIRE(run_until(h.loop, [&] { return endpoint.request_targets.size() == 1; }));
  bool gone = false;
  h.server.drain([&] { gone = true; });
  CHECK(h.status_of_request(idle, rpc_request_text()) == 200);
  CHECK_FALSE(idle.received.back().keep_alive);
  CHECK(h.status_of_request(h.connect_client(), "GET /-/ready HTTP/1.1\r\n\r\n") == 503);
  run_for(h.loop, 400);
  CHECK(h.status_of_request(h.connect_client(), rpc_request_text()) == 200);  // a new connection, late
  CHECK(run_until(h.loop, [&] { return held.received.size() == 1; }));
  CHECK(run_until(h.loop, [&] { return gone; }));
  CHECK(h.dispatcher.in_flight() == 0);
  CHECK(h.counters.rpcs_received == h.counters.rpcs_ok + h.counters.rpcs_rejected);
}

TEST_CASE("told to stop: the backlog is emptied before the listener is closed") {
  SidecarHarness h(RetrySafety::idempotent, 600);
  bool gone = false;
  h.server.drain([&] { gone = true; });
  for (int i = 0; i < 220; ++i) {  // while the loop stands still, more than some rounds accept
    h.connections.push_back(
        std::make_unique<TestConnection>(h.loop, h.client_budget, start_connect(h.address), response));
    h.connections.back()->send("GET /-/ready HTTP/1.1\r\n\r\n");
  }
  for (const double end = h.loop.now() + 460; h.loop.now() < end;) continue;
  CHECK(run_until(h.loop, [&] { return gone; }));
  run_for(h.loop, 5);
  CHECK(std::all_of(h.connections.begin(), h.connections.end(),
                    [](const auto& s) { return s->received.size() == 1; }));
}

TEST_CASE("told to stop: a request half sent may still be ended, but not for ever") {
  for (const bool ends : {true, false}) {
    SidecarHarness h;
    FakeServer endpoint(h.loop, {served_response});
    h.update_endpoints(address_text(endpoint.address));
    TestConnection& c = h.connect_client();
    const std::string whole = rpc_request_text("read", 900);
    c.send(whole.substr(0, 20));
    run_for(h.loop, 5);
    bool gone = false;
    h.server.drain([&] { gone = true; });
    run_for(h.loop, 480);
    if (ends) c.send(whole.substr(20));
    REQUIRE(run_until(h.loop, [&] { return gone; }));
    run_for(h.loop, 5);
    REQUIRE(c.received.size() == 1);
    CHECK(c.received[0].status == (ends ? 200 : 408));
  }
}

TEST_CASE("the loop: order of due times, nothing freed is called, a round is fair") {
  EventLoop runs;
  std::string order;
  const double now = runs.now();
  const auto b = runs.schedule_at(now + 2, [&] { order += 'b'; }),
             a = runs.schedule_at(now + 1, [&] { order += 'a'; });
  auto dropped = runs.schedule_at(now + 1, [&] { order += 'x'; });
  dropped.cancel();
  EventLoop::Timer endless;
  const std::function<void()> set = [&] {
    endless = runs.schedule_at(runs.now(), [&] { order += 'e', set(); });
  };
  run_for(runs, 5);
  CHECK(order == "ab");
  set();
  runs.run_once(5);
  CHECK(order.size() < 20);

  FileDescriptorBudget budget{10};
  int ends[4];
  REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends) == 0);
  REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends + 2) == 0);
  std::unique_ptr<TcpStream> one, two;
  int calls = 0;
  one = std::make_unique<TcpStream>(runs, budget, FileDescriptor(ends[0]),
                                    [&](std::uint32_t) { ++calls, two.reset(); });
  two = std::make_unique<TcpStream>(runs, budget, FileDescriptor(ends[2]),
                                    [&](std::uint32_t) { ++calls, one.reset(); });
  runs.run_once(5);  // both are writable in one batch
  CHECK(calls == 1);
  CHECK(budget.open_count == 1);
  ::close(ends[1]);
  ::close(ends[3]);
}

TEST_CASE("a long message goes out as the other side reads it") {
  EventLoop runs;
  FileDescriptorBudget budget{10};
  int ends[2];
  REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends) == 0);
  const FileDescriptor other(ends[1]);
  WriteBuffer out;
  std::string want;
  for (int i = 0; i < 3000; ++i) want += std::string(997, static_cast<char>('a' + i % 26));
  for (std::size_t i = 0; i < want.size(); i += 997)
    out.append_borrowed(std::string_view(want).substr(i, 997));
  std::unique_ptr<TcpStream> to;
  to = std::make_unique<TcpStream>(runs, budget, FileDescriptor(ends[0]),
                                   [&](std::uint32_t) { CHECK(to->write(out)); });
  std::string got, piece(100000, 0);
  CHECK(run_until(runs, [&] {
    const ssize_t n = ::recv(other.get(), piece.data(), piece.size(), 0);
    if (n > 0) got.append(piece, 0, static_cast<std::size_t>(n));
    return got.size() >= want.size();
  }));
  CHECK(got == want);
  CHECK(out.is_complete());
}

TEST_CASE("the list: the whole, then a watch that is kept open, through all that can go wrong") {
  const std::string whole = endpoint_list_response(9, true, instance_json("a") + "," + instance_json("b")),
                    change = endpoint_list_response(10, false, instance_json("b", "draining")),
                    none = endpoint_list_response(10, false, ""),
                    older = endpoint_list_response(8, false, instance_json("b")),
                    anew = endpoint_list_response(2, true, instance_json("c"));
  // Only an agent that just answered is asked to wait.
  const std::string first = "/api/targets", watch9 = first + "?index=9&wait=2000",
                    watch10 = first + "?index=10&wait=2000", at_once9 = first + "?index=9&wait=1",
                    watch2 = first + "?index=2&wait=2000";
  struct {
    const char* what;
    std::vector<std::string> script, asked;
    std::string heard;
  } table[] = {
      {"changes", {whole, change, none}, {first, watch9, watch10, watch10}, "=9ab+10b+10"},
      {"a broken connection", {whole, "close", change}, {first, watch9, at_once9, watch10}, "=9ab+10b"},
      {"a last answer on a connection",
       {response_text(200, R"({"generation":9,"reset":true,"instances":[]})", "Connection: close\r\n"),
        change},
       {first, watch9, watch10},
       "=9+10b"},

      {"no JSON", {whole, response_text(200, "{"), whole}, {first, watch9, first, watch9}, "=9ab=9ab"},
      {"no list", {whole, response_text(200, "{}"), whole}, {first, watch9, first, watch9}, "=9ab=9ab"},
      {"an unknown word",
       {whole, endpoint_list_response(10, false, instance_json("a", "odd")), whole},
       {first, watch9, first, watch9},
       "=9ab=9ab"},
      {"an error", {whole, response_text(500, ""), change}, {first, watch9, at_once9, watch10}, "=9ab+10b"},
      {"no HTTP", {"rubbish\r\n\r\n", whole}, {first, first, watch9}, "=9ab"},
      {"changes of an older list", {whole, older, whole}, {first, watch9, first, watch9}, "=9ab=9ab"},
      {"changes where the whole was asked for", {change, whole}, {first, first, watch9}, "=9ab"},
      {"an agent that began anew", {whole, anew}, {first, watch9, watch2}, "=9ab=2c"},
  };
  for (const auto& t : table) {
    CAPTURE(std::string(t.what));
    DiscoveryHarness f;
    FakeServer agent(f.loop, t.script);
    f.start(agent.address, true);
    CHECK(run_until(f.loop, [&] { return agent.request_targets.size() >= t.asked.size(); }));
    CHECK(agent.request_targets == t.asked);
    CHECK(f.updates == t.heard);
    CHECK(f.failure_count == 0);
  }
}

TEST_CASE("a list known from before is watched from its version; another agent is asked for the whole") {
  DiscoveryHarness f;
  FakeServer before(f.loop, {endpoint_list_response(9, false, instance_json("b"))}),
      after(f.loop, {endpoint_list_response(3, true, "")});
  f.start(before.address, true, 8);
  CHECK(run_until(f.loop, [&] { return before.request_targets.size() == 2; }));
  CHECK(before.request_targets[0] == "/api/targets?index=8&wait=1");
  f.client->switch_agent(after.address, "after");
  CHECK(run_until(f.loop, [&] { return !after.request_targets.empty(); }));
  CHECK(after.request_targets[0] == "/api/targets");
  CHECK(f.updates == "+9b");
}

TEST_CASE("a wish for the list that comes before anyone follows it is kept, and carried out once") {
  EventLoop runs;
  std::ostringstream log_text;
  Logger lines(log_text, LogLevel::error);
  Counters counts;
  FileDescriptorBudget budget{10};
  UpstreamPool endpoints(runs, budget, counts, lines, {}, [] { return false; });
  LoadBalancerConfig where = test_config();
  where.must_poll_endpoints = true;
  RequestDispatcher rpcs(runs, endpoints, counts, lines, where, 1);
  rpcs.update_endpoints(true, false, {make_endpoint("a")});
  int wishes = 0;
  rpcs.on_endpoint_poll([&] { ++wishes; });
  CHECK(wishes == 1);
  rpcs.update_endpoints(true, true, {make_endpoint("a")});
  CHECK(wishes == 1);
  rpcs.endpoint_poll_failed();
  CHECK(run_until(runs, [&] { return wishes == 2; }));
}

TEST_CASE("where the balancer asks for the list, a failure is told to it and nothing is asked again") {
  DiscoveryHarness f;
  FakeServer agent(f.loop, {"close"});
  f.start(agent.address, false);
  CHECK(run_until(f.loop, [&] { return f.failure_count == 1; }));
  run_for(f.loop, 150);
  CHECK(agent.request_targets.size() == 1);
}

TEST_CASE("an agent that doesn't wait is not asked without pause") {
  DiscoveryHarness f;
  std::vector<std::string> script{endpoint_list_response(9, true, instance_json("a"))};
  script.resize(1000, endpoint_list_response(9, false, ""));
  FakeServer agent(f.loop, script);
  f.start(agent.address, true);
  run_for(f.loop, 150);
  CHECK(agent.request_targets.size() >= 2);
  CHECK(agent.request_targets.size() <= 4);
}

TEST_CASE("an exchange ends after its ticket is known, never within send") {
  SidecarHarness h;
  bool ended = false;
  WriteBuffer what;
  what.append_owned("GET / HTTP/1.1\r\n\r\n");
  h.upstreams.start_exchange("unlisted", std::move(what), 100, {[&](UpstreamPool::ExchangeResult r) {
                               ended = true;
                               CHECK(r.outcome == AttemptOutcome::connect_failed);
                             }});
  CHECK_FALSE(ended);
  CHECK(run_until(h.loop, [&] { return ended; }));
}

TEST_CASE("a list that can't be reached is asked for again within the grace, and its silence said once") {
  DiscoveryHarness f;
  f.start(local_address(listen_on_loopback()), true);  // closed again
  const double began = f.loop.now();
  CHECK(run_until(f.loop, [&] { return f.counters.endpoint_poll_failures == 8; }));
  // What it tells when it is back counts at once: the waits must not grow past a part of the grace of 500.
  CHECK(f.loop.now() - began < 8 * 150);
  CHECK(f.log_text.str().find("no connection") == f.log_text.str().rfind("no connection"));  // one line
}

TEST_CASE("a start without a sound config fails in one plain line") {
  const std::string sound =
      R"({"name":"n","listen":"127.0.0.1:8000","discovery":"127.0.0.1:8500","seed":"8c1f30d27a5be964",)"
      R"("limits":{"cores":1.0,"memory_mb":2048,"sockets":300},"settings":{"methods":[{"name":"read","effect":)"
      R"("retryable","deadline":1000}],"bounds":{"keepalive":5000000,"connectTimeout":250000}}})";
  const SidecarConfig s = decode_sidecar_config(nlohmann::json::parse(sound));
  CHECK(s.seed == 0x8c1f30d27a5be964);
  CHECK(s.max_descriptors == 300);
  CHECK(s.max_memory_bytes == 192u * 1024 * 1024);
  CHECK(s.upstream.connect_timeout_ms == 250);
  struct {
    std::string from, to, said;
  } table[] = {
      {R"("name":"n",)", "", "config.name is missing"},
      {"127.0.0.1:8000", "here", "config.listen is not an address and a port"},
      {"127.0.0.1:8500", "127.0.0.1:85000", "config.discovery is not an address and a port"},
      {"8c1f", "seed", "config.seed is not a hexadecimal number"},
      {R"("settings")", R"("other")", "config.settings is missing"},
      {"retryable", "odd", "config.settings.methods.effect has the unknown word \"odd\""},
      {R"("sockets":300)", R"("sockets":0)", "config.limits allows nothing"},
      {R"("limits")", R"("known":{"generation":1},"limits")", "config.known.instances is missing"},
  };
  for (const auto& t : table) {
    std::string text = sound;
    text.replace(text.find(t.from), t.from.size(), t.to);
    CAPTURE(text);
    CHECK_THROWS_WITH_AS(decode_sidecar_config(nlohmann::json::parse(text)), t.said.c_str(), ConfigError);
  }
  CHECK_THROWS_WITH_AS(load_sidecar_config([](const char*) -> const char* { return nullptr; }),
                       "LB_CONFIG names no config file", ConfigError);
  CHECK_THROWS_AS(load_sidecar_config([](const char*) { return "/nowhere/at/all"; }), ConfigError);
}

TEST_CASE(
    "SIGHUP: the watch moves to the file's discovery; a broken file changes nothing; SIGTERM ends all") {
  EventLoop runs;
  const std::string whole = endpoint_list_response(9, true, instance_json("a"));
  FakeServer before(runs, {whole}), after(runs, {endpoint_list_response(3, true, instance_json("a")),
                                                 endpoint_list_response(4, false, "")});
  const std::string at = address_text(local_address(listen_on_loopback())),
                    path = "sidecar-" + std::to_string(::getpid());
  const auto write = [&](const std::string& agent) {
    std::ofstream(path) << R"({"name":"n","listen":")" << at << R"(","discovery":")" << agent
                        << R"(","seed":"1","limits":{"sockets":64},"settings":{"methods":[{"name":"read",)"
                        << R"("effect":"retryable","deadline":1000000}]}})";
  };
  const std::string old_agent = address_text(before.address);
  const auto variable = [&](const char* name) {
    return std::string(name) == "LB_CONFIG"      ? path.c_str()
           : std::string(name) == "LB_DISCOVERY" ? old_agent.c_str()
                                                 : nullptr;
  };
  write(old_agent);
  const pid_t child = ::fork();
  if (child == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    std::ostringstream text;
    Logger lines(text, LogLevel::error);
    run_sidecar(
        load_sidecar_config(variable), [&] { return reload_sidecar_config(variable); }, lines);
    ::_exit(0);
  }
  CHECK(run_until(runs, [&] { return before.request_targets.size() == 2; }));
  std::ofstream(path) << "{";
  ::kill(child, SIGHUP);
  run_for(runs, 50);
  CHECK_FALSE(before.connections[0]->is_ended);
  write(address_text(after.address));
  ::kill(child, SIGHUP);
  REQUIRE(run_until(runs, [&] { return after.request_targets.size() == 3; }));
  CHECK(after.request_targets[0] == "/api/targets");
  CHECK(after.request_targets[2] == "/api/targets?index=4&wait=2000");
  CHECK(before.connections[0]->is_ended);
  CHECK(before.connections.size() == 1);
  ::kill(child, SIGTERM);
  int status = -1;
  CHECK(::waitpid(child, &status, 0) == child);
  CHECK((WIFEXITED(status) && WEXITSTATUS(status) == 0));
  std::remove(path.c_str());
}

TEST_CASE("log lines are filtered by level, counters have a line each") {
  std::ostringstream text;
  Logger lines(text, LogLevel::warning);
  lines.info() << "unseen";
  lines.warning() << "seen " << 1;
  CHECK(text.str() == "indigorill warning: seen 1\n");
  CHECK(parse_log_level("debug") == LogLevel::debug);
  CHECK_FALSE(parse_log_level("loud"));
  Counters c;
  Counters::increment(c.attempts, AttemptOutcome::reset);
  std::ostringstream listed;
  listed << c;
  CHECK(listed.str().find("picks_reset 1\n") != std::string::npos);
  CHECK(listed.str().find("picks_ok 0\n") != std::string::npos);
}
