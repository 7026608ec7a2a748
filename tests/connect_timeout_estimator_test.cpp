// The timeout of connects, by those that came up.
#include "proxy/connect_timeout_estimator.h"

#include <doctest/doctest.h>

#include <string>

using namespace indigorill;

TEST_CASE("connect timeout: as configured, until it is known how long connects take") {
  struct {
    const char* what;
    int connected;
    double duration_ms;
    int timed_out;
    double min_timeout_ms;
    double max_timeout_ms;
  } table[] = {
      {"nothing known", 0, 0, 3, 250, 250},
      {"too few known", 7, 1, 0, 250, 250},
      {"quick ones", 8, 0.2, 0, 20, 20},
      {"slow ones", 100, 10, 0, 80, 80},
      {"slower than configured", 8, 300, 0, 250, 250},
      {"each failure in a row doubles it", 8, 1, 2, 80, 80},
      {"never past what is configured", 8, 1, 500, 250, 250},
  };
  for (const auto& row : table) {
    CAPTURE(std::string(row.what));
    ConnectTimeoutEstimator estimator(250);
    for (int i = 0; i < row.connected; ++i) estimator.on_connected(row.duration_ms);
    for (int i = 0; i < row.timed_out; ++i) estimator.on_connect_timed_out();
    CHECK(estimator.timeout_ms() >= row.min_timeout_ms);
    CHECK(estimator.timeout_ms() <= row.max_timeout_ms);
  }
  ConnectTimeoutEstimator estimator(250);
  estimator.on_connected(20);
  for (int i = 0; i < 100; ++i) estimator.on_connected(1);
  CHECK(estimator.timeout_ms() < 25);  // one slow connect is forgotten
  estimator.on_connect_timed_out();
  estimator.on_connected(1);
  CHECK(estimator.timeout_ms() < 25);  // and so are failures, by the next that comes up
}
