// RPCs and their picks: the only caller of the balancer. Tells it what happened, carries out what it decides.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
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

// The final answer to an RPC.
struct RpcResult {
  enum class Outcome { ok, rejected, failed } outcome;
  http::Message response;     // of the endpoint, if ok or if it finds fault with the RPC
  double retry_after_ms = 0;  // advice of a push-back
};

class RequestDispatcher {
 public:
  // Who asked: the one answer, and what long messages need. Of a long answer the verdict brings the first
  // part; `piece` gets the rest and says whether it wants more at once, else it asks by resume(); `cut`:
  // there will be no rest. `wants`: the next piece of a long request may be given.
  struct ResponseHandler {
    std::function<void(RpcResult)> on_result;
    std::function<bool(std::string_view, bool last)> on_body_piece = [](std::string_view, bool) {
      return true;
    };
    EventLoop::Callback on_aborted = [] {};
    EventLoop::Callback on_ready_for_body = [] {};
  };

  RequestDispatcher(EventLoop& in, UpstreamPool& to, Counters& counts, Logger& log_to,
                    const LoadBalancerConfig& where, std::uint64_t seed);

  bool is_call_id_open(std::string_view client_id) const { return open_call_ids_.count(client_id) > 0; }
  double longest_retry_after_ms() const {
    return longest_retry_after_ms_;
  }  // when to return, ms; 0 where clients take none
  bool is_known_method(std::string_view method) const { return known_methods_.count(method) > 0; }

  // Takes an RPC that came at this time; `then` is called once, unless the client leaves before.
  std::string dispatch(http::Message call, double came, ResponseHandler who);
  void on_client_left(const std::string& rpc);
  // The process ends: all that is held has its final answer now, a long one that is not whole is cut.
  void abort_all();
  void resume_response(const std::string& rpc);
  // The next piece of a long request, the last one with when it came; true if more may be given at once.
  bool send_request_body(const std::string& rpc, std::string_view bytes, bool last, double came);

  void update_endpoints(bool whole, bool asked, const std::vector<Endpoint>& entries);
  void endpoint_poll_failed();
  // Out by hand, or back: picks of which nothing is written there yet are drawn again.
  void set_ejected_manually(const std::string& server, bool is, double since);
  // Further picks are spent out of a budget of all sidecars: what is left now, a try to spend one at this
  // very moment, and that one was wanted and there was none.
  struct RetryQuota {
    std::function<double()> remaining;
    std::function<bool()> try_consume;
    EventLoop::Callback on_shortage;
  };
  void use_fleet_retry_quota(RetryQuota of) { fleet_retry_quota_ = std::move(of); }
  // The balancer may have asked before: with the first list that it is told.
  void on_endpoint_poll(EventLoop::Callback what);

  std::size_t in_flight() const { return rpcs_.size(); }

 private:
  struct Attempt {
    UpstreamPool::ExchangeId exchange_id;
    std::string server;
    double sent_at;
    bool in_flight;
  };
  struct Rpc {
    http::Message request;
    std::string_view call_id;  // in the call
    double deadline;
    double budget;
    ResponseHandler handler;
    std::vector<Attempt> attempts;
    bool concluded = false;
    bool request_body_discarded = false;  // part of a long request is no longer here: it can't be sent again
    bool streaming_response = false;      // a long answer is on its way
    LoadReport load_report;               // that came with it
    bool has_no_attempt_in_flight() const;
  };

  void carry_out_decisions();
  void carry_out(const Decision& d);
  void note_retry_shortage(const std::string& id);
  void send_attempt(const Decision& d);
  void on_attempt_ended(const std::string& id, int number, UpstreamPool::ExchangeResult r);
  void cancel_attempt(const Decision& d);
  void abandon_attempt(const std::string& id, int number, AttemptOutcome how = AttemptOutcome::cancelled);
  void abandon_all_attempts(const std::string& id);
  void withdraw_unsent_attempts(const std::string& id);
  bool on_response_started(const std::string& id, int number, const http::Message& answer);
  void on_ready_for_body(const std::string& id, int number);
  Attempt* find_attempt_in_flight(const std::string& id);
  void send_health_check(const std::string& server);
  void conclude_rpc(const std::string& id, RpcResult v);
  void erase_if_concluded(const std::string& id);

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
  bool carrying_out_decisions_ = false, endpoint_poll_pending_ = false;
  std::uint64_t last_id_ = 0;
  std::unordered_map<std::string, Rpc> rpcs_;
  std::set<std::string_view> open_call_ids_;  // of the clients', in the calls of rpcs
  std::map<std::uint64_t, EventLoop::Timer> balancer_timers_;
};

}  // namespace indigorill
