#include "rig.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <memory>
#include <thread>
#include <utility>

namespace review {
namespace {

constexpr int second_ms = 1000;
std::mutex record_mutex;
std::ofstream record_file;

sockaddr_in loopback(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(port);
  return address;
}

std::string lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char character) { return static_cast<char>(std::tolower(character)); });
  return text;
}

std::string trimmed(const std::string& text) {
  const std::size_t begin = text.find_first_not_of(' ');
  return begin == std::string::npos ? "" : text.substr(begin, text.find_last_not_of(' ') - begin + 1);
}

/// The value of a parameter of a path's query; `fallback` if there is none.
long query_value(const std::string& path, const std::string& name, long fallback) {
  const std::size_t at = path.find(name + "=");
  return at == std::string::npos ? fallback : std::strtol(path.c_str() + at + name.size() + 1, nullptr, 10);
}

}  // namespace

double now_ms() {
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start).count();
}

void sleep_ms(double duration_ms) {
  if (duration_ms > 0) std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(duration_ms));
}

void open_record(const std::string& folder) {
  now_ms();
  std::signal(SIGPIPE, SIG_IGN);
  record_file.open(folder + "/record.txt", std::ios::trunc);
}

void record(const std::string& line) {
  std::array<char, 32> at{};
  std::snprintf(at.data(), at.size(), "%9.1f  ", now_ms());
  const std::lock_guard<std::mutex> lock(record_mutex);
  record_file << at.data() << line << '\n' << std::flush;
}

std::string joined(std::initializer_list<std::string_view> parts) {
  std::string text;
  for (const std::string_view part : parts) text.append(part);
  return text;
}

std::string Message::path() const {
  const std::size_t begin = start_line.find(' ') + 1;
  return start_line.substr(begin, start_line.find(' ', begin) - begin);
}

int Message::status() const {
  return static_cast<int>(std::strtol(start_line.c_str() + start_line.find(' '), nullptr, 10));
}

std::string Message::header(const std::string& name) const {
  const auto found = headers.find(name);
  return found == headers.end() ? "" : found->second;
}

Wire::~Wire() { close(); }

void Wire::close() {
  if (fd_ >= 0) ::close(std::exchange(fd_, -1));
}

void Wire::reset() {
  const linger at_once{.l_onoff = 1, .l_linger = 0};
  if (fd_ >= 0) ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
  close();
}

bool Wire::write(const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count = ::send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count < 0 && errno == EINTR) continue;
    if (count < 0) return false;
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

ReadEnd Wire::fill(double until_ms) {
  constexpr std::size_t read_bytes = 65536;
  pollfd request{.fd = fd_, .events = POLLIN, .revents = 0};
  const double wait_ms = std::max(0.0, until_ms - now_ms());
  if (::poll(&request, 1, static_cast<int>(wait_ms) + 1) <= 0) return ReadEnd::timeout;
  std::vector<char> bytes(read_bytes);
  const ssize_t count = ::recv(fd_, bytes.data(), bytes.size(), 0);
  if (count == 0) return ReadEnd::closed;
  if (count < 0) return ReadEnd::reset;
  buffer_.append(bytes.data(), static_cast<std::size_t>(count));
  return ReadEnd::message;
}

bool Wire::take_chunks(Message& message, std::size_t begin) {
  std::string body;
  for (;;) {
    const std::size_t line_end = buffer_.find("\r\n", begin);
    if (line_end == std::string::npos) return false;
    const std::size_t size = std::strtoul(buffer_.c_str() + begin, nullptr, 16);
    if (buffer_.size() < line_end + 2 + size + 2) return false;
    body += buffer_.substr(line_end + 2, size);
    begin = line_end + 2 + size + 2;
    if (size > 0) continue;
    message.body = std::move(body);
    buffer_.erase(0, begin);
    return true;
  }
}

bool Wire::take(Message& message) {
  const std::size_t head_end = buffer_.find("\r\n\r\n");
  if (head_end == std::string::npos) return false;
  message = {};
  std::size_t line = buffer_.find("\r\n");
  message.start_line = buffer_.substr(0, line);
  while (line < head_end) {
    const std::size_t end = buffer_.find("\r\n", line + 2);
    const std::string text = buffer_.substr(line + 2, end - line - 2);
    const std::size_t colon = text.find(':');
    if (colon != std::string::npos)
      message.headers[lower(text.substr(0, colon))] = trimmed(text.substr(colon + 1));
    line = end;
  }
  if (message.header("transfer-encoding") == "chunked") return take_chunks(message, head_end + 4);
  const std::size_t length = std::strtoul(message.header("content-length").c_str(), nullptr, 10);
  if (buffer_.size() < head_end + 4 + length) return false;
  message.body = buffer_.substr(head_end + 4, length);
  buffer_.erase(0, head_end + 4 + length);
  return true;
}

ReadEnd Wire::read(Message& message, double until_ms) {
  while (!take(message)) {
    const ReadEnd end = fill(until_ms);
    if (end != ReadEnd::message) return end;
  }
  return ReadEnd::message;
}

int connect_to(std::uint16_t port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = loopback(port);
  const int enabled = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0) return fd;
  ::close(fd);
  return -1;
}

int listen_on(std::uint16_t port, int backlog) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int enabled = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
  const sockaddr_in address = loopback(port);
  if (::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) < 0 ||
      ::listen(fd, backlog) < 0) {
    record("can't listen");
    ::_exit(2);
  }
  return fd;
}

std::uint16_t port_of(int fd) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

std::uint16_t free_port() {
  const int fd = listen_on(0, 1);
  const std::uint16_t port = port_of(fd);
  ::close(fd);
  return port;
}

std::string address_of(std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

Server::Server(Serve serve, int backlog)
    : serve_(std::move(serve)), listener_(listen_on(0, backlog)), port_(port_of(listener_)) {
  std::thread([this] { accept_all(); }).detach();
}

void Server::accept_all() {
  for (;;) {
    const int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) continue;
    const int enabled = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
    std::thread([this, fd] {
      Wire wire(fd);
      serve_(wire);
    }).detach();
  }
}

void Arrivals::add(const Arrival& arrival) {
  const std::lock_guard<std::mutex> lock(mutex_);
  all_.push_back(arrival);
}

std::vector<Arrival> Arrivals::of(const std::string& call_id) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::vector<Arrival> found;
  for (const Arrival& arrival : all_)
    if (arrival.call_id == call_id) found.push_back(arrival);
  return found;
}

std::size_t Arrivals::size() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return all_.size();
}

std::string response(int status, const std::string& body, const std::string& headers) {
  return "HTTP/1.1 " + std::to_string(status) + " Answer\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string Entry::json() const {
  return R"({"instanceId":")" + id + R"(","hostPort":")" + address + R"(","zone":")" + zone +
         R"(","machineType":"m1","cell":)" + std::to_string(cell) + R"(,"lifecycle":")" + lifecycle +
         R"(","weight":1.0,"startedAtMs":)" + std::to_string(static_cast<long long>(started_at_ms)) + "}";
}

namespace {

std::string list_text(std::size_t generation, bool whole, const std::vector<Entry>& entries) {
  std::string text = R"({"generation":)" + std::to_string(generation) + R"(,"reset":)" +
                     (whole ? "true" : "false") + R"(,"instances":[)";
  bool first = true;
  for (const Entry& entry : entries) {
    if (!std::exchange(first, false)) text += ",";
    text += entry.json();
  }
  return text + "]}";
}

}  // namespace

Agent::Agent(const std::vector<Entry>& entries)
    : entries_(entries), server_([this](Wire& wire) { serve(wire); }) {}

std::string Agent::list() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return list_text(changes_.size() + 1, true, entries_);
}

void Agent::change(const Entry& entry) {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::erase_if(entries_, [&](const Entry& listed) { return listed.id == entry.id; });
  if (entry.lifecycle != "removed") entries_.push_back(entry);
  changes_.push_back(entry);
  changed_.notify_all();
}

std::string Agent::answer(const std::string& path) {
  const long index = query_value(path, "index", -1);
  if (index < 0) return list();
  std::unique_lock<std::mutex> lock(mutex_);
  const auto known = static_cast<std::size_t>(index);
  changed_.wait_for(lock, std::chrono::milliseconds(query_value(path, "wait", 0)),
                    [&] { return changes_.size() + 1 > known; });
  if (known == 0 || known > changes_.size() + 1) return list_text(changes_.size() + 1, true, entries_);
  const auto first_new = changes_.begin() + static_cast<std::ptrdiff_t>(known - 1);
  return list_text(changes_.size() + 1, false, {first_new, changes_.end()});
}

void Agent::serve(Wire& wire) {
  constexpr double long_ms = 600000;
  Message request;
  while (wire.read(request, now_ms() + long_ms) == ReadEnd::message)
    if (!wire.write(response(200, answer(request.path())))) return;
}

Sidecar::Sidecar(const std::string& folder, const std::string& name, const std::string& config,
                 const std::vector<std::string>& environment) {
  const std::string config_path = folder + "/" + name + ".json";
  const std::string log_path = folder + "/" + name + ".log";
  write_file(config_path, config);
  pid_ = ::fork();
  if (pid_ != 0) return;
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // also where this program is killed
  ::setenv("LB_CONFIG", config_path.c_str(), 1);
  ::setenv("TMPDIR", folder.c_str(), 1);
  for (const std::string& variable : environment) {
    const std::size_t equals = variable.find('=');
    ::setenv(variable.substr(0, equals).c_str(), variable.substr(equals + 1).c_str(), 1);
  }
  if (!std::freopen(log_path.c_str(), "a", stderr)) ::_exit(2);
  ::execl("/bin/sh", "sh", "-c", "exec build/indigorill", nullptr);
  ::_exit(2);
}

Sidecar::~Sidecar() {
  if (reaped_) return;
  ::kill(pid_, SIGKILL);
  ::waitpid(pid_, &status_, 0);
}

bool Sidecar::wait_until_ready(std::uint16_t port, double within_ms) const {
  constexpr double pause_ms = 20;
  const double until_ms = now_ms() + within_ms;
  while (now_ms() < until_ms) {
    Wire wire(connect_to(port));
    Message answer;
    if (wire.is_open() && wire.write("GET /-/ready HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n") &&
        wire.read(answer, now_ms() + second_ms) == ReadEnd::message && answer.status() == 200)
      return true;
    sleep_ms(pause_ms);
  }
  return false;
}

void Sidecar::signal(int number) const { ::kill(pid_, number); }

bool Sidecar::has_ended(int& status) {
  if (!reaped_ && ::waitpid(pid_, &status_, WNOHANG) == pid_) reaped_ = true;
  status = status_;
  return reaped_;
}

std::string Config::json() const {
  return R"({"name":")" + name + R"(","listen":")" + address_of(port) + R"(","discovery":")" + discovery +
         R"(","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,"sockets":)" +
         std::to_string(sockets) + R"(},"known":)" + known + R"(,"settings":)" + settings + "}";
}

std::string make_folder() {
  std::string path = "/tmp/review-XXXXXX";
  if (const char* parent = std::getenv("TMPDIR")) path = std::string(parent) + "/review-XXXXXX";
  return ::mkdtemp(path.data()) ? path : "/tmp";
}

void write_file(const std::string& path, const std::string& text) {
  std::ofstream(path, std::ios::trunc) << text;
}

std::string fill_in(std::string text, const std::map<std::string, std::string>& values) {
  for (const auto& [name, value] : values)
    for (std::size_t at = text.find(name); at != std::string::npos; at = text.find(name, at + value.size()))
      text.replace(at, name.size(), value);
  return text;
}

bool trouble() {
  const char* value = std::getenv("TROUBLE");
  return !value || std::string(value) != "0";
}

}  // namespace review
