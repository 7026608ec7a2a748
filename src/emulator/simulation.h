/// \file
/// Simulates applications, their sidecars with the real load balancer (or a baseline), the network,
/// connections, servers, the discovery service and faults as events in one queue. It uses neither sockets nor
/// the wall clock.
///
/// The implementation is split by concern over the files simulation_*.cpp.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "emulator/balancing_policy.h"
#include "emulator/emulated_server.h"
#include "emulator/event_queue.h"
#include "emulator/run_metrics.h"
#include "emulator/scenario.h"
#include "emulator/trace.h"
#include "emulator/workload.h"
#include "limits/fleet_limiter.h"
#include "proxy/connect_timeout_estimator.h"

namespace indigorill::emulator {

/// Times are milliseconds since the start of the run. Servers and sidecars are numbered from 0.
class Simulation {
 public:
  /// The listeners must outlive the simulation.
  Simulation(const Scenario& scenario, PolicyKind policy, std::uint64_t seed,
             std::vector<TraceListener*> listeners = {});
  Simulation(const Simulation&) = delete;
  Simulation& operator=(const Simulation&) = delete;

  /// Runs one event. Returns false once the end of the run is reached.
  bool run_next_event();
  RunMetrics run_to_end();
  /// Returns whether the request counts add up: each request that arrived is concluded, lost or still open.
  bool is_conserved() const;

  double now() const { return events_.now(); }
  std::uint64_t connections_at(std::uint32_t server) const { return servers_.at(server).connections; }
  std::size_t server_count() const { return servers_.size(); }

 private:
  /// A server, its location in the fleet and its counters.
  struct ServerState {
    std::unique_ptr<EmulatedServer> server;
    int zone = 0;
    int cell = 0;
    double speed = 1;
    const ServerGroup* group = nullptr;
    bool unreachable = false;  // its machine is lost: it sends no responses and no refusals
    bool draining = false;
    bool advertised = true;         // on the endpoint list
    std::uint32_t incarnation = 0;  // incarnation number of its process; connections end with the process
    std::uint64_t connections = 0;
    std::uint64_t incoming_attempts = 0;  // attempts that have started, but neither arrived nor finished
    std::int64_t counted_second = -1;     // second to which the next two counters belong
    std::uint64_t handshakes_in_second = 0;
    std::uint64_t health_checks_in_second = 0;
  };
  struct IdleConnection {
    double idle_since_ms;
    std::uint32_t server_incarnation;
  };
  struct SidecarState {
    std::unique_ptr<BalancingPolicy> policy;
    bool running = false;
    bool executing_decisions = false;
    bool stale = false;  // it has not received all changes of the endpoint list
    bool update_scheduled = false;
    bool subscribed = false;
    bool full_list_next = false;    // its next poll requests the full list
    std::uint32_t incarnation = 0;  // incarnation number of its process
    int zone = 0;
    double arrival_share = 0;        // its share of all arrivals
    std::size_t known_changes = 0;   // number of endpoint list changes that it has received
    std::uint64_t pending_poll = 0;  // id of the poll that it waits for; 0: none
    double poll_started_at_ms = 0;
    std::uint64_t overdue_poll = 0;  // id of a timed-out poll whose response is still accepted; 0: none
    std::vector<std::vector<IdleConnection>> idle_connections;  // by server, the most recently used last
    ConnectTimeoutEstimator connect_timeout{0};
    std::unique_ptr<FleetLimiter> limiter;  // null: no limits
    std::vector<char> connection_limited;   // for each server, the value last passed to the policy
    RandomStream arrival_random{0};
  };
  enum class AttemptPhase { connecting, sent, finished };
  struct Attempt {
    std::uint32_t server;
    std::uint32_t server_incarnation;
    AttemptPhase phase;
    bool new_connection;
    bool counted_as_incoming;
    double started_at_ms;
    std::uint64_t job;
  };
  struct AttemptId {
    std::uint64_t rpc;
    int index;
  };
  /// An attempt in transit to the server. The sidecar may have finished it in the meantime.
  struct AttemptInTransit {
    AttemptId id;
    std::uint32_t sidecar;
    std::uint32_t server;
    std::uint32_t server_incarnation;
    std::uint64_t job;
    double work_ms;
  };
  struct OpenRpc {
    std::uint32_t sidecar;
    std::uint64_t request;
    bool concluded = false;
    std::vector<Attempt> attempts;
    bool has_no_open_attempt() const;
  };
  /// A request of an application, with all retries of its client.
  struct ClientRequest {
    std::uint32_t sidecar;
    std::size_t method;
    double arrived_at_ms;
    double work_ms;
    int retries_left;
    double retry_delay_ms;
    bool measured;  // whether it arrived after the warm-up
  };
  enum class RequestOutcome { ok, late, rejected, failed, unanswered, lost };
  struct ServerJob {
    AttemptId attempt;  // rpc 0: the handshake of a health check
    std::uint32_t sidecar;
  };
  struct HealthCheck {
    std::uint64_t id;
    std::uint32_t sidecar;
    std::uint32_t sidecar_incarnation;
    std::uint32_t server;
  };
  enum class ListOrigin { restored, discovery_response };

  // simulation.cpp: setup, and functions that all parts use.
  void add_initial_servers();
  void add_sidecars();
  std::unique_ptr<FleetLimiter> make_limiter(std::uint32_t sidecar) const;
  void start_sidecar(std::uint32_t sidecar);
  void kill_sidecar(std::uint32_t sidecar);
  void drop_rpcs_of(std::uint32_t sidecar);
  void abandon_attempt(Attempt& attempt);
  void drop_requests_of(std::uint32_t sidecar);
  bool is_same_process(std::uint32_t sidecar, std::uint32_t incarnation) const;
  double one_way_delay(int from_zone, int to_zone);
  void trace(TraceEvent event);
  void trace_attempt(TraceEvent::Kind kind, AttemptId id, std::uint32_t server, std::uint32_t sidecar);
  SecondMetrics& second_metrics(std::size_t second);
  SecondMetrics& current_second();

  // simulation_requests.cpp: applications.
  void schedule_next_arrival(std::uint32_t sidecar);
  void on_arrival(std::uint32_t sidecar);
  void send_request(std::uint64_t request);
  void on_request_deadline(std::uint64_t rpc);
  void conclude_request(std::uint64_t request, RequestOutcome outcome);
  void count_outcome(RequestOutcome outcome, SecondMetrics& second);
  void retry_or_conclude(std::uint64_t request, RequestOutcome outcome, double retry_after_ms);
  const MethodConfig& method_of(const ClientRequest& request) const;

  // simulation_attempts.cpp: decisions of sidecars, attempts.
  void execute_decisions(std::uint32_t sidecar);
  void execute(std::uint32_t sidecar, const Decision& decision);
  void start_timer(std::uint32_t sidecar, const Decision& decision);
  void start_attempt(std::uint32_t sidecar, const Decision& decision);
  void connect(AttemptId id);
  void on_connect_received(AttemptId id, std::uint32_t sidecar, std::uint32_t server, double started_at_ms);
  void on_connect_timeout(AttemptId id, std::uint32_t sidecar);
  void on_connected(AttemptId id, std::uint32_t server, std::uint32_t incarnation, double started_at_ms);
  void send_attempt(AttemptId id);
  void on_attempt_received(const AttemptInTransit& attempt);
  void respond(const AttemptInTransit& attempt, AttemptOutcome outcome);
  void on_job_started(std::uint32_t server, std::uint64_t job);
  void on_job_finished(std::uint32_t server, std::uint64_t job, EmulatedServer::JobOutcome outcome,
                       double jobs_in_flight);
  void finish_attempt(AttemptId id, AttemptOutcome outcome, const LoadReport& report);
  void release_attempt(const OpenRpc& rpc, Attempt& attempt, AttemptOutcome outcome);
  void stop_counting_as_incoming(Attempt& attempt);
  void count_attempt_outcome(AttemptOutcome outcome);
  void on_attempt_timeout(AttemptId id);
  void cancel_attempt(const Decision& decision);
  void answer_rpc(std::uint64_t rpc, RpcAnswer answer, double retry_after_ms);
  void erase_if_finished(std::uint64_t rpc);
  Attempt& attempt(AttemptId id);
  Attempt* find_open_attempt(AttemptId id);

  // simulation_connections.cpp: idle connections and limits.
  bool take_idle_connection(std::uint32_t sidecar, std::uint32_t server, IdleConnection& taken);
  void keep_idle_connection(std::uint32_t sidecar, std::uint32_t server, std::uint32_t server_incarnation);
  void close_expired_connections(std::uint32_t sidecar, std::uint32_t server, double idle_since_ms);
  void report_idle_connections(std::uint32_t sidecar, std::uint32_t server);
  bool accept_connection(ServerState& server);
  void close_connection(std::uint32_t server, std::uint32_t incarnation);
  void release_connection_slot(std::uint32_t sidecar, std::uint32_t server);
  void apply_limits(std::uint32_t sidecar);
  void close_connections_over_limit(std::uint32_t sidecar, std::uint32_t server);
  void update_limiter_endpoints(std::uint32_t sidecar);
  void roll_second_counters(ServerState& server);

  // simulation_health_checks.cpp
  void start_health_check(std::uint32_t sidecar, std::uint32_t server);
  bool acquire_health_check(std::uint32_t sidecar, std::uint32_t server);
  void connect_health_check(const HealthCheck& check);
  void on_health_check_received(const HealthCheck& check, std::uint32_t server_incarnation);
  void answer_health_check(const HealthCheck& check, std::uint32_t server_incarnation,
                           double return_delay_ms);
  void finish_health_check_after(double delay_ms, const HealthCheck& check, AttemptOutcome outcome);
  bool finish_health_check(const HealthCheck& check, AttemptOutcome outcome, const LoadReport& report);

  // simulation_discovery.cpp: the endpoint list.
  Endpoint make_endpoint(std::uint32_t server, EndpointState state) const;
  void publish_change(std::uint32_t server, EndpointState state);
  bool receives_updates(const SidecarState& sidecar) const;
  void schedule_endpoint_update(std::uint32_t sidecar);
  void deliver_changes(std::uint32_t sidecar);
  void deliver_full_list(std::uint32_t sidecar, ListOrigin origin);
  void close_connections_to_gone_server(std::uint32_t sidecar, std::uint32_t server);
  std::map<std::uint32_t, Endpoint> endpoints_after(std::size_t change_count) const;
  void trace_notification(std::uint32_t sidecar, std::uint32_t server, const Endpoint& endpoint);
  void poll_discovery(std::uint32_t sidecar);
  void on_poll_received(std::uint32_t sidecar, std::uint64_t poll, bool full_list);
  void on_poll_response(std::uint32_t sidecar, std::uint64_t poll, bool full_list);
  void on_poll_timeout(std::uint32_t sidecar, std::uint64_t poll);
  void on_poll_rejected(std::uint32_t sidecar, std::uint64_t poll);
  void on_poll_failed(std::uint32_t sidecar);
  void mark_up_to_date(std::uint32_t sidecar);
  void stop_discovery();
  void resume_discovery();

  // simulation_servers.cpp
  enum class StopCause { process_ended, machine_lost };
  std::uint32_t add_server(const ServerGroup& group, int zone, int cell, double speed);
  void stop_server(std::uint32_t server, StopCause cause);
  void crash_server(std::uint32_t server, StopCause cause);
  void on_connections_reset(std::uint32_t server);
  void on_crash_detected(std::uint32_t server, std::uint32_t incarnation);
  void restart_server(std::uint32_t server);
  void trace_server_state(std::uint32_t server);
  double true_response_time(std::uint32_t sidecar, std::uint32_t server) const;
  double mean_work_ms() const;

  // simulation_faults.cpp
  void schedule_fault(const Fault& fault, std::size_t index);
  void schedule_fault_event(double time_ms, EventQueue::Callback callback);
  void schedule_sidecar_restarts(const Fault& fault, RandomStream& random);
  void schedule_zone_loss(const Fault& fault);
  void schedule_server_kills(const Fault& fault, RandomStream& random);
  void schedule_server_drains(const Fault& fault, RandomStream& random);
  void start_draining(std::uint32_t server, Fault::Kind kind);
  void finish_draining(std::uint32_t server, Fault::Kind kind);
  void schedule_server_stalls(const Fault& fault, RandomStream& random);
  void schedule_server_slowdowns(const Fault& fault, RandomStream& random);
  void schedule_server_errors(const Fault& fault, RandomStream& random);
  void schedule_packet_loss(const Fault& fault);
  void schedule_load_surge(const Fault& fault);
  void schedule_discovery_overload(const Fault& fault);
  void schedule_discovery_outage(const Fault& fault);

  const Scenario scenario_;
  PolicyKind policy_;
  std::uint64_t seed_;
  std::vector<TraceListener*> listeners_;
  EventQueue events_;
  double end_at_ms_;
  RandomStream network_random_;
  RandomStream discovery_random_;
  RandomStream client_random_;

  std::vector<ServerState> servers_;
  std::vector<SidecarState> sidecars_;
  std::map<std::uint64_t, OpenRpc> rpcs_;
  std::map<std::uint64_t, ClientRequest> requests_;
  std::unordered_map<std::uint64_t, ServerJob> jobs_;
  std::unordered_set<std::uint64_t> open_health_checks_;
  std::uint64_t last_rpc_id_ = 0;
  std::uint64_t last_request_id_ = 0;
  std::uint64_t last_job_id_ = 0;
  std::uint64_t last_health_check_id_ = 0;

  ArrivalPattern arrival_pattern_;
  double surge_factor_ = 1;
  double packet_loss_ = 0;

  std::vector<Endpoint> initial_endpoints_;
  std::vector<Endpoint> endpoint_changes_;
  std::vector<std::uint32_t> changed_servers_;  // server of each entry of endpoint_changes_
  double first_change_at_ms_ = -1;
  double discovery_free_at_ms_ = 0;  // time at which the discovery service will have processed its queue
  double discovery_slowdown_ = 1;
  std::size_t discovery_queue_length_ = 0;
  std::size_t stale_sidecar_count_ = 0;
  bool discovery_silent_ = false;
  std::uint64_t last_poll_id_ = 0;

  RunMetrics metrics_;
};

/// Runs one simulation with a RuleChecker on its trace. `listener`, if not null, receives the trace as well.
RunMetrics run_simulation(const Scenario& scenario, PolicyKind policy, std::uint64_t seed,
                          TraceListener* listener = nullptr);

}  // namespace indigorill::emulator
