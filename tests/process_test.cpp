// One sidecar as a process of its own: words from outside while something is owed. Judged by counts and by
// its status.
#include <doctest/doctest.h>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <map>
#include <set>

#include "parts.h"

using namespace host;

namespace {

struct settings_of {
  const char* what;
  int target, deadline, connect, grace;  // ms
  bool allows;                           // cancels, probes, push-back with advice, further picks
};
constexpr settings_of customers[] = {{"short times, nothing allowed", 120, 150, 1200, 300, false},
                                     {"long times, all allowed", 1500, 3000, 250, 1000, true}};

class sidecar {
 public:
  sockaddr_in where;
  std::string config = "sidecar-" + std::to_string(::getpid()) + "-" + std::to_string(++made) + ".json",
              log = config + ".log";
  rlim_t most_descriptors = 0;  // as the kernel has it; 0: as here

  explicit sidecar(const sockaddr_in& agent, const settings_of& s, const std::string& known = "") {
    held = loopback_unheard();
    where = address_of(held);
    const auto us = [](int ms) { return std::to_string(ms * 1000); };
    const std::string allows = s.allows ? "true" : "false";
    text = R"({"name":"n","listen":")" + text_of(where) + R"(","discovery":")" + text_of(agent) +
           R"(","seed":"1","limits":{"sockets":300},)" + known +
           R"("settings":{"methods":[{"name":"pay-9","effect":"fragile","deadline":)" + us(s.deadline) +
           R"(,"latencyTarget":)" + us(s.target) + R"(}],"bounds":{"maxPicks":)" + (s.allows ? "4" : "1") +
           R"(,"cancelling":)" + allows + R"(,"probes":)" + allows + R"(,"retryAfter":)" + allows +
           R"(,"maxRetryAfter":500000,"keepalive":5000000,"connectTimeout":)" + us(s.connect) +
           R"(},"rules":{"drainGrace":)" + us(s.grace) + "}}}";
  }
  ~sidecar() {
    kill_it();
    std::remove(config.c_str());
    std::remove(log.c_str());
  }
  void start(bool write_config = true) {
    if (write_config) std::ofstream(config) << text;
    held = {};
    pid = ::fork();
    if (pid != 0) return;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (most_descriptors > 0) {
      const rlimit most{most_descriptors, most_descriptors};
      ::setrlimit(RLIMIT_NOFILE, &most);
    }
    ::setenv("LB_CONFIG", config.c_str(), 1);
    if (!std::freopen(log.c_str(), "w", stderr)) ::_exit(126);
    ::execl(INDIGORILL_SIDECAR, INDIGORILL_SIDECAR, static_cast<char*>(nullptr));
    ::_exit(127);
  }
  void kill_it() {
    if (pid > 0) ::kill(pid, SIGKILL), ::waitpid(pid, nullptr, 0);
    pid = 0;
  }
  void say(int word) { ::kill(pid, word); }
  bool ended() {
    if (pid > 0 && ::waitpid(pid, &status, WNOHANG) == pid) pid = 0;
    return pid == 0;
  }
  bool well() const { return WIFEXITED(status) && WEXITSTATUS(status) == 0; }
  bool ready(loop& runs) {
    for (const double end = runs.now() + 20000; runs.now() < end && !ended();) {
      descriptor_budget one{1};
      side asks(runs, one, connect_to(where), answer);
      asks.say("GET /-/ready HTTP/1.1\r\n\r\n");
      for (int i = 0; i < 20 && asks.came.empty() && !asks.ended; ++i) runs.round(5);
      if (!asks.came.empty() && asks.came[0].status == 200) return true;
      pass(runs, 5);
    }
    return false;
  }
  std::string text;

 private:
  static inline int made = 0;
  descriptor held;
  pid_t pid = 0;
  int status = -1;
};

// The list from before the start: one endpoint.
std::string knows(const sockaddr_in& endpoint) {
  return R"("known":{"generation":1,"reset":true,"instances":[{"instanceId":"a","hostPort":")" +
         text_of(endpoint) + R"(","lifecycle":"up"}]},)";
}

bool wait_for(loop& runs, double longest, const std::function<bool()>& so) {
  for (const double end = runs.now() + longest; !so();) {
    if (runs.now() > end) return false;
    runs.round(2);
  }
  return true;
}

std::string pay(int id, int budget) {
  return "POST /pay-9 HTTP/1.1\r\nX-Call-Id: pay" + std::to_string(id) +
         "\r\nX-Call-Class: pay-9\r\nX-Budget: " + std::to_string(budget) +
         "m\r\nContent-Length: 4\r\n\r\nbody";
}

// Clients that send one request after the other, also after the word to stop, on all that stays open; a
// request that crosses a closing is sent once more over a new connection.
struct crowd {
  struct one {
    std::unique_ptr<side> over;
    int asked = 0;  // the id that is out
    bool again = false;
    bool fresh = true;  // nothing was answered on this connection
  };
  loop& runs;
  sockaddr_in where;
  int budget;
  descriptor_budget room{200};
  std::vector<one> all;
  int ids = 0, answered = 0, refused = 0, lost = 0, served_ones = 0;
  bool opens = true;  // new connections still go on coming

  crowd(loop& in, const sockaddr_in& at, int within, std::size_t n)
      : runs(in), where(at), budget(within), all(n) {
    for (one& c : all) connect(c);
  }
  void connect(one& c) {
    c.over = std::make_unique<side>(runs, room, connect_to(where), answer);
    c.fresh = true;
  }
  void turn(bool sends) {
    for (one& c : all) {
      if (!c.over) continue;
      if (c.asked && !c.over->came.empty()) {
        const http::message& m = c.over->came.back();
        ++answered;
        (m.status == 200 ? served_ones : refused) += 1;
        const bool keeps = m.keeps;
        c.over->came.clear();
        c.asked = 0;
        c.again = c.fresh = false;
        if (!keeps) c.over->ended = true;
      }
      if (c.over->ended) {
        const int out = c.asked;
        c.over.reset();
        if (out && (c.again || !opens)) {
          ++lost;
          c.asked = 0;
          continue;
        }
        if (!opens) continue;
        connect(c);
        if (out) {
          c.again = true;
          c.over->say(pay(out, budget));
        }
      }
      if (c.over && sends && !c.asked) {
        c.over->say(pay(c.asked = ++ids, budget));
      }
    }
  }
  bool all_quiet() const {
    return std::all_of(all.begin(), all.end(), [](const one& c) { return c.asked == 0; });
  }
};

}  // namespace

TEST_CASE("processes: SIGTERM while the config is still read ends it with status 0, SIGHUP doesn't end it") {
  for (const int word : {SIGTERM, SIGHUP}) {
    loop runs;
    stand_in agent(runs, {});
    sidecar s(agent.where, customers[0]);
    REQUIRE(::mkfifo(s.config.c_str(), 0600) == 0);
    s.start(false);
    // It can be opened for writing once the process has it open for reading, and reads until that is closed.
    descriptor to;
    REQUIRE(wait_for(runs, 20000, [&] {
      to = descriptor(::open(s.config.c_str(), O_WRONLY | O_NONBLOCK));
      return static_cast<bool>(to);
    }));
    s.say(word);
    pass(runs, 30);
    REQUIRE(::write(to.get(), s.text.data(), s.text.size()) == static_cast<ssize_t>(s.text.size()));
    to = {};
    if (word == SIGHUP) {
      std::remove(s.config.c_str());
      std::ofstream(s.config) << s.text;
      CHECK(s.ready(runs));
      s.say(SIGTERM);
    }
    REQUIRE(wait_for(runs, 20000, [&] { return s.ended(); }));
    CHECK(s.well());
  }
}

TEST_CASE(
    "processes: told to stop under load, every request that was taken has its one answer, none runs twice") {
  for (const settings_of& settings : customers) {
    CAPTURE(std::string(settings.what));
    loop runs;
    stand_in agent(runs, {});
    stand_in endpoint(runs, std::vector<std::string>(100000, answer_text(200, "paid")));
    endpoint.budget.most = 1000;
    sidecar s(agent.where, settings, knows(endpoint.where));
    s.start();
    REQUIRE(s.ready(runs));
    crowd clients(runs, s.where, settings.deadline, 24);
    const auto play = [&](double ms, bool sends) {
      for (const double end = runs.now() + ms; runs.now() < end;) {
        runs.round(1);
        clients.turn(sends);
      }
    };
    play(300, true);
    CHECK(clients.served_ones > 100);
    const double told = runs.now();
    s.say(SIGTERM);
    play(40, true);
    s.say(SIGHUP);
    s.say(SIGTERM);
    play(300, true);
    clients.opens = false;
    double gone = 0;
    for (const double end = told + 20000; gone == 0 && runs.now() < end;) {
      runs.round(1);
      clients.turn(true);  // on what is still open
      if (s.ended()) gone = runs.now();
    }
    CHECK(gone > 0);
    CHECK(s.well());
    CHECK(gone - told < std::min(settings.deadline, 3000) + 700);
    play(20, false);
    CHECK(clients.lost == 0);
    CHECK(clients.all_quiet());
    CHECK(clients.answered == clients.ids);
    std::map<std::string, int> runs_of;
    for (const auto& side : endpoint.sides)
      for (const http::message& m : side->came) ++runs_of[std::string(m.find("X-Call-Id").value_or("none"))];
    CHECK(std::all_of(runs_of.begin(), runs_of.end(), [](const auto& r) { return r.second == 1; }));
    CHECK(static_cast<int>(runs_of.size()) >= clients.served_ones);
  }
}

TEST_CASE(
    "processes: told to stop with endpoints that hang and clients that say nothing more, it is gone in "
    "time") {
  for (const settings_of& settings : customers) {
    CAPTURE(std::string(settings.what));
    loop runs;
    stand_in agent(runs, {}), endpoint(runs, {});
    sidecar s(agent.where, settings, knows(endpoint.where));
    s.start();
    REQUIRE(s.ready(runs));
    descriptor_budget room{100};
    std::vector<std::unique_ptr<side>> clients;
    for (int i = 0; i < 8; ++i)
      clients.push_back(std::make_unique<side>(runs, room, connect_to(s.where), answer));
    for (int i = 0; i < 4; ++i) clients[i]->say(pay(i + 1, settings.deadline));
    clients[4]->say(pay(5, settings.deadline).substr(0, 40));
    REQUIRE(wait_for(runs, 2000, [&] { return endpoint.asked.size() == 4; }));
    const double told = runs.now();
    s.say(SIGTERM);
    REQUIRE(wait_for(runs, 20000, [&] { return s.ended(); }));
    CHECK(runs.now() - told < std::min(settings.deadline, 3000) + 700);
    CHECK(s.well());
    pass(runs, 10);
    for (int i = 0; i < 4; ++i) {
      REQUIRE(clients[i]->came.size() == 1);
      CHECK(clients[i]->came[0].status == 502);  // it may have run: no word that a retry is harmless
    }
    for (const auto& c : clients) CHECK(c->ended);
  }
}

TEST_CASE("processes: a config that is faulty ends it with one line and a status that is not 0") {
  struct {
    const char *from, *to, *said;
  } table[] = {
      {R"("deadline":150000)", R"("deadline":0)", "field deadline is not above 0"},
      {R"("latencyTarget":120000)", R"("latencyTarget":-5)", "field latencyTarget is not above 0"},
      {R"("connectTimeout":1200000)", R"("connectTimeout":0)", "field connectTimeout is not above 0"},
      {R"("drainGrace":300000)", R"("drainGrace":-1)", "field drainGrace is below 0"},
      {R"("drainGrace":300000)", R"("drainGrace":"soon")", "field drainGrace is not a number"},
      {R"("maxPicks":1)", R"("maxPicks":0)", "field maxPicks is 0"},
      {R"("maxPicks":1)", R"("maxPicks":true)", "field maxPicks is not a whole number of 0 or more"},
      {R"("sockets":300)", R"("sockets":3)", "limits allow too few sockets"},
      {R"("cancelling":false)", R"("cancelling":1)", "field cancelling is not true or false"},
  };
  for (const auto& t : table) {
    CAPTURE(std::string(t.to));
    loop runs;
    stand_in agent(runs, {});
    sidecar s(agent.where, customers[0]);
    const std::size_t at = s.text.find(t.from);
    REQUIRE(at != std::string::npos);
    s.text.replace(at, std::string(t.from).size(), t.to);
    s.start();
    REQUIRE(wait_for(runs, 20000, [&] { return s.ended(); }));
    CHECK_FALSE(s.well());
    std::ifstream in(s.log);
    std::vector<std::string> lines;
    for (std::string line; std::getline(in, line);) lines.push_back(line);
    REQUIRE(lines.size() == 1);
    CHECK(lines[0].find(t.said) != std::string::npos);
  }
}

TEST_CASE(
    "processes: stopped while a client leaves and its pick's connect comes up, it sends nothing on "
    "afterwards") {
  for (const bool leaves : {false, true}) {
    loop runs;
    stand_in agent(runs, {});
    late_door late;
    const settings_of patient{"a connect may take its second", 8000, 8000, 3000, 1000, false};
    sidecar s(agent.where, patient, knows(late.where));
    s.start();
    REQUIRE(s.ready(runs));
    descriptor_budget room{10};
    side client(runs, room, connect_to(s.where), answer), second(runs, room, connect_to(s.where), answer);
    client.say(pay(1, 8000));
    // Its pick connects by the time that another client has an answer to what came behind it.
    REQUIRE(wait_for(runs, 2000, [&] { return client.wire->unread() == 0; }));
    for (int i = 0; i < 3; ++i) {
      second.say("GET /-/ready HTTP/1.1\r\n\r\n");
      REQUIRE(wait_for(runs, 2000, [&] { return second.came.size() == static_cast<std::size_t>(i + 1); }));
    }
    s.say(SIGSTOP);
    late.let_up();
    for (const double end = runs.now() + 1500; runs.now() < end; late.hear()) runs.round(5);
    CHECK_FALSE(late.taken.empty());  // it came up
    CHECK(late.requests() == 0);
    if (leaves) client.hang_up();  // behind the connect, so that it comes second in the order of events
    pass(runs, 20);
    s.say(SIGCONT);
    for (const double end = runs.now() + 300; runs.now() < end; late.hear()) runs.round(5);
    CHECK(late.requests() == (leaves ? 0 : 1));
  }
}

TEST_CASE(
    "processes: thirty restarted together, nine in ten are ready within 10 s, whatever discovery does") {
  struct {
    const char* what;
    double slow;  // ms, until discovery answers; below 0 it is down
    bool asked;   // the list is asked for, not pushed
  } table[] = {{"discovery is up", 0, false},
               {"discovery answers after 1 s", 1000, false},
               {"discovery answers after 1 s, and is asked", 1000, true},
               {"discovery is down", -1, false},
               {"discovery is down, and is asked", -1, true}};
  constexpr std::size_t n = 30;
  for (const auto& t : table) {
    CAPTURE(std::string(t.what));
    loop runs;
    stand_in endpoint(runs, {});
    stand_in agent(runs,
                   std::vector<std::string>(100000, answer_text(200, R"({"generation":1,"reset":true,)"
                                                                     R"("instances":[]})")),
                   t.slow < 0 ? loopback_unheard() : loopback());
    agent.budget.most = 100000;
    agent.slow = std::max(t.slow, 0.0);
    std::vector<std::unique_ptr<sidecar>> all;
    for (std::size_t i = 0; i < n; ++i) {
      all.push_back(std::make_unique<sidecar>(agent.where, customers[1], knows(endpoint.where)));
      std::string& text = all.back()->text;
      if (t.asked) text.replace(text.find(R"("settings":{)"), 12, R"("settings":{"discovery":"subscribe",)");
    }
    // How many are ready after so long; all are asked side by side.
    const auto ready_within = [&](double longest) {
      descriptor_budget room{2 * n};
      std::vector<std::unique_ptr<side>> asks(n);
      std::vector<double> since(n, 0);
      std::vector<bool> ready(n, false);
      for (const double end = runs.now() + longest;
           runs.now() < end && std::count(ready.begin(), ready.end(), true) < 30;) {
        for (std::size_t i = 0; i < n; ++i) {
          if (ready[i]) continue;
          if (asks[i] && !asks[i]->came.empty() && asks[i]->came[0].status == 200) {
            ready[i] = true;
            asks[i].reset();
          } else if (!asks[i] || asks[i]->ended || runs.now() > since[i] + 500) {
            asks[i] = std::make_unique<side>(runs, room, connect_to(all[i]->where), answer);
            asks[i]->say("GET /-/ready HTTP/1.1\r\n\r\n");
            since[i] = runs.now();
          }
        }
        runs.round(5);
      }
      return std::count(ready.begin(), ready.end(), true);
    };
    for (auto& s : all) s->start();
    REQUIRE(ready_within(30000) == n);
    for (auto& s : all) s->kill_it();
    for (auto& s : all) s->start();
    CHECK(ready_within(10000) >= 27);
    CHECK(std::none_of(all.begin(), all.end(), [](auto& s) { return s->ended(); }));
  }
}

TEST_CASE(
    "processes: idle clients hold all descriptors while discovery is down; its list is reached at its "
    "return") {
  for (const bool refused : {false, true}) {
    CAPTURE(refused);
    loop runs;
    stand_in agent(runs, {}, refused ? loopback_unheard() : loopback());
    std::vector<descriptor> filling;
    if (!refused) {
      agent.at_door.drop();
      filling = fill(agent.door);
    }
    stand_in before(runs, {}), after(runs, std::vector<std::string>(10, answer_text(200, "paid")));
    sidecar s(agent.where, customers[1], knows(before.where));
    const std::string limit = R"("sockets":300)";
    s.text.replace(s.text.find(limit), limit.size(), R"("sockets":64)");
    s.most_descriptors = 64;
    s.start();
    REQUIRE(s.ready(runs));
    descriptor_budget room{400};
    std::vector<std::unique_ptr<side>> idle;
    for (int i = 0; i < 150; ++i) {
      idle.push_back(std::make_unique<side>(runs, room, connect_to(s.where), answer));
      if (i % 10 == 0) pass(runs, 10);
    }
    // Who is closed for room comes again.
    const auto stay = [&] {
      for (auto& c : idle)
        if (c->ended) c = std::make_unique<side>(runs, room, connect_to(s.where), answer);
    };
    for (const double end = runs.now() + 1000; runs.now() < end; stay()) runs.round(5);
    CHECK(before.asked.empty());
    filling.clear();
    const std::string told =
        answer_text(200, R"({"generation":2,"reset":true,"instances":[{"instanceId":"b","hostPort":")" +
                             text_of(after.where) + R"(","lifecycle":"up"}]})");
    agent.script = {told};
    ::listen(agent.door.get(), 100);
    agent.open();
    REQUIRE(wait_for(runs, 3000, [&] { return stay(), !agent.asked.empty(); }));
    for (const double end = runs.now() + 300; runs.now() < end; stay()) runs.round(5);
    idle.clear();
    side client(runs, room, connect_to(s.where), answer);
    client.say(pay(1, 3000));
    REQUIRE(wait_for(runs, 4000, [&] { return !client.came.empty() || client.ended; }));
    REQUIRE(client.came.size() == 1);
    CHECK(client.came[0].status == 200);
    CHECK(after.asked.size() == 1);
    CHECK(before.asked.empty());
  }
}
