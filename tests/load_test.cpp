// Open-loop load and its stand-ins: with the real sidecar, and with sidecars that break the rules.
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

const char* small = R"(seconds = 2
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
const char* troubles = R"(
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

emulator::Scenario scene(const std::string& more = "") {
  return emulator::decode_scenario(toml::parse(small + more));
}

// Ports below those that the kernel gives out, apart from those of another run of these tests.
std::uint16_t base_port() {
  static int turn = 0;
  return static_cast<std::uint16_t>(12000 + (::getpid() % 64) * 150 + 10 * turn++);
}

// A sidecar as it must not be, on a thread of its own with blocking sockets.
class BadSidecar {
 public:
  enum class Fault { none, silent, twice, pushes_back_what_ran };

  BadSidecar(std::uint16_t port, std::uint16_t server, Fault f) : server_port_(server), wrong_(f) {
    sockaddr_in a = loopback(port);
    door_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(door_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    REQUIRE(::bind(door_, reinterpret_cast<sockaddr*>(&a), sizeof a) == 0);
    REQUIRE(::listen(door_, 100) == 0);
    hands_ = std::thread([this] { serve(); });
  }
  ~BadSidecar() {
    over_ = true;
    hands_.join();
    for (const pollfd& p : those_) ::close(p.fd);
    ::close(door_);
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
    those_.push_back({door_, POLLIN, 0});
    heads.emplace_back();
    while (!over_) {
      constexpr int turn = 5;
      ::poll(those_.data(), those_.size(), turn);
      for (std::size_t i = those_.size(); i-- > 1;) {
        if (!those_[i].revents) continue;
        char bytes[4096];
        const ssize_t n = ::recv(those_[i].fd, bytes, sizeof bytes, 0);
        if (n <= 0) {
          ::close(those_[i].fd);
          those_.erase(those_.begin() + static_cast<std::ptrdiff_t>(i));
          heads.erase(heads.begin() + static_cast<std::ptrdiff_t>(i));
          continue;
        }
        heads[i].append(bytes, static_cast<std::size_t>(n));
        if (heads[i].find("\r\n\r\n") == std::string::npos) continue;
        answer(those_[i].fd, heads[i]);
        heads[i].clear();
      }
      if (those_[0].revents) {
        those_.push_back({::accept(door_, nullptr, nullptr), POLLIN, 0});
        heads.emplace_back();
      }
    }
  }
  void answer(int to, const std::string& request) {
    const std::string ok = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    const std::string later = "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n";
    if (request.find("GET /-/ready") == 0) return say(to, ok);
    if (wrong_ == Fault::silent) return;
    pass_on(request);
    if (wrong_ == Fault::twice) pass_on(request);
    say(to, wrong_ == Fault::pushes_back_what_ran ? later : ok);
  }
  void pass_on(const std::string& request) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in a = loopback(server_port_);
    char bytes[4096];
    if (::connect(fd, reinterpret_cast<sockaddr*>(&a), sizeof a) == 0) {
      say(fd, request);
      ::recv(fd, bytes, sizeof bytes, 0);
    }
    ::close(fd);
  }
  static void say(int to, const std::string& bytes) { ::send(to, bytes.data(), bytes.size(), MSG_NOSIGNAL); }

  std::uint16_t server_port_;
  Fault wrong_;
  int door_ = -1;
  std::atomic<bool> over_{false};
  std::vector<pollfd> those_;
  std::thread hands_;
};

std::uint64_t concluded(const ClientMetrics& t) {
  return t.ok + t.late + t.rejected + t.failed + t.unanswered + t.lost;
}

int call(std::vector<const char*> words, std::string& err) {
  words.insert(words.begin(), "indigorill-load");
  std::ostringstream o;
  std::ostringstream e;
  const int status = run_command(static_cast<int>(words.size()), words.data(), o, e);
  err = e.str();
  return status;
}

}  // namespace

TEST_CASE("load: a sidecar's config says what the scenario says") {
  const emulator::Scenario s = scene(R"(
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
  // The config is serialized and parsed again, as when a sidecar reads it from a file.
  const SidecarConfig c = decode_sidecar_config(
      nlohmann::json::parse(make_sidecar_config(s, 1, "127.0.0.1:1000", "127.0.0.1:1001", known, 5).dump()));
  const LoadBalancerConfig is = c.load_balancer;
  const LoadBalancerConfig should = s.load_balancer_config(1);
  CHECK(c.name == "n1");
  CHECK(c.initial_endpoints.version == 4);
  CHECK(c.upstream.idle_timeout_ms == s.network.idle_timeout_ms);
  CHECK(c.upstream.connect_timeout_ms == s.network.connect_timeout_ms);
  REQUIRE(is.methods.size() == should.methods.size());
  for (std::size_t i = 0; i < is.methods.size(); ++i) {
    const MethodConfig& a = is.methods[i];
    const MethodConfig& b = should.methods[i];
    CHECK(a.name == b.name);
    CHECK(a.latency_objective_ms == b.latency_objective_ms);
    CHECK(a.deadline_ms == b.deadline_ms);
    CHECK(a.priority_weight == b.priority_weight);
    CHECK(a.late_weight == b.late_weight);
    CHECK(a.retry_safety == b.retry_safety);
    CHECK(a.deduplication_scope == b.deduplication_scope);
    CHECK(a.deduplication_window_ms == b.deduplication_window_ms);
  }
  CHECK(is.zone == should.zone);
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
  CHECK(figures(is) == figures(should));
  const auto marks = [](const LoadBalancerConfig& t) {
    return std::vector<bool>{t.cancellation_enabled, t.probing_enabled, t.probes_report_load,
                             t.must_poll_endpoints, t.key_affinity};
  };
  CHECK(marks(is) == marks(should));
}

TEST_CASE("load: real sidecars keep the rules on a rough day, and all figures add up") {
  LoadRunConfig with;
  with.scenario = scene(troubles);
  with.sidecar_command = INDIGORILL_SIDECAR;
  const LoadRunResult o = run_scenario(with);
  for (const std::string& b : o.violations) MESSAGE(b);
  CHECK(o.violations.empty());
  CHECK(o.client_metrics.requests > 200);
  CHECK(concluded(o.client_metrics) == o.client_metrics.requests);
  CHECK(o.client_metrics.open() == 0);
  CHECK(o.client_metrics.ok > o.client_metrics.requests / 2);
  CHECK(o.attempts_received >= o.attempts_executed);
  CHECK(o.attempts_executed >= o.client_metrics.ok);
  CHECK(o.connections > 0);
  CHECK(o.discovery_polls > 3);
}

TEST_CASE("load: the verdict sees what a bad sidecar does") {
  using Fault = BadSidecar::Fault;
  struct {
    Fault does;
    const char* broken;  // none: sound
  } table[] = {{Fault::none, nullptr},
               {Fault::silent, "got no answer before their deadline"},
               {Fault::twice, "non-idempotent RPCs ran twice"},
               {Fault::pushes_back_what_ran, "were pushed back though they ran"}};
  for (const auto& row : table) {
    CAPTURE(row.broken);
    LoadRunConfig with;
    toml::table t = toml::parse(small);
    emulator::set_value(t, "sidecars", 1);
    emulator::set_value(t, "server[0].count", 1);
    emulator::set_value(t, "server[0].cores", 64);
    emulator::set_value(t, "seconds", 0.4);
    emulator::set_value(t, "load.rate", 40);
    with.scenario = emulator::decode_scenario(t);
    with.base_port = base_port();
    BadSidecar s(port_of(with.base_port, sidecar_port_offset), port_of(with.base_port, server_port_offset),
                 row.does);
    const LoadRunResult o = run_scenario(with);
    CHECK(o.client_metrics.requests > 3);
    CHECK(concluded(o.client_metrics) == o.client_metrics.requests);
    CHECK(o.violations.size() == (row.broken ? 1 : 0));
    if (row.broken && !o.violations.empty()) CHECK(o.violations[0].find(row.broken) != std::string::npos);
  }
}

TEST_CASE("load: time counts from when an RPC was meant to be sent, and a late sender says so") {
  LoadRunConfig with;
  toml::table t = toml::parse(small);
  emulator::set_value(t, "sidecars", 1);
  const emulator::Scenario plays = emulator::decode_scenario(t);
  EventLoop runs;
  FileDescriptorBudget room{200};
  WallClockScheduler clock(runs);
  FakeFleet stand_ins(runs, room, clock, plays, 1, 0);
  // In place of a sidecar, one that answers at once.
  std::unique_ptr<HttpListener> at_once;
  at_once = std::make_unique<HttpListener>(
      runs, room,
      [&](std::uint64_t c, const http::Message&) {
        at_once->send_answer(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
      },
      [](std::uint64_t) {}, 0);
  at_once->open();
  constexpr std::uint64_t most = 50;
  LoadClients apps(runs, room, clock, plays, 1, most, {at_once->address()});
  apps.start();
  // The process was held up for 500 ms: some hundred RPCs were meant to be sent by now.
  constexpr double held_up = 500;
  clock.start(held_up);
  for (const double end = runs.now() + 5000;
       apps.metrics().ok + apps.metrics().late < most && runs.now() < end;)
    runs.run_once(5);
  const ClientMetrics& heard = apps.metrics();
  CHECK(heard.requests == most);
  CHECK(heard.skipped > 0);
  CHECK(heard.latency.quantile(0.99) > held_up / 2);
  CHECK(heard.send_delay.quantile(0.99) > held_up / 2);
  CHECK(heard.late > 0);
}

TEST_CASE("load: words and scenarios at fault are refused before anything starts") {
  const std::string path = (std::filesystem::temp_directory_path() / "indigorill-load-test.toml").string();
  const auto write = [&](const std::string& more) { std::ofstream(path) << small << more; };
  std::string err;
  write("");
  CHECK(call({path.c_str()}, err) == 2);
  CHECK(err.find("neither --start nor --base-port") == 0);
  CHECK(call({}, err) == 2);
  CHECK(call({path.c_str(), "--most", "0"}, err) == 2);
  CHECK(call({"/nowhere.toml", "--base-port", "20000"}, err) == 2);
  CHECK(call({path.c_str(), "--base-port", "20000", "--set", "net.loss=0.1"}, err) == 2);
  CHECK(err.find("net.loss can't be played on loopback") == 0);
  CHECK(call({path.c_str(), "--base-port", "64000"}, err) == 1);
  write(troubles);
  CHECK(call({path.c_str(), "--base-port", "20000"}, err) == 2);
  CHECK(err.find("restart_sidecars wants --start") != std::string::npos);
  write("[[trouble]]\nwhat = \"loss\"\nat_s = 1\nfor_s = 1\nrate = 0.1\n");
  CHECK(call({path.c_str(), "--start", INDIGORILL_SIDECAR}, err) == 2);
  write("");
  CHECK(call({path.c_str(), "--start", "/bin/false"}, err) == 1);
  CHECK(err.find("is not ready") != std::string::npos);
  const std::string to = path + ".configs";
  CHECK(
      call({path.c_str(), "--base-port", std::to_string(base_port()).c_str(), "--write-configs", to.c_str()},
           err) == 0);
  CHECK(std::filesystem::exists(to + "/n2.json"));
  std::filesystem::remove_all(to);
  std::remove(path.c_str());
}
