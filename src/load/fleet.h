// Stand-ins for endpoints and for discovery's agents: the emulator's servers behind HTTP on loopback, with
// troubles by the same words.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "emulator/emulated_server.h"
#include "emulator/scenario.h"
#include "load/clockwork.h"
#include "load/listener.h"

namespace indigorill::loading {

// Where ports are told by a base: agents first, then sidecars, then servers. Base 0: the kernel chooses.
constexpr std::size_t sidecar_port_offset = 1000, server_port_offset = 2000;
std::uint16_t port_of(std::uint16_t base, std::size_t which);

// What an endpoint saw of one RPC.
struct RpcObservation {
  int received = 0, executed = 0;
};

class FakeFleet {
 public:
  FakeFleet(EventLoop& in, FileDescriptorBudget& budget, WallClockScheduler& clock,
            const emulator::Scenario& plays, std::uint64_t seed, std::uint16_t base_port);

  // One agent for each sidecar.
  std::string agent_address(std::size_t sidecar) const {
    return format_address(agents_[sidecar]->listener.address());
  }
  std::string endpoint_list() const;  // the whole, as an agent would tell it at the start
  void schedule_fault(const emulator::Fault& t, std::size_t which);

  const std::unordered_map<std::string, RpcObservation>& rpcs() const { return observations_; }
  // The most further picks that began here within so many ms.
  std::size_t max_retries_within(double window) const;
  const std::vector<double>& retry_times() const { return retry_times_; }
  std::uint64_t health_checks = 0, connections = 0, crashes = 0, malformed_requests = 0, discovery_polls = 0;

 private:
  struct ServerJob {
    std::string rpc_id;
    std::uint64_t connection;
  };
  struct ServerState {
    std::unique_ptr<emulator::EmulatedServer> server;
    std::unique_ptr<HttpListener> listener;
    const emulator::ServerGroup* group = nullptr;
    int zone = 0, cell = 0;
    double speed = 1;
    bool draining = false, advertised = true, unreachable = false;
    std::map<std::uint64_t, ServerJob> jobs;
    std::unordered_map<std::uint64_t, bool> new_connections;  // connections that have carried nothing yet
  };
  struct FakeAgent {
    FakeAgent(EventLoop& in, FileDescriptorBudget& budget, HttpListener::RequestHandler then,
              std::function<void(std::uint64_t)> closed, std::uint16_t port)
        : listener(in, budget, std::move(then), std::move(closed), port) {}
    HttpListener listener;
    std::size_t known_changes = 0;  // changes that it has been sent
    bool update_scheduled = false;
    struct Watch {
      std::uint64_t connection;
      std::size_t known_changes;
      EventLoop::Timer timer;
    };
    std::vector<Watch> watches;
  };

  std::size_t add_server(const emulator::ServerGroup& k, int zone, int cell, double speed);
  void on_request(std::size_t server, std::uint64_t connection, const http::Message& m);
  void on_job_finished(std::size_t server, std::uint64_t job, emulator::EmulatedServer::JobOutcome how,
                       double held);
  void on_connection_closed(std::size_t server, std::uint64_t connection);
  void stop_server(std::size_t server, bool machine);
  void restart_server(std::size_t server);
  void publish_change(std::size_t server, EndpointState how);
  void schedule_endpoint_update(std::size_t agent);
  void on_discovery_poll(std::size_t agent, std::uint64_t connection, const http::Message& m);
  void answer_poll(std::size_t agent, std::uint64_t connection, std::size_t from, bool whole);
  std::string format_endpoint(std::size_t server, EndpointState how) const;

  EventLoop& loop_;
  FileDescriptorBudget& budget_;
  WallClockScheduler& clock_;
  const emulator::Scenario scenario_;
  std::uint64_t seed_;
  std::uint16_t base_port_;
  emulator::RandomStream discovery_random_;
  std::vector<std::unique_ptr<ServerState>> servers_;
  std::vector<std::unique_ptr<FakeAgent>> agents_;
  std::vector<std::string> endpoint_changes_;
  std::vector<std::size_t> changed_servers_;
  std::uint64_t last_job_id_ = 0;
  double discovery_slowdown_ = 1;
  bool discovery_silent_ = false;
  std::unordered_map<std::string, RpcObservation> observations_;
  std::vector<double> retry_times_;  // when each came
};

// The words of a scenario that can't be played on loopback, a line each.
std::vector<std::string> find_unsupported_features(const emulator::Scenario& s);

}  // namespace indigorill::loading
