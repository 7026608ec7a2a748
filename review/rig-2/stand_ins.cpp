#include "stand_ins.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <utility>

namespace review {
namespace {

std::ofstream record_file;
std::mutex record_mutex;

std::vector<Sidecar*> running;  // of the main thread

const std::chrono::steady_clock::time_point started_at = std::chrono::steady_clock::now();

sockaddr_in loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  return address;
}

void set_no_delay(int fd) {
  const int enabled = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
}

int listen_on(int port, int& bound_port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int enabled = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
  sockaddr_in address = loopback(port);
  socklen_t size = sizeof address;
  if (::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) < 0 || ::listen(fd, 1024) < 0 ||
      ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) < 0) {
    std::perror("listen");
    std::_Exit(2);
  }
  bound_port = ntohs(address.sin_port);
  return fd;
}

int free_port() {
  int port = 0;
  ::close(listen_on(0, port));
  return port;
}

int port_of(const std::string& address) { return std::atoi(address.substr(address.rfind(':') + 1).c_str()); }

std::string lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char character) { return std::tolower(character); });
  return text;
}

bool read_headers(Connection& connection, std::map<std::string, std::string>& headers, double until_ms) {
  for (std::string line; connection.read_line(line, until_ms);) {
    if (line.empty()) return true;
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) continue;
    const std::size_t value = line.find_first_not_of(' ', colon + 1);
    headers[lower(line.substr(0, colon))] = value == std::string::npos ? "" : line.substr(value);
  }
  return false;
}

std::string query_value(const std::string& target, const std::string& name) {
  const std::size_t at = target.find(name + "=");
  if (at == std::string::npos) return "";
  const std::size_t begin = at + name.size() + 1;
  return target.substr(begin, target.find('&', begin) - begin);
}

}  // namespace

double now_ms() {
  return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - started_at).count();
}

double unix_ms() {
  return std::chrono::duration<double, std::milli>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}

void sleep_ms(double duration_ms) {
  if (duration_ms > 0) std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(duration_ms));
}

void sleep_until(double at_ms) { sleep_ms(at_ms - now_ms()); }

void Record::open(const std::string& path) {
  record_file.open(path, std::ios::trunc);
  if (record_file) return;
  std::perror(path.c_str());
  std::_Exit(2);
}

void Record::line(const std::string& text) {
  const std::lock_guard lock(record_mutex);
  char time[32];
  std::snprintf(time, sizeof time, "%9.1f ms ", now_ms());
  record_file << time << text << std::endl;
}

bool has_trouble() {
  const char* value = std::getenv("TROUBLE");
  return !value || std::string(value) != "0";
}

std::string Request::header(const std::string& name) const {
  const auto found = headers.find(name);
  return found == headers.end() ? "" : found->second;
}

Connection::~Connection() { ::close(fd_); }

bool Connection::send(const std::string& bytes) const {
  for (std::size_t sent = 0; sent < bytes.size();) {
    const ssize_t count = ::send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count < 0 && errno == EINTR) continue;
    if (count <= 0) return false;
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

bool Connection::fill(double until_ms) {
  for (;;) {
    pollfd request{.fd = fd_, .events = POLLIN, .revents = 0};
    const int ready = ::poll(&request, 1, static_cast<int>(std::max(0.0, until_ms - now_ms()) + 1));
    if (ready == 0) {
      failure_ = "silent";
      return false;
    }
    char bytes[65536];
    const ssize_t count = ::recv(fd_, bytes, sizeof bytes, 0);
    if (count < 0 && errno == EINTR) continue;
    if (count > 0) {
      buffer_.append(bytes, static_cast<std::size_t>(count));
      return true;
    }
    failure_ = count == 0 ? "closed" : "reset";
    return false;
  }
}

bool Connection::read_line(std::string& line, double until_ms) {
  std::size_t end = buffer_.find('\n');
  while (end == std::string::npos) {
    if (!fill(until_ms)) return false;
    end = buffer_.find('\n');
  }
  line = buffer_.substr(0, end);
  buffer_.erase(0, end + 1);
  if (!line.empty() && line.back() == '\r') line.pop_back();
  return true;
}

bool Connection::read_bytes(std::size_t count, std::string& bytes, double until_ms) {
  while (bytes.size() < count) {
    if (buffer_.empty() && !fill(until_ms)) return false;
    const std::size_t taken = std::min(count - bytes.size(), buffer_.size());
    bytes.append(buffer_, 0, taken);
    buffer_.erase(0, taken);
  }
  return true;
}

bool Connection::has_input() const {
  pollfd request{.fd = fd_, .events = POLLIN, .revents = 0};
  return !buffer_.empty() || ::poll(&request, 1, 0) > 0;
}

void Connection::reset() const {
  const linger at_once{.l_onoff = 1, .l_linger = 0};
  ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
}

void Connection::shut_down() const { ::shutdown(fd_, SHUT_RDWR); }

bool Connection::read_chunks(std::string& body, double until_ms) {
  for (std::string line; read_line(line, until_ms);) {
    const std::size_t size = std::strtoul(line.c_str(), nullptr, 16);
    std::string chunk;
    if (size > 0 && !read_bytes(size, chunk, until_ms)) return false;
    body += chunk;
    if (!read_line(line, until_ms)) return false;
    if (size == 0) return true;
  }
  return false;
}

bool Connection::read_request(Request& request, double until_ms) {
  request = {};
  std::string line;
  if (!read_line(line, until_ms)) return false;
  const std::size_t space = line.find(' ');
  request.method = line.substr(0, space);
  request.target = line.substr(space + 1, line.rfind(' ') - space - 1);
  if (!read_headers(*this, request.headers, until_ms)) return false;
  if (request.header("transfer-encoding") == "chunked") return read_chunks(request.body, until_ms);
  const std::size_t length = std::strtoul(request.header("content-length").c_str(), nullptr, 10);
  return read_bytes(length, request.body, until_ms);
}

Server::Server(Handler handler) : handler_(std::move(handler)) {
  fd_ = listen_on(0, port_);
  std::thread([this] {
    for (;;) {
      const int client = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
      if (client < 0) return;
      set_no_delay(client);
      std::thread([this, client] {
        Connection connection(client);
        handler_(connection);
      }).detach();
    }
  }).detach();
}

Server::~Server() { ::shutdown(fd_, SHUT_RDWR); }

namespace {

/// Bytes on their way through a link; an empty text is the end of the stream.
struct Passage {
  double due_ms;
  std::string bytes;
};

void pass_bytes(int from, int to, double delay_ms) {
  std::deque<Passage> passages;
  std::mutex mutex;
  std::condition_variable changed;
  std::thread writer([&] {
    for (;;) {
      std::unique_lock lock(mutex);
      changed.wait(lock, [&] { return !passages.empty(); });
      const Passage passage = std::move(passages.front());
      passages.pop_front();
      lock.unlock();
      sleep_until(passage.due_ms);
      if (passage.bytes.empty()) break;
      for (std::size_t sent = 0; sent < passage.bytes.size();) {
        const ssize_t count =
            ::send(to, passage.bytes.data() + sent, passage.bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) break;
        sent += static_cast<std::size_t>(count);
      }
    }
    ::shutdown(to, SHUT_WR);
  });
  std::vector<char> bytes(65536);
  for (bool open = true; open;) {
    const ssize_t count = ::recv(from, bytes.data(), bytes.size(), 0);
    open = count > 0;
    const std::lock_guard lock(mutex);
    passages.push_back({now_ms() + delay_ms, open ? std::string(bytes.data(), count) : std::string()});
    changed.notify_one();
  }
  writer.join();
}

}  // namespace

Link::Link(std::string target, double delay_ms)
    : target_(std::move(target)), delay_ms_(delay_ms), server_([this](Connection& near) {
        const std::unique_ptr<Connection> far = connect_to(port_of(target_));
        if (!far) return;
        std::thread back([&] { pass_bytes(far->fd(), near.fd(), delay_ms_); });
        pass_bytes(near.fd(), far->fd(), delay_ms_);
        back.join();
      }) {}

Endpoint::Endpoint(std::string id, Handler handler)
    : id_(std::move(id)), handler_(std::move(handler)), server_([this](Connection& connection) {
        for (Request request; connection.read_request(request, now_ms() + 120000);) {
          if (request.target == "/-/healthy" || request.target == "/-/load") {
            if (!connection.send(whole_answer(200, "inflight=" + std::to_string(in_flight_.load())))) return;
            continue;
          }
          ++in_flight_;
          handler_(connection, request);
          --in_flight_;
        }
      }) {}

Agent::Agent() : server_([this](Connection& connection) { serve(connection); }) {}

void Agent::add(const std::string& id, const std::string& address, const std::string& zone) {
  const std::lock_guard lock(mutex_);
  entries_.push_back({.id = id, .address = address, .zone = zone, .changed_in = ++version_});
}

void Agent::set_lifecycle(const std::string& id, const std::string& lifecycle) {
  const std::lock_guard lock(mutex_);
  for (Entry& entry : entries_) {
    if (entry.id != id) continue;
    entry.lifecycle = lifecycle;
    entry.changed_in = ++version_;
  }
}

std::string Agent::list(bool is_complete, std::uint64_t since) {
  const std::lock_guard lock(mutex_);
  std::string text = R"({"generation":)" + std::to_string(version_) + R"(,"reset":)" +
                     (is_complete ? "true" : "false") + R"(,"instances":[)";
  bool is_first = true;
  for (const Entry& entry : entries_) {
    if (is_complete ? entry.lifecycle == "removed" : entry.changed_in <= since) continue;
    if (!std::exchange(is_first, false)) text += ",";
    text += R"({"instanceId":")" + entry.id + R"(","hostPort":")" + entry.address + R"(","zone":")" +
            entry.zone + R"(","machineType":"std-2c","cell":0,"lifecycle":")" + entry.lifecycle +
            R"(","weight":1.0,"startedAtMs":0})";
  }
  return text + "]}";
}

void Agent::serve(Connection& connection) {
  for (Request request; connection.read_request(request, now_ms() + 120000);) {
    const std::string index = query_value(request.target, "index");
    const std::uint64_t since = std::strtoull(index.c_str(), nullptr, 10);
    const double until_ms = now_ms() + std::atof(query_value(request.target, "wait").c_str());
    const auto is_news = [&] {
      const std::lock_guard lock(mutex_);
      return version_ > since;
    };
    while (!index.empty() && !is_news() && now_ms() < until_ms) sleep_ms(2);
    if (!connection.send(whole_answer(200, list(index.empty(), since)))) return;
  }
}

Sidecar::Sidecar(std::string name, std::string settings, std::string limits)
    : name_(std::move(name)), settings_(std::move(settings)), limits_(std::move(limits)), port_(free_port()) {
  char folder[] = "/tmp/review-2-XXXXXX";
  if (!::mkdtemp(folder)) std::_Exit(2);
  folder_ = folder;
  running.push_back(this);
}

Sidecar::~Sidecar() {
  std::erase(running, this);
  end();
}

void Sidecar::end() {
  if (folder_.empty()) return;
  if (pid_ > 0 && !ended_) {
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
    ended_ = true;
  }
  for (const char* file : {"/config.json", "/log.txt"}) ::unlink((folder_ + file).c_str());
  ::rmdir(folder_.c_str());
  folder_.clear();
}

void finish(int status) {
  for (Sidecar* sidecar : running) sidecar->end();
  const std::lock_guard lock(record_mutex);
  record_file.close();
  std::_Exit(status);
}

bool Sidecar::start(const std::string& agent_address, const std::string& known) {
  const std::string listen_address = "127.0.0.1:" + std::to_string(port_);
  const std::string config_path = folder_ + "/config.json";
  std::ofstream(config_path) << R"({"name":")" << name_ << R"(","listen":")" << listen_address
                             << R"(","discovery":")" << agent_address
                             << R"(","seed":"8c1f30d27a5be964","limits":)" << limits_ << R"(,"known":)"
                             << known << R"(,"settings":)" << settings_ << "}";
  const pid_t parent = ::getpid();
  pid_ = ::fork();
  if (pid_ == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent) std::_Exit(2);
    ::setenv("LB_NAME", name_.c_str(), 1);
    ::setenv("LB_LISTEN", listen_address.c_str(), 1);
    ::setenv("LB_DISCOVERY", agent_address.c_str(), 1);
    ::setenv("LB_CONFIG", config_path.c_str(), 1);
    const int log = ::open((folder_ + "/log.txt").c_str(), O_CREAT | O_WRONLY | O_TRUNC, 0600);
    ::dup2(log, 1);
    ::dup2(log, 2);
    const char* command = std::getenv("REVIEW_RUN");  // the deploy file's, unless a build is named
    ::execl("/bin/sh", "sh", "-c", command ? command : "exec build/indigorill", nullptr);
    std::_Exit(2);
  }
  for (const double until_ms = now_ms() + 30000; now_ms() < until_ms && !has_ended(); sleep_ms(20)) {
    const std::unique_ptr<Connection> connection = connect_to(port_);
    if (!connection || !connection->send("GET /-/ready HTTP/1.1\r\nHost: app.svc\r\n\r\n")) continue;
    if (read_answer(*connection, now_ms() + 1000).status != 200) continue;
    Record::line("sidecar " + name_ + " is ready");
    return true;
  }
  return false;
}

void Sidecar::signal(int number) const {
  Record::line("sidecar " + name_ + " gets signal " + std::to_string(number));
  ::kill(pid_, number);
}

bool Sidecar::has_ended() {
  int status = 0;
  if (ended_ || ::waitpid(pid_, &status, WNOHANG) != pid_) return ended_;
  ended_ = true;
  Record::line("sidecar " + name_ + " has ended, " +
               (WIFEXITED(status) ? "status " + std::to_string(WEXITSTATUS(status))
                                  : "signal " + std::to_string(WTERMSIG(status))));
  return ended_;
}

std::unique_ptr<Connection> connect_to(int port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  auto connection = std::make_unique<Connection>(fd);
  const sockaddr_in address = loopback(port);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) < 0) return nullptr;
  set_no_delay(fd);
  return connection;
}

std::string request_head(const std::string& method, const std::string& target, const std::string& id,
                         int budget_ms, const std::string& more_headers) {
  const std::string path = target.substr(1);
  return method + " " + target + " HTTP/1.1\r\nHost: app.svc\r\nX-Call-Id: " + id +
         "\r\nX-Call-Class: " + path.substr(0, path.find('/')) +
         "\r\nX-Budget: " + std::to_string(budget_ms) + "m\r\n" + more_headers + "\r\n";
}

Answer read_answer(Connection& connection, double until_ms) {
  Answer answer;
  std::string line;
  std::map<std::string, std::string> headers;
  bool is_whole = connection.read_line(line, until_ms);
  answer.first_byte_at_ms = now_ms();
  if (is_whole) answer.status = std::atoi(line.substr(std::min<std::size_t>(9, line.size())).c_str());
  is_whole = is_whole && read_headers(connection, headers, until_ms);
  answer.closes = headers["connection"] == "close";
  if (is_whole && headers["transfer-encoding"] == "chunked") {
    for (bool more = true; is_whole && more;) {
      is_whole = connection.read_line(line, until_ms);
      const std::size_t size = is_whole ? std::strtoul(line.c_str(), nullptr, 16) : 0;
      more = size > 0;
      is_whole = is_whole && connection.read_bytes(answer.body.size() + size, answer.body, until_ms) &&
                 connection.read_line(line, until_ms);
    }
  } else if (is_whole) {
    const std::size_t length = std::strtoul(headers["content-length"].c_str(), nullptr, 10);
    is_whole = connection.read_bytes(length, answer.body, until_ms);
  }
  answer.ended_at_ms = now_ms();
  answer.ending = is_whole ? "whole" : connection.failure();
  return answer;
}

std::string whole_answer(int status, const std::string& body, const std::string& more_headers) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + more_headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string settings(const std::vector<Method>& methods, const std::string& zone, int drain_grace_ms) {
  std::string list;
  for (const Method& method : methods)
    list += (list.empty() ? "" : ",") + (R"({"name":")" + method.name) + R"(","effect":")" + method.effect +
            R"(","latencyTarget":)" + std::to_string(method.target_ms * 1000) + R"(,"deadline":)" +
            std::to_string(method.deadline_ms * 1000) + R"(,"utility":)" + std::to_string(method.utility) +
            R"(,"overdueUtility":0.0,"group":"all","dedupWindow":1500000,"streamed":false})";
  return R"({"balancers":3,"methods":[)" + list +
         R"(],"bounds":{"cancelling":true,"connectTimeout":250000,"cpuUsPerS":83333,"keepalive":5000000,
"maxPicks":3,"maxRetryAfter":1500000,"mayTell":false,"probes":false,"retryAfter":true,"secondCopies":false},
"callers":{"marksRetry":false},"charges":{"crossZone":0.005,"handshake":0.0,"probe":0.002},
"discovery":"automatic","familyInfo":{"warmKeys":false},"reporting":{"fields":[],"how":"none"},"round":1000,
"rules":{"cold":22000000,"coldFrom":0.12,"drainGrace":)" +
         std::to_string(drain_grace_ms * 1000) + R"(,"fall":1500000,"overloadFactor":3.0},"zone":")" + zone +
         R"("})";
}

}  // namespace review
