/// \file
/// The work and memory of one instance must not grow with the fleet beyond a logarithm. The tests count
/// steps and stored grants in the production code; they measure no time.
#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <random>

#include "quota/quota_allocator.h"
#include "quota/quota_client.h"

namespace indigorill {
namespace {

constexpr Milliseconds distant_lease_expiry = 1e18;

/// An allocator and its clients without a network. All clients send requests in turn, three times in the
/// duration of a grant.
struct DirectFleet {
  QuotaConfig config;
  QuotaAllocator allocator;
  std::vector<QuotaClient> clients;
  Milliseconds now = 1e6;

  DirectFleet(std::size_t size, double total)
      : config{.budgets = {{.name = "attempts", .total = total, .window_ms = 1000}},
               .max_holders = static_cast<int>(size),
               .grant_duration_ms = 2000,
               .registration_duration_ms = 60000,
               .max_clock_drift = 0.01},
        allocator(config) {
    for (std::size_t client = 0; client < size; ++client) clients.emplace_back(config, 1 + client);
    allocator.start_term(now, now);
  }

  /// The demands are uneven: one client in a hundred demands 100 units, a hundred times the mean of the
  /// others.
  void run_rounds(int rounds) {
    const Milliseconds pause = config.grant_duration_ms / 3 / static_cast<double>(clients.size());
    for (int round = 0; round < rounds; ++round) {
      for (std::size_t client = 0; client < clients.size(); ++client) {
        run_client(clients[client], client % 100 == 0 ? 100 : client % 3);
        now += pause;
      }
    }
  }

  double total_allowance() const {
    double sum = 0;
    for (const QuotaClient& client : clients) sum += client.allowance(now, 0);
    return sum;
  }

 private:
  void run_client(QuotaClient& client, std::size_t demand) {
    for (std::size_t unit = 0; unit < demand; ++unit) client.record_demand(now, 0);
    const QuotaRequest request = client.make_request(now);
    client.on_grant(now, allocator.handle_request(now, distant_lease_expiry, request));
  }
};

}  // namespace

TEST_CASE(
    "scale: the steps of the allocator per request grow at most with the logarithm of the number of "
    "holders") {
  // A search in a balanced tree visits at most 2 log2(n + 1) nodes. A request takes two searches, a review of
  // its own holder and one review for each grant that ended. A pass over all holders would take n steps.
  for (const std::size_t holders : {50U, 200U, 800U, 3200U, 12800U}) {
    CAPTURE(holders);
    const auto size = static_cast<double>(holders);
    const double total = 4 * size;
    DirectFleet fleet(holders, total);
    fleet.run_rounds(6);
    const std::uint64_t steps_before = fleet.allocator.step_count();
    fleet.run_rounds(4);
    const double steps_per_request =
        static_cast<double>(fleet.allocator.step_count() - steps_before) / (4 * size);
    MESSAGE(holders << " holders: " << steps_per_request << " steps per request");
    CHECK(steps_per_request < 2 * 2 * std::log2(size + 1) + 4);
    CHECK(fleet.total_allowance() <= total);
    CHECK(fleet.total_allowance() >= 0.9 * total);
  }
}

TEST_CASE(
    "scale: the number of grants stored per holder grows neither with the fleet nor with the requests") {
  for (const std::size_t holders : {50U, 200U, 800U, 3200U}) {
    CAPTURE(holders);
    const auto size = static_cast<double>(holders);
    DirectFleet fleet(holders, 2 * size);
    fleet.run_rounds(12);
    CHECK(static_cast<double>(fleet.allocator.stored_grant_count()) / size < 8);
  }
  // A client sends requests without a pause and uses none of its grants.
  DirectFleet fleet(2, 100);
  fleet.now += 5000;  // after the end of any grant of earlier allocators
  for (std::uint64_t number = 1; number <= 100000; ++number) {
    const QuotaRequest request{.session = 1, .request_number = number, .demands = {5}};
    fleet.allocator.handle_request(fleet.now, distant_lease_expiry, request);
  }
  CHECK(fleet.allocator.stored_grant_count() <= 32);
  CHECK(fleet.allocator.max_in_use(fleet.now, 0) >= 5);
  CHECK(fleet.allocator.max_in_use(fleet.now, 0) <= 100);
}

namespace {

using Demand = DemandIndex::Demand;

/// The result of progressive filling: the share of each demand, in the order of demands, and the units left
/// over.
struct FilledShares {
  std::vector<double> shares;
  double left_over = 0;
  std::size_t satisfied = 0;  // number of demands that are met; they come first
};

/// Gives one unit at a time to each holder whose demand is not met, as long as there is one for each of them.
/// If all demands are met, gives units to all holders in the same way.
FilledShares fill_progressively(const std::vector<Demand>& demands, double total) {
  const std::size_t size = demands.size();
  FilledShares filled{.shares = std::vector<double>(size), .left_over = total};
  while (true) {
    while (filled.satisfied < size && filled.shares[filled.satisfied] == demands[filled.satisfied].units)
      ++filled.satisfied;
    const std::size_t unsatisfied = size - filled.satisfied;
    if (unsatisfied == 0 || filled.left_over < static_cast<double>(unsatisfied)) break;
    for (std::size_t i = filled.satisfied; i < size; ++i) ++filled.shares[i];
    filled.left_over -= static_cast<double>(unsatisfied);
  }
  if (filled.satisfied < size) return filled;
  while (filled.left_over >= static_cast<double>(size)) {
    for (double& share : filled.shares) ++share;
    filled.left_over -= static_cast<double>(size);
  }
  return filled;
}

/// Adds a random demand for each holder, in ascending order of sessions. Each demand is changed once, as in
/// production.
std::vector<Demand> add_random_demands(DemandIndex& index, std::size_t size, double max_units,
                                       std::mt19937_64& random) {
  std::vector<Demand> demands;
  for (std::size_t i = 0; i < size; ++i) {
    const double fraction = static_cast<double>(random() % 1000) / 1000;
    demands.push_back({std::floor(max_units * fraction), i + 1});
    index.add({999, i + 1});
    index.remove({999, i + 1});
    index.add(demands.back());
  }
  return demands;
}

}  // namespace

TEST_CASE("scale: the fair share by prefix sums equals the one by progressive filling") {
  constexpr std::size_t max_total_per_holder = 60;
  std::mt19937_64 random(3);
  for (int trial = 0; trial < 300; ++trial) {
    CAPTURE(trial);
    DemandIndex index;
    const std::size_t size = 1 + random() % 40;
    std::vector<Demand> demands = add_random_demands(index, size, trial % 3 ? 6 : 60, random);
    std::sort(demands.begin(), demands.end());
    const double total = static_cast<double>(random() % (max_total_per_holder * size + 1));
    const FilledShares filled = fill_progressively(demands, total);
    std::vector<double> extra_units(size);  // units beyond the filled share, over all turns
    for (std::size_t turn = 0; turn < size; ++turn) {
      double sum = 0;
      for (std::size_t i = 0; i < size; ++i) {
        const double share = index.fair_share(demands[i], total, turn);
        CHECK(share >= filled.shares[i]);
        CHECK(share <= filled.shares[i] + 1);
        extra_units[i] += share - filled.shares[i];
        sum += share;
      }
      CHECK(sum == total);
    }
    // The units left over rotate among the holders whose demands are not met, or among all holders if all
    // demands are met. Over all turns, the counts of neighbours differ by at most left_over.
    for (std::size_t i = 0; i + 1 < size; ++i) {
      const bool is_satisfied = filled.shares[i] >= demands[i].units && filled.satisfied < size;
      if (is_satisfied)
        CHECK(extra_units[i] == 0);
      else
        CHECK(std::abs(extra_units[i] - extra_units[i + 1]) <= filled.left_over);
    }
  }
}

}  // namespace indigorill
