/// The interface between a load balancer and its host. The host reports what happened, then calls
/// next_decision() until there is none, and carries out what it gets. No I/O, clock or threads: all calls of
/// one load balancer come from one thread, and the host brings the time.
///
/// Times are milliseconds with fractions on one clock of the host's that only advances. Ids are the host's
/// own; the load balancer hands them back unaltered.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace indigorill {

/// Whether a request may be executed twice: always, if endpoints deduplicate it by its idempotency key,
/// never.
enum class RetrySafety { idempotent, idempotency_key, non_idempotent };

/// Which endpoints deduplicate retries among each other.
enum class DeduplicationScope { global, zone, cell };

/// One method of the service.
struct MethodConfig {
  std::string name;
  double latency_objective_ms = 0;  ///< a later response is a failure
  double priority_weight = 1;       ///< worth of a response in time, relative to other methods
  double late_weight = 0;           ///< share of the priority weight that a later response keeps, 0 to 1
  RetrySafety retry_safety = RetrySafety::non_idempotent;
  DeduplicationScope deduplication_scope = DeduplicationScope::global;
  double deduplication_window_ms = 0;  ///< from the first attempt that may have run
  double deadline_ms = 0;              ///< of a client in all, over its own retries; 0 if not known
};

/// One tenant and its quota.
struct TenantConfig {
  std::string name;
  double allowance_per_ms = 0;  ///< RPCs over all sidecars
};

/// What a load balancer may do, what that costs, and the rules it has to keep.
struct LoadBalancerConfig {
  std::vector<MethodConfig> methods;
  std::string zone;    ///< of this sidecar
  double tick_ms = 1;  ///< shortest time between two rounds of the host
  int max_attempts = 1;
  bool cancellation_enabled = false;
  bool probing_enabled = false;
  bool probes_report_load = false;
  bool must_poll_endpoints = false;  ///< the endpoint list comes only when polled
  bool key_affinity = false;         ///< endpoints serve RPCs of a routing key that they know faster
  double max_retry_after_ms = 0;     ///< 0 if clients take no advice

  // Costs are relative to the worth of an RPC of the mean priority weight.
  double cross_zone_cost = 0;
  double probe_cost = 0;
  double handshake_cost = 0;

  double max_poll_silence_ms = 0;  ///< longest time without a call to the endpoint list's service
  double sidecar_count = 1;        ///< that share the endpoints

  double slow_start_initial_weight = 1;   ///< of an endpoint that just started, beside a warm one's 1
  double slow_start_duration_ms = 0;      ///< until it weighs as much as a warm one
  double slow_start_overload_factor = 1;  ///< times its weight, the load that overloads it
  double slow_start_burst_ms = 0;         ///< over which that load is measured

  std::vector<TenantConfig> tenants;
  double over_quota_weight = 1;  ///< share of the priority weight that RPCs beyond a quota keep

  bool gossip_enabled = false;        ///< sidecars may tell each other of their load
  bool clients_mark_retries = false;  ///< clients say which of their RPCs are retries
  double gossip_message_cost = 0;     ///< of 256 bytes to one other sidecar
};

enum class EndpointState { ready, draining, gone };

/// One entry of the endpoint list.
struct Endpoint {
  std::string id;
  std::string zone;
  int cell = 0;
  double started_at_ms = 0;  ///< 0 for long ago
  EndpointState state = EndpointState::ready;
  std::string machine_type = {};
};

/// What the host learned of a new RPC; absent facts stay empty. The texts are copied.
struct RpcArrival {
  std::string_view id;
  std::string_view method;
  double deadline_ms = 0;  ///< time at which the client gives up
  std::optional<std::uint64_t> routing_key;
  std::string_view tenant = {};
  bool is_retry = false;  ///< of the client's, where clients say so
};

/// What one sidecar tells the others of the load that it causes.
struct LoadGossip {
  static constexpr std::uint32_t sequence_modulus = 8100;
  static constexpr std::uint32_t endpoint_tag_count = 8100;

  struct EndpointLoad {
    std::uint32_t endpoint_tag;  ///< hash of its id, below endpoint_tag_count
    double in_flight = 0;        ///< attempts of the sender
    double failures = 0;         ///< of the sender's attempts since its last message
  };

  std::uint32_t sequence = 0;  ///< modulo sequence_modulus
  /// Lists all endpoints with attempts in flight; else those that changed, with none in flight as well.
  bool is_complete = true;
  std::vector<double> arrivals_per_s;  ///< by tenant in the order of the config
  std::vector<EndpointLoad> endpoint_loads;
};

/// What an endpoint reports of its load.
struct LoadReport {
  std::optional<double> in_flight;  ///< RPCs of all sidecars
};

/// How an attempt or a health check has ended.
enum class AttemptOutcome {
  ok,
  error,
  rejected,  ///< by the endpoint, before it ran
  timed_out,
  connect_failed,  ///< nothing that could run was sent
  reset,           ///< the connection broke when the request may have run
  cancelled,
  client_error,  ///< the client's fault; of a health check: it was not sent at all
  withdrawn      ///< by the host before a byte was sent, as the endpoint was ejected meanwhile
};

/// What the host is to do.
struct Decision {
  enum class Action {
    send_attempt,
    reject,  ///< answer that the client may retry, after the delay
    fail,    ///< answer that the RPC may have run
    cancel_attempt,
    health_check,
    poll_endpoints,
    set_timer,   ///< call on_timer() with the timer id after the delay
    send_gossip  ///< to all other sidecars
  };

  Action action;
  std::string rpc_id = {};
  std::string endpoint_id = {};
  int attempt_index = 0;  ///< of the RPC, counted from 0
  double delay_ms = 0;    ///< timeout of an attempt, Retry-After of a rejection, delay of a timer
  std::uint64_t timer_id = 0;
  LoadGossip gossip = {};
  double send_deadline_ms = 1e18;  ///< an attempt not sent completely by then is to be withdrawn
};

/// Decides for one sidecar where RPCs are sent, when they are retried, rejected or failed.
class LoadBalancer {
 public:
  /// Equal configs, seeds and calls lead to equal decisions.
  LoadBalancer(LoadBalancerConfig config, std::uint64_t seed, double now_ms);
  ~LoadBalancer();

  /// A list of endpoints, complete or of changes alone. `answers_poll`: false for a list that came without a
  /// poll or a subscription, as the one restored at the start.
  void update_endpoints(double now_ms, bool is_complete, bool answers_poll,
                        const std::vector<Endpoint>& endpoints);
  /// A poll failed or was not answered in time, or the subscription to the list has ended.
  /// `poll_duration_ms`: how long ago that poll began; without a value where the host doesn't know. A list
  /// that answers the poll later still counts.
  void endpoint_poll_failed(double now_ms, std::optional<double> poll_duration_ms = {});
  void on_rpc_arrived(double now_ms, const RpcArrival& arrival);
  /// Bytes of a long response were passed on, or a long request's own can't be sent again: no timeout and no
  /// retry from here. `releases_endpoint`: what is on its way are bytes, and keeps no one waiting there.
  void on_response_started(double now_ms, std::string_view rpc_id, int attempt_index,
                           bool releases_endpoint = false);
  /// `is_concluded`: the client has its answer. Attempts that are not known or have ended are ignored.
  void on_attempt_finished(double now_ms, std::string_view rpc_id, int attempt_index, AttemptOutcome outcome,
                           double duration_ms, bool is_concluded, const LoadReport& report);
  void on_probe_finished(double now_ms, std::string_view endpoint_id, AttemptOutcome outcome,
                         const LoadReport& report);
  void on_client_disconnected(double now_ms, std::string_view rpc_id);
  /// Load gossip of another sidecar.
  void on_gossip(double now_ms, int sidecar, const LoadGossip& gossip);
  /// Open connections to the endpoint that carry nothing.
  void set_idle_connections(std::string_view endpoint_id, std::size_t count);
  /// No new connection may be opened to the endpoint now, for the sake of all sidecars together.
  void set_connection_limited(std::string_view endpoint_id, bool is_limited);
  /// Ejected by an operator: nothing is sent there, whatever the list says. Once reinstated, the endpoint
  /// warms up as one that started then.
  void set_ejected_manually(double now_ms, std::string_view endpoint_id, bool is_ejected, double since_ms);
  /// Retries that all sidecars together leave to this one now; no bound until set.
  void set_fleet_retry_quota(double retries);
  void on_timer(double now_ms, std::uint64_t timer_id);

  /// The next decision at the time of the last call, none if nothing is left to decide.
  std::optional<Decision> next_decision();

 private:
  struct Implementation;
  std::unique_ptr<Implementation> implementation_;
};

}  // namespace indigorill
