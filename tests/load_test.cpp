// Tests of the load generator and its fakes, with the real sidecar and with sidecars that violate the rules.
#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

#include "config/sidecar_config.h"
#include "emulator/scenario_table.h"
#include "load/command_line.h"
#include "load/load_test_bed.h"
#include "load/scenario_runner.h"

using namespace indigorill;
using namespace indigorill::load_generator;

namespace {

const char* scenario_toml = R"(seconds = 2
sidecars = 3
[[server]]
count = 8
cores = 2
queue = 6
zones = 2
cold_from = 0.2
cold_ms = 2000
[load]
rate = 200
[net]
handshake_work_ms = 0.5
[clients]
retries = 1
wait_ms = 30
[list]
mode = "asked"
delay_ms = 20
spread_ms = 30
notice_ms = 100
changes_ms = 1
whole_ms = 2
[rules]
advice_ms = 200
probes = true
reports = true
probe_price = 0.002
handshake_price = 0.01
[[method]]
name = "read"
share = 0.6
work_ms = 8
latency_target_ms = 150
deadline_ms = 600
[[method]]
name = "order"
share = 0.4
work_ms = 10
latency_target_ms = 200
deadline_ms = 600
repeats = "non-idempotent"
)";
const char* faults_toml = R"(
[[trouble]]
what = "kill_servers"
at_s = 0.3
for_s = 0.4
share = 0.25
[[trouble]]
what = "errors"
at_s = 0.4
for_s = 0.5
share = 0.25
rate = 0.5
[[trouble]]
what = "replace"
at_s = 0.6
for_s = 0.3
over_s = 0.2
share = 0.25
[[trouble]]
what = "stall"
at_s = 0.9
for_s = 0.2
share = 0.25
[[trouble]]
what = "lose_zone"
at_s = 1.2
for_s = 0.3
zone = 1
[[trouble]]
what = "list_silent"
at_s = 0.5
for_s = 0.3
[[trouble]]
what = "restart_sidecars"
at_s = 0.8
for_s = 0.1
share = 0.34
)";

emulator::Scenario make_scenario(const std::string& more = "") {
  return emulator::decode_scenario(toml::parse(scenario_toml + more));
}

// Returns a new port at each call, below those that the kernel chooses. The process id keeps the ports apart
// from those of another run of these tests.
std::uint16_t base_port() {
  static int turn = 0;
  return static_cast<std::uint16_t>(12000 + (::getpid() % 64) * 150 + 10 * turn++);
}

// A faulty sidecar that runs on its own thread with blocking sockets.
class BadSidecar {
 public:
  enum class Fault { none, silent, executes_twice, rejects_executed };

  BadSidecar(std::uint16_t port, std::uint16_t server, Fault f) : server_port_(server), fault_(f) {
    sockaddr_in a = loopback(port);
    listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    REQUIRE(::bind(listener_, reinterpret_cast<sockaddr*>(&a), sizeof a) == 0);
    REQUIRE(::listen(listener_, 100) == 0);
    thread_ = std::thread([this] { serve(); });
  }
  ~BadSidecar() {
    is_stopping_ = true;
    thread_.join();
    for (const pollfd& p : poll_fds_) ::close(p.fd);
    ::close(listener_);
  }

 private:
  static sockaddr_in loopback(std::uint16_t port) {
    sockaddr_in a{};
    a.sin_family = AF_INET;
    a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    a.sin_port = htons(port);
    return a;
  }
  void serve() {
    std::vector<std::string> heads;
    poll_fds_.push_back({listener_, POLLIN, 0});
    heads.emplace_back();
    while (!is_stopping_) {
      constexpr int turn = 5;
      ::poll(poll_fds_.data(), poll_fds_.size(), turn);
      for (std::size_t i = poll_fds_.size(); i-- > 1;) {
        if (!poll_fds_[i].revents) continue;
        char bytes[4096];
        const ssize_t n = ::recv(poll_fds_[i].fd, bytes, sizeof bytes, 0);
        if (n <= 0) {
          ::close(poll_fds_[i].fd);
          poll_fds_.erase(poll_fds_.begin() + static_cast<std::ptrdiff_t>(i));
          heads.erase(heads.begin() + static_cast<std::ptrdiff_t>(i));
          continue;
        }
        heads[i].append(bytes, static_cast<std::size_t>(n));
        if (heads[i].find("\r\n\r\n") == std::string::npos) continue;
        answer(poll_fds_[i].fd, heads[i]);
        heads[i].clear();
      }
      if (poll_fds_[0].revents) {
        poll_fds_.push_back({::accept(listener_, nullptr, nullptr), POLLIN, 0});
        heads.emplace_back();
      }
    }
  }
  void answer(int to, const std::string& request) {
    const std::string ok = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    const std::string later = "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n";
    if (request.find("GET /-/ready") == 0) return send_text(to, ok);
    if (fault_ == Fault::silent) return;
    forward(request);
    if (fault_ == Fault::executes_twice) forward(request);
    send_text(to, fault_ == Fault::rejects_executed ? later : ok);
  }
  void forward(const std::string& request) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in a = loopback(server_port_);
    char bytes[4096];
    if (::connect(fd, reinterpret_cast<sockaddr*>(&a), sizeof a) == 0) {
      send_text(fd, request);
      ::recv(fd, bytes, sizeof bytes, 0);
    }
    ::close(fd);
  }
  static void send_text(int to, const std::string& bytes) {
    ::send(to, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  }

  std::uint16_t server_port_;
  Fault fault_;
  int listener_ = -1;
  std::atomic<bool> is_stopping_{false};
  std::vector<pollfd> poll_fds_;
  std::thread thread_;
};

std::uint64_t count_concluded(const ClientMetrics& t) {
  return t.ok + t.late + t.rejected + t.failed + t.unanswered + t.lost;
}

int run_load(std::vector<const char*> arguments, std::string& err) {
  arguments.insert(arguments.begin(), "indigorill-load");
  std::ostringstream o;
  std::ostringstream e;
  const int status = run_command(static_cast<int>(arguments.size()), arguments.data(), o, e);
  err = e.str();
  return status;
}

}  // namespace

TEST_CASE("load: a sidecar's config has the values of the scenario") {
  const emulator::Scenario s = make_scenario(R"(
[[method]]
name = "put"
work_ms = 3
latency_target_ms = 70
deadline_ms = 80
late_utility = 0.25
utility = 3
repeats = "deduplicated"
group = "cell"
remembers_ms = 900
)");
  const std::string known = R"({"generation":4,"reset":true,"instances":[]})";
  // The config is decoded from JSON text, as the sidecar reads it from its file.
  const SidecarConfig c = decode_sidecar_config(
      nlohmann::json::parse(make_sidecar_config(s, 1, "127.0.0.1:1000", "127.0.0.1:1001", known, 5).dump()));
  const LoadBalancerConfig decoded = c.load_balancer;
  const LoadBalancerConfig expected = s.load_balancer_config(1);
  CHECK(c.name == "n1");
  CHECK(c.initial_endpoints.version == 4);
  CHECK(c.upstream.idle_timeout_ms == s.network.idle_timeout_ms);
  CHECK(c.upstream.connect_timeout_ms == s.network.connect_timeout_ms);
  REQUIRE(decoded.methods.size() == expected.methods.size());
  for (std::size_t i = 0; i < decoded.methods.size(); ++i) {
    const MethodConfig& a = decoded.methods[i];
    const MethodConfig& b = expected.methods[i];
    CHECK(a.name == b.name);
    CHECK(a.latency_objective_ms == b.latency_objective_ms);
    CHECK(a.deadline_ms == b.deadline_ms);
    CHECK(a.priority_weight == b.priority_weight);
    CHECK(a.late_weight == b.late_weight);
    CHECK(a.retry_safety == b.retry_safety);
    CHECK(a.deduplication_scope == b.deduplication_scope);
    CHECK(a.deduplication_window_ms == b.deduplication_window_ms);
  }
  CHECK(decoded.zone == expected.zone);
  const auto figures = [](const LoadBalancerConfig& t) {
    return std::vector<double>{t.tick_ms,
                               static_cast<double>(t.max_attempts),
                               t.max_retry_after_ms,
                               t.cross_zone_cost,
                               t.probe_cost,
                               t.handshake_cost,
                               t.max_poll_silence_ms,
                               t.sidecar_count,
                               t.slow_start_initial_weight,
                               t.slow_start_duration_ms,
                               t.slow_start_overload_factor,
                               t.slow_start_burst_ms};
  };
  CHECK(figures(decoded) == figures(expected));
  const auto flags = [](const LoadBalancerConfig& t) {
    return std::vector<bool>{t.cancellation_enabled, t.probing_enabled, t.probes_report_load,
                             t.must_poll_endpoints, t.key_affinity};
  };
  CHECK(flags(decoded) == flags(expected));
}

TEST_CASE("load: real sidecars keep the rules under faults and all counters add up") {
  LoadRunConfig config;
  config.scenario = make_scenario(faults_toml);
  config.sidecar_command = INDIGORILL_SIDECAR;
  const LoadRunResult o = run_scenario(config);
  for (const std::string& b : o.violations) MESSAGE(b);
  CHECK(o.violations.empty());
  CHECK(o.client_metrics.requests > 200);
  CHECK(count_concluded(o.client_metrics) == o.client_metrics.requests);
  CHECK(o.client_metrics.open() == 0);
  CHECK(o.client_metrics.ok > o.client_metrics.requests / 2);
  CHECK(o.attempts_received >= o.attempts_executed);
  CHECK(o.attempts_executed >= o.client_metrics.ok);
  CHECK(o.connections > 0);
  CHECK(o.discovery_polls > 3);
}

TEST_CASE("load: each violation of the rules by a faulty sidecar is reported") {
  using Fault = BadSidecar::Fault;
  struct {
    Fault fault;
    const char* expected_violation;  // null: no violation
  } table[] = {{Fault::none, nullptr},
               {Fault::silent, "got no answer before their deadline"},
               {Fault::executes_twice, "non-idempotent RPCs ran twice"},
               {Fault::rejects_executed, "were pushed back though they ran"}};
  for (const auto& row : table) {
    CAPTURE(row.expected_violation);
    LoadRunConfig config;
    toml::table t = toml::parse(scenario_toml);
    emulator::set_value(t, "sidecars", 1);
    emulator::set_value(t, "server[0].count", 1);
    emulator::set_value(t, "server[0].cores", 64);
    emulator::set_value(t, "seconds", 0.4);
    emulator::set_value(t, "load.rate", 40);
    config.scenario = emulator::decode_scenario(t);
    config.base_port = base_port();
    BadSidecar s(port_of(config.base_port, sidecar_port_offset),
                 port_of(config.base_port, server_port_offset), row.fault);
    const LoadRunResult o = run_scenario(config);
    CHECK(o.client_metrics.requests > 3);
    CHECK(count_concluded(o.client_metrics) == o.client_metrics.requests);
    CHECK(o.violations.size() == (row.expected_violation ? 1 : 0));
    if (row.expected_violation && !o.violations.empty())
      CHECK(o.violations[0].find(row.expected_violation) != std::string::npos);
  }
}

TEST_CASE("load: latency counts from the intended send time and a late start shows as send delay") {
  LoadRunConfig config;
  toml::table t = toml::parse(scenario_toml);
  emulator::set_value(t, "sidecars", 1);
  const emulator::Scenario scenario = emulator::decode_scenario(t);
  EventLoop loop;
  FileDescriptorBudget descriptors{200};
  WallClockScheduler clock(loop);
  FakeFleet fleet(loop, descriptors, clock, scenario, 1, 0);
  // Stands in for a sidecar and answers each request at once.
  std::unique_ptr<HttpListener> listener;
  listener = std::make_unique<HttpListener>(
      loop, descriptors,
      [&](std::uint64_t c, const http::Message&) {
        listener->send_answer(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
      },
      [](std::uint64_t) {}, 0);
  listener->open();
  constexpr std::uint64_t max_requests = 50;
  LoadClients clients(loop, descriptors, clock, scenario, 1, max_requests, {listener->address()});
  clients.start();
  // The clock starts as if the process had been held up for 500 ms, in which about 100 RPCs were to be sent.
  constexpr double held_up_ms = 500;
  clock.start(held_up_ms);
  for (const double end = loop.now() + 5000;
       clients.metrics().ok + clients.metrics().late < max_requests && loop.now() < end;)
    loop.run_once(5);
  const ClientMetrics& metrics = clients.metrics();
  CHECK(metrics.requests == max_requests);
  CHECK(metrics.skipped > 0);
  CHECK(metrics.latency.quantile(0.99) > held_up_ms / 2);
  CHECK(metrics.send_delay.quantile(0.99) > held_up_ms / 2);
  CHECK(metrics.late > 0);
}

TEST_CASE("load: invalid arguments and invalid scenarios are rejected with an exit status and an error") {
  const std::string path = (std::filesystem::temp_directory_path() / "indigorill-load-test.toml").string();
  const auto write = [&](const std::string& more) { std::ofstream(path) << scenario_toml << more; };
  std::string err;
  write("");
  CHECK(run_load({path.c_str()}, err) == 2);
  CHECK(err.find("either --start (starts sidecars) or --base-port") == 0);
  CHECK(run_load({}, err) == 2);
  CHECK(run_load({path.c_str(), "--most", "0"}, err) == 2);
  CHECK(run_load({"/nowhere.toml", "--base-port", "20000"}, err) == 2);
  CHECK(run_load({path.c_str(), "--base-port", "20000", "--set", "net.loss=0.1"}, err) == 2);
  CHECK(err.find("net.loss is not supported on loopback") == 0);
  CHECK(run_load({path.c_str(), "--base-port", "64000"}, err) == 1);
  write(faults_toml);
  CHECK(run_load({path.c_str(), "--base-port", "20000"}, err) == 2);
  CHECK(err.find("restart_sidecars and all other troubles of sidecars require --start") != std::string::npos);
  write("[[trouble]]\nwhat = \"loss\"\nat_s = 1\nfor_s = 1\nrate = 0.1\n");
  CHECK(run_load({path.c_str(), "--start", INDIGORILL_SIDECAR}, err) == 2);
  write("");
  CHECK(run_load({path.c_str(), "--start", "/bin/false"}, err) == 1);
  CHECK(err.find("is not ready") != std::string::npos);
  const std::string to = path + ".configs";
  CHECK(run_load(
            {path.c_str(), "--base-port", std::to_string(base_port()).c_str(), "--write-configs", to.c_str()},
            err) == 0);
  CHECK(std::filesystem::exists(to + "/n2.json"));
  std::filesystem::remove_all(to);
  std::remove(path.c_str());
}
