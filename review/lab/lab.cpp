#include "lab.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <memory>
#include <sstream>

namespace review {
namespace {

sockaddr_in loopback(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(port);
  return address;
}

int bind_free_port(std::string& address_text) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = loopback(0);
  socklen_t size = sizeof address;
  if (fd < 0 || ::bind(fd, reinterpret_cast<sockaddr*>(&address), size) < 0 ||
      ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) < 0)
    give_up("no free port");
  address_text = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
  return fd;
}

bool wait_for(int fd, short events, double timeout_ms) {
  pollfd request{.fd = fd, .events = events, .revents = 0};
  return ::poll(&request, 1, static_cast<int>(std::max(0.0, timeout_ms))) > 0;
}

std::string lower(std::string text) {
  for (char& character : text)
    character = static_cast<char>(std::tolower(static_cast<unsigned char>(character)));
  return text;
}

void set_no_delay(int fd) {
  const int enabled = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
}

}  // namespace

double now_ms() {
  return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

void sleep_ms(double duration_ms) {
  if (duration_ms > 0) std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(duration_ms));
}

bool has_trouble() {
  const char* trouble = std::getenv("TROUBLE");
  return !trouble || std::string(trouble) != "0";
}

void raise_descriptor_limit() {
  rlimit limit{};
  if (::getrlimit(RLIMIT_NOFILE, &limit) < 0) return;
  limit.rlim_cur = limit.rlim_max;
  ::setrlimit(RLIMIT_NOFILE, &limit);
}

void give_up(const std::string& reason) {
  std::cerr << "the case can't run: " << reason << "\n";
  std::_Exit(2);
}

void Record::line(const std::string& text) {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::array<char, 32> time{};
  std::snprintf(time.data(), time.size(), "%9.1f ms  ", now_ms() - started_ms_);
  file_ << time.data() << text << std::endl;
}

Connection::~Connection() { ::close(fd_); }

bool Connection::write(const std::string& bytes, double timeout_ms) {
  const double end_ms = now_ms() + timeout_ms;
  std::size_t written = 0;
  while (written < bytes.size()) {
    const ssize_t count =
        ::send(fd_, bytes.data() + written, bytes.size() - written, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (count > 0) {
      written += static_cast<std::size_t>(count);
    } else if (errno != EAGAIN || !wait_for(fd_, POLLOUT, end_ms - now_ms())) {
      return false;
    }
  }
  return true;
}

bool Connection::read(double timeout_ms) {
  std::array<char, 65536> buffer;
  if (!wait_for(fd_, POLLIN, timeout_ms)) return false;
  const ssize_t count = ::recv(fd_, buffer.data(), buffer.size(), 0);
  if (count <= 0) return false;
  input.append(buffer.data(), static_cast<std::size_t>(count));
  return true;
}

std::string Message::header(const std::string& name) const {
  const auto found = headers.find(name);
  return found == headers.end() ? "" : found->second;
}

std::optional<Message> read_message(Connection& connection, double timeout_ms) {
  const double end_ms = now_ms() + timeout_ms;
  std::size_t head_end = std::string::npos;
  while ((head_end = connection.input.find("\r\n\r\n")) == std::string::npos)
    if (!connection.read(end_ms - now_ms())) return {};
  Message message;
  std::istringstream head(connection.input.substr(0, head_end + 2));
  std::getline(head, message.start_line, '\r');
  std::string line;
  while (head.ignore(), std::getline(head, line, '\r')) {
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) continue;
    const std::size_t value = line.find_first_not_of(' ', colon + 1);
    message.headers[lower(line.substr(0, colon))] = value == std::string::npos ? "" : line.substr(value);
  }
  const std::string length = message.header("content-length");
  const std::size_t end = head_end + 4 + (length.empty() ? 0 : std::stoul(length));
  while (connection.input.size() < end)
    if (!connection.read(end_ms - now_ms())) return {};
  message.body = connection.input.substr(head_end + 4, end - head_end - 4);
  connection.input.erase(0, end);
  return message;
}

std::string ok_answer(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

Server::Server(Handler handler) : handler_(std::move(handler)) {
  const int listener = bind_free_port(address_);
  if (::listen(listener, SOMAXCONN) < 0) give_up("no listener");
  std::thread([this, listener] { accept_connections(listener); }).detach();
}

void Server::accept_connections(int listener) {
  for (;;) {
    const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) continue;
    set_no_delay(fd);
    std::thread([this, fd] {
      Connection connection(fd);
      handler_(connection);
    }).detach();
  }
}

int connect_to(const std::string& address) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in target =
      loopback(static_cast<std::uint16_t>(std::stoi(address.substr(address.find(':') + 1))));
  if (fd < 0) give_up("no descriptor for a connection");
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&target), sizeof target) < 0) {
    ::close(fd);
    return -1;
  }
  set_no_delay(fd);
  return fd;
}

std::string free_address() {
  std::string address;
  ::close(bind_free_port(address));
  return address;
}

namespace {

std::string format_list(const std::map<std::string, std::string>& endpoints) {
  std::string list = R"({"generation":1,"reset":true,"instances":[)";
  for (const auto& [id, address] : endpoints) {
    if (list.back() == '}') list += ',';
    list.append(R"({"instanceId":")").append(id).append(R"(","hostPort":")").append(address);
    list += R"(","zone":"a","machineType":"m1","cell":1,"lifecycle":"up","weight":1.0,"startedAtMs":0})";
  }
  return list + "]}";
}

}  // namespace

Discovery::Discovery(const std::map<std::string, std::string>& endpoints)
    : list_(format_list(endpoints)), server_([this](Connection& connection) { serve(connection); }) {}

void Discovery::serve(Connection& connection) const {
  constexpr double longest_wait_ms = 60000;
  while (const auto call = read_message(connection, 2 * longest_wait_ms)) {
    std::string body = list_;
    if (call->start_line.find("index=1&") != std::string::npos) {
      const std::size_t wait = call->start_line.find("wait=");
      sleep_ms(std::min(std::stod(call->start_line.substr(wait + 5)), longest_wait_ms));
      body = R"({"generation":1,"reset":false,"instances":[]})";
    }
    if (!connection.write(ok_answer(body), 1000)) return;
  }
}

Sidecar::Sidecar(const std::string& run_command, const Discovery& discovery, const Options& options)
    : address_(free_address()) {
  std::string pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (!::mkdtemp(pattern.data())) give_up("no temporary folder");
  directory_ = pattern;
  const std::string config_file = directory_ + "/config.json";
  std::ofstream(config_file) << R"({"name":")" << options.name << R"(","listen":")" << address_
                             << R"(","discovery":")" << discovery.address()
                             << R"(","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":)"
                             << options.memory_mb << R"(,"sockets":)" << options.sockets << R"(},"known":)"
                             << discovery.list() << R"(,"settings":)" << options.settings << "}\n";
  std::filesystem::create_directory(directory_ + "/tmp");
  const std::string log_file = directory_ + "/log";
  pid_ = ::fork();
  if (pid_ < 0) give_up("no process");
  if (pid_ > 0) return;
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  ::setenv("LB_NAME", options.name.c_str(), 1);
  ::setenv("LB_LISTEN", address_.c_str(), 1);
  ::setenv("LB_DISCOVERY", discovery.address().c_str(), 1);
  ::setenv("LB_CONFIG", config_file.c_str(), 1);
  ::setenv("TMPDIR", (directory_ + "/tmp").c_str(), 1);
  if (!std::freopen(log_file.c_str(), "w", stderr) || !std::freopen("/dev/null", "w", stdout)) ::_exit(127);
  ::execl("/bin/sh", "sh", "-c", run_command.c_str(), nullptr);
  ::_exit(127);
}

Sidecar::~Sidecar() {
  stop();
  std::error_code ignored;
  std::filesystem::remove_all(directory_, ignored);
}

void Sidecar::wait_until_ready() {
  const double end_ms = now_ms() + 30000;
  while (now_ms() < end_ms && !has_exited()) {
    const int fd = connect_to(address_);
    if (fd >= 0) {
      Connection connection(fd);
      connection.write("GET /-/ready HTTP/1.1\r\nHost: app.svc\r\n\r\n", 1000);
      const auto answer = read_message(connection, 1000);
      if (answer && answer->start_line.find(" 200") != std::string::npos) return;
    }
    sleep_ms(20);
  }
  give_up("the sidecar is not ready");
}

double Sidecar::resident_mb() const {
  std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
  std::string line;
  while (std::getline(status, line))
    if (line.rfind("VmRSS:", 0) == 0) return std::stod(line.substr(6)) / 1024;
  return 0;
}

void Sidecar::kill_process() { ::kill(pid_, SIGKILL); }

bool Sidecar::has_exited() {
  if (!has_exited_) has_exited_ = ::waitpid(pid_, nullptr, WNOHANG) == pid_;
  return has_exited_;
}

void Sidecar::stop() {
  if (has_exited()) return;
  ::kill(pid_, SIGTERM);
  const double end_ms = now_ms() + 3700;
  while (!has_exited() && now_ms() < end_ms) sleep_ms(10);
  if (has_exited_) return;
  kill_process();
  ::waitpid(pid_, nullptr, 0);
  has_exited_ = true;
}

std::string encode(const Request& request) {
  std::string text = (request.is_post ? "POST /" : "GET /") + request.method + "/" + request.id +
                     " HTTP/1.1\r\nHost: app.svc\r\nX-Call-Id: " + request.id +
                     "\r\nX-Call-Class: " + request.method + "\r\nX-Caller: " + request.tenant +
                     "\r\nX-Budget: " + std::to_string(request.budget_ms) + "m\r\n";
  if (request.is_post) text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
  return text + "\r\n" + request.body;
}

}  // namespace review
