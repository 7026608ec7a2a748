/// \file
/// Tests of the production code of the quota: fairness, by tables, and randomised tests of the total.
#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <deque>
#include <memory>
#include <numeric>
#include <random>
#include <variant>
#include <vector>

#include "quota/quota_allocator.h"
#include "quota/quota_client.h"

namespace indigorill {
namespace {

constexpr Milliseconds endless_lease = 1e18;

/// One budget, an allocator and its clients without a network between them: each request is answered at once.
struct DirectFleet {
  QuotaConfig config;
  QuotaAllocator allocator;
  std::vector<QuotaClient> clients;
  Milliseconds now = 1e6;

  DirectFleet(const QuotaConfig& settings, std::size_t size) : config(settings), allocator(settings) {
    for (std::size_t client = 0; client < size; ++client) clients.emplace_back(settings, 1 + client);
    allocator.start_term(now, now);
  }

  /// Runs rounds in which each client demands the given number of units; a grant lasts three rounds.
  void run_rounds(const std::vector<int>& demands, int rounds = 40) {
    for (int round = 0; round < rounds; ++round) {
      for (std::size_t client = 0; client < clients.size(); ++client) run_client(client, demands[client]);
      now += round_ms();
    }
  }

  /// Allowance of each client in the latest round.
  std::vector<int> allowances() const {
    std::vector<int> units;
    for (const QuotaClient& client : clients)
      units.push_back(static_cast<int>(client.allowance(now - round_ms(), 0)));
    return units;
  }

  int total_allowance() const {
    const std::vector<int> units = allowances();
    return std::accumulate(units.begin(), units.end(), 0);
  }

 private:
  Milliseconds round_ms() const { return config.grant_duration_ms / 3; }

  void run_client(std::size_t client, int demand) {
    for (int unit = 0; unit < demand; ++unit) clients[client].record_demand(now, 0);
    const QuotaRequest request = clients[client].make_request(now);
    clients[client].on_grant(now, allocator.handle_request(now, endless_lease, request));
  }
};

QuotaConfig config_of(const FleetBudget& budget, int max_holders, Milliseconds grant_duration_ms,
                      Milliseconds registration_duration_ms) {
  return {.budgets = {budget},
          .max_holders = max_holders,
          .grant_duration_ms = grant_duration_ms,
          .registration_duration_ms = registration_duration_ms,
          .max_clock_drift = 0.01};
}

}  // namespace

TEST_CASE(
    "quota: allowances are max-min fair by demand and a busy client exceeds the mean and each client has a "
    "unit") {
  struct {
    double total;
    std::vector<int> demands;
    std::vector<int> min_allowances;
  } rows[]{{100, {1, 1, 1, 1}, {25, 25, 25, 25}},
           {100, {500, 1, 1, 1}, {90, 1, 1, 1}},
           {100, {500, 500, 1, 1}, {45, 45, 1, 1}},
           {10, {500, 500, 500, 500}, {2, 2, 2, 2}}};
  for (const auto& row : rows) {
    DirectFleet fleet(config_of({"attempts", row.total, 0, 1000}, 10, 2000, 60000), row.demands.size());
    fleet.run_rounds(row.demands);
    const std::vector<int> allowances = fleet.allowances();
    for (std::size_t i = 0; i < allowances.size(); ++i) {
      CAPTURE(i);
      CHECK(allowances[i] >= row.min_allowances[i]);
    }
    CHECK(fleet.total_allowance() <= row.total);
    CHECK(fleet.total_allowance() >= 0.9 * row.total);
  }
}

TEST_CASE("quota: a budget with fewer units than clients is granted to the clients in turn") {
  DirectFleet fleet(config_of({"polls", 2, 0, 500}, 10, 1000, 60000), 6);
  std::vector<int> granted(6);
  for (int turn = 0; turn < 60; ++turn) {
    fleet.run_rounds(std::vector<int>(6, 5), 3);
    CHECK(fleet.total_allowance() <= 2);
    const std::vector<int> allowances = fleet.allowances();
    for (std::size_t i = 0; i < 6; ++i) granted[i] += allowances[i];
  }
  for (std::size_t i = 0; i < 6; ++i) CHECK(granted[i] > 0);
}

TEST_CASE(
    "quota: registered sidecars alone have the guaranteed minimum which lasts without an allocator until the "
    "registration ends") {
  DirectFleet fleet(config_of({"attempts", 20, 2, 1000}, 5, 2000, 30000), 6);
  const std::vector<int> demands(6, 50);
  fleet.run_rounds(demands, 3);
  CHECK_FALSE(fleet.clients[0].is_registered(fleet.now));  // a new allocator does not know which sidecars are
  fleet.run_rounds(demands, 60);
  int registered = 0;
  int rejected = 0;
  for (const QuotaClient& client : fleet.clients) {
    if (client.is_registered(fleet.now)) ++registered;
    if (client.is_rejected_at_capacity()) ++rejected;
  }
  CHECK(registered == 5);
  CHECK(rejected == 1);
  CHECK(fleet.clients[5].allowance(fleet.now, 0) == 0);
  QuotaClient& client = fleet.clients[0];
  CHECK(client.allowance(fleet.now, 0) >= 2);
  fleet.now += 10000;
  CHECK(client.allowance(fleet.now, 0) == 2);
  CHECK(client.try_acquire(fleet.now, 0));
  CHECK(client.try_acquire(fleet.now, 0));
  CHECK_FALSE(client.try_acquire(fleet.now, 0));
  CHECK(client.counters(0).denied == 1);
  fleet.now += 30000;
  CHECK(client.allowance(fleet.now, 0) == 0);
}

TEST_CASE("quota: a grant has expired for a client that was paused between its request and its spending") {
  DirectFleet fleet(config_of({"attempts", 10, 0, 1000}, 5, 2000, 30000), 1);
  fleet.run_rounds({50});
  QuotaClient& client = fleet.clients[0];
  const Milliseconds paused_at = fleet.now;
  CHECK(client.available(paused_at, 0) > 0);
  CHECK_FALSE(client.try_acquire(paused_at + 5000, 0));
  // A grant that was made before the pause and is received after it has expired as well.
  const QuotaRequest request = client.make_request(fleet.now);
  const QuotaGrant grant = fleet.allocator.handle_request(fleet.now, endless_lease, request);
  client.on_grant(fleet.now + 5000, grant);
  CHECK(client.allowance(fleet.now + 5000, 0) == 0);
}

TEST_CASE("quota: a lowered total is observed once the grants under the old total have ended") {
  DirectFleet fleet(config_of({"attempts", 100, 0, 1000}, 5, 2000, 30000), 4);
  const std::vector<int> demands(4, 90);
  fleet.run_rounds(demands);
  fleet.allocator.set_total(0, 20);
  const Milliseconds lowered_at = fleet.now;
  fleet.run_rounds(demands, 12);
  CHECK(fleet.now - lowered_at <= 3 * 2000 + 2000);
  CHECK(fleet.total_allowance() <= 20);
  CHECK(fleet.total_allowance() >= 16);
}

// ---- Randomised tests -------------------------------------------------------------------------------------

namespace {

/// Clients have clocks at both bounds of the drift and restart; requests are lost, duplicated and delayed,
/// and grants are delayed. Allocators succeed each other, at the end of a lease or earlier. Clients try to
/// spend units at random, whether they may or not.
class RandomizedFleet {
 public:
  explicit RandomizedFleet(std::uint64_t seed) : random_(seed) {
    for (std::size_t client = 0; client < client_count; ++client) start_client(client);
    allocator_.start_term(clock(leader_, 0), clock(leader_, 0));
  }

  void step() {
    if (now_ >= term_ends_at_) change_leader();
    for (std::size_t client = 0; client < client_count; ++client) run_client(client);
    deliver_messages();
    while (!spent_at_.empty() && spent_at_.front() + window_ms <= now_) spent_at_.pop_front();
    now_ += step_ms;
  }

  Milliseconds now() const { return now_; }
  std::size_t spent_in_window() const { return spent_at_.size(); }
  std::uint64_t spent_in_all() const { return spent_in_all_; }

  static constexpr double total = 12;

 private:
  static constexpr std::size_t client_count = 4;
  static constexpr double drift_bound = 0.01;
  static constexpr Milliseconds step_ms = 10;
  static constexpr Milliseconds window_ms = 1000;
  static constexpr Milliseconds lease_duration_ms = 8000;

  struct MessageInFlight {
    Milliseconds arrives_at = 0;
    std::size_t client = 0;
    std::variant<QuotaRequest, QuotaGrant> content;
  };

  static QuotaConfig make_config() {
    return config_of({"attempts", total, 1, window_ms}, client_count, 1500, 6000);
  }
  static Milliseconds clock(std::size_t process, Milliseconds now) {
    return 1e6 + now * (process % 2 ? 1 + drift_bound : 1 - drift_bound);
  }
  double random_fraction() { return std::uniform_real_distribution<double>(0, 1)(random_); }

  void start_client(std::size_t client) {
    clients_[client] = std::make_unique<QuotaClient>(make_config(), ++last_session_);
  }

  // Called at the end of a term. The term's grants end with its lease, which may be later.
  void change_leader() {
    const Milliseconds previous_lease_ends_at = term_started_at_ + lease_duration_ms;
    leader_ = 1 - leader_;
    allocator_ = QuotaAllocator(make_config());
    term_started_at_ = now_;
    allocator_.start_term(clock(leader_, now_), clock(leader_, std::max(now_, previous_lease_ends_at)));
    term_ends_at_ = now_ + 2000 + 6000 * random_fraction();
  }

  void run_client(std::size_t client) {
    constexpr double restart_probability = 0.0005;
    constexpr double request_probability = 0.03;
    constexpr double spending_probability = 0.3;
    if (random_fraction() < restart_probability) start_client(client);
    if (random_fraction() < request_probability) send_request(client);
    while (random_fraction() < spending_probability) {
      if (!clients_[client]->try_acquire(clock(client, now_), 0)) continue;
      spent_at_.push_back(now_);
      ++spent_in_all_;
    }
  }

  void send_request(std::size_t client) {
    const Milliseconds arrives_at = now_ + 300 * random_fraction() * random_fraction();
    const MessageInFlight message{arrives_at, client, clients_[client]->make_request(clock(client, now_))};
    const std::uint64_t copies = random_() % 3;
    for (std::uint64_t copy = 0; copy < copies; ++copy) network_.push_back(message);
  }

  void deliver_messages() {
    for (std::size_t index = 0; index < network_.size();) {
      if (network_[index].arrives_at > now_) {
        ++index;
        continue;
      }
      const MessageInFlight message = network_[index];
      network_.erase(network_.begin() + static_cast<std::ptrdiff_t>(index));
      if (const auto* grant = std::get_if<QuotaGrant>(&message.content))
        clients_[message.client]->on_grant(clock(message.client, now_), *grant);
      else
        answer(message.client, std::get<QuotaRequest>(message.content));
    }
  }

  void answer(std::size_t client, const QuotaRequest& request) {
    constexpr double late_probability = 0.1;
    const Milliseconds max_latency = random_fraction() < late_probability ? 3000 : 100;
    const Milliseconds arrives_at = now_ + max_latency * random_fraction();
    const Milliseconds lease_expires_at = clock(leader_, term_started_at_ + lease_duration_ms);
    network_.push_back(
        {arrives_at, client, allocator_.handle_request(clock(leader_, now_), lease_expires_at, request)});
  }

  std::mt19937_64 random_;
  std::array<std::unique_ptr<QuotaClient>, client_count> clients_;
  std::uint64_t last_session_ = 0;
  QuotaAllocator allocator_{make_config()};
  std::size_t leader_ = 0;
  Milliseconds now_ = 0;
  Milliseconds term_started_at_ = 0;
  Milliseconds term_ends_at_ = 5000;
  std::vector<MessageInFlight> network_;
  std::deque<Milliseconds> spent_at_;  // times of spending in the latest window
  std::uint64_t spent_in_all_ = 0;
};

}  // namespace

TEST_CASE("quota: units spent in any window never exceed the total under random faults") {
  constexpr Milliseconds duration_ms = 60000;
  std::uint64_t spent_in_all = 0;
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    CAPTURE(seed);
    RandomizedFleet fleet(seed);
    while (fleet.now() < duration_ms) {
      fleet.step();
      REQUIRE(static_cast<double>(fleet.spent_in_window()) <= RandomizedFleet::total);
    }
    spent_in_all += fleet.spent_in_all();
  }
  CHECK(spent_in_all > 4000);
}

}  // namespace indigorill
