// Two processes of one sidecar: what each makes of the other, and the files and locks between them.
#include "../src/handover/handover.h"

#include <doctest/doctest.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>

#include "../src/net/sidecar.h"
#include "../src/net/twin.h"
#include "host.h"

using namespace host;

namespace {

record of(double born, record::stage at, bool made_room = false) { return {at, born, 0, made_room}; }

constexpr auto starting = record::stage::starting, serving = record::stage::serving,
               leaving = record::stage::leaving;

struct folder {
  std::string path = "/tmp/indigorill-handover-XXXXXX";
  folder() { REQUIRE(::mkdtemp(path.data())); }
  ~folder() { std::filesystem::remove_all(path); }
};

}  // namespace

TEST_CASE("what an elder and a newcomer do, by what the other one says") {
  struct {
    const char* what;
    record own;
    std::optional<record> other;
    bool lives, accepts, hurries, has_room;
    double share;
  } table[] = {
      {"alone", of(1, serving), {}, false, true, false, true, 1},
      {"alone, not yet told to serve", of(1, starting), {}, false, false, false, true, 1},
      {"elder beside a newcomer that starts", of(1, serving), of(2, starting), true, true, false, true, 0.5},
      {"elder beside one whose record can't be read yet", of(1, serving), {}, true, true, false, true, 0.5},
      {"elder beside one that serves", of(1, serving), of(2, serving), true, false, true, true, 0.5},
      {"elder told to stop", of(1, leaving), of(2, serving), true, false, true, true, 0.5},
      {"elder told to stop too soon", of(1, leaving), of(2, starting), true, true, false, true, 0.5},
      {"elder whose newcomer died", of(1, serving), of(2, serving), false, true, false, true, 1},
      {"newcomer, no room yet", of(2, starting), of(1, serving), true, false, false, false, 0.1},
      {"newcomer, elder unread", of(2, starting), {}, true, false, false, false, 0.1},
      {"newcomer, room made", of(2, starting), of(1, serving, true), true, false, false, true, 0.5},
      {"newcomer that serves", of(2, serving), of(1, serving, true), true, true, false, true, 0.5},
      {"newcomer whose elder is gone", of(2, serving), {}, false, true, false, true, 1},
  };
  for (const auto& t : table) {
    CAPTURE(std::string(t.what));
    handover h(t.own.born);
    if (t.own.at != starting) h.serves();
    if (t.own.at == leaving) h.leaves();
    h.sees(t.other, t.lives);
    CHECK(h.accepts() == t.accepts);
    CHECK(h.hurries() == t.hurries);
    CHECK(h.has_room() == t.has_room);
    CHECK(h.share() == t.share);
  }
}

TEST_CASE("two processes never share out more than there is, and one of them always takes connections") {
  for (const auto a : {starting, serving, leaving})
    for (const auto b : {starting, serving, leaving})
      for (const bool room : {false, true}) {
        handover elder(1), newcomer(2);
        const auto set = [](handover& h, record::stage at) {
          if (at == serving) h.serves();
          if (at == leaving) h.leaves();
        };
        set(elder, a), set(newcomer, b);
        elder.made_room(room);
        elder.sees(newcomer.self(), true);
        newcomer.sees(elder.self(), true);
        CHECK(elder.share() + newcomer.share() <= 1);
        if (a != starting && b == serving) CHECK(elder.accepts() + newcomer.accepts() == 1);
        if (a != starting && b == starting) CHECK(elder.accepts());
      }
}

TEST_CASE("records and bans come back as written; cut anywhere or foreign they are nothing") {
  record r = of(1234.5, serving, true);
  r.bans = 7;
  const bans b{9, {"a", "b c\"", "\xc3\xa9"}, {{"d", 1234.5}}};
  CHECK(decode_record(encode(r)) == r);
  CHECK(decode_bans(encode(b)) == b);
  const std::string texts[] = {encode(r), encode(b)};
  for (const std::string& text : texts)
    for (std::size_t n = 0; n < text.size(); ++n) {
      CHECK_FALSE(decode_record(text.substr(0, n)));
      CHECK_FALSE(decode_bans(text.substr(0, n)));
    }
  CHECK_FALSE(decode_record(encode(b)));
  CHECK_FALSE(decode_bans(encode(r)));
  for (const char* foreign :
       {"", "[]", "{}",
        "{\"format\":\"indigorill-handover-0\",\"kind\":\"bans\",\"revision\":1,\"out\":[],\"back\":{}}",
        "{\"format\":\"indigorill-handover-1\",\"kind\":\"bans\",\"revision\":\"x\",\"out\":[]}",
        "{\"format\":\"indigorill-handover-1\",\"kind\":\"bans\",\"revision\":1,\"out\":[3]}"})
    CHECK_FALSE(decode_bans(foreign));
}

namespace {

// A process's side of the folder; both turn in one loop, and locks are of open files, so that two in one
// process exclude each other as two processes do.
struct half {
  std::ostringstream log_text;
  logger lines{log_text, level::debug};
  std::unique_ptr<twin> is;
  std::vector<bans> told;
  half(loop& runs, const std::string& path) : is(std::make_unique<twin>(runs, lines, path, "n:0/x")) {
    is->begin([] {}, [this](const bans& b) { told.push_back(b); });
  }
};

}  // namespace

TEST_CASE("a ban made in one process is in force in both before the yes, and outlives either") {
  loop runs;
  folder here;
  half elder(runs, here.path);
  elder.is->serves();
  half newcomer(runs, here.path);
  REQUIRE(until(runs, [&] { return elder.is->is().elder() && newcomer.is->is().newcomer(); }));
  bool done = false;
  newcomer.is->change([](bans& b) { b.out.insert("a"); },
                      [&](bool yes) {
                        done = yes;
                        CHECK((!elder.told.empty() && elder.told.back().out.count("a")));
                        CHECK((!newcomer.told.empty() && newcomer.told.back().out.count("a")));
                      });
  REQUIRE(until(runs, [&] { return done; }));
  done = false;  // both asked at once
  bool other = false;
  elder.is->change([](bans& b) { b.out.insert("b"); }, [&](bool yes) { done = yes; });
  newcomer.is->change([](bans& b) { put_back(b, "a", 77); }, [&](bool yes) { other = yes; });
  REQUIRE(until(runs, [&] { return done && other; }));
  CHECK(elder.is->agreed().out == std::set<std::string, std::less<>>{"b"});
  CHECK(newcomer.is->agreed() == elder.is->agreed());
  elder.is.reset();
  REQUIRE(until(runs, [&] { return !newcomer.is->is().paired(); }));
  newcomer.is.reset();
  half next(runs, here.path);
  CHECK(next.is->agreed().out.count("b") == 1);
  CHECK(next.is->agreed().back.at("a") == 77);
  CHECK_FALSE(next.is->is().paired());
}

TEST_CASE("one that doesn't hear of a change in time makes it a no, and all is as it was") {
  loop runs, still;
  folder here;
  half elder(still, here.path);  // its loop stands still
  half newcomer(runs, here.path);
  REQUIRE(newcomer.is->is().paired());
  std::optional<bool> yes;
  newcomer.is->change([](bans& b) { b.out.insert("a"); }, [&](bool done) { yes = done; });
  REQUIRE(until(runs, [&] { return yes.has_value(); }));
  CHECK_FALSE(*yes);
  CHECK(newcomer.is->agreed().out.empty());
  still.round(30);
  CHECK(elder.is->agreed().out.empty());
}

TEST_CASE("without a folder, or beside two others, a process works alone and says so") {
  loop runs;
  folder here;
  half none(runs, ""), nowhere(runs, here.path + "/not/there");
  half one(runs, here.path), two(runs, here.path), three(runs, here.path);
  for (const half* h : {&none, &nowhere, &three}) {
    CHECK(h->log_text.str().find("works alone") != std::string::npos);
    CHECK_FALSE(h->is->is().paired());
    bool done = false;
    h->is->change([](bans& b) { b.out.insert("a"); }, [&](bool yes) { done = yes; });
    CHECK(done);
  }
  CHECK(two.is->is().paired());
}

namespace {

// A sidecar as a process of its own, on a listener that the test holds, and what the test asks of it.
struct process {
  pid_t child = -1;
  sockaddr_in staff = address_of(loopback());

  process(const std::string& folder, const descriptor& door, const sockaddr_in& agent, int descriptors) {
    const std::string path = folder + "/config-" + text_of(staff);
    std::ofstream(path)
        << R"({"name":"n","listen":")" << text_of(address_of(door)) << R"(","discovery":")" << text_of(agent)
        << R"(","admin_addr":")" << text_of(staff) << R"(","seed":"1","limits":{"sockets":)" << descriptors
        << R"(},"settings":{"methods":[{"name":"read","effect":"retryable","deadline":500000}],)"
        << R"("bounds":{"maxPicks":3}}})";
    const std::string fd = std::to_string(door.get());
    child = ::fork();
    if (child != 0) return;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const auto variable = [&](const char* name) -> const char* {
      const std::string n = name;
      return n == "LB_CONFIG"         ? path.c_str()
             : n == "TMPDIR"          ? folder.c_str()
             : n == "LB_INHERITED_FD" ? fd.c_str()
                                      : nullptr;
    };
    try {
      std::ostringstream text;
      logger lines(text, level::error);
      run_sidecar(
          read_start(variable), [&] { return read_again(variable); }, lines);
    } catch (const std::exception&) {
      ::_exit(1);
    }
    ::_exit(0);
  }
  ~process() {
    if (child > 0) ::kill(child, SIGKILL), ::waitpid(child, nullptr, 0);
  }
  // True if it ended by itself. The world goes on meanwhile, or nothing in hand there would end.
  bool end(int signal, loop& runs, const std::function<void()>& step) {
    ::kill(child, signal);
    int status = -1;
    const bool gone = until(runs, [&] { return step(), ::waitpid(child, &status, WNOHANG) == child; });
    if (gone) child = -1;
    return gone && WIFEXITED(status) && WEXITSTATUS(status) == 0;
  }
  std::size_t descriptors() const {
    std::error_code none;
    std::size_t n = 0;
    for (std::filesystem::directory_iterator at("/proc/" + std::to_string(child) + "/fd", none), last;
         !none && at != last; at.increment(none))
      ++n;
    return n;
  }
};

// An application that asks on and on, and what it met.
struct application {
  loop& runs;
  descriptor_budget& budget;
  sockaddr_in where;
  std::unique_ptr<side> now;
  bool waits = false;
  int ok = 0, unheard = 0, refused = 0;
  double next = 0;

  void step() {
    constexpr double pause = 4;  // ms: endpoints with a script must not run out of it
    if (now && !now->ended) {
      if (!waits && runs.now() > next) ask();
      return;
    }
    unheard += waits;
    waits = false;
    now = std::make_unique<side>(runs, budget, connect_to(where), http::reader::kind::answer);
    now->then = [this](side& s) {
      waits = false;
      (s.came.back().status == 200 ? ok : refused) += 1;
      next = runs.now() + pause;
    };
  }
  void ask() {
    static int ids = 0;
    waits = true;
    now->say("GET /read HTTP/1.1\r\nX-Call-Id: two" + std::to_string(++ids) + "\r\nX-Budget: 500m\r\n\r\n");
  }
};

}  // namespace

TEST_CASE("two real processes are one sidecar through an upgrade, whichever dies and however") {
  struct {
    const char* what;
    bool elder_dies;
    int signal;
  } table[] = {{"the elder is told to stop", true, SIGTERM},
               {"the elder is killed", true, SIGKILL},
               {"the newcomer is killed", false, SIGKILL}};
  for (const auto& t : table) {
    CAPTURE(std::string(t.what));
    constexpr int descriptors = 160;
    loop runs;
    folder here;
    descriptor_budget budget{400};
    const std::string entries =
        R"({"instanceId":"a","hostPort":"%a","lifecycle":"up"},{"instanceId":"b","hostPort":"%b","lifecycle":"up"})";
    const std::vector<std::string> answers(20000, answer_text(200, "served"));
    stand_in a(runs, answers), b(runs, answers);
    std::string list = R"({"generation":9,"reset":true,"instances":[)" + entries + "]}";
    list.replace(list.find("%a"), 2, text_of(a.where));
    list.replace(list.find("%b"), 2, text_of(b.where));
    stand_in agent(runs,
                   {answer_text(200, list)});  // and silent from then on: a newcomer needs no list of it
    const descriptor door = loopback();
    std::vector<std::unique_ptr<application>> apps;
    std::size_t most_descriptors = 0;
    process elder(here.path, door, agent.where, descriptors);
    std::unique_ptr<process> newcomer;
    const auto step = [&] {
      for (const auto& app : apps) app->step();
      most_descriptors =
          std::max(most_descriptors, elder.descriptors() + (newcomer ? newcomer->descriptors() : 0));
    };
    const auto call = [&](const process& p, const std::string& text) {
      int status = 0;
      until(runs, [&] {
        side s(runs, budget, connect_to(p.staff), http::reader::kind::answer);
        s.say(text + " HTTP/1.1\r\n\r\n");
        until(runs, [&] { return step(), s.ended || !s.came.empty(); });
        if (!s.came.empty()) status = s.came[0].status;
        return status != 0 && status != 503;
      });
      return status;
    };
    const auto served = [&](int more) {
      int before = 0;
      for (const auto& app : apps) before += app->ok;
      return until(runs, [&] {
        step();
        int now = 0;
        for (const auto& app : apps) now += app->ok;
        return now >= before + more;
      });
    };
    REQUIRE(call(elder, "GET /status") == 200);
    for (int i = 0; i < 8; ++i)
      apps.push_back(std::make_unique<application>(
          application{runs, budget, address_of(door), nullptr, false, 0, 0, 0, 0}));
    REQUIRE(served(100));
    CHECK(call(elder, "PUT /maintenance/enter?host=nobody") == 404);
    newcomer = std::make_unique<process>(here.path, door, agent.where, descriptors);
    REQUIRE(call(*newcomer, "GET /status") == 200);
    REQUIRE(served(100));
    REQUIRE(call(t.elder_dies ? elder : *newcomer, "PUT /maintenance/enter?host=a") == 200);
    const std::size_t sent_there = a.asked.size();
    REQUIRE(served(200));
    int unheard = 0;
    for (const auto& app : apps) unheard += app->unheard;
    CHECK(unheard == 0);  // until somebody was killed
    process& dies = t.elder_dies ? elder : *newcomer;
    process& stays = t.elder_dies ? *newcomer : elder;
    CHECK(dies.end(t.signal, runs, step) == (t.signal == SIGTERM));
    REQUIRE(served(200));
    CHECK(a.asked.size() == sent_there);  // the ban outlives who was asked
    REQUIRE(call(stays, "PUT /maintenance/exit?host=a") == 200);
    REQUIRE(until(runs, [&] { return step(), a.asked.size() > sent_there; }));
    CHECK(most_descriptors <= descriptors);
    if (t.signal == SIGTERM) {
      unheard = 0;
      for (const auto& app : apps) unheard += app->unheard;
      CHECK(unheard <= 2);
    }
    CHECK(stays.end(SIGTERM, runs, step));
  }
}
