/// \file
/// Fakes of the endpoints and of the discovery agents: the emulator's servers behind HTTP on loopback, with
/// the emulator's faults.
///
/// fake_fleet.cpp holds the servers and their faults, fake_discovery.cpp the endpoint list.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "emulator/emulated_server.h"
#include "emulator/scenario.h"
#include "load/http_listener.h"
#include "load/wall_clock_scheduler.h"

namespace indigorill::load_generator {

/// Offsets from a configured base port: agents start at the base, sidecars and servers at these offsets.
constexpr std::size_t sidecar_port_offset = 1000;
constexpr std::size_t server_port_offset = 2000;

/// Returns 0 if `base_port` is 0: the kernel then chooses the port.
std::uint16_t port_of(std::uint16_t base_port, std::size_t offset);

/// One attempt as a server received it.
struct AttemptObservation {
  std::size_t server = 0;
  double received_at_ms = 0;
  double time_budget_ms = 0;  ///< time budget in the request, in ms; 0: none
};

/// The servers' observations of one RPC.
struct RpcObservation {
  int received = 0;
  int executed = 0;
  std::vector<AttemptObservation> attempts;
};

/// The way in which all discovery agents answer.
enum class DiscoveryMode { healthy, silent, refuses, unavailable, slow, half_response };

/// A change of the endpoint list, and when discovery learned of it and sent it to a sidecar. Times are
/// milliseconds of the run.
struct EndpointChange {
  std::size_t server = 0;
  EndpointState state = EndpointState::ready;
  double known_at_ms = never;      ///< when the first agent learned of the change
  double delivered_at_ms = never;  ///< when the change was first written to a sidecar

  static constexpr double never = 1e18;
};

struct FleetCounters {
  std::uint64_t health_checks = 0;
  std::uint64_t connections = 0;
  std::uint64_t crashes = 0;
  std::uint64_t malformed_requests = 0;
  std::uint64_t discovery_polls = 0;
};

/// Servers and sidecars are numbered from 0. Constructor arguments passed by reference, except for the
/// scenario, must outlive the fleet.
class FakeFleet {
 public:
  FakeFleet(EventLoop& loop, FileDescriptorBudget& descriptors, WallClockScheduler& clock,
            const emulator::Scenario& scenario, std::uint64_t seed, std::uint16_t base_port);

  /// Address of the sidecar's own discovery agent.
  std::string agent_address(std::size_t sidecar) const;
  /// The complete endpoint list, as an agent would send it at the start.
  std::string endpoint_list() const;
  /// Adds an agent that no sidecar uses yet, and returns its number.
  std::size_t add_agent();
  /// The agent accepts no more connections, and closes its open ones at `closes_at_ms`.
  void retire_agent(std::size_t agent, double closes_at_ms);
  /// `response_delay_ms` applies to DiscoveryMode::slow alone.
  void set_discovery_mode(DiscoveryMode mode, double response_delay_ms = 0);
  /// Schedules a fault of servers or of discovery; does nothing for other faults.
  void schedule_fault(const emulator::Fault& fault, std::size_t index);

  const std::unordered_map<std::string, RpcObservation>& rpcs() const { return observations_; }
  /// Times at which servers received retries of the sidecars, in ms of the run.
  const std::vector<double>& retry_times() const { return retry_times_; }
  /// The largest number of retries received within any window of this length.
  std::size_t max_retries_within(double window_ms) const;
  const FleetCounters& counters() const { return counters_; }
  const std::vector<EndpointChange>& endpoint_changes() const { return change_records_; }

 private:
  struct ServerJob {
    std::string rpc_id;
    std::uint64_t connection;
  };
  struct ServerState {
    std::unique_ptr<emulator::EmulatedServer> server;
    std::unique_ptr<HttpListener> listener;
    const emulator::ServerGroup* group = nullptr;
    int zone = 0;
    int cell = 0;
    double speed = 1;
    bool draining = false;
    bool advertised = true;    // on the endpoint list
    bool unreachable = false;  // the server's machine is lost
    std::map<std::uint64_t, ServerJob> jobs;
    std::unordered_set<std::uint64_t> used_connections;  // connections that have carried a request
  };
  struct Watch {
    std::uint64_t connection;
    std::size_t known_changes;
    EventLoop::Timer timer;
  };
  struct FakeAgent {
    std::unique_ptr<HttpListener> listener;
    std::size_t known_changes = 0;  // number of changes of the endpoint list that the agent knows
    bool update_scheduled = false;
    bool is_retired = false;
    std::vector<Watch> watches;
  };
  enum class StopCause { process_ended, machine_lost };

  // fake_fleet.cpp: servers.
  std::size_t add_server(const emulator::ServerGroup& group, int zone, int cell, double speed);
  emulator::EmulatedServer::Callbacks server_callbacks(std::size_t server);
  void on_request(std::size_t server, std::uint64_t connection, const http::Message& request);
  void on_health_check(std::size_t server, std::uint64_t connection);
  void on_rpc(std::size_t server, std::uint64_t connection, const http::Message& request,
              double handshake_work_ms);
  void on_job_started(std::size_t server, std::uint64_t job);
  void on_job_finished(std::size_t server, std::uint64_t job, emulator::EmulatedServer::JobOutcome outcome,
                       double jobs_in_flight);
  void on_connection_closed(std::size_t server, std::uint64_t connection);
  void stop_server(std::size_t server, StopCause cause);
  void on_stop_detected(std::size_t server);
  void restart_server(std::size_t server);
  void schedule_fault_event(double time_ms, emulator::EventQueue::Callback callback);
  void schedule_zone_loss(const emulator::Fault& fault);
  void schedule_server_fault(const emulator::Fault& fault, std::size_t server, double start_ms);
  void start_draining(std::size_t server, emulator::Fault::Kind kind);
  void finish_draining(std::size_t server, emulator::Fault::Kind kind);

  // fake_discovery.cpp: the endpoint list.
  std::string format_endpoint(std::size_t server, EndpointState state) const;
  void publish_change(std::size_t server, EndpointState state);
  void schedule_endpoint_update(std::size_t agent);
  void deliver_endpoint_update(std::size_t agent);
  void on_discovery_poll(std::size_t agent, std::uint64_t connection, const http::Message& request);
  void add_watch(std::size_t agent, std::uint64_t connection, std::size_t known_changes, double wait_ms);
  void remove_watches(std::size_t agent, std::uint64_t connection);
  void answer_poll(std::size_t agent, std::uint64_t connection, std::size_t known_changes,
                   bool wants_full_list);
  void write_response(std::size_t agent, std::uint64_t connection, const std::string& response,
                      std::size_t sent_changes);
  void answer_with_full_list(std::size_t agent, std::uint64_t connection);
  void answer_with_changes(std::size_t agent, std::uint64_t connection, std::size_t known_changes);
  void send_list(std::size_t agent, std::uint64_t connection, bool is_complete,
                 const std::vector<std::string>& endpoints);
  void schedule_discovery_overload(const emulator::Fault& fault);
  void schedule_discovery_outage(const emulator::Fault& fault);

  EventLoop& loop_;
  FileDescriptorBudget& descriptors_;
  WallClockScheduler& clock_;
  const emulator::Scenario scenario_;
  std::uint64_t seed_;
  std::uint16_t base_port_;
  emulator::RandomStream discovery_random_;
  std::vector<std::unique_ptr<ServerState>> servers_;
  std::vector<std::unique_ptr<FakeAgent>> agents_;
  std::vector<std::string> endpoint_changes_;
  std::vector<std::size_t> changed_servers_;  // the server of each entry of endpoint_changes_
  std::vector<EndpointChange> change_records_;
  DiscoveryMode discovery_mode_ = DiscoveryMode::healthy;
  double response_delay_ms_ = 0;
  std::uint64_t last_job_id_ = 0;
  double discovery_slowdown_ = 1;
  bool discovery_silent_ = false;
  std::unordered_map<std::string, RpcObservation> observations_;
  std::vector<double> retry_times_;
  FleetCounters counters_;
};

/// Returns one line for each feature of the scenario that is not supported on loopback.
std::vector<std::string> find_unsupported_features(const emulator::Scenario& scenario);

}  // namespace indigorill::load_generator
