// Full endpoints turn requests away, and a second answer comes some milliseconds late: does a request that
// must not run twice run twice?
#include <random>

#include "../stand-ins-2/stand_ins.h"

namespace {

using review::Message;
using review::MessageReader;
using review::ReadResult;

constexpr int sidecar_count = 20;
constexpr int endpoint_count = 9;
constexpr int client_count = 18;  // of each sidecar
constexpr double run_ms = 10000;
constexpr double link_ms = 5;         // one way between two locations
constexpr double least_work_ms = 80;  // of an endpoint for a request
constexpr double most_work_ms = 120;
constexpr double full_share = 0.4;        // of the requests are turned away
constexpr double second_answer_ms = 8;    // the second copy comes so much after the answer
constexpr int one_second_answer_in = 40;  // answers
constexpr int budget_ms = 1100;

/// How often each request was run.
class Runs {
 public:
  int add(const std::string& id) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const int count = ++runs_[id];
    twice_ += count == 2;
    return count;
  }
  int of(const std::string& id) {
    const std::lock_guard<std::mutex> lock(mutex_);
    return runs_[id];
  }
  int twice() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return twice_;
  }

 private:
  std::mutex mutex_;
  std::map<std::string, int> runs_;
  int twice_ = 0;
};

// One connection to an endpoint, over a link that delays each way. A request that is turned away is never
// run. A second copy is sent only if nothing else waits on the connection: no request has reached the
// endpoint `second_answer_ms` after the answer has left. Since that is less than the way there and back, no
// request that follows the answer can have done so.
void serve(int fd, const std::string& name, bool has_trouble, Runs& runs, review::Record& record) {
  static std::atomic<int> answers{0};
  std::mt19937 random(std::random_device{}());
  std::uniform_real_distribution<double> draw_work_ms(least_work_ms, most_work_ms);
  std::bernoulli_distribution draw_full(full_share);
  MessageReader reader(fd);
  Message request;
  while (reader.read(request, review::now_ms() + 1e6) == ReadResult::message) {
    const std::string id = request.header("x-call-id");
    const bool is_full = draw_full(random);
    review::sleep_ms(link_ms);
    if (!is_full) {
      const int count = runs.add(id);
      record.add("endpoint " + name + " runs id " + id + (count > 1 ? "  <- TWICE" : ""));
      review::sleep_ms(draw_work_ms(random));
    }
    review::sleep_ms(link_ms);
    const std::string answer =
        is_full ? review::response(503, "", "X-Rejected: 1\r\n") : review::response(200, "made for " + id);
    record.add("endpoint " + name + (is_full ? " has turned away id " : " has answered id ") + id);
    if (!review::send_all(fd, answer)) return;
    if (!has_trouble || ++answers % one_second_answer_in != 0) continue;
    review::sleep_ms(second_answer_ms);
    record.add("endpoint " + name + " sends the answer to id " + id + " a second time");
    if (!review::send_all(fd, answer)) return;
  }
}

struct Tally {
  std::atomic<int> answered{0};
  std::atomic<int> refused_but_run{0};
};

// A client process with one connection: one request at a time, each with an id and a body of its own.
void play_client(int client, int port, Runs& runs, Tally& tally, review::Record& record) {
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
    review::send_all(fd, review::rpc_request("POST", "print-order", id, budget_ms, "order " + id));
    Message answer;
    const ReadResult result = reader->read(answer, review::now_ms() + budget_ms + 500);
    const int status = result == ReadResult::message ? answer.status() : 0;
    tally.answered += status == 200;
    const bool is_refused_but_run = (status == 503 || status == 429) && runs.of(id) > 0;
    tally.refused_but_run += is_refused_but_run;
    record.add("client got for id " + id + " status " + std::to_string(status) + " \"" + answer.body + "\"" +
               (is_refused_but_run ? "  <- REFUSED, BUT RUN" : ""));
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
  Runs runs;
  std::vector<std::unique_ptr<review::Server>> endpoints;
  std::vector<review::Agent::Entry> list;
  for (int i = 0; i < endpoint_count; ++i) {
    const std::string name = "s-" + std::to_string(i);
    endpoints.push_back(std::make_unique<review::Server>(
        [name, &setup, &runs, &record](int fd) { serve(fd, name, setup.has_trouble, runs, record); }));
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

  Tally tally;
  std::vector<std::thread> clients;
  for (int client = 0; client < sidecar_count * client_count; ++client)
    clients.emplace_back([&, client] {
      play_client(client, sidecars[static_cast<std::size_t>(client % sidecar_count)]->port(), runs, tally,
                  record);
    });
  for (std::thread& client : clients) client.join();
  for (const auto& sidecar : sidecars) {
    if (sidecar->has_crashed()) review::give_up("a sidecar ended");
    sidecar->kill_now();
  }

  std::ostringstream verdict;
  verdict << tally.answered << " answers 200, " << runs.twice() << " requests run twice, "
          << tally.refused_but_run << " refused although they were run";
  record.add(verdict.str());
  std::cout << verdict.str() << std::endl;
  if (tally.answered < 100) review::give_up("too few answers");
  std::_Exit(runs.twice() + tally.refused_but_run > 0 ? review::rule_broken : review::rule_held);
}
