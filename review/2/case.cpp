// Case 2: half-written requests make the sidecar exceed its memory limit, and the platform kills it.
//
// Usual clients send small requests all the time. With trouble, other clients connect, send a request's head
// and all but the end of a body of 64 KiB, stay, and read what they are sent. The platform reads the
// sidecar's resident memory every few milliseconds and kills it once that is over the limit that the config
// tells.
#include <poll.h>

#include <algorithm>
#include <iostream>
#include <memory>

#include "../lab/lab.h"

using namespace review;  // NOLINT(google-build-using-namespace): one program

namespace {

constexpr double memory_limit_mb = 56;
constexpr int descriptor_limit = 640;
constexpr int half_written_count = 1000;
constexpr double arrival_ms = 1000;  // all of them come within this time
constexpr std::size_t body_bytes = 65536;
constexpr std::size_t missing_bytes = 500;
constexpr int usual_clients = 12;
constexpr double work_ms = 120;
constexpr double warm_up_ms = 2000;
constexpr double run_ms = 7000;

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
  std::atomic<int> answered = 0;
  std::atomic<int> not_answered = 0;
  std::atomic<int> half_written = 0;
  std::atomic<int> turned_away = 0;
};

void serve_requests(Connection& connection) {
  while (const auto request = read_message(connection, 60000)) {
    sleep_ms(work_ms);
    if (!connection.write(ok_answer("made for " + request->header("x-call-id")), 1000)) return;
  }
}

/// Counts a request that was written whole and whose connection ended, or stayed silent, with no whole
/// answer.
void run_usual_client(const std::string& sidecar, int number, double end_ms, Totals& totals, Record& record) {
  std::unique_ptr<Connection> connection;
  for (int k = 0; now_ms() < end_ms; ++k) {
    if (!connection) {
      const int fd = connect_to(sidecar);
      if (fd < 0) {
        sleep_ms(20);
        continue;
      }
      connection = std::make_unique<Connection>(fd);
    }
    const std::string id = "u" + std::to_string(number) + "-" + std::to_string(k);
    const bool is_order = k % 4 == 0;
    const Request request{.method = is_order ? "print-order" : "tile-read", .id = id, .is_post = is_order};
    if (!connection->write(encode(request), 1000)) {
      connection.reset();
      continue;
    }
    const auto answer = read_message(*connection, 1100 + 500 + 50);
    ++(answer ? totals.answered : totals.not_answered);
    if (!answer) record.line("client: " + id + " was written whole and got no answer");
    if (!answer || answer->header("connection") == "close") connection.reset();
    sleep_ms(20);
  }
}

/// Reads what the half-written requests are sent, and closes the connections that the sidecar has ended.
void read_answers(std::vector<std::unique_ptr<Connection>>& kept) {
  std::erase_if(kept, [](const std::unique_ptr<Connection>& connection) {
    pollfd input{.fd = connection->fd(), .events = POLLIN, .revents = 0};
    return ::poll(&input, 1, 0) > 0 && !connection->read(0);
  });
}

void write_half_requests(const std::string& sidecar, double end_ms, Totals& totals, Record& record) {
  std::vector<std::unique_ptr<Connection>> kept;
  const double started_ms = now_ms();
  for (int i = 0; i < half_written_count; ++i) {
    sleep_ms(started_ms + arrival_ms * i / half_written_count - now_ms());
    if (i % 50 == 0) read_answers(kept);
    const int fd = connect_to(sidecar);
    if (fd < 0) {
      ++totals.turned_away;
      continue;
    }
    kept.push_back(std::make_unique<Connection>(fd));
    const std::string request = encode({.method = "print-order",
                                        .id = "h" + std::to_string(i),
                                        .is_post = true,
                                        .body = std::string(body_bytes, 'x')});
    const bool written = kept.back()->write(request.substr(0, request.size() - missing_bytes), 200);
    ++(written ? totals.half_written : totals.turned_away);
  }
  record.line("half-written requests end: " + std::to_string(totals.half_written) + " written, " +
              std::to_string(totals.turned_away) + " turned away");
  for (; now_ms() < end_ms; sleep_ms(20)) read_answers(kept);
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) give_up("usage: case RUN_COMMAND RECORD");
  raise_descriptor_limit();
  Record record(argv[2]);
  Totals totals;
  std::vector<std::unique_ptr<Server>> servers;
  std::map<std::string, std::string> endpoints;
  for (int i = 0; i < 4; ++i) {
    servers.push_back(std::make_unique<Server>(serve_requests));
    endpoints["s-" + std::to_string(i)] = servers.back()->address();
  }
  const Discovery discovery(endpoints);
  Sidecar sidecar(argv[1], discovery,
                  {.settings = settings, .memory_mb = memory_limit_mb, .sockets = descriptor_limit});
  sidecar.wait_until_ready();
  record.line("the sidecar is ready and holds " + std::to_string(sidecar.resident_mb()) + " MB");
  const double end_ms = now_ms() + run_ms;
  std::vector<std::thread> clients;
  clients.reserve(usual_clients);
  for (int i = 0; i < usual_clients; ++i)
    clients.emplace_back([&, i] { run_usual_client(sidecar.address(), i, end_ms, totals, record); });
  std::thread others([&] {
    sleep_ms(warm_up_ms);
    if (!has_trouble()) return;
    record.line("half-written requests begin");
    write_half_requests(sidecar.address(), end_ms, totals, record);
  });
  double peak_mb = 0;
  bool killed = false;
  bool ended_by_itself = false;
  while (now_ms() < end_ms) {
    const double resident_mb = sidecar.resident_mb();
    peak_mb = std::max(peak_mb, resident_mb);
    if (!killed && resident_mb > memory_limit_mb) {
      sidecar.kill_process();
      killed = true;
      record.line("platform: " + std::to_string(resident_mb) + " MB, over the limit of " +
                  std::to_string(memory_limit_mb) + ": killed; half-written so far " +
                  std::to_string(totals.half_written));
    }
    if (!killed && !ended_by_itself && sidecar.has_exited()) {
      ended_by_itself = true;
      record.line("the sidecar has ended by itself");
    }
    sleep_ms(2);
  }
  for (std::thread& client : clients) client.join();
  others.join();
  sidecar.stop();
  record.line("peak " + std::to_string(peak_mb) + " MB, answered " + std::to_string(totals.answered) +
              ", written whole and not answered " + std::to_string(totals.not_answered));
  if (ended_by_itself) give_up("the sidecar ended in another way");
  if (has_trouble() && totals.half_written + totals.turned_away < half_written_count)
    give_up("too few half-written requests were tried");
  const bool broken = killed;
  if (totals.answered < 50) give_up("the sidecar did not serve");
  std::cout << (broken ? "rule broken" : "rule held") << ": peak " << peak_mb << " MB of " << memory_limit_mb
            << ", requests lost " << totals.not_answered << "\n"
            << std::flush;
  std::_Exit(broken ? 1 : 0);
}
