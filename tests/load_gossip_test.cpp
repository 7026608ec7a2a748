#include <doctest/doctest.h>

#include <optional>
#include <string>
#include <vector>

#include "config/load_balancer_config.h"
#include "discovery/discovery_client.h"
#include "load_gossip/load_gossip_codec.h"
#include "load_gossip/peer_load_table.h"
#include "support/load_balancer_histories.h"

using namespace host;  // NOLINT(google-build-using-namespace): test support

namespace {

// The gossip tag of an endpoint, by FNV-1a, as all sidecars have to compute it.
std::uint32_t tag_of(const std::string& endpoint_id) {
  std::uint64_t hash = 14695981039346656037ULL;
  for (const unsigned char byte : endpoint_id) hash = (hash ^ byte) * 1099511628211ULL;
  return static_cast<std::uint32_t>(hash % LoadGossip::endpoint_tag_count);
}

LoadGossip gossip_of(std::uint32_t sequence, const std::string& endpoint_id, double in_flight,
                     double failures = 0, bool is_complete = true) {
  LoadGossip gossip;
  gossip.sequence = sequence;
  gossip.is_complete = is_complete;
  gossip.endpoint_loads.push_back({tag_of(endpoint_id), in_flight, failures});
  return gossip;
}

LoadBalancerConfig gossiping_config() {
  LoadBalancerConfig config = test_config();
  config.gossip_enabled = true;
  config.sidecar_count = 3;
  return config;
}

// The fraction of first attempts that go to "a" rather than to "b" after this gossip.
double fraction_sent_to_a_after(const std::optional<LoadGossip>& gossip) {
  constexpr int seed_count = 400;
  const auto history = [&](LoadBalancerHarness& harness) {
    list_a_and_b(harness);
    if (gossip) harness.load_balancer.on_gossip(harness.now, 1, *gossip);
  };
  return fraction_sent_to_a(history, gossiping_config(), seed_count);
}

LoadBalancerConfig decode_config(const std::string& more) {
  const auto settings = nlohmann::json::parse(
      R"({"methods":[{"name":"read","deadline":1000,"effect":"retryable"}])" + more + "}");
  return decode_load_balancer_config(JsonFields("settings", settings));
}

}  // namespace

TEST_CASE("decoding returns the encoded load gossip with values limited by their digits") {
  LoadGossip gossip;
  gossip.sequence = 8099;
  gossip.is_complete = false;
  gossip.arrivals_per_s = {0, 12, 200};
  gossip.endpoint_loads = {{0, 0, 0}, {8099, 17, 4}, {77, 3, 1}, {5, 90, 90}};
  const auto decoded = decode_load_gossip(encode_load_gossip(gossip));
  REQUIRE(decoded);
  CHECK(decoded->sequence == 8099);
  CHECK_FALSE(decoded->is_complete);
  CHECK(decoded->arrivals_per_s == std::vector<double>{0, 12, 89});
  REQUIRE(decoded->endpoint_loads.size() == 4);
  CHECK(decoded->endpoint_loads[1].endpoint_tag == 8099);
  CHECK(decoded->endpoint_loads[2].in_flight == 3);
  CHECK(decoded->endpoint_loads[2].failures == 1);
  CHECK(decoded->endpoint_loads[3].in_flight == 17);
  CHECK(decoded->endpoint_loads[3].failures == 4);
}

TEST_CASE("load gossip fits 256 bytes of printable ASCII for any number of endpoints") {
  LoadGossip gossip;
  for (std::uint32_t i = 0; i < 500; ++i) gossip.endpoint_loads.push_back({i * 16, 5, 2});
  const std::string text = encode_load_gossip(gossip);
  CHECK(text.size() <= 256);
  CHECK(text.find_first_of("\"\\\n\x7f") == std::string::npos);
  const auto decoded = decode_load_gossip(text);
  REQUIRE(decoded);
  CHECK(decoded->endpoint_loads.size() == 84);
}

TEST_CASE("bytes that are truncated or too long or of another format are not decoded as load gossip") {
  const std::string complete = encode_load_gossip(gossip_of(1, "a", 2));
  for (const std::string& bytes :
       {std::string(), std::string("x000"), complete.substr(0, complete.size() - 1), complete + "\x01",
        complete + "0", std::string("hi 7"), std::string(300, 'a')}) {
    CAPTURE(bytes);
    CHECK_FALSE(decode_load_gossip(bytes));
  }
}

TEST_CASE("peer load table: a message replaces its sender's values and those of a silent peer expire") {
  PeerLoadTable table;
  const std::uint32_t tag = tag_of("a");
  CHECK_FALSE(table.has_recent_gossip(0));
  table.record_gossip(0, 1, gossip_of(5, "a", 3));
  table.record_gossip(0, 2, gossip_of(9, "a", 2));
  CHECK(table.in_flight(tag) == 5);
  table.record_gossip(10, 1, gossip_of(6, "a", 1, 0, false));
  CHECK(table.in_flight(tag) == 3);
  table.record_gossip(20, 1, gossip_of(6, "a", 9));  // a duplicate
  table.record_gossip(20, 1, gossip_of(4, "a", 9));  // out of order
  CHECK(table.in_flight(tag) == 3);
  table.record_gossip(30, 1, gossip_of(7, "b", 1));  // complete, and no longer lists "a"
  CHECK(table.in_flight(tag) == 2);
  table.record_gossip(1400, 1, gossip_of(8, "b", 1));
  table.expire_silent_peers(1600);  // peer 2 has been silent
  CHECK(table.in_flight(tag) == 0);
  CHECK(table.in_flight(tag_of("b")) == 1);
  CHECK(table.has_recent_gossip(1600));
  CHECK_FALSE(table.has_recent_gossip(4000));
}

TEST_CASE("peer load table: failures decay and a tag out of range is ignored") {
  PeerLoadTable table;
  table.record_gossip(0, 1, gossip_of(5, "a", 0, 2));
  CHECK(table.failures(tag_of("a"), 0) == doctest::Approx(2));
  CHECK(table.failures(tag_of("a"), 2000) == doctest::Approx(1));
  LoadGossip gossip;
  gossip.endpoint_loads.push_back({LoadGossip::endpoint_tag_count, 5, 1});
  table.record_gossip(10, 2, gossip);
  CHECK(table.failures(LoadGossip::endpoint_tag_count, 10) == 0);
}

TEST_CASE(
    "the draw counts attempts in flight and failures of peers and ignores gossip on unlisted endpoints") {
  CHECK(fraction_sent_to_a_after({}) == doctest::Approx(0.5).epsilon(0.15));
  CHECK(fraction_sent_to_a_after(gossip_of(1, "a", 3)) < 0.1);
  CHECK(fraction_sent_to_a_after(gossip_of(1, "a", 0, 4)) < 0.2);
  CHECK(fraction_sent_to_a_after(gossip_of(1, "stranger", 3)) == doctest::Approx(0.5).epsilon(0.15));
}

TEST_CASE("an RPC is rejected at once if gossip reports that all endpoints are full") {
  LoadBalancerHarness harness(gossiping_config());
  list_a_and_b(harness);
  for (const char* id : {"a", "b"}) harness.load_balancer.on_gossip(harness.now, id[0], gossip_of(1, id, 9));
  harness.start_rpc();
  bool is_rejected = false;
  bool is_sent = false;
  for (const Decision& decision : harness.take_decisions()) {
    is_rejected |= decision.action == Action::reject;
    is_sent |= decision.action == Action::send_attempt;
  }
  CHECK(is_rejected);
  CHECK_FALSE(is_sent);
}

TEST_CASE("gossip reports attempts in flight and later changes and is not sent if nothing changed") {
  LoadBalancerHarness harness(gossiping_config());
  harness.update_endpoints({make_endpoint("a")});
  const auto gossip_until = [&](double end) {
    std::vector<LoadGossip> messages;
    for (; harness.now < end; harness.now += 10) {
      harness.load_balancer.on_timer(harness.now, 2);
      for (const Decision& decision : harness.take_decisions())
        if (decision.action == Action::send_gossip) messages.push_back(decision.gossip);
    }
    return messages;
  };
  gossip_until(harness.now + 500);
  const std::string id = harness.start_rpc("vital", 5000);
  const auto while_sent = gossip_until(harness.now + 100);
  REQUIRE(while_sent.size() == 1);
  REQUIRE(while_sent[0].endpoint_loads.size() == 1);
  CHECK(while_sent[0].endpoint_loads[0].endpoint_tag == tag_of("a"));
  CHECK(while_sent[0].endpoint_loads[0].in_flight == 1);
  harness.load_balancer.on_attempt_finished(harness.now, id, 0, AttemptOutcome::error, 5, true, {});
  const auto after_end = gossip_until(harness.now + 100);
  REQUIRE(after_end.size() == 1);
  CHECK(after_end[0].endpoint_loads[0].in_flight == 0);
  CHECK(after_end[0].endpoint_loads[0].failures == 1);
  LoadBalancerHarness alone;
  alone.update_endpoints({make_endpoint("a")});
  alone.start_rpc();
  for (const Decision& decision : alone.take_decisions()) CHECK(decision.action != Action::send_gossip);
}

TEST_CASE("RPCs over a tenant's quota are rejected at shorter queues than RPCs within it") {
  int sent[2] = {0, 0};
  for (const bool is_over_quota : {false, true})
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
      LoadBalancerConfig config = gossiping_config();
      config.tenants = {{"acme", is_over_quota ? 1e-6 : 1000}};
      config.over_quota_weight = 0.05;
      LoadBalancerHarness harness(config, seed);
      harness.update_endpoints({make_endpoint("a")});
      LoadGossip gossip = gossip_of(1, "a", 1);
      gossip.arrivals_per_s = {50};
      harness.load_balancer.on_gossip(harness.now, 1, gossip);
      harness.load_balancer.on_rpc_arrived(harness.now, {"r", "vital", harness.now + 300, {}, "acme"});
      for (const Decision& decision : harness.take_decisions())
        sent[is_over_quota ? 1 : 0] += decision.action == Action::send_attempt;
    }
  CHECK(sent[0] > 40);
  CHECK(sent[1] < 20);
}

TEST_CASE("after a hot restart nothing is sent to departed endpoints and slow start stays bounded") {
  for (const bool has_gossip : {false, true}) {
    CAPTURE(has_gossip);
    int slow_start = 0;
    int gone = 0;
    int all = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      LoadBalancerHarness harness(gossiping_config(), seed);
      harness.now = 100000;
      // First the list that the parent process left, with its start times, then an update of the list.
      harness.load_balancer.update_endpoints(
          harness.now, true, false,
          {make_endpoint("warm"), make_endpoint("cold", harness.now - 1000), make_endpoint("left")});
      harness.load_balancer.update_endpoints(harness.now, false, true,
                                             {make_endpoint("left", 0, EndpointState::gone)});
      for (std::uint32_t i = 0; i < 40; ++i) {
        if (has_gossip) harness.load_balancer.on_gossip(harness.now, 1, gossip_of(i + 1, "left", 0));
        harness.load_balancer.on_timer(harness.now, 2);
        if (i % 20 == 0) harness.load_balancer.on_timer(harness.now, 1);
        harness.start_rpc();
        for (const Decision& decision : harness.take_decisions()) {
          if (decision.action != Action::send_attempt) continue;
          ++all;
          slow_start += decision.endpoint_id == "cold";
          gone += decision.endpoint_id == "left";
          harness.load_balancer.on_attempt_finished(harness.now + 1, decision.rpc_id, decision.attempt_index,
                                                    AttemptOutcome::ok, 1, true, {});
        }
        harness.take_decisions();
        harness.now += 50;
      }
    }
    CHECK(all > 700);
    CHECK(gone == 0);
    CHECK(slow_start > 0);
    // Half the overload factor of 3, times a weight of 0.2 to 0.36, is a third to a half of the share of a
    // warm endpoint; the bound on the probability halves it.
    CHECK(slow_start < all / 2);
  }
}

TEST_CASE("settings of gossip and quotas are decoded and validated and have defaults") {
  const LoadBalancerConfig defaults = decode_config("");
  CHECK_FALSE(defaults.gossip_enabled);
  CHECK_FALSE(defaults.clients_mark_retries);
  CHECK(defaults.tenants.empty());
  CHECK(defaults.over_quota_weight == 1);
  const LoadBalancerConfig config =
      decode_config(R"(,"parties":[{"name":"acme","allowancePerS":22}],"surplusUtility":0.05,)"
                    R"("bounds":{"mayTell":true},"charges":{"peer":0.03},"callers":{"marksRetry":true})");
  REQUIRE(config.tenants.size() == 1);
  CHECK(config.tenants[0].name == "acme");
  CHECK(config.tenants[0].allowance_per_ms == doctest::Approx(0.022));
  CHECK(config.over_quota_weight == 0.05);
  CHECK(config.gossip_enabled);
  CHECK(config.clients_mark_retries);
  CHECK(config.gossip_message_cost == 0.03);
  for (const char* wrong : {R"(,"parties":[{"name":"acme","allowancePerS":-1}])", R"(,"surplusUtility":2)",
                            R"(,"charges":{"peer":-0.1})", R"(,"parties":[{"allowancePerS":1}])"}) {
    CAPTURE(wrong);
    CHECK_THROWS_AS(decode_config(wrong), ParseError);
  }
}

TEST_CASE("an endpoint list that a parent process leaves keeps start times and machine types") {
  EndpointListUpdate update;
  update.complete = true;
  update.entries.push_back({make_endpoint("a", 5000), "127.0.0.1:1"});
  update.entries[0].endpoint.machine_type = "fast";
  const EndpointListUpdate restored = parse_endpoint_list(encode_endpoint_list(update));
  REQUIRE(restored.entries.size() == 1);
  CHECK(restored.entries[0].endpoint.started_at_ms == 5000);
  CHECK(restored.entries[0].endpoint.machine_type == "fast");
}
