// A discovery service that is slow and steady: each poll is answered, whole and late.
//
// What happens: the sidecar never had a list, however long the service went on answering. Its endpoint list
// stayed that of its start, so draining endpoints went on getting attempts, and new ones got none.
//
// Why: each poll was given up after a fixed time (a quarter of the drain grace, 250 ms at most, where lists
// are pushed; 1.5 s where they are polled), its connection was closed, and the next one began from nothing.
// An answer that takes longer than that time could never arrive, and the service worked on polls that nobody
// waited for.
//
// What showed it, against a stand-in that answers each poll after a fixed time: at a grace of 1,000 ms an
// answer after 200 ms is in force after 0.21 s, one after 300 ms is not in force in 10 s, with 23 polls given
// up; at a grace of 300 ms 50 ms work and 100 ms don't, with 75 polls. Polled, 1.4 s work and 2 s don't, with
// 5 polls. The log repeats "endpoint list: poll failed after 250 ms: response timed out" and has no other
// line of the list.
//
// Cause and mend: `DiscoveryClient` closed a poll's connection when its time had passed. It stays open now,
// one at most beside the next poll, and the first valid list counts, so that a list needs no more than its
// service takes.
#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

#include "support/failing_agent.h"
#include "support/parts.h"

using namespace host;  // NOLINT(google-build-using-namespace): test support

namespace {

// A change counts as known to the sidecar this long after discovery had it and could be reached.
constexpr double update_deadline_ms = 6000;

struct SlowService {
  double drain_grace_ms = 0;
  double response_delay_ms = 0;
  bool is_polled = false;

  DiscoveryHarness harness;
  std::unique_ptr<FakeServer> service;
  double listed_at_ms = -1;
  double updated_after_ms = -1;

  SlowService(double grace_ms, double delay_ms, bool polled)
      : drain_grace_ms(grace_ms), response_delay_ms(delay_ms), is_polled(polled) {}

  void start(const std::vector<std::string>& responses) {
    harness.grace_ms = drain_grace_ms;
    service = std::make_unique<FakeServer>(harness.loop, responses);
    service->response_delay_ms = response_delay_ms;
    harness.start(service->address, !is_polled);
  }
  // What was received before keeps the answer that it has, or has none.
  void answer_from_now_on(const std::string& response) const {
    service->responses.resize(service->request_targets.size(), "silent");
    service->responses.resize(service->responses.size() + 1000, response);
  }
  // Where lists are polled, the load balancer asks again after a failure; here it does at once.
  void run_once() {
    harness.loop.run_once(0);
    if (is_polled && harness.failure_count > 0) {
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
    CAPTURE(service->is_polled);
    CAPTURE(service->service->request_targets.size());
    CHECK(service->updated_after_ms >= 0);
    CHECK(service->updated_after_ms < service->response_delay_ms + extra_ms);
  }
}

}  // namespace

TEST_CASE("a list whose service is slow and steady is in force when its first answer has come") {
  SlowServices services = slow_services();
  for (auto& service : services) service->start(std::vector<std::string>(1000, list_version_9));
  run_until_updates(services, "=9ab", now_ms(services) + update_deadline_ms);
  check_updated_within(services, 150);  // for a process that waits for its core
}

TEST_CASE("a change at a service that is slow and steady is in force 6 s after the list before it") {
  SlowServices services = slow_services();
  for (auto& service : services) service->start(std::vector<std::string>(1000, list_version_9));
  const double until_ms = now_ms(services) + 2 * update_deadline_ms;
  while (now_ms(services) < until_ms)
    for (auto& service : services) {
      service->run_once();
      if (service->listed_at_ms < 0 && service->harness.updates.starts_with("=9ab")) {
        service->listed_at_ms = now_ms(services);
        service->answer_from_now_on(draining_version_10);
      }
      if (service->updated_after_ms < 0 && service->harness.updates.find("+10b") != std::string::npos)
        service->updated_after_ms = now_ms(services) - service->listed_at_ms;
    }
  for (const auto& service : services) {
    CAPTURE(service->drain_grace_ms);
    CAPTURE(service->response_delay_ms);
    CAPTURE(service->is_polled);
    CHECK(service->updated_after_ms >= 0);
    CHECK(service->updated_after_ms < update_deadline_ms);
  }
}

TEST_CASE(
    "a service that was silent and is slow when it is back: its list is in force 6 s after the return") {
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
    service->answer_from_now_on(list_version_9);
  }
  run_until_updates(services, "=9ab", now_ms(services) + update_deadline_ms);
  for (const auto& service : services) {
    CAPTURE(service->drain_grace_ms);
    CAPTURE(service->response_delay_ms);
    CAPTURE(service->is_polled);
    CHECK(service->updated_after_ms >= 0);
  }
}
