// Log lines and counters as text.
#include "logging/logger.h"

#include <doctest/doctest.h>

#include <sstream>

#include "metrics/counters.h"

namespace indigorill {

TEST_CASE("log lines are filtered by level and counters are written on a line each") {
  std::ostringstream text;
  Logger logger(text, LogLevel::warning);
  logger.info() << "hidden";
  logger.warning() << "shown " << 1;
  CHECK(text.str() == "indigorill warning: shown 1\n");
  CHECK(parse_log_level("debug") == LogLevel::debug);
  CHECK_FALSE(parse_log_level("loud"));
  Counters counters;
  Counters::increment(counters.attempts, AttemptOutcome::reset);
  std::ostringstream counters_text;
  counters_text << counters;
  CHECK(counters_text.str().find("picks_reset 1\n") != std::string::npos);
  CHECK(counters_text.str().find("picks_ok 0\n") != std::string::npos);
}

}  // namespace indigorill
