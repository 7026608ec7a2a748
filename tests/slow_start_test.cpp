#include <doctest/doctest.h>

#include <algorithm>
#include <map>

#include "support/load_balancer_histories.h"

using namespace host;  // NOLINT(google-build-using-namespace): test support

TEST_CASE(
    "the first send to an endpoint in slow start costs no handshake and uses the service time of others") {
  LoadBalancerConfig config = test_config();
  config.handshake_cost = 0.08;
  const auto beside_warm = [](int observed_count, double duration_ms) {
    return [=](LoadBalancerHarness& harness) {
      harness.now += 100000;
      const double started_at = harness.now - 10000;  // weight 0.6 of 1
      for (int i = 0; i < observed_count; ++i) {
        harness.update_endpoints({make_endpoint("c" + std::to_string(i), started_at)});
        const std::string id = harness.start_rpc();
        finish_first_attempt(harness, id, AttemptOutcome::ok, duration_ms);
        harness.take_decisions();
      }
      harness.update_endpoints({make_endpoint("a", started_at), make_endpoint("b")});
      harness.load_balancer.set_idle_connections("b", 1);
    };
  };
  const double unobserved = fraction_sent_to_a(beside_warm(0, 0), config);
  CHECK(unobserved > 0.02);  // with the eight halvings of a handshake it would be one in a few thousand
  CHECK(fraction_sent_to_a(beside_warm(10, 10), config) > 1.5 * unobserved);
  CHECK(fraction_sent_to_a(beside_warm(10, 80), config) < 0.5 * unobserved);
}

TEST_CASE(
    "an endpoint in slow start gets no more attempts than its tokens and a starting fleet is not idle") {
  struct {
    const char* name;
    bool others_warm;
    int min;
    int max;
  } table[] = {{"one of three endpoints, which can serve 7 and must get fewer than 20", true, 0, 15},
               {"all endpoints in slow start", false, 5, 200}};
  for (const auto& row : table) {
    CAPTURE(row.name);
    LoadBalancerHarness harness;
    harness.now = 100000;
    const double started_at = harness.now;
    const double others_started_at = row.others_warm ? 0 : started_at;
    harness.update_endpoints(make_endpoints('a', 'c'));
    int sent = 0;
    // 100 RPCs per second are 33 per endpoint. An endpoint in slow start is overloaded at 33 x 0.2 (its
    // weight) x 3 (overload factor) = 20 in its first second.
    for (int i = 0; i < 600; ++i) {
      harness.now += 10;
      if (i == 300)
        harness.update_endpoints({make_endpoint("a", started_at), make_endpoint("b", others_started_at),
                                  make_endpoint("c", others_started_at)});
      if (i % 10 == 0) harness.load_balancer.on_timer(harness.now, 1);
      const std::string id = harness.start_rpc("vital");
      for (const Decision& decision : harness.take_decisions()) {
        if (decision.action != Action::send_attempt) continue;
        sent += i >= 300 && i < 400 && decision.endpoint_id == "a";
        harness.load_balancer.on_attempt_finished(harness.now, id, decision.attempt_index, AttemptOutcome::ok,
                                                  10, true, {});
        harness.take_decisions();
      }
    }
    CHECK(sent >= row.min);
    CHECK(sent <= row.max);
  }
}

TEST_CASE("an endpoint in slow start is used beside a crowded warm endpoint that gets nearly nothing") {
  LoadBalancerConfig config = test_config();
  config.probes_report_load = true;
  LoadBalancerHarness harness(config);
  harness.now = 100000;
  // "b" does six tenths of a warm endpoint's work, and no RPC of another sidecar is there.
  harness.update_endpoints({make_endpoint("a"), make_endpoint("b", harness.now - 10000)});
  std::map<std::string, int> sent;
  int rejected = 0;
  for (int i = 0; i < 1000; ++i) {
    harness.now += 10;
    for (int report = 0; report < 10; ++report)
      harness.load_balancer.on_probe_finished(harness.now, "a", AttemptOutcome::ok, {9.0});
    if (i % 10 == 0) harness.load_balancer.on_timer(harness.now, 1);
    const std::string id = harness.start_rpc("vital");
    for (const Decision& decision : harness.take_decisions()) {
      rejected += decision.action == Action::reject;
      if (decision.action != Action::send_attempt) continue;
      ++sent[decision.endpoint_id];
      const double in_flight = decision.endpoint_id == "a" ? 10.0 : 1.0;
      harness.load_balancer.on_attempt_finished(harness.now, id, 0, AttemptOutcome::ok, 20, true,
                                                {in_flight});
      harness.take_decisions();
    }
  }
  CHECK(sent["a"] <= 5);
  CHECK(sent["b"] >= 50);
  CHECK(sent["b"] <= 600);  // the bound: half of three times its weight, over the weight of both
  CHECK(sent["a"] + sent["b"] + rejected == 1000);
}

TEST_CASE(
    "many sidecars with one RPC each stay together under the overload factor of an endpoint in slow start") {
  // Each sidecar sends one RPC, can't know what the others send, and prefers the endpoint in slow start,
  // which is the only one in its zone.
  LoadBalancerConfig config = test_config();
  config.slow_start_overload_factor = 2;
  config.cross_zone_cost = 1;
  int sent = 0;
  constexpr int sidecar_count = 2000;
  for (int seed = 1; seed <= sidecar_count; ++seed) {
    LoadBalancerHarness harness(config, static_cast<std::uint64_t>(seed));
    harness.now = 100000;
    auto endpoints = make_endpoints('a', 'i', "there");
    endpoints.push_back(make_endpoint("new", harness.now - 16000));  // weight 0.84 of 1
    harness.update_endpoints(endpoints);
    harness.start_rpc("vital");
    sent += harness.only_decision().endpoint_id == "new";
  }
  CHECK(sent > 0);  // the endpoint is not left idle
  constexpr int fair_share = sidecar_count / 10;
  CHECK(sent < fair_share * 2 * 0.84);
}

TEST_CASE(
    "load above the bound of one endpoint in slow start goes to others in slow start within their bounds") {
  // By its load report, one of them is better than the rest by far, so all sidecars would use it.
  LoadBalancerConfig config = test_config();
  config.probes_report_load = true;
  config.slow_start_overload_factor = 2;
  std::map<std::string, int> sent;
  constexpr int sidecar_count = 2000;
  for (int seed = 1; seed <= sidecar_count; ++seed) {
    LoadBalancerHarness harness(config, static_cast<std::uint64_t>(seed));
    harness.now = 100000;
    const auto report = [&](char id, double in_flight) {
      harness.load_balancer.on_probe_finished(harness.now, std::string(1, id), AttemptOutcome::ok,
                                              {in_flight});
    };
    std::vector<Endpoint> endpoints = make_endpoints('a', 'd');
    for (char id = 'e'; id <= 'j'; ++id)
      endpoints.push_back(make_endpoint(std::string(1, id), harness.now - 10000));  // weight 0.6
    harness.update_endpoints(endpoints);
    for (char id = 'a'; id <= 'd'; ++id) report(id, 1.5);
    for (char id = 'f'; id <= 'i'; ++id) report(id, 0.5);
    report('e', 0.0);
    report('j', 6.0);
    harness.start_rpc("vital");
    const Decision decision = harness.only_decision();
    if (decision.action == Action::send_attempt) ++sent[decision.endpoint_id];
  }
  // Half the overload factor, times its share of the fleet's weight.
  const double bound = sidecar_count * 0.5 * 2 * 0.6 / 7.6;
  int sent_to_slow_start = 0;
  for (char id = 'e'; id <= 'i'; ++id) {
    CHECK(sent[std::string(1, id)] < 1.3 * bound);
    sent_to_slow_start += sent[std::string(1, id)];
  }
  CHECK(sent_to_slow_start > 3.5 * bound);
  CHECK(sent["j"] < 0.2 * bound);  // it is crowded itself
}

TEST_CASE("a popular key does not overload its preferred endpoint in slow start") {
  LoadBalancerConfig config = test_config();
  config.key_affinity = true;
  auto endpoints = make_endpoints('a', 't');
  const auto count_sent = [&](int sidecar_count) {  // all RPCs have the same key
    std::map<std::string, int> sent;
    for (int seed = 1; seed <= sidecar_count; ++seed) {
      LoadBalancerHarness harness(config, static_cast<std::uint64_t>(seed));
      harness.now = 100000;
      harness.update_endpoints(endpoints);
      harness.load_balancer.on_rpc_arrived(harness.now, {"r", "vital", harness.now + 300, 77});
      ++sent[harness.only_decision().endpoint_id];
    }
    return sent;
  };
  const auto sent_to_warm = count_sent(50);
  const auto is_less = [](const auto& left, const auto& right) { return left.second < right.second; };
  const std::string preferred = std::max_element(sent_to_warm.begin(), sent_to_warm.end(), is_less)->first;
  REQUIRE(sent_to_warm.at(preferred) > 40);
  for (Endpoint& endpoint : endpoints)
    endpoint.started_at_ms = endpoint.id == preferred ? 100000 - 12000 : 0;  // weight 0.68
  CHECK(count_sent(400)[preferred] < 400 * 0.68);  // all of them if the bound applied to the weights alone
}
