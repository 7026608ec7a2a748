/// @file
/// Stand-ins for the cases of the second review: clients, endpoints and the discovery agent, over plain
/// blocking sockets on loopback, and the process of the sidecar. They depend on the C++ library alone.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>  // NOLINT(modernize-deprecated-headers): kill()
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/types.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

/// Exit statuses of a case.
constexpr int rule_held = 0;
constexpr int rule_broken = 1;
constexpr int could_not_run = 2;

inline double now_ms() {
  return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

inline void sleep_ms(double ms) {
  if (ms > 0) std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}

[[noreturn]] inline void give_up(const std::string& why) {
  std::cerr << "the case could not run: " << why << std::endl;
  std::_Exit(could_not_run);
}

/// What was sent, answered and run, one line each, with the time since the start in ms.
class Record {
 public:
  explicit Record(const std::string& path) : out_(path), started_at_ms_(now_ms()) {}
  void add(const std::string& line) {
    const std::lock_guard<std::mutex> lock(mutex_);
    char time[32];
    std::snprintf(time, sizeof time, "%10.1f  ", now_ms() - started_at_ms_);
    out_ << time << line << std::endl;
  }

 private:
  std::mutex mutex_;
  std::ofstream out_;
  double started_at_ms_;
};

// Sockets.

inline sockaddr_in loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  return address;
}

inline int port_of(int fd) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

inline int bind_socket(int type, int port) {
  const int fd = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
  const int enabled = 1;
  if (type == SOCK_STREAM) ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
  const sockaddr_in address = loopback(port);
  if (fd < 0 || ::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) < 0)
    give_up("no socket could be bound");
  return fd;
}

/// A listening socket on a free port, or on the given one.
inline int open_listener(int port = 0, int backlog = 512) {
  const int fd = bind_socket(SOCK_STREAM, port);
  if (::listen(fd, backlog) < 0) give_up("no socket could listen");
  return fd;
}

/// A port that is free now.
inline int free_port(int type = SOCK_STREAM) {
  const int fd = bind_socket(type, 0);
  const int port = port_of(fd);
  ::close(fd);
  return port;
}

inline std::string address_of(int port) { return "127.0.0.1:" + std::to_string(port); }

inline void set_no_delay(int fd) {
  const int enabled = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
}

/// A connected socket, or -1.
inline int connect_to(int port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = loopback(port);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) < 0) {
    ::close(fd);
    return -1;
  }
  set_no_delay(fd);
  return fd;
}

inline bool send_all(int fd, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) return false;
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

/// Closes with a reset.
inline void reset_connection(int fd) {
  const linger at_once{.l_onoff = 1, .l_linger = 0};
  ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
  ::close(fd);
}

// HTTP messages, as far as the stand-ins need them.

struct Message {
  std::string start_line;
  std::map<std::string, std::string> headers;  // names in lower case
  std::string body;

  std::string header(const std::string& name) const {
    const auto found = headers.find(name);
    return found == headers.end() ? "" : found->second;
  }
  /// Of a request.
  std::string target() const {
    const std::size_t begin = start_line.find(' ') + 1;
    return start_line.substr(begin, start_line.find(' ', begin) - begin);
  }
  /// Of a response; 0 if it has none.
  int status() const { return start_line.size() < 12 ? 0 : std::atoi(start_line.substr(9, 3).c_str()); }
  /// X-Budget of a request, in ms.
  double budget_ms() const {
    const std::string budget = header("x-budget");
    if (budget.empty()) return 0;
    return std::atof(budget.c_str()) / (budget.back() == 'u' ? 1000 : 1);
  }
};

enum class ReadResult { message, closed, reset, timed_out };

/// Reads messages with a length, one after the other, from one socket.
class MessageReader {
 public:
  explicit MessageReader(int fd) : fd_(fd) {}

  ReadResult read(Message& message, double until_ms) {
    for (;;) {
      if (take(message)) return ReadResult::message;
      pollfd request{.fd = fd_, .events = POLLIN, .revents = 0};
      const double wait_ms = until_ms - now_ms();
      if (wait_ms <= 0 || ::poll(&request, 1, static_cast<int>(wait_ms) + 1) <= 0)
        return ReadResult::timed_out;
      char bytes[16384];
      const ssize_t count = ::recv(fd_, bytes, sizeof bytes, 0);
      if (count == 0) return ReadResult::closed;
      if (count < 0) return ReadResult::reset;
      buffer_.append(bytes, static_cast<std::size_t>(count));
    }
  }
  std::size_t buffered_bytes() const { return buffer_.size(); }

 private:
  bool take(Message& message) {
    const std::size_t head_end = buffer_.find("\r\n\r\n");
    if (head_end == std::string::npos) return false;
    Message parsed;
    std::istringstream head(buffer_.substr(0, head_end));
    std::getline(head, parsed.start_line);
    if (!parsed.start_line.empty() && parsed.start_line.back() == '\r') parsed.start_line.pop_back();
    for (std::string line; std::getline(head, line);) {
      if (!line.empty() && line.back() == '\r') line.pop_back();
      const std::size_t colon = line.find(':');
      if (colon == std::string::npos) continue;
      std::string name = line.substr(0, colon);
      for (char& character : name)
        character = static_cast<char>(std::tolower(static_cast<unsigned char>(character)));
      std::size_t begin = colon + 1;
      while (begin < line.size() && line[begin] == ' ') ++begin;
      parsed.headers[name] = line.substr(begin);
    }
    const auto length = static_cast<std::size_t>(std::atoll(parsed.header("content-length").c_str()));
    if (buffer_.size() < head_end + 4 + length) return false;
    parsed.body = buffer_.substr(head_end + 4, length);
    buffer_.erase(0, head_end + 4 + length);
    message = parsed;
    return true;
  }

  int fd_;
  std::string buffer_;
};

inline std::string response(int status, const std::string& body, const std::string& extra_headers = "") {
  return "HTTP/1.1 " + std::to_string(status) + " -\r\n" + extra_headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// A request of the application, in the form of the protocol page.
inline std::string rpc_request(const std::string& verb, const std::string& method, const std::string& id,
                               int budget_ms, const std::string& body = "", const std::string& object = "") {
  const std::string length = verb == "GET" ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return verb + " /" + method + object + " HTTP/1.1\r\nHost: app.svc\r\nX-Call-Id: " + id +
         "\r\nX-Call-Class: " + method + "\r\nX-Budget: " + std::to_string(budget_ms) + "m\r\n" + length +
         "\r\n" + body;
}

// Servers: a thread for each connection.

class Server {
 public:
  /// Serves one connection; returns when the connection is over. The server closes it afterwards.
  using Serve = std::function<void(int fd)>;

  explicit Server(Serve serve, int port = 0) : serve_(std::move(serve)), listener_(open_listener(port)) {
    port_ = port_of(listener_);
    std::thread([this] { accept_all(); }).detach();
  }
  int port() const { return port_; }

 private:
  void accept_all() {
    for (;;) {
      const int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) continue;
      set_no_delay(fd);
      std::thread([this, fd] {
        serve_(fd);
        ::close(fd);
      }).detach();
    }
  }

  Serve serve_;
  int listener_;
  int port_ = 0;
};

/// The agent of discovery: tells the whole list, and a watch what changed.
class Agent {
 public:
  struct Entry {
    std::string id;
    int port;
    std::string lifecycle = "up";
    std::uint64_t changed_at = 1;  // version
  };

  explicit Agent(std::vector<Entry> entries)
      : entries_(std::move(entries)), server_([this](int fd) { serve(fd); }) {}

  int port() const { return server_.port(); }

  void change(const std::string& id, const std::string& lifecycle) {
    const std::lock_guard<std::mutex> lock(mutex_);
    ++version_;
    for (Entry& entry : entries_) {
      if (entry.id != id) continue;
      entry.lifecycle = lifecycle;
      entry.changed_at = version_;
    }
  }
  std::string whole_list() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return list_since(0, true);
  }

 private:
  std::string list_since(std::uint64_t version, bool complete) const {
    std::string instances;
    for (const Entry& entry : entries_) {
      if (entry.changed_at <= version || (complete && entry.lifecycle == "removed")) continue;
      if (!instances.empty()) instances += ',';
      instances += R"({"instanceId":")" + entry.id + R"(","hostPort":")" + address_of(entry.port) +
                   R"(","zone":"a","machineType":"m","cell":0,"lifecycle":")" + entry.lifecycle +
                   R"(","weight":1.0,"startedAtMs":0})";
    }
    return R"({"generation":)" + std::to_string(version_) + R"(,"reset":)" + (complete ? "true" : "false") +
           R"(,"instances":[)" + instances + "]}";
  }

  static std::uint64_t parameter(const std::string& target, const std::string& name, std::uint64_t fallback) {
    const std::size_t at = target.find(name + "=");
    return at == std::string::npos ? fallback
                                   : std::strtoull(target.c_str() + at + name.size() + 1, nullptr, 10);
  }

  std::string answer(const std::string& target) {
    if (target.find("index=") == std::string::npos) return whole_list();
    const std::uint64_t index = parameter(target, "index", 0);
    const double until_ms = now_ms() + static_cast<double>(parameter(target, "wait", 0));
    for (;;) {
      {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (version_ > index || now_ms() >= until_ms) return list_since(index, false);
      }
      sleep_ms(2);
    }
  }

  void serve(int fd) {
    MessageReader reader(fd);
    Message request;
    while (reader.read(request, now_ms() + 1e6) == ReadResult::message)
      if (!send_all(fd, response(200, answer(request.target())))) return;
  }

  std::mutex mutex_;
  std::uint64_t version_ = 1;
  std::vector<Entry> entries_;
  Server server_;
};

/// The figures of a small deployment. Times are in microseconds, as in the settings of the platform.
struct Settings {
  /// `effect`: retryable, dedup or fragile.
  struct Method {
    std::string name;
    std::string effect;
    int aim_us = 430000;
    int deadline_us = 1100000;
    std::string group = "all";
    int window_us = 5000000;
  };
  std::vector<Method> methods{{"tile-read", "retryable"}, {"print-order", "fragile"}};
  bool cancelling = true;
  int max_picks = 6;
  int memory_mb = 128;
  int sockets = 512;

  std::string to_json() const {
    std::string list;
    for (const Method& method : methods) {
      if (!list.empty()) list += ',';
      list += R"({"name":")" + method.name + R"(","effect":")" + method.effect + R"(","group":")" +
              method.group + R"(","latencyTarget":)" + std::to_string(method.aim_us) + R"(,"deadline":)" +
              std::to_string(method.deadline_us) + R"(,"dedupWindow":)" + std::to_string(method.window_us) +
              R"(,"overdueUtility":0.0,"streamed":false,"utility":3.0})";
    }
    return R"({"balancers":1,"bounds":{"cancelling":)" + std::string(cancelling ? "true" : "false") +
           R"(,"connectTimeout":250000,"keepalive":5000000,"maxOpen":33333,"maxPicks":)" +
           std::to_string(max_picks) +
           R"(,"maxRetryAfter":1500000,"mayTell":false,"probes":false,"retryAfter":true,"secondCopies":false},)"
           R"("callers":{"marksRetry":false},"charges":{"crossZone":0.0,"handshake":0.0,"probe":0.0},)"
           R"("discovery":"automatic","familyInfo":{"warmKeys":false},"kinds":["m"],"dcs":["a"],"methods":[)" +
           list +
           R"(],"parties":[],"reporting":{"fields":[],"how":"none"},"round":1000,"rules":{"answerSlack":5000,)"
           R"("askWithin":10000000,"cold":22000000,"coldFrom":0.12,"drainGrace":500000,"fall":1500000,)"
           R"("overloadFactor":3.0},"surplusUtility":1.0,"zone":"a"})";
  }
};

/// One process of the sidecar, started with the command of the deploy file from the repository's root.
class Sidecar {
 public:
  Sidecar(std::string run_command, const std::string& folder, const std::string& name,
          const Settings& settings, int agent_port, const std::string& known_list,
          int listen_port = free_port())
      : run_command_(std::move(run_command)), folder_(folder + "/" + name), listen_port_(listen_port) {
    ::mkdir(folder_.c_str(), 0700);
    std::ofstream config(folder_ + "/config.json");
    config << R"({"name":")" << name << R"(","listen":")" << address_of(listen_port_) << R"(","discovery":")"
           << address_of(agent_port) << R"(","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":)"
           << settings.memory_mb << R"(,"sockets":)" << settings.sockets << R"(},"known":)" << known_list
           << R"(,"settings":)" << settings.to_json() << "}";
  }
  ~Sidecar() { kill_now(); }
  Sidecar(const Sidecar&) = delete;
  Sidecar& operator=(const Sidecar&) = delete;

  int port() const { return listen_port_; }
  pid_t pid() const { return pid_; }

  void start() {
    const std::string config = folder_ + "/config.json";
    const std::string log = folder_ + "/sidecar.log";
    pid_ = ::fork();
    if (pid_ == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // it ends with the case, however that ends
      ::setenv("LB_CONFIG", config.c_str(), 1);
      ::setenv("TMPDIR", folder_.c_str(), 1);
      const int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      ::dup2(fd, 1);
      ::dup2(fd, 2);
      ::execl("/bin/sh", "sh", "-c", run_command_.c_str(), static_cast<char*>(nullptr));
      ::_exit(127);
    }
  }
  void await_ready() {
    const double until_ms = now_ms() + 20000;
    while (now_ms() < until_ms) {
      const int fd = connect_to(listen_port_);
      Message answer;
      if (fd >= 0) {
        MessageReader reader(fd);
        const bool is_ready = send_all(fd, "GET /-/ready HTTP/1.1\r\nHost: app.svc\r\n\r\n") &&
                              reader.read(answer, now_ms() + 1000) == ReadResult::message &&
                              answer.status() == 200;
        ::close(fd);
        if (is_ready) return;
      }
      sleep_ms(20);
    }
    give_up("the sidecar did not become ready");
  }
  void signal(int number) const { ::kill(pid_, number); }
  /// The status of waitpid() if the process ends in time, else -1.
  int await_end(double until_ms) {
    while (now_ms() < until_ms) {
      int status = 0;
      if (pid_ > 0 && ::waitpid(pid_, &status, WNOHANG) == pid_) {
        pid_ = -1;
        return status;
      }
      sleep_ms(5);
    }
    return -1;
  }
  bool has_crashed() {
    int status = 0;
    if (pid_ <= 0 || ::waitpid(pid_, &status, WNOHANG) != pid_) return false;
    pid_ = -1;
    return true;
  }
  void kill_now() {
    if (pid_ <= 0) return;
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
    pid_ = -1;
  }

 private:
  std::string run_command_;
  std::string folder_;
  int listen_port_;
  pid_t pid_ = -1;
};

/// What run.sh passes to a case: its folder, a temporary folder, the command of the deploy file, and whether
/// the disruption is wanted.
struct Case {
  std::string folder;
  std::string temporary;
  std::string run_command;
  bool has_trouble = true;
};

inline Case read_case(int argc, char** argv) {
  if (argc != 4) give_up("three arguments are needed");
  const char* trouble = std::getenv("TROUBLE");
  ::signal(SIGPIPE, SIG_IGN);
  return {.folder = argv[1],
          .temporary = argv[2],
          .run_command = argv[3],
          .has_trouble = !trouble || std::string(trouble) != "0"};
}

}  // namespace review
