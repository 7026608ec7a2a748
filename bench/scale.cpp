// What parts of the control cost by the size of the fleet, with the complexity fitted: one answer of the
// quota's allocator, one datagram into and out of the membership, one list of endpoints taken in whole and by
// change. A decision is in decision.cpp. Run with --benchmark_repetitions=5 for the spread.
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

std::string named(const char* what, std::size_t i) { return std::string(what).append(std::to_string(i)); }
std::string place(std::size_t i) {
  std::string s("10.");
  for (const std::size_t part : {i / 62500 % 250, i / 250 % 250}) s.append(std::to_string(part)).append(".");
  return s.append(std::to_string(i % 250)).append(":7900");
}

constexpr Milliseconds endless_lease = 1e18;

/// An allocator and its clients without a network: all ask in turn, three times in a grant's duration.
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

  /// One request of the next client. Uneven: one in a hundred demands many times as much.
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
// With the client's own work for one request, which does not depend on the size.
BENCHMARK(quota_request)->RangeMultiplier(4)->Range(100, 25600)->Complexity();

// Two of a fleet in which each knows all.
struct KnowsAll {
  Membership one;
  double now = 1e6;
  explicit KnowsAll(std::size_t n) : one({"n0", place(0), {place(1)}, 1000, 300}, 1, 1, 1e6) {
    SwimMessage page{SwimMessage::Kind::view_page, 1, {}, {}, {}};
    for (std::size_t i = 1; i < n; ++i)
      page.updates.push_back({Member::State::alive, named("n", i), place(i), 1});
    one.on_message(now, "n1", place(1), page);
  }
};

void datagram_in_and_out(benchmark::State& state) {
  KnowsAll k(static_cast<std::size_t>(state.range(0)));
  Envelope e;
  e.fleet = "lab";
  e.name = named("n", 1);
  e.address = place(1);
  e.incarnation = 1;
  e.swim_message = {SwimMessage::Kind::ping, 1, {}, {}, {{Member::State::alive, named("n", 1), place(1), 1}}};
  for (auto _ : state) {
    ++e.sequence_number;
    const auto got = std::get<Envelope>(decode_envelope(encode(e), "lab"));
    k.one.on_message(k.now, got.name, got.address, got.swim_message);
    while (auto l = k.one.next_message()) benchmark::DoNotOptimize(l);
  }
  state.SetComplexityN(state.range(0));
}
BENCHMARK(datagram_in_and_out)->RangeMultiplier(4)->Range(100, 25600)->Complexity();

// A period of one that hears nothing back but the answers to its own probes.
void member_period(benchmark::State& state) {
  KnowsAll k(static_cast<std::size_t>(state.range(0)));
  for (auto _ : state) {
    k.now = std::max(k.now, k.one.next_timer_at());
    k.one.on_timer(k.now);
    while (auto l = k.one.next_message())
      if (l->message.kind == SwimMessage::Kind::ping) {
        const std::string name = named("n", 1);
        k.one.on_message(k.now, name, l->recipient,
                         {SwimMessage::Kind::ack, l->message.sequence_number, {}, {}, {}});
      }
  }
  state.SetComplexityN(state.range(0));
}
BENCHMARK(member_period)->RangeMultiplier(4)->Range(100, 25600)->Complexity();

EndpointListUpdate list_of(std::size_t n) {
  EndpointListUpdate r;
  r.version = n;
  r.complete = true;
  for (std::size_t i = 0; i < n; ++i)
    r.entries.push_back({{named("endpoint-", i), "here", 0, 0, EndpointState::ready}, place(i)});
  return r;
}

void list_whole(benchmark::State& state) {
  const std::string text = encode_endpoint_list(list_of(static_cast<std::size_t>(state.range(0))));
  LoadBalancerConfig t;
  LoadBalancer b(t, 1, 1e6);
  double now = 1e6;
  for (auto _ : state) {
    const EndpointListUpdate r = parse_endpoint_list(text);
    std::vector<Endpoint> all;
    for (const EndpointListUpdate::Entry& e : r.entries) all.push_back(e.endpoint);
    b.update_endpoints(++now, true, false, all);
    while (b.next_decision()) {
    }
  }
  state.counters["bytes"] = static_cast<double>(text.size());
  state.SetComplexityN(state.range(0));
}
BENCHMARK(list_whole)->RangeMultiplier(10)->Range(10, 10000)->Complexity();

// One endpoint of n comes or goes.
void list_change(benchmark::State& state) {
  const auto n = static_cast<std::size_t>(state.range(0));
  LoadBalancerConfig t;
  LoadBalancer b(t, 1, 1e6);
  std::vector<Endpoint> all;
  for (const EndpointListUpdate::Entry& e : list_of(n).entries) all.push_back(e.endpoint);
  double now = 1e6;
  b.update_endpoints(now, true, false, all);
  while (b.next_decision()) {
  }
  EndpointListUpdate change;
  change.entries = {{all[n / 2], place(n / 2)}};
  for (auto _ : state) {
    EndpointState& s = change.entries[0].endpoint.state;
    s = s == EndpointState::ready ? EndpointState::gone : EndpointState::ready;
    const EndpointListUpdate r = parse_endpoint_list(encode_endpoint_list(change));
    b.update_endpoints(++now, false, false, {r.entries[0].endpoint});
    while (b.next_decision()) {
    }
  }
  state.SetComplexityN(state.range(0));
}
BENCHMARK(list_change)->RangeMultiplier(10)->Range(10, 10000)->Complexity();

}  // namespace
}  // namespace indigorill

BENCHMARK_MAIN();
