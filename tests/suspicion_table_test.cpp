/// \file
/// The duration of suspicions, after which a member is declared dead.
#include "membership/suspicion_table.h"

#include <doctest/doctest.h>

#include <limits>
#include <string>

namespace {

using indigorill::SuspicionTable;
using indigorill::SuspicionTiming;

constexpr SuspicionTiming timing{.probe_interval_ms = 1000, .live_count = 100, .health_multiplier = 1};
// Four times log10(100) intervals; six times as long without a confirmation.
constexpr double min_duration_ms = 8000;
constexpr double max_duration_ms = 48000;

}  // namespace

TEST_CASE("suspicion table: each confirmation shortens a suspicion down to its minimum duration") {
  SuspicionTable table;
  CHECK(table.next_deadline(timing) == std::numeric_limits<double>::infinity());
  table.start(500, "n1", "n2");
  CHECK(table.next_deadline(timing) == doctest::Approx(500 + max_duration_ms));
  CHECK_FALSE(table.confirm("n1", "n2"));
  double previous = table.next_deadline(timing);
  for (const std::string accuser : {"n3", "n4", "n5"}) {
    CAPTURE(accuser);
    CHECK(table.confirm("n1", accuser));
    CHECK(table.next_deadline(timing) < previous);
    previous = table.next_deadline(timing);
  }
  CHECK(previous == doctest::Approx(500 + min_duration_ms));
  CHECK_FALSE(table.confirm("n1", "n6"));  // the maximum of confirmations is reached
  CHECK_FALSE(table.confirm("n7", "n2"));  // n7 is not suspected
}

TEST_CASE("suspicion table: a slow process extends its deadlines and a paused one postpones them") {
  SuspicionTable table;
  table.start(0, "n1", "n2");
  SuspicionTiming slow = timing;
  slow.health_multiplier = 3;
  CHECK(table.next_deadline(slow) == doctest::Approx(3 * max_duration_ms));
  table.postpone(250);
  CHECK(table.next_deadline(timing) == doctest::Approx(250 + max_duration_ms));
  CHECK(table.expired(max_duration_ms, timing).empty());
  CHECK(table.expired(251 + max_duration_ms, timing).size() == 1);
  table.clear("n1");
  CHECK(table.expired(251 + max_duration_ms, timing).empty());
}
