// Limits of one among many: the sum of what all are granted, over random histories and hard starts.
#include "limits/fleet_limiter.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <random>

using namespace indigorill;
using Kind = FleetLimiter::Resource;

namespace {

std::vector<std::string> servers(int n) {
  std::vector<std::string> all;
  all.reserve(static_cast<std::size_t>(n));
  for (int i = 0; i < n; ++i) all.push_back(std::string("s").append(std::to_string(100 + i)));
  return all;
}

std::vector<FleetLimiter> fleet(const FleetLimits& b, int there, double told, bool by_turns, int of_servers) {
  std::vector<FleetLimiter> all;
  for (int i = 0; i < there; ++i) {
    InstancePosition p{told, 1, {}};
    if (by_turns) p.index = i;
    all.emplace_back(b, p, 1000003ULL * static_cast<std::uint64_t>(i) + 7);
    all.back().update_endpoints(servers(of_servers));
  }
  return all;
}

// The most grants of a rate at one server within any window of a second, where all ask all the time.
double most_in_a_second(std::vector<FleetLimiter>& all, Kind what, const std::string& server, double from,
                        double until) {
  constexpr double step = 50;
  constexpr double window = 1000;
  std::deque<std::pair<double, double>> recent;
  double sum = 0;
  double most = 0;
  for (double now = from; now < until; now += step) {
    double here = 0;
    for (FleetLimiter& l : all)
      while (l.acquire(what, server, now)) ++here;
    recent.emplace_back(now, here);
    sum += here;
    while (recent.front().first <= now - window) sum -= recent.front().second, recent.pop_front();
    most = std::max(most, sum);
  }
  return most;
}

}  // namespace

TEST_CASE(
    "limits: rates of all together stay under the bound, for 1 to 10,000 instances, from the first instant") {
  for (const bool by_turns : {false, true})
    for (const int n : {1, 2, 7, 60, 400, 3000, 10000}) {
      CAPTURE(by_turns);
      CAPTURE(n);
      FleetLimits b;
      b.handshakes_per_second = 50;
      std::vector<FleetLimiter> all = fleet(b, n, n, by_turns, 3);
      // Unix time, as the sidecars have it: a start in the middle of everything.
      const double start = 1.8e12;
      const double most =
          most_in_a_second(all, Kind::handshake, "s101", start, start + (n > 1000 ? 3000 : 10000));
      CHECK(most <= b.handshakes_per_second);
      CHECK(most > (by_turns ? 0.3 : 0.05) * b.handshakes_per_second);  // and is of use
    }
}

TEST_CASE("limits: the number told may be wrong by four either way, by as much is the bound") {
  for (const bool by_turns : {false, true})
    for (const double told : {0.25, 4.0}) {
      CAPTURE(by_turns);
      CAPTURE(told);
      constexpr int n = 800;
      FleetLimits b;
      b.handshakes_per_second = 40;
      std::vector<FleetLimiter> all = fleet(b, n, n * told, by_turns, 3);
      const double most = most_in_a_second(all, Kind::handshake, "s100", 0, 8000);
      CHECK(most <= b.handshakes_per_second * std::max(1 / told, 1.0));
      CHECK(most > 0);
    }
}

TEST_CASE(
    "limits: connections held stay under the bound through random histories, and every grant is given back") {
  for (const bool by_turns : {false, true})
    for (const int n : {3, 50, 1000}) {
      CAPTURE(by_turns);
      CAPTURE(n);
      FleetLimits b;
      b.connections = 100;
      constexpr int of_servers = 5;
      std::vector<FleetLimiter> all = fleet(b, n, n, by_turns, of_servers);
      const std::vector<std::string> names = servers(of_servers);
      std::mt19937_64 chance(5);
      std::vector<std::vector<int>> held(all.size(), std::vector<int>(of_servers, 0));
      std::vector<int> sum(of_servers, 0);
      int most = 0;
      for (double now = 0; now < 45000; now += 250) {
        for (std::size_t i = 0; i < all.size(); ++i) {
          const std::size_t s = chance() % of_servers;
          while (held[i][s] > 0 && !all[i].within_connection_limit(names[s], now)) {
            all[i].release_connection(names[s]);
            --held[i][s], --sum[s];
          }
          if (chance() % 3 == 0 && held[i][s] > 0) {
            all[i].release_connection(names[s]);
            --held[i][s], --sum[s];
          } else if (all[i].open_connection(names[s], now)) {
            ++held[i][s], ++sum[s];
          }
          most = std::max(most, sum[s]);
        }
      }
      CHECK(most <= b.connections);
      CHECK(most > 5);
      std::uint64_t by_count = 0;
      for (std::size_t i = 0; i < all.size(); ++i) {
        for (std::size_t s = 0; s < of_servers; ++s)
          for (; held[i][s] > 0; --held[i][s]) all[i].release_connection(names[s]);
        by_count += all[i].open_connections();
      }
      CHECK(by_count == 0);
    }
}

TEST_CASE("limits: nobody is denied for ever, and where there is one for each, nobody is ever without") {
  constexpr int n = 600;
  constexpr int of_servers = 30;
  for (const bool by_turns : {false, true}) {
    CAPTURE(by_turns);
    FleetLimits b;
    b.connections = 100;  // 50 in each slot: 30 x 50 / 600 = 2.5 servers for an instance by turns
    std::vector<FleetLimiter> all = fleet(b, n, n, by_turns, of_servers);
    const std::vector<std::string> names = servers(of_servers);
    int without = 0;
    int never = 0;
    for (FleetLimiter& l : all) {
      std::vector<bool> met(of_servers, false);
      for (double now = 0; now < 6000000; now += 10000) {
        int open = 0;
        for (int s = 0; s < of_servers; ++s) {
          const bool may = l.may_open_connection(names[static_cast<std::size_t>(s)], now);
          open += may;
          if (may) met[static_cast<std::size_t>(s)] = true;
        }
        without += open == 0;
      }
      never += std::count(met.begin(), met.end(), false) > 0;
    }
    CHECK(without == 0);
    CHECK(never == 0);
  }
}

TEST_CASE("limits: a busy one is not held to the mean, a heavier one has more") {
  FleetLimits b;
  b.connections = 200;
  constexpr int n = 1000;
  constexpr int of_servers = 40;
  const std::vector<std::string> names = servers(of_servers);
  const auto opens = [&](double weight) {
    FleetLimiter l(b, {n, weight, {}}, 3);
    l.update_endpoints(names);
    int open = 0;
    for (const std::string& s : names)
      while (l.open_connection(s, 0)) ++open;
    return open;
  };
  CHECK(opens(1) >= 1);
  CHECK(opens(20) > 8 * opens(1));
}

TEST_CASE("limits: what is denied is counted, and says when it is worth asking again") {
  FleetLimits b;
  b.discovery_polls_per_second = 2;
  FleetLimiter l(b, {1, 1, {}}, 9);
  l.update_endpoints(servers(2));
  double now = 5000;
  while (l.acquire(Kind::discovery_poll, "", now)) now += 0.001;
  CHECK(l.counts(Kind::discovery_poll).denied == 1);
  CHECK(l.counts(Kind::discovery_poll).granted >= 1);
  const double again = l.next_slot_delay_ms(Kind::discovery_poll, now);
  CHECK(again > 0);
  CHECK(again <= 1001);
  CHECK_FALSE(l.acquire(Kind::discovery_poll, "", now + again - 2));
  CHECK(l.acquire(Kind::discovery_poll, "", now + again));
  // Without bounds all is granted.
  FleetLimiter free(FleetLimits{}, {1000, 1, {}}, 1);
  for (int i = 0; i < 1000; ++i) CHECK(free.open_connection("s", 0));
  CHECK(free.within_connection_limit("s", 0));
  CHECK(free.open_connections() == 1000);
}

TEST_CASE("limits: calls for the list by instances that all fail at once are spread, not in step") {
  constexpr int n = 500;
  FleetLimits b;
  b.discovery_polls_per_second = 100;
  std::vector<FleetLimiter> all = fleet(b, n, n, true, 2);
  std::vector<int> in_tenth(200, 0);
  int told = 0;
  for (int tenth = 0; tenth < 200; ++tenth)
    for (std::size_t i = 0; i < all.size(); ++i)
      if (all[i].counts(Kind::discovery_poll).granted == 0 &&
          all[i].acquire(Kind::discovery_poll, "", tenth * 100.0))
        ++in_tenth[static_cast<std::size_t>(tenth)], ++told;
  CHECK(told == n);  // all have asked within 20 s
  CHECK(*std::max_element(in_tenth.begin(), in_tenth.end()) <= 60);
}

TEST_CASE("limits: figures at fault are refused with one line") {
  const double nan = std::nan("");
  struct {
    FleetLimits b;
    InstancePosition p;
    const char* says;  // none: sound
  } table[] = {
      {{}, {1, 1, {}}, nullptr},
      {{400, 50, 20, 20}, {10000, 1, 9999.0}, nullptr},
      {{}, {0, 1, {}}, "instances is 0"},
      {{}, {-5, 1, {}}, "instances is -5"},
      {{}, {1e9, 1, {}}, "instances is 1e+09"},
      {{}, {2.5, 1, {}}, "instances is 2.5"},
      {{}, {nan, 1, {}}, "instances is nan"},
      {{}, {10, 0, {}}, "weight is 0"},
      {{}, {10, 11, {}}, "weight is 11"},
      {{}, {10, 1, -1.0}, "turn is -1"},
      {{}, {10, 1, 0.5}, "turn is 0.5"},
      {{}, {10, 2, 3.0}, "weight and turn"},
      {{0.5, 0, 0, 0}, {10, 1, {}}, "connections is 0.5"},
      {{0, -1, 0, 0}, {10, 1, {}}, "handshakes is -1"},
      {{0, 0, nan, 0}, {10, 1, {}}, "probes is nan"},
      {{0, 0, 0, 0.9}, {10, 1, {}}, "list_calls is 0.9"},
  };
  for (const auto& row : table) {
    CAPTURE(row.says);
    const auto fault = find_limits_error(row.b, row.p);
    CHECK(fault.has_value() == (row.says != nullptr));
    if (!fault || !row.says) continue;
    CHECK(fault->find(row.says) == 0);
    CHECK(fault->find('\n') == std::string::npos);
  }
}
