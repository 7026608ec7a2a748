// What must not grow with the fleet: work, memory and bytes of one instance, by counts and slopes on the real
// code.
#include <doctest/doctest.h>

#include <cmath>
#include <map>
#include <random>

#include "quota/quota.h"

using namespace indigorill;

namespace {

// A fleet's sharers and their divider, without a network: all ask in turn, three times a share.
struct BudgetOffice {
  QuotaConfig with;
  QuotaAllocator d;
  std::vector<QuotaClient> all;
  double now = 1e6;

  BudgetOffice(std::size_t n, double whole, double floor)
      : with{{{"picks", whole, floor, 1000}}, static_cast<int>(n), 2000, 60000, 0.01}, d(with) {
    for (std::size_t i = 0; i < n; ++i) all.emplace_back(with, 1 + i);
    d.start_term(now, now);
  }
  // Uneven: one in a hundred wants a hundred times as much.
  void round() {
    const double pause = with.grant_duration_ms / 3 / static_cast<double>(all.size());
    for (std::size_t i = 0; i < all.size(); ++i, now += pause) {
      const std::size_t wants = i % 100 == 0 ? 100 : i % 3;
      for (std::size_t w = 0; w < wants; ++w) all[i].record_demand(now, 0);
      const QuotaRequest a = all[i].make_request(now);
      all[i].on_grant(now, d.handle_request(now, 1e18, a));
    }
  }
  double allowed() const {
    double sum = 0;
    for (const QuotaClient& p : all) sum += p.allowance(now, 0);
    return sum;
  }
};

}  // namespace

TEST_CASE("scale: the work of one answer of the divider grows by the logarithm of the sharers at most") {
  // A balanced tree's search looks at 2 log2(n + 1) nodes at most; two searches an answer, an entry looked at
  // anew for its own answer and one for each grant that ended. Going over all would be n.
  for (const std::size_t n : {50U, 200U, 800U, 3200U, 12800U}) {
    CAPTURE(n);
    BudgetOffice o(n, 4.0 * static_cast<double>(n), 0);
    for (int r = 0; r < 6; ++r) o.round();
    const std::uint64_t before = o.d.step_count();
    for (int r = 0; r < 4; ++r) o.round();
    const double an_answer = static_cast<double>(o.d.step_count() - before) / (4.0 * static_cast<double>(n));
    MESSAGE(n << " sharers: " << an_answer << " steps an answer");
    CHECK(an_answer < 2 * 2 * std::log2(static_cast<double>(n) + 1) + 4);
    CHECK(o.allowed() <= 4.0 * static_cast<double>(n));
    CHECK(o.allowed() >= 0.9 * 4.0 * static_cast<double>(n));
  }
}

TEST_CASE(
    "scale: what the divider stores for each sharer does not grow with the fleet, nor with its questions") {
  for (const std::size_t n : {50U, 200U, 800U, 3200U}) {
    CAPTURE(n);
    BudgetOffice o(n, 2.0 * static_cast<double>(n), 0);
    for (int r = 0; r < 12; ++r) o.round();
    CHECK(static_cast<double>(o.d.stored_grant_count()) / static_cast<double>(n) < 8);
  }
  // One that asks without a pause and goes by no answer.
  BudgetOffice o(2, 100, 0);
  o.now += 5000;  // past what earlier dividers may have given
  for (std::uint64_t i = 1; i <= 100000; ++i) o.d.handle_request(o.now, 1e18, {1, i, 0, 0, {5}});
  CHECK(o.d.stored_grant_count() <= 32);
  CHECK(o.d.max_in_use(o.now, 0) >= 5);
  CHECK(o.d.max_in_use(o.now, 0) <= 100);
}

TEST_CASE("scale: the part that the sums give is the one that going over all gives") {
  std::mt19937_64 chance(3);
  for (int trial = 0; trial < 300; ++trial) {
    CAPTURE(trial);
    DemandIndex d;
    const std::size_t n = 1 + chance() % 40;
    std::vector<DemandIndex::Demand> all;
    for (std::size_t i = 0; i < n; ++i) {
      const double most = trial % 3 ? 6 : 60;
      all.push_back({std::floor(most * static_cast<double>(chance() % 1000) / 1000), i + 1});
      d.add({999, i + 1});  // and changed, as wishes are
      d.remove({999, i + 1});
      d.add(all.back());
    }
    std::sort(all.begin(), all.end());
    const double whole = static_cast<double>(chance() % (2 * 30 * n + 1));
    // Progressive filling: a unit at a time to all that still want one, as long as there is one for each.
    std::vector<double> has(n);
    double left = whole;
    std::size_t open = 0;  // all before it have what they want
    while (true) {
      while (open < n && has[open] == all[open].units) ++open;
      if (open == n || left < static_cast<double>(n - open)) break;
      for (std::size_t i = open; i < n; ++i) ++has[i], --left;
    }
    if (open == n)
      for (; left >= static_cast<double>(n); left -= static_cast<double>(n))
        for (double& h : has) ++h;
    std::map<std::size_t, double> odd;  // by turn
    for (std::size_t turn = 0; turn < n; ++turn) {
      double sum = 0;
      for (std::size_t i = 0; i < n; ++i) {
        const double part = d.fair_share(all[i], whole, turn);
        CHECK(part >= has[i]);
        CHECK(part <= has[i] + 1);
        odd[i] += part - has[i];
        sum += part;
      }
      CHECK(sum == whole);
    }
    // Those that share the odd units have each of them as often as the others, within one.
    for (std::size_t i = 0; i + 1 < n; ++i)
      if (has[i] >= all[i].units && open < n)
        CHECK(odd[i] == 0);
      else
        CHECK(std::abs(odd[i] - odd[i + 1]) <= left);
  }
}
