// Case 1: a second copy of an answer comes some milliseconds late and is served to another client.
//
// clients -> sidecars -> links (4 ms each way) -> endpoints. An endpoint answers each request with its id.
// With trouble, one answer in fifty is followed 6 ms later by a second copy of itself, if no byte of another
// request has reached the endpoint on that connection by then.
#include <poll.h>
#include <sys/socket.h>

#include <deque>
#include <iostream>
#include <memory>
#include <random>

#include "../lab/lab.h"

using namespace review;  // NOLINT(google-build-using-namespace): one program

namespace {

constexpr int sidecar_count = 4;
constexpr int endpoint_count = 4;
constexpr int clients_per_sidecar = 7;
constexpr double link_delay_ms = 4;
constexpr double second_copy_after_ms = 6;
constexpr int answers_per_second_copy = 50;
constexpr double run_ms = 12000;
constexpr int budget_ms = 2500;

constexpr const char* settings = R"({"methods":[{"name":"place-hold","effect":"fragile","deadline":2500000,
"latencyTarget":1000000,"utility":1.0,"overdueUtility":0.0,"group":"all","dedupWindow":5000000}],
"bounds":{"maxPicks":6,"cancelling":true,"probes":true,"retryAfter":true,"maxRetryAfter":2000000,
"keepalive":30000000,"connectTimeout":250000,"mayTell":false,"secondCopies":false},
"rules":{"drainGrace":1000000,"coldFrom":0.33,"cold":8000000,"overloadFactor":3.0,"fall":2000000,
"askWithin":10000000,"answerSlack":5000},"reporting":{"how":"none","fields":[]},"discovery":"automatic",
"balancers":4,"round":1000,"zone":"b","callers":{"marksRetry":true},
"parties":[{"name":"piarco-airport","portion":1.0,"allowancePerS":2000.0}]})";

struct Totals {
  std::atomic<int> sent = 0;
  std::atomic<int> served = 0;
  std::atomic<int> refused = 0;
  std::atomic<int> failed = 0;
  std::atomic<int> second_copies = 0;
  std::atomic<int> second_copies_not_sent = 0;
  std::atomic<int> foreign = 0;
};

void serve_requests(Connection& connection, Totals& totals, Record& record) {
  thread_local std::mt19937 random(std::random_device{}());
  std::uniform_real_distribution<double> work_ms(5, 25);
  while (const auto request = read_message(connection, 60000)) {
    const std::string id = request->header("x-call-id");
    sleep_ms(work_ms(random));
    const std::string answer = ok_answer("made for " + id);
    if (!connection.write(answer, 1000)) return;
    if (!has_trouble() || random() % answers_per_second_copy != 0) continue;
    const double copy_at_ms = now_ms() + second_copy_after_ms;
    // A byte of another request would mean that something waits on this connection: then no copy is sent.
    bool something_waits = !connection.input.empty();
    while (!something_waits && now_ms() < copy_at_ms) {
      pollfd input{.fd = connection.fd(), .events = POLLIN, .revents = 0};
      something_waits = ::poll(&input, 1, 1) > 0;
    }
    if (something_waits) {
      ++totals.second_copies_not_sent;
      continue;
    }
    ++totals.second_copies;
    record.line("endpoint: second copy of the answer to " + id);
    if (!connection.write(answer, 1000)) return;
  }
}

/// Passes bytes on after the delay of the link, until the end of the stream.
void forward(const Connection& from, Connection& to) {
  struct Piece {
    double due_ms;
    std::string bytes;
  };
  std::deque<Piece> under_way;
  bool ended = false;
  while (!ended || !under_way.empty()) {
    const double wait_ms = under_way.empty() ? 1000 : under_way.front().due_ms - now_ms();
    if (ended) {
      sleep_ms(wait_ms);
    } else {
      pollfd input{.fd = from.fd(), .events = POLLIN, .revents = 0};
      if (::poll(&input, 1, wait_ms > 0 ? static_cast<int>(wait_ms) + 1 : 0) > 0) {
        std::string buffer(65536, '\0');
        const ssize_t count = ::recv(from.fd(), buffer.data(), buffer.size(), 0);
        ended = count <= 0;
        buffer.resize(ended ? 0 : static_cast<std::size_t>(count));
        under_way.push_back({now_ms() + link_delay_ms, std::move(buffer)});
      }
    }
    while (!under_way.empty() && under_way.front().due_ms <= now_ms()) {
      const std::string bytes = std::move(under_way.front().bytes);
      under_way.pop_front();
      if (bytes.empty() || !to.write(bytes, 1000)) {
        ::shutdown(to.fd(), SHUT_WR);
        return;
      }
    }
  }
}

void run_link(Connection& near_side, const std::string& endpoint) {
  const int fd = connect_to(endpoint);
  if (fd < 0) return;
  Connection far_side(fd);
  std::thread back([&] { forward(far_side, near_side); });
  forward(near_side, far_side);
  back.join();
}

/// A usual client: one request at a time on a kept connection, the next one at once.
void run_client(const std::string& sidecar, const std::string& name, double end_ms, Totals& totals,
                Record& record) {
  std::unique_ptr<Connection> connection;
  for (int number = 0; now_ms() < end_ms; ++number) {
    if (!connection) {
      const int fd = connect_to(sidecar);
      if (fd < 0) return;
      connection = std::make_unique<Connection>(fd);
    }
    const std::string id = name + "-" + std::to_string(number);
    ++totals.sent;
    std::optional<Message> answer;
    if (connection->write(encode({.method = "place-hold",
                                  .id = id,
                                  .budget_ms = budget_ms,
                                  .is_post = true,
                                  .tenant = "piarco-airport"}),
                          1000))
      answer = read_message(*connection, budget_ms + 1000);
    if (!answer) {
      ++totals.failed;
      connection.reset();
      continue;
    }
    const std::string status = answer->start_line.substr(9, 3);
    if (status == "200") {
      ++totals.served;
      if (answer->body != "made for " + id) {
        ++totals.foreign;
        record.line("client: " + id + " got 200 with the body \"" + answer->body + "\"");
      }
    } else {
      ++(status == "503" || status == "429" ? totals.refused : totals.failed);
      sleep_ms(50);
    }
    if (answer->header("connection") == "close") connection.reset();
  }
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) give_up("usage: case RUN_COMMAND RECORD");
  raise_descriptor_limit();
  Record record(argv[2]);
  Totals totals;
  std::vector<std::unique_ptr<Server>> servers;
  std::map<std::string, std::string> endpoints;
  for (int i = 0; i < endpoint_count; ++i) {
    servers.push_back(std::make_unique<Server>([&](Connection& c) { serve_requests(c, totals, record); }));
    const std::string endpoint = servers.back()->address();
    servers.push_back(std::make_unique<Server>([endpoint](Connection& c) { run_link(c, endpoint); }));
    endpoints["s-" + std::to_string(i)] = servers.back()->address();
  }
  const Discovery discovery(endpoints);
  std::vector<std::unique_ptr<Sidecar>> sidecars;
  sidecars.reserve(sidecar_count);
  for (int i = 0; i < sidecar_count; ++i)
    sidecars.push_back(std::make_unique<Sidecar>(
        argv[1], discovery, Sidecar::Options{.name = "n" + std::to_string(i), .settings = settings}));
  for (const auto& sidecar : sidecars) sidecar->wait_until_ready();
  record.line(std::string("all sidecars are ready; second copies: ") + (has_trouble() ? "yes" : "no"));
  const double end_ms = now_ms() + run_ms;
  std::vector<std::thread> clients;
  clients.reserve(std::size_t{sidecar_count} * clients_per_sidecar);
  for (int i = 0; i < sidecar_count * clients_per_sidecar; ++i)
    clients.emplace_back([&, i] {
      run_client(sidecars[i % sidecar_count]->address(), "c" + std::to_string(i), end_ms, totals, record);
    });
  for (std::thread& client : clients) client.join();
  bool crashed = false;
  for (const auto& sidecar : sidecars) crashed |= sidecar->has_exited();
  sidecars.clear();
  record.line("sent " + std::to_string(totals.sent) + ", served " + std::to_string(totals.served) +
              ", refused " + std::to_string(totals.refused) + ", failed " + std::to_string(totals.failed) +
              ", second copies " + std::to_string(totals.second_copies) +
              " (not sent, because something waited: " + std::to_string(totals.second_copies_not_sent) + ")");
  record.line("requests served with the answer to another request: " + std::to_string(totals.foreign));
  if (crashed || totals.served < 1000) give_up("the fleet did not serve");
  if (has_trouble() && totals.second_copies < 20) give_up("too few second copies were sent");
  std::cout << (totals.foreign > 0 ? "rule broken" : "rule held") << ": " << totals.foreign
            << " foreign answers\n"
            << std::flush;
  std::_Exit(totals.foreign > 0 ? 1 : 0);
}
