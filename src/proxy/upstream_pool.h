// Connections to endpoints: opened, reused, retired, and one exchange at a time on each. Decides nothing; an
// exchange ends in one of the balancer's words.
#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "config/load_balancer_config.h"
#include "event/socket.h"
#include "event/tcp_stream.h"
#include "http/http_parser.h"
#include "logging/logger.h"
#include "metrics/counters.h"
#include "proxy/connect_timeout_estimator.h"

namespace indigorill {

class UpstreamPool {
 public:
  using ExchangeId = std::uint64_t;
  struct ExchangeResult {
    AttemptOutcome outcome;
    double duration_ms;
    http::Message response;  // empty without one
  };
  using CompletionHandler = std::function<void(ExchangeResult)>;
  // One exchange on a connection. Long messages go through in pieces: who takes them says whether it wants
  // more at once, else it asks by resume(); a long request's rest is given by more().
  struct Exchange {
    CompletionHandler on_complete;
    std::function<bool(const http::Message&)> on_response_started =
        nullptr;  // a long answer; false: it is of no use
    std::function<bool(std::string_view, bool last)> on_body_piece = nullptr;
    std::function<void()> on_ready_for_body = nullptr;  // the next piece of a long request
    // What is written once a connection is up, by the time that is then left.
    std::function<WriteBuffer(double left)> rebuild_request = nullptr;
    bool is_head_request = false, has_more_body = false;
    double must_be_sent_by =
        1e18;  // what has its last byte unwritten then was not sent, and ends as withdrawn
  };

  // closes_idle: closes some idle connection elsewhere, if there is one.
  UpstreamPool(EventLoop& in, FileDescriptorBudget& budget, Counters& counts, Logger& log_to,
               ConnectionConfig with, std::function<bool()> closes_idle);
  ~UpstreamPool();

  // started: when the process there began, 0 for long ago. What rests at one that moved, was started anew or
  // is no longer ready is given back.
  void update_endpoint(const std::string& server, const std::string& address,
                       EndpointState state = EndpointState::ready, double started = 0);
  void remove_endpoint(const std::string& server);  // idle connections there are given back
  // What rests there is given back. What is on its way there: let_go().
  void set_ejected_manually(const std::string& server, bool is);
  void retain_endpoints(const std::vector<Endpoint>& whole_list);
  // What has not one byte written, and leads to an endpoint that is not to be had any more or to a process
  // that is no longer there, ends as withdrawn: a connect in hand when an endpoint drains would else be
  // written to after the grace. Called when the balancer has heard of it, or it would pick the same again.
  void withdraw_unsent_exchanges();

  // `then` is called once, later, unless the ticket is given up before. What is lent must last until then.
  ExchangeId start_exchange(const std::string& server, WriteBuffer what, double patience, Exchange with);
  void resume_response(ExchangeId which);
  // True if the next piece may be given at once. The last one starts this time-out for the answer.
  bool send_request_body(ExchangeId which, std::string bytes, bool last, double patience);
  void abandon_exchange(ExchangeId which);  // closes its connection: the endpoint may stop
  // The request's last byte is still to be written: who gives it up now cancels nothing, as it never began.
  bool is_unsent(ExchangeId which) const;

  bool close_idle_connection();  // the one idle for longest

  // Told how many connections rest at a server, each time that changes.
  void on_idle_count_changed(std::function<void(const std::string& server, std::size_t connections)> then) {
    on_idle_count_changed_ = std::move(then);
  }

 private:
  struct Connection;
  struct EndpointEntry {
    sockaddr_in address{};
    std::vector<ExchangeId> idle_connections;  // the last used is at the end
    std::uint64_t process_generation = 0;  // which one listens there: another number for each that is told
    double started_at = 0;
    bool ejected_manually = false, is_ready = true;
    bool accepts_generation(std::uint64_t one) const {
      return is_ready && !ejected_manually && process_generation == one;
    }
  };

  Connection* reuse_idle_connection(EndpointEntry& at);
  bool is_endpoint_current(const Connection& c) const;
  void close_idle_connections_to(EndpointEntry& at);
  void open_connection(Connection& c, const sockaddr_in* address);  // none: fails as a connect does
  void on_socket_event(ExchangeId which, std::uint32_t events);
  void read_response(Connection& c);
  void withdraw_exchange(Connection& c);
  void fail_exchange(Connection& c, AttemptOutcome once_written);
  void schedule_failure(Connection& c, double when);  // unless it is connected by then
  void complete_exchange(Connection& c, AttemptOutcome how, http::Message answer, bool keep);
  void keep_idle(Connection& c);
  void on_output_written(Connection& c);
  bool forward_response_body(Connection& c, AttemptOutcome if_broken);
  void set_exchange_timeout(Connection& c, double longest);
  void set_progress_timeout(Connection& c);
  void close_connection(ExchangeId which);

  EventLoop& event_loop_;
  FileDescriptorBudget& descriptor_budget_;
  Counters& counters_;
  Logger& logger_;
  ConnectionConfig config_;
  ConnectTimeoutEstimator connect_timeout_;
  std::function<bool()> close_idle_client_;
  std::function<void(const std::string&, std::size_t)> on_idle_count_changed_ = [](const auto&, std::size_t) {
  };
  ExchangeId last_exchange_id_ = 0;
  std::uint64_t last_process_generation_ = 0;
  double last_extra_response_at_ = -1e18;  // when an endpoint last wrote more than its answer
  std::unordered_map<std::string, EndpointEntry> endpoints_;
  std::unordered_map<ExchangeId, std::unique_ptr<Connection>> connections_;
  std::set<std::pair<double, ExchangeId>> idle_by_last_use_;  // by when they were last used
};

}  // namespace indigorill
