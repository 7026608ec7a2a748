/// Manual ejections: the set, their effect on the load balancer and the upstream pool, and the admin server.
#include "ejection/manual_ejection.h"

#include <doctest/doctest.h>

#include <random>

#include "admin/admin_server.h"
#include "config/config_error.h"
#include "hot_restart/hot_restart_policy.h"
#include "proxy/request_dispatcher.h"
#include "support/host.h"

using namespace host;

namespace {

/// A model of ManualEjections in plain sets, and random operations on both.
struct EjectionModel {
  std::knuth_b& random;
  ManualEjections ejections;
  std::set<std::string> listed;
  std::set<std::string> ejected;

  static constexpr char first_id = 'a';
  static constexpr char end_id = 'g';

  int draw(int count) { return static_cast<int>(random() % static_cast<unsigned>(count)); }

  void change(const std::function<void(EjectionRecord&)>& apply) {
    EjectionRecord record;
    record.ejected = ejections.ejected();
    apply(record);
    ejections.replace_ejected(record.ejected);
  }

  void update_complete_list() {
    std::vector<std::string> present;
    for (char id = first_id; id < end_id; ++id)
      if (draw(2) != 0) present.emplace_back(1, id);
    ejections.update_endpoints(true, present, {});
    listed = {present.begin(), present.end()};
  }
  void add(const std::string& id) {
    ejections.update_endpoints(false, {id}, {});
    listed.insert(id);
  }
  void remove(const std::string& id) {
    ejections.update_endpoints(false, {}, {id});
    listed.erase(id);
  }
  void eject(const std::string& id) {
    if (!ejections.is_known(id)) return;
    change([&](EjectionRecord& record) { eject_endpoint(record, id); });
    ejected.insert(id);
  }
  void restore(const std::string& id) {
    if (!ejections.is_known(id)) return;
    change([&](EjectionRecord& record) { restore_endpoint(record, id, 0); });
    ejected.erase(id);
  }
  /// Another process starts with the list and the ejections of this one.
  void restart() {
    ManualEjections next;
    next.replace_ejected(ejections.ejected());
    next.update_endpoints(true, {listed.begin(), listed.end()}, {});
    ejections = next;
  }

  void step() {
    const std::string id(1, static_cast<char>(first_id + draw(6)));
    switch (draw(5)) {
      case 0:
        update_complete_list();
        break;
      case 1:
        remove(id);
        break;
      case 2:
        add(id);
        break;
      case 3:
        eject(id);
        break;
      default:
        restore(id);
    }
    if (draw(40) == 0) restart();
  }

  void check() const {
    for (char letter = first_id; letter < end_id; ++letter) {
      const std::string id(1, letter);
      REQUIRE(ejections.is_ejected(id) == ejected.contains(id));
      REQUIRE(ejections.is_known(id) == (ejected.contains(id) || listed.contains(id)));
    }
  }
};

/// Number of attempts that are sent to this endpoint for `rpc_count` RPCs, which arrive 20 ms apart.
int count_attempts(LoadBalancerHarness& harness, const std::string& endpoint_id, int rpc_count) {
  int count = 0;
  for (int i = 0; i < rpc_count; ++i) {
    harness.now += 20;
    harness.load_balancer.on_timer(harness.now, 1);
    const std::string rpc_id = harness.start_rpc();
    for (const Decision& decision : harness.take_decisions()) {
      if (decision.action != Action::send_attempt) continue;
      count += decision.endpoint_id == endpoint_id ? 1 : 0;
      harness.load_balancer.on_attempt_finished(harness.now, rpc_id, decision.attempt_index,
                                                AttemptOutcome::ok, 25, true, {});
    }
  }
  return count;
}

}  // namespace

TEST_CASE("manual ejections agree with a model over random requests and endpoint lists and restarts") {
  std::knuth_b random(7);
  for (int run = 0; run < 50; ++run) {
    EjectionModel model{random, {}, {}, {}};
    for (int step = 0; step < 200; ++step) {
      model.step();
      model.check();
    }
  }
  CHECK(ids_missing_from({"a", "b"}, {"b", "c"}) == std::vector<std::string>{"c"});
}

TEST_CASE("an ejected endpoint gets no attempts before its restoration whatever the endpoint list says") {
  LoadBalancerHarness harness;
  LoadBalancer& load_balancer = harness.load_balancer;
  harness.update_endpoints(make_endpoints('a', 'b'));
  REQUIRE(count_attempts(harness, "a", 100) > 0);
  load_balancer.set_ejected_manually(harness.now, "a", true, harness.now);
  CHECK(count_attempts(harness, "a", 100) == 0);
  harness.update_endpoints(make_endpoints('a', 'b'));
  CHECK(count_attempts(harness, "a", 100) == 0);
  harness.update_endpoints({make_endpoint("b")});
  harness.run_maintenance_until(harness.now + 60000);  // long enough for its state to be dropped
  harness.update_endpoints({make_endpoint("a", harness.now), make_endpoint("b")});
  CHECK(count_attempts(harness, "a", 100) == 0);
  load_balancer.set_ejected_manually(harness.now, "a", false, harness.now);
  harness.update_endpoints({make_endpoint("a", 1), make_endpoint("b")});  // started before the ejection
  const int attempts_in_slow_start = count_attempts(harness, "a", 200);
  CHECK(attempts_in_slow_start > 0);  // within 5 s of the restoration
  harness.now += 60000;
  harness.run_maintenance_until(harness.now + 1000);
  CHECK(count_attempts(harness, "a", 200) > attempts_in_slow_start + 30);  // more than in the slow start
}

TEST_CASE("RPCs are rejected at once with a Retry-After while all endpoints are ejected") {
  LoadBalancerHarness harness;
  harness.update_endpoints(make_endpoints('a', 'b'));
  for (const char* id : {"a", "b"})
    harness.load_balancer.set_ejected_manually(harness.now, id, true, harness.now);
  harness.start_rpc();
  const Decision decision = harness.only_decision();
  CHECK(decision.action == Action::reject);
  CHECK(decision.delay_ms > 0);
}

TEST_CASE("an attempt that is withdrawn before it is sent goes to another endpoint at once and at no cost") {
  LoadBalancerHarness harness(test_config(RetrySafety::non_idempotent));
  LoadBalancer& load_balancer = harness.load_balancer;
  harness.update_endpoints(make_endpoints('a', 'b'));
  for (int i = 0; i < 40; ++i) {  // more than the retry budget allows
    const std::string id = harness.start_rpc();
    const Decision first = harness.only_decision();
    REQUIRE(first.action == Action::send_attempt);
    load_balancer.set_ejected_manually(harness.now, first.endpoint_id, true, harness.now);
    load_balancer.on_attempt_finished(harness.now, id, first.attempt_index, AttemptOutcome::withdrawn, 0,
                                      false, {});
    const Decision second = harness.only_decision();
    REQUIRE(second.action == Action::send_attempt);
    CHECK(second.endpoint_id != first.endpoint_id);
    load_balancer.on_attempt_finished(harness.now, id, second.attempt_index, AttemptOutcome::ok, 25, true,
                                      {});
    load_balancer.set_ejected_manually(harness.now, first.endpoint_id, false, harness.now);
    harness.take_decisions();
    harness.now += 30000;  // the slow start is over
    harness.run_maintenance_until(harness.now + 1000);
  }
}

namespace {

struct AdminServerFixture {
  EventLoop event_loop;
  Counters counters;
  std::vector<AdminRequest> requests;
  AdminServer admin_server{event_loop, counters,
                           [this](const AdminRequest& request, const AdminServer::ResponseCallback& respond) {
                             requests.push_back(request);
                             respond(request.endpoint_id == "unknown" ? 404 : 200, {});
                           }};
  sockaddr_in address;
  FileDescriptorBudget budget{200};
  std::vector<std::unique_ptr<TestConnection>> clients;

  AdminServerFixture() {
    FileDescriptor listener = listen_on_loopback();
    address = local_address(listener);
    admin_server.adopt_listener(std::move(listener));
  }
  TestConnection& connect_client() {
    clients.push_back(std::make_unique<TestConnection>(event_loop, budget, start_connect(address),
                                                       http::HttpParser::MessageKind::response));
    return *clients.back();
  }
};

}  // namespace

TEST_CASE("admin server: requests that are split at any byte get the expected status") {
  struct {
    const char* text;
    int status;
    const char* endpoint_id;
  } table[] = {
      {"GET /status HTTP/1.1\r\n\r\n", 200, ""},
      {"PUT /maintenance/enter?host=a HTTP/1.1\r\n\r\n", 200, "a"},
      {"PUT /maintenance/exit?host=s%2D5%20b HTTP/1.1\r\nContent-Length: 2\r\n\r\nhi", 200, "s-5 b"},
      {"PUT /maintenance/enter?x=1&host=a&y HTTP/1.0\r\n\r\n", 200, "a"},
      {"PUT /maintenance/enter?host=unknown HTTP/1.1\r\n\r\n", 404, "unknown"},
      {"PUT /maintenance/enter?host=a&host=b HTTP/1.1\r\n\r\n", 400, nullptr},
      {"PUT /maintenance/enter?host= HTTP/1.1\r\n\r\n", 400, nullptr},
      {"PUT /maintenance/enter?host=%zz HTTP/1.1\r\n\r\n", 400, nullptr},
      {"PUT /maintenance/enter?host=a%0 HTTP/1.1\r\n\r\n", 400, nullptr},
      {"PUT /maintenance/enter?host=a%00 HTTP/1.1\r\n\r\n", 400, nullptr},
      {"PUT /maintenance/enter HTTP/1.1\r\n\r\n", 400, nullptr},
      {"PUT /maintenance/enter? HTTP/1.1\r\n\r\n", 400, nullptr},
      {"GET /maintenance/enter?host=a HTTP/1.1\r\n\r\n", 405, nullptr},
      {"PUT /status HTTP/1.1\r\n\r\n", 405, nullptr},
      {"GET /-/members HTTP/1.1\r\n\r\n", 200, ""},
      {"PUT /-/members HTTP/1.1\r\n\r\n", 405, nullptr},
      {"GET /read HTTP/1.1\r\nX-Call-Id: 1\r\nX-Budget: 5m\r\n\r\n", 404, nullptr},
      {"nonsense\r\n\r\n", 400, nullptr},
      {"PUT /maintenance/enter?host=a HTTP/1.1\r\nContent-Length: 9999\r\n\r\n", 413, nullptr},
  };
  for (const auto& row : table) {
    CAPTURE(std::string(row.text));
    const std::string text = row.text;
    for (std::size_t cut = 1; cut < text.size(); ++cut) {
      AdminServerFixture fixture;
      TestConnection& client = fixture.connect_client();
      client.send(text.substr(0, cut));
      for (int i = 0; i < 3; ++i) fixture.event_loop.run_once(0);
      client.send(text.substr(cut));
      REQUIRE(run_until(fixture.event_loop, [&] { return client.is_ended; }));
      REQUIRE(client.received.size() == 1);
      CHECK(client.received[0].status == row.status);
      CHECK((row.status != 405 || client.received[0].find_header("Allow").has_value()));
      CHECK(fixture.requests.size() == (row.endpoint_id ? 1 : 0));
      if (row.endpoint_id && !fixture.requests.empty())
        CHECK(fixture.requests[0].endpoint_id == row.endpoint_id);
    }
  }
}

TEST_CASE("admin server: clients that hold connections without a complete request don't keep out others") {
  AdminServerFixture fixture;
  for (std::size_t i = 0; i < 4 * AdminServer::reserved_descriptors; ++i)
    fixture.connect_client().send("GET /sta");
  run_for(fixture.event_loop, 20);
  TestConnection& client = fixture.connect_client();
  client.send("GET /status HTTP/1.1\r\n\r\n");
  REQUIRE(run_until(fixture.event_loop, [&] { return client.is_ended; }));
  CHECK(client.received.size() == 1);
  std::size_t open_count = 0;
  for (const auto& other : fixture.clients) open_count += other->is_ended ? 0 : 1;
  CHECK(open_count < AdminServer::reserved_descriptors);
}

TEST_CASE("event loop: a watch of high priority is dispatched ahead of all others in an iteration") {
  constexpr int stream_count = 20;
  EventLoop event_loop;
  FileDescriptorBudget budget{100};
  std::vector<int> order;
  std::vector<std::unique_ptr<TcpStream>> streams;
  std::vector<FileDescriptor> peers;
  for (int i = 0; i < stream_count; ++i) {
    int pair[2];
    REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, pair) == 0);
    peers.emplace_back(pair[1]);
    const bool is_last = i == stream_count - 1;
    streams.push_back(std::make_unique<TcpStream>(
        event_loop, budget, FileDescriptor(pair[0]), [&order, i](std::uint32_t) { order.push_back(i); },
        is_last ? EventLoop::WatchPriority::high : EventLoop::WatchPriority::normal));
  }
  event_loop.run_once(0);
  CHECK(order.size() == stream_count);
  CHECK(order.front() == stream_count - 1);
}

TEST_CASE("an ejection moves unwritten requests to another endpoint and lets written ones continue") {
  EventLoop event_loop;
  std::ostringstream log_text;
  Logger logger(log_text, LogLevel::debug);
  Counters counters;
  FileDescriptorBudget budget{50};
  UpstreamPool pool(event_loop, budget, counters, logger, {5000, 60}, [] { return false; });
  RequestDispatcher dispatcher(event_loop, pool, counters, logger, test_config(RetrySafety::non_idempotent),
                               1);
  FakeServer endpoint_a(event_loop, {"silent"});
  FakeServer endpoint_b(event_loop, {response_text(200, "served")});
  pool.update_endpoint("a", address_text(endpoint_a.address));
  dispatcher.update_endpoints(true, false, {make_endpoint("a")});
  const auto send_request = [&](int id, int& status) {
    const std::string text =
        "GET /read HTTP/1.1\r\nX-Call-Id: " + std::to_string(id) + "\r\nX-Budget: 300m\r\n\r\n";
    dispatcher.dispatch(parse_message(http::HttpParser::MessageKind::request, text), event_loop.now(),
                        {[&status](const RpcResult& result) {
                          status = result.outcome == RpcResult::Outcome::ok ? 200 : 503;
                        }});
  };
  int first_status = 0;
  int second_status = 0;
  send_request(1, first_status);
  REQUIRE(run_until(event_loop, [&] { return endpoint_a.request_targets.size() == 1; }));
  send_request(2, second_status);  // its connection is still being established
  pool.update_endpoint("b", address_text(endpoint_b.address));
  dispatcher.update_endpoints(true, false, {make_endpoint("a"), make_endpoint("b")});
  dispatcher.set_ejected_manually("a", true, event_loop.now());
  REQUIRE(run_until(event_loop, [&] { return second_status != 0; }));
  CHECK(second_status == 200);
  CHECK(endpoint_b.request_targets.size() == 1);
  CHECK(endpoint_a.request_targets.size() == 1);
  CHECK(counters.attempts[static_cast<std::size_t>(AttemptOutcome::withdrawn)] == 1);
  CHECK(first_status == 0);  // still in flight at endpoint a
}

TEST_CASE("an inherited listener is adopted and any other descriptor is rejected") {
  const FileDescriptor listener = listen_on_loopback();
  const FileDescriptor adopted = adopt_listener_fd(::dup(listener.get()));
  CHECK(adopted.get() >= 0);
  const FileDescriptor unconnected(::socket(AF_INET, SOCK_STREAM, 0));
  const FileDescriptor datagram_socket(::socket(AF_INET, SOCK_DGRAM, 0));
  CHECK_THROWS_AS(adopt_listener_fd(unconnected.get()), ConfigError);
  CHECK_THROWS_AS(adopt_listener_fd(datagram_socket.get()), ConfigError);
  CHECK_THROWS_AS(adopt_listener_fd(999), ConfigError);
}
