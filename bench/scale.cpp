/// \file
/// Benchmarks by the size of the fleet, with a fitted complexity: one request to the quota allocator, one
/// datagram into and out of the membership, one period of the membership, one complete endpoint list, and one
/// change of the list. The benchmark of a decision is in decision.cpp. Run with --benchmark_repetitions=5 for
/// the spread of the results.
#include <benchmark/benchmark.h>

#include <string>

#include "cluster/envelope.h"
#include "discovery/discovery_client.h"
#include "indigorill/load_balancer.h"
#include "membership/membership.h"
#include "quota/quota_allocator.h"
#include "quota/quota_client.h"

namespace indigorill {
namespace {

std::string numbered(const char* prefix, std::size_t i) {
  return std::string(prefix).append(std::to_string(i));
}
std::string address_of(std::size_t i) {
  std::string address("10.");
  for (const std::size_t part : {i / 62500 % 250, i / 250 % 250})
    address.append(std::to_string(part)).append(".");
  return address.append(std::to_string(i % 250)).append(":7900");
}

constexpr Milliseconds endless_lease = 1e18;

/// An allocator and its clients without a network. All clients request in turn, thrice per grant duration.
class DirectFleet {
 public:
  explicit DirectFleet(std::size_t size)
      : config_{.budgets = {{.name = "attempts",
                             .total = 4.0 * static_cast<double>(size),
                             .window_ms = 1000}},
                .max_holders = static_cast<int>(size),
                .grant_duration_ms = 2000,
                .registration_duration_ms = 60000,
                .max_clock_drift = 0.01},
        allocator_(config_) {
    for (std::size_t client = 0; client < size; ++client) clients_.emplace_back(config_, 1 + client);
    allocator_.start_term(now_, now_);
  }

  /// Runs one request of the next client. Demands are uneven: one client in a hundred has a far greater one.
  void run_next_request() {
    QuotaClient& client = clients_[next_client_];
    const std::size_t demand = next_client_ % 100 == 0 ? 50 : next_client_ % 3;
    for (std::size_t unit = 0; unit < demand; ++unit) client.record_demand(now_, 0);
    const QuotaRequest request = client.make_request(now_);
    client.on_grant(now_, allocator_.handle_request(now_, endless_lease, request));
    now_ += config_.grant_duration_ms / 3 / static_cast<double>(clients_.size());
    next_client_ = (next_client_ + 1) % clients_.size();
  }

 private:
  QuotaConfig config_;
  QuotaAllocator allocator_;
  std::vector<QuotaClient> clients_;
  std::size_t next_client_ = 0;
  Milliseconds now_ = 1e6;
};

void quota_request(benchmark::State& state) {
  const auto size = static_cast<std::size_t>(state.range(0));
  DirectFleet fleet(size);
  constexpr std::size_t rounds_to_settle = 6;
  for (std::size_t request = 0; request < rounds_to_settle * size; ++request) fleet.run_next_request();
  for (auto _ : state) fleet.run_next_request();
  state.SetComplexityN(state.range(0));
}
// Includes the client's own work for one request, which does not depend on the size of the fleet.
BENCHMARK(quota_request)->RangeMultiplier(4)->Range(100, 25600)->Complexity();

// A member that knows all other members of its fleet.
struct FullMembership {
  Membership membership;
  double now = 1e6;
  explicit FullMembership(std::size_t size)
      : membership({"n0", address_of(0), {address_of(1)}, 1000, 300}, 1, 1, 1e6) {
    SwimMessage page{SwimMessage::Kind::view_page, 1, {}, {}, {}};
    for (std::size_t i = 1; i < size; ++i)
      page.updates.push_back({Member::State::alive, numbered("n", i), address_of(i), 1});
    membership.on_message(now, "n1", address_of(1), page);
  }
};

void datagram_in_and_out(benchmark::State& state) {
  FullMembership member(static_cast<std::size_t>(state.range(0)));
  Envelope envelope;
  envelope.fleet = "lab";
  envelope.name = numbered("n", 1);
  envelope.address = address_of(1);
  envelope.incarnation = 1;
  envelope.swim_message = {
      SwimMessage::Kind::ping, 1, {}, {}, {{Member::State::alive, numbered("n", 1), address_of(1), 1}}};
  for (auto _ : state) {
    ++envelope.sequence_number;
    const auto decoded = std::get<Envelope>(decode_envelope(encode(envelope), "lab"));
    member.membership.on_message(member.now, decoded.name, decoded.address, decoded.swim_message);
    while (auto outgoing = member.membership.next_message()) benchmark::DoNotOptimize(outgoing);
  }
  state.SetComplexityN(state.range(0));
}
BENCHMARK(datagram_in_and_out)->RangeMultiplier(4)->Range(100, 25600)->Complexity();

// One period of a member that receives no messages but the replies to its own probes.
void member_period(benchmark::State& state) {
  FullMembership member(static_cast<std::size_t>(state.range(0)));
  for (auto _ : state) {
    member.now = std::max(member.now, member.membership.next_timer_at());
    member.membership.on_timer(member.now);
    while (auto outgoing = member.membership.next_message())
      if (outgoing->message.kind == SwimMessage::Kind::ping) {
        const std::string name = numbered("n", 1);
        member.membership.on_message(member.now, name, outgoing->recipient,
                                     {SwimMessage::Kind::ack, outgoing->message.sequence_number, {}, {}, {}});
      }
  }
  state.SetComplexityN(state.range(0));
}
BENCHMARK(member_period)->RangeMultiplier(4)->Range(100, 25600)->Complexity();

EndpointListUpdate complete_list(std::size_t size) {
  EndpointListUpdate update;
  update.version = size;
  update.complete = true;
  for (std::size_t i = 0; i < size; ++i)
    update.entries.push_back({{numbered("endpoint-", i), "here", 0, 0, EndpointState::ready}, address_of(i)});
  return update;
}

void list_whole(benchmark::State& state) {
  const std::string text = encode_endpoint_list(complete_list(static_cast<std::size_t>(state.range(0))));
  LoadBalancerConfig config;
  LoadBalancer load_balancer(config, 1, 1e6);
  double now = 1e6;
  for (auto _ : state) {
    const EndpointListUpdate update = parse_endpoint_list(text);
    std::vector<Endpoint> endpoints;
    for (const EndpointListUpdate::Entry& entry : update.entries) endpoints.push_back(entry.endpoint);
    load_balancer.update_endpoints(++now, true, false, endpoints);
    while (load_balancer.next_decision()) {
    }
  }
  state.counters["bytes"] = static_cast<double>(text.size());
  state.SetComplexityN(state.range(0));
}
BENCHMARK(list_whole)->RangeMultiplier(10)->Range(10, 10000)->Complexity();

// One endpoint of the list is added or removed.
void list_change(benchmark::State& state) {
  const auto size = static_cast<std::size_t>(state.range(0));
  LoadBalancerConfig config;
  LoadBalancer load_balancer(config, 1, 1e6);
  std::vector<Endpoint> endpoints;
  for (const EndpointListUpdate::Entry& entry : complete_list(size).entries)
    endpoints.push_back(entry.endpoint);
  double now = 1e6;
  load_balancer.update_endpoints(now, true, false, endpoints);
  while (load_balancer.next_decision()) {
  }
  EndpointListUpdate change;
  change.entries = {{endpoints[size / 2], address_of(size / 2)}};
  for (auto _ : state) {
    EndpointState& endpoint_state = change.entries[0].endpoint.state;
    endpoint_state = endpoint_state == EndpointState::ready ? EndpointState::gone : EndpointState::ready;
    const EndpointListUpdate update = parse_endpoint_list(encode_endpoint_list(change));
    load_balancer.update_endpoints(++now, false, false, {update.entries[0].endpoint});
    while (load_balancer.next_decision()) {
    }
  }
  state.SetComplexityN(state.range(0));
}
BENCHMARK(list_change)->RangeMultiplier(10)->Range(10, 10000)->Complexity();

}  // namespace
}  // namespace indigorill

BENCHMARK_MAIN();
