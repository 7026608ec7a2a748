// Case 7: an endpoint sends a long answer twice, the second copy some milliseconds late.
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cstdlib>
#include <deque>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "../rig-3/rig.h"

namespace {

using review::Message;
using review::now_ms;
using review::ReadEnd;
using review::record;
using review::Wire;

// koudmin-books: data centres 10 to 20 ms apart, lists are pushed.
constexpr const char* settings = R"({"balancers":3,"discovery":"automatic","zone":"ebene",
 "dcs":["ebene","port-louis","rose-belle"],"kinds":["fast"],"round":1000,"utilityPer":"request",
 "methods":[{"name":"ledger-read","effect":"retryable","latencyTarget":1000000,"deadline":3000000,
   "dedupWindow":5000000,"group":"all","overdueUtility":0.35,"streamed":false,"utility":1.0}],
 "bounds":{"cancelling":true,"connectTimeout":250000,"keepalive":5000000,"maxPicks":3,
  "maxRetryAfter":1500000,"mayTell":false,"probes":false,"retryAfter":true,"secondCopies":true},
 "callers":{"marksRetry":false},"charges":{},"reporting":{"how":"none","fields":[]},
 "rules":{"answerSlack":5000,"askWithin":10000000,"cold":8100000,"coldFrom":0.3,"drainGrace":400000,
  "fall":1500000,"overloadFactor":2.5},"parties":[]})";

constexpr double work_ms = 15;
constexpr double one_way_ms = 10;  // between the sidecar and the endpoint
constexpr double second_copy_ms = 8;
constexpr std::size_t least_long_bytes = 70000;  // over 64 KiB
constexpr double long_time_ms = 600000;

std::atomic<int> foreign{0};
std::atomic<int> copies{0};
std::atomic<int> whole{0};  // answers 200 that came whole

// Long answers are of different sizes.
std::string body_for(const std::string& id, bool is_long) {
  constexpr std::size_t step_bytes = 613;
  const std::size_t long_bytes = least_long_bytes + step_bytes * std::strtoul(id.c_str() + 1, nullptr, 10);
  std::string body = "answer to " + id + ";";
  while (is_long && body.size() < long_bytes) body += id + ";";
  return body;
}

// Long answers are written in pieces.
bool write_in_pieces(Wire& wire, const std::string& bytes) {
  constexpr std::size_t piece_bytes = 12000;
  constexpr double pause_ms = 1;
  for (std::size_t at = 0; at < bytes.size(); at += piece_bytes) {
    if (!wire.write(bytes.substr(at, piece_bytes))) return false;
    if (at + piece_bytes < bytes.size()) review::sleep_ms(pause_ms);
  }
  return true;
}

// The endpoint. A second copy follows only where nothing else has come on the connection.
void serve_endpoint(Wire& wire) {
  static std::atomic<int> last_connection{0};
  const std::string connection = " (connection " + std::to_string(++last_connection) + ")";
  Message request;
  while (wire.read(request, now_ms() + long_time_ms) == ReadEnd::message) {
    const std::string id = request.header("x-call-id");
    const bool is_long = request.path().find("/long") != std::string::npos;
    record(review::joined({"endpoint runs ", id, connection}));
    review::sleep_ms(work_ms);
    const std::string answer = review::response(200, body_for(id, is_long));
    if (!write_in_pieces(wire, answer)) return;
    if (!is_long || !review::trouble()) continue;
    review::sleep_ms(second_copy_ms);
    char byte = 0;
    if (wire.has_input() || ::recv(wire.fd(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) >= 0) continue;
    record("endpoint sends its answer to " + id + " once more");
    ++copies;
    if (!write_in_pieces(wire, answer)) return;
  }
}

// The way between: what is written at one end arrives at the other after one_way_ms.
struct Piece {
  double due_ms;
  std::string bytes;
};

void carry(int from, int to) {
  std::mutex mutex;
  std::deque<Piece> pieces;
  std::atomic<bool> ended{false};
  std::thread writer([&] {
    for (;;) {
      Piece piece{.due_ms = -1, .bytes = {}};
      {
        const std::lock_guard<std::mutex> lock(mutex);
        if (!pieces.empty()) {
          piece = std::move(pieces.front());
          pieces.pop_front();
        }
      }
      if (piece.due_ms < 0 && ended) break;
      if (piece.due_ms < 0) {
        review::sleep_ms(0.2);
        continue;
      }
      review::sleep_ms(piece.due_ms - now_ms());
      std::size_t sent = 0;
      while (sent < piece.bytes.size()) {
        const ssize_t count = ::send(to, piece.bytes.data() + sent, piece.bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) break;
        sent += static_cast<std::size_t>(count);
      }
    }
  });
  std::vector<char> buffer(65536);
  for (;;) {
    const ssize_t count = ::recv(from, buffer.data(), buffer.size(), 0);
    if (count <= 0) break;
    const std::lock_guard<std::mutex> lock(mutex);
    pieces.push_back({.due_ms = now_ms() + one_way_ms,
                      .bytes = std::string(buffer.data(), static_cast<std::size_t>(count))});
  }
  ended = true;
  writer.join();
  ::shutdown(to, SHUT_WR);
}

void serve_way(Wire& wire, std::uint16_t endpoint_port) {
  const Wire behind(review::connect_to(endpoint_port));
  std::thread back([&] { carry(behind.fd(), wire.fd()); });
  carry(wire.fd(), behind.fd());
  back.join();
}

// One client's calls, one after the other on one connection.
void call(Wire& wire, const std::string& id, const std::string& path, bool is_long) {
  constexpr int budget_ms = 3000;
  wire.write("GET /ledger-read" + path + " HTTP/1.1\r\nHost: app.svc\r\nX-Call-Id: " + id +
             "\r\nX-Call-Class: ledger-read\r\nX-Budget: " + std::to_string(budget_ms) + "m\r\n\r\n");
  Message answer;
  if (wire.read(answer, now_ms() + budget_ms) != ReadEnd::message) {
    record("client has no whole answer for " + id);
    return;
  }
  const bool is_foreign = answer.status() == 200 && answer.body != body_for(id, is_long);
  record("client has " + std::to_string(answer.status()) + " for " + id + ": " + answer.body.substr(0, 24) +
         " (" + std::to_string(answer.body.size()) + " bytes)" + (is_foreign ? "  FOREIGN" : ""));
  if (answer.status() == 200) ++whole;
  if (is_foreign) ++foreign;
}

int play(const std::string& folder) {
  constexpr double ready_within_ms = 30000;
  constexpr int rounds = 16;
  constexpr int short_calls = 12;
  auto* const endpoint = new review::Server(serve_endpoint);
  auto* const way = new review::Server([endpoint](Wire& wire) { serve_way(wire, endpoint->port()); });
  auto* const agent = new review::Agent({{.id = "s0", .address = way->address()}});
  review::Config config;
  config.port = review::free_port();
  config.discovery = agent->address();
  config.known = agent->list();
  config.settings = settings;
  review::Sidecar sidecar(folder, config.name, config.json());
  if (!sidecar.wait_until_ready(config.port, ready_within_ms)) return 2;
  Wire wire(review::connect_to(config.port));
  int number = 0;
  for (int i = 0; i < rounds; ++i) {
    for (int j = 0; j < short_calls; ++j) {
      const std::string id = "c" + std::to_string(++number);
      call(wire, id, "/" + id, false);
    }
    const std::string id = "c" + std::to_string(++number);
    call(wire, id, "/" + id + "/long", true);
  }
  record(std::to_string(number) + " calls, " + std::to_string(copies) + " second copies, " +
         std::to_string(foreign) + " foreign answers");
  if (foreign > 0) return 1;
  if (whole < number / 2) return 2;                 // the sidecar served too little for a verdict
  return review::trouble() && copies == 0 ? 2 : 0;  // 2: the disruption did not come
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 2) return 2;
  review::open_record(argv[1]);
  const int result = play(review::make_folder());
  record(result == 0 ? "HELD" : result == 1 ? "BROKEN" : "COULD NOT RUN");
  ::_exit(result);  // the stand-ins' threads still run
}
