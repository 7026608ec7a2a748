// Which idle connection carries the next request, and how many are kept.
#include "proxy/idle_connections.h"

#include <doctest/doctest.h>

#include <array>

namespace indigorill {

TEST_CASE("a connection is reusable once it has been idle for some time, the longest idle one first") {
  IdleConnections idle(1000);
  CHECK_FALSE(idle.find_reusable(0).has_value());
  idle.add(1, 100);
  idle.add(2, 110);
  const double first_reusable_ms = 100 + IdleConnections::min_idle_ms;
  CHECK_FALSE(idle.find_reusable(first_reusable_ms - 0.001).has_value());
  CHECK(idle.reusable_count(first_reusable_ms - 0.001) == 0);
  CHECK(idle.find_reusable(first_reusable_ms) == 1);
  CHECK(idle.reusable_count(first_reusable_ms) == 1);
  CHECK(idle.reusable_count(first_reusable_ms + 10) == 2);
  CHECK(idle.remove(1));
  CHECK_FALSE(idle.remove(1));
  CHECK_FALSE(idle.find_reusable(first_reusable_ms).has_value());
  CHECK(idle.find_reusable(first_reusable_ms + 10) == 2);
}

namespace {

/// Takes and returns one connection per `interval_ms`. Returns how many were to be closed.
std::size_t use_one_at_a_time(IdleConnections& idle, double& now_ms, double until_ms, double interval_ms) {
  std::size_t closed = 0;
  while (now_ms < until_ms) {
    now_ms += interval_ms;
    for (std::size_t surplus = idle.on_connection_needed(now_ms); surplus > 0; --surplus) {
      idle.remove(idle.oldest());
      ++closed;
    }
    const auto id = idle.find_reusable(now_ms);
    REQUIRE(id.has_value());
    idle.remove(*id);
    idle.add(*id, now_ms + 1);
  }
  return closed;
}

}  // namespace

TEST_CASE("connections that a burst left and nobody needs are closed, one spare is kept") {
  constexpr double review_interval_ms = 1000;
  constexpr double burst_size = 20;
  IdleConnections idle(review_interval_ms);
  double now_ms = 0;
  idle.on_connection_needed(now_ms);
  for (ExchangeId id = 1; id <= burst_size; ++id) idle.add(id, now_ms);
  // One request in 30 ms: the connection of each is reusable before the next one.
  const std::size_t closed = use_one_at_a_time(idle, now_ms, 3 * review_interval_ms, 30);
  CHECK(closed == burst_size - 2);
}

TEST_CASE("connections that were all needed at some time since the last review are kept") {
  constexpr double review_interval_ms = 1000;
  IdleConnections idle(review_interval_ms);
  double now_ms = 0;
  for (ExchangeId id = 1; id <= 4; ++id) idle.add(id, now_ms);
  for (int round = 0; round < 100; ++round) {
    now_ms += 100;
    std::array<ExchangeId, 4> taken{};
    for (ExchangeId& id : taken) {
      CHECK(idle.on_connection_needed(now_ms) == 0);
      const auto found = idle.find_reusable(now_ms);
      REQUIRE(found.has_value());
      id = *found;
      idle.remove(id);
    }
    CHECK(idle.empty());
    for (const ExchangeId id : taken) idle.add(id, now_ms);
  }
}

}  // namespace indigorill
