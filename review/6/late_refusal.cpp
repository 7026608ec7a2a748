// Endpoints turn some requests away, and send some of these answers twice, the second copy some milliseconds
// late. A request that must not run twice may run once.
#include <atomic>
#include <map>
#include <memory>
#include <mutex>

#include "../rig-2/stand_ins.h"

namespace review {
namespace {

constexpr double link_delay_ms = 5;  // one way, between two zones
constexpr double work_ms = 15;
constexpr double copy_late_ms = 8;
constexpr int copy_every = 20;  // answers that turn a request away
constexpr int sidecar_count = 8;
constexpr int endpoint_count = 4;
constexpr int clients_per_sidecar = 14;
constexpr std::size_t room = 18;  // requests that an endpoint holds; it turns away what comes beyond them
constexpr double run_ms = 3000;
constexpr int fleets = 3;  // one after another, each of new sidecars

std::atomic<int> copies_sent{0};
std::atomic<int> turned_away{0};
std::atomic<int> whole_answers{0};
std::atomic<int> repeated_runs{0};
std::mutex runs_mutex;
std::map<std::string, int> runs;

/// One endpoint's requests in hand.
struct Room {
  std::atomic<std::size_t> taken{0};
};

void note_run(const std::string& id, const std::string& endpoint_id) {
  const std::lock_guard lock(runs_mutex);
  const int count = ++runs[id];
  Record::line((count > 1 ? "RUNS AGAIN: " : "") + endpoint_id + " runs " + id);
  if (count > 1) ++repeated_runs;
}

void answer(Room& held, const std::string& endpoint_id, Connection& connection, const Request& request) {
  const std::string id = request.header("x-call-id");
  const bool is_full = ++held.taken > room;
  bool is_repeated = false;
  std::string bytes = whole_answer(503, "", "X-Rejected: 1\r\n");
  if (is_full) {
    --held.taken;
    is_repeated = ++turned_away % copy_every == 0 && has_trouble();
    Record::line(endpoint_id + " turns away " + id);
  } else {
    note_run(id, endpoint_id);
    sleep_ms(work_ms);
    bytes = whole_answer(200, "held, " + id);
    --held.taken;
  }
  if (!connection.send(bytes) || !is_repeated) return;
  sleep_ms(copy_late_ms);
  if (connection.has_input()) return;  // something waits on the connection: no copy
  ++copies_sent;
  Record::line(endpoint_id + " repeats its answer to " + id + ", nothing else waits on the connection");
  connection.send(bytes);
}

void run_client(const std::string& name, int port, double until_ms) {
  std::unique_ptr<Connection> connection;
  for (int i = 0; now_ms() < until_ms; ++i) {
    if (!connection) connection = connect_to(port);
    if (!connection) return;
    const std::string id = name + "-" + std::to_string(i);
    const std::string body = "a car for " + id;
    connection->send(request_head("POST", "/place-hold", id, 5000,
                                  "Content-Length: " + std::to_string(body.size()) + "\r\n") +
                     body);
    const Answer got = read_answer(*connection, now_ms() + 7000);
    if (got.status == 200) ++whole_answers;
    Record::line("client " + id + ": " + std::to_string(got.status) + " " + got.ending + " " + got.body);
    if (got.closes || got.ending != "whole") connection.reset();
    if (got.status != 200) sleep_ms(20);
  }
}

/// Starts the sidecars, plays their clients, and ends the sidecars.
void run_fleet(int fleet, Agent& agent) {
  std::vector<std::unique_ptr<Sidecar>> sidecars;
  for (int i = 0; i < sidecar_count; ++i) {
    sidecars.push_back(std::make_unique<Sidecar>(
        "n" + std::to_string(i), settings({{"place-hold", "fragile", 1000, 5000, 1}}, "arima", 1000),
        R"({"cores":1.0,"memory_mb":192,"sockets":1024})"));
    if (!sidecars.back()->start(agent.address(), agent.list(true, 0))) finish(2);
  }
  std::vector<std::thread> threads;
  threads.reserve(std::size_t{sidecar_count} * clients_per_sidecar);
  const double until_ms = now_ms() + run_ms;
  for (int i = 0; i < sidecar_count * clients_per_sidecar; ++i) {
    const int port = sidecars[static_cast<std::size_t>(i % sidecar_count)]->port();
    threads.emplace_back(run_client, "f" + std::to_string(fleet) + "-c" + std::to_string(i), port, until_ms);
  }
  for (std::thread& thread : threads) thread.join();
}

int run_case(const std::string& case_folder) {
  Record::open(case_folder + "/record.txt");
  Agent agent;
  std::vector<std::unique_ptr<Room>> rooms;
  std::vector<std::unique_ptr<Endpoint>> endpoints;
  std::vector<std::unique_ptr<Link>> links;
  for (int i = 0; i < endpoint_count; ++i) {
    const std::string id = "s-" + std::to_string(i);
    rooms.push_back(std::make_unique<Room>());
    endpoints.push_back(std::make_unique<Endpoint>(
        id, [&held = *rooms.back(), id](Connection& connection, const Request& request) {
          answer(held, id, connection, request);
        }));
    links.push_back(std::make_unique<Link>(endpoints.back()->address(), link_delay_ms));
    agent.add(id, links.back()->address(), i % 2 == 0 ? "chaguanas" : "san-fernando");
  }
  for (int fleet = 0; fleet < fleets; ++fleet) run_fleet(fleet, agent);
  Record::line("200 answers " + std::to_string(whole_answers) + ", turned away by endpoints " +
               std::to_string(turned_away) + ", copies " + std::to_string(copies_sent) +
               ", requests that ran again " + std::to_string(repeated_runs));
  if (whole_answers < 500 || turned_away == 0 || (has_trouble() && copies_sent == 0)) finish(2);
  finish(repeated_runs > 0 ? 1 : 0);
}

}  // namespace
}  // namespace review

int main(int, char** argv) { return review::run_case(argv[1]); }
