// Log lines and counters as text.
#include "logging/logger.h"

#include <doctest/doctest.h>

#include <sstream>

#include "metrics/counters.h"

using namespace indigorill;

TEST_CASE("log lines are filtered by level, counters have a line each") {
  std::ostringstream text;
  Logger lines(text, LogLevel::warning);
  lines.info() << "unseen";
  lines.warning() << "seen " << 1;
  CHECK(text.str() == "indigorill warning: seen 1\n");
  CHECK(parse_log_level("debug") == LogLevel::debug);
  CHECK_FALSE(parse_log_level("loud"));
  Counters client;
  Counters::increment(client.attempts, AttemptOutcome::reset);
  std::ostringstream listed;
  listed << client;
  CHECK(listed.str().find("picks_reset 1\n") != std::string::npos);
  CHECK(listed.str().find("picks_ok 0\n") != std::string::npos);
}
