// The HTTP server: the behaviour of clients, its limits and its graceful shutdown.
#include "proxy/http_server.h"

#include <doctest/doctest.h>
#include <malloc.h>
#include <sys/resource.h>

#include <algorithm>

#include "support/host.h"
#include "support/parts.h"

namespace host {

TEST_CASE("a request that is not an RPC or not a valid one is answered at once and not forwarded") {
  struct {
    std::string text;
    int status;
    bool closes;
  } table[] = {
      {"GET /-/ready HTTP/1.1\r\n\r\n", 200, false},
      {"GET /-/counters HTTP/1.1\r\n\r\n", 200, false},
      {"GET /-/else HTTP/1.1\r\n\r\n", 404, true},
      {rpc_request_text("unknown"), 404, true},
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

TEST_CASE("a call id is rejected while an RPC with it is in flight and accepted afterwards") {
  SidecarHarness sidecar;
  FakeServer endpoint(sidecar.loop, {"silent", served_response});
  sidecar.update_endpoints(address_text(endpoint.address));
  TestConnection& first = sidecar.connect_client();
  TestConnection& other = sidecar.connect_client();
  first.send(rpc_request_text("read", 300, 7));
  REQUIRE(run_until(sidecar.loop, [&] { return endpoint.request_targets.size() == 1; }));
  CHECK(sidecar.status_of_request(other, rpc_request_text("read", 300, 7)) == 409);
  CHECK(endpoint.request_targets.size() == 1);
  first.close();
  REQUIRE(run_until(sidecar.loop, [&] { return sidecar.counters.rpcs_abandoned == 1; }));
  CHECK(sidecar.status_of_request(sidecar.connect_client(), rpc_request_text("read", 300, 7)) == 200);
}

TEST_CASE("a silent client or a partial request ends within 3 s and a served client may stay idle") {
  SidecarHarness sidecar;
  FakeServer endpoint(sidecar.loop, {served_response});
  sidecar.update_endpoints(address_text(endpoint.address));
  TestConnection& served = sidecar.connect_client();
  TestConnection& silent = sidecar.connect_client();
  TestConnection& partial = sidecar.connect_client();
  TestConnection& late_partial = sidecar.connect_client();
  CHECK(sidecar.status_of_request(served, rpc_request_text()) == 200);
  partial.send("GET /read HT");
  run_for(sidecar.loop, 1500);
  CHECK_FALSE(silent.is_ended);
  late_partial.send("POST /read HTTP/1.1\r\nContent-Length: 9\r\n\r\nabc");
  run_for(sidecar.loop, 1450);
  CHECK(silent.is_ended);
  CHECK(silent.received.empty());
  for (const TestConnection* client : {&partial, &late_partial})
    CHECK((client->is_ended && client->received.size() == 1 && client->received[0].status == 408));
  CHECK_FALSE(served.is_ended);
  CHECK(run_until(sidecar.loop,
                  [&] { return sidecar.budget.open_count == 2; }));  // including one to the endpoint
}

TEST_CASE("a flood of silent clients displaces no client that sends requests") {
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

TEST_CASE("more clients than the connection limit that send one request and stay are all answered") {
  SidecarHarness sidecar(RetrySafety::idempotent, 40);
  FakeServer endpoint(sidecar.loop, std::vector<std::string>(90, served_response));
  sidecar.update_endpoints(address_text(endpoint.address));
  for (int i = 0; i < 90; ++i)
    CHECK(sidecar.status_of_request(sidecar.connect_client(), rpc_request_text()) == 200);
  CHECK(sidecar.counters.resource_rejections == 0);
  // Half of the 40 descriptors may be idle connections; beyond that, responses close their connections.
  CHECK(std::count_if(sidecar.connections.begin(), sidecar.connections.end(),
                      [](const auto& client) { return client->received[0].keep_alive; }) == 20);
  while (sidecar.upstreams.close_idle_connection()) continue;
  CHECK(run_until(sidecar.loop, [&] { return sidecar.budget.open_count == 20; }));
}

TEST_CASE("a body of 60 MB is rejected at its head and discarded without delaying other clients") {
  SidecarHarness sidecar;
  FakeServer endpoint(sidecar.loop, {served_response});
  sidecar.update_endpoints(address_text(endpoint.address));
  TestConnection& uploader = sidecar.connect_client();
  TestConnection& usual = sidecar.connect_client();
  std::string rest(60 << 20, 'x');
  WriteBuffer body;
  body.append_borrowed("POST /read HTTP/1.1\r\nContent-Length: 62914560\r\n\r\n");
  body.append_borrowed(rest);
  CHECK(uploader.stream->write(body));
  CHECK(sidecar.status_of_request(usual, rpc_request_text()) == 200);
  CHECK(run_until(sidecar.loop,
                  [&] { return !uploader.stream->write(body) || body.is_complete() || uploader.is_ended; }));
  REQUIRE(uploader.received.size() == 1);
  CHECK(uploader.received[0].status == 413);
}

TEST_CASE("pipelined requests are answered in order wherever their bytes are split") {
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

TEST_CASE("with few descriptors idle connections are closed first and then RPCs are rejected") {
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
  // The attempt of each RPC needs another descriptor.
  for (int i = 0; i < 4; ++i) sidecar.connections[i]->send(rpc_request_text());
  run_for(sidecar.loop, 5);
  CHECK(sidecar.budget.open_count == 8);
  TestConnection& more = sidecar.connect_client();
  more.send(rpc_request_text());
  CHECK(run_until(sidecar.loop, [&] {
    return sidecar.counters.rpcs_ok + sidecar.counters.rpcs_rejected + sidecar.counters.rpcs_failed >= 4;
  }));
  CHECK(run_until(sidecar.loop, [&] { return more.received.size() == 1 || more.is_ended; }));
  CHECK(sidecar.budget.open_count <= 8);
  // A lack of descriptors in the sidecar is not counted as a failed connect to the endpoint.
  CHECK(sidecar.counters.attempts[static_cast<std::size_t>(AttemptOutcome::connect_failed)] == 0);
  CHECK(more.received.size() == 1);
  CHECK(more.received.back().status == 503);
}

namespace {

/// A request with a body of 64 KiB, the longest that is buffered whole.
std::string long_request_text(int number) {
  const std::string body(http::max_buffered_body_bytes, 'x');
  return "POST /read HTTP/1.1\r\nX-Call-Id: h" + std::to_string(number) +
         "\r\nX-Call-Class: read\r\nX-Budget: 2000m\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

std::size_t allocated_bytes() {
  const auto usage = ::mallinfo2();
  return usage.uordblks + usage.hblkhd;
}

}  // namespace

// Guards against a kill for memory: clients that stop in the middle of a request and stay.
TEST_CASE("a crowd of partial requests neither exceeds the memory limit nor displaces complete requests") {
  constexpr int crowd = 40;
  constexpr std::size_t limit = 1 << 20;
  constexpr std::size_t missing_bytes = 500;
  SidecarHarness sidecar(RetrySafety::idempotent, 120, {5000, 60}, limit);
  FakeServer endpoint(sidecar.loop, std::vector<std::string>(crowd + 1, served_response));
  sidecar.update_endpoints(address_text(endpoint.address));
  TestConnection& usual = sidecar.connect_client();
  std::vector<TestConnection*> clients;
  const std::size_t allocated_before = allocated_bytes();
  for (int i = 0; i < crowd; ++i) {
    clients.push_back(&sidecar.connect_client());
    const std::string text = long_request_text(i);
    clients.back()->send(text.substr(0, text.size() - missing_bytes));
    run_for(sidecar.loop, 2);
    CHECK(sidecar.status_of_request(usual, rpc_request_text()) == 200);
  }
  CHECK(allocated_bytes() < allocated_before + 2 * limit);  // also while rejected clients stay
  const auto rejected = std::count_if(clients.begin(), clients.end(), [](const TestConnection* client) {
    return client->received.size() == 1 && client->received[0].status == 503;
  });
  // Half of the limit holds at most eight requests of 64 KiB.
  CHECK(rejected >= crowd - 8);
  CHECK(rejected < crowd);
  // The last one is the last to be rejected, so it can be completed.
  const std::string last_bytes(missing_bytes, 'x');
  CHECK(sidecar.status_of_request(*clients.back(), last_bytes) == 200);
  // The rest of a rejected request is discarded.
  const std::size_t forwarded = endpoint.request_targets.size();
  clients.front()->send(last_bytes);
  run_for(sidecar.loop, 10);
  CHECK(endpoint.request_targets.size() == forwarded);
  CHECK(clients.front()->received.size() == 1);
}

TEST_CASE("the memory of a response is released once it is written, though its client stays") {
  constexpr int clients = 20;
  const std::string body(http::max_buffered_body_bytes, 'x');
  SidecarHarness sidecar(RetrySafety::idempotent, 100);
  FakeServer endpoint(sidecar.loop, std::vector<std::string>(clients + 1, response_text(200, body)));
  sidecar.update_endpoints(address_text(endpoint.address));
  // Clients keep what they received, so its size is measured first.
  CHECK(sidecar.status_of_request(sidecar.connect_client(), rpc_request_text("read", 2000)) == 200);
  const std::size_t kept_by_client = sidecar.connections.back()->received.back().bytes.capacity() +
                                     sidecar.connections.back()->parser.buffer_capacity();
  const std::size_t allocated_before = allocated_bytes();
  for (int i = 0; i < clients; ++i) {
    // The endpoint's side is measured as well, so all requests use one connection to it.
    run_for(sidecar.loop, IdleConnections::min_idle_ms + 1);
    CHECK(sidecar.status_of_request(sidecar.connect_client(), rpc_request_text("read", 2000)) == 200);
  }
  CHECK(allocated_bytes() < allocated_before + clients * (kept_by_client + body.size() / 4));
}

TEST_CASE("beyond the memory limit RPCs are rejected and nothing is forwarded") {
  SidecarHarness sidecar(RetrySafety::idempotent, 100, {5000, 60}, 1);
  FakeServer endpoint(sidecar.loop, {served_response});
  sidecar.update_endpoints(address_text(endpoint.address));
  CHECK(sidecar.status_of_request(sidecar.connect_client(), rpc_request_text()) == 503);
  CHECK(sidecar.connections[0]->received[0].find_header("Retry-After") == "1.000");
  CHECK(sidecar.counters.resource_rejections == 1);
  CHECK(endpoint.request_targets.empty());
}

TEST_CASE("an accept that failed for lack of descriptors is retried") {
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
  run_for(sidecar.loop, 3);  // the accept fails; epoll doesn't report the backlog again
  ::setrlimit(RLIMIT_NOFILE, &before);
  TestConnection after(sidecar.loop, sidecar.client_budget, std::move(late), response);
  CHECK(sidecar.status_of_request(client, rpc_request_text()) == 200);
  CHECK(sidecar.status_of_request(after, "GET /-/ready HTTP/1.1\r\n\r\n") == 200);
}

TEST_CASE("a draining server accepts connections for 0.4 s and closes each after its response") {
  SidecarHarness sidecar;
  FakeServer endpoint(sidecar.loop, {"silent", served_response, served_response});
  sidecar.update_endpoints(address_text(endpoint.address));
  TestConnection& held = sidecar.connect_client();
  TestConnection& idle = sidecar.connect_client();
  held.send(rpc_request_text("read", 1200));
  REQUIRE(run_until(sidecar.loop, [&] { return endpoint.request_targets.size() == 1; }));
  bool drained = false;
  sidecar.server.drain([&] { drained = true; });
  CHECK(sidecar.status_of_request(idle, rpc_request_text()) == 200);
  CHECK_FALSE(idle.received.back().keep_alive);
  CHECK(sidecar.status_of_request(sidecar.connect_client(), "GET /-/ready HTTP/1.1\r\n\r\n") == 503);
  run_for(sidecar.loop, 400);
  // A new connection, 0.4 s after the start of the drain.
  CHECK(sidecar.status_of_request(sidecar.connect_client(), rpc_request_text()) == 200);
  CHECK(run_until(sidecar.loop, [&] { return held.received.size() == 1; }));
  CHECK(run_until(sidecar.loop, [&] { return drained; }));
  CHECK(sidecar.dispatcher.in_flight() == 0);
  CHECK(sidecar.counters.rpcs_received == sidecar.counters.rpcs_ok + sidecar.counters.rpcs_rejected);
}

TEST_CASE("a draining server empties the backlog before it closes the listener") {
  SidecarHarness sidecar(RetrySafety::idempotent, 600);
  bool drained = false;
  sidecar.server.drain([&] { drained = true; });
  for (int i = 0; i < 220; ++i) {  // the loop doesn't run; these are more than three batches
    sidecar.connections.push_back(std::make_unique<TestConnection>(sidecar.loop, sidecar.client_budget,
                                                                   start_connect(sidecar.address), response));
    sidecar.connections.back()->send("GET /-/ready HTTP/1.1\r\n\r\n");
  }
  for (const double end = sidecar.loop.now() + 460; sidecar.loop.now() < end;) continue;
  CHECK(run_until(sidecar.loop, [&] { return drained; }));
  run_for(sidecar.loop, 5);
  CHECK(std::all_of(sidecar.connections.begin(), sidecar.connections.end(),
                    [](const auto& client) { return client->received.size() == 1; }));
}

TEST_CASE("a draining server lets a partial request be completed for a limited time") {
  for (const bool completes : {true, false}) {
    SidecarHarness sidecar;
    FakeServer endpoint(sidecar.loop, {served_response});
    sidecar.update_endpoints(address_text(endpoint.address));
    TestConnection& client = sidecar.connect_client();
    const std::string text = rpc_request_text("read", 900);
    client.send(text.substr(0, 20));
    run_for(sidecar.loop, 5);
    bool drained = false;
    sidecar.server.drain([&] { drained = true; });
    run_for(sidecar.loop, 480);
    if (completes) client.send(text.substr(20));
    REQUIRE(run_until(sidecar.loop, [&] { return drained; }));
    run_for(sidecar.loop, 5);
    REQUIRE(client.received.size() == 1);
    CHECK(client.received[0].status == (completes ? 200 : 408));
  }
}

namespace {

/// A client that pipelines requests as fast as the server takes them, and reads what it is sent.
class PipeliningClient {
 public:
  PipeliningClient(const sockaddr_in& server, std::string_view request_text) : fd_(start_connect(server)) {
    constexpr std::size_t requests_per_piece = 2000;
    for (std::size_t i = 0; i < requests_per_piece; ++i) piece_ += request_text;
  }

  void step() {
    std::array<char, 65536> input;
    while (::recv(fd_.get(), input.data(), input.size(), MSG_DONTWAIT) > 0) continue;
    for (;;) {
      const ssize_t count =
          ::send(fd_.get(), piece_.data() + sent_, piece_.size() - sent_, MSG_DONTWAIT | MSG_NOSIGNAL);
      if (count <= 0) return;
      sent_ = (sent_ + static_cast<std::size_t>(count)) % piece_.size();
      total_sent_ += static_cast<std::size_t>(count);
    }
  }

  std::size_t total_sent() const { return total_sent_; }

 private:
  FileDescriptor fd_;
  std::string piece_;
  std::size_t sent_ = 0;
  std::size_t total_sent_ = 0;
};

}  // namespace

// Guards against a client that takes all memory and all turns of the loop: 397 and 672 MB under a limit of 64
// MB.
TEST_CASE("a client that pipelines requests at full speed takes little memory and delays no other client") {
  constexpr double flood_ms = 600;
  constexpr double longest_wait_ms = 100;  // of a usual client, a third of its budget
  constexpr std::size_t max_memory_bytes = std::size_t{1} << 20;
  for (const char* const flood_request :
       {"GET /-/ready HTTP/1.1\r\n\r\n", "OPTIONS * HTTP/1.1\r\n\r\n", "GET /-/counters HTTP/1.1\r\n\r\n"}) {
    CAPTURE(std::string(flood_request));
    SidecarHarness sidecar(RetrySafety::idempotent, 100);
    FakeServer endpoint(sidecar.loop, std::vector<std::string>(20000, served_response));
    sidecar.update_endpoints(address_text(endpoint.address));
    TestConnection& usual = sidecar.connect_client();
    CHECK(sidecar.status_of_request(usual, rpc_request_text()) == 200);
    PipeliningClient flood(sidecar.address, flood_request);
    const std::size_t allocated_before = allocated_bytes();
    std::size_t most_allocated = 0;
    double longest_ms = 0;
    int served = 0;
    for (const double end_ms = sidecar.loop.now() + flood_ms; sidecar.loop.now() < end_ms;) {
      const std::size_t received = usual.received.size();
      usual.send(rpc_request_text());
      longest_ms = std::max(longest_ms, elapsed_until(sidecar.loop, flood_ms, [&] {
                              flood.step();
                              most_allocated = std::max(most_allocated, allocated_bytes());
                              return usual.received.size() > received;
                            }));
      served += usual.received.back().status == 200 ? 1 : 0;
      usual.received.clear();
      for (const auto& connection : endpoint.connections) connection->received.clear();
      run_for(sidecar.loop, 1);
    }
    CHECK(flood.total_sent() > std::size_t{100000});
    CHECK(served > 20);
    CHECK(sidecar.counters.rpcs_rejected == 0);
    CHECK(longest_ms < longest_wait_ms);
    CHECK(most_allocated < allocated_before + max_memory_bytes);
  }
}

}  // namespace host
