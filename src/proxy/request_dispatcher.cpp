#include "proxy/request_dispatcher.h"

#include <algorithm>
#include <utility>

namespace indigorill {
namespace {

// The outcome of an attempt with a complete response depends on the response, which may carry a load report.
LoadReport extract_load_report(UpstreamPool::ExchangeResult& result, bool of_probe) {
  if (result.outcome != AttemptOutcome::ok) return {};
  result.outcome = classify_response(result.response);
  return decode_load_report(result.response, of_probe);
}

bool may_have_executed(AttemptOutcome outcome) {
  return outcome != AttemptOutcome::rejected && outcome != AttemptOutcome::connect_failed &&
         outcome != AttemptOutcome::client_error && outcome != AttemptOutcome::withdrawn;
}

std::string_view name_of(RpcResult::Outcome outcome) {
  switch (outcome) {
    case RpcResult::Outcome::ok:
      return "ok";
    case RpcResult::Outcome::rejected:
      return "rejected";
    case RpcResult::Outcome::failed:
      return "failed";
  }
  return "unknown";
}

// This process doesn't exchange load gossip, so the load balancer must not make any.
LoadBalancerConfig without_gossip(LoadBalancerConfig config, Logger& logger) {
  if (std::exchange(config.gossip_enabled, false))
    logger.info()
        << "the settings enable gossip between sidecars, which is not supported; none is sent or received";
  return config;
}

}  // namespace

bool RequestDispatcher::Rpc::has_no_attempt_in_flight() const {
  return std::none_of(attempts.begin(), attempts.end(),
                      [](const Attempt& attempt) { return attempt.in_flight; });
}

RequestDispatcher::RequestDispatcher(EventLoop& event_loop, UpstreamPool& upstream_pool, Counters& counters,
                                     Logger& logger, const LoadBalancerConfig& config, std::uint64_t seed)
    : event_loop_(event_loop),
      upstream_pool_(upstream_pool),
      counters_(counters),
      logger_(logger),
      probes_report_load_(config.probes_report_load),
      longest_retry_after_ms_(config.max_retry_after_ms),
      load_balancer_(without_gossip(config, logger), seed, event_loop.now()) {
  for (const MethodConfig& method : config.methods) {
    known_methods_.insert(method.name);
    if (method.retry_safety == RetrySafety::idempotent) idempotent_methods_.insert(method.name);
  }
  upstream_pool_.on_idle_count_changed([this](const std::string& endpoint_id, std::size_t connections) {
    load_balancer_.set_idle_connections(endpoint_id, connections);
  });
}

std::string RequestDispatcher::dispatch(http::Message request, double received_at_ms,
                                        ResponseHandler handler) {
  // Time to write the response and to transfer it to the client; a timer may be a millisecond late.
  constexpr double response_allowance_ms = 3;
  std::string rpc_id = std::to_string(++last_id_);  // ids assigned by clients may repeat
  Rpc& rpc = rpcs_[rpc_id];
  rpc.request = std::move(request);
  rpc.handler = std::move(handler);
  const RpcRequest decoded = decode_rpc_request(rpc.request);
  rpc.call_id = decoded.id;
  rpc.received_at_ms = received_at_ms;
  rpc.is_idempotent = idempotent_methods_.contains(decoded.method);
  // The budget of a long request counts from its last byte, for which send_request_body() sets the deadline
  // again.
  rpc.budget_ms = decoded.budget_ms - response_allowance_ms;
  rpc.deadline_ms = received_at_ms + rpc.budget_ms;
  ++counters_.rpcs_received;
  load_balancer_.on_rpc_arrived(event_loop_.now(), {rpc_id, decoded.method, rpc.deadline_ms,
                                                    decoded.affinity_key, decoded.tenant, decoded.is_retry});
  carry_out_decisions();
  return rpc_id;
}

void RequestDispatcher::on_client_left(const std::string& rpc_id) {
  const auto it = rpcs_.find(rpc_id);
  if (it == rpcs_.end() || (it->second.concluded && !it->second.streaming_response)) return;
  it->second.client_left = true;
  if (!std::exchange(it->second.concluded, true)) {
    ++counters_.rpcs_abandoned;
    load_balancer_.on_client_disconnected(event_loop_.now(), rpc_id);
    carry_out_decisions();
  }
  const auto remaining = rpcs_.find(rpc_id);  // gone if the load balancer cancelled its last attempt
  if (remaining == rpcs_.end()) return;
  Rpc& rpc = remaining->second;
  withdraw_unsent_attempts(rpc_id);
  // The load balancer doesn't cancel an attempt of a streamed message, but its client neither sends nor reads
  // the rest any more.
  if (rpc.request_body_discarded || rpc.streaming_response) abandon_all_attempts(rpc_id);
  rpc.handler = {};
  erase_if_concluded(rpc_id);
}

void RequestDispatcher::abort_all() {
  std::vector<std::string> rpc_ids;
  for (const auto& [rpc_id, rpc] : rpcs_) rpc_ids.push_back(rpc_id);
  for (const std::string& rpc_id : rpc_ids)
    if (rpcs_.count(rpc_id)) abort_rpc(rpc_id);
}

void RequestDispatcher::abort_rpc(const std::string& rpc_id) {
  const Rpc& rpc = rpcs_.at(rpc_id);
  const EventLoop::Callback on_aborted = rpc.streaming_response ? rpc.handler.on_aborted : [] {};
  if (rpc.streaming_response) ++counters_.truncated_responses;
  if (!rpc.concluded) {
    // An earlier attempt may have run, so the result must not say that a retry is safe.
    conclude_rpc(rpc_id, {.outcome = RpcResult::Outcome::failed});
    load_balancer_.on_client_disconnected(event_loop_.now(), rpc_id);
    carry_out_decisions();
  }
  if (rpcs_.count(rpc_id)) abandon_all_attempts(rpc_id);
  on_aborted();
  erase_if_concluded(rpc_id);
}

RequestDispatcher::Attempt* RequestDispatcher::find_attempt_in_flight(const std::string& rpc_id) {
  const auto it = rpcs_.find(rpc_id);
  if (it == rpcs_.end()) return nullptr;
  for (Attempt& attempt : it->second.attempts)
    if (attempt.in_flight) return &attempt;
  return nullptr;
}

void RequestDispatcher::resume_response(const std::string& rpc_id) {
  const Attempt* attempt = find_attempt_in_flight(rpc_id);
  if (attempt) upstream_pool_.resume_response(attempt->exchange_id);
}

bool RequestDispatcher::send_request_body(const std::string& rpc_id, std::string_view bytes, bool last,
                                          double received_at_ms) {
  const Attempt* attempt = find_attempt_in_flight(rpc_id);
  if (!attempt) return false;
  Rpc& rpc = rpcs_.at(rpc_id);
  if (last) rpc.deadline_ms = received_at_ms + rpc.budget_ms;
  const bool is_chunked = !rpc.request.content_length;
  const double timeout_ms = std::max(rpc.deadline_ms - event_loop_.now(), 1.0);
  return upstream_pool_.send_request_body(attempt->exchange_id, encode_body_chunk(bytes, is_chunked, last),
                                          last, timeout_ms);
}

void RequestDispatcher::give_up_request_body(const std::string& rpc_id, double waiting_ms) {
  const Attempt* attempt = find_attempt_in_flight(rpc_id);
  if (!attempt) return;
  ++counters_.overdue_requests;
  logger_.debug() << "rpc " << rpc_id << " of call " << rpcs_.at(rpc_id).call_id
                  << ": long request given up, " << attempt->endpoint_id
                  << " has not taken all of it, and its last byte may have waited for " << waiting_ms
                  << " ms";
  upstream_pool_.time_out_exchange(attempt->exchange_id);
}

// The endpoint took the buffered part of a long request: from now on the request can't be sent elsewhere.
void RequestDispatcher::on_ready_for_body(const std::string& rpc_id, int attempt_index) {
  Rpc& rpc = rpcs_.at(rpc_id);
  if (!std::exchange(rpc.request_body_discarded, true)) {
    ++counters_.streamed_requests;
    load_balancer_.on_response_started(event_loop_.now(), rpc_id, attempt_index, true);
  }
  // A copy, because the RPC may end within the call.
  const EventLoop::Callback on_ready = rpc.handler.on_ready_for_body;
  on_ready();
}

// Returns true if the rest of the response is wanted.
bool RequestDispatcher::on_response_started(const std::string& rpc_id, int attempt_index,
                                            const http::Message& response) {
  Rpc& rpc = rpcs_.at(rpc_id);
  if (rpc.concluded || classify_response(response) != AttemptOutcome::ok) return false;
  ++counters_.streamed_responses;
  rpc.streaming_response = true;
  rpc.load_report = decode_load_report(response, false);
  load_balancer_.on_response_started(event_loop_.now(), rpc_id, attempt_index, true);
  conclude_rpc(rpc_id, {.outcome = RpcResult::Outcome::ok, .response = response});
  return true;
}

void RequestDispatcher::update_endpoints(bool complete, bool answers_poll,
                                         const std::vector<Endpoint>& entries) {
  load_balancer_.update_endpoints(event_loop_.now(), complete, answers_poll, entries);
  upstream_pool_.withdraw_unsent_exchanges();
  carry_out_decisions();
}

void RequestDispatcher::set_ejected_manually(const std::string& endpoint_id, bool ejected, double since_ms) {
  load_balancer_.set_ejected_manually(event_loop_.now(), endpoint_id, ejected, since_ms);
  upstream_pool_.set_ejected_manually(endpoint_id, ejected);
  upstream_pool_.withdraw_unsent_exchanges();
  carry_out_decisions();
}

void RequestDispatcher::endpoint_poll_failed(std::optional<double> poll_duration_ms) {
  load_balancer_.endpoint_poll_failed(event_loop_.now(), poll_duration_ms);
  carry_out_decisions();
}

void RequestDispatcher::on_endpoint_poll(EventLoop::Callback poll) {
  poll_endpoints_ = std::move(poll);
  if (std::exchange(endpoint_poll_pending_, false)) poll_endpoints_();
}

void RequestDispatcher::carry_out_decisions() {
  // Carrying out a decision may report an event to the load balancer at once; the loop below also carries out
  // the decisions that follow from it.
  if (carrying_out_decisions_) return;
  carrying_out_decisions_ = true;
  for (;;) {
    if (fleet_retry_quota_) load_balancer_.set_fleet_retry_quota(fleet_retry_quota_->remaining());
    const auto decision = load_balancer_.next_decision();
    if (!decision) break;
    carry_out(*decision);
  }
  carrying_out_decisions_ = false;
}

void RequestDispatcher::carry_out(const Decision& decision) {
  switch (decision.action) {
    case Decision::Action::send_attempt:
      return send_attempt(decision);
    case Decision::Action::reject:
      return conclude_by_decision(
          decision, {.outcome = RpcResult::Outcome::rejected, .retry_after_ms = decision.delay_ms});
    case Decision::Action::fail:
      return conclude_by_decision(decision, {.outcome = RpcResult::Outcome::failed});
    case Decision::Action::cancel_attempt:
      return cancel_attempt(decision);
    case Decision::Action::health_check:
      return send_health_check(decision.endpoint_id);
    case Decision::Action::poll_endpoints:
      return poll_endpoints();
    case Decision::Action::set_timer:
      return start_balancer_timer(decision);
    case Decision::Action::send_gossip:
      return;
  }
}

void RequestDispatcher::conclude_by_decision(const Decision& decision, RpcResult result) {
  note_retry_shortage(decision.rpc_id);
  conclude_rpc(decision.rpc_id, std::move(result));
  erase_if_concluded(decision.rpc_id);
}

// An RPC that is rejected or failed after an attempt, while no quota is left, is assumed to have wanted a
// retry.
void RequestDispatcher::note_retry_shortage(const std::string& rpc_id) {
  if (!fleet_retry_quota_ || rpcs_.at(rpc_id).attempts.empty()) return;
  if (fleet_retry_quota_->remaining() < 1) fleet_retry_quota_->on_shortage();
}

// The load balancer requests a poll once and waits for its result. If the request were dropped, the sidecar
// would keep its first list, so it stays pending until there is a function to call.
void RequestDispatcher::poll_endpoints() {
  endpoint_poll_pending_ = !poll_endpoints_;
  if (poll_endpoints_) poll_endpoints_();
}

void RequestDispatcher::start_balancer_timer(const Decision& decision) {
  const std::uint64_t id = ++last_id_;
  balancer_timers_[id] = event_loop_.schedule_at(event_loop_.now() + decision.delay_ms,
                                                 [this, id, timer_id = decision.timer_id] {
                                                   balancer_timers_.erase(id);
                                                   load_balancer_.on_timer(event_loop_.now(), timer_id);
                                                   carry_out_decisions();
                                                 });
}

void RequestDispatcher::send_attempt(const Decision& decision) {
  Rpc& rpc = rpcs_.at(decision.rpc_id);
  const double now_ms = event_loop_.now();
  const double timeout_ms = std::min(decision.delay_ms, rpc.deadline_ms - now_ms);
  rpc.attempts.push_back(
      {.exchange_id = 0, .endpoint_id = decision.endpoint_id, .sent_at_ms = now_ms, .in_flight = true});
  // Nothing is sent if the time of the attempt ended in this iteration of the loop, or if the quota ran out
  // since the load balancer was given it, for example because the process was suspended.
  const bool is_retry = decision.attempt_index > 0;
  if (timeout_ms <= 0 || now_ms >= decision.send_deadline_ms ||
      (is_retry && fleet_retry_quota_ && !fleet_retry_quota_->try_consume()))
    return on_attempt_ended(decision.rpc_id, decision.attempt_index,
                            {.outcome = AttemptOutcome::withdrawn, .duration_ms = 0, .response = {}});
  rpc.attempts.back().exchange_id = upstream_pool_.start_exchange(
      decision.endpoint_id, encode_attempt(rpc.request, timeout_ms), timeout_ms, make_exchange(decision));
}

UpstreamPool::Exchange RequestDispatcher::make_exchange(const Decision& decision) {
  const http::Message& request = rpcs_.at(decision.rpc_id).request;
  UpstreamPool::Exchange exchange;
  exchange.on_complete = [this, rpc_id = decision.rpc_id,
                          index = decision.attempt_index](UpstreamPool::ExchangeResult result) {
    on_attempt_ended(rpc_id, index, std::move(result));
  };
  exchange.on_response_started = [this, rpc_id = decision.rpc_id,
                                  index = decision.attempt_index](const http::Message& response) {
    return on_response_started(rpc_id, index, response);
  };
  exchange.on_body_piece = [this, rpc_id = decision.rpc_id](std::string_view piece, bool last) {
    // A copy, because the RPC may end within the call.
    const auto on_body_piece = rpcs_.at(rpc_id).handler.on_body_piece;
    return on_body_piece(piece, last);
  };
  exchange.on_ready_for_body = [this, rpc_id = decision.rpc_id, index = decision.attempt_index] {
    on_ready_for_body(rpc_id, index);
  };
  exchange.rebuild_request = [this, rpc_id = decision.rpc_id](double remaining_ms) {
    return encode_attempt(rpcs_.at(rpc_id).request, remaining_ms);
  };
  exchange.is_head_request = is_head_request(request);
  exchange.has_more_body = request.is_partial;
  exchange.max_upload_stall_ms = rpcs_.at(decision.rpc_id).budget_ms;
  exchange.response_due_ms = rpcs_.at(decision.rpc_id).deadline_ms;
  exchange.must_be_sent_by_ms = decision.send_deadline_ms;
  return exchange;
}

void RequestDispatcher::on_attempt_ended(const std::string& rpc_id, int attempt_index,
                                         UpstreamPool::ExchangeResult result) {
  Rpc& rpc = rpcs_.at(rpc_id);
  Attempt& attempt = rpc.attempts[attempt_index];
  attempt.in_flight = false;
  const LoadReport report = rpc.streaming_response ? rpc.load_report : extract_load_report(result, false);
  attempt.may_have_executed = may_have_executed(result.outcome);
  Counters::increment(counters_.attempts, result.outcome);
  log_attempt(rpc_id, attempt_index, result, report);
  const bool is_truncated = rpc.streaming_response && result.outcome != AttemptOutcome::ok;
  const EventLoop::Callback on_aborted = is_truncated ? rpc.handler.on_aborted : [] {};
  if (is_truncated) ++counters_.truncated_responses;
  conclude_by_attempt(rpc_id, result);
  load_balancer_.on_attempt_finished(event_loop_.now(), rpc_id, attempt_index, result.outcome,
                                     result.duration_ms, rpc.concluded, report);
  carry_out_decisions();
  erase_if_concluded(rpc_id);
  on_aborted();
}

// Gives the client the response of the attempt, if that is final regardless of the load balancer's decisions.
void RequestDispatcher::conclude_by_attempt(const std::string& rpc_id, UpstreamPool::ExchangeResult& result) {
  if (rpcs_.at(rpc_id).concluded) return;
  if (result.outcome == AttemptOutcome::ok)
    conclude_rpc(rpc_id, {.outcome = RpcResult::Outcome::ok, .response = std::move(result.response)});
  // An invalid request must not affect the reputation of endpoints, nor be retried at one after the other.
  // A client error without a response means that this process had no descriptor for the attempt; then the
  // load balancer decides what follows.
  else if (result.outcome == AttemptOutcome::client_error && result.response.status != 0)
    conclude_rpc(rpc_id, {.outcome = RpcResult::Outcome::failed, .response = std::move(result.response)});
}

void RequestDispatcher::cancel_attempt(const Decision& decision) {
  const Rpc& rpc = rpcs_.at(decision.rpc_id);
  if (!rpc.attempts.at(decision.attempt_index).in_flight) return;
  abandon_attempt(decision.rpc_id, decision.attempt_index);
  erase_if_concluded(decision.rpc_id);
}

void RequestDispatcher::abandon_attempt(const std::string& rpc_id, int attempt_index,
                                        AttemptOutcome outcome) {
  Rpc& rpc = rpcs_.at(rpc_id);
  Attempt& attempt = rpc.attempts.at(static_cast<std::size_t>(attempt_index));
  attempt.may_have_executed = !upstream_pool_.is_unsent(attempt.exchange_id);
  note_incomplete_response(rpc, attempt_index, outcome,
                           upstream_pool_.response_progress(attempt.exchange_id));
  upstream_pool_.abandon_exchange(attempt.exchange_id);
  attempt.in_flight = false;
  Counters::increment(counters_.attempts, outcome);
  load_balancer_.on_attempt_finished(event_loop_.now(), rpc_id, attempt_index, outcome,
                                     event_loop_.now() - attempt.sent_at_ms, rpc.concluded, {});
}

void RequestDispatcher::log_attempt(const std::string& rpc_id, int attempt_index,
                                    const UpstreamPool::ExchangeResult& result, const LoadReport& report) {
  const Rpc& rpc = rpcs_.at(rpc_id);
  logger_.debug() << "rpc " << rpc_id << " attempt " << attempt_index << " at "
                  << rpc.attempts[static_cast<std::size_t>(attempt_index)].endpoint_id << ": "
                  << name_of(result.outcome) << " after " << result.duration_ms << " ms, in flight there "
                  << report.in_flight.value_or(-1);
  if (result.outcome != AttemptOutcome::ok && result.response.status == 0)
    note_incomplete_response(rpc, attempt_index, result.outcome, result.progress);
}

// The sidecar or the endpoint ended the exchange in the middle of the response. Under faults there may be one
// for each RPC, so only some are logged; the counter has them all.
void RequestDispatcher::note_incomplete_response(const Rpc& rpc, int attempt_index, AttemptOutcome outcome,
                                                 const ResponseProgress& progress) {
  constexpr double min_log_interval_ms = 100;
  if (!progress.has_head) return;
  ++counters_.incomplete_responses;
  if (event_loop_.now() < next_incomplete_log_at_ms_) return;
  next_incomplete_log_at_ms_ = event_loop_.now() + min_log_interval_ms;
  const Attempt& attempt = rpc.attempts[static_cast<std::size_t>(attempt_index)];
  logger_.info() << "response of " << attempt.endpoint_id << " to call " << rpc.call_id
                 << " ended incomplete: " << name_of(outcome) << ", attempt " << attempt_index << ", "
                 << event_loop_.now() - attempt.sent_at_ms << " ms after it was sent, head after "
                 << progress.head_after_ms << " ms, " << progress.body_bytes << " body bytes, silent for "
                 << progress.silent_ms << " ms" << (rpc.streaming_response ? ", forwarded so far" : "");
}

void RequestDispatcher::abandon_all_attempts(const std::string& rpc_id) {
  const std::vector<Attempt>& attempts = rpcs_.at(rpc_id).attempts;
  for (std::size_t index = 0; index < attempts.size(); ++index)
    if (attempts[index].in_flight) abandon_attempt(rpc_id, static_cast<int>(index));
}

// Otherwise a connection established late would carry to an endpoint a request that already has its final
// result or whose client has left. This also applies if the settings don't allow cancelling, because the
// endpoint has not been sent the whole request yet.
void RequestDispatcher::withdraw_unsent_attempts(const std::string& rpc_id) {
  const Rpc& rpc = rpcs_.at(rpc_id);
  if (rpc.streaming_response) return;  // the endpoint responds before the request's last byte is written
  for (std::size_t index = 0; index < rpc.attempts.size(); ++index) {
    const Attempt& attempt = rpc.attempts[index];
    if (attempt.in_flight && upstream_pool_.is_unsent(attempt.exchange_id))
      abandon_attempt(rpc_id, static_cast<int>(index), AttemptOutcome::withdrawn);
  }
}

void RequestDispatcher::send_health_check(const std::string& endpoint_id) {
  // A response that arrives later says nothing about the current load.
  constexpr double timeout_ms = 250;
  UpstreamPool::Exchange exchange;
  exchange.on_complete = [this, endpoint_id](UpstreamPool::ExchangeResult result) {
    const LoadReport report = extract_load_report(result, true);
    if (result.outcome == AttemptOutcome::withdrawn)
      result.outcome = AttemptOutcome::client_error;  // the health check was not sent
    Counters::increment(counters_.health_checks, result.outcome);
    logger_.debug() << "health check of " << endpoint_id << ": " << name_of(result.outcome) << " after "
                    << result.duration_ms << " ms, in flight there " << report.in_flight.value_or(-1);
    load_balancer_.on_probe_finished(event_loop_.now(), endpoint_id, result.outcome, report);
    carry_out_decisions();
  };
  upstream_pool_.start_exchange(endpoint_id, encode_health_check(probes_report_load_), timeout_ms,
                                std::move(exchange));
}

void RequestDispatcher::conclude_rpc(const std::string& rpc_id, RpcResult result) {
  Rpc& rpc = rpcs_.at(rpc_id);
  if (rpc.concluded) return;
  rpc.concluded = true;
  withdraw_unsent_attempts(rpc_id);
  count_result(result.outcome);
  log_result(rpc_id, result);
  const auto on_result = std::move(rpc.handler.on_result);
  on_result(std::move(result));
}

void RequestDispatcher::count_result(RpcResult::Outcome outcome) {
  switch (outcome) {
    case RpcResult::Outcome::ok:
      ++counters_.rpcs_ok;
      break;
    case RpcResult::Outcome::rejected:
      ++counters_.rpcs_rejected;
      break;
    case RpcResult::Outcome::failed:
      ++counters_.rpcs_failed;
      break;
  }
}

void RequestDispatcher::log_result(const std::string& rpc_id, const RpcResult& result) const {
  const Rpc& rpc = rpcs_.at(rpc_id);
  logger_.debug() << "rpc " << rpc_id << " of call " << rpc.call_id << ": " << name_of(result.outcome)
                  << " after " << event_loop_.now() - rpc.received_at_ms << " ms and " << rpc.attempts.size()
                  << " attempts, deadline in " << rpc.deadline_ms - event_loop_.now() << " ms"
                  << (result.response.is_partial ? ", response is streamed" : "");
}

// The endpoint may still execute the request of a client that has left. If its id came again, it would be
// executed twice. So the id stays open for as long as the client might have waited.
void RequestDispatcher::close_call_id(const Rpc& rpc) {
  const bool may_have_executed =
      std::any_of(rpc.attempts.begin(), rpc.attempts.end(),
                  [](const Attempt& attempt) { return attempt.may_have_executed; });
  if (rpc.client_left && may_have_executed && !rpc.is_idempotent)
    call_ids_.close_at(rpc.call_id, rpc.deadline_ms);
  else
    call_ids_.close(rpc.call_id);
}

void RequestDispatcher::erase_if_concluded(const std::string& rpc_id) {
  const auto it = rpcs_.find(rpc_id);
  if (it == rpcs_.end() || !it->second.concluded || !it->second.has_no_attempt_in_flight()) return;
  close_call_id(it->second);
  rpcs_.erase(it);
}

}  // namespace indigorill
