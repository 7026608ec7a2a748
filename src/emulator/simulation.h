// The emulated world: applications, their sidecars with the real module (or a baseline), the network,
// connections, servers, the list's service and troubles, as events in one agenda. No sockets, no wall clock.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "emulator/balancing_policy.h"
#include "emulator/emulated_server.h"
#include "emulator/event_queue.h"
#include "emulator/run_metrics.h"
#include "emulator/scenario.h"
#include "emulator/trace.h"
#include "emulator/workload.h"
#include "proxy/connect_timeout_estimator.h"

namespace indigorill::emulator {

class Simulation {
 public:
  Simulation(const Scenario& plays, PolicyKind by, std::uint64_t seed, std::vector<TraceListener*> told = {});
  Simulation(const Simulation&) = delete;
  Simulation& operator=(const Simulation&) = delete;

  bool run_next_event();      // one event; false once the stated end is reached
  RunMetrics run_to_end();    // plays to the end
  bool is_conserved() const;  // arrived = answered, given up or lost, and open

  double now() const { return events_.now(); }
  std::uint64_t connections_at(std::uint32_t server) const { return servers_.at(server).connections; }
  std::size_t server_count() const { return servers_.size(); }

 private:
  struct ServerState {  // a server and what is round it
    std::unique_ptr<EmulatedServer> server;
    int zone = 0, cell = 0;
    double speed = 1;
    const ServerGroup* group = nullptr;
    bool unreachable = false, draining = false, advertised = true;
    std::uint32_t incarnation = 0;  // of its process: connections end with it
    std::uint64_t connections = 0, incoming_attempts = 0;
    std::int64_t counted_second = -1;
    std::uint64_t handshakes_in_second = 0, health_checks_in_second = 0;  // in that second
  };
  struct IdleConnection {
    double idle_since_ms;
    std::uint32_t incarnation;
  };
  struct SidecarState {
    std::unique_ptr<BalancingPolicy> policy;
    bool running = false, executing_decisions = false, stale = false, update_scheduled = false,
         subscribed = false, full_list_next = false;
    std::uint32_t incarnation = 0;
    int zone = 0;
    double arrival_share = 0;
    std::size_t known_changes = 0;                              // changes of the list
    std::uint64_t pending_poll = 0;                             // for the list, that is out; 0: none
    std::vector<std::vector<IdleConnection>> idle_connections;  // by server, the last used last
    ConnectTimeoutEstimator connect_timeout{0};
    std::unique_ptr<FleetLimiter> limiter;  // none: without limits
    std::vector<char> connection_limited;   // by server, as the brain was told
    RandomStream arrival_random{0};
  };
  enum class AttemptPhase { connecting, sent, finished };
  struct Attempt {
    std::uint32_t server, server_incarnation;
    AttemptPhase phase;
    bool new_connection, counted_as_incoming;
    double started_at_ms;
    std::uint64_t job;
  };
  struct OpenRpc {
    std::uint32_t sidecar;
    std::uint64_t request;
    bool concluded = false;
    std::vector<Attempt> attempts;
    bool has_no_open_attempt() const;
  };
  struct ClientRequest {  // what an application wants, over all its tries
    std::uint32_t sidecar;
    std::size_t method;
    double arrived_at_ms, work_ms;
    int retries_left;
    double retry_delay_ms;
    bool measured;
  };
  struct ServerJob {
    std::uint64_t rpc;
    int attempt;
    std::uint32_t sidecar;
  };

  // Set up.
  std::uint32_t add_server(const ServerGroup& k, int zone, int cell, double speed);
  void start_sidecar(std::uint32_t s);
  void schedule_fault(const Fault& t, std::size_t which);

  // Applications.
  void schedule_next_arrival(std::uint32_t s);
  void on_arrival(std::uint32_t s);
  void send_request(std::uint64_t of);
  enum class RequestOutcome { ok, late, rejected, failed, unanswered, lost };
  void conclude_request(std::uint64_t of, RequestOutcome f);
  void retry_or_conclude(std::uint64_t of, RequestOutcome f, double advice);

  // Sidecars.
  void execute_decisions(std::uint32_t s);
  void execute(std::uint32_t s, const Decision& d);
  void start_attempt(std::uint32_t s, const Decision& d);
  void connect(std::uint64_t id, int n);
  void on_connected(std::uint64_t id, int n, std::uint32_t server, std::uint32_t life, double began);
  void send_attempt_bytes(std::uint64_t id, int n);
  void on_attempt_received(std::uint64_t id, int n, std::uint32_t s, std::uint32_t server, std::uint32_t life,
                           std::uint64_t job, double work);
  void on_job_finished(std::uint32_t server, std::uint64_t job, EmulatedServer::JobOutcome how, double held);
  void finish_attempt(std::uint64_t id, int n, AttemptOutcome how, const LoadReport& report);
  void release_attempt(OpenRpc& r, Attempt& p, AttemptOutcome how);
  void on_attempt_timeout(std::uint64_t id, int n);
  void cancel_attempt(std::uint32_t s, const Decision& d);
  void start_health_check(std::uint32_t s, std::uint32_t server);
  void answer_rpc(std::uint64_t id, RpcAnswer a, double advice);
  void erase_if_finished(std::uint64_t id);
  void keep_idle_connection(std::uint32_t s, std::uint32_t server, std::uint32_t life);
  bool take_idle_connection(std::uint32_t s, std::uint32_t server, IdleConnection& got);
  bool accept_connection(ServerState& at);  // a connection, if the table has room
  void close_connection(std::uint32_t server, std::uint32_t life);
  void report_idle_connections(std::uint32_t s, std::uint32_t server);
  void apply_limits(std::uint32_t s);
  void release_connection_slot(std::uint32_t s,
                               std::uint32_t server);  // a connection of a sidecar's own, or a try at one
  void update_limiter_endpoints(std::uint32_t s);
  void roll_second_counters(ServerState& at);
  void kill_sidecar(std::uint32_t s);
  Attempt* find_open_attempt(std::uint64_t id, int n);

  // The list.
  Endpoint make_endpoint(std::uint32_t server, EndpointState how) const;
  void publish_change(std::uint32_t server, EndpointState how);
  void schedule_endpoint_update(std::uint32_t s);
  void deliver_endpoints(std::uint32_t s, bool whole, bool asked);
  void poll_discovery(std::uint32_t s);
  void on_poll_failed(std::uint32_t s, std::uint64_t call);
  void mark_up_to_date(std::uint32_t s);

  // Servers.
  void stop_server(std::uint32_t server, bool machine, bool noticed);
  void restart_server(std::uint32_t server);
  void trace_server_state(std::uint32_t server);
  double true_response_time(std::uint32_t s, std::uint32_t server) const;

  double one_way_delay(int from_zone, int to_zone);
  void trace(TraceEvent e);
  SecondMetrics& current_second();

  const Scenario scenario_;
  PolicyKind policy_;
  std::uint64_t seed_;
  std::vector<TraceListener*> listeners_;
  EventQueue events_;
  double end_at_ms_;
  RandomStream network_random_, discovery_random_, client_random_;
  std::vector<ServerState> servers_;
  std::vector<SidecarState> sidecars_;
  std::map<std::uint64_t, OpenRpc> rpcs_;
  std::map<std::uint64_t, ClientRequest> requests_;
  std::unordered_map<std::uint64_t, ServerJob> jobs_;
  ArrivalPattern arrival_pattern_;
  double surge_factor_ = 1, packet_loss_ = 0;
  std::uint64_t last_rpc_id_ = 0, last_request_id_ = 0, last_job_id_ = 0, last_poll_id_ = 0;
  std::vector<Endpoint> initial_endpoints_, endpoint_changes_;
  std::vector<std::uint32_t> changed_servers_;  // which server each of the changes concerns
  double first_change_at_ms_ = -1, discovery_free_at_ms_ = 0, discovery_slowdown_ = 1;
  std::size_t discovery_queue_length_ = 0, stale_sidecar_count_ = 0;
  bool discovery_silent_ = false;
  RunMetrics metrics_;
};

// One run under the auditor's eyes; `more` listens too.
RunMetrics run_simulation(const Scenario& s, PolicyKind by, std::uint64_t seed,
                          TraceListener* more = nullptr);

}  // namespace indigorill::emulator
