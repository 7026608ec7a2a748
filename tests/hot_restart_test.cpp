// Two processes of one sidecar: what each makes of the other, and the files and locks between them.
#include "hot_restart/hot_restart.h"

#include <doctest/doctest.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>

#include "hot_restart/hot_restart_policy.h"
#include "proxy/sidecar.h"
#include "support/host.h"

using namespace host;

namespace {

ProcessRecord of(double born, ProcessRecord::ProcessState at, bool made_room = false) {
  return {at, born, 0, made_room};
}

constexpr auto starting = ProcessRecord::ProcessState::starting,
               serving = ProcessRecord::ProcessState::serving,
               leaving = ProcessRecord::ProcessState::draining;

struct Folder {
  std::string path = "/tmp/indigorill-handover-XXXXXX";
  Folder() { REQUIRE(::mkdtemp(path.data())); }
  ~Folder() { std::filesystem::remove_all(path); }
};

}  // namespace

TEST_CASE("what an elder and a newcomer do, by what the other one says") {
  struct {
    const char* what;
    ProcessRecord own;
    std::optional<ProcessRecord> other;
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
    HotRestartPolicy h(t.own.started_at_ms);
    if (t.own.state != starting) h.start_serving();
    if (t.own.state == leaving) h.start_draining();
    h.update_other_process(t.other, t.lives);
    CHECK(h.is_accepting() == t.accepts);
    CHECK(h.is_force_closing() == t.hurries);
    CHECK(h.can_start_serving() == t.has_room);
    CHECK(h.limit_fraction() == t.share);
  }
}

TEST_CASE("two processes never share out more than there is, and one of them always takes connections") {
  for (const auto a : {starting, serving, leaving})
    for (const auto b : {starting, serving, leaving})
      for (const bool room : {false, true}) {
        HotRestartPolicy elder(1), newcomer(2);
        const auto set = [](HotRestartPolicy& h, ProcessRecord::ProcessState at) {
          if (at == serving) h.start_serving();
          if (at == leaving) h.start_draining();
        };
        set(elder, a), set(newcomer, b);
        elder.set_limits_reduced(room);
        elder.update_other_process(newcomer.own_record(), true);
        newcomer.update_other_process(elder.own_record(), true);
        CHECK(elder.limit_fraction() + newcomer.limit_fraction() <= 1);
        if (a != starting && b == serving) CHECK(elder.is_accepting() + newcomer.is_accepting() == 1);
        if (a != starting && b == starting) CHECK(elder.is_accepting());
      }
}

TEST_CASE("records and bans come back as written; cut anywhere or foreign they are nothing") {
  ProcessRecord r = of(1234.5, serving, true);
  r.ejection_revision = 7;
  const EjectionRecord b{9, {"a", "b c\"", "\xc3\xa9"}, {{"d", 1234.5}}};
  CHECK(decode_process_record(encode(r)) == r);
  CHECK(decode_ejection_record(encode(b)) == b);
  const std::string texts[] = {encode(r), encode(b)};
  for (const std::string& text : texts)
    for (std::size_t n = 0; n < text.size(); ++n) {
      CHECK_FALSE(decode_process_record(text.substr(0, n)));
      CHECK_FALSE(decode_ejection_record(text.substr(0, n)));
    }
  CHECK_FALSE(decode_process_record(encode(b)));
  CHECK_FALSE(decode_ejection_record(encode(r)));
  for (const char* foreign :
       {"", "[]", "{}",
        "{\"format\":\"indigorill-handover-0\",\"kind\":\"bans\",\"revision\":1,\"out\":[],\"back\":{}}",
        "{\"format\":\"indigorill-handover-1\",\"kind\":\"bans\",\"revision\":\"x\",\"out\":[]}",
        "{\"format\":\"indigorill-handover-1\",\"kind\":\"bans\",\"revision\":1,\"out\":[3]}"})
    CHECK_FALSE(decode_ejection_record(foreign));
}

namespace {

// A process's side of the folder; both turn in one loop, and locks are of open files, so that two in one
// process exclude each other as two processes do.
struct RestartingProcess {
  std::ostringstream log_text;
  Logger log{log_text, LogLevel::debug};
  std::unique_ptr<HotRestart> hot_restart;
  std::vector<EjectionRecord> ejection_updates;
  RestartingProcess(EventLoop& runs, const std::string& path)
      : hot_restart(std::make_unique<HotRestart>(runs, log, path, "n:0/x")) {
    hot_restart->start([] {}, [this](const EjectionRecord& b) { ejection_updates.push_back(b); });
  }
};

}  // namespace

TEST_CASE("a ban made in one process is in force in both before the yes, and outlives either") {
  EventLoop runs;
  Folder here;
  RestartingProcess elder(runs, here.path);
  elder.hot_restart->start_serving();
  RestartingProcess newcomer(runs, here.path);
  REQUIRE(run_until(runs, [&] {
    return elder.hot_restart->policy().is_parent() && newcomer.hot_restart->policy().is_child();
  }));
  bool done = false;
  newcomer.hot_restart->change_ejections(
      [](EjectionRecord& b) { b.ejected.insert("a"); },
      [&](bool yes) {
        done = yes;
        CHECK((!elder.ejection_updates.empty() && elder.ejection_updates.back().ejected.count("a")));
        CHECK((!newcomer.ejection_updates.empty() && newcomer.ejection_updates.back().ejected.count("a")));
      });
  REQUIRE(run_until(runs, [&] { return done; }));
  done = false;  // both asked at once
  bool other = false;
  elder.hot_restart->change_ejections([](EjectionRecord& b) { b.ejected.insert("b"); },
                                      [&](bool yes) { done = yes; });
  newcomer.hot_restart->change_ejections([](EjectionRecord& b) { restore_endpoint(b, "a", 77); },
                                         [&](bool yes) { other = yes; });
  REQUIRE(run_until(runs, [&] { return done && other; }));
  CHECK(elder.hot_restart->ejections().ejected == std::set<std::string, std::less<>>{"b"});
  CHECK(newcomer.hot_restart->ejections() == elder.hot_restart->ejections());
  elder.hot_restart.reset();
  REQUIRE(run_until(runs, [&] { return !newcomer.hot_restart->policy().is_paired(); }));
  newcomer.hot_restart.reset();
  RestartingProcess next(runs, here.path);
  CHECK(next.hot_restart->ejections().ejected.count("b") == 1);
  CHECK(next.hot_restart->ejections().restored_at_ms.at("a") == 77);
  CHECK_FALSE(next.hot_restart->policy().is_paired());
}

TEST_CASE("one that doesn't hear of a change in time makes it a no, and all is as it was") {
  EventLoop runs, still;
  Folder here;
  RestartingProcess elder(still, here.path);  // its loop stands still
  RestartingProcess newcomer(runs, here.path);
  REQUIRE(newcomer.hot_restart->policy().is_paired());
  std::optional<bool> yes;
  newcomer.hot_restart->change_ejections([](EjectionRecord& b) { b.ejected.insert("a"); },
                                         [&](bool done) { yes = done; });
  REQUIRE(run_until(runs, [&] { return yes.has_value(); }));
  CHECK_FALSE(*yes);
  CHECK(newcomer.hot_restart->ejections().ejected.empty());
  still.run_once(30);
  CHECK(elder.hot_restart->ejections().ejected.empty());
}

TEST_CASE("without a folder, or beside two others, a process works alone and says so") {
  EventLoop runs;
  Folder here;
  RestartingProcess none(runs, ""), nowhere(runs, here.path + "/not/there");
  RestartingProcess one(runs, here.path), two(runs, here.path), three(runs, here.path);
  for (const RestartingProcess* h : {&none, &nowhere, &three}) {
    CHECK(h->log_text.str().find("running standalone") != std::string::npos);
    CHECK_FALSE(h->hot_restart->policy().is_paired());
    bool done = false;
    h->hot_restart->change_ejections([](EjectionRecord& b) { b.ejected.insert("a"); },
                                     [&](bool yes) { done = yes; });
    CHECK(done);
  }
  CHECK(two.hot_restart->policy().is_paired());
}

namespace {

// A sidecar as a process of its own, on a listener that the test holds, and what the test asks of it.
struct SidecarProcess {
  pid_t pid = -1;
  sockaddr_in admin_address = local_address(listen_on_loopback());

  SidecarProcess(const std::string& folder, const FileDescriptor& door, const sockaddr_in& agent,
                 int descriptors) {
    const std::string path = folder + "/config-" + address_text(admin_address);
    std::ofstream(path)
        << R"({"name":"n","listen":")" << address_text(local_address(door)) << R"(","discovery":")"
        << address_text(agent) << R"(","admin_addr":")" << address_text(admin_address)
        << R"(","seed":"1","limits":{"sockets":)" << descriptors
        << R"(},"settings":{"methods":[{"name":"read","effect":"retryable","deadline":500000}],)"
        << R"("bounds":{"maxPicks":3}}})";
    const std::string fd = std::to_string(door.get());
    pid = ::fork();
    if (pid != 0) return;
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
      Logger lines(text, LogLevel::error);
      run_sidecar(
          load_sidecar_config(variable), [&] { return reload_sidecar_config(variable); }, lines);
    } catch (const std::exception&) {
      ::_exit(1);
    }
    ::_exit(0);
  }
  ~SidecarProcess() {
    if (pid > 0) ::kill(pid, SIGKILL), ::waitpid(pid, nullptr, 0);
  }
  // True if it ended by itself. The world goes on meanwhile, or nothing in hand there would end.
  bool stop_with_signal(int signal, EventLoop& runs, const std::function<void()>& step) {
    ::kill(pid, signal);
    int status = -1;
    const bool gone = run_until(runs, [&] { return step(), ::waitpid(pid, &status, WNOHANG) == pid; });
    if (gone) pid = -1;
    return gone && WIFEXITED(status) && WEXITSTATUS(status) == 0;
  }
  std::size_t open_descriptor_count() const {
    std::error_code none;
    std::size_t n = 0;
    for (std::filesystem::directory_iterator at("/proc/" + std::to_string(pid) + "/fd", none), last;
         !none && at != last; at.increment(none))
      ++n;
    return n;
  }
};

// An application that asks on and on, and what it met.
struct ClientApplication {
  EventLoop& event_loop;
  FileDescriptorBudget& budget;
  sockaddr_in sidecar_address;
  std::unique_ptr<TestConnection> connection;
  bool is_waiting = false;
  int ok = 0, unanswered = 0, rejected = 0;
  double next_request_ms = 0;

  void step() {
    constexpr double pause = 4;  // ms: endpoints with a script must not run out of it
    if (connection && !connection->is_ended) {
      if (!is_waiting && event_loop.now() > next_request_ms) send_request();
      return;
    }
    unanswered += is_waiting;
    is_waiting = false;
    connection = std::make_unique<TestConnection>(event_loop, budget, start_connect(sidecar_address),
                                                  http::HttpParser::MessageKind::response);
    connection->on_message = [this](TestConnection& s) {
      is_waiting = false;
      (s.received.back().status == 200 ? ok : rejected) += 1;
      next_request_ms = event_loop.now() + pause;
    };
  }
  void send_request() {
    static int ids = 0;
    is_waiting = true;
    connection->send("GET /read HTTP/1.1\r\nX-Call-Id: two" + std::to_string(++ids) +
                     "\r\nX-Budget: 500m\r\n\r\n");
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
    EventLoop runs;
    Folder here;
    FileDescriptorBudget budget{400};
    const std::string entries =
        R"({"instanceId":"a","hostPort":"%a","lifecycle":"up"},{"instanceId":"b","hostPort":"%b","lifecycle":"up"})";
    const std::vector<std::string> answers(20000, response_text(200, "served"));
    FakeServer a(runs, answers), b(runs, answers);
    std::string list = R"({"generation":9,"reset":true,"instances":[)" + entries + "]}";
    list.replace(list.find("%a"), 2, address_text(a.address));
    list.replace(list.find("%b"), 2, address_text(b.address));
    FakeServer agent(runs,
                     {response_text(200, list)});  // and silent from then on: a newcomer needs no list of it
    const FileDescriptor door = listen_on_loopback();
    std::vector<std::unique_ptr<ClientApplication>> apps;
    std::size_t most_descriptors = 0;
    SidecarProcess elder(here.path, door, agent.address, descriptors);
    std::unique_ptr<SidecarProcess> newcomer;
    const auto step = [&] {
      for (const auto& app : apps) app->step();
      most_descriptors = std::max(most_descriptors, elder.open_descriptor_count() +
                                                        (newcomer ? newcomer->open_descriptor_count() : 0));
    };
    const auto call = [&](const SidecarProcess& p, const std::string& text) {
      int status = 0;
      run_until(runs, [&] {
        TestConnection s(runs, budget, start_connect(p.admin_address),
                         http::HttpParser::MessageKind::response);
        s.send(text + " HTTP/1.1\r\n\r\n");
        run_until(runs, [&] { return step(), s.is_ended || !s.received.empty(); });
        if (!s.received.empty()) status = s.received[0].status;
        return status != 0 && status != 503;
      });
      return status;
    };
    const auto served = [&](int more) {
      int before = 0;
      for (const auto& app : apps) before += app->ok;
      return run_until(runs, [&] {
        step();
        int now = 0;
        for (const auto& app : apps) now += app->ok;
        return now >= before + more;
      });
    };
    REQUIRE(call(elder, "GET /status") == 200);
    for (int i = 0; i < 8; ++i)
      apps.push_back(std::make_unique<ClientApplication>(
          ClientApplication{runs, budget, local_address(door), nullptr, false, 0, 0, 0, 0}));
    REQUIRE(served(100));
    CHECK(call(elder, "PUT /maintenance/enter?host=nobody") == 404);
    newcomer = std::make_unique<SidecarProcess>(here.path, door, agent.address, descriptors);
    REQUIRE(call(*newcomer, "GET /status") == 200);
    REQUIRE(served(100));
    REQUIRE(call(t.elder_dies ? elder : *newcomer, "PUT /maintenance/enter?host=a") == 200);
    const std::size_t sent_there = a.request_targets.size();
    REQUIRE(served(200));
    int unheard = 0;
    for (const auto& app : apps) unheard += app->unanswered;
    CHECK(unheard == 0);  // until somebody was killed
    SidecarProcess& dies = t.elder_dies ? elder : *newcomer;
    SidecarProcess& stays = t.elder_dies ? *newcomer : elder;
    CHECK(dies.stop_with_signal(t.signal, runs, step) == (t.signal == SIGTERM));
    REQUIRE(served(200));
    CHECK(a.request_targets.size() == sent_there);  // the ban outlives who was asked
    REQUIRE(call(stays, "PUT /maintenance/exit?host=a") == 200);
    REQUIRE(run_until(runs, [&] { return step(), a.request_targets.size() > sent_there; }));
    CHECK(most_descriptors <= descriptors);
    if (t.signal == SIGTERM) {
      unheard = 0;
      for (const auto& app : apps) unheard += app->unanswered;
      CHECK(unheard <= 2);
    }
    CHECK(stays.stop_with_signal(SIGTERM, runs, step));
  }
}
