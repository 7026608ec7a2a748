/// \file
/// Limits of one instance among many: the sum of the grants of all instances, over random histories and
/// simultaneous starts.
#include "limits/fleet_limiter.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <random>

using namespace indigorill;
using Resource = FleetLimiter::Resource;

namespace {

std::vector<std::string> servers(int count) {
  std::vector<std::string> names;
  names.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) names.push_back(std::string("s").append(std::to_string(100 + i)));
  return names;
}

std::vector<FleetLimiter> fleet(const FleetLimits& limits, int instance_count, double configured_instances,
                                bool in_rotation, int server_count) {
  std::vector<FleetLimiter> limiters;
  for (int i = 0; i < instance_count; ++i) {
    InstancePosition position{configured_instances, 1, {}};
    if (in_rotation) position.index = i;
    limiters.emplace_back(limits, position, 1000003ULL * static_cast<std::uint64_t>(i) + 7);
    limiters.back().update_endpoints(servers(server_count));
  }
  return limiters;
}

// Largest number of grants of a rate at one server within any window of a second, while all instances request
// all the time.
double max_grants_per_second(std::vector<FleetLimiter>& limiters, Resource resource,
                             const std::string& server, double from, double until) {
  constexpr double step = 50;
  constexpr double window = 1000;
  std::deque<std::pair<double, double>> recent;
  double sum = 0;
  double max_grants = 0;
  for (double now = from; now < until; now += step) {
    double granted = 0;
    for (FleetLimiter& limiter : limiters)
      while (limiter.acquire(resource, server, now)) ++granted;
    recent.emplace_back(now, granted);
    sum += granted;
    while (recent.front().first <= now - window) sum -= recent.front().second, recent.pop_front();
    max_grants = std::max(max_grants, sum);
  }
  return max_grants;
}

}  // namespace

TEST_CASE("limits: the total rate of 1 to 10000 instances stays within the limit from the first instant") {
  for (const bool in_rotation : {false, true})
    for (const int instance_count : {1, 2, 7, 60, 400, 3000, 10000}) {
      CAPTURE(in_rotation);
      CAPTURE(instance_count);
      FleetLimits limits;
      limits.handshakes_per_second = 50;
      std::vector<FleetLimiter> limiters = fleet(limits, instance_count, instance_count, in_rotation, 3);
      // Unix time in ms, as in the sidecars: the instances start at arbitrary points of their slots.
      const double start = 1.8e12;
      const double max_grants = max_grants_per_second(limiters, Resource::handshake, "s101", start,
                                                      start + (instance_count > 1000 ? 3000 : 10000));
      CHECK(max_grants <= limits.handshakes_per_second);
      CHECK(max_grants > (in_rotation ? 0.3 : 0.05) * limits.handshakes_per_second);  // the limit is used
    }
}

TEST_CASE(
    "limits: a configured number of instances that is wrong by a factor of four exceeds the limit by that "
    "factor at most") {
  for (const bool in_rotation : {false, true})
    for (const double configured_ratio : {0.25, 4.0}) {
      CAPTURE(in_rotation);
      CAPTURE(configured_ratio);
      constexpr int instance_count = 800;
      FleetLimits limits;
      limits.handshakes_per_second = 40;
      std::vector<FleetLimiter> limiters =
          fleet(limits, instance_count, instance_count * configured_ratio, in_rotation, 3);
      const double max_grants = max_grants_per_second(limiters, Resource::handshake, "s100", 0, 8000);
      CHECK(max_grants <= limits.handshakes_per_second * std::max(1 / configured_ratio, 1.0));
      CHECK(max_grants > 0);
    }
}

TEST_CASE("limits: open connections stay within the limit in random histories and every one is released") {
  for (const bool in_rotation : {false, true})
    for (const int instance_count : {3, 50, 1000}) {
      CAPTURE(in_rotation);
      CAPTURE(instance_count);
      FleetLimits limits;
      limits.connections = 100;
      constexpr int server_count = 5;
      std::vector<FleetLimiter> limiters =
          fleet(limits, instance_count, instance_count, in_rotation, server_count);
      const std::vector<std::string> names = servers(server_count);
      std::mt19937_64 random(5);
      std::vector<std::vector<int>> held(limiters.size(), std::vector<int>(server_count, 0));
      std::vector<int> sum(server_count, 0);
      int max_open = 0;
      for (double now = 0; now < 45000; now += 250) {
        for (std::size_t i = 0; i < limiters.size(); ++i) {
          const std::size_t s = random() % server_count;
          while (held[i][s] > 0 && !limiters[i].within_connection_limit(names[s], now)) {
            limiters[i].release_connection(names[s]);
            --held[i][s], --sum[s];
          }
          if (random() % 3 == 0 && held[i][s] > 0) {
            limiters[i].release_connection(names[s]);
            --held[i][s], --sum[s];
          } else if (limiters[i].open_connection(names[s], now)) {
            ++held[i][s], ++sum[s];
          }
          max_open = std::max(max_open, sum[s]);
        }
      }
      CHECK(max_open <= limits.connections);
      CHECK(max_open > 5);
      std::uint64_t open_count = 0;
      for (std::size_t i = 0; i < limiters.size(); ++i) {
        for (std::size_t s = 0; s < server_count; ++s)
          for (; held[i][s] > 0; --held[i][s]) limiters[i].release_connection(names[s]);
        open_count += limiters[i].open_connections();
      }
      CHECK(open_count == 0);
    }
}

TEST_CASE(
    "limits: each instance is admitted to each server in time and always to some server if there is enough "
    "for all") {
  constexpr int instance_count = 600;
  constexpr int server_count = 30;
  for (const bool in_rotation : {false, true}) {
    CAPTURE(in_rotation);
    FleetLimits limits;
    limits.connections = 100;  // 50 in each slot: 30 x 50 / 600 = 2.5 servers for an instance in rotation
    std::vector<FleetLimiter> limiters =
        fleet(limits, instance_count, instance_count, in_rotation, server_count);
    const std::vector<std::string> names = servers(server_count);
    int slots_without_server = 0;
    int never_admitted = 0;
    for (FleetLimiter& limiter : limiters) {
      std::vector<bool> admitted(server_count, false);
      for (double now = 0; now < 6000000; now += 10000) {
        int open = 0;
        for (int s = 0; s < server_count; ++s) {
          const bool may = limiter.may_open_connection(names[static_cast<std::size_t>(s)], now);
          open += may;
          if (may) admitted[static_cast<std::size_t>(s)] = true;
        }
        slots_without_server += open == 0;
      }
      never_admitted += std::count(admitted.begin(), admitted.end(), false) > 0;
    }
    CHECK(slots_without_server == 0);
    CHECK(never_admitted == 0);
  }
}

TEST_CASE("limits: one instance may open connections and one of greater weight may open more") {
  FleetLimits limits;
  limits.connections = 200;
  constexpr int instance_count = 1000;
  constexpr int server_count = 40;
  const std::vector<std::string> names = servers(server_count);
  const auto opens = [&](double weight) {
    FleetLimiter limiter(limits, {instance_count, weight, {}}, 3);
    limiter.update_endpoints(names);
    int open = 0;
    for (const std::string& s : names)
      while (limiter.open_connection(s, 0)) ++open;
    return open;
  };
  CHECK(opens(1) >= 1);
  CHECK(opens(20) > 8 * opens(1));
}

TEST_CASE("limits: denied polls are counted and the delay to the next slot tells when one is granted") {
  FleetLimits limits;
  limits.discovery_polls_per_second = 2;
  FleetLimiter limiter(limits, {1, 1, {}}, 9);
  limiter.update_endpoints(servers(2));
  double now = 5000;
  while (limiter.acquire(Resource::discovery_poll, "", now)) now += 0.001;
  CHECK(limiter.counts(Resource::discovery_poll).denied == 1);
  CHECK(limiter.counts(Resource::discovery_poll).granted >= 1);
  const double delay_ms = limiter.next_slot_delay_ms(Resource::discovery_poll, now);
  CHECK(delay_ms > 0);
  CHECK(delay_ms <= 1001);
  CHECK_FALSE(limiter.acquire(Resource::discovery_poll, "", now + delay_ms - 2));
  CHECK(limiter.acquire(Resource::discovery_poll, "", now + delay_ms));
  // Without limits every request is granted.
  FleetLimiter unlimited(FleetLimits{}, {1000, 1, {}}, 1);
  for (int i = 0; i < 1000; ++i) CHECK(unlimited.open_connection("s", 0));
  CHECK(unlimited.within_connection_limit("s", 0));
  CHECK(unlimited.open_connections() == 1000);
}

TEST_CASE("limits: discovery polls of instances that all fail at once are spread over time") {
  constexpr int instance_count = 500;
  FleetLimits limits;
  limits.discovery_polls_per_second = 100;
  std::vector<FleetLimiter> limiters = fleet(limits, instance_count, instance_count, true, 2);
  std::vector<int> polls_in_tenth(200, 0);
  int polled = 0;
  for (int tenth = 0; tenth < 200; ++tenth)
    for (std::size_t i = 0; i < limiters.size(); ++i)
      if (limiters[i].counts(Resource::discovery_poll).granted == 0 &&
          limiters[i].acquire(Resource::discovery_poll, "", tenth * 100.0))
        ++polls_in_tenth[static_cast<std::size_t>(tenth)], ++polled;
  CHECK(polled == instance_count);  // all have polled within 20 s
  CHECK(*std::max_element(polls_in_tenth.begin(), polls_in_tenth.end()) <= 60);
}

TEST_CASE("limits: invalid values are rejected with an error of one line") {
  const double nan = std::nan("");
  struct {
    FleetLimits limits;
    InstancePosition position;
    const char* error_prefix;  // null if the values are valid
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
      {{}, {10, 1, -1.0}, "index is -1"},
      {{}, {10, 1, 0.5}, "index is 0.5"},
      {{}, {10, 2, 3.0}, "weight and index"},
      {{0.5, 0, 0, 0}, {10, 1, {}}, "connections is 0.5"},
      {{0, -1, 0, 0}, {10, 1, {}}, "handshakes is -1"},
      {{0, 0, nan, 0}, {10, 1, {}}, "probes is nan"},
      {{0, 0, 0, 0.9}, {10, 1, {}}, "list_calls is 0.9"},
  };
  for (const auto& row : table) {
    CAPTURE(row.error_prefix);
    const auto error = find_limits_error(row.limits, row.position);
    CHECK(error.has_value() == (row.error_prefix != nullptr));
    if (!error || !row.error_prefix) continue;
    CHECK(error->find(row.error_prefix) == 0);
    CHECK(error->find('\n') == std::string::npos);
  }
}
