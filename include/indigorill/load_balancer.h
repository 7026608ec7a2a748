/// The interface between a load balancer and its host. The host reports events, then calls next_decision()
/// until it returns none, and carries out each decision. The load balancer has no I/O, clock or threads: all
/// calls on one load balancer come from one thread, and the host passes the time.
///
/// Times are fractional milliseconds on one monotonic clock of the host. The host provides all ids; the load
/// balancer returns them unaltered.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace indigorill {

/// Whether a request may be executed twice: always, only if endpoints deduplicate it by its idempotency key,
/// or never.
enum class RetrySafety { idempotent, idempotency_key, non_idempotent };

/// The set of endpoints within which a retry is deduplicated: all, one zone or one cell.
enum class DeduplicationScope { global, zone, cell };

/// One method of the service.
struct MethodConfig {
  std::string name;
  double latency_objective_ms = 0;  ///< a response after a longer time is a failure
  double priority_weight = 1;       ///< value of a response in time, relative to other methods
  double late_weight = 0;           ///< share of the priority weight that a late response keeps, 0 to 1
  RetrySafety retry_safety = RetrySafety::non_idempotent;
  DeduplicationScope deduplication_scope = DeduplicationScope::global;
  double deduplication_window_ms = 0;  ///< lifetime of the key, from the first attempt that may have run
  double deadline_ms = 0;              ///< total time of a client over its own retries; 0 if not known
};

/// One tenant and its quota.
struct TenantConfig {
  std::string name;
  double allowance_per_ms = 0;  ///< RPCs per ms, over all sidecars
};

/// Permissions, costs and limits of one load balancer.
struct LoadBalancerConfig {
  std::vector<MethodConfig> methods;
  std::string zone;    ///< zone of this sidecar
  double tick_ms = 1;  ///< minimum interval at which batches of events arrive from the host
  int max_attempts = 1;
  bool cancellation_enabled = false;
  bool probing_enabled = false;
  bool probes_report_load = false;
  bool must_poll_endpoints = false;  ///< the endpoint list is sent only after a poll
  bool key_affinity = false;         ///< an endpoint serves RPCs of a routing key that it knows faster
  double max_retry_after_ms = 0;     ///< longest Retry-After; 0 if clients ignore Retry-After

  // Costs are relative to the value of an RPC of the mean priority weight.
  double cross_zone_cost = 0;
  double probe_cost = 0;
  double handshake_cost = 0;

  double max_poll_silence_ms = 0;  ///< longest time without a request to the endpoint list's service
  double sidecar_count = 1;        ///< number of sidecars that share the endpoints

  double slow_start_initial_weight = 1;   ///< weight of an endpoint that just started; a warm one has 1
  double slow_start_duration_ms = 0;      ///< time from the start until the weight is 1
  double slow_start_overload_factor = 1;  ///< load that overloads the endpoint, as a multiple of its weight
  double slow_start_burst_ms = 0;         ///< period over which that load is measured

  std::vector<TenantConfig> tenants;
  double over_quota_weight = 1;  ///< share of the priority weight that RPCs over a quota keep, 0 to 1

  bool gossip_enabled = false;        ///< sidecars may send each other their load
  bool clients_mark_retries = false;  ///< clients say which of their RPCs are retries
  double gossip_message_cost = 0;     ///< cost of 256 bytes to one other sidecar
};

enum class EndpointState { ready, draining, gone };

/// One entry of the endpoint list.
struct Endpoint {
  std::string id;
  std::string zone;
  int cell = 0;
  double started_at_ms = 0;  ///< start of the process; 0 if it started long ago
  EndpointState state = EndpointState::ready;
  std::string machine_type = {};
};

/// A new RPC as the host received it; fields that the request does not state stay empty. The load balancer
/// copies the strings.
struct RpcArrival {
  std::string_view id;
  std::string_view method;
  double deadline_ms = 0;  ///< time at which the client stops waiting
  std::optional<std::uint64_t> routing_key;
  std::string_view tenant = {};
  bool is_retry = false;  ///< true if the client marked the RPC as its retry
};

/// A gossip message with the load that its sender, one sidecar, causes.
struct LoadGossip {
  static constexpr std::uint32_t sequence_modulus = 8100;
  static constexpr std::uint32_t endpoint_tag_count = 8100;

  struct EndpointLoad {
    std::uint32_t endpoint_tag;  ///< hash of the endpoint's id, below endpoint_tag_count
    double in_flight = 0;        ///< attempts of the sender at the endpoint
    double failures = 0;         ///< failed attempts of the sender since its last message
  };

  std::uint32_t sequence = 0;  ///< message number, modulo sequence_modulus
  /// True if the message lists all endpoints with attempts in flight; otherwise it lists those whose number
  /// of attempts in flight has changed, also to 0. Both list endpoints with new failures.
  bool is_complete = true;
  std::vector<double> arrivals_per_s;  ///< arriving RPCs by tenant, in the order of the config
  std::vector<EndpointLoad> endpoint_loads;
};

/// An endpoint's report of its load.
struct LoadReport {
  std::optional<double> in_flight;  ///< RPCs of all sidecars at the endpoint
};

/// How an attempt or a health check ended.
enum class AttemptOutcome {
  ok,
  error,
  rejected,  ///< by the endpoint, before execution
  timed_out,
  connect_failed,  ///< nothing was sent that the endpoint could have executed
  reset,           ///< the connection broke; the request may have been executed
  cancelled,
  client_error,  ///< the client's fault; for a health check: it was not sent at all
  withdrawn      ///< by the host before it was sent completely, as when its endpoint was ejected
};

/// An action that the host has to carry out.
struct Decision {
  enum class Action {
    send_attempt,
    reject,  ///< answer that the client may retry after the delay
    fail,    ///< answer that the RPC may have been executed
    cancel_attempt,
    health_check,
    poll_endpoints,
    set_timer,   ///< call on_timer() with the timer id after the delay
    send_gossip  ///< send the message to all other sidecars
  };

  Action action;
  std::string rpc_id = {};
  std::string endpoint_id = {};
  int attempt_index = 0;  ///< index among the attempts of the RPC, from 0
  double delay_ms = 0;    ///< timeout of an attempt, Retry-After of a rejection, delay of a timer
  std::uint64_t timer_id = 0;
  LoadGossip gossip = {};
  double send_deadline_ms = 1e18;  ///< time at which an attempt not yet sent completely is withdrawn
};

/// Decides for one sidecar to which endpoints RPCs are sent, and when they are retried, rejected or failed.
class LoadBalancer {
 public:
  /// Equal configs, seeds and calls lead to equal decisions.
  LoadBalancer(LoadBalancerConfig config, std::uint64_t seed, double now_ms);
  ~LoadBalancer();

  /// Applies an endpoint list, either a complete one or only its changes. `answers_poll`: false for a list
  /// that came without a poll or a subscription, such as the one restored at the start.
  void update_endpoints(double now_ms, bool is_complete, bool answers_poll,
                        const std::vector<Endpoint>& endpoints);
  /// Reports that a poll failed or was not answered in time, or that the subscription to the list has ended.
  /// `poll_duration_ms`: time since that poll began; empty if the host doesn't know it. A list that answers
  /// the poll later is still accepted.
  void endpoint_poll_failed(double now_ms, std::optional<double> poll_duration_ms = {});
  void on_rpc_arrived(double now_ms, const RpcArrival& arrival);
  /// Reports that bytes of a long response were forwarded, or that bytes of a long request can't be sent
  /// again: from now on the RPC has no timeout and no retry. `releases_endpoint`: only bytes are still being
  /// transferred, so the attempt no longer delays other RPCs at its endpoint.
  void on_response_started(double now_ms, std::string_view rpc_id, int attempt_index,
                           bool releases_endpoint = false);
  /// `is_concluded`: the client has its answer. Calls for attempts that are unknown or have ended already are
  /// ignored.
  void on_attempt_finished(double now_ms, std::string_view rpc_id, int attempt_index, AttemptOutcome outcome,
                           double duration_ms, bool is_concluded, const LoadReport& report);
  void on_probe_finished(double now_ms, std::string_view endpoint_id, AttemptOutcome outcome,
                         const LoadReport& report);
  void on_client_disconnected(double now_ms, std::string_view rpc_id);
  /// Records load gossip that another sidecar sent.
  void on_gossip(double now_ms, int sidecar, const LoadGossip& gossip);
  /// Sets the number of open connections to the endpoint that carry no request.
  void set_idle_connections(std::string_view endpoint_id, std::size_t count);
  /// Sets whether the limits that all sidecars share forbid a new connection to the endpoint now.
  void set_connection_limited(std::string_view endpoint_id, bool is_limited);
  /// Ejects or reinstates an endpoint for an operator. Nothing is sent to an ejected endpoint, whatever the
  /// endpoint list says. A reinstated endpoint warms up as if it had started at `since_ms`.
  void set_ejected_manually(double now_ms, std::string_view endpoint_id, bool is_ejected, double since_ms);
  /// Sets how many retries the fleet's quota leaves to this sidecar now; unlimited until the first call.
  void set_fleet_retry_quota(double retries);
  void on_timer(double now_ms, std::uint64_t timer_id);

  /// Returns the next decision at the time of the last call, none if nothing is left to decide.
  std::optional<Decision> next_decision();

 private:
  struct Implementation;
  std::unique_ptr<Implementation> implementation_;
};

}  // namespace indigorill
