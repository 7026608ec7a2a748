// A discovery service that answers each poll completely, but late.
//
// Guards against a sidecar that never applies a list from such a service: the list of its start stays in
// force, so draining endpoints go on getting attempts, and new ones get none. This happened while each poll
// was abandoned and its connection closed after a fixed timeout (a quarter of the drain grace, 250 ms at
// most, with continuous polling; 1.5 s where the load balancer schedules polls). A response that took longer
// than the timeout never arrived, and the service worked on abandoned polls.
//
// Measured then with a server that answers each poll after a fixed delay: with a drain grace of 1,000 ms, a
// list that was sent after 200 ms was in force after 0.21 s, and one sent after 300 ms was not in force
// within 10 s, with 23 polls abandoned; with a grace of 300 ms, a delay of 50 ms worked and 100 ms did not,
// with 75 polls abandoned. Where the load balancer schedules polls, 1.4 s worked and 2 s did not, with 5
// polls abandoned. The log repeated "endpoint list: poll failed after 250 ms: response timed out" and had no
// other line about the list.
//
// Now `DiscoveryClient` keeps at most one overdue poll open beside the next poll and applies the first valid
// list, so a list is in force as soon as the service has sent it.
#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

#include "support/failing_agent.h"
#include "support/parts.h"

using namespace host;  // NOLINT(google-build-using-namespace): test support

namespace {

// Time after which a change counts as known to the sidecar, once discovery has the change and is reachable.
constexpr double update_deadline_ms = 6000;

struct SlowService {
  double drain_grace_ms = 0;
  double response_delay_ms = 0;
  bool balancer_schedules_polls = false;

  DiscoveryHarness harness;
  std::unique_ptr<FakeServer> service;
  double listed_at_ms = -1;
  double updated_after_ms = -1;

  SlowService(double grace_ms, double delay_ms, bool schedules_polls)
      : drain_grace_ms(grace_ms), response_delay_ms(delay_ms), balancer_schedules_polls(schedules_polls) {}

  void start(const std::vector<std::string>& responses) {
    harness.grace_ms = drain_grace_ms;
    service = std::make_unique<FakeServer>(harness.loop, responses);
    service->response_delay_ms = response_delay_ms;
    harness.start(service->address, !balancer_schedules_polls);
  }
  // Requests received before keep the responses that they got; those without one get none.
  void respond_from_now_on(const std::string& response) const {
    service->responses.resize(service->request_targets.size(), "silent");
    service->responses.resize(service->responses.size() + 1000, response);
  }
  // Where the load balancer schedules polls, it polls again after a failure; this stand-in does so at once.
  void run_once() {
    harness.loop.run_once(0);
    if (balancer_schedules_polls && harness.failure_count > 0) {
      harness.failure_count = 0;
      harness.client->poll();
    }
  }
};

using SlowServices = std::vector<std::unique_ptr<SlowService>>;

SlowServices slow_services() {
  SlowServices services;
  for (const double delay_ms : {200.0, 300.0, 1000.0, 2500.0})
    services.push_back(std::make_unique<SlowService>(1000, delay_ms, false));
  for (const double delay_ms : {50.0, 100.0, 1000.0, 2500.0})
    services.push_back(std::make_unique<SlowService>(300, delay_ms, false));
  for (const double delay_ms : {1400.0, 2000.0, 4000.0})
    services.push_back(std::make_unique<SlowService>(300, delay_ms, true));
  return services;
}

double now_ms(const SlowServices& services) { return services.front()->harness.loop.now(); }

void run_until_updates(SlowServices& services, const std::string& updates, double until_ms) {
  const double started_at_ms = now_ms(services);
  while (now_ms(services) < until_ms)
    for (auto& service : services) {
      service->run_once();
      if (service->updated_after_ms < 0 && service->harness.updates.starts_with(updates))
        service->updated_after_ms = now_ms(services) - started_at_ms;
    }
}

void check_updated_within(const SlowServices& services, double extra_ms) {
  for (const auto& service : services) {
    CAPTURE(service->drain_grace_ms);
    CAPTURE(service->response_delay_ms);
    CAPTURE(service->balancer_schedules_polls);
    CAPTURE(service->service->request_targets.size());
    CHECK(service->updated_after_ms >= 0);
    CHECK(service->updated_after_ms < service->response_delay_ms + extra_ms);
  }
}

}  // namespace

TEST_CASE("slow discovery: a list is in force as soon as its first response has arrived") {
  SlowServices services = slow_services();
  for (auto& service : services) service->start(std::vector<std::string>(1000, list_version_9));
  run_until_updates(services, "=9ab", now_ms(services) + update_deadline_ms);
  check_updated_within(services, 150);  // for a process that waits for a CPU core
}

TEST_CASE("slow discovery: a change is in force within 6 s after the list before it") {
  SlowServices services = slow_services();
  for (auto& service : services) service->start(std::vector<std::string>(1000, list_version_9));
  const double until_ms = now_ms(services) + 2 * update_deadline_ms;
  while (now_ms(services) < until_ms)
    for (auto& service : services) {
      service->run_once();
      if (service->listed_at_ms < 0 && service->harness.updates.starts_with("=9ab")) {
        service->listed_at_ms = now_ms(services);
        service->respond_from_now_on(draining_version_10);
      }
      if (service->updated_after_ms < 0 && service->harness.updates.find("+10b") != std::string::npos)
        service->updated_after_ms = now_ms(services) - service->listed_at_ms;
    }
  for (const auto& service : services) {
    CAPTURE(service->drain_grace_ms);
    CAPTURE(service->response_delay_ms);
    CAPTURE(service->balancer_schedules_polls);
    CHECK(service->updated_after_ms >= 0);
    CHECK(service->updated_after_ms < update_deadline_ms);
  }
}

TEST_CASE("slow discovery: a list is in force within 6 s after a silent service starts to respond") {
  constexpr double outage_ms = 2000;
  SlowServices services;
  for (const double delay_ms : {300.0, 1000.0, 2500.0})
    for (const double grace_ms : {300.0, 1000.0})
      services.push_back(std::make_unique<SlowService>(grace_ms, delay_ms, false));
  services.push_back(std::make_unique<SlowService>(300, 1000, true));
  services.push_back(std::make_unique<SlowService>(300, 2000, true));
  for (auto& service : services) service->start({});
  run_until_updates(services, "=9ab", now_ms(services) + outage_ms);
  for (auto& service : services) {
    CHECK(service->harness.updates.empty());
    service->respond_from_now_on(list_version_9);
  }
  run_until_updates(services, "=9ab", now_ms(services) + update_deadline_ms);
  for (const auto& service : services) {
    CAPTURE(service->drain_grace_ms);
    CAPTURE(service->response_delay_ms);
    CAPTURE(service->balancer_schedules_polls);
    CHECK(service->updated_after_ms >= 0);
  }
}
