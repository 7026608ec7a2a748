/// Hot restart: the policy, the records, and the files and locks that the two processes of one sidecar share;
/// at the end, upgrades with two real processes.
#include "hot_restart/hot_restart.h"

#include <doctest/doctest.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>

#include "hot_restart/hot_restart_policy.h"
#include "proxy/sidecar.h"
#include "support/host.h"

using namespace host;

namespace {

using ProcessState = ProcessRecord::ProcessState;

constexpr auto starting = ProcessState::starting;
constexpr auto serving = ProcessState::serving;
constexpr auto draining = ProcessState::draining;

ProcessRecord make_record(double started_at_ms, ProcessState state, bool limits_reduced = false) {
  return {state, started_at_ms, 0, limits_reduced};
}

void enter_state(HotRestartPolicy& policy, ProcessState state) {
  if (state == serving) policy.start_serving();
  if (state == draining) policy.start_draining();
}

struct TemporaryDirectory {
  std::string path = "/tmp/indigorill-hot-restart-XXXXXX";
  TemporaryDirectory() { REQUIRE(::mkdtemp(path.data())); }
  ~TemporaryDirectory() { std::filesystem::remove_all(path); }
  TemporaryDirectory(const TemporaryDirectory&) = delete;
  TemporaryDirectory& operator=(const TemporaryDirectory&) = delete;
};

}  // namespace

TEST_CASE("hot restart policy: the other process's record decides what a parent and a child do") {
  struct {
    const char* name;
    ProcessRecord own;
    std::optional<ProcessRecord> other;
    bool other_is_alive;
    bool is_accepting;
    bool is_force_closing;
    bool can_start_serving;
    double limit_fraction;
  } table[] = {
      {"alone", make_record(1, serving), {}, false, true, false, true, 1},
      {"alone, still starting", make_record(1, starting), {}, false, false, false, true, 1},
      {"parent of a child that starts", make_record(1, serving), make_record(2, starting), true, true, false,
       true, 0.5},
      {"parent of a child whose record can't be read yet",
       make_record(1, serving),
       {},
       true,
       true,
       false,
       true,
       0.5},
      {"parent of a child that serves", make_record(1, serving), make_record(2, serving), true, false, true,
       true, 0.5},
      {"draining parent", make_record(1, draining), make_record(2, serving), true, false, true, true, 0.5},
      {"parent that drains before its child serves", make_record(1, draining), make_record(2, starting), true,
       true, false, true, 0.5},
      {"parent whose child died", make_record(1, serving), make_record(2, serving), false, true, false, true,
       1},
      {"child, limits not yet reduced", make_record(2, starting), make_record(1, serving), true, false, false,
       false, 0.1},
      {"child, parent's record can't be read", make_record(2, starting), {}, true, false, false, false, 0.1},
      {"child, limits reduced", make_record(2, starting), make_record(1, serving, true), true, false, false,
       true, 0.5},
      {"child that serves", make_record(2, serving), make_record(1, serving, true), true, true, false, true,
       0.5},
      {"child whose parent has ended", make_record(2, serving), {}, false, true, false, true, 1},
  };
  for (const auto& row : table) {
    CAPTURE(std::string(row.name));
    HotRestartPolicy policy(row.own.started_at_ms);
    enter_state(policy, row.own.state);
    policy.update_other_process(row.other, row.other_is_alive);
    CHECK(policy.is_accepting() == row.is_accepting);
    CHECK(policy.is_force_closing() == row.is_force_closing);
    CHECK(policy.can_start_serving() == row.can_start_serving);
    CHECK(policy.limit_fraction() == row.limit_fraction);
  }
}

TEST_CASE("hot restart policy: two processes never exceed the limits and one of them always accepts") {
  for (const auto parent_state : {starting, serving, draining})
    for (const auto child_state : {starting, serving, draining})
      for (const bool limits_reduced : {false, true}) {
        HotRestartPolicy parent(1);
        HotRestartPolicy child(2);
        enter_state(parent, parent_state);
        enter_state(child, child_state);
        parent.set_limits_reduced(limits_reduced);
        parent.update_other_process(child.own_record(), true);
        child.update_other_process(parent.own_record(), true);
        CHECK(parent.limit_fraction() + child.limit_fraction() <= 1);
        if (parent_state != starting && child_state == serving)
          CHECK(parent.is_accepting() + child.is_accepting() == 1);
        if (parent_state != starting && child_state == starting) CHECK(parent.is_accepting());
      }
}

TEST_CASE("hot restart records are decoded as encoded; truncated or foreign ones are rejected") {
  ProcessRecord process_record = make_record(1234.5, serving, true);
  process_record.ejection_revision = 7;
  const EjectionRecord ejection_record{9, {"a", "b c\"", "\xc3\xa9"}, {{"d", 1234.5}}};
  CHECK(decode_process_record(encode(process_record)) == process_record);
  CHECK(decode_ejection_record(encode(ejection_record)) == ejection_record);
  const std::string texts[] = {encode(process_record), encode(ejection_record)};
  for (const std::string& text : texts)
    for (std::size_t length = 0; length < text.size(); ++length) {
      CHECK_FALSE(decode_process_record(text.substr(0, length)));
      CHECK_FALSE(decode_ejection_record(text.substr(0, length)));
    }
  CHECK_FALSE(decode_process_record(encode(ejection_record)));
  CHECK_FALSE(decode_ejection_record(encode(process_record)));
  for (const char* foreign :
       {"", "[]", "{}",
        "{\"format\":\"indigorill-handover-0\",\"kind\":\"bans\",\"revision\":1,\"out\":[],\"back\":{}}",
        "{\"format\":\"indigorill-handover-1\",\"kind\":\"bans\",\"revision\":\"x\",\"out\":[]}",
        "{\"format\":\"indigorill-handover-1\",\"kind\":\"bans\",\"revision\":1,\"out\":[3]}"})
    CHECK_FALSE(decode_ejection_record(foreign));
}

namespace {

/// One process's access to the shared directory. The locks belong to open files, so two of these objects in
/// one process exclude each other as two processes do.
struct RestartingProcess {
  std::ostringstream log_text;
  Logger log{log_text, LogLevel::debug};
  std::unique_ptr<HotRestart> hot_restart;
  std::vector<EjectionRecord> ejection_updates;

  RestartingProcess(EventLoop& event_loop, const std::string& directory)
      : hot_restart(std::make_unique<HotRestart>(event_loop, log, directory, "n:0/x")) {
    hot_restart->start([] {}, [this](const EjectionRecord& record) { ejection_updates.push_back(record); });
  }

  bool has_ejection_in_force(const std::string& endpoint_id) const {
    return !ejection_updates.empty() && ejection_updates.back().ejected.contains(endpoint_id);
  }
};

}  // namespace

TEST_CASE("an ejection is in force in both processes before it is confirmed and outlives both") {
  EventLoop event_loop;
  TemporaryDirectory directory;
  RestartingProcess parent(event_loop, directory.path);
  parent.hot_restart->start_serving();
  RestartingProcess child(event_loop, directory.path);
  REQUIRE(run_until(event_loop, [&] {
    return parent.hot_restart->policy().is_parent() && child.hot_restart->policy().is_child();
  }));
  bool child_done = false;
  child.hot_restart->change_ejections([](EjectionRecord& record) { record.ejected.insert("a"); },
                                      [&](bool is_in_force) {
                                        child_done = is_in_force;
                                        CHECK(parent.has_ejection_in_force("a"));
                                        CHECK(child.has_ejection_in_force("a"));
                                      });
  REQUIRE(run_until(event_loop, [&] { return child_done; }));
  // Both processes change ejections at the same time.
  bool parent_done = false;
  child_done = false;
  parent.hot_restart->change_ejections([](EjectionRecord& record) { record.ejected.insert("b"); },
                                       [&](bool is_in_force) { parent_done = is_in_force; });
  child.hot_restart->change_ejections([](EjectionRecord& record) { restore_endpoint(record, "a", 77); },
                                      [&](bool is_in_force) { child_done = is_in_force; });
  REQUIRE(run_until(event_loop, [&] { return parent_done && child_done; }));
  CHECK(parent.hot_restart->ejections().ejected == std::set<std::string, std::less<>>{"b"});
  CHECK(child.hot_restart->ejections() == parent.hot_restart->ejections());
  parent.hot_restart.reset();
  REQUIRE(run_until(event_loop, [&] { return !child.hot_restart->policy().is_paired(); }));
  child.hot_restart.reset();
  RestartingProcess next(event_loop, directory.path);
  CHECK(next.hot_restart->ejections().ejected.count("b") == 1);
  CHECK(next.hot_restart->ejections().restored_at_ms.at("a") == 77);
  CHECK_FALSE(next.hot_restart->policy().is_paired());
}

TEST_CASE("an ejection that the other process doesn't apply in time fails and is rolled back") {
  EventLoop event_loop;
  EventLoop stalled_loop;
  TemporaryDirectory directory;
  RestartingProcess parent(stalled_loop, directory.path);
  RestartingProcess child(event_loop, directory.path);
  REQUIRE(child.hot_restart->policy().is_paired());
  std::optional<bool> result;
  child.hot_restart->change_ejections([](EjectionRecord& record) { record.ejected.insert("a"); },
                                      [&](bool is_in_force) { result = is_in_force; });
  REQUIRE(run_until(event_loop, [&] { return result.has_value(); }));
  CHECK_FALSE(*result);
  CHECK(child.hot_restart->ejections().ejected.empty());
  stalled_loop.run_once(30);
  CHECK(parent.hot_restart->ejections().ejected.empty());
}

TEST_CASE("a process without a shared directory or a free slot runs standalone and logs it") {
  EventLoop event_loop;
  TemporaryDirectory directory;
  RestartingProcess without_directory(event_loop, "");
  RestartingProcess in_missing_directory(event_loop, directory.path + "/not/there");
  RestartingProcess first(event_loop, directory.path);
  RestartingProcess second(event_loop, directory.path);
  RestartingProcess third(event_loop, directory.path);
  for (const RestartingProcess* process : {&without_directory, &in_missing_directory, &third}) {
    CHECK(process->log_text.str().find("running standalone") != std::string::npos);
    CHECK_FALSE(process->hot_restart->policy().is_paired());
    bool done = false;
    process->hot_restart->change_ejections([](EjectionRecord& record) { record.ejected.insert("a"); },
                                           [&](bool is_in_force) { done = is_in_force; });
    CHECK(done);
  }
  CHECK(second.hot_restart->policy().is_paired());
}

namespace {

/// A sidecar in a process of its own, with a listener that the test opened.
struct SidecarProcess {
  pid_t pid = -1;
  sockaddr_in admin_address = local_address(listen_on_loopback());

  SidecarProcess(const std::string& directory, const FileDescriptor& listener,
                 const sockaddr_in& agent_address, int max_descriptors) {
    const std::string config_path = directory + "/config-" + address_text(admin_address);
    std::ofstream(config_path)
        << R"({"name":"n","listen":")" << address_text(local_address(listener)) << R"(","discovery":")"
        << address_text(agent_address) << R"(","admin_addr":")" << address_text(admin_address)
        << R"(","seed":"1","limits":{"sockets":)" << max_descriptors
        << R"(},"settings":{"methods":[{"name":"read","effect":"retryable","deadline":500000}],)"
        << R"("bounds":{"maxPicks":3}}})";
    pid = ::fork();
    if (pid == 0) run(config_path, directory, std::to_string(listener.get()));
  }
  ~SidecarProcess() {
    if (pid <= 0) return;
    ::kill(pid, SIGKILL);
    ::waitpid(pid, nullptr, 0);
  }
  SidecarProcess(const SidecarProcess&) = delete;
  SidecarProcess& operator=(const SidecarProcess&) = delete;

  /// Sends the signal; true if the process then exits normally and without error. `step` runs the test's
  /// clients meanwhile, since requests in flight would not end otherwise.
  bool stop_with_signal(int signal, EventLoop& event_loop, const std::function<void()>& step) {
    ::kill(pid, signal);
    int status = -1;
    const bool has_ended = run_until(event_loop, [&] {
      step();
      return ::waitpid(pid, &status, WNOHANG) == pid;
    });
    if (has_ended) pid = -1;
    return has_ended && WIFEXITED(status) && WEXITSTATUS(status) == 0;
  }

  std::size_t open_descriptor_count() const {
    const std::string directory = "/proc/" + std::to_string(pid) + "/fd";
    std::error_code error;
    std::filesystem::directory_iterator entry(directory, error);
    std::size_t count = 0;
    while (!error && entry != std::filesystem::directory_iterator()) {
      ++count;
      entry.increment(error);
    }
    return count;
  }

 private:
  // The ends of connections that the test holds would count as the sidecar's, and would stay open here.
  static void close_inherited_descriptors(int listener_fd) {
    const auto first = static_cast<unsigned>(STDERR_FILENO + 1);
    const auto kept = static_cast<unsigned>(listener_fd);
    if (kept > first) ::close_range(first, kept - 1, 0);
    ::close_range(kept + 1, ~0U, 0);
  }

  [[noreturn]] static void run(const std::string& config_path, const std::string& directory,
                               const std::string& listener_fd) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    close_inherited_descriptors(std::stoi(listener_fd));
    const std::map<std::string, std::string> environment = {
        {"LB_CONFIG", config_path}, {"TMPDIR", directory}, {"LB_INHERITED_FD", listener_fd}};
    const auto variable = [&](const char* name) {
      const auto found = environment.find(name);
      return found == environment.end() ? nullptr : found->second.c_str();
    };
    try {
      std::ostringstream log_text;
      Logger logger(log_text, LogLevel::error);
      run_sidecar(
          load_sidecar_config(variable), [&] { return reload_sidecar_config(variable); }, logger);
    } catch (const std::exception&) {
      ::_exit(1);
    }
    ::_exit(0);
  }
};

/// A client that sends one request after another and counts the outcomes.
struct ClientApplication {
  EventLoop& event_loop;
  FileDescriptorBudget& budget;
  sockaddr_in sidecar_address;
  std::unique_ptr<TestConnection> connection = nullptr;
  bool is_waiting = false;
  int ok = 0;
  int unanswered = 0;
  int rejected = 0;
  double next_request_ms = 0;

  void step() {
    if (!connection || connection->is_ended)
      reconnect();
    else if (!is_waiting && event_loop.now() > next_request_ms)
      send_request();
  }

  void reconnect() {
    constexpr double pause_ms = 4;  // limits the requests, so that the fake servers' responses suffice
    unanswered += is_waiting ? 1 : 0;
    is_waiting = false;
    connection = std::make_unique<TestConnection>(event_loop, budget, start_connect(sidecar_address),
                                                  http::HttpParser::MessageKind::response);
    connection->on_message = [this](TestConnection& sender) {
      is_waiting = false;
      (sender.received.back().status == 200 ? ok : rejected) += 1;
      next_request_ms = event_loop.now() + pause_ms;
    };
  }

  void send_request() {
    static int last_id = 0;
    is_waiting = true;
    connection->send("GET /read HTTP/1.1\r\nX-Call-Id: two" + std::to_string(++last_id) +
                     "\r\nX-Budget: 500m\r\n\r\n");
  }
};

/// Clients, endpoints "a" and "b", a discovery agent, and a parent and a child process between them.
struct UpgradeScenario {
  static constexpr int max_descriptors = 160;

  EventLoop event_loop;
  TemporaryDirectory directory;
  FileDescriptorBudget budget{400};
  const std::vector<std::string> responses = std::vector<std::string>(20000, response_text(200, "served"));
  FakeServer endpoint_a{event_loop, responses};
  FakeServer endpoint_b{event_loop, responses};
  // Silent after its first response: the child process uses the endpoint list of its parent.
  FakeServer agent{event_loop, {response_text(200, endpoint_list())}};
  const FileDescriptor listener = listen_on_loopback();
  std::vector<std::unique_ptr<ClientApplication>> clients;
  std::size_t peak_descriptors = 0;
  SidecarProcess parent{directory.path, listener, agent.address, max_descriptors};
  std::unique_ptr<SidecarProcess> child;

  std::string endpoint_list() const {
    return R"({"generation":9,"reset":true,"instances":[{"instanceId":"a","hostPort":")" +
           address_text(endpoint_a.address) + R"(","lifecycle":"up"},{"instanceId":"b","hostPort":")" +
           address_text(endpoint_b.address) + R"(","lifecycle":"up"}]})";
  }

  void start_clients(int count) {
    for (int i = 0; i < count; ++i)
      clients.push_back(std::make_unique<ClientApplication>(
          ClientApplication{event_loop, budget, local_address(listener)}));
  }

  void start_child() {
    child = std::make_unique<SidecarProcess>(directory.path, listener, agent.address, max_descriptors);
  }

  void step() {
    for (const auto& client : clients) client->step();
    const std::size_t child_descriptors = child ? child->open_descriptor_count() : 0;
    peak_descriptors = std::max(peak_descriptors, parent.open_descriptor_count() + child_descriptors);
  }

  bool run_steps_until(const std::function<bool()>& condition) {
    return run_until(event_loop, [&] {
      step();
      return condition();
    });
  }

  /// Status of the admin server's response; repeats the request while there is no response or the status is
  /// 503.
  int admin_request(const SidecarProcess& process, const std::string& request_line) {
    int status = 0;
    run_until(event_loop, [&] {
      TestConnection connection(event_loop, budget, start_connect(process.admin_address),
                                http::HttpParser::MessageKind::response);
      connection.send(request_line + " HTTP/1.1\r\n\r\n");
      run_steps_until([&] { return connection.is_ended || !connection.received.empty(); });
      if (!connection.received.empty()) status = connection.received[0].status;
      return status != 0 && status != 503;
    });
    return status;
  }

  int served_count() const {
    int count = 0;
    for (const auto& client : clients) count += client->ok;
    return count;
  }
  int unanswered_count() const {
    int count = 0;
    for (const auto& client : clients) count += client->unanswered;
    return count;
  }
  bool serve_requests(int count) {
    const int target = served_count() + count;
    return run_steps_until([&] { return served_count() >= target; });
  }
};

}  // namespace

TEST_CASE(
    "an upgrade with two real processes keeps serving and keeps ejections when one is stopped or killed") {
  struct {
    const char* name;
    bool parent_ends;
    int signal;
  } table[] = {{"the parent is stopped", true, SIGTERM},
               {"the parent is killed", true, SIGKILL},
               {"the child is killed", false, SIGKILL}};
  for (const auto& row : table) {
    CAPTURE(std::string(row.name));
    UpgradeScenario scenario;
    const auto step = [&] { scenario.step(); };
    REQUIRE(scenario.admin_request(scenario.parent, "GET /status") == 200);
    scenario.start_clients(8);
    REQUIRE(scenario.serve_requests(100));
    CHECK(scenario.admin_request(scenario.parent, "PUT /maintenance/enter?host=unknown") == 404);
    scenario.start_child();
    REQUIRE(scenario.admin_request(*scenario.child, "GET /status") == 200);
    REQUIRE(scenario.serve_requests(100));
    SidecarProcess& ending = row.parent_ends ? scenario.parent : *scenario.child;
    SidecarProcess& remaining = row.parent_ends ? *scenario.child : scenario.parent;
    REQUIRE(scenario.admin_request(ending, "PUT /maintenance/enter?host=a") == 200);
    const auto& requests_to_a = scenario.endpoint_a.request_targets;
    const std::size_t requests_before_ejection = requests_to_a.size();
    REQUIRE(scenario.serve_requests(200));
    CHECK(scenario.unanswered_count() == 0);  // no process has been stopped or killed so far
    CHECK(ending.stop_with_signal(row.signal, scenario.event_loop, step) == (row.signal == SIGTERM));
    REQUIRE(scenario.serve_requests(200));
    // The ejection outlives the process that received the request.
    CHECK(requests_to_a.size() == requests_before_ejection);
    REQUIRE(scenario.admin_request(remaining, "PUT /maintenance/exit?host=a") == 200);
    REQUIRE(scenario.run_steps_until([&] { return requests_to_a.size() > requests_before_ejection; }));
    CHECK(scenario.peak_descriptors <= UpgradeScenario::max_descriptors);
    if (row.signal == SIGTERM) CHECK(scenario.unanswered_count() <= 2);
    CHECK(remaining.stop_with_signal(SIGTERM, scenario.event_loop, step));
  }
}

// Guards against an id that runs twice during an upgrade, once for each process.
TEST_CASE("a call id that is open in one of two real processes is refused by the other with 409") {
  constexpr double parent_stops_accepting_ms = 100;  // after the child serves
  for (const bool is_open_in_parent : {true, false}) {
    CAPTURE(is_open_in_parent);
    UpgradeScenario scenario;
    scenario.endpoint_a.response_delay_ms = scenario.endpoint_b.response_delay_ms = 200;
    const auto connect = [&] {
      auto connection = std::make_unique<TestConnection>(scenario.event_loop, scenario.budget,
                                                         start_connect(local_address(scenario.listener)),
                                                         http::HttpParser::MessageKind::response);
      connection->send("GET /-/ready HTTP/1.1\r\n\r\n");
      REQUIRE(run_until(scenario.event_loop, [&] { return !connection->received.empty(); }));
      connection->received.clear();
      return connection;
    };
    REQUIRE(scenario.admin_request(scenario.parent, "GET /status") == 200);
    const auto to_parent = connect();
    scenario.start_child();
    REQUIRE(scenario.admin_request(*scenario.child, "GET /status") == 200);
    run_for(scenario.event_loop, parent_stops_accepting_ms);
    const auto to_child = connect();
    TestConnection& usual = is_open_in_parent ? *to_parent : *to_child;
    TestConnection& other = is_open_in_parent ? *to_child : *to_parent;
    const std::string request_text =
        "POST /read HTTP/1.1\r\nX-Call-Id: once\r\nX-Budget: 500m\r\nContent-Length: 0\r\n\r\n";
    const auto requests_run = [&] {
      return scenario.endpoint_a.request_targets.size() + scenario.endpoint_b.request_targets.size();
    };
    usual.send(request_text);
    REQUIRE(run_until(scenario.event_loop, [&] { return requests_run() == 1; }));
    other.send(request_text);
    REQUIRE(run_until(scenario.event_loop, [&] { return !other.received.empty(); }));
    CHECK(other.received[0].status == 409);
    REQUIRE(run_until(scenario.event_loop, [&] { return !usual.received.empty(); }));
    CHECK(usual.received[0].status == 200);
    CHECK(requests_run() == 1);
  }
}
