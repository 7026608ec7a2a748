// Clients send several requests at once, and the sidecar is told to end: are all requests that it read
// answered?
#include "../stand-ins-2/stand_ins.h"

namespace {

using review::Message;
using review::MessageReader;
using review::ReadResult;

constexpr int endpoint_count = 3;
constexpr int client_count = 4;
constexpr int requests_at_once = 4;
constexpr double work_ms = 60;  // of an endpoint for a request
constexpr int budget_ms = 1100;
constexpr double begin_to_signal_ms = 2000;

void serve(int fd, review::Record& record) {
  MessageReader reader(fd);
  Message request;
  while (reader.read(request, review::now_ms() + 1e6) == ReadResult::message) {
    const std::string id = request.header("x-call-id");
    review::sleep_ms(work_ms);
    record.add("endpoint ran and answers " + request.start_line + " id " + id);
    if (!review::send_all(fd, review::response(200, "made for " + id))) return;
  }
}

struct Tally {
  std::atomic<int> sent{0};
  std::atomic<int> answered{0};
  std::atomic<int> lost{0};    // read by the sidecar, which then ended the connection without an answer
  std::atomic<int> unread{0};  // the connection was reset: the sidecar had not read the request
};

// Waits for the answers to the requests of one batch. Returns false if the connection has ended.
bool await_answers(MessageReader& reader, const std::vector<std::string>& ids, Tally& tally,
                   review::Record& record) {
  const double until_ms = review::now_ms() + budget_ms + 500;
  bool is_closing = false;
  for (std::size_t i = 0; i < ids.size(); ++i) {
    Message answer;
    const ReadResult result = reader.read(answer, until_ms);
    if (result == ReadResult::message) {
      ++tally.answered;
      is_closing |= answer.header("connection") == "close";
      record.add("client got for id " + ids[i] + " status " + std::to_string(answer.status()) +
                 (is_closing ? ", Connection: close" : ""));
      continue;
    }
    // A close over unread bytes resets the connection. An orderly end, or an open connection on which nothing
    // came in time, means that the sidecar has read the request.
    const bool is_unread = result == ReadResult::reset;
    for (std::size_t rest = i; rest < ids.size(); ++rest) {
      ++(is_unread ? tally.unread : tally.lost);
      record.add("client got for id " + ids[rest] + " no answer, the connection " +
                 (is_unread                         ? "was reset"
                  : result == ReadResult::timed_out ? "is silent  <- LOST"
                                                    : "was ended in order  <- LOST"));
    }
    return false;
  }
  return !is_closing;
}

// Sends batches until its connection ends. Nothing is sent after the signal but what a batch had begun.
void play_client(int client, int port, const std::atomic<bool>& stopping, Tally& tally,
                 review::Record& record) {
  const int fd = review::connect_to(port);
  if (fd < 0) review::give_up("no connection to the sidecar");
  MessageReader reader(fd);
  for (int batch = 0; !stopping; ++batch) {
    std::vector<std::string> ids;
    std::string bytes;
    for (int i = 0; i < requests_at_once; ++i) {
      ids.push_back("c" + std::to_string(client) + "-" + std::to_string(batch) + "-" + std::to_string(i));
      bytes += review::rpc_request("POST", "print-order", ids.back(), budget_ms, "order " + ids.back());
      record.add("client sends id " + ids.back());
    }
    tally.sent += requests_at_once;
    review::send_all(fd, bytes);
    if (!await_answers(reader, ids, tally, record)) break;
  }
  ::close(fd);
}

}  // namespace

int main(int argc, char** argv) {
  const review::Case setup = review::read_case(argc, argv);
  review::Record record(setup.folder + "/record.txt");
  std::vector<std::unique_ptr<review::Server>> endpoints;
  std::vector<review::Agent::Entry> list;
  for (int i = 0; i < endpoint_count; ++i) {
    endpoints.push_back(std::make_unique<review::Server>([&record](int fd) { serve(fd, record); }));
    list.push_back({"s-" + std::to_string(i), endpoints.back()->port()});
  }
  review::Agent agent(list);
  review::Sidecar sidecar(setup.run_command, setup.temporary, "n1", {}, agent.port(), agent.whole_list());
  sidecar.start();
  sidecar.await_ready();

  Tally tally;
  std::atomic<bool> stopping{false};
  std::vector<std::thread> clients;
  for (int client = 0; client < client_count; ++client)
    clients.emplace_back([&, client] { play_client(client, sidecar.port(), stopping, tally, record); });
  review::sleep_ms(begin_to_signal_ms);
  stopping = true;
  if (setup.has_trouble) {
    record.add("SIGTERM to the sidecar");
    sidecar.signal(SIGTERM);
  }
  for (std::thread& client : clients) client.join();
  sidecar.kill_now();

  std::ostringstream verdict;
  verdict << tally.sent << " requests sent, " << tally.answered << " answered, " << tally.lost
          << " read and not answered, " << tally.unread << " not read";
  record.add(verdict.str());
  std::cout << verdict.str() << std::endl;
  if (tally.answered < requests_at_once * client_count) review::give_up("too few answers");
  std::_Exit(tally.lost > 0 ? review::rule_broken : review::rule_held);
}
