// What the standing fleet test newly binds (docs/standing.md): a list that waits for discovery's return, who
// leaves in a burst, cold servers under a whole fleet, descriptors that idle clients fill. On real sockets
// but for the fleet, whose clock is stepped.
#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <random>

#include "parts.h"

using namespace host;

namespace {

enum class outage { refused, hangs, silent, half, rubbish, error };
constexpr std::pair<outage, const char*> outages[] = {{outage::refused, "refused"},
                                                      {outage::hangs, "a connect that hangs"},
                                                      {outage::silent, "given up without an answer"},
                                                      {outage::half, "half an answer"},
                                                      {outage::rubbish, "rubbish"},
                                                      {outage::error, "an error"}};

std::string said_in(outage how) {
  return how == outage::half      ? "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{\"generation\""
         : how == outage::rubbish ? "rubbish\r\n\r\n"
         : how == outage::error   ? answer_text(500, "")
                                  : "silent";
}

// An agent that fails so until it is back, and then tells this, once.
struct failing_agent {
  stand_in at;
  std::vector<descriptor> filling;

  failing_agent(loop& runs, outage how)
      : at(runs, std::vector<std::string>(1000, said_in(how)),
           how == outage::refused ? loopback_unheard() : loopback()) {
    if (how != outage::hangs) return;
    at.at_door.drop();
    filling = fill(at.door);
  }
  void back(const std::string& tells) {
    at.script.resize(at.asked.size());
    at.script.push_back(tells);
    filling.clear();
    ::listen(at.door.get(), 100);
    at.open();
  }
};

// A sidecar whose balancer asks for the list itself, with one that is known from before.
struct asking {
  loop runs;
  std::ostringstream log_text;
  logger lines{log_text, level::error};
  counters counts;
  descriptor_budget budget{10};
  pool endpoints{runs, budget, counts, lines, {}, [] { return false; }};
  relay rpcs;
  std::string heard;
  discovery lists;

  static terrain asks(double sidecars) {
    terrain t = ground();
    t.must_ask = true;
    t.ask_within = 10000;  // as where the settings say nothing
    t.sidecars = sidecars;
    return t;
  }
  asking(const sockaddr_in& agent, double sidecars, std::uint64_t seed)
      : rpcs(runs, endpoints, counts, lines, asks(sidecars), seed),
        lists(
            runs, budget, counts, lines, agent, "agent", seed + 1, 500,
            [this](const roster& r) {
              heard += (r.whole ? "=" : "+") + std::to_string(r.version);
              std::vector<endpoint> entries;
              for (const auto& e : r.entries) entries.push_back(e.is);
              rpcs.listed(r.whole, true, entries);
            },
            [this] { rpcs.list_failed(); }) {
    rpcs.listed(true, false, {at("a"), at("b")});
    lists.knows(9);
    rpcs.when_list_wanted([this] { lists.begin(); });
  }
};

constexpr double told_after = 6000;  // ms, since discovery had it and could be reached

}  // namespace

TEST_CASE(
    "a pushed change that waits at the agent is in force 3 s after its return, whatever failed before") {
  struct row {
    const char* what;
    bool known, moves;
    follower f;
    std::unique_ptr<failing_agent> agent, before;
    double ms = -1;
  };
  std::vector<std::unique_ptr<row>> all;
  for (const auto& [how, what] : outages)
    for (const bool known : {false, true})
      for (const bool moves : {false, true}) {
        all.push_back(std::make_unique<row>());
        row& r = *all.back();
        r.what = what;
        r.known = known;
        r.moves = moves;
        r.f.grace = known ? 300 : 1000;
        r.agent = std::make_unique<failing_agent>(r.f.runs, how);
        if (moves) r.before = std::make_unique<failing_agent>(r.f.runs, how);
        r.f.follow(moves ? r.before->at.where : r.agent->at.where, true,
                   known ? std::optional<std::uint64_t>(9) : std::nullopt);
      }
  const loop& clock = all[0]->f.runs;
  const double began = clock.now();
  bool moved = false;
  while (clock.now() < began + 2000) {
    for (auto& r : all) r->f.runs.round(0);
    // SIGHUP in the middle of it, to one that fails as well.
    if (!moved && clock.now() > began + 1000) {
      moved = true;
      for (auto& r : all)
        if (r->moves) r->f.lists->move(r->agent->at.where, "after");
    }
  }
  for (auto& r : all) {
    CHECK(r->f.heard.empty());
    CHECK(r->f.counts.list_failures >= 3);
    r->agent->back(r->known && !r->moves ? drain10 : list9);
  }
  const double back = clock.now();
  while (clock.now() < back + 3000)
    for (auto& r : all) {
      r->f.runs.round(0);
      if (r->ms < 0 && !r->f.heard.empty()) r->ms = clock.now() - back;
    }
  for (auto& r : all) {
    CAPTURE(std::string(r->what));
    CAPTURE(r->known);
    CAPTURE(r->moves);
    CHECK(r->ms >= 0);
    CHECK(r->f.heard == (r->known && !r->moves ? "+10b" : "=9ab"));
    CHECK(r->f.failed == 0);
  }
}

TEST_CASE("a change that is asked for is in force 6 s after discovery's return, however many ask for it") {
  struct row {
    const char* what;
    int sidecars;
    loop runs;
    std::unique_ptr<failing_agent> agent;
    std::unique_ptr<asking> with;
    double ms = -1;
  };
  std::vector<std::unique_ptr<row>> all;
  for (const auto& [how, what] : outages)
    for (const int sidecars : {1, 30, 300})
      for (const std::uint64_t seed : {1, 2, 3}) {
        all.push_back(std::make_unique<row>());
        row& r = *all.back();
        r.what = what;
        r.sidecars = sidecars;
        r.agent = std::make_unique<failing_agent>(r.runs, how);
        r.with = std::make_unique<asking>(r.agent->at.where, sidecars, seed);
      }
  const loop& clock = all[0]->runs;
  const double began = clock.now();
  const auto turn = [&] {
    for (auto& r : all) {
      r->runs.round(0);
      r->with->runs.round(0);
    }
  };
  while (clock.now() < began + 8000) turn();
  for (auto& r : all) {
    CHECK(r->with->heard.empty());
    CHECK(r->with->counts.list_failures >= 1);
    r->agent->back(drain10);
  }
  const double back = clock.now();
  while (clock.now() < back + told_after) {
    turn();
    for (auto& r : all)
      if (r->ms < 0 && !r->with->heard.empty()) r->ms = clock.now() - back;
  }
  for (auto& r : all) {
    CAPTURE(std::string(r->what));
    CAPTURE(r->sidecars);
    CHECK(r->ms >= 0);
  }
}

TEST_CASE(
    "where the balancer asks, what SIGHUP leads to is in force 4 s after it, though a first call fails") {
  struct row {
    int sidecars;
    loop runs;
    std::unique_ptr<stand_in> before, after;
    std::unique_ptr<asking> with;
  };
  std::vector<std::unique_ptr<row>> all;
  for (const int sidecars : {1, 30, 300})
    for (const std::uint64_t seed : {1, 2, 3, 4}) {
      all.push_back(std::make_unique<row>());
      row& r = *all.back();
      r.sidecars = sidecars;
      r.before = std::make_unique<stand_in>(r.runs, std::vector<std::string>{list_text(9, false, "")});
      r.after = std::make_unique<stand_in>(r.runs, std::vector<std::string>{"close", list_text(3, true, "")});
      r.with = std::make_unique<asking>(r.before->where, sidecars, seed);
    }
  const loop& clock = all[0]->runs;
  const auto turn = [&](double ms, const std::function<bool()>& so) {
    for (const double end = clock.now() + ms; !so() && clock.now() < end;)
      for (auto& r : all) {
        r->runs.round(0);
        r->with->runs.round(0);
      }
  };
  const auto each_heard = [&](const std::string& what) {
    return std::all_of(all.begin(), all.end(), [&](const auto& r) { return r->with->heard == what; });
  };
  turn(told_after, [&] { return each_heard("+9"); });
  REQUIRE(each_heard("+9"));
  for (auto& r : all) r->with->lists.move(r->after->where, "after");
  turn(4000, [&] { return each_heard("+9=3"); });
  for (auto& r : all) {
    CAPTURE(r->sidecars);
    CHECK(r->with->heard == "+9=3");
  }
}

namespace {

enum class leaves { not_at_all, by_fin, by_reset, by_half_close };

void leave(side& c, leaves by) {
  if (by == leaves::not_at_all) return;
  if (by == leaves::by_half_close) return c.wire->end_sending();
  if (by == leaves::by_reset) c.wire->abort_on_close();
  c.hang_up();
}

// As many ids at one place: what a sidecar sends to a single server at once is bounded.
void list_many(here& h, const std::string& address, std::size_t n, bool asked = false) {
  std::vector<endpoint> all;
  for (std::size_t i = 0; i < n; ++i) {
    all.push_back(at(address + std::to_string(i)));
    h.endpoints.listed(all.back().id, address);
  }
  h.rpcs.listed(true, asked, all);
}

// Clients that each send three requests in one breath; every fourth stays, the others leave each in its way.
struct burst {
  std::vector<side*> all;
  std::size_t stay = 0;

  burst(here& h, std::size_t n) {
    for (std::size_t i = 0; i < n; ++i) all.push_back(&h.client());
    for (side* c : all) c->say(rpc("read", 3900) + rpc("read", 3900) + rpc("read", 3900));
  }
  std::size_t go() {
    for (std::size_t i = 0; i < all.size(); ++i) {
      leave(*all[i], static_cast<leaves>(i % 4));
      stay += i % 4 == 0;
    }
    return all.size() - stay;
  }
};

}  // namespace

TEST_CASE("a burst of pipelined clients, most of whom leave while their first picks connect: theirs stay") {
  for (const bool cancels : {false, true}) {
    here h(customer(true, cancels, repeatable::non_idempotent), slow_links);
    late_door late;
    list_many(h, text_of(late.where), 12);
    burst clients(h, 12);
    REQUIRE(until(h.runs, [&] { return h.counts.opened == 12; }));
    const std::size_t leave = clients.go();
    CHECK(until(h.runs, [&] { return static_cast<std::size_t>(h.counts.left) == leave; }));
    pass(h.runs, 120);  // what begins from now on is a break
    late.let_up();
    for (const double end = h.runs.now() + 1800; h.runs.now() < end; late.hear()) h.runs.round(2);
    CHECK(late.requests() == clients.stay);
    CHECK(h.rpcs.held() == clients.stay);
  }
}

TEST_CASE("a burst of clients who leave while a further attempt of theirs connects, or is still to begin") {
  for (const bool cancels : {false, true})
    for (const bool connects : {false, true}) {
      CAPTURE(cancels);
      CAPTURE(connects);
      constexpr std::size_t n = 6;  // as many as may have a further attempt at once
      here h(customer(true, cancels, repeatable::idempotent), slow_links);
      stand_in first(h.runs, {});
      late_door late;
      stand_in quick(h.runs, std::vector<std::string>(100, "silent"));
      list_many(h, text_of(first.where), n);
      burst clients(h, n);
      REQUIRE(until(h.runs, [&] { return first.asked.size() == n; }));
      list_many(h, text_of(connects ? late.where : quick.where), n, true);
      const auto fail_first = [&] {
        for (auto& s : first.sides) s->hang_up();
      };
      if (connects) {
        fail_first();
        REQUIRE(until(h.runs, [&] { return h.counts.opened == 2 * n; }));
      }
      const std::size_t leave = clients.go();
      CHECK(until(h.runs, [&] { return static_cast<std::size_t>(h.counts.left) == leave; }));
      pass(h.runs, 120);
      if (!connects) fail_first();
      late.let_up();
      for (const double end = h.runs.now() + 1800; h.runs.now() < end; late.hear()) h.runs.round(2);
      CHECK(late.requests() + quick.asked.size() == clients.stay);
      CHECK(h.rpcs.held() == clients.stay);
    }
}

TEST_CASE("who left while waiting for room is owed nothing once there is some, though a connection rests") {
  for (const bool cancels : {false, true})
    for (const leaves by : {leaves::not_at_all, leaves::by_fin, leaves::by_reset, leaves::by_half_close}) {
      CAPTURE(cancels);
      CAPTURE(static_cast<int>(by));
      // One descriptor for a client, one for its pick: the second client waits in the backlog.
      here h(customer(true, cancels, repeatable::non_idempotent), slow_links, 2);
      stand_in endpoint(h.runs, {"silent", "silent"});
      h.list(text_of(endpoint.where));
      side& first = h.client();
      first.say(rpc("read", 3900));
      REQUIRE(until(h.runs, [&] { return endpoint.asked.size() == 1; }));
      side& waits = h.client();
      waits.say(rpc("read", 3900));
      pass(h.runs, 20);
      leave(waits, by);
      pass(h.runs, 150);
      REQUIRE(h.counts.accepted == 1);
      endpoint.sides[0]->say(served);
      REQUIRE(until(h.runs, [&] { return h.counts.accepted == 2; }));
      pass(h.runs, 50);
      CHECK(endpoint.asked.size() == (by == leaves::not_at_all ? 2 : 1));
    }
}

TEST_CASE("who connected, asked and left before the process came to it is owed nothing: none of a burst") {
  for (const bool cancels : {false, true}) {
    here h(customer(true, cancels, repeatable::non_idempotent), slow_links);
    stand_in endpoint(h.runs, std::vector<std::string>(100, served));
    h.list(text_of(endpoint.where));
    {
      burst warm(h, 4);
      REQUIRE(until(h.runs, [&] { return h.counts.ok == 12; }));
      for (side* c : warm.all) c->hang_up();
      pass(h.runs, 50);
    }
    const std::size_t before = endpoint.asked.size();
    REQUIRE(h.rpcs.held() == 0);
    std::vector<std::unique_ptr<side>> all;  // in the backlog
    for (int i = 0; i < 12; ++i) {
      all.push_back(std::make_unique<side>(h.runs, h.of_clients, connect_to(h.where), answer));
      all.back()->say(rpc("read", 3900) + rpc("read", 3900) + rpc("read", 3900));
      leave(*all.back(), static_cast<leaves>(i % 4));
    }
    for (const double end = h.runs.now() + 120; h.runs.now() < end;) continue;  // this process gets no core
    pass(h.runs, 100);
    CHECK(endpoint.asked.size() - before == 9);  // of the three who stay, three each
  }
}

TEST_CASE("idle clients fill the descriptors while discovery is down: its list is reached when it is back") {
  for (const auto& [how, what] : outages) {
    CAPTURE(std::string(what));
    here h(customer(true, true, repeatable::idempotent), slow_links, 24);
    failing_agent agent(h.runs, how);
    std::string heard;
    discovery lists(
        h.runs, h.budget, h.counts, h.lines, agent.at.where, "agent", 1, 500,
        [&](const roster& r) { heard += std::to_string(r.version); }, [] {});
    lists.keep_asking();
    lists.begin();
    std::vector<std::unique_ptr<side>> idle;
    for (int i = 0; i < 60; ++i) {
      idle.push_back(std::make_unique<side>(h.runs, h.of_clients, connect_to(h.where), answer));
      pass(h.runs, 5);
    }
    REQUIRE(until(h.runs, [&] { return h.counts.list_failures >= 2; }));
    h.budget.most = h.budget.open;  // and whatever else holds the rest
    agent.back(list9);
    CHECK(until(h.runs, [&] { return heard == "9"; }));
  }
}

TEST_CASE("a cold server under a fleet of sidecars: what all send it stays within 2 roots of its N, and 2") {
  struct {
    const char* what;
    int sidecars;
    double a_second;  // RPCs, at each sidecar
    bool in_bursts;   // three seconds of little, one of twice the mean
  } table[] = {{"20 sidecars", 20, 20, false},
               {"30 sidecars", 30, 20, false},
               {"30 sidecars, bursts", 30, 20, true},
               {"300 sidecars of little traffic, bursts", 300, 2, true}};
  constexpr int warm = 16, cold = 4;
  for (const auto& t : table) {
    CAPTURE(std::string(t.what));
    terrain land = ground();
    land.sidecars = t.sidecars;
    land.cross_zone_price = 1;  // all like the cold ones best
    std::vector<std::unique_ptr<one>> fleet;
    std::vector<endpoint> before = letters('a', static_cast<char>('a' + warm - 1), "there"), after = before;
    constexpr double joined = 103000;
    for (int i = 0; i < cold; ++i) after.push_back(at("new" + std::to_string(i), joined));
    for (int i = 0; i < t.sidecars; ++i) {
      fleet.push_back(std::make_unique<one>(land, i + 1));
      fleet.back()->now = 100000;
      fleet.back()->list(before);
    }
    std::mt19937 chance(7);
    std::map<std::string, std::vector<double>> sent;
    struct running {
      double end;
      int at;
      std::string id;
      int pick;
    };
    std::vector<running> out;
    bool told = false;
    for (double now = 100000; now < joined + 12000; now += 10) {
      if (!told && now >= joined) {
        told = true;
        for (auto& h : fleet) h->now = now, h->list(after);
      }
      const bool much = std::fmod(now, 4000) >= 3000;
      const double rate = t.a_second * (t.in_bursts ? (much ? 2 : 2.0 / 3) : 1);
      for (int i = 0; i < t.sidecars; ++i) {
        one& h = *fleet[static_cast<std::size_t>(i)];
        h.now = now;
        if (std::fmod(now, 100) == 0) h.b.woken(now, 1);
        h.b.woken(now, 2);
        if (std::uniform_real_distribution<double>(0, 1)(chance) < rate / 100) h.arrive("vital");
        for (const decision& d : h.pull()) {
          if (d.what != verb::pick) continue;
          if (d.server.starts_with("new")) sent[d.server].push_back(now);
          out.push_back({now + 20, i, d.rpc, d.pick});
        }
      }
      std::erase_if(out, [&](const running& r) {
        if (r.end > now) return false;
        one& h = *fleet[static_cast<std::size_t>(r.at)];
        h.b.pick_ended(now, r.id, r.pick, ending::ok, 20, true, {});
        h.pull();
        return true;
      });
    }
    // A server of the mean can do what is sent to the mean; a burst makes it no stronger.
    const double mean = t.sidecars * t.a_second / 1000 / (warm + cold) * land.cold_span;
    std::size_t all = 0;
    for (const auto& [id, times] : sent) {
      all += times.size();
      double worst = 0;
      for (std::size_t i = 0, from = 0; i < times.size(); ++i) {
        while (times[from] <= times[i] - land.cold_span) ++from;
        const double warmth = land.cold_from + (1 - land.cold_from) * (times[i] - joined) / land.cold_for;
        const double n = land.cold_multiple * warmth * mean;
        worst = std::max(worst, (static_cast<double>(i - from + 1) - 2) / (n + 2 * std::sqrt(n)));
      }
      CAPTURE(id);
      CHECK(worst <= 1);
    }
    CHECK(all > 100);  // nor are they left idle
  }
}

TEST_CASE(
    "an answer of no length that is reset is not whole: repeated where it may be, else told to have failed") {
  enum class ends { by_end, by_reset, by_reset_later };
  for (const ends how : {ends::by_end, ends::by_reset, ends::by_reset_later})
    for (const repeatable repeats : {repeatable::idempotent, repeatable::non_idempotent}) {
      CAPTURE(static_cast<int>(how));
      here h(customer(true, true, repeats), slow_links);
      stand_in endpoint(h.runs, {"silent", served});
      h.list(text_of(endpoint.where));
      side& c = h.client();
      c.say(rpc("read", 3900));
      REQUIRE(until(h.runs, [&] { return endpoint.asked.size() == 1; }));
      endpoint.sides[0]->say("HTTP/1.1 200 OK\r\n\r\nhalf");
      if (how == ends::by_reset_later) pass(h.runs, 50);
      CHECK(c.came.empty());
      if (how != ends::by_end) endpoint.sides[0]->wire->abort_on_close();
      endpoint.sides[0]->hang_up();
      REQUIRE(until(h.runs, [&] { return c.came.size() == 1; }));
      const bool again = how != ends::by_end && repeats == repeatable::idempotent;
      CHECK(c.came[0].status == (how == ends::by_end || again ? 200 : 502));
      if (how == ends::by_end) CHECK(c.came[0].body() == "half");
      if (again) CHECK(c.came[0].body() == "served");
      CHECK(endpoint.asked.size() == (again ? 2 : 1));
      CHECK(each_had_one_answer(h));
    }
}
