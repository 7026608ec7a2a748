// Endpoints out by hand: the set, what the balancer and the pool make of it, and the second address.
#include "../src/maintenance/maintenance.h"

#include <doctest/doctest.h>

#include <random>

#include "../src/handover/handover.h"
#include "../src/net/admin.h"
#include "../src/net/relay.h"
#include "host.h"

using namespace host;

TEST_CASE("the set of what is out, against a model over random calls, lists and restarts") {
  std::knuth_b chance(7);
  const auto draw = [&](int n) { return static_cast<int>(chance() % static_cast<unsigned>(n)); };
  for (int run = 0; run < 50; ++run) {
    maintenance m;
    std::set<std::string> listed, out;
    const auto change = [&](const std::function<void(bans&)>& how) {
      bans b;
      b.out = m.all_out();
      how(b);
      m.restore(b.out);
    };
    for (int step = 0; step < 200; ++step) {
      const std::string id(1, static_cast<char>('a' + draw(6)));
      switch (draw(5)) {
        case 0: {  // a whole list
          std::vector<std::string> here;
          for (char c = 'a'; c < 'g'; ++c)
            if (draw(2)) here.emplace_back(1, c);
          m.listed(true, here, {});
          listed = {here.begin(), here.end()};
          break;
        }
        case 1:
          m.listed(false, {}, {id});
          listed.erase(id);
          break;
        case 2:
          m.listed(false, {id}, {});
          listed.insert(id);
          break;
        case 3:
          if (m.knows(id)) change([&](bans& b) { take_out(b, id); }), out.insert(id);
          break;
        default:
          if (m.knows(id)) change([&](bans& b) { put_back(b, id, 0); }), out.erase(id);
      }
      if (draw(40) == 0) {  // another process, told the list and what was out
        maintenance next;
        next.restore(m.all_out());
        next.listed(true, {listed.begin(), listed.end()}, {});
        m = next;
      }
      for (char c = 'a'; c < 'g'; ++c) {
        const std::string one(1, c);
        REQUIRE(m.out(one) == (out.count(one) > 0));
        REQUIRE(m.knows(one) == (out.count(one) + listed.count(one) > 0));
      }
    }
  }
  CHECK(missing({"a", "b"}, {"b", "c"}) == std::vector<std::string>{"c"});
}

TEST_CASE(
    "the balancer sends nothing to what is out, whatever the list says, and something when it is back") {
  one m;
  m.list(letters('a', 'b'));
  const auto picked = [&](const std::string& server, int tries) {
    int n = 0;
    for (int i = 0; i < tries; ++i) {
      m.now += 20;
      m.b.woken(m.now, 1);
      const std::string id = m.arrive();
      for (const decision& d : m.pull()) {
        if (d.what != verb::pick) continue;
        n += d.server == server;
        m.b.pick_ended(m.now, id, d.pick, ending::ok, 25, true, {});
      }
    }
    return n;
  };
  REQUIRE(picked("a", 100) > 0);
  m.b.withheld(m.now, "a", true, m.now);
  CHECK(picked("a", 100) == 0);
  m.list(letters('a', 'b'));
  CHECK(picked("a", 100) == 0);
  m.list({at("b")});
  m.beats(m.now + 60000);  // long enough to be forgotten
  m.list({at("a", m.now), at("b")});
  CHECK(picked("a", 100) == 0);
  m.b.withheld(m.now, "a", false, m.now);
  m.list({at("a", 1), at("b")});  // the list knows of the start before
  const int first = picked("a", 200);
  CHECK(first > 0);  // within 5 s of the call back
  m.now += 60000;
  m.beats(m.now + 1000);
  CHECK(picked("a", 200) > first + 30);  // it was taken for cold
}

TEST_CASE("with all servers out RPCs are pushed back at once, with advice") {
  one m;
  m.list(letters('a', 'b'));
  for (const char* id : {"a", "b"}) m.b.withheld(m.now, id, true, m.now);
  m.arrive();
  const decision d = m.only();
  CHECK(d.what == verb::push_back);
  CHECK(d.after > 0);
}

TEST_CASE("a pick taken back unsent is drawn again at once, and neither it nor its server pays for it") {
  one m(ground(repeatable::non_idempotent));
  m.list(letters('a', 'b'));
  for (int i = 0; i < 40; ++i) {  // more than the account of further picks could pay
    const std::string id = m.arrive();
    const decision first = m.only();
    REQUIRE(first.what == verb::pick);
    m.b.withheld(m.now, first.server, true, m.now);
    m.b.pick_ended(m.now, id, first.pick, ending::withdrawn, 0, false, {});
    const decision second = m.only();
    REQUIRE(second.what == verb::pick);
    CHECK(second.server != first.server);
    m.b.pick_ended(m.now, id, second.pick, ending::ok, 25, true, {});
    m.b.withheld(m.now, first.server, false, m.now);
    m.pull();
    m.now += 30000;  // warm again
    m.beats(m.now + 1000);
  }
}

namespace {

struct desk {
  loop runs;
  std::ostringstream log_text;
  logger lines{log_text, level::debug};
  counters counts;
  std::vector<order> asked;
  admin staff{runs, counts, lines, [this](const order& o, const admin::answered& then) {
                asked.push_back(o);
                then(o.id == "nobody" ? 404 : 200, {});
              }};
  sockaddr_in where;
  descriptor_budget budget{200};
  std::vector<std::unique_ptr<side>> sides;

  desk() {
    descriptor door = loopback();
    where = address_of(door);
    staff.adopt(std::move(door));
  }
  side& caller() {
    sides.push_back(std::make_unique<side>(runs, budget, connect_to(where), http::reader::kind::answer));
    return *sides.back();
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
      desk d;
      side& c = d.caller();
      c.say(text.substr(0, cut));
      for (int i = 0; i < 3; ++i) d.runs.round(0);
      c.say(text.substr(cut));
      REQUIRE(until(d.runs, [&] { return c.ended; }));
      REQUIRE(c.came.size() == 1);
      CHECK(c.came[0].status == t.status);
      CHECK((t.status != 405 || c.came[0].find("Allow").has_value()));
      CHECK(d.asked.size() == (t.id ? 1 : 0));
      if (t.id && !d.asked.empty()) CHECK(d.asked[0].id == t.id);
    }
  }
}

TEST_CASE("callers who hold connections without a whole call shut nobody out") {
  desk d;
  for (std::size_t i = 0; i < 4 * admin::own_descriptors; ++i) d.caller().say("GET /sta");
  pass(d.runs, 20);
  side& c = d.caller();
  c.say("GET /status HTTP/1.1\r\n\r\n");
  REQUIRE(until(d.runs, [&] { return c.ended; }));
  CHECK(c.came.size() == 1);
  std::size_t open = 0;
  for (const auto& s : d.sides) open += !s->ended;
  CHECK(open < admin::own_descriptors);
}

TEST_CASE("what has the first rank is served ahead of all others in a round") {
  loop runs;
  descriptor_budget budget{100};
  std::vector<int> order;
  std::vector<std::unique_ptr<stream>> ends;
  std::vector<descriptor> others;
  for (int i = 0; i < 20; ++i) {
    int pair[2];
    REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, pair) == 0);
    others.emplace_back(pair[1]);
    ends.push_back(std::make_unique<stream>(
        runs, budget, descriptor(pair[0]), [&order, i](std::uint32_t) { order.push_back(i); },
        i == 19 ? loop::rank::first : loop::rank::usual));
  }
  runs.round(0);
  CHECK(order.size() == 20);
  CHECK(order.front() == 19);
}

TEST_CASE("what is not yet written to an endpoint when it is taken out goes elsewhere, what is goes on") {
  loop runs;
  std::ostringstream log_text;
  logger lines(log_text, level::debug);
  counters counts;
  descriptor_budget budget{50};
  pool endpoints(runs, budget, counts, lines, {5000, 60}, [] { return false; });
  relay rpcs(runs, endpoints, counts, lines, ground(repeatable::non_idempotent), 1);
  stand_in a(runs, {"silent"}), b(runs, {answer_text(200, "served")});
  endpoints.listed("a", text_of(a.where));
  rpcs.listed(true, false, {at("a")});
  const auto ask = [&](int id, int& status) {
    rpcs.take(parsed(http::reader::kind::request,
                     "GET /read HTTP/1.1\r\nX-Call-Id: " + std::to_string(id) + "\r\nX-Budget: 300m\r\n\r\n"),
              runs.now(), {[&status](verdict v) { status = v.how == verdict::what::ok ? 200 : 503; }});
  };
  int first = 0, second = 0;
  ask(1, first);
  REQUIRE(until(runs, [&] { return a.asked.size() == 1; }));
  ask(2, second);  // still connecting
  endpoints.listed("b", text_of(b.where));
  rpcs.listed(true, false, {at("a"), at("b")});
  rpcs.withheld("a", true, runs.now());
  REQUIRE(until(runs, [&] { return second != 0; }));
  CHECK(second == 200);
  CHECK(b.asked.size() == 1);
  CHECK(a.asked.size() == 1);
  CHECK(counts.picks[static_cast<std::size_t>(ending::withdrawn)] == 1);
  CHECK(first == 0);  // in hand there, and left to end
}

TEST_CASE("a listener that is inherited is adopted, anything else is refused") {
  const descriptor door = loopback();
  const descriptor adopted = adopt_listener(::dup(door.get()));
  CHECK(adopted.get() >= 0);
  const descriptor plain(::socket(AF_INET, SOCK_STREAM, 0)), datagrams(::socket(AF_INET, SOCK_DGRAM, 0));
  CHECK_THROWS_AS(adopt_listener(plain.get()), malformed);
  CHECK_THROWS_AS(adopt_listener(datagrams.get()), malformed);
  CHECK_THROWS_AS(adopt_listener(999), malformed);
}
