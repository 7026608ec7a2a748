// A second copy of a long answer comes some milliseconds late: whose answer do clients get?
#include <random>

#include "../stand-ins-2/stand_ins.h"

namespace {

using review::Message;
using review::MessageReader;
using review::ReadResult;

constexpr int endpoint_count = 3;
constexpr int client_count = 12;
constexpr double run_ms = 20000;
constexpr double link_ms = 5;         // one way between two locations
constexpr double least_work_ms = 20;  // of an endpoint for a request
constexpr double most_work_ms = 60;
constexpr double long_share = 0.2;  // of the answers
constexpr std::size_t long_bytes = 100000;
constexpr double second_answer_ms = 8;    // the second copy comes so much after the answer
constexpr int one_second_answer_in = 40;  // answers
constexpr int budget_ms = 1100;

// One connection to an endpoint, over a link that delays each way. The answer names the request that it was
// made for. A second copy is sent only if nothing else waits on the connection: no request has reached the
// endpoint `second_answer_ms` after the answer has left. Since that is less than the way there and back, no
// request that follows the answer can have done so.
void serve(int fd, const std::string& name, bool has_trouble, review::Record& record) {
  static std::atomic<int> answers{0};
  std::mt19937 random(std::random_device{}());
  std::uniform_real_distribution<double> draw_work_ms(least_work_ms, most_work_ms);
  std::bernoulli_distribution draw_long(long_share);
  MessageReader reader(fd);
  Message request;
  while (reader.read(request, review::now_ms() + 1e6) == ReadResult::message) {
    const std::string id = request.header("x-call-id");
    review::sleep_ms(link_ms + draw_work_ms(random) + link_ms);
    std::string body = "made for " + id + ".";
    if (draw_long(random)) body.resize(long_bytes, 'x');
    const std::string answer = review::response(200, body);
    record.add("endpoint " + name + " answers " + request.target() + " id " + id + " with " +
               std::to_string(body.size()) + " bytes");
    if (!review::send_all(fd, answer)) return;
    if (!has_trouble || ++answers % one_second_answer_in != 0) continue;
    review::sleep_ms(second_answer_ms);
    record.add("endpoint " + name + " sends the answer to id " + id + " a second time");
    if (!review::send_all(fd, answer)) return;
  }
}

struct Tally {
  std::atomic<int> answered{0};
  std::atomic<int> foreign{0};
};

// A client process with one connection: one read at a time, each of another object.
void play_client(int client, int port, Tally& tally, review::Record& record) {
  int fd = -1;
  std::unique_ptr<MessageReader> reader;
  const double until_ms = review::now_ms() + run_ms;
  for (int count = 0; review::now_ms() < until_ms; ++count) {
    if (fd < 0) {
      fd = review::connect_to(port);
      if (fd < 0) review::give_up("no connection to the sidecar");
      reader = std::make_unique<MessageReader>(fd);
    }
    const std::string id = "c" + std::to_string(client) + "-" + std::to_string(count);
    record.add("client sends id " + id);
    review::send_all(fd, review::rpc_request("GET", "tile-read", id, budget_ms, "", "/tile-" + id));
    Message answer;
    const ReadResult result = reader->read(answer, review::now_ms() + budget_ms + 500);
    if (result == ReadResult::message && answer.status() == 200) {
      ++tally.answered;
      const std::string made_for = answer.body.substr(0, answer.body.find('.'));
      const bool is_own = made_for == "made for " + id;
      if (!is_own) ++tally.foreign;
      record.add("client got for id " + id + " 200, " + std::to_string(answer.body.size()) + " bytes " +
                 made_for + (is_own ? "" : "  <- FOREIGN"));
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
  review::Sidecar sidecar(setup.run_command, setup.temporary, "n1", {}, agent.port(), agent.whole_list());
  sidecar.start();
  sidecar.await_ready();

  Tally tally;
  std::vector<std::thread> clients;
  for (int client = 0; client < client_count; ++client)
    clients.emplace_back([&, client] { play_client(client, sidecar.port(), tally, record); });
  for (std::thread& client : clients) client.join();
  if (sidecar.has_crashed()) review::give_up("the sidecar ended");
  sidecar.kill_now();

  const std::string verdict = std::to_string(tally.answered) + " answers 200, " +
                              std::to_string(tally.foreign) + " of them made for another request";
  record.add(verdict);
  std::cout << verdict << std::endl;
  if (tally.answered < 100) review::give_up("too few answers");
  std::_Exit(tally.foreign > 0 ? review::rule_broken : review::rule_held);
}
