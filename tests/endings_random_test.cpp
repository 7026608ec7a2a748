// Clients, attempts and endpoints that end in random order (docs/endings.md), on real sockets. Clients,
// endpoints and the endpoint list act at random, and the test itself counts the requests at each endpoint.
#include <doctest/doctest.h>

#include <map>
#include <random>

#include "support/parts.h"

namespace host {
namespace {

// Random numbers below a bound; the sequence depends on the seed alone.
class RandomSource {
 public:
  explicit RandomSource(std::uint32_t seed) : engine_(seed) {}
  std::size_t below(std::size_t bound) {
    return std::uniform_int_distribution<std::size_t>(0, bound - 1)(engine_);
  }

 private:
  std::mt19937 engine_;
};

using RequestCounts = std::map<std::string, int>;  // complete requests at all endpoints, by call id

// An endpoint that answers at random and counts the requests that reach it.
struct RandomEndpoint {
  RandomSource& random;
  RequestCounts& request_counts;
  FakeServer server;
  bool listed_ready = true;
  std::size_t requests_when_withdrawn = 0;  // requests_seen at the last change of its list entry
  std::size_t requests_seen = 0;
  std::vector<std::size_t> unanswered;                // index of the connection, for each unanswered request
  std::map<std::size_t, std::size_t> requests_noted;  // by connection index

  RandomEndpoint(EventLoop& loop, RandomSource& source, RequestCounts& counts)
      : random(source), request_counts(counts), server(loop, {}) {}

  static std::string call_id_of(const http::Message& request) {
    return std::string(request.find_header("X-Call-Id").value_or("none"));
  }

  // Counts the requests received since the last call and queues them for a response.
  void note_requests() {
    std::size_t total = 0;
    for (std::size_t i = 0; i < server.connections.size(); ++i) {
      const TestConnection& connection = *server.connections[i];
      total += connection.received.size();
      for (std::size_t n = requests_noted[i]; n < connection.received.size(); ++n) {
        ++request_counts[call_id_of(connection.received[n])];
        unanswered.push_back(i);
      }
      requests_noted[i] = connection.received.size();
    }
    requests_seen = total;
  }

  void answer_one() {
    if (unanswered.empty()) return;
    const std::size_t which = random.below(unanswered.size());
    TestConnection& connection = *server.connections[unanswered[which]];
    unanswered.erase(unanswered.begin() + static_cast<std::ptrdiff_t>(which));
    if (!connection.stream) return;
    switch (random.below(8)) {
      case 0:
        return connection.close();
      case 1:
        connection.stream->reset_on_close();
        return connection.close();
      case 2:
        return connection.send(response_text(500, ""));
      case 3:  // rejected: the request did not run
        --request_counts[call_id_of(connection.received.back())];
        return connection.send(response_text(503, "", "X-Rejected: 1\r\n"));
      case 4:
        return connection.send("HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\nhalf");
      case 5:
        connection.send(response_text(200, "last", "Connection: close\r\n"));
        return connection.close();
      default:
        return connection.send(served_response);
    }
  }
};

struct RandomClient {
  TestConnection* connection;
  std::vector<std::string> call_ids;  // of its requests, sent one at a time
  bool has_left = false;
};

// Sums over all seeds, which show that the random orders reach the situations under test.
struct Totals {
  std::size_t responses = 0;
  std::size_t clients_left = 0;
  std::size_t withdrawn = 0;
  std::size_t retried_rpcs = 0;
};

// A random sequence of events at a sidecar with four endpoints.
class RandomOrder {
 public:
  explicit RandomOrder(std::uint32_t seed)
      : seed_(seed),
        random_(seed),
        long_budgets_(seed % 2 == 0),
        safety_(safety_of(seed)),
        sidecar_(customer_config(long_budgets_, seed % 4 < 2, safety_), {5000, 200, 300}, 100, 64 << 20,
                 300) {
    for (int i = 0; i < 4; ++i)
      endpoints_.push_back(std::make_unique<RandomEndpoint>(sidecar_.loop, random_, request_counts_));
    for (std::size_t i = 0; i < endpoints_.size(); ++i) {
      sidecar_.upstreams.update_endpoint(name(i), address_of(i));
      sidecar_.dispatcher.update_endpoints(false, true, {make_endpoint(name(i))});
    }
  }

  void run() {
    constexpr int steps = 260;
    for (int step = 0; step < steps; ++step) {
      take_step();
      run_rounds(sidecar_.loop, static_cast<int>(random_.below(3)));
      check_withdrawn_endpoints();
    }
    drain();
    check_drained();
  }

  void add_to(Totals& totals) {
    for (const RandomClient& client : clients_)
      if (!client.has_left) totals.responses += client.connection->received.size();
    for (const auto& [call_id, count] : request_counts_) totals.retried_rpcs += count > 1;
    totals.clients_left += static_cast<std::size_t>(sidecar_.counters.rpcs_abandoned);
    totals.withdrawn += attempts_with_outcome(sidecar_, AttemptOutcome::withdrawn);
  }

 private:
  static RetrySafety safety_of(std::uint32_t seed) {
    constexpr RetrySafety safeties[] = {RetrySafety::idempotent, RetrySafety::non_idempotent,
                                        RetrySafety::idempotency_key};
    return safeties[seed % 3];
  }
  static std::string name(std::size_t i) { return std::string(1, static_cast<char>('a' + i)); }
  std::string address_of(std::size_t i) const { return address_text(endpoints_[i]->server.address); }
  std::string next_call_id() { return "wild" + std::to_string(seed_) + "-" + std::to_string(++last_id_); }
  std::string request_text(const std::string& call_id) const {
    return "GET /read HTTP/1.1\r\nX-Call-Id: " + call_id +
           "\r\nX-Call-Class: read\r\nX-Budget: " + (long_budgets_ ? "3900" : "140") + "m\r\n\r\n";
  }

  void take_step() {
    switch (random_.below(9)) {
      case 0:
      case 1:
      case 2:
        return send_request();
      case 3:
        return let_client_leave();
      case 4:
        return change_list();
      case 5:
      case 6:
        return endpoints_[random_.below(endpoints_.size())]->answer_one();
      default:
        for (std::size_t n = random_.below(6); n > 0; --n) sidecar_.loop.run_once(0);
        if (random_.below(6) == 0) run_for(sidecar_.loop, 3);
    }
  }

  void send_request() {
    if (clients_.size() < 20 && random_.below(3) == 0) clients_.push_back({&sidecar_.connect_client(), {}});
    if (clients_.empty()) return;
    RandomClient& client = clients_[random_.below(clients_.size())];
    // A client sends its next request once the previous one is answered.
    if (client.has_left || client.connection->is_ended ||
        client.call_ids.size() > client.connection->received.size())
      return;
    client.call_ids.push_back(next_call_id());
    client.connection->send(request_text(client.call_ids.back()));
  }

  void let_client_leave() {
    if (clients_.empty() || random_.below(3) != 0) return;
    RandomClient& client = clients_[random_.below(clients_.size())];
    if (client.has_left || client.connection->is_ended) return;
    client.has_left = true;
    if (random_.below(2)) client.connection->stream->reset_on_close();
    client.connection->close();
    run_rounds(sidecar_.loop, 8);
    check_withdrawn_endpoints();
    if (client.call_ids.empty()) return;
    const std::string& call_id = client.call_ids.back();
    counts_when_left_[call_id] = request_counts_[call_id];
  }

  void change_list() {
    const std::size_t change = random_.below(4);
    if (change == 1) return drain_endpoints_while_connecting();
    if (change != 0) return;
    constexpr EndpointState states[] = {EndpointState::ready, EndpointState::draining, EndpointState::gone};
    const std::size_t i = random_.below(endpoints_.size());
    // As arguments of one call, the two draws would have no defined order.
    const bool restarted = random_.below(3) == 0;
    const EndpointState state = endpoints_[i]->listed_ready ? states[random_.below(3)] : EndpointState::ready;
    update_endpoint(i, state, restarted);
  }

  void update_endpoint(std::size_t i, EndpointState state, bool restarted) {
    RandomEndpoint& endpoint = *endpoints_[i];
    run_rounds(sidecar_.loop, 6);  // requests that are already written reach the endpoint
    endpoint.note_requests();
    endpoint.listed_ready = state == EndpointState::ready;
    endpoint.requests_when_withdrawn = endpoint.requests_seen;
    if (restarted) ++last_start_ms_;
    const double started_at_ms = restarted ? last_start_ms_ : 0;
    if (state == EndpointState::gone)
      sidecar_.upstreams.remove_endpoint(name(i));
    else
      sidecar_.upstreams.update_endpoint(name(i), address_of(i), state, started_at_ms);
    sidecar_.dispatcher.update_endpoints(false, true, {make_endpoint(name(i), started_at_ms, state)});
  }

  // All endpoints begin to drain while an attempt connects; the attempt is sent to none of them.
  void drain_endpoints_while_connecting() {
    run_rounds(sidecar_.loop, 8);
    check_withdrawn_endpoints();
    if (clients_.size() >= 40) return;
    const std::string call_id = next_call_id();
    clients_.push_back({&sidecar_.connect_client(), {call_id}});
    run_rounds(sidecar_.loop, 3);
    const Counters& counters = sidecar_.counters;
    const auto opened = counters.connections_opened;
    const auto reused = counters.connections_reused;
    const auto received = counters.rpcs_received;
    clients_.back().connection->send(request_text(call_id));
    for (int n = 0; n < 50 && counters.rpcs_received == received; ++n) sidecar_.loop.run_once(0);
    if (counters.connections_opened != opened + 1 || counters.connections_reused != reused) return;
    sidecar_.dispatcher.update_endpoints(false, true, set_state_of_all(EndpointState::draining));
    run_rounds(sidecar_.loop, 10);
    for (const auto& endpoint : endpoints_) {
      endpoint->note_requests();
      endpoint->listed_ready = true;
    }
    const std::vector<Endpoint> ready = set_state_of_all(EndpointState::ready);
    CHECK_MESSAGE(request_counts_[call_id] == 0, call_id);
    request_counts_.erase(call_id);
    sidecar_.dispatcher.update_endpoints(false, true, ready);
  }

  std::vector<Endpoint> set_state_of_all(EndpointState state) {
    std::vector<Endpoint> entries;
    for (std::size_t i = 0; i < endpoints_.size(); ++i) {
      sidecar_.upstreams.update_endpoint(name(i), address_of(i), state);
      entries.push_back(make_endpoint(name(i), 0, state));
    }
    return entries;
  }

  void check_withdrawn_endpoints() {
    for (const auto& endpoint : endpoints_) {
      endpoint->note_requests();
      if (!endpoint->listed_ready)
        CHECK_MESSAGE(endpoint->requests_seen == endpoint->requests_when_withdrawn,
                      "a request came after the list update");
    }
  }

  void drain() {
    bool drained = false;
    sidecar_.server.drain([&] { drained = true; });
    const double started_at_ms = sidecar_.loop.now();
    while (!drained && sidecar_.loop.now() < started_at_ms + 3000) {
      sidecar_.loop.run_once(2);
      check_withdrawn_endpoints();
      if (random_.below(20) == 0) endpoints_[random_.below(endpoints_.size())]->answer_one();
    }
    CHECK(drained);
    run_rounds(sidecar_.loop);
    check_withdrawn_endpoints();
  }

  void check_drained() {
    CHECK(every_rpc_answered_once(sidecar_));
    for (const RandomClient& client : clients_) {
      if (client.has_left) continue;
      CHECK(client.connection->is_ended);
      CHECK(client.connection->received.size() == client.call_ids.size());  // one response to each request
    }
    if (safety_ == RetrySafety::non_idempotent)
      for (const auto& entry : request_counts_) CHECK_MESSAGE(entry.second <= 1, entry.first);
    for (const auto& entry : counts_when_left_)
      CHECK_MESSAGE(request_counts_[entry.first] <= entry.second, entry.first);
  }

  std::uint32_t seed_;
  RandomSource random_;
  bool long_budgets_;
  RetrySafety safety_;
  SidecarHarness sidecar_;
  RequestCounts request_counts_;
  std::vector<std::unique_ptr<RandomEndpoint>> endpoints_;
  std::vector<RandomClient> clients_;
  RequestCounts counts_when_left_;  // for requests whose client left: their count at that time
  int last_id_ = 0;
  double last_start_ms_ = 1;
};

}  // namespace

TEST_CASE(
    "with events in random order each request has one response and no unsafe one runs twice and none is sent "
    "once its client or endpoint has left") {
  Totals totals;
  for (std::uint32_t seed = 1; seed <= 24; ++seed) {
    CAPTURE(seed);
    RandomOrder order(seed);
    order.run();
    order.add_to(totals);
  }
  CHECK(totals.responses > 100);
  CHECK(totals.clients_left > 20);
  CHECK(totals.withdrawn > 5);
  CHECK(totals.retried_rpcs > 5);
}

}  // namespace host
