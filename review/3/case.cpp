// Case 3: a long request whose endpoint hangs gets its final answer seconds after its time.
//
// One of five endpoints hangs, for about 20 s: its process stops to read, while its machine goes on accepting
// connections and bytes until its buffers are full. Clients send print orders with long bodies. A request
// counts once its last byte is written; then its final answer is owed within its budget and half a second.
#include <iostream>
#include <memory>

#include "../lab/lab.h"

using namespace review;  // NOLINT(google-build-using-namespace): one program

namespace {

constexpr int endpoint_count = 5;
constexpr int client_count = 6;
constexpr int budget_ms = 1100;
constexpr double slack_ms = 500;      // "up to half a second after its time"
constexpr double measuring_ms = 150;  // for a busy machine
constexpr double longest_wait_ms = 8000;
constexpr double run_ms = 14000;
constexpr std::size_t least_body_bytes = 4500000;
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
"balancers":4,"round":1000,"zone":"a","callers":{"marksRetry":false}})";

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

void hang(Connection&) {
  sleep_ms(2 * run_ms + longest_wait_ms);  // reads nothing and answers nothing
}

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
  Record record(argv[2]);
  Totals totals;
  std::vector<std::unique_ptr<Server>> servers;
  std::map<std::string, std::string> endpoints;
  for (int i = 0; i < endpoint_count; ++i) {
    const bool hangs = i == 0 && has_trouble();
    servers.push_back(std::make_unique<Server>(hangs ? hang : serve_requests));
    endpoints["s-" + std::to_string(i)] = servers.back()->address();
  }
  const Discovery discovery(endpoints);
  Sidecar sidecar(argv[1], discovery, {.settings = settings, .memory_mb = 64, .sockets = 512});
  sidecar.wait_until_ready();
  record.line(std::string("the sidecar is ready; one endpoint hangs: ") + (has_trouble() ? "yes" : "no"));
  const double end_ms = now_ms() + run_ms;
  std::vector<std::thread> clients;
  clients.reserve(client_count);
  for (int i = 0; i < client_count; ++i)
    clients.emplace_back([&, i] {
      for (int k = 0; now_ms() < end_ms; ++k) {
        const std::size_t bytes = least_body_bytes + (i + k) % body_sizes * body_step_bytes;
        send_order(sidecar.address(), "c" + std::to_string(i) + "-" + std::to_string(k), bytes, totals,
                   record);
        sleep_ms(500);
      }
    });
  for (std::thread& client : clients) client.join();
  const bool crashed = sidecar.has_exited();
  sidecar.stop();
  record.line("taken " + std::to_string(totals.taken) + ", served " + std::to_string(totals.served) +
              ", answered in time " + std::to_string(totals.in_time) + ", lost " +
              std::to_string(totals.lost) + ", not taken " + std::to_string(totals.not_taken));
  if (crashed || totals.served < 10) give_up("the sidecar did not serve");
  std::cout << (totals.lost > 0 ? "rule broken" : "rule held") << ": " << totals.lost << " of "
            << totals.taken << " requests without a final answer in time\n"
            << std::flush;
  std::_Exit(totals.lost > 0 ? 1 : 0);
}
