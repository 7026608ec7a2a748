// What a host tells one balancer, and what it asks of it. Times are milliseconds with fractions on one
// clock that only advances. Ids are the host's own; the balancer hands them back unaltered.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace indigorill {

enum class RetrySafety { idempotent, idempotency_key, non_idempotent };
enum class DeduplicationScope { global, zone, cell };

struct MethodConfig {
  std::string name;
  double latency_objective_ms = 0;
  double priority_weight = 1;
  double late_weight = 0;  // share of the utility left after the latency target
  RetrySafety retry_safety = RetrySafety::non_idempotent;
  DeduplicationScope deduplication_scope = DeduplicationScope::global;
  double deduplication_window_ms =
      0;                   // how long the group drops repeats, from the first send that may have run
  double deadline_ms = 0;  // for which a client waits in all, over its own retries; 0: not told
};

// Of a tenant: the RPCs a second, over all sidecars, inside its share.
struct TenantConfig {
  std::string name;
  double allowance_per_ms = 0;
};

// The ground on which a balancer stands: what it may do and what the rules demand of it.
struct LoadBalancerConfig {
  std::vector<MethodConfig> methods;
  std::string zone;
  double tick_ms = 1;  // the host's shortest time between two rounds
  int max_attempts = 1;
  bool cancellation_enabled = false, probing_enabled = false, probes_report_load = false;
  bool must_poll_endpoints = false;  // the list comes only when asked for
  bool key_affinity = false;
  double max_retry_after_ms = 0;  // 0: clients take no advice
  double cross_zone_cost = 0, probe_cost = 0, handshake_cost = 0;
  double max_poll_silence_ms = 0;  // longest silence towards the list's service
  double sidecar_count = 1;        // that share it
  double slow_start_initial_weight = 1, slow_start_duration_ms = 0, slow_start_overload_factor = 1,
         slow_start_burst_ms = 0;
  std::vector<TenantConfig> tenants;
  double over_quota_weight = 1;  // what a tenant sends beyond its allowance keeps this share of its utility
  bool gossip_enabled = false;   // sidecars may tell one another what they know
  bool clients_mark_retries = false;  // clients say which of their RPCs are repeats
  double gossip_message_cost = 0;     // of 256 bytes to one other sidecar, for each RPC
};

enum class EndpointState { ready, draining, gone };

struct Endpoint {
  std::string id, zone;
  int cell = 0;
  double started_at_ms = 0;  // 0: long ago
  EndpointState state = EndpointState::ready;
  std::string machine_type = {};  // of machine
};

// What the host learned of a new RPC; absent facts stay empty.
struct RpcArrival {
  std::string_view id, method;
  double deadline_ms = 0;
  std::optional<std::uint64_t> routing_key;
  std::string_view tenant = {};
  bool is_retry = false;  // of an earlier RPC of the client's, where clients say so
};

// What one sidecar tells the others: what it alone knows.
struct LoadGossip {
  static constexpr std::uint32_t sequence_modulus = 8100, endpoint_tag_count = 8100;
  struct EndpointLoad {
    std::uint32_t endpoint_tag;          // its mark: a hash of its id, below `marks`
    double in_flight = 0, failures = 0;  // RPCs of ours in hand there, and failures since the last message
  };
  std::uint32_t sequence = 0;          // counts on, and round
  bool is_complete = true;             // all that is in hand; else what changed, nothing in hand included
  std::vector<double> arrivals_per_s;  // RPCs a second, by tenant in the settings' order
  std::vector<EndpointLoad> endpoint_loads;
};

struct LoadReport {
  std::optional<double> in_flight;  // RPCs in hand
};

// withdrawn: taken back by the host before a byte was sent, as its server was withheld meanwhile.
enum class AttemptOutcome {
  ok,
  error,
  rejected,
  timed_out,
  connect_failed,
  reset,
  cancelled,
  client_error,
  withdrawn
};

struct Decision {
  enum class Action {
    send_attempt,
    reject,
    fail,
    cancel_attempt,
    health_check,
    poll_endpoints,
    set_timer,
    send_gossip
  } action;
  std::string rpc_id, endpoint_id;
  int attempt_index = 0;       // which pick of the RPC, counted from 0
  double delay_ms = 0;         // time-out of a pick, advice of a push-back, delay of a wake-up
  std::uint64_t timer_id = 0;  // to be given back to woken()
  LoadGossip gossip = {};      // to all other sidecars
  double send_deadline_ms =
      1e18;  // a pick that isn't sent whole by then is to be withdrawn, however it came late
};

class LoadBalancer {
 public:
  LoadBalancer(LoadBalancerConfig where, std::uint64_t seed, double now);
  ~LoadBalancer();

  // Each of these only updates what is known.
  // asked: the list may answer a call of ours; false for the one restored at the start.
  void update_endpoints(double now, bool whole, bool asked, const std::vector<Endpoint>& entries);
  void endpoint_poll_failed(double now);
  void on_rpc_arrived(double now, const RpcArrival& what);
  // Or a long RPC's own bytes can't be sent again: no time-out and no further pick from here.
  // eases: what is on its way is bytes, and keeps nobody waiting at the server.
  void on_response_started(double now, std::string_view rpc, int pick, bool eases = false);
  void on_attempt_finished(double now, std::string_view rpc, int pick, AttemptOutcome how, double took,
                           bool concluded, const LoadReport& report);
  void on_probe_finished(double now, std::string_view server, AttemptOutcome how, const LoadReport& report);
  void on_client_disconnected(double now, std::string_view rpc);
  void on_gossip(double now, int sidecar, const LoadGossip& what);  // by another one
  void set_idle_connections(std::string_view server,
                            std::size_t connections);  // open there, with nothing on them
  // A server to which no connection may be opened now, for the sake of all sidecars together.
  void set_connection_limited(std::string_view server, bool is);
  // A server that staff took out by hand: nothing goes there, whatever the list says. Put back, it is as cold
  // as one that started then.
  void set_ejected_manually(double now, std::string_view server, bool is, double since);
  // How many further picks of RPCs all sidecars together leave to this one now; no bound until told.
  void set_fleet_retry_quota(double further_picks);
  void on_timer(double now, std::uint64_t wake);

  // The next decision at the time last told, or none.
  std::optional<Decision> next_decision();

 private:
  struct Implementation;
  std::unique_ptr<Implementation> implementation_;
};

}  // namespace indigorill
