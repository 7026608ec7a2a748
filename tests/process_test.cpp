// Tests of one sidecar as a separate process: signals and outages while requests are in flight. The checks
// use counts of requests and the exit status.
#include <doctest/doctest.h>
#include <fcntl.h>
#include <sys/stat.h>

#include <csignal>
#include <map>
#include <set>

#include "support/sidecar_process.h"

namespace host {
namespace {

std::string payment_request(int id, int budget_ms) {
  return "POST /pay-9 HTTP/1.1\r\nX-Call-Id: pay" + std::to_string(id) +
         "\r\nX-Call-Class: pay-9\r\nX-Budget: " + std::to_string(budget_ms) +
         "m\r\nContent-Length: 4\r\n\r\nbody";
}

// Clients that send one request after the other on all connections that are open, also after SIGTERM. A
// request that crosses the close of its connection is sent once more over a new one.
struct ClientCrowd {
  struct Client {
    std::unique_ptr<TestConnection> connection;
    int request_id = 0;  // of the request in flight; 0 without one
    bool resent = false;
  };
  EventLoop& event_loop;
  sockaddr_in address;
  int budget_ms;
  FileDescriptorBudget client_budget{200};
  std::vector<Client> clients;
  int last_id = 0;
  int answered = 0;
  int succeeded = 0;
  int refused = 0;
  int lost = 0;
  bool may_reconnect = true;  // clients may still open new connections

  ClientCrowd(EventLoop& loop, const sockaddr_in& server_address, int request_budget_ms,
              std::size_t client_count)
      : event_loop(loop), address(server_address), budget_ms(request_budget_ms), clients(client_count) {
    for (Client& client : clients) connect(client);
  }
  void connect(Client& client) {
    client.connection =
        std::make_unique<TestConnection>(event_loop, client_budget, start_connect(address), response);
  }
  void step(bool sends) {
    for (Client& client : clients) {
      if (!client.connection) continue;
      if (client.request_id && !client.connection->received.empty()) note_response(client);
      if (client.connection->is_ended && !reconnect(client)) continue;
      if (!sends || client.request_id) continue;
      client.request_id = ++last_id;
      client.connection->send(payment_request(client.request_id, budget_ms));
    }
  }
  void note_response(Client& client) {
    const http::Message& message = client.connection->received.back();
    const bool keep_alive = message.keep_alive;
    ++answered;
    ++(message.status == 200 ? succeeded : refused);
    client.connection->received.clear();
    client.request_id = 0;
    client.resent = false;
    if (!keep_alive) client.connection->is_ended = true;
  }
  // Returns false if the client is left without a connection.
  bool reconnect(Client& client) {
    client.connection.reset();
    if (client.request_id && (client.resent || !may_reconnect)) {
      ++lost;
      client.request_id = 0;
      return false;
    }
    if (!may_reconnect) return false;
    connect(client);
    if (client.request_id) {
      client.resent = true;
      client.connection->send(payment_request(client.request_id, budget_ms));
    }
    return true;
  }
  bool none_waiting() const {
    return std::all_of(clients.begin(), clients.end(),
                       [](const Client& client) { return client.request_id == 0; });
  }
};

}  // namespace

TEST_CASE(
    "processes: SIGTERM while the config is being read ends the process with status 0 and SIGHUP does not "
    "end it") {
  for (const int signal_number : {SIGTERM, SIGHUP}) {
    EventLoop loop;
    FakeServer agent(loop, {});
    SidecarProcess sidecar(agent.address, settings_variants[0]);
    REQUIRE(::mkfifo(sidecar.config_path.c_str(), 0600) == 0);
    sidecar.start(false);
    // The FIFO can be opened for writing once the process has it open for reading. The process reads until
    // the writer closes it.
    FileDescriptor fifo;
    REQUIRE(wait_for(loop, 20000, [&] {
      fifo = FileDescriptor(::open(sidecar.config_path.c_str(), O_WRONLY | O_NONBLOCK));
      return static_cast<bool>(fifo);
    }));
    sidecar.send_signal(signal_number);
    run_for(loop, 30);
    REQUIRE(::write(fifo.get(), sidecar.config_text.data(), sidecar.config_text.size()) ==
            static_cast<ssize_t>(sidecar.config_text.size()));
    fifo = {};
    if (signal_number == SIGHUP) {
      std::remove(sidecar.config_path.c_str());
      std::ofstream(sidecar.config_path) << sidecar.config_text;
      CHECK(sidecar.ready(loop));
      sidecar.send_signal(SIGTERM);
    }
    REQUIRE(wait_for(loop, 20000, [&] { return sidecar.has_exited(); }));
    CHECK(sidecar.exited_cleanly());
  }
}

TEST_CASE("processes: after SIGTERM under load every accepted request has one response and none runs twice") {
  for (const SettingsVariant& settings : settings_variants) {
    CAPTURE(std::string(settings.description));
    EventLoop loop;
    FakeServer agent(loop, {});
    FakeServer endpoint(loop, std::vector<std::string>(100000, response_text(200, "paid")));
    endpoint.budget.limit = 1000;
    SidecarProcess sidecar(agent.address, settings, known_endpoint_json(endpoint.address));
    sidecar.start();
    REQUIRE(sidecar.ready(loop));
    ClientCrowd clients(loop, sidecar.address, settings.deadline_ms, 24);
    const auto run_clients = [&](double duration_ms, bool sends) {
      for (const double end_ms = loop.now() + duration_ms; loop.now() < end_ms;) {
        loop.run_once(1);
        clients.step(sends);
      }
    };
    run_clients(300, true);
    CHECK(clients.succeeded > 100);
    const double signalled_at_ms = loop.now();
    sidecar.send_signal(SIGTERM);
    run_clients(40, true);
    sidecar.send_signal(SIGHUP);
    sidecar.send_signal(SIGTERM);
    run_clients(300, true);
    clients.may_reconnect = false;
    double exited_at_ms = 0;
    for (const double end_ms = signalled_at_ms + 20000; exited_at_ms == 0 && loop.now() < end_ms;) {
      loop.run_once(1);
      clients.step(true);  // on the connections that are still open
      if (sidecar.has_exited()) exited_at_ms = loop.now();
    }
    CHECK(exited_at_ms > 0);
    CHECK(sidecar.exited_cleanly());
    CHECK(exited_at_ms - signalled_at_ms < std::min(settings.deadline_ms, 3000) + 700);
    run_clients(20, false);
    CHECK(clients.lost == 0);
    CHECK(clients.none_waiting());
    CHECK(clients.answered == clients.last_id);
    std::map<std::string, int> run_counts;
    for (const auto& connection : endpoint.connections)
      for (const http::Message& message : connection->received)
        ++run_counts[std::string(message.find_header("X-Call-Id").value_or("none"))];
    CHECK(std::all_of(run_counts.begin(), run_counts.end(),
                      [](const auto& entry) { return entry.second == 1; }));
    CHECK(static_cast<int>(run_counts.size()) >= clients.succeeded);
  }
}

TEST_CASE(
    "processes: after SIGTERM the process ends in time although endpoints hang and clients stay silent") {
  for (const SettingsVariant& settings : settings_variants) {
    CAPTURE(std::string(settings.description));
    EventLoop loop;
    FakeServer agent(loop, {});
    FakeServer endpoint(loop, {});
    SidecarProcess sidecar(agent.address, settings, known_endpoint_json(endpoint.address));
    sidecar.start();
    REQUIRE(sidecar.ready(loop));
    FileDescriptorBudget budget{100};
    std::vector<std::unique_ptr<TestConnection>> clients;
    clients.reserve(8);
    for (int i = 0; i < 8; ++i)
      clients.push_back(
          std::make_unique<TestConnection>(loop, budget, start_connect(sidecar.address), response));
    for (int i = 0; i < 4; ++i) clients[i]->send(payment_request(i + 1, settings.deadline_ms));
    clients[4]->send(payment_request(5, settings.deadline_ms).substr(0, 40));
    REQUIRE(wait_for(loop, 2000, [&] { return endpoint.request_targets.size() == 4; }));
    const double signalled_at_ms = loop.now();
    sidecar.send_signal(SIGTERM);
    REQUIRE(wait_for(loop, 20000, [&] { return sidecar.has_exited(); }));
    CHECK(loop.now() - signalled_at_ms < std::min(settings.deadline_ms, 3000) + 700);
    CHECK(sidecar.exited_cleanly());
    run_for(loop, 10);
    for (int i = 0; i < 4; ++i) {
      REQUIRE(clients[i]->received.size() == 1);
      // It may have run, so the response does not call a retry harmless.
      CHECK(clients[i]->received[0].status == 502);
    }
    for (const auto& client : clients) CHECK(client->is_ended);
  }
}

TEST_CASE("processes: an invalid config ends the process with one log line and a nonzero status") {
  struct {
    const char *valid_text, *invalid_text, *expected_error;
  } table[] = {
      {R"("deadline":150000)", R"("deadline":0)", "config.settings.methods.deadline is not above 0"},
      {R"("latencyTarget":120000)", R"("latencyTarget":-5)",
       "config.settings.methods.latencyTarget is not above 0"},
      {R"("connectTimeout":1200000)", R"("connectTimeout":0)",
       "config.settings.bounds.connectTimeout is not above 0"},
      {R"("drainGrace":300000)", R"("drainGrace":-1)", "config.settings.rules.drainGrace is below 0"},
      {R"("drainGrace":300000)", R"("drainGrace":"soon")",
       "config.settings.rules.drainGrace is not a number"},
      {R"("maxPicks":1)", R"("maxPicks":0)", "config.settings.bounds.maxPicks is 0"},
      {R"("maxPicks":1)", R"("maxPicks":true)",
       "config.settings.bounds.maxPicks is not a whole number of 0 or more"},
      {R"("sockets":300)", R"("sockets":3)",
       "config.limits has a sockets value that is too low: too few descriptors would be left for "
       "connections"},
      {R"("cancelling":false)", R"("cancelling":1)",
       "config.settings.bounds.cancelling is not true or false"},
  };
  for (const auto& row : table) {
    CAPTURE(std::string(row.invalid_text));
    EventLoop loop;
    FakeServer agent(loop, {});
    SidecarProcess sidecar(agent.address, settings_variants[0]);
    const std::size_t at = sidecar.config_text.find(row.valid_text);
    REQUIRE(at != std::string::npos);
    sidecar.config_text.replace(at, std::string(row.valid_text).size(), row.invalid_text);
    sidecar.start();
    REQUIRE(wait_for(loop, 20000, [&] { return sidecar.has_exited(); }));
    CHECK_FALSE(sidecar.exited_cleanly());
    std::ifstream in(sidecar.log_path);
    std::vector<std::string> lines;
    for (std::string line; std::getline(in, line);) lines.push_back(line);
    REQUIRE(lines.size() == 1);
    CHECK(lines[0].find(row.expected_error) != std::string::npos);
  }
}

TEST_CASE(
    "processes: if a client leaves and its attempt connects while the process is suspended the request is "
    "not sent") {
  for (const bool disconnects : {false, true}) {
    EventLoop loop;
    FakeServer agent(loop, {});
    StalledListener stalled;
    const SettingsVariant long_times{"connects may take over a second", 8000, 8000, 3000, 1000, false};
    SidecarProcess sidecar(agent.address, long_times, known_endpoint_json(stalled.address));
    sidecar.start();
    REQUIRE(sidecar.ready(loop));
    FileDescriptorBudget budget{10};
    TestConnection client(loop, budget, start_connect(sidecar.address), response);
    TestConnection second(loop, budget, start_connect(sidecar.address), response);
    client.send(payment_request(1, 8000));
    // The attempt of the first client's RPC is connecting once the second client has a response to a later
    // request.
    REQUIRE(wait_for(loop, 2000, [&] { return client.stream->unacknowledged_bytes() == 0; }));
    for (int i = 0; i < 3; ++i) {
      second.send("GET /-/ready HTTP/1.1\r\n\r\n");
      REQUIRE(
          wait_for(loop, 2000, [&] { return second.received.size() == static_cast<std::size_t>(i + 1); }));
    }
    sidecar.send_signal(SIGSTOP);
    stalled.release();
    for (const double end_ms = loop.now() + 1500; loop.now() < end_ms; stalled.receive()) loop.run_once(5);
    CHECK_FALSE(stalled.accepted.empty());  // the connect succeeded
    CHECK(stalled.request_count() == 0);
    if (disconnects) client.close();  // after the connect, so that it is second in the order of events
    run_for(loop, 20);
    sidecar.send_signal(SIGCONT);
    for (const double end_ms = loop.now() + 300; loop.now() < end_ms; stalled.receive()) loop.run_once(5);
    CHECK(stalled.request_count() == (disconnects ? 0 : 1));
  }
}

TEST_CASE(
    "processes: of thirty restarted together nine in ten are ready within 10 s in any state of discovery") {
  struct {
    const char* description;
    double response_delay_ms;  // of discovery; below 0 discovery is down
    bool load_balancer_polls;  // the load balancer decides on polls of the list
  } table[] = {{"discovery is up", 0, false},
               {"discovery answers after 1 s", 1000, false},
               {"discovery answers after 1 s, polled by the load balancer", 1000, true},
               {"discovery is down", -1, false},
               {"discovery is down, polled by the load balancer", -1, true}};
  constexpr std::size_t process_count = 30;
  for (const auto& row : table) {
    CAPTURE(std::string(row.description));
    EventLoop loop;
    FakeServer endpoint(loop, {});
    FakeServer agent(loop,
                     std::vector<std::string>(100000, response_text(200, R"({"generation":1,"reset":true,)"
                                                                         R"("instances":[]})")),
                     row.response_delay_ms < 0 ? bind_on_loopback() : listen_on_loopback());
    agent.budget.limit = 100000;
    agent.response_delay_ms = std::max(row.response_delay_ms, 0.0);
    std::vector<std::unique_ptr<SidecarProcess>> processes;
    for (std::size_t i = 0; i < process_count; ++i) {
      processes.push_back(std::make_unique<SidecarProcess>(agent.address, settings_variants[1],
                                                           known_endpoint_json(endpoint.address)));
      std::string& text = processes.back()->config_text;
      if (row.load_balancer_polls)
        text.replace(text.find(R"("settings":{)"), 12, R"("settings":{"discovery":"subscribe",)");
    }
    // Returns how many are ready within `max_ms`; all are polled side by side.
    const auto ready_within = [&](double max_ms) {
      FileDescriptorBudget budget{2 * process_count};
      std::vector<std::unique_ptr<TestConnection>> connections(process_count);
      std::vector<double> connected_at_ms(process_count, 0);
      std::vector<bool> ready(process_count, false);
      for (const double end_ms = loop.now() + max_ms;
           loop.now() < end_ms && std::count(ready.begin(), ready.end(), true) < 30;) {
        for (std::size_t i = 0; i < process_count; ++i) {
          if (ready[i]) continue;
          if (connections[i] && !connections[i]->received.empty() &&
              connections[i]->received[0].status == 200) {
            ready[i] = true;
            connections[i].reset();
          } else if (!connections[i] || connections[i]->is_ended || loop.now() > connected_at_ms[i] + 500) {
            connections[i] = std::make_unique<TestConnection>(loop, budget,
                                                              start_connect(processes[i]->address), response);
            connections[i]->send("GET /-/ready HTTP/1.1\r\n\r\n");
            connected_at_ms[i] = loop.now();
          }
        }
        loop.run_once(5);
      }
      return std::count(ready.begin(), ready.end(), true);
    };
    for (auto& sidecar : processes) sidecar->start();
    REQUIRE(ready_within(30000) == process_count);
    for (auto& sidecar : processes) sidecar->kill_process();
    for (auto& sidecar : processes) sidecar->start();
    CHECK(ready_within(10000) >= 27);
    CHECK(std::none_of(processes.begin(), processes.end(),
                       [](auto& sidecar) { return sidecar->has_exited(); }));
  }
}

TEST_CASE(
    "processes: discovery's list is fetched after its recovery although idle clients hold all descriptors") {
  for (const bool refused : {false, true}) {
    CAPTURE(refused);
    EventLoop loop;
    FakeServer agent(loop, {}, refused ? bind_on_loopback() : listen_on_loopback());
    std::vector<FileDescriptor> backlog_fillers;
    if (!refused) {
      agent.listener_watch.cancel();
      backlog_fillers = fill_backlog(agent.listener);
    }
    FakeServer old_endpoint(loop, {});
    FakeServer new_endpoint(loop, std::vector<std::string>(10, response_text(200, "paid")));
    SidecarProcess sidecar(agent.address, settings_variants[1], known_endpoint_json(old_endpoint.address));
    const std::string limit = R"("sockets":300)";
    sidecar.config_text.replace(sidecar.config_text.find(limit), limit.size(), R"("sockets":64)");
    sidecar.descriptor_limit = 64;
    sidecar.start();
    REQUIRE(sidecar.ready(loop));
    FileDescriptorBudget budget{400};
    std::vector<std::unique_ptr<TestConnection>> idle_clients;
    for (int i = 0; i < 150; ++i) {
      idle_clients.push_back(
          std::make_unique<TestConnection>(loop, budget, start_connect(sidecar.address), response));
      if (i % 10 == 0) run_for(loop, 10);
    }
    // Clients whose connection was closed to make room connect again.
    const auto reconnect_closed = [&] {
      for (auto& client : idle_clients)
        if (client->is_ended)
          client = std::make_unique<TestConnection>(loop, budget, start_connect(sidecar.address), response);
    };
    for (const double end_ms = loop.now() + 1000; loop.now() < end_ms; reconnect_closed()) loop.run_once(5);
    CHECK(old_endpoint.request_targets.empty());
    backlog_fillers.clear();
    const std::string list_response =
        response_text(200, R"({"generation":2,"reset":true,"instances":[{"instanceId":"b","hostPort":")" +
                               address_text(new_endpoint.address) + R"(","lifecycle":"up"}]})");
    agent.responses = {list_response};
    ::listen(agent.listener.get(), 100);
    agent.start_accepting();
    REQUIRE(wait_for(loop, 3000, [&] { return reconnect_closed(), !agent.request_targets.empty(); }));
    for (const double end_ms = loop.now() + 300; loop.now() < end_ms; reconnect_closed()) loop.run_once(5);
    idle_clients.clear();
    TestConnection client(loop, budget, start_connect(sidecar.address), response);
    client.send(payment_request(1, 3000));
    REQUIRE(wait_for(loop, 4000, [&] { return !client.received.empty() || client.is_ended; }));
    REQUIRE(client.received.size() == 1);
    CHECK(client.received[0].status == 200);
    CHECK(new_endpoint.request_targets.size() == 1);
    CHECK(old_endpoint.request_targets.empty());
  }
}

}  // namespace host
