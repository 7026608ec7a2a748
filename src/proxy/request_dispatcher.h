/// @file
/// RPCs and their attempts, between the HTTP server and the connection pool. The only caller of the load
/// balancer: reports to it what happened, and carries out its decisions.
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
#include "proxy/upstream_pool.h"

namespace indigorill {

/// The final result of an RPC.
struct RpcResult {
  enum class Outcome { ok, rejected, failed } outcome;
  http::Message response = {};  ///< the endpoint's, if ok or if it finds fault with the request
  double retry_after_ms = 0;    ///< advice of a rejection
};

class RequestDispatcher {
 public:
  /// What the dispatcher calls for one RPC. `on_result` is called once; of a long response it brings the
  /// first part, and the other functions serve long messages alone.
  struct ResponseHandler {
    std::function<void(RpcResult)> on_result;
    /// The next piece of a long response. Returns whether more is wanted at once; else resume_response() asks
    /// for it.
    std::function<bool(std::string_view piece, bool last)> on_body_piece = [](std::string_view, bool) {
      return true;
    };
    /// The rest of a long response will not come.
    EventLoop::Callback on_aborted = [] {};
    /// The next piece of a long request may be given by send_request_body().
    EventLoop::Callback on_ready_for_body = [] {};
  };

  /// All references must outlive the dispatcher.
  RequestDispatcher(EventLoop& event_loop, UpstreamPool& upstream_pool, Counters& counters, Logger& logger,
                    const LoadBalancerConfig& config, std::uint64_t seed);

  /// Whether an RPC with this id of the client's is in flight.
  bool is_call_id_open(std::string_view call_id) const { return open_call_ids_.count(call_id) > 0; }
  bool is_known_method(std::string_view method) const { return known_methods_.count(method) > 0; }
  /// Retry-After for who can't be served at all; 0 where clients take no advice.
  double longest_retry_after_ms() const { return longest_retry_after_ms_; }

  /// Takes an RPC whose bytes reached this machine at `received_at_ms`, and returns its id. The handler's
  /// result is called once, perhaps before this returns, unless the client leaves before.
  std::string dispatch(http::Message request, double received_at_ms, ResponseHandler handler);
  void on_client_left(const std::string& rpc_id);
  /// The process ends: each RPC in flight has its final result now, a long response that is not complete is
  /// aborted.
  void abort_all();
  void resume_response(const std::string& rpc_id);
  /// The next piece of a long request; `received_at_ms` counts for the last one. True if more may be given at
  /// once.
  bool send_request_body(const std::string& rpc_id, std::string_view bytes, bool last, double received_at_ms);

  /// `complete`: endpoints that are not among the entries are gone. `answers_poll`: the list may answer a
  /// poll of the load balancer's; false for one that is restored at the start.
  void update_endpoints(bool complete, bool answers_poll, const std::vector<Endpoint>& entries);
  void endpoint_poll_failed(std::optional<double> poll_duration_ms = {});
  /// Called when the load balancer asks for the endpoint list; at once if it has asked before.
  void on_endpoint_poll(EventLoop::Callback poll);
  /// Ejected by an operator, or restored at `since_ms`: attempts of which nothing is written there yet are
  /// decided anew.
  void set_ejected_manually(const std::string& endpoint_id, bool ejected, double since_ms);

  /// The quota of retries that all sidecars of a fleet share.
  struct RetryQuota {
    std::function<double()> remaining;  ///< retries left to this sidecar now
    std::function<bool()> try_consume;  ///< takes one at this very moment, if there is one
    EventLoop::Callback on_shortage;    ///< one was wanted and there was none
  };
  /// Without it, retries are bounded by the load balancer alone.
  void use_fleet_retry_quota(RetryQuota quota) { fleet_retry_quota_ = std::move(quota); }

  /// RPCs that are not concluded, or have an attempt in flight.
  std::size_t in_flight() const { return rpcs_.size(); }

 private:
  struct Attempt {
    UpstreamPool::ExchangeId exchange_id;
    std::string endpoint_id;
    double sent_at_ms;
    bool in_flight;
  };
  struct Rpc {
    http::Message request;
    std::string_view call_id;  // the client's; leads into the request
    double deadline_ms;
    double budget_ms;  // from the request's last byte to the deadline
    ResponseHandler handler;
    std::vector<Attempt> attempts;
    bool concluded = false;               // it has its result, or its client has left
    bool request_body_discarded = false;  // part of a long request is no longer here: it can't be sent again
    bool streaming_response = false;      // a long response is on its way
    LoadReport load_report;               // that came with it
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
  void abandon_all_attempts(const std::string& rpc_id);
  void withdraw_unsent_attempts(const std::string& rpc_id);

  // The end of an RPC.
  void abort_rpc(const std::string& rpc_id);
  void conclude_rpc(const std::string& rpc_id, RpcResult result);
  void count_result(RpcResult::Outcome outcome);
  void erase_if_concluded(const std::string& rpc_id);

  EventLoop& event_loop_;
  UpstreamPool& upstream_pool_;
  Counters& counters_;
  Logger& logger_;
  bool probes_report_load_;
  double longest_retry_after_ms_;
  std::set<std::string, std::less<>> known_methods_;
  LoadBalancer load_balancer_;
  EventLoop::Callback poll_endpoints_;
  std::optional<RetryQuota> fleet_retry_quota_;
  bool carrying_out_decisions_ = false;
  bool endpoint_poll_pending_ = false;
  std::uint64_t last_id_ = 0;
  std::unordered_map<std::string, Rpc> rpcs_;
  std::set<std::string_view> open_call_ids_;  // lead into the requests of rpcs_
  std::map<std::uint64_t, EventLoop::Timer> balancer_timers_;
};

}  // namespace indigorill
