#include "proxy/request_dispatcher.h"

#include <algorithm>
#include <utility>

namespace indigorill {
namespace {

// A whole answer says how it ended, and may carry a report.
LoadReport extract_load_report(UpstreamPool::ExchangeResult& ended, bool of_probe) {
  if (ended.outcome != AttemptOutcome::ok) return {};
  ended.outcome = classify_response(ended.response);
  return decode_load_report(ended.response, of_probe);
}

// Messages between sidecars are not carried here: what is never heard must not be told either.
LoadBalancerConfig without_gossip(LoadBalancerConfig where, Logger& lines) {
  if (std::exchange(where.gossip_enabled, false))
    lines.info() << "the settings allow messages between sidecars; none are sent or heard";
  return where;
}

}  // namespace

bool RequestDispatcher::Rpc::has_no_attempt_in_flight() const {
  return std::none_of(attempts.begin(), attempts.end(), [](const Attempt& p) { return p.in_flight; });
}

RequestDispatcher::RequestDispatcher(EventLoop& in, UpstreamPool& to, Counters& counts, Logger& log_to,
                                     const LoadBalancerConfig& where, std::uint64_t seed)
    : event_loop_(in),
      upstream_pool_(to),
      counters_(counts),
      logger_(log_to),
      probes_report_load_(where.probes_report_load),
      longest_retry_after_ms_(where.max_retry_after_ms),
      load_balancer_(without_gossip(where, log_to), seed, in.now()) {
  for (const MethodConfig& m : where.methods) known_methods_.insert(m.name);
  upstream_pool_.on_idle_count_changed([this](const std::string& server, std::size_t connections) {
    load_balancer_.set_idle_connections(server, connections);
  });
}

std::string RequestDispatcher::dispatch(http::Message m, double came, ResponseHandler who) {
  // The answer has still to be written and to reach the client; a wake-up may be a millisecond late.
  constexpr double to_answer = 3;
  // Ids of the client's could come twice.
  const std::string id = std::to_string(++last_id_);
  Rpc& r = rpcs_[id];
  r.request = std::move(m);
  r.handler = std::move(who);
  const RpcRequest c = decode_rpc_request(r.request);
  open_call_ids_.insert(r.call_id = c.id);
  // A long request's time counts from its last byte, which is still to come.
  r.budget = c.budget_ms - to_answer;
  r.deadline = came + r.budget;
  ++counters_.rpcs_received;
  load_balancer_.on_rpc_arrived(event_loop_.now(),
                                {id, c.method, r.deadline, c.affinity_key, c.tenant, c.is_retry});
  carry_out_decisions();
  return id;
}

void RequestDispatcher::on_client_left(const std::string& id) {
  const auto it = rpcs_.find(id);
  if (it == rpcs_.end() || (it->second.concluded && !it->second.streaming_response)) return;
  if (!std::exchange(it->second.concluded, true)) {
    ++counters_.rpcs_abandoned;
    load_balancer_.on_client_disconnected(event_loop_.now(), id);
    carry_out_decisions();
  }
  const auto still = rpcs_.find(id);  // the balancer may have cancelled its last pick
  if (still == rpcs_.end()) return;
  Rpc& r = still->second;
  withdraw_unsent_attempts(id);
  // The balancer cancels no pick whose bytes are on their way; nobody gives or takes them any more.
  if (r.request_body_discarded || r.streaming_response) abandon_all_attempts(id);
  r.handler = {};
  erase_if_concluded(id);
}

void RequestDispatcher::abort_all() {
  std::vector<std::string> all;
  for (const auto& [id, r] : rpcs_) all.push_back(id);
  for (const std::string& id : all) {
    const auto it = rpcs_.find(id);
    if (it == rpcs_.end()) continue;
    const EventLoop::Callback cut = it->second.streaming_response ? it->second.handler.on_aborted : [] {};
    if (it->second.streaming_response) ++counters_.truncated_responses;
    if (!it->second.concluded) {
      conclude_rpc(id,
                   {RpcResult::Outcome::failed, {}, 0});  // an earlier pick may have run: no word on a retry
      load_balancer_.on_client_disconnected(event_loop_.now(), id);
      carry_out_decisions();
    }
    if (rpcs_.count(id)) abandon_all_attempts(id);
    cut();
    erase_if_concluded(id);
  }
}

RequestDispatcher::Attempt* RequestDispatcher::find_attempt_in_flight(const std::string& id) {
  const auto it = rpcs_.find(id);
  if (it == rpcs_.end()) return nullptr;
  for (Attempt& p : it->second.attempts)
    if (p.in_flight) return &p;
  return nullptr;
}

void RequestDispatcher::resume_response(const std::string& id) {
  if (const Attempt* p = find_attempt_in_flight(id)) upstream_pool_.resume_response(p->exchange_id);
}

bool RequestDispatcher::send_request_body(const std::string& id, std::string_view bytes, bool last,
                                          double came) {
  const Attempt* p = find_attempt_in_flight(id);
  if (!p) return false;
  Rpc& r = rpcs_.at(id);
  if (last) r.deadline = came + r.budget;
  return upstream_pool_.send_request_body(p->exchange_id,
                                          encode_body_chunk(bytes, !r.request.content_length, last), last,
                                          std::max(r.deadline - event_loop_.now(), 1.0));
}

// The endpoint took what was here of a long request: from now on it can be sent nowhere else.
void RequestDispatcher::on_ready_for_body(const std::string& id, int number) {
  Rpc& r = rpcs_.at(id);
  if (!std::exchange(r.request_body_discarded, true)) {
    ++counters_.streamed_requests;
    load_balancer_.on_response_started(event_loop_.now(), id, number, true);
  }
  const EventLoop::Callback next = r.handler.on_ready_for_body;
  next();
}

// True if what follows is wanted.
bool RequestDispatcher::on_response_started(const std::string& id, int number, const http::Message& answer) {
  Rpc& r = rpcs_.at(id);
  if (r.concluded || classify_response(answer) != AttemptOutcome::ok) return false;
  ++counters_.streamed_responses;
  r.streaming_response = true;
  r.load_report = decode_load_report(answer, false);
  load_balancer_.on_response_started(event_loop_.now(), id, number, true);
  conclude_rpc(id, {RpcResult::Outcome::ok, answer, 0});
  return true;
}

void RequestDispatcher::update_endpoints(bool whole, bool asked, const std::vector<Endpoint>& entries) {
  load_balancer_.update_endpoints(event_loop_.now(), whole, asked, entries);
  upstream_pool_.withdraw_unsent_exchanges();
  carry_out_decisions();
}

void RequestDispatcher::set_ejected_manually(const std::string& server, bool is, double since) {
  load_balancer_.set_ejected_manually(event_loop_.now(), server, is, since);
  upstream_pool_.set_ejected_manually(server, is);
  upstream_pool_.withdraw_unsent_exchanges();
  carry_out_decisions();
}

void RequestDispatcher::endpoint_poll_failed() {
  load_balancer_.endpoint_poll_failed(event_loop_.now());
  carry_out_decisions();
}

void RequestDispatcher::on_endpoint_poll(EventLoop::Callback what) {
  poll_endpoints_ = std::move(what);
  if (std::exchange(endpoint_poll_pending_, false)) poll_endpoints_();
}

void RequestDispatcher::carry_out_decisions() {
  // What is carried out may tell the balancer something at once; its decisions then follow in this round.
  if (carrying_out_decisions_) return;
  carrying_out_decisions_ = true;
  for (;;) {
    if (fleet_retry_quota_) load_balancer_.set_fleet_retry_quota(fleet_retry_quota_->remaining());
    const auto d = load_balancer_.next_decision();
    if (!d) break;
    carry_out(*d);
  }
  carrying_out_decisions_ = false;
}

void RequestDispatcher::carry_out(const Decision& d) {
  using Verb = Decision::Action;
  switch (d.action) {
    case Verb::send_attempt:
      return send_attempt(d);
    case Verb::reject:
      note_retry_shortage(d.rpc_id);
      conclude_rpc(d.rpc_id, {RpcResult::Outcome::rejected, {}, d.delay_ms});
      return erase_if_concluded(d.rpc_id);
    case Verb::fail:
      note_retry_shortage(d.rpc_id);
      conclude_rpc(d.rpc_id, {RpcResult::Outcome::failed, {}, 0});
      return erase_if_concluded(d.rpc_id);
    case Verb::cancel_attempt:
      return cancel_attempt(d);
    case Verb::health_check:
      return send_health_check(d.endpoint_id);
    case Verb::poll_endpoints:
      // The balancer asks once and waits: a wish that is dropped leaves the sidecar with its first list.
      endpoint_poll_pending_ = !poll_endpoints_;
      if (poll_endpoints_) poll_endpoints_();
      return;
    case Verb::send_gossip:
      return;
    case Verb::set_timer: {
      const std::uint64_t name = ++last_id_;
      balancer_timers_[name] =
          event_loop_.schedule_at(event_loop_.now() + d.delay_ms, [this, name, wake = d.timer_id] {
            balancer_timers_.erase(name);
            load_balancer_.on_timer(event_loop_.now(), wake);
            carry_out_decisions();
          });
    }
  }
}

// Given up after a pick with nothing left to spend: one more was wanted, as far as can be seen from here.
void RequestDispatcher::note_retry_shortage(const std::string& id) {
  if (fleet_retry_quota_ && !rpcs_.at(id).attempts.empty() && fleet_retry_quota_->remaining() < 1)
    fleet_retry_quota_->on_shortage();
}

void RequestDispatcher::send_attempt(const Decision& d) {
  Rpc& r = rpcs_.at(d.rpc_id);
  const double now = event_loop_.now(), patience = std::min(d.delay_ms, r.deadline - now);
  r.attempts.push_back({0, d.endpoint_id, now, true});
  // Its time ended while this round went on, or the share ended since it was asked about, as this process may
  // have stood still: nothing was sent.
  if (patience <= 0 || now >= d.send_deadline_ms ||
      (d.attempt_index > 0 && fleet_retry_quota_ && !fleet_retry_quota_->try_consume())) {
    UpstreamPool::ExchangeResult none{};
    none.outcome = AttemptOutcome::withdrawn;
    return on_attempt_ended(d.rpc_id, d.attempt_index, std::move(none));
  }
  UpstreamPool::Exchange with;
  with.on_complete = [this, id = d.rpc_id, n = d.attempt_index](UpstreamPool::ExchangeResult ended) {
    on_attempt_ended(id, n, std::move(ended));
  };
  with.on_response_started = [this, id = d.rpc_id, n = d.attempt_index](const http::Message& answer) {
    return on_response_started(id, n, answer);
  };
  with.on_body_piece = [this, id = d.rpc_id](std::string_view bytes, bool last) {
    const auto pass = rpcs_.at(id).handler.on_body_piece;
    return pass(bytes, last);
  };
  with.on_ready_for_body = [this, id = d.rpc_id, n = d.attempt_index] { on_ready_for_body(id, n); };
  with.rebuild_request = [this, id = d.rpc_id](double left) {
    return encode_attempt(rpcs_.at(id).request, left);
  };
  with.is_head_request = is_head_request(r.request);
  with.has_more_body = r.request.is_partial;
  with.must_be_sent_by = d.send_deadline_ms;
  r.attempts.back().exchange_id = upstream_pool_.start_exchange(
      d.endpoint_id, encode_attempt(r.request, patience), patience, std::move(with));
}

void RequestDispatcher::on_attempt_ended(const std::string& id, int number,
                                         UpstreamPool::ExchangeResult ended) {
  Rpc& r = rpcs_.at(id);
  r.attempts[number].in_flight = false;
  const LoadReport report = r.streaming_response ? r.load_report : extract_load_report(ended, false);
  Counters::increment(counters_.attempts, ended.outcome);
  logger_.debug() << "rpc " << id << " pick " << number << " at " << r.attempts[number].server << ": "
                  << name_of(ended.outcome) << " after " << ended.duration_ms << " ms, holds "
                  << report.in_flight.value_or(-1);
  const bool broke = r.streaming_response && ended.outcome != AttemptOutcome::ok;
  const EventLoop::Callback cut = broke ? r.handler.on_aborted : [] {};
  if (broke) ++counters_.truncated_responses;
  if (ended.outcome == AttemptOutcome::ok && !r.concluded)
    conclude_rpc(id, {RpcResult::Outcome::ok, std::move(ended.response), 0});
  // A bad client must not cost endpoints their reputation, nor be tried at one after the other.
  // Without an answer it is us who had no room; the balancer says how it goes on.
  if (ended.outcome == AttemptOutcome::client_error && ended.response.status != 0 && !r.concluded)
    conclude_rpc(id, {RpcResult::Outcome::failed, std::move(ended.response), 0});
  load_balancer_.on_attempt_finished(event_loop_.now(), id, number, ended.outcome, ended.duration_ms,
                                     r.concluded, report);
  carry_out_decisions();
  erase_if_concluded(id);
  cut();
}

void RequestDispatcher::cancel_attempt(const Decision& d) {
  Rpc& r = rpcs_.at(d.rpc_id);
  Attempt& p = r.attempts.at(d.attempt_index);
  if (!p.in_flight) return;
  abandon_attempt(d.rpc_id, d.attempt_index);
  erase_if_concluded(d.rpc_id);
}

void RequestDispatcher::abandon_attempt(const std::string& id, int number, AttemptOutcome how) {
  Rpc& r = rpcs_.at(id);
  Attempt& p = r.attempts.at(static_cast<std::size_t>(number));
  upstream_pool_.abandon_exchange(p.exchange_id);
  p.in_flight = false;
  Counters::increment(counters_.attempts, how);
  load_balancer_.on_attempt_finished(event_loop_.now(), id, number, how, event_loop_.now() - p.sent_at,
                                     r.concluded, {});
}

void RequestDispatcher::abandon_all_attempts(const std::string& id) {
  const std::vector<Attempt>& picks = rpcs_.at(id).attempts;
  for (std::size_t n = 0; n < picks.size(); ++n)
    if (picks[n].in_flight) abandon_attempt(id, static_cast<int>(n));
}

// A connection that comes up late would else bring to an endpoint what has had its final answer, or what
// nobody waits for any more. Also where the settings allow no cancelling: nothing was asked of it yet.
void RequestDispatcher::withdraw_unsent_attempts(const std::string& id) {
  Rpc& r = rpcs_.at(id);
  if (r.streaming_response) return;  // answered before its last byte was out
  for (std::size_t n = 0; n < r.attempts.size(); ++n)
    if (r.attempts[n].in_flight && upstream_pool_.is_unsent(r.attempts[n].exchange_id))
      abandon_attempt(id, static_cast<int>(n), AttemptOutcome::withdrawn);
}

void RequestDispatcher::send_health_check(const std::string& server) {
  // An answer that comes later than this tells nothing of the load any more.
  constexpr double patience = 250;
  UpstreamPool::Exchange with;
  with.on_complete = [this, server](UpstreamPool::ExchangeResult ended) {
    const LoadReport report = extract_load_report(ended, true);
    if (ended.outcome == AttemptOutcome::withdrawn)
      ended.outcome = AttemptOutcome::client_error;  // it was not asked at all
    Counters::increment(counters_.health_checks, ended.outcome);
    logger_.debug() << "probe of " << server << ": " << name_of(ended.outcome) << " after "
                    << ended.duration_ms << " ms, holds " << report.in_flight.value_or(-1);
    load_balancer_.on_probe_finished(event_loop_.now(), server, ended.outcome, report);
    carry_out_decisions();
  };
  upstream_pool_.start_exchange(server, encode_health_check(probes_report_load_), patience, std::move(with));
}

void RequestDispatcher::conclude_rpc(const std::string& id, RpcResult v) {
  Rpc& r = rpcs_.at(id);
  if (r.concluded) return;
  r.concluded = true;
  withdraw_unsent_attempts(id);
  ++(v.outcome == RpcResult::Outcome::ok         ? counters_.rpcs_ok
     : v.outcome == RpcResult::Outcome::rejected ? counters_.rpcs_rejected
                                                 : counters_.rpcs_failed);
  const auto then = std::move(r.handler.on_result);
  then(std::move(v));
}

void RequestDispatcher::erase_if_concluded(const std::string& id) {
  const auto it = rpcs_.find(id);
  if (it == rpcs_.end() || !it->second.concluded || !it->second.has_no_attempt_in_flight()) return;
  open_call_ids_.erase(it->second.call_id);
  rpcs_.erase(it);
}

}  // namespace indigorill
