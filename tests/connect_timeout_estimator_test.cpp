// The timeout of connects, estimated from earlier connects.
#include "proxy/connect_timeout_estimator.h"

#include <doctest/doctest.h>

#include <string>

namespace indigorill {

TEST_CASE("the connect timeout is the configured one until enough connects have succeeded") {
  struct {
    const char* name;
    int connected;
    double duration_ms;
    int timed_out;
    double min_timeout_ms;
    double max_timeout_ms;
  } table[] = {
      {"no connect succeeded", 0, 0, 3, 250, 250},
      {"too few connects succeeded", 7, 1, 0, 250, 250},
      {"fast connects", 8, 0.2, 0, 20, 20},
      {"slow connects", 100, 10, 0, 80, 80},
      {"connects slower than the configured timeout", 8, 300, 0, 250, 250},
      {"each consecutive timeout doubles it", 8, 1, 2, 80, 80},
      {"never above the configured timeout", 8, 1, 500, 250, 250},
  };
  for (const auto& row : table) {
    CAPTURE(std::string(row.name));
    ConnectTimeoutEstimator estimator(250);
    for (int i = 0; i < row.connected; ++i) estimator.on_connected(row.duration_ms);
    for (int i = 0; i < row.timed_out; ++i) estimator.on_connect_timed_out();
    CHECK(estimator.timeout_ms() >= row.min_timeout_ms);
    CHECK(estimator.timeout_ms() <= row.max_timeout_ms);
  }
  ConnectTimeoutEstimator estimator(250);
  estimator.on_connected(20);
  for (int i = 0; i < 100; ++i) estimator.on_connected(1);
  CHECK(estimator.timeout_ms() < 25);  // one slow connect is forgotten after 100 fast ones
  estimator.on_connect_timed_out();
  estimator.on_connected(1);
  CHECK(estimator.timeout_ms() < 25);  // the next successful connect resets the doubling
}

}  // namespace indigorill
