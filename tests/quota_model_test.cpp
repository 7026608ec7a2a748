/// \file
/// Explores all states of the quota's production code within bounds, and checks that the total is kept.
#include <doctest/doctest.h>

#include <array>
#include <cmath>
#include <map>
#include <string>
#include <vector>

#include "quota/quota_allocator.h"
#include "quota/quota_client.h"
#include "support/state_explorer.h"

namespace indigorill {
namespace {

// The model has up to three clients, a budget of two units, and a lease that passes from one allocator to
// another. Sent messages stay in the network: each is delivered at any later moment, never, or many times.

constexpr std::size_t allocator_count = 2;
constexpr double explored_total = 2;

/// Whether the first allocator's term lasts to the end of its lease, or ends early by a resignation.
enum class Succession { at_expiry, by_resignation };

struct ModelSettings {
  std::vector<double> client_clock_rates;
  std::array<double, allocator_count> allocator_clock_rates;
  int max_ticks = 0;
  std::vector<int> max_requests;  // by client
  Succession succession = Succession::at_expiry;
};

struct SentMessage {
  enum class Type { request, grant };
  Type type = Type::request;
  std::size_t client = 0;
  std::size_t allocator = 0;
  QuotaRequest request = {};
  QuotaGrant grant = {};

  std::string text() const {
    const bool is_grant = type == Type::grant;
    const std::uint64_t number = is_grant ? grant.request_number : request.request_number;
    std::string text(is_grant ? "grant to " : "request of ");
    text.append(std::to_string(client)).append(is_grant ? " by " : " to ").append(std::to_string(allocator));
    text.append(" number ").append(std::to_string(number));
    if (is_grant)
      text.append(" units ").append(std::to_string(static_cast<int>(grant.amounts.at(0))));
    else
      text.append(" uses grant ").append(std::to_string(request.oldest_grant_in_use));
    return text;
  }
};

struct FleetState {
  std::vector<QuotaClient> clients;
  std::vector<QuotaAllocator> allocators;
  std::map<std::string, SentMessage> sent;  // all messages that were sent, by text
  int tick = 0;
  std::vector<int> requests_left;  // by client
};

/// In true time the first allocator's lease ends no later than the tick at which it expires by the holder's
/// clock. The second allocator's term begins at that tick, or earlier after a resignation. The model of the
/// lease shows that there are never two leaders at a time.
class FleetModel {
 public:
  using State = FleetState;

  FleetModel(ModelSettings settings, QuotaSafeguards safeguards)
      : settings_(std::move(settings)),
        safeguards_(safeguards),
        lease_end_tick_(static_cast<int>(std::ceil(lease_end / settings_.allocator_clock_rates[0]))),
        succession_tick_(settings_.succession == Succession::by_resignation ? 1 : lease_end_tick_) {}

  State first_state() const {
    // Clock rates are off by a third: a slow clock advances by two in a tick, a fast one by four.
    const QuotaConfig config{.budgets = {{.name = "held", .total = explored_total}},
                             .max_holders = 3,
                             .grant_duration_ms = 4,
                             .registration_duration_ms = 8,
                             .max_clock_drift = 1.0 / 3};
    constexpr std::uint64_t first_session = 10;
    State state;
    for (std::size_t client = 0; client < settings_.client_clock_rates.size(); ++client)
      state.clients.emplace_back(config, first_session + client, safeguards_);
    state.allocators.assign(allocator_count, QuotaAllocator(config, safeguards_));
    state.allocators[0].start_term(0, 0);
    state.requests_left = settings_.max_requests;
    return state;
  }

  std::string key(const State& state) const {
    std::string key = std::to_string(state.tick);
    for (std::size_t client = 0; client < state.clients.size(); ++client)
      key.append("/").append(state.clients[client].state_digest(client_clock(client, state.tick)));
    for (std::size_t allocator = 0; allocator < allocator_count; ++allocator) {
      const Milliseconds now = allocator_clock(allocator, state.tick);
      key.append("/").append(state.allocators[allocator].state_digest(now));
    }
    for (const auto& [text, message] : state.sent) key.append(";").append(text);
    return key;
  }

  bool is_forbidden(const State& state) const {
    double in_use = 0;
    for (std::size_t client = 0; client < state.clients.size(); ++client)
      in_use += state.clients[client].allowance(client_clock(client, state.tick), 0);
    return in_use > explored_total;
  }

  template <class Reach>
  void expand(const State& state, Reach reach) const {
    pass_time(state, reach);
    for (std::size_t client = 0; client < state.clients.size(); ++client) {
      for (std::size_t allocator = 0; allocator < allocator_count; ++allocator)
        send_request(state, client, allocator, reach);
    }
    for (const auto& [text, message] : state.sent) {
      if (message.type == SentMessage::Type::grant)
        deliver_grant(state, message, reach);
      else
        deliver_request(state, message, reach);
    }
  }

 private:
  static constexpr Milliseconds lease_end = 8;  // end of the first allocator's lease, by its clock
  static constexpr Milliseconds far_lease_end = 1000;

  Milliseconds client_clock(std::size_t client, int tick) const {
    return settings_.client_clock_rates[client] * tick;
  }
  Milliseconds allocator_clock(std::size_t allocator, int tick) const {
    return settings_.allocator_clock_rates[allocator] * tick;
  }
  bool is_leader(std::size_t allocator, int tick) const {
    return allocator == 0 ? tick < succession_tick_ : tick >= succession_tick_;
  }

  template <class Reach>
  void pass_time(const State& state, Reach& reach) const {
    if (state.tick >= settings_.max_ticks) return;
    State next = state;
    ++next.tick;
    if (next.tick == succession_tick_)
      next.allocators[1].start_term(allocator_clock(1, succession_tick_),
                                    allocator_clock(1, lease_end_tick_));
    reach(std::move(next), "time passes");
  }

  template <class Reach>
  void send_request(const State& state, std::size_t client, std::size_t allocator, Reach& reach) const {
    if (state.requests_left[client] == 0) return;
    const Milliseconds now = client_clock(client, state.tick);
    State next = state;
    --next.requests_left[client];
    for (int unit = 0; unit < explored_total; ++unit) next.clients[client].record_demand(now, 0);
    const SentMessage message{.type = SentMessage::Type::request,
                              .client = client,
                              .allocator = allocator,
                              .request = next.clients[client].make_request(now)};
    next.sent.emplace(message.text(), message);
    reach(std::move(next), message.text());
  }

  template <class Reach>
  void deliver_grant(const State& state, const SentMessage& message, Reach& reach) const {
    State next = state;
    next.clients[message.client].on_grant(client_clock(message.client, state.tick), message.grant);
    reach(std::move(next), message.text());
  }

  template <class Reach>
  void deliver_request(const State& state, const SentMessage& message, Reach& reach) const {
    if (!is_leader(message.allocator, state.tick)) return;
    const Milliseconds lease_expires_at = message.allocator == 0 ? lease_end : far_lease_end;
    State next = state;
    const QuotaGrant grant = next.allocators[message.allocator].handle_request(
        allocator_clock(message.allocator, state.tick), lease_expires_at, message.request);
    if (grant.status != QuotaGrant::Status::granted) return;
    SentMessage reply;
    reply.type = SentMessage::Type::grant;
    reply.client = message.client;
    reply.allocator = message.allocator;
    reply.grant = grant;
    next.sent.emplace(reply.text(), reply);
    reach(std::move(next), message.text());
  }

  ModelSettings settings_;
  QuotaSafeguards safeguards_;
  int lease_end_tick_;
  int succession_tick_;
};

Exploration explore(const ModelSettings& settings, QuotaSafeguards safeguards) {
  const FleetModel model(settings, safeguards);
  return StateExplorer(model).run(model.first_state());
}

}  // namespace

TEST_CASE("quota model: no reachable state has more than the total in use") {
  const ModelSettings rows[]{{{2, 2, 2}, {4, 2}, 3, {1, 1, 1}, Succession::at_expiry},
                             {{2, 4, 2}, {2, 4}, 3, {1, 1, 1}, Succession::by_resignation},
                             {{4, 2}, {4, 4}, 4, {2, 1}, Succession::at_expiry},
                             {{2, 2}, {4, 4}, 4, {2, 1}, Succession::by_resignation}};
  for (const ModelSettings& row : rows) {
    const Exploration exploration = explore(row, {});
    MESSAGE("quota model: " << exploration.state_count << " states");
    CHECK(exploration.state_count > 1000);
    CHECK_MESSAGE(exploration.trace.empty(), exploration.trace_text());
  }
}

TEST_CASE("quota model: switching off any one safeguard leads to a state with more than the total in use") {
  struct {
    const char* name;
    std::array<double, allocator_count> allocator_clock_rates;
    Succession succession;
    bool QuotaSafeguards::*safeguard;
  } rows[]{
      {"expire from request", {4, 4}, Succession::at_expiry, &QuotaSafeguards::expire_from_request},
      {"wait for previous grants",
       {2, 2},
       Succession::by_resignation,
       &QuotaSafeguards::wait_for_previous_grants},
      {"count outstanding grants", {4, 4}, Succession::at_expiry, &QuotaSafeguards::count_outstanding_grants},
      {"grant within lease", {4, 4}, Succession::at_expiry, &QuotaSafeguards::grant_within_lease},
      {"allow clock drift", {4, 4}, Succession::at_expiry, &QuotaSafeguards::allow_clock_drift}};
  for (const auto& row : rows) {
    CAPTURE(std::string(row.name));
    QuotaSafeguards safeguards;
    safeguards.*row.safeguard = false;
    const Exploration exploration =
        explore({{2, 2}, row.allocator_clock_rates, 3, {2, 1}, row.succession}, safeguards);
    CHECK_FALSE(exploration.trace.empty());
    MESSAGE("without \"" << std::string(row.name) << "\": more than the total after "
                         << exploration.state_count << " states:" << exploration.trace_text());
  }
}

}  // namespace indigorill
