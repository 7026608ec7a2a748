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

#include "support/parts.h"

using namespace host;

namespace {

struct SettingsVariant {
  const char* description;
  int latency_target_ms, deadline_ms, connect_timeout_ms, drain_grace_ms;  // ms
  bool allows_all;  // cancels, probes, push-back with advice, further picks
};
constexpr SettingsVariant settings_variants[] = {{"short times, nothing allowed", 120, 150, 1200, 300, false},
                                                 {"long times, all allowed", 1500, 3000, 250, 1000, true}};

class SidecarProcess {
 public:
  sockaddr_in address;
  std::string config_path =
                  "sidecar-" + std::to_string(::getpid()) + "-" + std::to_string(++instance_count) + ".json",
              log_path = config_path + ".log";
  rlim_t descriptor_limit = 0;  // as the kernel has it; 0: as here

  explicit SidecarProcess(const sockaddr_in& agent, const SettingsVariant& sidecar,
                          const std::string& known = "") {
    reserved_port_ = bind_on_loopback();
    address = local_address(reserved_port_);
    const auto us = [](int ms) { return std::to_string(ms * 1000); };
    const std::string allows = sidecar.allows_all ? "true" : "false";
    config_text =
        R"({"name":"n","listen":")" + address_text(address) + R"(","discovery":")" + address_text(agent) +
        R"(","seed":"1","limits":{"sockets":300},)" + known +
        R"("settings":{"methods":[{"name":"pay-9","effect":"fragile","deadline":)" + us(sidecar.deadline_ms) +
        R"(,"latencyTarget":)" + us(sidecar.latency_target_ms) + R"(}],"bounds":{"maxPicks":)" +
        (sidecar.allows_all ? "4" : "1") + R"(,"cancelling":)" + allows + R"(,"probes":)" + allows +
        R"(,"retryAfter":)" + allows + R"(,"maxRetryAfter":500000,"keepalive":5000000,"connectTimeout":)" +
        us(sidecar.connect_timeout_ms) + R"(},"rules":{"drainGrace":)" + us(sidecar.drain_grace_ms) + "}}}";
  }
  ~SidecarProcess() {
    kill_process();
    std::remove(config_path.c_str());
    std::remove(log_path.c_str());
  }
  void start(bool write_config = true) {
    if (write_config) std::ofstream(config_path) << config_text;
    reserved_port_ = {};
    pid_ = ::fork();
    if (pid_ != 0) return;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (descriptor_limit > 0) {
      const rlimit most{descriptor_limit, descriptor_limit};
      ::setrlimit(RLIMIT_NOFILE, &most);
    }
    ::setenv("LB_CONFIG", config_path.c_str(), 1);
    if (!std::freopen(log_path.c_str(), "w", stderr)) ::_exit(126);
    ::execl(INDIGORILL_SIDECAR, INDIGORILL_SIDECAR, static_cast<char*>(nullptr));
    ::_exit(127);
  }
  void kill_process() {
    if (pid_ > 0) {
      ::kill(pid_, SIGKILL);
      ::waitpid(pid_, nullptr, 0);
    }
    pid_ = 0;
  }
  void send_signal(int word) { ::kill(pid_, word); }
  bool has_exited() {
    if (pid_ > 0 && ::waitpid(pid_, &wait_status_, WNOHANG) == pid_) pid_ = 0;
    return pid_ == 0;
  }
  bool exited_cleanly() const { return WIFEXITED(wait_status_) && WEXITSTATUS(wait_status_) == 0; }
  bool ready(EventLoop& loop) {
    for (const double end = loop.now() + 20000; loop.now() < end && !has_exited();) {
      FileDescriptorBudget one{1};
      TestConnection asks(loop, one, start_connect(address), response);
      asks.send("GET /-/ready HTTP/1.1\r\n\r\n");
      for (int i = 0; i < 20 && asks.received.empty() && !asks.is_ended; ++i) loop.run_once(5);
      if (!asks.received.empty() && asks.received[0].status == 200) return true;
      run_for(loop, 5);
    }
    return false;
  }
  std::string config_text;

 private:
  static inline int instance_count = 0;
  FileDescriptor reserved_port_;
  pid_t pid_ = 0;
  int wait_status_ = -1;
};

// The list from before the start: one endpoint.
std::string known_endpoint_json(const sockaddr_in& endpoint) {
  return R"("known":{"generation":1,"reset":true,"instances":[{"instanceId":"a","hostPort":")" +
         address_text(endpoint) + R"(","lifecycle":"up"}]},)";
}

bool wait_for(EventLoop& loop, double longest, const std::function<bool()>& so) {
  for (const double end = loop.now() + longest; !so();) {
    if (loop.now() > end) return false;
    loop.run_once(2);
  }
  return true;
}

std::string payment_request(int id, int budget) {
  return "POST /pay-9 HTTP/1.1\r\nX-Call-Id: pay" + std::to_string(id) +
         "\r\nX-Call-Class: pay-9\r\nX-Budget: " + std::to_string(budget) +
         "m\r\nContent-Length: 4\r\n\r\nbody";
}

// Clients that send one request after the other, also after the word to stop, on all that stays open; a
// request that crosses a closing is sent once more over a new connection.
struct ClientCrowd {
  struct Client {
    std::unique_ptr<TestConnection> connection;
    int request_id = 0;  // the id that is out
    bool resent = false;
    bool fresh = true;  // nothing was answered on this connection
  };
  EventLoop& event_loop;
  sockaddr_in address;
  int budget_ms;
  FileDescriptorBudget client_budget{200};
  std::vector<Client> clients;
  int last_id = 0, answered = 0, refused = 0, lost = 0, succeeded = 0;
  bool may_reconnect = true;  // new connections still go on coming

  ClientCrowd(EventLoop& in, const sockaddr_in& at, int within, std::size_t n)
      : event_loop(in), address(at), budget_ms(within), clients(n) {
    for (Client& client : clients) connect(client);
  }
  void connect(Client& client) {
    client.connection =
        std::make_unique<TestConnection>(event_loop, client_budget, start_connect(address), response);
    client.fresh = true;
  }
  void step(bool sends) {
    for (Client& client : clients) {
      if (!client.connection) continue;
      if (client.request_id && !client.connection->received.empty()) {
        const http::Message& m = client.connection->received.back();
        ++answered;
        (m.status == 200 ? succeeded : refused) += 1;
        const bool keeps = m.keep_alive;
        client.connection->received.clear();
        client.request_id = 0;
        client.resent = client.fresh = false;
        if (!keeps) client.connection->is_ended = true;
      }
      if (client.connection->is_ended) {
        const int out = client.request_id;
        client.connection.reset();
        if (out && (client.resent || !may_reconnect)) {
          ++lost;
          client.request_id = 0;
          continue;
        }
        if (!may_reconnect) continue;
        connect(client);
        if (out) {
          client.resent = true;
          client.connection->send(payment_request(out, budget_ms));
        }
      }
      if (client.connection && sends && !client.request_id) {
        client.connection->send(payment_request(client.request_id = ++last_id, budget_ms));
      }
    }
  }
  bool none_waiting() const {
    return std::all_of(clients.begin(), clients.end(),
                       [](const Client& client) { return client.request_id == 0; });
  }
};

}  // namespace

TEST_CASE("processes: SIGTERM while the config is still read ends it with status 0, SIGHUP doesn't end it") {
  for (const int word : {SIGTERM, SIGHUP}) {
    EventLoop loop;
    FakeServer agent(loop, {});
    SidecarProcess sidecar(agent.address, settings_variants[0]);
    REQUIRE(::mkfifo(sidecar.config_path.c_str(), 0600) == 0);
    sidecar.start(false);
    // It can be opened for writing once the process has it open for reading, and reads until that is closed.
    FileDescriptor to;
    REQUIRE(wait_for(loop, 20000, [&] {
      to = FileDescriptor(::open(sidecar.config_path.c_str(), O_WRONLY | O_NONBLOCK));
      return static_cast<bool>(to);
    }));
    sidecar.send_signal(word);
    run_for(loop, 30);
    REQUIRE(::write(to.get(), sidecar.config_text.data(), sidecar.config_text.size()) ==
            static_cast<ssize_t>(sidecar.config_text.size()));
    to = {};
    if (word == SIGHUP) {
      std::remove(sidecar.config_path.c_str());
      std::ofstream(sidecar.config_path) << sidecar.config_text;
      CHECK(sidecar.ready(loop));
      sidecar.send_signal(SIGTERM);
    }
    REQUIRE(wait_for(loop, 20000, [&] { return sidecar.has_exited(); }));
    CHECK(sidecar.exited_cleanly());
  }
}

TEST_CASE(
    "processes: told to stop under load, every request that was taken has its one answer, none runs twice") {
  for (const SettingsVariant& settings : settings_variants) {
    CAPTURE(std::string(settings.description));
    EventLoop loop;
    FakeServer agent(loop, {});
    FakeServer endpoint(loop, std::vector<std::string>(100000, response_text(200, "paid")));
    endpoint.budget.limit = 1000;
    SidecarProcess sidecar(agent.address, settings, known_endpoint_json(endpoint.address));
    sidecar.start();
    REQUIRE(sidecar.ready(loop));
    ClientCrowd clients(loop, sidecar.address, settings.deadline_ms, 24);
    const auto play = [&](double ms, bool sends) {
      for (const double end = loop.now() + ms; loop.now() < end;) {
        loop.run_once(1);
        clients.step(sends);
      }
    };
    play(300, true);
    CHECK(clients.succeeded > 100);
    const double told = loop.now();
    sidecar.send_signal(SIGTERM);
    play(40, true);
    sidecar.send_signal(SIGHUP);
    sidecar.send_signal(SIGTERM);
    play(300, true);
    clients.may_reconnect = false;
    double gone = 0;
    for (const double end = told + 20000; gone == 0 && loop.now() < end;) {
      loop.run_once(1);
      clients.step(true);  // on what is still open
      if (sidecar.has_exited()) gone = loop.now();
    }
    CHECK(gone > 0);
    CHECK(sidecar.exited_cleanly());
    CHECK(gone - told < std::min(settings.deadline_ms, 3000) + 700);
    play(20, false);
    CHECK(clients.lost == 0);
    CHECK(clients.none_waiting());
    CHECK(clients.answered == clients.last_id);
    std::map<std::string, int> runs_of;
    for (const auto& side : endpoint.connections)
      for (const http::Message& m : side->received)
        ++runs_of[std::string(m.find_header("X-Call-Id").value_or("none"))];
    CHECK(std::all_of(runs_of.begin(), runs_of.end(), [](const auto& r) { return r.second == 1; }));
    CHECK(static_cast<int>(runs_of.size()) >= clients.succeeded);
  }
}

TEST_CASE(
    "processes: told to stop with endpoints that hang and clients that say nothing more, it is gone in "
    "time") {
  for (const SettingsVariant& settings : settings_variants) {
    CAPTURE(std::string(settings.description));
    EventLoop loop;
    FakeServer agent(loop, {});
    FakeServer endpoint(loop, {});
    SidecarProcess sidecar(agent.address, settings, known_endpoint_json(endpoint.address));
    sidecar.start();
    REQUIRE(sidecar.ready(loop));
    FileDescriptorBudget room{100};
    std::vector<std::unique_ptr<TestConnection>> clients;
    for (int i = 0; i < 8; ++i)
      clients.push_back(
          std::make_unique<TestConnection>(loop, room, start_connect(sidecar.address), response));
    for (int i = 0; i < 4; ++i) clients[i]->send(payment_request(i + 1, settings.deadline_ms));
    clients[4]->send(payment_request(5, settings.deadline_ms).substr(0, 40));
    REQUIRE(wait_for(loop, 2000, [&] { return endpoint.request_targets.size() == 4; }));
    const double told = loop.now();
    sidecar.send_signal(SIGTERM);
    REQUIRE(wait_for(loop, 20000, [&] { return sidecar.has_exited(); }));
    CHECK(loop.now() - told < std::min(settings.deadline_ms, 3000) + 700);
    CHECK(sidecar.exited_cleanly());
    run_for(loop, 10);
    for (int i = 0; i < 4; ++i) {
      REQUIRE(clients[i]->received.size() == 1);
      CHECK(clients[i]->received[0].status == 502);  // it may have run: no word that a retry is harmless
    }
    for (const auto& client : clients) CHECK(client->is_ended);
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
  for (const auto& row : table) {
    CAPTURE(std::string(row.to));
    EventLoop loop;
    FakeServer agent(loop, {});
    SidecarProcess sidecar(agent.address, settings_variants[0]);
    const std::size_t at = sidecar.config_text.find(row.from);
    REQUIRE(at != std::string::npos);
    sidecar.config_text.replace(at, std::string(row.from).size(), row.to);
    sidecar.start();
    REQUIRE(wait_for(loop, 20000, [&] { return sidecar.has_exited(); }));
    CHECK_FALSE(sidecar.exited_cleanly());
    std::ifstream in(sidecar.log_path);
    std::vector<std::string> lines;
    for (std::string line; std::getline(in, line);) lines.push_back(line);
    REQUIRE(lines.size() == 1);
    CHECK(lines[0].find(row.said) != std::string::npos);
  }
}

TEST_CASE(
    "processes: stopped while a client leaves and its pick's connect comes up, it sends nothing on "
    "afterwards") {
  for (const bool leaves : {false, true}) {
    EventLoop loop;
    FakeServer agent(loop, {});
    StalledListener late;
    const SettingsVariant patient{"a connect may take its second", 8000, 8000, 3000, 1000, false};
    SidecarProcess sidecar(agent.address, patient, known_endpoint_json(late.address));
    sidecar.start();
    REQUIRE(sidecar.ready(loop));
    FileDescriptorBudget room{10};
    TestConnection client(loop, room, start_connect(sidecar.address), response);
    TestConnection second(loop, room, start_connect(sidecar.address), response);
    client.send(payment_request(1, 8000));
    // Its pick connects by the time that another client has an answer to what came behind it.
    REQUIRE(wait_for(loop, 2000, [&] { return client.stream->unacknowledged_bytes() == 0; }));
    for (int i = 0; i < 3; ++i) {
      second.send("GET /-/ready HTTP/1.1\r\n\r\n");
      REQUIRE(
          wait_for(loop, 2000, [&] { return second.received.size() == static_cast<std::size_t>(i + 1); }));
    }
    sidecar.send_signal(SIGSTOP);
    late.release();
    for (const double end = loop.now() + 1500; loop.now() < end; late.receive()) loop.run_once(5);
    CHECK_FALSE(late.accepted.empty());  // it came up
    CHECK(late.request_count() == 0);
    if (leaves) client.close();  // behind the connect, so that it comes second in the order of events
    run_for(loop, 20);
    sidecar.send_signal(SIGCONT);
    for (const double end = loop.now() + 300; loop.now() < end; late.receive()) loop.run_once(5);
    CHECK(late.request_count() == (leaves ? 0 : 1));
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
  for (const auto& row : table) {
    CAPTURE(std::string(row.what));
    EventLoop loop;
    FakeServer endpoint(loop, {});
    FakeServer agent(loop,
                     std::vector<std::string>(100000, response_text(200, R"({"generation":1,"reset":true,)"
                                                                         R"("instances":[]})")),
                     row.slow < 0 ? bind_on_loopback() : listen_on_loopback());
    agent.budget.limit = 100000;
    agent.response_delay_ms = std::max(row.slow, 0.0);
    std::vector<std::unique_ptr<SidecarProcess>> all;
    for (std::size_t i = 0; i < n; ++i) {
      all.push_back(std::make_unique<SidecarProcess>(agent.address, settings_variants[1],
                                                     known_endpoint_json(endpoint.address)));
      std::string& text = all.back()->config_text;
      if (row.asked)
        text.replace(text.find(R"("settings":{)"), 12, R"("settings":{"discovery":"subscribe",)");
    }
    // How many are ready after so long; all are asked side by side.
    const auto ready_within = [&](double longest) {
      FileDescriptorBudget room{2 * n};
      std::vector<std::unique_ptr<TestConnection>> asks(n);
      std::vector<double> since(n, 0);
      std::vector<bool> ready(n, false);
      for (const double end = loop.now() + longest;
           loop.now() < end && std::count(ready.begin(), ready.end(), true) < 30;) {
        for (std::size_t i = 0; i < n; ++i) {
          if (ready[i]) continue;
          if (asks[i] && !asks[i]->received.empty() && asks[i]->received[0].status == 200) {
            ready[i] = true;
            asks[i].reset();
          } else if (!asks[i] || asks[i]->is_ended || loop.now() > since[i] + 500) {
            asks[i] = std::make_unique<TestConnection>(loop, room, start_connect(all[i]->address), response);
            asks[i]->send("GET /-/ready HTTP/1.1\r\n\r\n");
            since[i] = loop.now();
          }
        }
        loop.run_once(5);
      }
      return std::count(ready.begin(), ready.end(), true);
    };
    for (auto& sidecar : all) sidecar->start();
    REQUIRE(ready_within(30000) == n);
    for (auto& sidecar : all) sidecar->kill_process();
    for (auto& sidecar : all) sidecar->start();
    CHECK(ready_within(10000) >= 27);
    CHECK(std::none_of(all.begin(), all.end(), [](auto& sidecar) { return sidecar->has_exited(); }));
  }
}

TEST_CASE(
    "processes: idle clients hold all descriptors while discovery is down; its list is reached at its "
    "return") {
  for (const bool refused : {false, true}) {
    CAPTURE(refused);
    EventLoop loop;
    FakeServer agent(loop, {}, refused ? bind_on_loopback() : listen_on_loopback());
    std::vector<FileDescriptor> filling;
    if (!refused) {
      agent.listener_watch.cancel();
      filling = fill_backlog(agent.listener);
    }
    FakeServer before(loop, {});
    FakeServer after(loop, std::vector<std::string>(10, response_text(200, "paid")));
    SidecarProcess sidecar(agent.address, settings_variants[1], known_endpoint_json(before.address));
    const std::string limit = R"("sockets":300)";
    sidecar.config_text.replace(sidecar.config_text.find(limit), limit.size(), R"("sockets":64)");
    sidecar.descriptor_limit = 64;
    sidecar.start();
    REQUIRE(sidecar.ready(loop));
    FileDescriptorBudget room{400};
    std::vector<std::unique_ptr<TestConnection>> idle;
    for (int i = 0; i < 150; ++i) {
      idle.push_back(std::make_unique<TestConnection>(loop, room, start_connect(sidecar.address), response));
      if (i % 10 == 0) run_for(loop, 10);
    }
    // Who is closed for room comes again.
    const auto stay = [&] {
      for (auto& c : idle)
        if (c->is_ended)
          c = std::make_unique<TestConnection>(loop, room, start_connect(sidecar.address), response);
    };
    for (const double end = loop.now() + 1000; loop.now() < end; stay()) loop.run_once(5);
    CHECK(before.request_targets.empty());
    filling.clear();
    const std::string told =
        response_text(200, R"({"generation":2,"reset":true,"instances":[{"instanceId":"b","hostPort":")" +
                               address_text(after.address) + R"(","lifecycle":"up"}]})");
    agent.responses = {told};
    ::listen(agent.listener.get(), 100);
    agent.start_accepting();
    REQUIRE(wait_for(loop, 3000, [&] { return stay(), !agent.request_targets.empty(); }));
    for (const double end = loop.now() + 300; loop.now() < end; stay()) loop.run_once(5);
    idle.clear();
    TestConnection client(loop, room, start_connect(sidecar.address), response);
    client.send(payment_request(1, 3000));
    REQUIRE(wait_for(loop, 4000, [&] { return !client.received.empty() || client.is_ended; }));
    REQUIRE(client.received.size() == 1);
    CHECK(client.received[0].status == 200);
    CHECK(after.request_targets.size() == 1);
    CHECK(before.request_targets.empty());
  }
}
