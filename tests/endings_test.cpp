// What is owed at the instant in which something ends (docs/endings.md), on real sockets. The crossing is
// forced: the loop is stepped by hand, a full queue holds a connect back until it is let up, bytes and an end
// go into one round.
#include <doctest/doctest.h>

#include <algorithm>
#include <array>

#include "support/parts.h"

using namespace host;

namespace {

// What one row of a table needs; all rows take their second together.
struct DelayedEndpointCase {
  SidecarHarness proxy;
  StalledListener delayed;
  DelayedEndpointCase(const LoadBalancerConfig& row, ConnectionConfig with) : proxy(row, with) {}
};
using DelayedEndpointCases = std::vector<std::unique_ptr<DelayedEndpointCase>>;

void run_all(DelayedEndpointCases& all, double ms) {
  const double until_then = all.front()->proxy.loop.now() + ms;
  while (all.front()->proxy.loop.now() < until_then)
    for (auto& one : all) {
      one->proxy.loop.run_once(0.2);
      one->delayed.receive();
    }
}
void open_all_queues(DelayedEndpointCases& all) {
  for (auto& one : all) one->delayed.release();
  run_all(all, 1500);
}

struct EndpointChange {
  const char* what;
  void (*tell)(SidecarHarness&, const std::string& late, const std::string& other);
  bool goes_elsewhere;
};

const EndpointChange endpoint_changes[] = {
    {"nothing happens", [](SidecarHarness&, const std::string&, const std::string&) {}, false},
    {"draining",
     [](SidecarHarness& sidecar, const std::string& late, const std::string& other) {
       sidecar.upstreams.update_endpoint("a", late, EndpointState::draining);
       sidecar.upstreams.update_endpoint("b", other);
       sidecar.dispatcher.update_endpoints(
           false, true, {make_endpoint("a", 0, EndpointState::draining), make_endpoint("b")});
     },
     true},
    {"gone",
     [](SidecarHarness& sidecar, const std::string&, const std::string& other) {
       sidecar.upstreams.remove_endpoint("a");
       sidecar.upstreams.update_endpoint("b", other);
       sidecar.dispatcher.update_endpoints(false, true,
                                           {make_endpoint("a", 0, EndpointState::gone), make_endpoint("b")});
     },
     true},
    {"left out of a whole list",
     [](SidecarHarness& sidecar, const std::string&, const std::string& other) {
       sidecar.upstreams.update_endpoint("b", other);
       sidecar.upstreams.retain_endpoints({make_endpoint("b")});
       sidecar.dispatcher.update_endpoints(true, true, {make_endpoint("b")});
     },
     true},
    {"moved",
     [](SidecarHarness& sidecar, const std::string&, const std::string& other) {
       sidecar.upstreams.update_endpoint("a", other);
       sidecar.dispatcher.update_endpoints(false, true, {make_endpoint("a")});
     },
     true},
    {"gone, and back elsewhere in the same answer",
     [](SidecarHarness& sidecar, const std::string&, const std::string& other) {
       sidecar.upstreams.remove_endpoint("a");
       sidecar.upstreams.update_endpoint("a", other);
       sidecar.dispatcher.update_endpoints(false, true,
                                           {make_endpoint("a", 0, EndpointState::gone), make_endpoint("a")});
     },
     true},
    {"told with an address that is none",
     [](SidecarHarness& sidecar, const std::string&, const std::string& other) {
       sidecar.upstreams.update_endpoint("a", "nowhere");
       sidecar.upstreams.update_endpoint("b", other);
       sidecar.dispatcher.update_endpoints(
           false, true, {make_endpoint("a", 0, EndpointState::draining), make_endpoint("b")});
     },
     true},
    {"started anew",
     [](SidecarHarness& sidecar, const std::string& late, const std::string& other) {
       sidecar.upstreams.update_endpoint("a", late, EndpointState::ready, 1e12);
       sidecar.upstreams.update_endpoint("b", other);
       sidecar.dispatcher.update_endpoints(
           false, true, {make_endpoint("a", 1e12, EndpointState::draining), make_endpoint("b")});
     },
     true},
    {"out by hand",
     [](SidecarHarness& sidecar, const std::string&, const std::string& other) {
       sidecar.upstreams.update_endpoint("b", other);
       sidecar.dispatcher.update_endpoints(false, true, {make_endpoint("b")});
       sidecar.dispatcher.set_ejected_manually("a", true, 0);
     },
     true},
};

}  // namespace

TEST_CASE(
    "a client that left is owed nothing: what waits for its connection is not sent on when that comes up") {
  enum class Leaves { not_at_all, by_fin, by_reset, by_half_close };
  DelayedEndpointCases all;
  std::vector<Leaves> how;
  for (const bool cancels : {false, true})
    for (const RetrySafety repeats :
         {RetrySafety::idempotent, RetrySafety::idempotency_key, RetrySafety::non_idempotent})
      for (const Leaves by : {Leaves::not_at_all, Leaves::by_fin, Leaves::by_reset, Leaves::by_half_close}) {
        all.push_back(std::make_unique<DelayedEndpointCase>(customer_config(true, cancels, repeats),
                                                            slow_upstream_config));
        how.push_back(by);
        SidecarHarness& sidecar = all.back()->proxy;
        sidecar.update_endpoints(address_text(all.back()->delayed.address));
        TestConnection& client = sidecar.connect_client();
        client.send(rpc_request_text("read", 3900));
        REQUIRE(run_until(sidecar.loop, [&] { return sidecar.counters.connections_opened == 1; }));
        if (by == Leaves::by_reset) client.stream->reset_on_close();
        if (by == Leaves::by_half_close)
          client.stream->shutdown_write();
        else if (by != Leaves::not_at_all)
          client.close();
        if (by == Leaves::not_at_all) continue;
        CHECK(run_until(sidecar.loop, [&] { return sidecar.counters.rpcs_abandoned == 1; }));
        run_rounds(sidecar.loop);
        CHECK(attempts_with_outcome(sidecar, AttemptOutcome::withdrawn) +
                  attempts_with_outcome(sidecar, AttemptOutcome::cancelled) ==
              1);
        CHECK(every_rpc_answered_once(sidecar));
      }
  open_all_queues(all);
  for (std::size_t i = 0; i < all.size(); ++i) {
    CAPTURE(i);
    // Where the client stayed, the same connect did come up, and brought its request.
    CHECK(all[i]->delayed.request_count() == (how[i] == Leaves::not_at_all ? 1 : 0));
  }
}

TEST_CASE(
    "a client's end and its RPC's connect in one round, after the process stood still: the end counts "
    "first") {
  for (const bool longer : {false, true})
    for (const bool cancels : {false, true})
      for (const RetrySafety repeats :
           {RetrySafety::idempotent, RetrySafety::idempotency_key, RetrySafety::non_idempotent})
        for (const bool by_reset : {false, true}) {
          SidecarHarness sidecar(customer_config(longer, cancels, repeats), {5000, 3000, 300});
          FakeServer endpoint(sidecar.loop, {served_response});
          sidecar.update_endpoints(address_text(endpoint.address));
          TestConnection& client = sidecar.connect_client();
          run_rounds(sidecar.loop);
          client.send(rpc_request_text("read", longer ? 3900 : 140));
          while (sidecar.counters.connections_opened == 0)
            sidecar.loop.run_once(0);  // up in the kernel, not told yet
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

TEST_CASE("a client that left while its RPC waits for probes is owed nothing: it is sent nowhere") {
  for (const bool leaves : {false, true}) {
    LoadBalancerConfig row = customer_config(true, true, RetrySafety::idempotent);
    row.probes_report_load = true;
    row.probe_cost = 0.0001;
    SidecarHarness sidecar(row, slow_upstream_config);
    FakeServer one(sidecar.loop, {});
    FakeServer other(sidecar.loop, {});
    sidecar.upstreams.update_endpoint("a", address_text(one.address));
    sidecar.upstreams.update_endpoint("b", address_text(other.address));
    sidecar.dispatcher.update_endpoints(true, false, {make_endpoint("a"), make_endpoint("b")});
    TestConnection& client = sidecar.connect_client();
    client.send(rpc_request_text("read", 3900));
    const auto asked = [&](const char* target) {
      return std::count(one.request_targets.begin(), one.request_targets.end(), target) +
             std::count(other.request_targets.begin(), other.request_targets.end(), target);
    };
    REQUIRE(run_until(sidecar.loop, [&] { return asked("/-/load") > 0; }));
    REQUIRE(asked("/read") == 0);
    if (leaves) client.close();
    run_for(sidecar.loop, 400);  // an RPC waits for them no longer than a part of that
    CHECK(asked("/read") == (leaves ? 0 : 1));
    if (leaves) CHECK(every_rpc_answered_once(sidecar));
  }
}

TEST_CASE(
    "an endpoint that drains, goes, moves or starts anew is owed no byte of what still connects to it") {
  DelayedEndpointCases all;
  std::vector<bool> stays;
  std::vector<std::unique_ptr<FakeServer>> others;
  for (const bool cancels : {false, true})
    for (const RetrySafety repeats : {RetrySafety::idempotent, RetrySafety::non_idempotent})
      for (const EndpointChange& row : endpoint_changes) {
        CAPTURE(std::string(row.what));
        all.push_back(std::make_unique<DelayedEndpointCase>(customer_config(true, cancels, repeats),
                                                            slow_upstream_config));
        SidecarHarness& sidecar = all.back()->proxy;
        others.push_back(
            std::make_unique<FakeServer>(sidecar.loop, std::vector<std::string>{served_response}));
        FakeServer& other = *others.back();
        const std::string late = address_text(all.back()->delayed.address);
        sidecar.update_endpoints(late);
        TestConnection& client = sidecar.connect_client();
        client.send(rpc_request_text("read", 3900));
        REQUIRE(run_until(sidecar.loop, [&] { return sidecar.counters.connections_opened == 1; }));
        row.tell(sidecar, late, address_text(other.address));
        stays.push_back(!row.goes_elsewhere);
        if (!row.goes_elsewhere) continue;
        REQUIRE(run_until(sidecar.loop, [&] { return client.received.size() == 1; }));
        CHECK(client.received[0].status == 200);
        CHECK(attempts_with_outcome(sidecar, AttemptOutcome::withdrawn) == 1);
        CHECK(attempts_with_outcome(sidecar, AttemptOutcome::connect_failed) ==
              0);  // it is no fault of the endpoint's
        CHECK(other.request_targets.size() == 1);
        CHECK(every_rpc_answered_once(sidecar));
      }
  open_all_queues(all);
  for (std::size_t i = 0; i < all.size(); ++i) {
    CAPTURE(i);
    CHECK(all[i]->delayed.request_count() == (stays[i] ? 1 : 0));
  }
}

TEST_CASE("a group is owed no repeat that it may have forgotten, though its connection comes up late") {
  DelayedEndpointCases all;
  std::vector<std::unique_ptr<FakeServer>> firsts;
  const std::array<double, 2> remembered{600, 20000};
  for (const bool cancels : {false, true})
    for (const double remembers : remembered) {
      LoadBalancerConfig row = customer_config(true, cancels, RetrySafety::idempotency_key);
      for (MethodConfig& m : row.methods) m.deduplication_window_ms = remembers;
      all.push_back(std::make_unique<DelayedEndpointCase>(row, slow_upstream_config));
      SidecarHarness& sidecar = all.back()->proxy;
      firsts.push_back(std::make_unique<FakeServer>(sidecar.loop, std::vector<std::string>{"silent"}));
      FakeServer& first = *firsts.back();
      sidecar.update_endpoints(address_text(first.address));
      TestConnection& client = sidecar.connect_client();
      client.send(rpc_request_text("read", 3900));
      REQUIRE(run_until(sidecar.loop, [&] { return first.request_targets.size() == 1; }));
      sidecar.upstreams.update_endpoint("b", address_text(all.back()->delayed.address));
      sidecar.dispatcher.update_endpoints(true, true, {make_endpoint("b")});
      first.connections[0]->close();  // it may have run: the repeat goes to b, whose connect hangs
      REQUIRE(run_until(sidecar.loop, [&] { return sidecar.counters.connections_opened == 2; }));
    }
  run_all(all, 700);
  for (std::size_t i = 0; i < all.size(); ++i) {
    CAPTURE(i);
    const bool forgets = i % 2 == 0;
    CHECK(attempts_with_outcome(all[i]->proxy, AttemptOutcome::withdrawn) == (forgets ? 1 : 0));
    CHECK(all[i]->proxy.connections[0]->received.size() ==
          (forgets ? 1 : 0));  // answered at once, as there is no way left
  }
  open_all_queues(all);
  for (std::size_t i = 0; i < all.size(); ++i) CHECK(all[i]->delayed.request_count() == i % 2);
}

TEST_CASE("an endpoint is told how long is left when its connection is up, not when that was begun") {
  DelayedEndpointCases all;
  all.push_back(std::make_unique<DelayedEndpointCase>(customer_config(true, true, RetrySafety::idempotent),
                                                      slow_upstream_config));
  SidecarHarness& sidecar = all[0]->proxy;
  sidecar.update_endpoints(address_text(all[0]->delayed.address));
  sidecar.connect_client().send(rpc_request_text("read", 3900));
  REQUIRE(run_until(sidecar.loop, [&] { return sidecar.counters.connections_opened == 1; }));
  open_all_queues(all);
  const std::string& heard = all[0]->delayed.received;
  const std::size_t at = heard.find("X-Budget: ");
  REQUIRE(at != std::string::npos);
  const double told = std::stod(heard.substr(at + 10)) / 1000;
  CHECK(told < 3000);
  CHECK(told > 1500);
}

TEST_CASE(
    "a connect that hangs costs an RPC less than half of its time: then it goes elsewhere or is answered") {
  for (const bool longer : {false, true})
    for (const bool elsewhere : {false, true}) {
      CAPTURE(longer);
      CAPTURE(elsewhere);
      SidecarHarness sidecar(customer_config(longer, longer, RetrySafety::non_idempotent), {5000, 3000, 300});
      StalledListener stalled;
      FakeServer b(sidecar.loop, {served_response});
      sidecar.update_endpoints(address_text(stalled.address));
      TestConnection& client = sidecar.connect_client();
      const double budget = longer ? 1000 : 150;
      const double began = sidecar.loop.now();
      client.send(rpc_request_text("read", static_cast<int>(budget)));
      REQUIRE(run_until(sidecar.loop, [&] { return sidecar.counters.connections_opened == 1; }));
      if (elsewhere) {
        sidecar.upstreams.update_endpoint("b", address_text(b.address));
        sidecar.dispatcher.update_endpoints(false, true, {make_endpoint("b")});
      }
      REQUIRE(run_until(sidecar.loop, [&] { return client.received.size() == 1; }));
      CHECK(sidecar.loop.now() - began < budget / 2 + 40);
      // To the same server again, where no other is known: by its weight it may come first with another, too.
      if (!elsewhere) CHECK(client.received[0].status == 503);
      CHECK(every_rpc_answered_once(sidecar));
    }
}

TEST_CASE(
    "what is over is not sent, though its connect and the end of its time are found in the same round") {
  for (const bool cancels : {false, true})
    for (const RetrySafety repeats : {RetrySafety::idempotent, RetrySafety::non_idempotent}) {
      SidecarHarness sidecar(customer_config(false, cancels, repeats), {5000, 3000, 300});
      FakeServer endpoint(sidecar.loop, {served_response});
      sidecar.update_endpoints(address_text(endpoint.address));
      TestConnection& client = sidecar.connect_client();
      client.send(rpc_request_text("read", 100));
      while (sidecar.counters.connections_opened == 0)
        sidecar.loop.run_once(0);  // the kernel has the connection up by now
      while (endpoint.connections.empty()) {
        FileDescriptor fd(::accept4(endpoint.listener.get(), nullptr, nullptr, SOCK_NONBLOCK));
        if (!fd) continue;
        endpoint.connections.push_back(
            std::make_unique<TestConnection>(sidecar.loop, endpoint.budget, std::move(fd), request));
      }
      for (const double end = sidecar.loop.now() + 150; sidecar.loop.now() < end;)
        continue;  // this process gets no core
      REQUIRE(run_until(sidecar.loop, [&] { return client.received.size() == 1; }));
      run_for(sidecar.loop, 20);
      endpoint.connections[0]->read();
      CHECK(endpoint.connections[0]->received.empty());
      CHECK(client.received[0].status == 503);  // it ran nowhere: a retry is harmless
      CHECK(every_rpc_answered_once(sidecar));
    }
}

TEST_CASE("a client's end is seen behind what is not read: nothing of all that it sent is sent on after it") {
  struct {
    const char* what;
    int whole;           // further requests behind the first
    std::size_t behind;  // bytes of one more that is not whole
    bool held;           // the first is at the endpoint when the end comes; else all comes in one round
  } table[] = {
      {"one request, and gone", 0, 0, false},
      {"more than is read ahead of the next one, held", 0, 20000, true},
      {"more than is read ahead of the next one, in one breath", 0, 20000, false},
      {"a hundred requests at once, and gone", 100, 0, false},
      {"a hundred requests at once, the first held, and gone", 100, 0, true},
  };
  for (const bool cancels : {false, true})
    for (const auto& row : table) {
      CAPTURE(std::string(row.what));
      SidecarHarness sidecar(customer_config(true, cancels, RetrySafety::idempotent), {5000, 60, 300});
      FakeServer endpoint(sidecar.loop, {"silent"});
      sidecar.update_endpoints(address_text(endpoint.address));
      TestConnection& client = sidecar.connect_client();
      run_rounds(sidecar.loop);
      std::string all = rpc_request_text("read", 3000);
      for (int i = 0; i < row.whole; ++i) all += rpc_request_text("read", 3000);
      if (row.behind > 0)
        all += "POST /read HTTP/1.1\r\nContent-Length: 60000\r\n\r\n" + std::string(row.behind, 'x');
      if (row.held) {
        client.send(all);
        REQUIRE(run_until(sidecar.loop, [&] { return endpoint.request_targets.size() == 1; }));
        client.close();
        CHECK(run_until(sidecar.loop, [&] { return sidecar.counters.rpcs_abandoned == 1; }));
      } else {
        client.send(all);
        client.close();
      }
      run_for(sidecar.loop, 30);
      // With cancels the endpoint hears that it may stop; without them what it has goes on, and is all.
      CHECK(endpoint.request_targets.size() <= 1);
      if (!row.held) CHECK(endpoint.request_targets.empty());
      if (!endpoint.connections.empty()) endpoint.connections[0]->send(served_response);
      run_for(sidecar.loop, 30);
      CHECK(endpoint.request_targets.size() <= 1);
      CHECK(sidecar.dispatcher.in_flight() == 0);
      CHECK(sidecar.counters.rpcs_ok == 0);
    }
}

TEST_CASE("who asks whether we are ready and closes its side in the same breath is told") {
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
    "a client that is gone during an upload which the endpoint doesn't take is seen, and its pick given up") {
  for (const bool cancels : {false, true}) {
    SidecarHarness sidecar(customer_config(true, cancels, RetrySafety::non_idempotent), {5000, 60, 300});
    const FileDescriptor door = listen_on_loopback();  // accepts, and never reads
    const int small = 4096;
    ::setsockopt(door.get(), SOL_SOCKET, SO_RCVBUF, &small, sizeof small);
    sidecar.update_endpoints(address_text(local_address(door)));
    TestConnection& client = sidecar.connect_client();
    WriteBuffer body;
    const std::string long_one(24 << 20, 'x');
    body.append_owned("POST /read HTTP/1.1\r\nX-Call-Id: upload\r\nX-Budget: 3000m\r\nContent-Length: " +
                      std::to_string(long_one.size()) + "\r\n\r\n");
    body.append_borrowed(long_one);
    std::size_t before = 1;
    while (body.written_bytes() != before) {  // until neither side takes any more
      before = body.written_bytes();
      client.stream->write(body);
      run_for(sidecar.loop, 30);
    }
    REQUIRE_FALSE(body.is_complete());
    REQUIRE(sidecar.dispatcher.in_flight() == 1);
    client.stream
        ->reset_on_close();  // an end that comes behind what our machine has no room for is not here yet
    client.close();
    CHECK(run_until(sidecar.loop, [&] { return sidecar.counters.rpcs_abandoned == 1; }));
    run_rounds(sidecar.loop);
    CHECK(every_rpc_answered_once(sidecar));
    CHECK(sidecar.budget.open_count == 0);
  }
}
