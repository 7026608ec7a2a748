// Case 3: a long request whose endpoint vanishes gets its final answer seconds after its time.
//
// One of five endpoints vanishes for 6 s: open connections to it stay open and silent, new ones never come
// up, and what was under way goes on when it is back. Clients send print orders with long bodies all the
// time. A request counts once its last byte is written; then its final answer is owed within its budget and
// half a second.
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <iostream>
#include <memory>

#include "../lab/lab.h"

using namespace review;  // NOLINT(google-build-using-namespace): one program

namespace {

constexpr int endpoint_count = 5;
constexpr int client_count = 8;
constexpr int budget_ms = 1100;
constexpr double slack_ms = 500;      // "up to half a second after its time"
constexpr double measuring_ms = 150;  // for a busy machine
constexpr double longest_wait_ms = 8000;
constexpr double warm_up_ms = 2000;
constexpr double cut_ms = 6000;
constexpr double run_ms = 9000;
constexpr std::size_t least_body_bytes = 6000000;
constexpr std::size_t body_step_bytes = 500000;
constexpr int body_sizes = 6;

constexpr const char* settings = R"({"methods":[{"name":"tile-read","effect":"retryable","deadline":1100000,
"latencyTarget":430000,"utility":3.0,"overdueUtility":0.0,"group":"all","dedupWindow":5000000},
{"name":"print-order","effect":"fragile","deadline":1100000,
"latencyTarget":430000,"utility":9.0,"overdueUtility":0.0,"group":"all","dedupWindow":5000000}],
"bounds":{"maxPicks":6,"cancelling":true,"probes":false,"retryAfter":true,"maxRetryAfter":1500000,
"keepalive":5000000,"connectTimeout":250000,"mayTell":false,"secondCopies":true},
"rules":{"drainGrace":500000,"coldFrom":0.12,"cold":22000000,"overloadFactor":3.0,"fall":1500000,
"askWithin":10000000,"answerSlack":5000},"reporting":{"how":"none","fields":[]},"discovery":"automatic",
"balancers":4,"round":1000,"zone":"a","callers":{"marksRetry":false},
"parties":[{"name":"spindl","portion":1.0,"allowancePerS":500.0}]})";

struct Totals {
  std::atomic<int> taken = 0;
  std::atomic<int> in_time = 0;
  std::atomic<int> lost = 0;
  std::atomic<int> served = 0;
  std::atomic<int> not_taken = 0;
};

void serve_requests(Connection& connection) {
  while (const auto request = read_message(connection, 60000)) {
    sleep_ms(50);
    if (!connection.write(ok_answer("made for " + request->header("x-call-id")), 1000)) return;
  }
}

/// The way to one endpoint. While it is cut, nothing passes in either direction.
class Link {
 public:
  explicit Link(std::string endpoint) : endpoint_(std::move(endpoint)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    // The kernel goes on acknowledging for a link that is cut, which a machine that is gone would not do: so
    // its receive buffer is kept small.
    const int receive_buffer_bytes = 65536;
    ::setsockopt(listener_, SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes, sizeof receive_buffer_bytes);
    if (listener_ < 0 || ::bind(listener_, reinterpret_cast<sockaddr*>(&address), size) < 0 ||
        ::getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size) < 0 ||
        ::listen(listener_, SOMAXCONN) < 0)
      give_up("no listener for a link");
    address_ = address;
    std::thread([this] { accept_connections(); }).detach();
  }

  std::string address() const { return "127.0.0.1:" + std::to_string(ntohs(address_.sin_port)); }
  int open_connections() const { return open_; }

  void cut() {
    is_cut_ = true;
    while (!is_accepting_stopped_) sleep_ms(1);
    // A full backlog drops the first packet of each new connection, as a machine that is gone would.
    ::listen(listener_, 0);
    for (int i = 0; i < 4; ++i) {
      fillers_.push_back(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
      const int result =
          ::connect(fillers_.back(), reinterpret_cast<const sockaddr*>(&address_), sizeof address_);
      if (result < 0 && errno != EINPROGRESS) give_up("no filler for the backlog of a link");
    }
  }

  void heal() {
    for (const int filler : fillers_) ::close(filler);
    ::listen(listener_, SOMAXCONN);
    is_cut_ = false;
  }

 private:
  void accept_connections() {
    for (;;) {
      is_accepting_stopped_ = is_cut_.load();
      pollfd input{.fd = listener_, .events = POLLIN, .revents = 0};
      if (is_accepting_stopped_ || ::poll(&input, 1, 5) <= 0) {
        if (is_accepting_stopped_) sleep_ms(5);
        continue;
      }
      const int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) continue;
      std::thread([this, fd] { pass(fd); }).detach();
    }
  }

  void pass(int fd) {
    Connection near_side(fd);
    const int far_fd = connect_to(endpoint_);
    if (far_fd < 0) return;
    Connection far_side(far_fd);
    ++open_;
    std::thread back([&] { forward(far_side, near_side); });
    forward(near_side, far_side);
    back.join();
    --open_;
  }

  void forward(Connection& from, Connection& to) {
    for (;;) {
      pollfd input{.fd = from.fd(), .events = POLLIN, .revents = 0};
      if (is_cut_ || ::poll(&input, 1, 5) <= 0) {
        if (is_cut_) sleep_ms(5);
        continue;
      }
      const bool ended = !from.read(0);
      while (is_cut_) sleep_ms(5);
      if (ended || !to.write(from.input, 60000)) break;
      from.input.clear();
    }
    ::shutdown(to.fd(), SHUT_WR);
  }

  std::string endpoint_;
  sockaddr_in address_{};
  int listener_ = -1;
  std::atomic<bool> is_cut_ = false;
  std::atomic<bool> is_accepting_stopped_ = false;
  std::atomic<int> open_ = 0;
  std::vector<int> fillers_;
};

void send_order(const std::string& sidecar, const std::string& id, std::size_t body_bytes, Totals& totals,
                Record& record) {
  const int fd = connect_to(sidecar);
  if (fd < 0) return;
  Connection connection(fd);
  const std::string what = id + " with " + std::to_string(body_bytes) + " bytes";
  const std::string request = encode({.method = "print-order",
                                      .id = id,
                                      .budget_ms = budget_ms,
                                      .is_post = true,
                                      .body = std::string(body_bytes, 'x')});
  const double started_ms = now_ms();
  if (!connection.write(request, budget_ms)) {
    ++totals.not_taken;
    record.line(what + ": last byte not written within the budget, does not count");
    return;
  }
  const double written_ms = now_ms();
  ++totals.taken;
  const auto answer = read_message(connection, longest_wait_ms);
  const double waited_ms = now_ms() - written_ms;
  const bool in_time = answer && waited_ms <= budget_ms + slack_ms + measuring_ms;
  ++(in_time ? totals.in_time : totals.lost);
  if (answer && answer->start_line.find(" 200") != std::string::npos) ++totals.served;
  record.line(what + ": written in " + std::to_string(written_ms - started_ms) + " ms, \"" +
              (answer ? answer->start_line : "no answer") + "\" " + std::to_string(waited_ms) +
              " ms after the last byte" + (in_time ? "" : ": LOST"));
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) give_up("usage: case RUN_COMMAND RECORD");
  raise_descriptor_limit();
  Record record(argv[2]);
  Totals totals;
  std::vector<std::unique_ptr<Server>> servers;
  std::vector<std::unique_ptr<Link>> links;
  std::map<std::string, std::string> endpoints;
  for (int i = 0; i < endpoint_count; ++i) {
    servers.push_back(std::make_unique<Server>(serve_requests));
    links.push_back(std::make_unique<Link>(servers.back()->address()));
    endpoints["s-" + std::to_string(i)] = links.back()->address();
  }
  const Discovery discovery(endpoints);
  Sidecar sidecar(argv[1], discovery, {.settings = settings, .memory_mb = 64, .sockets = 512});
  sidecar.wait_until_ready();
  record.line(std::string("the sidecar is ready; one endpoint will vanish: ") +
              (has_trouble() ? "yes" : "no"));
  const double end_ms = now_ms() + run_ms;
  std::vector<std::thread> clients;
  clients.reserve(client_count);
  for (int i = 0; i < client_count; ++i)
    clients.emplace_back([&, i] {
      for (int k = 0; now_ms() < end_ms; ++k) {
        const std::size_t bytes = least_body_bytes + (i + k) % body_sizes * body_step_bytes;
        send_order(sidecar.address(), "c" + std::to_string(i) + "-" + std::to_string(k), bytes, totals,
                   record);
        sleep_ms(20);
      }
    });
  sleep_ms(warm_up_ms);
  int open_connections = 0;
  if (has_trouble()) {
    open_connections = links[0]->open_connections();
    links[0]->cut();
    record.line("s-0 has vanished; connections open to it: " + std::to_string(open_connections));
    sleep_ms(cut_ms);
    links[0]->heal();
    record.line("s-0 is back");
  }
  for (std::thread& client : clients) client.join();
  const bool crashed = sidecar.has_exited();
  sidecar.stop();
  record.line("taken " + std::to_string(totals.taken) + ", served " + std::to_string(totals.served) +
              ", answered in time " + std::to_string(totals.in_time) + ", lost " +
              std::to_string(totals.lost) + ", not taken " + std::to_string(totals.not_taken));
  if (crashed || totals.served < 10) give_up("the sidecar did not serve");
  if (has_trouble() && open_connections == 0)
    give_up("no connection to the endpoint was open when it vanished");
  std::cout << (totals.lost > 0 ? "rule broken" : "rule held") << ": " << totals.lost << " of "
            << totals.taken << " requests without a final answer in time\n"
            << std::flush;
  std::_Exit(totals.lost > 0 ? 1 : 0);
}
