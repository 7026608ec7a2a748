// Endpoints that send a response a second time, some milliseconds late, and endpoints whose responses are
// equal because they are: each client gets the response to its own request in both cases. On real sockets.
#include <doctest/doctest.h>

#include <chrono>
#include <deque>
#include <map>
#include <random>
#include <thread>

#include "support/parts.h"

namespace host {

namespace {

std::string numbered_request(int number, const std::string& target = "/read") {
  return "POST " + target + " HTTP/1.1\r\nX-Call-Id: n" + std::to_string(number) +
         "\r\nX-Call-Class: read\r\nX-Budget: 3900m\r\nContent-Length: 0\r\n\r\n";
}

/// How an endpoint responds to one request.
enum class ResponseKind { brief, equal, large, streamed, refused };

/// Responds with the id of the request, after its own time of work. Some responses follow a second time. As
/// on a network, bytes arrive some time after they were sent: a duplicate may be on its way while the next
/// request is. The endpoint sends none where the next request has arrived.
class RepeatingEndpoint {
 public:
  struct Behaviour {
    double one_way_ms = 0;
    double duplicate_delay_ms = 0;  // from the response to its duplicate; 0: there are no duplicates
    double equal_share = 0;         // of responses with the same body
    bool all_kinds = false;         // otherwise brief and equal ones alone
  };

  RepeatingEndpoint(EventLoop& event_loop, Behaviour behaviour, unsigned seed)
      : loop_(event_loop), behaviour_(behaviour), random_(seed) {
    watch_ = loop_.watch_fd(listener_.get(), [this](std::uint32_t) { accept_all(); });
  }

  std::string address() const { return address_text(local_address(listener_)); }

  std::map<std::string, int> runs;  // by call id
  int duplicates = 0;

  /// What a client must get, if it gets a response with status 200.
  bool is_response_to(const std::string& id, std::string_view body) const {
    return body == equal_body || body.substr(0, body.find(';')) == id;
  }

 private:
  static constexpr const char* equal_body = "no match";

  void accept_all() {
    for (;;) {
      FileDescriptor fd(::accept4(listener_.get(), nullptr, nullptr, SOCK_NONBLOCK));
      if (!fd) return;
      connections_.push_back(std::make_unique<TestConnection>(loop_, budget_, std::move(fd),
                                                              http::HttpParser::MessageKind::request));
      connections_.back()->on_message = [this](TestConnection& connection) {
        const auto id_header = connection.received.back().find_header("X-Call-Id");
        if (!id_header) return connection.send(response_text(200, "healthy"));
        const std::string id(*id_header);
        after(behaviour_.one_way_ms, [this, &connection, id] { on_request(connection, id); });
      };
      connections_.back()->read();
    }
  }

  void on_request(TestConnection& connection, const std::string& id) {
    const int sequence = ++requests_arrived_[&connection];
    const ResponseKind kind = draw_kind();
    if (kind != ResponseKind::refused) ++runs[id];
    const std::string bytes = make_response(kind, id);
    const double work_ms = std::uniform_real_distribution<double>(2, 12)(random_);
    const bool is_repeated = behaviour_.duplicate_delay_ms > 0 && random_() % 4 == 0;
    after(work_ms, [this, &connection, bytes, is_repeated, sequence] {
      send(connection, bytes);
      if (is_repeated)
        after(behaviour_.duplicate_delay_ms, [this, &connection, bytes, sequence] {
          if (requests_arrived_[&connection] == sequence && !connection.is_ended)
            send_duplicate(connection, bytes);
        });
    });
  }

  ResponseKind draw_kind() {
    if (std::uniform_real_distribution<double>(0, 1)(random_) < behaviour_.equal_share)
      return ResponseKind::equal;
    if (!behaviour_.all_kinds) return ResponseKind::brief;
    constexpr std::array<ResponseKind, 8> kinds{
        ResponseKind::brief, ResponseKind::brief, ResponseKind::brief,    ResponseKind::large,
        ResponseKind::large, ResponseKind::large, ResponseKind::streamed, ResponseKind::refused};
    return kinds[random_() % kinds.size()];
  }

  static std::string make_response(ResponseKind kind, const std::string& id) {
    constexpr std::size_t large_bytes = std::size_t{40} * 1024;
    const std::string body = id + ";";
    switch (kind) {
      case ResponseKind::brief:
        return response_text(200, body);
      case ResponseKind::equal:
        return response_text(200, equal_body);
      case ResponseKind::large:
        return response_text(200, body + std::string(large_bytes, 'x'));
      case ResponseKind::streamed:
        return response_text(200, body + std::string(http::max_buffered_body_bytes + 1, 'x'));
      case ResponseKind::refused:
        return response_text(503, "", "X-Rejected: 1\r\n");
    }
    return {};
  }

  void send(TestConnection& connection, const std::string& bytes) {
    after(behaviour_.one_way_ms, [this, &connection, bytes] {
      response_arrived_at_ms_[&connection] = loop_.now();
      connection.send(bytes);
    });
  }

  // The sidecar runs in the same thread. If that was held up, the duplicate would be later than is meant
  // here.
  void send_duplicate(TestConnection& connection, const std::string& bytes) {
    constexpr double max_extra_delay_ms = 3;
    after(behaviour_.one_way_ms, [this, &connection, bytes] {
      const double delay_ms = loop_.now() - response_arrived_at_ms_[&connection];
      if (delay_ms > behaviour_.duplicate_delay_ms + max_extra_delay_ms) return;
      ++duplicates;
      connection.send(bytes);
    });
  }

  void after(double delay_ms, EventLoop::Callback callback) {
    timers_.push_back(loop_.schedule_at(loop_.now() + delay_ms, std::move(callback)));
  }

  EventLoop& loop_;
  Behaviour behaviour_;
  std::mt19937 random_;
  FileDescriptorBudget budget_{1000};
  FileDescriptor listener_ = listen_on_loopback();
  EventLoop::Watch watch_;
  std::vector<std::unique_ptr<TestConnection>> connections_;
  std::map<const TestConnection*, int> requests_arrived_;
  std::map<const TestConnection*, double> response_arrived_at_ms_;
  std::deque<EventLoop::Timer> timers_;
};

/// A client that reads responses of any length.
class ReadingClient {
 public:
  using ResponseHandler = std::function<void(int status, std::string_view body)>;

  ReadingClient(SidecarHarness& sidecar, ResponseHandler on_response)
      : on_response_(std::move(on_response)),
        stream_(sidecar.loop, sidecar.client_budget, start_connect(sidecar.address),
                [this](std::uint32_t) { read(); }) {
    run_until(sidecar.loop, [&] { return stream_.pending_error() == 0; });
  }

  void send(const std::string& bytes) {
    WriteBuffer output;
    output.append_owned(bytes);
    stream_.write(output);
  }

 private:
  void read() {
    std::array<char, 16384> buffer;
    std::size_t count = 0;
    while (stream_.read(buffer, count) == TcpStream::ReadStatus::data) received_.append(buffer.data(), count);
    take_response();
  }

  void take_response() {
    constexpr std::string_view length_header = "Content-Length: ";
    constexpr std::size_t status_at = 9;  // behind "HTTP/1.1 "
    const std::size_t head_end = received_.find("\r\n\r\n");
    const std::size_t length_at = received_.find(length_header);
    if (head_end == std::string::npos || length_at > head_end) return;
    const std::size_t body_at = head_end + 4;
    const std::size_t length = std::stoul(received_.substr(length_at + length_header.size()));
    if (received_.size() < body_at + length) return;
    const std::string response = std::exchange(received_, received_.substr(body_at + length));
    on_response_(std::stoi(response.substr(status_at)), std::string_view(response).substr(body_at, length));
  }

  ResponseHandler on_response_;
  std::string received_;
  TcpStream stream_;
};

/// What came of the requests of all clients.
struct Outcome {
  int served = 0;
  int foreign = 0;   // served with the response to another request
  int rejected = 0;  // with 429 or 503
  int lost = 0;      // ran, and ended with another status
  int repeated = 0;  // ran more than once
};

/// The clients send until so many requests were served.
Outcome run_clients(SidecarHarness& sidecar, RepeatingEndpoint& endpoint, int served, bool equal_targets) {
  constexpr std::size_t client_count = 6;
  constexpr double pause_after_rejection_ms = 20;
  constexpr double longest_run_ms = 8000;
  Outcome outcome;
  int sent = 0;
  int open = 0;
  std::vector<std::unique_ptr<ReadingClient>> clients;
  std::vector<std::string> ids(client_count);
  std::deque<EventLoop::Timer> pauses;
  const auto send_next = [&](std::size_t client) {
    if (outcome.served >= served) return;
    ids[client] = "n" + std::to_string(sent);
    clients[client]->send(numbered_request(sent, equal_targets ? "/read" : "/read/" + std::to_string(sent)));
    ++sent;
    ++open;
  };
  const auto on_response = [&](std::size_t client, int status, std::string_view body) {
    --open;
    if (status == 200)
      ++(endpoint.is_response_to(ids[client], body) ? outcome.served : outcome.foreign);
    else
      ++(status == 503 && endpoint.runs[ids[client]] == 0 ? outcome.rejected : outcome.lost);
    const double pause_ms = status == 200 ? 0 : pause_after_rejection_ms;
    pauses.push_back(
        sidecar.loop.schedule_at(sidecar.loop.now() + pause_ms, [&, client] { send_next(client); }));
  };
  for (std::size_t client = 0; client < client_count; ++client)
    clients.push_back(std::make_unique<ReadingClient>(
        sidecar, [&, client](int status, std::string_view body) { on_response(client, status, body); }));
  for (std::size_t client = 0; client < client_count; ++client) send_next(client);
  const auto is_done = [&] { return outcome.served >= served && open == 0; };
  CHECK(elapsed_until(sidecar.loop, longest_run_ms, is_done) >= 0);
  for (const auto& [id, runs] : endpoint.runs) outcome.repeated += runs > 1 ? 1 : 0;
  return outcome;
}

/// Lists the endpoint under several ids, so that its rejections don't end all attempts for a time.
void list_endpoints(SidecarHarness& sidecar, const RepeatingEndpoint& endpoint) {
  const std::vector<Endpoint> endpoints = make_endpoints('a', 'd');
  for (const Endpoint& listed : endpoints) sidecar.upstreams.update_endpoint(listed.id, endpoint.address());
  sidecar.dispatcher.update_endpoints(true, false, endpoints);
}

}  // namespace

// Guards against a response that goes to another client, and against a request that runs twice because the
// duplicate of a rejection was taken for its own.
TEST_CASE("a late duplicate of a response of any kind is not taken for the response to the next request") {
  for (const double duplicate_delay_ms : {3.0, 8.0, 14.0, 20.0})
    for (const double one_way_ms : {0.0, 5.0, 10.0}) {
      CAPTURE(duplicate_delay_ms);
      CAPTURE(one_way_ms);
      SidecarHarness sidecar(customer_config(true, true, RetrySafety::non_idempotent), {5000, 2000, 3000});
      RepeatingEndpoint endpoint(sidecar.loop,
                                 {.one_way_ms = one_way_ms,
                                  .duplicate_delay_ms = duplicate_delay_ms,
                                  .equal_share = 0.2,
                                  .all_kinds = true},
                                 static_cast<unsigned>(100 * duplicate_delay_ms + one_way_ms));
      list_endpoints(sidecar, endpoint);
      const Outcome outcome = run_clients(sidecar, endpoint, 200, one_way_ms == 5);
      CHECK(endpoint.duplicates > 20);
      CHECK(outcome.foreign == 0);
      CHECK(outcome.repeated == 0);
      CHECK(outcome.lost == 0);
    }
}

// Guards against a sound response that is dropped because it equals the one before it.
TEST_CASE("equal responses to different requests are forwarded, whatever their share") {
  for (const RetrySafety retry_safety : {RetrySafety::idempotent, RetrySafety::non_idempotent})
    for (const bool equal_targets : {false, true})
      for (const double equal_share : {0.01, 0.05, 0.12, 0.5}) {
        CAPTURE(equal_targets);
        CAPTURE(equal_share);
        SidecarHarness sidecar(customer_config(true, true, retry_safety), {5000, 2000, 3000});
        RepeatingEndpoint endpoint(sidecar.loop, {.equal_share = equal_share},
                                   static_cast<unsigned>(1000 * equal_share));
        list_endpoints(sidecar, endpoint);
        const Outcome outcome = run_clients(sidecar, endpoint, 300, equal_targets);
        CHECK(outcome.rejected == 0);
        CHECK(outcome.lost == 0);
        CHECK(outcome.repeated == 0);
      }
}

TEST_CASE("a response that equals the one before it is forwarded at once") {
  constexpr int different_responses = 8;
  SidecarHarness sidecar(customer_config(true, true, RetrySafety::non_idempotent), {5000, 2000, 3000});
  std::vector<std::string> responses;
  responses.reserve(different_responses);
  for (int i = 0; i < different_responses; ++i)
    responses.push_back(response_text(200, "done " + std::to_string(i)));
  responses.insert(responses.end(), 3, response_text(200, "no match"));
  FakeServer endpoint(sidecar.loop, responses);
  sidecar.update_endpoints(address_text(endpoint.address));
  TestConnection& client = sidecar.connect_client();
  for (std::size_t i = 0; i < responses.size(); ++i)
    CHECK(sidecar.status_of_request(
              client, numbered_request(static_cast<int>(i), "/read/" + std::to_string(i))) == 200);
  CHECK(client.received.size() == responses.size());
  CHECK(every_rpc_answered_once(sidecar));
}

TEST_CASE("a duplicate that arrives while the process is held up is not the response to the next request") {
  constexpr std::chrono::milliseconds held_up{150};
  SidecarHarness sidecar(customer_config(true, true, RetrySafety::non_idempotent), {5000, 2000, 3000});
  FakeServer endpoint(sidecar.loop, {response_text(200, "one"), response_text(200, "two")});
  sidecar.update_endpoints(address_text(endpoint.address));
  TestConnection& client = sidecar.connect_client();
  REQUIRE(sidecar.status_of_request(client, numbered_request(1)) == 200);
  // The next request is received in the same iteration of the loop as the duplicate, in either order.
  client.send(numbered_request(2));
  endpoint.connections[0]->send(response_text(200, "one"));
  std::this_thread::sleep_for(held_up);
  REQUIRE(run_until(sidecar.loop, [&] { return client.received.size() == 2; }));
  CHECK(client.received.back().body() == "two");
  CHECK(endpoint.connections.size() == 2);
  CHECK(run_until(sidecar.loop, [&] { return endpoint.connections[0]->is_ended; }));
}

}  // namespace host
