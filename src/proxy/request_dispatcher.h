/// @file
/// RPCs and their attempts, between the HTTP server and the connection pool. The dispatcher is the only
/// caller of the load balancer: it reports events to it and carries out its decisions.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "event/event_loop.h"
#include "http/header_codec.h"
#include "http/http_parser.h"
#include "indigorill/load_balancer.h"
#include "logging/logger.h"
#include "metrics/counters.h"
#include "proxy/call_id_registry.h"
#include "proxy/upstream_pool.h"

namespace indigorill {

/// The final result of an RPC.
struct RpcResult {
  enum class Outcome { ok, rejected, failed } outcome;
  http::Message response = {};  ///< the endpoint's, if ok or if it is a client error
  double retry_after_ms = 0;    ///< of a rejection: time after which the client may retry
};

class RequestDispatcher {
 public:
  /// Callbacks of the dispatcher for one RPC. `on_result` is called once, for a long response with its first
  /// part; the other callbacks are called for long messages only.
  struct ResponseHandler {
    std::function<void(RpcResult)> on_result;
    /// Receives the next piece of a long response. Returns true if more is wanted at once; otherwise
    /// resume_response() has to be called for it.
    std::function<bool(std::string_view piece, bool last)> on_body_piece = [](std::string_view, bool) {
      return true;
    };
    /// The rest of a long response will not follow.
    EventLoop::Callback on_aborted = [] {};
    /// The next piece of a long request may be passed to send_request_body().
    EventLoop::Callback on_ready_for_body = [] {};
  };

  /// All references must outlive the dispatcher.
  RequestDispatcher(EventLoop& event_loop, UpstreamPool& upstream_pool, Counters& counters, Logger& logger,
                    const LoadBalancerConfig& config, std::uint64_t seed);

  /// Other processes of this sidecar then accept no id that is open here, and the reverse.
  void share_call_ids(CallIdLocks locks) { call_ids_.share(std::move(locks)); }
  /// To be called with the id that the client assigned to an RPC, before dispatch(). Returns false if one
  /// with this id is in flight.
  bool try_open_call_id(std::string_view call_id) { return call_ids_.try_open(call_id, event_loop_.now()); }
  bool is_known_method(std::string_view method) const { return known_methods_.count(method) > 0; }
  /// Retry-After for RPCs that the HTTP server can't dispatch; 0 if clients don't support it.
  double longest_retry_after_ms() const { return longest_retry_after_ms_; }

  /// Starts an RPC whose request reached this machine at `received_at_ms`, and returns its id. The handler's
  /// `on_result` is called once, possibly before this returns, unless on_client_left() is called first.
  std::string dispatch(http::Message request, double received_at_ms, ResponseHandler handler);
  void on_client_left(const std::string& rpc_id);
  /// For the end of the process: gives each RPC in flight its final result and aborts long responses that are
  /// not complete.
  void abort_all();
  void resume_response(const std::string& rpc_id);
  /// Sends the next piece of a long request. Returns true if more may be passed at once. `received_at_ms` is
  /// used only for the last piece, from which the RPC's budget counts.
  bool send_request_body(const std::string& rpc_id, std::string_view bytes, bool last, double received_at_ms);
  /// Ends the attempt of a long request that its endpoint takes too slowly. `waiting_ms`: for how long the
  /// client may have waited.
  void give_up_request_body(const std::string& rpc_id, double waiting_ms);

  /// `complete`: endpoints that are not among the entries are gone. `answers_poll`: the list may answer a
  /// poll that the load balancer requested; false for a list that is restored.
  void update_endpoints(bool complete, bool answers_poll, const std::vector<Endpoint>& entries);
  void endpoint_poll_failed(std::optional<double> poll_duration_ms = {});
  /// Sets the function that polls the endpoint list for the load balancer. It is called at once if the load
  /// balancer has already requested a poll.
  void on_endpoint_poll(EventLoop::Callback poll);
  /// Applies an operator's ejection or restoration of an endpoint at `since_ms`. Attempts to an ejected
  /// endpoint of which no byte is written yet are withdrawn and decided again.
  void set_ejected_manually(const std::string& endpoint_id, bool ejected, double since_ms);

  /// The quota of retries that all sidecars of a fleet share.
  struct RetryQuota {
    std::function<double()> remaining;  ///< retries left to this sidecar now
    std::function<bool()> try_consume;  ///< consumes a retry now; false if none is left
    EventLoop::Callback on_shortage;    ///< a retry was wanted and none was left
  };
  /// Without this quota, only the load balancer bounds retries.
  void use_fleet_retry_quota(RetryQuota quota) { fleet_retry_quota_ = std::move(quota); }

  /// RPCs that are not concluded, or have an attempt in flight.
  std::size_t in_flight() const { return rpcs_.size(); }

 private:
  struct Attempt {
    UpstreamPool::ExchangeId exchange_id;
    std::string endpoint_id;
    double sent_at_ms;
    bool in_flight;
    bool may_have_executed = true;
  };
  struct Rpc {
    http::Message request;
    std::string_view call_id;  // assigned by the client; a view into the request
    double received_at_ms;
    double deadline_ms;
    double budget_ms;  // from the request's last byte to the deadline
    ResponseHandler handler;
    std::vector<Attempt> attempts;
    bool is_idempotent = false;
    bool client_left = false;
    bool concluded = false;               // it has its result, or its client has left
    bool request_body_discarded = false;  // part of a long request is dropped: it can't be sent again
    bool streaming_response = false;      // a long response is being forwarded
    LoadReport load_report;               // from the head of the long response
    bool has_no_attempt_in_flight() const;
  };

  // Decisions of the load balancer.
  void carry_out_decisions();
  void carry_out(const Decision& decision);
  void conclude_by_decision(const Decision& decision, RpcResult result);
  void send_attempt(const Decision& decision);
  void cancel_attempt(const Decision& decision);
  void send_health_check(const std::string& endpoint_id);
  void poll_endpoints();
  void start_balancer_timer(const Decision& decision);
  void note_retry_shortage(const std::string& rpc_id);

  // Attempts.
  UpstreamPool::Exchange make_exchange(const Decision& decision);
  void on_attempt_ended(const std::string& rpc_id, int attempt_index, UpstreamPool::ExchangeResult result);
  void conclude_by_attempt(const std::string& rpc_id, UpstreamPool::ExchangeResult& result);
  bool on_response_started(const std::string& rpc_id, int attempt_index, const http::Message& response);
  void on_ready_for_body(const std::string& rpc_id, int attempt_index);
  Attempt* find_attempt_in_flight(const std::string& rpc_id);
  void abandon_attempt(const std::string& rpc_id, int attempt_index,
                       AttemptOutcome outcome = AttemptOutcome::cancelled);
  void log_attempt(const std::string& rpc_id, int attempt_index, const UpstreamPool::ExchangeResult& result,
                   const LoadReport& report);
  void note_incomplete_response(const Rpc& rpc, int attempt_index, AttemptOutcome outcome,
                                const ResponseProgress& progress);
  void abandon_all_attempts(const std::string& rpc_id);
  void withdraw_unsent_attempts(const std::string& rpc_id);

  // The end of an RPC.
  void abort_rpc(const std::string& rpc_id);
  void conclude_rpc(const std::string& rpc_id, RpcResult result);
  void count_result(RpcResult::Outcome outcome);
  void log_result(const std::string& rpc_id, const RpcResult& result) const;
  void close_call_id(const Rpc& rpc);
  void erase_if_concluded(const std::string& rpc_id);

  EventLoop& event_loop_;
  UpstreamPool& upstream_pool_;
  Counters& counters_;
  Logger& logger_;
  bool probes_report_load_;
  double longest_retry_after_ms_;
  std::set<std::string, std::less<>> known_methods_;
  std::set<std::string, std::less<>> idempotent_methods_;
  LoadBalancer load_balancer_;
  EventLoop::Callback poll_endpoints_;
  std::optional<RetryQuota> fleet_retry_quota_;
  bool carrying_out_decisions_ = false;
  bool endpoint_poll_pending_ = false;
  double next_incomplete_log_at_ms_ = 0;
  std::uint64_t last_id_ = 0;
  std::unordered_map<std::string, Rpc> rpcs_;
  CallIdRegistry call_ids_;
  std::map<std::uint64_t, EventLoop::Timer> balancer_timers_;
};

}  // namespace indigorill
