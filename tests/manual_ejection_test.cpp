// Endpoints out by hand: the set, what the balancer and the pool make of it, and the second address.
#include "ejection/manual_ejection.h"

#include <doctest/doctest.h>

#include <random>

#include "admin/admin_server.h"
#include "config/config_error.h"
#include "hot_restart/hot_restart_policy.h"
#include "proxy/request_dispatcher.h"
#include "support/host.h"

using namespace host;

TEST_CASE("the set of what is out, against a model over random calls, lists and restarts") {
  std::knuth_b chance(7);
  const auto draw = [&](int n) { return static_cast<int>(chance() % static_cast<unsigned>(n)); };
  for (int run = 0; run < 50; ++run) {
    ManualEjections m;
    std::set<std::string> listed, out;
    const auto change = [&](const std::function<void(EjectionRecord&)>& how) {
      EjectionRecord b;
      b.ejected = m.ejected();
      how(b);
      m.replace_ejected(b.ejected);
    };
    for (int step = 0; step < 200; ++step) {
      const std::string id(1, static_cast<char>('a' + draw(6)));
      switch (draw(5)) {
        case 0: {  // a whole list
          std::vector<std::string> here;
          for (char c = 'a'; c < 'g'; ++c)
            if (draw(2)) here.emplace_back(1, c);
          m.update_endpoints(true, here, {});
          listed = {here.begin(), here.end()};
          break;
        }
        case 1:
          m.update_endpoints(false, {}, {id});
          listed.erase(id);
          break;
        case 2:
          m.update_endpoints(false, {id}, {});
          listed.insert(id);
          break;
        case 3:
          if (m.is_known(id)) change([&](EjectionRecord& b) { eject_endpoint(b, id); }), out.insert(id);
          break;
        default:
          if (m.is_known(id)) change([&](EjectionRecord& b) { restore_endpoint(b, id, 0); }), out.erase(id);
      }
      if (draw(40) == 0) {  // another process, told the list and what was out
        ManualEjections next;
        next.replace_ejected(m.ejected());
        next.update_endpoints(true, {listed.begin(), listed.end()}, {});
        m = next;
      }
      for (char c = 'a'; c < 'g'; ++c) {
        const std::string one(1, c);
        REQUIRE(m.is_ejected(one) == (out.count(one) > 0));
        REQUIRE(m.is_known(one) == (out.count(one) + listed.count(one) > 0));
      }
    }
  }
  CHECK(ids_missing_from({"a", "b"}, {"b", "c"}) == std::vector<std::string>{"c"});
}

TEST_CASE(
    "the balancer sends nothing to what is out, whatever the list says, and something when it is back") {
  LoadBalancerHarness m;
  m.update_endpoints(make_endpoints('a', 'b'));
  const auto picked = [&](const std::string& server, int tries) {
    int n = 0;
    for (int i = 0; i < tries; ++i) {
      m.now += 20;
      m.load_balancer.on_timer(m.now, 1);
      const std::string id = m.start_rpc();
      for (const Decision& d : m.take_decisions()) {
        if (d.action != Action::send_attempt) continue;
        n += d.endpoint_id == server;
        m.load_balancer.on_attempt_finished(m.now, id, d.attempt_index, AttemptOutcome::ok, 25, true, {});
      }
    }
    return n;
  };
  REQUIRE(picked("a", 100) > 0);
  m.load_balancer.set_ejected_manually(m.now, "a", true, m.now);
  CHECK(picked("a", 100) == 0);
  m.update_endpoints(make_endpoints('a', 'b'));
  CHECK(picked("a", 100) == 0);
  m.update_endpoints({make_endpoint("b")});
  m.run_maintenance_until(m.now + 60000);  // long enough to be forgotten
  m.update_endpoints({make_endpoint("a", m.now), make_endpoint("b")});
  CHECK(picked("a", 100) == 0);
  m.load_balancer.set_ejected_manually(m.now, "a", false, m.now);
  m.update_endpoints({make_endpoint("a", 1), make_endpoint("b")});  // the list knows of the start before
  const int first = picked("a", 200);
  CHECK(first > 0);  // within 5 s of the call back
  m.now += 60000;
  m.run_maintenance_until(m.now + 1000);
  CHECK(picked("a", 200) > first + 30);  // it was taken for cold
}

TEST_CASE("with all servers out RPCs are pushed back at once, with advice") {
  LoadBalancerHarness m;
  m.update_endpoints(make_endpoints('a', 'b'));
  for (const char* id : {"a", "b"}) m.load_balancer.set_ejected_manually(m.now, id, true, m.now);
  m.start_rpc();
  const Decision d = m.only_decision();
  CHECK(d.action == Action::reject);
  CHECK(d.delay_ms > 0);
}

TEST_CASE("a pick taken back unsent is drawn again at once, and neither it nor its server pays for it") {
  LoadBalancerHarness m(test_config(RetrySafety::non_idempotent));
  m.update_endpoints(make_endpoints('a', 'b'));
  for (int i = 0; i < 40; ++i) {  // more than the account of further picks could pay
    const std::string id = m.start_rpc();
    const Decision first = m.only_decision();
    REQUIRE(first.action == Action::send_attempt);
    m.load_balancer.set_ejected_manually(m.now, first.endpoint_id, true, m.now);
    m.load_balancer.on_attempt_finished(m.now, id, first.attempt_index, AttemptOutcome::withdrawn, 0, false,
                                        {});
    const Decision second = m.only_decision();
    REQUIRE(second.action == Action::send_attempt);
    CHECK(second.endpoint_id != first.endpoint_id);
    m.load_balancer.on_attempt_finished(m.now, id, second.attempt_index, AttemptOutcome::ok, 25, true, {});
    m.load_balancer.set_ejected_manually(m.now, first.endpoint_id, false, m.now);
    m.take_decisions();
    m.now += 30000;  // warm again
    m.run_maintenance_until(m.now + 1000);
  }
}

namespace {

struct AdminServerFixture {
  EventLoop event_loop;
  std::ostringstream log_text;
  Logger log{log_text, LogLevel::debug};
  Counters counts;
  std::vector<AdminRequest> requests;
  AdminServer admin_server{event_loop, counts, log,
                           [this](const AdminRequest& o, const AdminServer::ResponseCallback& then) {
                             requests.push_back(o);
                             then(o.endpoint_id == "nobody" ? 404 : 200, {});
                           }};
  sockaddr_in address;
  FileDescriptorBudget budget{200};
  std::vector<std::unique_ptr<TestConnection>> clients;

  AdminServerFixture() {
    FileDescriptor door = listen_on_loopback();
    address = local_address(door);
    admin_server.adopt_listener(std::move(door));
  }
  TestConnection& connect_client() {
    clients.push_back(std::make_unique<TestConnection>(event_loop, budget, start_connect(address),
                                                       http::HttpParser::MessageKind::response));
    return *clients.back();
  }
};

}  // namespace

TEST_CASE("calls on the second address, split at every byte") {
  struct {
    const char* text;
    int status;
    const char* id;
  } table[] = {
      {"GET /status HTTP/1.1\r\n\r\n", 200, ""},
      {"PUT /maintenance/enter?host=a HTTP/1.1\r\n\r\n", 200, "a"},
      {"PUT /maintenance/exit?host=s%2D5%20b HTTP/1.1\r\nContent-Length: 2\r\n\r\nhi", 200, "s-5 b"},
      {"PUT /maintenance/enter?x=1&host=a&y HTTP/1.0\r\n\r\n", 200, "a"},
      {"PUT /maintenance/enter?host=nobody HTTP/1.1\r\n\r\n", 404, "nobody"},
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
  for (const auto& t : table) {
    CAPTURE(std::string(t.text));
    const std::string text = t.text;
    for (std::size_t cut = 1; cut < text.size(); ++cut) {
      AdminServerFixture d;
      TestConnection& c = d.connect_client();
      c.send(text.substr(0, cut));
      for (int i = 0; i < 3; ++i) d.event_loop.run_once(0);
      c.send(text.substr(cut));
      REQUIRE(run_until(d.event_loop, [&] { return c.is_ended; }));
      REQUIRE(c.received.size() == 1);
      CHECK(c.received[0].status == t.status);
      CHECK((t.status != 405 || c.received[0].find_header("Allow").has_value()));
      CHECK(d.requests.size() == (t.id ? 1 : 0));
      if (t.id && !d.requests.empty()) CHECK(d.requests[0].endpoint_id == t.id);
    }
  }
}

TEST_CASE("callers who hold connections without a whole call shut nobody out") {
  AdminServerFixture d;
  for (std::size_t i = 0; i < 4 * AdminServer::reserved_descriptors; ++i) d.connect_client().send("GET /sta");
  run_for(d.event_loop, 20);
  TestConnection& c = d.connect_client();
  c.send("GET /status HTTP/1.1\r\n\r\n");
  REQUIRE(run_until(d.event_loop, [&] { return c.is_ended; }));
  CHECK(c.received.size() == 1);
  std::size_t open = 0;
  for (const auto& s : d.clients) open += !s->is_ended;
  CHECK(open < AdminServer::reserved_descriptors);
}

TEST_CASE("what has the first rank is served ahead of all others in a round") {
  EventLoop runs;
  FileDescriptorBudget budget{100};
  std::vector<int> order;
  std::vector<std::unique_ptr<TcpStream>> ends;
  std::vector<FileDescriptor> others;
  for (int i = 0; i < 20; ++i) {
    int pair[2];
    REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, pair) == 0);
    others.emplace_back(pair[1]);
    ends.push_back(std::make_unique<TcpStream>(
        runs, budget, FileDescriptor(pair[0]), [&order, i](std::uint32_t) { order.push_back(i); },
        i == 19 ? EventLoop::WatchPriority::high : EventLoop::WatchPriority::normal));
  }
  runs.run_once(0);
  CHECK(order.size() == 20);
  CHECK(order.front() == 19);
}

TEST_CASE("what is not yet written to an endpoint when it is taken out goes elsewhere, what is goes on") {
  EventLoop runs;
  std::ostringstream log_text;
  Logger lines(log_text, LogLevel::debug);
  Counters counts;
  FileDescriptorBudget budget{50};
  UpstreamPool endpoints(runs, budget, counts, lines, {5000, 60}, [] { return false; });
  RequestDispatcher rpcs(runs, endpoints, counts, lines, test_config(RetrySafety::non_idempotent), 1);
  FakeServer a(runs, {"silent"}), b(runs, {response_text(200, "served")});
  endpoints.update_endpoint("a", address_text(a.address));
  rpcs.update_endpoints(true, false, {make_endpoint("a")});
  const auto ask = [&](int id, int& status) {
    rpcs.dispatch(parse_message(http::HttpParser::MessageKind::request,
                                "GET /read HTTP/1.1\r\nX-Call-Id: " + std::to_string(id) +
                                    "\r\nX-Budget: 300m\r\n\r\n"),
                  runs.now(),
                  {[&status](RpcResult v) { status = v.outcome == RpcResult::Outcome::ok ? 200 : 503; }});
  };
  int first = 0, second = 0;
  ask(1, first);
  REQUIRE(run_until(runs, [&] { return a.request_targets.size() == 1; }));
  ask(2, second);  // still connecting
  endpoints.update_endpoint("b", address_text(b.address));
  rpcs.update_endpoints(true, false, {make_endpoint("a"), make_endpoint("b")});
  rpcs.set_ejected_manually("a", true, runs.now());
  REQUIRE(run_until(runs, [&] { return second != 0; }));
  CHECK(second == 200);
  CHECK(b.request_targets.size() == 1);
  CHECK(a.request_targets.size() == 1);
  CHECK(counts.attempts[static_cast<std::size_t>(AttemptOutcome::withdrawn)] == 1);
  CHECK(first == 0);  // in hand there, and left to end
}

TEST_CASE("a listener that is inherited is adopted, anything else is refused") {
  const FileDescriptor door = listen_on_loopback();
  const FileDescriptor adopted = adopt_listener_fd(::dup(door.get()));
  CHECK(adopted.get() >= 0);
  const FileDescriptor plain(::socket(AF_INET, SOCK_STREAM, 0)), datagrams(::socket(AF_INET, SOCK_DGRAM, 0));
  CHECK_THROWS_AS(adopt_listener_fd(plain.get()), ConfigError);
  CHECK_THROWS_AS(adopt_listener_fd(datagrams.get()), ConfigError);
  CHECK_THROWS_AS(adopt_listener_fd(999), ConfigError);
}
