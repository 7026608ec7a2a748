/// @file
/// The connections to endpoints: the pool opens, reuses and retires them, and runs one exchange at a time on
/// each. It makes no load balancing decisions; an exchange ends with one of the load balancer's outcomes.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "config/load_balancer_config.h"
#include "event/event_loop.h"
#include "event/socket.h"
#include "event/tcp_stream.h"
#include "http/http_parser.h"
#include "logging/logger.h"
#include "metrics/counters.h"
#include "proxy/connect_timeout_estimator.h"
#include "proxy/idle_connections.h"
#include "proxy/upstream_connection.h"
#include "proxy/upstream_exchange.h"

namespace indigorill {

class UpstreamPool {
 public:
  using ExchangeId = indigorill::ExchangeId;
  using ExchangeResult = indigorill::ExchangeResult;
  using Exchange = indigorill::Exchange;
  using IdleCountHandler = std::function<void(const std::string& endpoint_id, std::size_t connections)>;

  /// All references must outlive the pool. `close_idle_client` closes an idle connection of some client, and
  /// returns false if there is none.
  UpstreamPool(EventLoop& event_loop, FileDescriptorBudget& descriptor_budget, Counters& counters,
               Logger& logger, ConnectionConfig config, std::function<bool()> close_idle_client);

  /// `started_at_ms`: when the endpoint's process started; 0 if long ago. Idle connections to an endpoint
  /// that moved, restarted or is no longer ready are closed.
  void update_endpoint(const std::string& endpoint_id, const std::string& address,
                       EndpointState state = EndpointState::ready, double started_at_ms = 0);
  /// Also closes the idle connections to the endpoint.
  void remove_endpoint(const std::string& endpoint_id);
  /// Closes idle connections to an ejected endpoint. Exchanges in progress are left to
  /// withdraw_unsent_exchanges().
  void set_ejected_manually(const std::string& endpoint_id, bool ejected);
  /// Removes all endpoints but these.
  void retain_endpoints(const std::vector<Endpoint>& endpoints);
  /// Ends as withdrawn each exchange that has not written a byte and whose endpoint may not be used any more,
  /// or whose process there has been replaced. Otherwise a connection that is being established when an
  /// endpoint drains would be written to after the drain grace. To be called after the load balancer was
  /// notified of the change, because it would select the same endpoint again otherwise.
  void withdraw_unsent_exchanges();

  /// `on_complete` is called once, after this has returned, unless the exchange is abandoned before. What the
  /// request borrows must stay valid until then.
  ExchangeId start_exchange(const std::string& endpoint_id, WriteBuffer request, double timeout_ms,
                            Exchange exchange);
  /// Requests more of a long response.
  void resume_response(ExchangeId id);
  /// Sends the next piece of a long request. Returns true if more may be passed at once. The last piece
  /// starts `timeout_ms`, the timeout for the response.
  bool send_request_body(ExchangeId id, std::string bytes, bool last, double timeout_ms);
  /// Ends the exchange as its timeout would.
  void time_out_exchange(ExchangeId id);
  /// Closes the connection of the exchange, so that the endpoint can stop working on it.
  void abandon_exchange(ExchangeId id);
  /// The request's last byte has not been written yet. Abandoning the exchange then cancels no work, because
  /// the endpoint has not begun.
  bool is_unsent(ExchangeId id) const;
  /// What has come of the response so far; nothing if the exchange has ended.
  ResponseProgress response_progress(ExchangeId id) const;

  /// Closes the connection that has been idle for longest; false if there is none.
  bool close_idle_connection();

  /// Sets the handler that is called with the number of reusable idle connections to an endpoint when it
  /// changes.
  void on_idle_count_changed(IdleCountHandler handler) { on_idle_count_changed_ = std::move(handler); }

 private:
  using Connection = UpstreamConnection;
  using Stage = UpstreamConnection::Stage;

  // Of a transfer that makes progress; well-behaved peers pause for less than 2 s.
  static constexpr double longest_pause_ms = 5000;

  struct EndpointEntry {
    sockaddr_in address{};
    IdleConnections idle_connections;
    std::size_t reported_idle_count = 0;
    std::uint64_t process_generation = 0;  // a new number for each process listed there
    double started_at_ms = 0;
    bool ejected_manually = false;
    bool is_ready = true;
    explicit EndpointEntry(double max_idle_ms) : idle_connections(max_idle_ms) {}
    bool accepts_generation(std::uint64_t generation) const {
      return is_ready && !ejected_manually && process_generation == generation;
    }
  };

  // Idle connections.
  Connection& take_connection(EndpointEntry* entry, ExchangeId id);
  Connection* find_reusable_connection(EndpointEntry& entry);
  bool is_reusable(Connection& connection);
  void keep_idle(Connection& connection);
  double max_idle_ms() const;
  void retire_connection(ExchangeId id);
  void remove_from_idle(const Connection& connection);
  void report_idle_count(const std::string& endpoint_id);
  void close_idle_connections_to(EndpointEntry& entry);

  // Connecting and writing.
  void open_connection(Connection& connection, const sockaddr_in* address);
  void set_connect_timeout(Connection& connection);
  void on_socket_event(ExchangeId id, std::uint32_t events);
  bool finish_connect(Connection& connection, std::uint32_t events);
  void write_on_reused_connection(Connection& connection);
  void on_output_written(Connection& connection);

  // Reading.
  void read_response(Connection& connection);
  bool process_response(Connection& connection, bool stream_ended);
  void limit_hold_time(Connection& connection);
  void start_streaming_response(Connection& connection, bool stream_ended);
  bool forward_response_body(Connection& connection, AttemptOutcome outcome_if_broken);
  void finish_response(Connection& connection, bool stream_ended);

  // The end of an exchange.
  void set_exchange_timeout(Connection& connection, double timeout_ms);
  void set_upload_timeout(Connection& connection);
  void set_response_timeout(Connection& connection);
  void set_expiry(Connection& connection, double at_ms);
  void schedule_failure(Connection& connection, double when_ms);
  void fail_exchange(Connection& connection, AttemptOutcome outcome_if_sent);
  void withdraw_exchange(Connection& connection);
  void complete_exchange(Connection& connection, AttemptOutcome outcome, http::Message response,
                         bool may_reuse);
  bool is_endpoint_current(const Connection& connection) const;
  void close_connection(ExchangeId id);

  EventLoop& event_loop_;
  FileDescriptorBudget& descriptor_budget_;
  Counters& counters_;
  Logger& logger_;
  ConnectionConfig config_;
  ConnectTimeoutEstimator connect_timeout_;
  std::function<bool()> close_idle_client_;
  IdleCountHandler on_idle_count_changed_ = [](const std::string&, std::size_t) {};
  ExchangeId last_exchange_id_ = 0;
  std::uint64_t last_process_generation_ = 0;
  std::unordered_map<std::string, EndpointEntry> endpoints_;
  std::unordered_map<ExchangeId, std::unique_ptr<Connection>> connections_;
  std::set<std::pair<double, ExchangeId>> idle_by_last_use_;
};

}  // namespace indigorill
