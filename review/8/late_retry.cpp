// A fifth of the endpoints is cut off for 6 s, and answers get lost by resets. A request of a deduplicated
// class whose answer was lost is sent again, to an endpoint that has just been cut off.
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cstdlib>
#include <map>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include "../rig-2/stand_ins.h"

namespace review {
namespace {

constexpr int sidecar_count = 48;
constexpr int endpoint_count = 10;
constexpr int cut_count = endpoint_count / 5;  // "a fifth of the endpoints fall silent"
constexpr int clients_per_sidecar = 4;
constexpr int lost_every = 10;  // of the answers, one is lost by a reset
constexpr int target_ms = 500;
constexpr int deadline_ms = 2500;
constexpr double window_ms = 1500;  // dedupWindow in settings()
constexpr double remembered_ms = window_ms + 500;
constexpr double work_ms = 40;
constexpr double before_ms = 2000;
constexpr double cut_ms = 6000;  // "for 6 s"
constexpr double after_ms = 3000;

std::atomic<bool> is_cut{false};
std::atomic<bool> has_lost_answers{false};
std::atomic<int> served{0};
std::atomic<int> answers_lost{0};
std::atomic<int> repeats_dropped{0};
std::atomic<int> effects_repeated{0};
std::mutex runs_mutex;
std::map<std::string, double> ran_at_ms;

void set_linger_reset(int fd) {
  const linger at_once{.l_onoff = 1, .l_linger = 0};
  ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
}

bool send_all(int fd, const char* bytes, ssize_t count) {
  while (count > 0) {
    const ssize_t sent = ::send(fd, bytes, static_cast<std::size_t>(count), MSG_NOSIGNAL);
    if (sent <= 0) return false;
    bytes += sent;
    count -= sent;
  }
  return true;
}

/// The way between the sidecars and one endpoint. While it is cut, nothing passes, and connections stay open
/// and silent; new ones never come up, since the listener's queue is full. Afterwards what has been written
/// arrives, as by TCP's retransmission, unless its connection was reset meanwhile: the kernel of the sender
/// has dropped it then.
class CuttableLink {
 public:
  CuttableLink(int target_port, bool may_be_cut) : target_port_(target_port), may_be_cut_(may_be_cut) {
    listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    if (::bind(listener_, reinterpret_cast<sockaddr*>(&address), size) < 0 ||
        ::listen(listener_, backlog) < 0 ||
        ::getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size) < 0)
      std::_Exit(2);
    port_ = ntohs(address.sin_port);
    std::thread([this] { accept_all(); }).detach();
  }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

 private:
  static constexpr int backlog = 64;

  bool passes_nothing() const { return may_be_cut_ && is_cut; }

  void accept_all() {
    std::vector<int> fillers;
    for (;;) {
      if (passes_nothing()) {
        if (fillers.empty()) fillers = fill_queue();
        sleep_ms(1);
        continue;
      }
      if (!fillers.empty()) reset_queue();
      for (const int fd : fillers) ::close(fd);
      fillers.clear();
      pollfd request{.fd = listener_, .events = POLLIN, .revents = 0};
      if (::poll(&request, 1, 1) <= 0 || passes_nothing()) continue;
      const int near = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (near >= 0) std::thread([this, near] { serve(near); }).detach();
    }
  }

  /// Connections that nobody accepts, until the queue is full.
  std::vector<int> fill_queue() const {
    std::vector<int> fds;
    for (int i = 0; i < 2 * backlog; ++i) {
      const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
      sockaddr_in address{};
      address.sin_family = AF_INET;
      address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
      address.sin_port = htons(static_cast<std::uint16_t>(port_));
      static_cast<void>(::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address));
      fds.push_back(fd);
    }
    return fds;
  }

  /// Resets what came up before the queue was full: new connections are "reset when it is back".
  void reset_queue() const {
    for (int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC); fd >= 0;
         fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC)) {
      set_linger_reset(fd);
      ::close(fd);
    }
  }

  void serve(int near) const {
    const std::unique_ptr<Connection> far = connect_to(target_port_);
    if (!far) {
      set_linger_reset(near);
      ::close(near);
      return;
    }
    const int enabled = 1;
    ::setsockopt(near, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
    bool near_open = true;
    bool far_open = true;
    while (near_open || far_open) {
      if (passes_nothing()) {
        sleep_ms(1);
        continue;
      }
      pollfd ends[2] = {{.fd = near_open ? near : -1, .events = POLLIN, .revents = 0},
                        {.fd = far_open ? far->fd() : -1, .events = POLLIN, .revents = 0}};
      if (::poll(ends, 2, 1) <= 0 || passes_nothing()) continue;
      const bool is_reset =
          !pass(ends[0], near, far->fd(), near_open) || !pass(ends[1], far->fd(), near, far_open);
      if (!is_reset) continue;
      set_linger_reset(near);
      far->reset();
      break;
    }
    ::close(near);
  }

  /// Passes on what has arrived at one end. False if the connection was reset; what was not passed on is
  /// dropped.
  static bool pass(const pollfd& end, int from, int to, bool& open) {
    if (!open || end.revents == 0) return true;
    if (end.revents & POLLERR) return false;
    char bytes[65536];
    const ssize_t count = ::recv(from, bytes, sizeof bytes, 0);
    if (count < 0) return false;
    if (count > 0) return send_all(to, bytes, count);
    open = false;
    ::shutdown(to, SHUT_WR);
    return true;
  }

  int target_port_;
  bool may_be_cut_;
  int listener_ = -1;
  int port_ = 0;
};

/// All endpoints drop a repeat for the time of the settings, and half a second more.
void answer(const std::string& endpoint_id, Connection& connection, const Request& request) {
  static std::atomic<int> answers{0};
  const std::string id = request.header("x-call-id");
  {
    const std::lock_guard lock(runs_mutex);
    const auto [run, is_new] = ran_at_ms.emplace(id, now_ms());
    const double age_ms = now_ms() - run->second;
    if (is_new) {
      Record::line(endpoint_id + " runs " + id);
    } else if (age_ms <= remembered_ms) {
      ++repeats_dropped;
      Record::line(endpoint_id + " drops the repeat of " + id);
    } else {
      ++effects_repeated;
      Record::line("RUNS AGAIN: " + endpoint_id + " runs " + id + ", " +
                   std::to_string(static_cast<int>(age_ms)) + " ms after it ran first");
    }
  }
  sleep_ms(work_ms);
  if (has_lost_answers && ++answers % lost_every == 0) {
    ++answers_lost;
    Record::line("the answer to " + id + " is lost, its connection is reset");
    connection.reset();
    connection.shut_down();
    return;
  }
  connection.send(whole_answer(200, "done, " + id));
}

void run_client(const std::string& name, int port, double until_ms) {
  constexpr double pause_ms = 50;
  std::unique_ptr<Connection> connection;
  for (int i = 0; now_ms() < until_ms; ++i) {
    if (!connection) connection = connect_to(port);
    if (!connection) return;
    const std::string id = name + "-" + std::to_string(i);
    const std::string body = "the hand of " + id;
    Record::line("client sends " + id);
    connection->send(request_head("POST", "/hand-record", id, deadline_ms,
                                  "Content-Length: " + std::to_string(body.size()) + "\r\n") +
                     body);
    const Answer got = read_answer(*connection, now_ms() + 2 * deadline_ms);
    if (got.status == 200) ++served;
    Record::line("client " + id + ": " + std::to_string(got.status) + " " + got.ending);
    if (got.closes || got.ending != "whole") connection.reset();
    sleep_ms(pause_ms);
  }
}

int run_case(const std::string& case_folder) {
  Record::open(case_folder + "/record.txt");
  Agent agent;
  std::vector<std::unique_ptr<Endpoint>> endpoints;
  std::vector<std::unique_ptr<CuttableLink>> links;
  for (int i = 0; i < endpoint_count; ++i) {
    const std::string id = "s-" + std::to_string(i);
    endpoints.push_back(std::make_unique<Endpoint>(
        id, [id](Connection& connection, const Request& request) { answer(id, connection, request); }));
    const int port =
        std::atoi(endpoints.back()->address().substr(endpoints.back()->address().find(':') + 1).c_str());
    links.push_back(std::make_unique<CuttableLink>(port, i < cut_count));
    agent.add(id, links.back()->address(), "christchurch");
  }
  std::vector<std::unique_ptr<Sidecar>> sidecars;
  for (int i = 0; i < sidecar_count; ++i) {
    sidecars.push_back(std::make_unique<Sidecar>(
        "n" + std::to_string(i),
        settings({{"hand-record", "dedup", target_ms, deadline_ms, 9}}, "christchurch", 400),
        R"({"cores":1.0,"memory_mb":192,"sockets":1024})"));
    if (!sidecars.back()->start(agent.address(), agent.list(true, 0))) finish(2);
  }
  std::vector<std::thread> threads;
  const double started_at_ms = now_ms();
  const double until_ms = started_at_ms + before_ms + cut_ms + after_ms;
  has_lost_answers = has_trouble();
  for (int i = 0; i < sidecar_count * clients_per_sidecar; ++i) {
    const int port = sidecars[static_cast<std::size_t>(i % sidecar_count)]->port();
    threads.emplace_back(run_client, "c" + std::to_string(i), port, until_ms);
  }
  sleep_until(started_at_ms + before_ms);
  if (has_trouble()) {
    is_cut = true;
    Record::line("a fifth of the endpoints is cut off");
  }
  sleep_until(started_at_ms + before_ms + cut_ms);
  is_cut = false;
  Record::line("no endpoint is cut off");
  for (std::thread& thread : threads) thread.join();
  Record::line("200 answers " + std::to_string(served) + ", answers lost " + std::to_string(answers_lost) +
               ", repeats dropped " + std::to_string(repeats_dropped) +
               ", requests that had their effect twice " + std::to_string(effects_repeated));
  if (served < 500 || (has_trouble() && answers_lost == 0)) finish(2);
  finish(effects_repeated > 0 ? 1 : 0);
}

}  // namespace
}  // namespace review

int main(int, char** argv) { return review::run_case(argv[1]); }
