// Tests on real sockets of clients, endpoints and deadlines that end while an attempt is under way
// (docs/endings.md). The tests force the order of events: they step the loop by hand, a full backlog delays a
// connect until the test releases it, and data and a close reach the sidecar in one iteration of its loop.
#include <doctest/doctest.h>

#include <algorithm>
#include <array>

#include "support/parts.h"

namespace host {
namespace {

// A sidecar and an endpoint whose connects hang. All cases run side by side, so that the second until the
// kernel repeats a SYN is waited for only once.
struct DelayedEndpointCase {
  SidecarHarness sidecar;
  StalledListener endpoint;
  DelayedEndpointCase(const LoadBalancerConfig& config, ConnectionConfig upstream)
      : sidecar(config, upstream) {}
};
using DelayedEndpointCases = std::vector<std::unique_ptr<DelayedEndpointCase>>;

void run_all(DelayedEndpointCases& cases, double duration_ms) {
  const double end_ms = cases.front()->sidecar.loop.now() + duration_ms;
  while (cases.front()->sidecar.loop.now() < end_ms)
    for (auto& test_case : cases) {
      test_case->sidecar.loop.run_once(0.2);
      test_case->endpoint.receive();
    }
}
void release_all(DelayedEndpointCases& cases) {
  for (auto& test_case : cases) test_case->endpoint.release();
  run_all(cases, 1500);
}

struct EndpointChange {
  const char* description;
  void (*apply)(SidecarHarness&, const std::string& address, const std::string& other_address);
  bool uses_other_endpoint;
};

const EndpointChange endpoint_changes[] = {
    {"no change", [](SidecarHarness&, const std::string&, const std::string&) {}, false},
    {"draining",
     [](SidecarHarness& sidecar, const std::string& address, const std::string& other_address) {
       sidecar.upstreams.update_endpoint("a", address, EndpointState::draining);
       sidecar.upstreams.update_endpoint("b", other_address);
       sidecar.dispatcher.update_endpoints(
           false, true, {make_endpoint("a", 0, EndpointState::draining), make_endpoint("b")});
     },
     true},
    {"gone",
     [](SidecarHarness& sidecar, const std::string&, const std::string& other_address) {
       sidecar.upstreams.remove_endpoint("a");
       sidecar.upstreams.update_endpoint("b", other_address);
       sidecar.dispatcher.update_endpoints(false, true,
                                           {make_endpoint("a", 0, EndpointState::gone), make_endpoint("b")});
     },
     true},
    {"missing from a complete list",
     [](SidecarHarness& sidecar, const std::string&, const std::string& other_address) {
       sidecar.upstreams.update_endpoint("b", other_address);
       sidecar.upstreams.retain_endpoints({make_endpoint("b")});
       sidecar.dispatcher.update_endpoints(true, true, {make_endpoint("b")});
     },
     true},
    {"moved to another address",
     [](SidecarHarness& sidecar, const std::string&, const std::string& other_address) {
       sidecar.upstreams.update_endpoint("a", other_address);
       sidecar.dispatcher.update_endpoints(false, true, {make_endpoint("a")});
     },
     true},
    {"removed and listed at another address in one update",
     [](SidecarHarness& sidecar, const std::string&, const std::string& other_address) {
       sidecar.upstreams.remove_endpoint("a");
       sidecar.upstreams.update_endpoint("a", other_address);
       sidecar.dispatcher.update_endpoints(false, true,
                                           {make_endpoint("a", 0, EndpointState::gone), make_endpoint("a")});
     },
     true},
    {"listed with an invalid address",
     [](SidecarHarness& sidecar, const std::string&, const std::string& other_address) {
       sidecar.upstreams.update_endpoint("a", "nowhere");
       sidecar.upstreams.update_endpoint("b", other_address);
       sidecar.dispatcher.update_endpoints(
           false, true, {make_endpoint("a", 0, EndpointState::draining), make_endpoint("b")});
     },
     true},
    {"restarted",
     [](SidecarHarness& sidecar, const std::string& address, const std::string& other_address) {
       sidecar.upstreams.update_endpoint("a", address, EndpointState::ready, 1e12);
       sidecar.upstreams.update_endpoint("b", other_address);
       sidecar.dispatcher.update_endpoints(
           false, true, {make_endpoint("a", 1e12, EndpointState::draining), make_endpoint("b")});
     },
     true},
    {"ejected manually",
     [](SidecarHarness& sidecar, const std::string&, const std::string& other_address) {
       sidecar.upstreams.update_endpoint("b", other_address);
       sidecar.dispatcher.update_endpoints(false, true, {make_endpoint("b")});
       sidecar.dispatcher.set_ejected_manually("a", true, 0);
     },
     true},
};

}  // namespace

TEST_CASE("an attempt whose client disconnected is not sent when its pending connect succeeds") {
  enum class Departure { none, by_fin, by_reset, by_half_close };
  DelayedEndpointCases cases;
  std::vector<Departure> departures;
  for (const bool cancels : {false, true})
    for (const RetrySafety retry_safety :
         {RetrySafety::idempotent, RetrySafety::idempotency_key, RetrySafety::non_idempotent})
      for (const Departure departure :
           {Departure::none, Departure::by_fin, Departure::by_reset, Departure::by_half_close}) {
        cases.push_back(std::make_unique<DelayedEndpointCase>(customer_config(true, cancels, retry_safety),
                                                              slow_upstream_config));
        departures.push_back(departure);
        SidecarHarness& sidecar = cases.back()->sidecar;
        sidecar.update_endpoints(address_text(cases.back()->endpoint.address));
        TestConnection& client = sidecar.connect_client();
        client.send(rpc_request_text("read", 3900));
        REQUIRE(run_until(sidecar.loop, [&] { return sidecar.counters.connections_opened == 1; }));
        if (departure == Departure::by_reset) client.stream->reset_on_close();
        if (departure == Departure::by_half_close)
          client.stream->shutdown_write();
        else if (departure != Departure::none)
          client.close();
        if (departure == Departure::none) continue;
        CHECK(run_until(sidecar.loop, [&] { return sidecar.counters.rpcs_abandoned == 1; }));
        run_rounds(sidecar.loop);
        CHECK(attempts_with_outcome(sidecar, AttemptOutcome::withdrawn) +
                  attempts_with_outcome(sidecar, AttemptOutcome::cancelled) ==
              1);
        CHECK(every_rpc_answered_once(sidecar));
      }
  release_all(cases);
  for (std::size_t i = 0; i < cases.size(); ++i) {
    CAPTURE(i);
    // If the client stayed, the same connect succeeded and carried its request.
    CHECK(cases[i]->endpoint.request_count() == (departures[i] == Departure::none ? 1 : 0));
  }
}

// Both events are pending at once after the process was suspended for a while.
TEST_CASE(
    "if one loop iteration reports a client disconnect and its attempt's connect the disconnect is handled "
    "first") {
  for (const bool has_long_deadline : {false, true})
    for (const bool cancels : {false, true})
      for (const RetrySafety retry_safety :
           {RetrySafety::idempotent, RetrySafety::idempotency_key, RetrySafety::non_idempotent})
        for (const bool by_reset : {false, true}) {
          SidecarHarness sidecar(customer_config(has_long_deadline, cancels, retry_safety),
                                 {5000, 3000, 300});
          FakeServer endpoint(sidecar.loop, {served_response});
          sidecar.update_endpoints(address_text(endpoint.address));
          TestConnection& client = sidecar.connect_client();
          run_rounds(sidecar.loop);
          client.send(rpc_request_text("read", has_long_deadline ? 3900 : 140));
          while (sidecar.counters.connections_opened == 0)
            sidecar.loop.run_once(0);  // the kernel has connected; the loop has not reported it yet
          if (by_reset) client.stream->reset_on_close();
          client.close();
          sidecar.loop.run_once(0);
          CHECK(sidecar.counters.rpcs_abandoned == 1);
          CHECK(attempts_with_outcome(sidecar, AttemptOutcome::withdrawn) +
                    attempts_with_outcome(sidecar, AttemptOutcome::cancelled) ==
                1);
          run_for(sidecar.loop, 10);
          CHECK(endpoint.request_targets.empty());
          CHECK(every_rpc_answered_once(sidecar));
        }
}

TEST_CASE("an RPC whose client disconnects while it awaits probes is not sent to any endpoint") {
  for (const bool disconnects : {false, true}) {
    LoadBalancerConfig config = customer_config(true, true, RetrySafety::idempotent);
    config.probes_report_load = true;
    config.probe_cost = 0.0001;
    SidecarHarness sidecar(config, slow_upstream_config);
    FakeServer first_endpoint(sidecar.loop, {});
    FakeServer second_endpoint(sidecar.loop, {});
    sidecar.upstreams.update_endpoint("a", address_text(first_endpoint.address));
    sidecar.upstreams.update_endpoint("b", address_text(second_endpoint.address));
    sidecar.dispatcher.update_endpoints(true, false, {make_endpoint("a"), make_endpoint("b")});
    TestConnection& client = sidecar.connect_client();
    client.send(rpc_request_text("read", 3900));
    const auto request_count = [&](const char* target) {
      return std::count(first_endpoint.request_targets.begin(), first_endpoint.request_targets.end(),
                        target) +
             std::count(second_endpoint.request_targets.begin(), second_endpoint.request_targets.end(),
                        target);
    };
    REQUIRE(run_until(sidecar.loop, [&] { return request_count("/-/load") > 0; }));
    REQUIRE(request_count("/read") == 0);
    if (disconnects) client.close();
    run_for(sidecar.loop, 400);  // longer than an RPC waits for probes
    CHECK(request_count("/read") == (disconnects ? 0 : 1));
    if (disconnects) CHECK(every_rpc_answered_once(sidecar));
  }
}

TEST_CASE(
    "a connecting attempt is withdrawn and sent elsewhere if its endpoint drains or moves or restarts or is "
    "removed or ejected") {
  DelayedEndpointCases cases;
  std::vector<bool> uses_same_endpoint;
  std::vector<std::unique_ptr<FakeServer>> other_endpoints;
  for (const bool cancels : {false, true})
    for (const RetrySafety retry_safety : {RetrySafety::idempotent, RetrySafety::non_idempotent})
      for (const EndpointChange& change : endpoint_changes) {
        CAPTURE(std::string(change.description));
        cases.push_back(std::make_unique<DelayedEndpointCase>(customer_config(true, cancels, retry_safety),
                                                              slow_upstream_config));
        SidecarHarness& sidecar = cases.back()->sidecar;
        other_endpoints.push_back(
            std::make_unique<FakeServer>(sidecar.loop, std::vector<std::string>{served_response}));
        FakeServer& other_endpoint = *other_endpoints.back();
        const std::string address = address_text(cases.back()->endpoint.address);
        sidecar.update_endpoints(address);
        TestConnection& client = sidecar.connect_client();
        client.send(rpc_request_text("read", 3900));
        REQUIRE(run_until(sidecar.loop, [&] { return sidecar.counters.connections_opened == 1; }));
        change.apply(sidecar, address, address_text(other_endpoint.address));
        uses_same_endpoint.push_back(!change.uses_other_endpoint);
        if (!change.uses_other_endpoint) continue;
        REQUIRE(run_until(sidecar.loop, [&] { return client.received.size() == 1; }));
        CHECK(client.received[0].status == 200);
        CHECK(attempts_with_outcome(sidecar, AttemptOutcome::withdrawn) == 1);
        // The endpoint is not at fault.
        CHECK(attempts_with_outcome(sidecar, AttemptOutcome::connect_failed) == 0);
        CHECK(other_endpoint.request_targets.size() == 1);
        CHECK(every_rpc_answered_once(sidecar));
      }
  release_all(cases);
  for (std::size_t i = 0; i < cases.size(); ++i) {
    CAPTURE(i);
    CHECK(cases[i]->endpoint.request_count() == (uses_same_endpoint[i] ? 1 : 0));
  }
}

TEST_CASE(
    "a retry with an idempotency key is withdrawn if the deduplication window ends before its connect "
    "succeeds") {
  DelayedEndpointCases cases;
  std::vector<std::unique_ptr<FakeServer>> first_endpoints;
  const std::array<double, 2> windows_ms{600, 20000};
  for (const bool cancels : {false, true})
    for (const double window_ms : windows_ms) {
      LoadBalancerConfig config = customer_config(true, cancels, RetrySafety::idempotency_key);
      for (MethodConfig& method : config.methods) method.deduplication_window_ms = window_ms;
      cases.push_back(std::make_unique<DelayedEndpointCase>(config, slow_upstream_config));
      SidecarHarness& sidecar = cases.back()->sidecar;
      first_endpoints.push_back(
          std::make_unique<FakeServer>(sidecar.loop, std::vector<std::string>{"silent"}));
      FakeServer& first_endpoint = *first_endpoints.back();
      sidecar.update_endpoints(address_text(first_endpoint.address));
      TestConnection& client = sidecar.connect_client();
      client.send(rpc_request_text("read", 3900));
      REQUIRE(run_until(sidecar.loop, [&] { return first_endpoint.request_targets.size() == 1; }));
      sidecar.upstreams.update_endpoint("b", address_text(cases.back()->endpoint.address));
      sidecar.dispatcher.update_endpoints(true, true, {make_endpoint("b")});
      first_endpoint.connections[0]->close();  // it may have run; the retry goes to b, whose connect hangs
      REQUIRE(run_until(sidecar.loop, [&] { return sidecar.counters.connections_opened == 2; }));
    }
  run_all(cases, 700);
  for (std::size_t i = 0; i < cases.size(); ++i) {
    CAPTURE(i);
    const bool window_has_ended = i % 2 == 0;
    CHECK(attempts_with_outcome(cases[i]->sidecar, AttemptOutcome::withdrawn) == (window_has_ended ? 1 : 0));
    // The RPC is answered at once, as no further attempt is allowed.
    CHECK(cases[i]->sidecar.connections[0]->received.size() == (window_has_ended ? 1 : 0));
  }
  release_all(cases);
  for (std::size_t i = 0; i < cases.size(); ++i) CHECK(cases[i]->endpoint.request_count() == i % 2);
}

TEST_CASE("the budget sent to an endpoint is the time left when the connect succeeds and not when it began") {
  DelayedEndpointCases cases;
  cases.push_back(std::make_unique<DelayedEndpointCase>(customer_config(true, true, RetrySafety::idempotent),
                                                        slow_upstream_config));
  SidecarHarness& sidecar = cases[0]->sidecar;
  sidecar.update_endpoints(address_text(cases[0]->endpoint.address));
  sidecar.connect_client().send(rpc_request_text("read", 3900));
  REQUIRE(run_until(sidecar.loop, [&] { return sidecar.counters.connections_opened == 1; }));
  release_all(cases);
  const std::string& received = cases[0]->endpoint.received;
  const std::size_t at = received.find("X-Budget: ");
  REQUIRE(at != std::string::npos);
  const double budget_ms = std::stod(received.substr(at + 10)) / 1000;
  CHECK(budget_ms < 3000);
  CHECK(budget_ms > 1500);
}

TEST_CASE(
    "a connect that hangs is given up within half of the budget and another endpoint is tried or the RPC "
    "answered") {
  for (const bool has_long_deadline : {false, true})
    for (const bool has_other_endpoint : {false, true}) {
      CAPTURE(has_long_deadline);
      CAPTURE(has_other_endpoint);
      SidecarHarness sidecar(
          customer_config(has_long_deadline, has_long_deadline, RetrySafety::non_idempotent),
          {5000, 3000, 300});
      StalledListener stalled;
      FakeServer other_endpoint(sidecar.loop, {served_response});
      sidecar.update_endpoints(address_text(stalled.address));
      TestConnection& client = sidecar.connect_client();
      const double budget_ms = has_long_deadline ? 1000 : 150;
      const double started_at_ms = sidecar.loop.now();
      client.send(rpc_request_text("read", static_cast<int>(budget_ms)));
      REQUIRE(run_until(sidecar.loop, [&] { return sidecar.counters.connections_opened == 1; }));
      if (has_other_endpoint) {
        sidecar.upstreams.update_endpoint("b", address_text(other_endpoint.address));
        sidecar.dispatcher.update_endpoints(false, true, {make_endpoint("b")});
      }
      REQUIRE(run_until(sidecar.loop, [&] { return client.received.size() == 1; }));
      CHECK(sidecar.loop.now() - started_at_ms < budget_ms / 2 + 40);
      // Without another endpoint, a retry can only go to the same server. With one, the weighted draw may
      // still select the stalled server, so the status is not checked.
      if (!has_other_endpoint) CHECK(client.received[0].status == 503);
      CHECK(every_rpc_answered_once(sidecar));
    }
}

TEST_CASE(
    "an attempt is not sent if one loop iteration finds that its connect succeeded and its budget has "
    "ended") {
  for (const bool cancels : {false, true})
    for (const RetrySafety retry_safety : {RetrySafety::idempotent, RetrySafety::non_idempotent}) {
      SidecarHarness sidecar(customer_config(false, cancels, retry_safety), {5000, 3000, 300});
      FakeServer endpoint(sidecar.loop, {served_response});
      sidecar.update_endpoints(address_text(endpoint.address));
      TestConnection& client = sidecar.connect_client();
      client.send(rpc_request_text("read", 100));
      while (sidecar.counters.connections_opened == 0)
        sidecar.loop.run_once(0);  // by then the kernel has connected
      while (endpoint.connections.empty()) {
        FileDescriptor fd(::accept4(endpoint.listener.get(), nullptr, nullptr, SOCK_NONBLOCK));
        if (!fd) continue;
        endpoint.connections.push_back(
            std::make_unique<TestConnection>(sidecar.loop, endpoint.budget, std::move(fd), request));
      }
      for (const double end_ms = sidecar.loop.now() + 150; sidecar.loop.now() < end_ms;)
        continue;  // simulates a process that gets no CPU
      REQUIRE(run_until(sidecar.loop, [&] { return client.received.size() == 1; }));
      run_for(sidecar.loop, 20);
      endpoint.connections[0]->read();
      CHECK(endpoint.connections[0]->received.empty());
      CHECK(client.received[0].status == 503);  // the RPC did not run, so a retry is harmless
      CHECK(every_rpc_answered_once(sidecar));
    }
}

TEST_CASE(
    "a client's close is noticed although its input is not read to the end and nothing is forwarded after "
    "it") {
  struct {
    const char* description;
    int complete_requests;         // after the first one
    std::size_t incomplete_bytes;  // body bytes of a last request that is incomplete; 0 without one
    bool is_in_flight;             // the first is at the endpoint before the close; else all arrives at once
  } table[] = {
      {"one request, then the close", 0, 0, false},
      {"more of the next request than is read ahead, the first in flight", 0, 20000, true},
      {"more of the next request than is read ahead, then the close", 0, 20000, false},
      {"a hundred more requests at once, then the close", 100, 0, false},
      {"a hundred more requests at once, the first in flight", 100, 0, true},
  };
  for (const bool cancels : {false, true})
    for (const auto& row : table) {
      CAPTURE(std::string(row.description));
      SidecarHarness sidecar(customer_config(true, cancels, RetrySafety::idempotent), {5000, 60, 300});
      FakeServer endpoint(sidecar.loop, {"silent"});
      sidecar.update_endpoints(address_text(endpoint.address));
      TestConnection& client = sidecar.connect_client();
      run_rounds(sidecar.loop);
      std::string input = rpc_request_text("read", 3000);
      for (int i = 0; i < row.complete_requests; ++i) input += rpc_request_text("read", 3000);
      if (row.incomplete_bytes > 0)
        input +=
            "POST /read HTTP/1.1\r\nContent-Length: 60000\r\n\r\n" + std::string(row.incomplete_bytes, 'x');
      if (row.is_in_flight) {
        client.send(input);
        REQUIRE(run_until(sidecar.loop, [&] { return endpoint.request_targets.size() == 1; }));
        client.close();
        CHECK(run_until(sidecar.loop, [&] { return sidecar.counters.rpcs_abandoned == 1; }));
      } else {
        client.send(input);
        client.close();
      }
      run_for(sidecar.loop, 30);
      // With cancellation the endpoint sees its connection closed; without it the first request goes on
      // there. No other one is sent.
      CHECK(endpoint.request_targets.size() <= 1);
      if (!row.is_in_flight) CHECK(endpoint.request_targets.empty());
      if (!endpoint.connections.empty()) endpoint.connections[0]->send(served_response);
      run_for(sidecar.loop, 30);
      CHECK(endpoint.request_targets.size() <= 1);
      CHECK(sidecar.dispatcher.in_flight() == 0);
      CHECK(sidecar.counters.rpcs_ok == 0);
    }
}

TEST_CASE("a readiness request is answered although its client shuts down its sending side right after it") {
  SidecarHarness sidecar;
  TestConnection& client = sidecar.connect_client();
  run_rounds(sidecar.loop);
  client.send("GET /-/ready HTTP/1.1\r\n\r\n");
  client.stream->shutdown_write();
  REQUIRE(run_until(sidecar.loop, [&] { return client.received.size() == 1; }));
  CHECK(client.received[0].status == 200);
  CHECK(run_until(sidecar.loop, [&] { return client.is_ended; }));
}

TEST_CASE(
    "a client's reset is noticed during an upload that the endpoint does not read and the attempt is "
    "abandoned") {
  for (const bool cancels : {false, true}) {
    SidecarHarness sidecar(customer_config(true, cancels, RetrySafety::non_idempotent), {5000, 60, 300});
    const FileDescriptor listener = listen_on_loopback();  // the kernel accepts connects, nothing is read
    const int buffer_bytes = 4096;
    ::setsockopt(listener.get(), SOL_SOCKET, SO_RCVBUF, &buffer_bytes, sizeof buffer_bytes);
    sidecar.update_endpoints(address_text(local_address(listener)));
    TestConnection& client = sidecar.connect_client();
    WriteBuffer body;
    const std::string content(24 << 20, 'x');
    body.append_owned("POST /read HTTP/1.1\r\nX-Call-Id: upload\r\nX-Budget: 3000m\r\nContent-Length: " +
                      std::to_string(content.size()) + "\r\n\r\n");
    body.append_borrowed(content);
    std::size_t written_before = 1;
    while (body.written_bytes() != written_before) {  // until neither endpoint nor sidecar takes more
      written_before = body.written_bytes();
      client.stream->write(body);
      run_for(sidecar.loop, 30);
    }
    REQUIRE_FALSE(body.is_complete());
    REQUIRE(sidecar.dispatcher.in_flight() == 1);
    // A FIN would wait behind the bytes for which the kernel has no room, so the sidecar could not see it
    // yet.
    client.stream->reset_on_close();
    client.close();
    CHECK(run_until(sidecar.loop, [&] { return sidecar.counters.rpcs_abandoned == 1; }));
    run_rounds(sidecar.loop);
    CHECK(every_rpc_answered_once(sidecar));
    CHECK(sidecar.budget.open_count == 0);
  }
}

}  // namespace host
