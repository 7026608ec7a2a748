// An upgrade: two processes of one sidecar side by side. A bad client sends the id of another client's open
// request, which the older process has, to the newer one.
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <mutex>

#include "../rig-2/stand_ins.h"

namespace review {
namespace {

constexpr int deadline_ms = 1100;
constexpr double work_ms = 300;
constexpr int rounds = 5;

std::mutex runs_mutex;
std::map<std::string, int> runs;
int repeated_runs = 0;
int bad_clients_served = 0;
std::string folder;

/// Listens on a free port of 127.0.0.1; the descriptor is inherited by all processes of the sidecar.
int open_listener(int& port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof address;
  if (::bind(fd, reinterpret_cast<sockaddr*>(&address), size) < 0 || ::listen(fd, 1024) < 0 ||
      ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) < 0)
    std::_Exit(2);
  port = ntohs(address.sin_port);
  return fd;
}

/// One process of the sidecar, started with the command of the deploy file.
struct Process {
  pid_t pid = -1;
  int admin_port = 0;
};

Process start_process(int listener) {
  Process process;
  ::close(open_listener(process.admin_port));
  const pid_t parent = ::getpid();
  process.pid = ::fork();
  if (process.pid != 0) return process;
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (::getppid() != parent) std::_Exit(2);
  ::dup2(listener, 3);
  ::setenv("LB_INHERITED_FD", "3", 1);
  ::setenv("LB_CONFIG", (folder + "/config.json").c_str(), 1);
  ::setenv("TMPDIR", folder.c_str(), 1);
  ::setenv("LB_ADMIN_ADDR", ("127.0.0.1:" + std::to_string(process.admin_port)).c_str(), 1);
  const int log = ::open((folder + "/log.txt").c_str(), O_CREAT | O_WRONLY | O_APPEND, 0600);
  ::dup2(log, 1);
  ::dup2(log, 2);
  ::execl("/bin/sh", "sh", "-c", "exec build/indigorill", nullptr);
  std::_Exit(2);
}

bool says_yes(const Process& process) {
  for (const double until_ms = now_ms() + 6000; now_ms() < until_ms; sleep_ms(10)) {
    const std::unique_ptr<Connection> connection = connect_to(process.admin_port);
    if (!connection || !connection->send("GET /status HTTP/1.1\r\nHost: admin\r\n\r\n")) continue;
    if (read_answer(*connection, now_ms() + 1000).status == 200) return true;
  }
  return false;
}

/// Waits for the end of a process that got SIGTERM; SIGKILL after the longest deadline and 0.7 s.
void await_end(const Process& process, double terminated_at_ms) {
  const double kill_at_ms = terminated_at_ms + deadline_ms + 700;
  while (::waitpid(process.pid, nullptr, WNOHANG) != process.pid) {
    if (now_ms() > kill_at_ms) ::kill(process.pid, SIGKILL);
    sleep_ms(5);
  }
}

void answer(const std::string& endpoint_id, Connection& connection, const Request& request) {
  const std::string id = request.header("x-call-id");
  {
    const std::lock_guard lock(runs_mutex);
    const bool is_repeated = ++runs[id] > 1;
    repeated_runs += is_repeated ? 1 : 0;
    Record::line((is_repeated ? "RUNS AGAIN: " : "") + endpoint_id + " runs " + id);
  }
  sleep_ms(work_ms);
  connection.send(whole_answer(200, "printed " + id));
}

std::string order(const std::string& id) {
  return request_head("POST", "/print-order", id, deadline_ms, "Content-Length: 0\r\n");
}

/// The usual client's request is open while the bad client sends its id on a connection of its own. `older`:
/// the process that has the usual client's connection, if a newer one serves beside it.
void run_round(Connection& usual, int port, const std::string& id, const Process* older) {
  usual.send(order(id));
  Record::line("usual client sends " + id);
  sleep_ms(20);
  const double terminated_at_ms = now_ms();
  if (older) {
    Record::line("SIGTERM to the older process");
    ::kill(older->pid, SIGTERM);
  }
  sleep_ms(80);
  const std::unique_ptr<Connection> bad = connect_to(port);
  if (!bad) return;
  bad->send(order(id));
  Record::line("bad client sends the same id, " + id);
  const Answer bad_answer = read_answer(*bad, now_ms() + 3000);
  Record::line("bad client gets " + std::to_string(bad_answer.status) + " " + bad_answer.ending);
  if (bad_answer.status == 200) ++bad_clients_served;
  const Answer got = read_answer(usual, now_ms() + 3000);
  Record::line("usual client " + id + ": " + std::to_string(got.status) + " " + got.body);
  if (older) await_end(*older, terminated_at_ms);
}

int run_case(const std::string& case_folder) {
  Record::open(case_folder + "/record.txt");
  char name[] = "/tmp/review-2-XXXXXX";
  if (!::mkdtemp(name)) return 2;
  folder = name;
  Agent agent;
  std::vector<std::unique_ptr<Endpoint>> endpoints;
  for (int i = 0; i < 6; ++i) {
    const std::string id = "s-" + std::to_string(i);
    endpoints.push_back(std::make_unique<Endpoint>(
        id, [id](Connection& connection, const Request& request) { answer(id, connection, request); }));
    agent.add(id, endpoints.back()->address(), "hall-a");
  }
  int port = 0;
  const int listener = open_listener(port);
  std::ofstream(folder + "/config.json")
      << R"({"name":"n0","listen":"127.0.0.1:)" << port << R"(","discovery":")" << agent.address()
      << R"(","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":)"
      << agent.list(true, 0) << R"(,"settings":)"
      << settings({{"print-order", "fragile", 430, deadline_ms, 9}}, "hall-a", 500) << "}";
  Process current = start_process(listener);
  bool is_sound = says_yes(current);
  for (int round = 0; round < rounds && is_sound; ++round) {
    const std::unique_ptr<Connection> usual = connect_to(port);
    if (!usual || !usual->send("GET /-/ready HTTP/1.1\r\nHost: app.svc\r\n\r\n")) break;
    is_sound = read_answer(*usual, now_ms() + 1000).status == 200;  // the older process has this connection
    const Process older = current;
    if (has_trouble()) {
      current = start_process(listener);
      is_sound = says_yes(current);
      Record::line("the newer process says yes");
    }
    run_round(*usual, port, "order-" + std::to_string(round), has_trouble() ? &older : nullptr);
  }
  ::kill(current.pid, SIGKILL);
  ::waitpid(current.pid, nullptr, 0);
  std::error_code ignored;
  std::filesystem::remove_all(folder, ignored);
  Record::line("requests that ran again " + std::to_string(repeated_runs) + ", bad clients served " +
               std::to_string(bad_clients_served) + ", of " + std::to_string(rounds));
  if (!is_sound || runs.size() < rounds) finish(2);
  finish(repeated_runs + bad_clients_served > 0 ? 1 : 0);
}

}  // namespace
}  // namespace review

int main(int, char** argv) { return review::run_case(argv[1]); }
