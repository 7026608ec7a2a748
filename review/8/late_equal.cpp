// Endpoints send some of their answers twice, the second copy some milliseconds late. All reads of a class
// have the same target and no body; each answer names the request that it was made for.
#include <atomic>
#include <memory>
#include <random>

#include "../rig-2/stand_ins.h"

namespace review {
namespace {

constexpr double link_delay_ms = 10;  // one way, between two data centres
constexpr double least_work_ms = 80;
constexpr double most_work_ms = 120;
constexpr double copy_late_ms = 8;
constexpr int copy_every = 40;  // answers
constexpr int sidecar_count = 16;
constexpr int endpoint_count = 9;
constexpr int clients_per_sidecar = 18;
constexpr double run_ms = 10000;
constexpr int deadline_ms = 3000;

std::atomic<int> copies_sent{0};
std::atomic<int> own_answers{0};
std::atomic<int> foreign_answers{0};

std::string body_for(const std::string& id) { return "made for " + id; }

void answer(const std::string& endpoint_id, Connection& connection, const Request& request) {
  static std::atomic<int> answers{0};
  thread_local std::mt19937 random(std::random_device{}());
  const std::string id = request.header("x-call-id");
  sleep_ms(std::uniform_real_distribution<double>(least_work_ms, most_work_ms)(random));
  Record::line(endpoint_id + " runs and answers " + id);
  const std::string bytes = whole_answer(200, body_for(id));
  if (!connection.send(bytes) || ++answers % copy_every != 0 || !has_trouble()) return;
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
    connection->send(request_head("GET", "/ledger-read", id, deadline_ms, ""));
    const Answer got = read_answer(*connection, now_ms() + deadline_ms + 1000);
    const bool is_served = got.status == 200 && got.ending == "whole";
    const bool is_foreign = is_served && got.body != body_for(id);
    if (is_served) ++(is_foreign ? foreign_answers : own_answers);
    Record::line(std::string(is_foreign ? "FOREIGN: " : "") + "client " + id + ": " +
                 std::to_string(got.status) + " " + got.ending + " " + got.body);
    if (got.closes || got.ending != "whole") connection.reset();
  }
}

int run_case(const std::string& case_folder) {
  Record::open(case_folder + "/record.txt");
  Agent agent;
  std::vector<std::unique_ptr<Endpoint>> endpoints;
  std::vector<std::unique_ptr<Link>> links;
  for (int i = 0; i < endpoint_count; ++i) {
    const std::string id = "s-" + std::to_string(i);
    endpoints.push_back(std::make_unique<Endpoint>(
        id, [id](Connection& connection, const Request& request) { answer(id, connection, request); }));
    links.push_back(std::make_unique<Link>(endpoints.back()->address(), link_delay_ms));
    agent.add(id, links.back()->address(), i % 2 == 0 ? "port-louis" : "rose-belle");
  }
  std::vector<std::unique_ptr<Sidecar>> sidecars;
  for (int i = 0; i < sidecar_count; ++i) {
    sidecars.push_back(std::make_unique<Sidecar>(
        "n" + std::to_string(i), settings({{"ledger-read", "retryable", 1000, deadline_ms, 1}}, "ebene", 400),
        R"({"cores":1.0,"memory_mb":192,"sockets":1024})"));
    if (!sidecars.back()->start(agent.address(), agent.list(true, 0))) finish(2);
  }
  std::vector<std::thread> threads;
  const double until_ms = now_ms() + run_ms;
  for (int i = 0; i < sidecar_count * clients_per_sidecar; ++i) {
    const int port = sidecars[static_cast<std::size_t>(i % sidecar_count)]->port();
    threads.emplace_back(run_client, "c" + std::to_string(i), port, until_ms);
  }
  for (std::thread& thread : threads) thread.join();
  Record::line("own answers " + std::to_string(own_answers) + ", copies " + std::to_string(copies_sent) +
               ", foreign answers " + std::to_string(foreign_answers));
  if (own_answers < 500 || (has_trouble() && copies_sent == 0)) finish(2);
  finish(foreign_answers > 0 ? 1 : 0);
}

}  // namespace
}  // namespace review

int main(int, char** argv) { return review::run_case(argv[1]); }
