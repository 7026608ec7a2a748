// A second answer comes some milliseconds late: whose answer do clients get?
#include <random>

#include "../stand-ins-2/stand_ins.h"

namespace {

using review::Message;
using review::MessageReader;
using review::ReadResult;

constexpr int sidecar_count = 20;
constexpr int endpoint_count = 9;
constexpr int client_count = 18;  // of each sidecar
constexpr double run_ms = 8000;
constexpr double link_ms = 5;         // one way between two locations
constexpr double least_work_ms = 80;  // of an endpoint for a request
constexpr double most_work_ms = 120;
constexpr double second_answer_ms = 8;    // the second copy comes so much after the answer
constexpr int one_second_answer_in = 40;  // answers
constexpr double order_share = 0.25;      // of the requests; the others are reads
constexpr int budget_ms = 1100;

// One connection to an endpoint. Its answer names the request that it was made for.
//
// The link delays each way. The endpoint sends a second copy only if nothing else waits on the connection:
// no request has reached it `second_answer_ms` after the answer has left. Since that is less than the way
// there and back, no request that follows the answer can have done so.
void serve(int fd, const std::string& name, bool has_trouble, review::Record& record) {
  static std::atomic<int> answers{0};
  std::mt19937 random(std::random_device{}());
  std::uniform_real_distribution<double> work_ms(least_work_ms, most_work_ms);
  MessageReader reader(fd);
  Message request;
  while (reader.read(request, review::now_ms() + 1e6) == ReadResult::message) {
    const std::string id = request.header("x-call-id");
    review::sleep_ms(link_ms + work_ms(random) + link_ms);
    const std::string answer = review::response(200, "made for " + id);
    record.add("endpoint " + name + " ran and answers " + request.start_line + " id " + id);
    if (!review::send_all(fd, answer)) return;
    if (!has_trouble || ++answers % one_second_answer_in != 0) continue;
    review::sleep_ms(second_answer_ms);
    record.add("endpoint " + name + " sends the answer to id " + id + " a second time");
    if (!review::send_all(fd, answer)) return;
  }
}

// A client process with one connection: one request at a time.
void play_client(int client, int port, std::atomic<int>& answered, std::atomic<int>& foreign,
                 review::Record& record) {
  int fd = -1;
  std::unique_ptr<MessageReader> reader;
  std::mt19937 random(std::random_device{}());
  std::bernoulli_distribution draw_order(order_share);
  const double until_ms = review::now_ms() + run_ms;
  for (int count = 0; review::now_ms() < until_ms; ++count) {
    if (fd < 0) {
      fd = review::connect_to(port);
      if (fd < 0) review::give_up("no connection to the sidecar");
      reader = std::make_unique<MessageReader>(fd);
    }
    const std::string id = "c" + std::to_string(client) + "-" + std::to_string(count);
    const bool is_order = draw_order(random);
    record.add("client sends id " + id + (is_order ? ", a print-order" : ", a tile-read"));
    review::send_all(fd, is_order ? review::rpc_request("POST", "print-order", id, budget_ms, "order " + id)
                                  : review::rpc_request("GET", "tile-read", id, budget_ms));
    Message answer;
    const ReadResult result = reader->read(answer, review::now_ms() + budget_ms + 500);
    if (result == ReadResult::message && answer.status() == 200) {
      ++answered;
      const bool is_own = answer.body == "made for " + id;
      if (!is_own) ++foreign;
      record.add("client got for id " + id + " 200 \"" + answer.body + "\"" + (is_own ? "" : "  <- FOREIGN"));
    } else {
      record.add("client got for id " + id + " no 200, status " + std::to_string(answer.status()));
    }
    if (result != ReadResult::message || answer.header("connection") == "close") {
      ::close(fd);
      fd = -1;
    }
  }
  if (fd >= 0) ::close(fd);
}

}  // namespace

int main(int argc, char** argv) {
  const review::Case setup = review::read_case(argc, argv);
  review::Record record(setup.folder + "/record.txt");
  std::vector<std::unique_ptr<review::Server>> endpoints;
  std::vector<review::Agent::Entry> list;
  for (int i = 0; i < endpoint_count; ++i) {
    const std::string name = "s-" + std::to_string(i);
    endpoints.push_back(std::make_unique<review::Server>(
        [name, &setup, &record](int fd) { serve(fd, name, setup.has_trouble, record); }));
    list.push_back({name, endpoints.back()->port()});
  }
  review::Agent agent(list);
  std::vector<std::unique_ptr<review::Sidecar>> sidecars;
  for (int i = 0; i < sidecar_count; ++i) {
    sidecars.push_back(std::make_unique<review::Sidecar>(setup.run_command, setup.temporary,
                                                         "n" + std::to_string(i + 1), review::Settings{},
                                                         agent.port(), agent.whole_list()));
    sidecars.back()->start();
  }
  for (const auto& sidecar : sidecars) sidecar->await_ready();

  std::atomic<int> answered{0};
  std::atomic<int> foreign{0};
  std::vector<std::thread> clients;
  for (int client = 0; client < sidecar_count * client_count; ++client)
    clients.emplace_back([&, client] {
      play_client(client, sidecars[static_cast<std::size_t>(client % sidecar_count)]->port(), answered,
                  foreign, record);
    });
  for (std::thread& client : clients) client.join();
  for (const auto& sidecar : sidecars) {
    if (sidecar->has_crashed()) review::give_up("a sidecar ended");
    sidecar->kill_now();
  }

  const std::string verdict = std::to_string(answered) + " answers 200, " + std::to_string(foreign) +
                              " of them made for another request";
  record.add(verdict);
  std::cout << verdict << std::endl;
  if (answered < 100) review::give_up("too few answers");
  std::_Exit(foreign > 0 ? review::rule_broken : review::rule_held);
}
