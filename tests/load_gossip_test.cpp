#include <doctest/doctest.h>

#include "config/load_balancer_config.h"
#include "discovery/discovery_client.h"
#include "load_gossip/load_gossip_codec.h"
#include "load_gossip/peer_load_table.h"
#include "support/host.h"

using namespace host;

namespace {

std::uint32_t mark_of(const std::string& id) {
  std::uint64_t h = 14695981039346656037ULL;
  for (const unsigned char c : id) h = (h ^ c) * 1099511628211ULL;
  return static_cast<std::uint32_t>(h % LoadGossip::endpoint_tag_count);
}

LoadGossip holding(std::uint32_t serial, const std::string& server, double in_hand, double failures = 0,
                   bool whole = true) {
  LoadGossip n;
  n.sequence = serial;
  n.is_complete = whole;
  n.endpoint_loads.push_back({mark_of(server), in_hand, failures});
  return n;
}

LoadBalancerConfig talking() {
  LoadBalancerConfig t = test_config();
  t.gossip_enabled = true;
  t.sidecar_count = 3;
  return t;
}

// The share of first picks that go to "a" of "a" and "b" after what was told.
double share_of_a(const std::function<void(LoadBalancerHarness&)>& told) {
  int a = 0;
  constexpr int draws = 400;
  for (int seed = 1; seed <= draws; ++seed) {
    LoadBalancerHarness h(talking(), static_cast<std::uint64_t>(seed));
    h.update_endpoints({make_endpoint("a"), make_endpoint("b")});
    told(h);
    h.start_rpc();
    for (const Decision& d : h.take_decisions())
      a += d.action == Action::send_attempt && d.endpoint_id == "a";
  }
  return a / static_cast<double>(draws);
}

}  // namespace

TEST_CASE("news survive their bytes") {
  LoadGossip n;
  n.sequence = 8099;
  n.is_complete = false;
  n.arrivals_per_s = {0, 12, 200};
  n.endpoint_loads = {{0, 0, 0}, {8099, 17, 4}, {77, 3, 1}, {5, 90, 90}};
  const auto back = decode_load_gossip(encode_load_gossip(n));
  REQUIRE(back);
  CHECK(back->sequence == 8099);
  CHECK_FALSE(back->is_complete);
  CHECK(back->arrivals_per_s == std::vector<double>{0, 12, 89});
  REQUIRE(back->endpoint_loads.size() == 4);
  CHECK(back->endpoint_loads[1].endpoint_tag == 8099);
  CHECK(back->endpoint_loads[2].in_flight == 3);
  CHECK(back->endpoint_loads[2].failures == 1);
  CHECK(back->endpoint_loads[3].in_flight == 17);
  CHECK(back->endpoint_loads[3].failures == 4);
}

TEST_CASE("news fit 256 bytes of printable ASCII, whatever there is to tell") {
  LoadGossip n;
  for (std::uint32_t i = 0; i < 500; ++i) n.endpoint_loads.push_back({i * 16, 5, 2});
  const std::string text = encode_load_gossip(n);
  CHECK(text.size() <= 256);
  CHECK(text.find_first_of("\"\\\n\x7f") == std::string::npos);
  REQUIRE(decode_load_gossip(text));
  CHECK(decode_load_gossip(text)->endpoint_loads.size() == 84);
}

TEST_CASE("what is torn, foreign or too long is no news") {
  const std::string whole = encode_load_gossip(holding(1, "a", 2));
  for (const std::string& bytes : {std::string(), std::string("x000"), whole.substr(0, whole.size() - 1),
                                   whole + "\x01", whole + "0", std::string("hi 7"), std::string(300, 'a')}) {
    CAPTURE(bytes);
    CHECK_FALSE(decode_load_gossip(bytes));
  }
}

TEST_CASE("hearsay: each message replaces what its sender said, and silence ends it") {
  PeerLoadTable h;
  const std::uint32_t a = mark_of("a");
  CHECK_FALSE(h.has_recent_gossip(0));
  h.record_gossip(0, 1, holding(5, "a", 3));
  h.record_gossip(0, 2, holding(9, "a", 2));
  CHECK(h.in_flight(a) == 5);
  h.record_gossip(10, 1, holding(6, "a", 1, 0, false));
  CHECK(h.in_flight(a) == 3);
  h.record_gossip(20, 1, holding(6, "a", 9));  // doubled
  h.record_gossip(20, 1, holding(4, "a", 9));  // out of order
  CHECK(h.in_flight(a) == 3);
  h.record_gossip(30, 1, holding(7, "b", 1));  // all of it: nothing at "a" any more
  CHECK(h.in_flight(a) == 2);
  h.record_gossip(1400, 1, holding(8, "b", 1));
  h.expire_silent_peers(1600);  // the second one is silent
  CHECK(h.in_flight(a) == 0);
  CHECK(h.in_flight(mark_of("b")) == 1);
  CHECK(h.has_recent_gossip(1600));
  CHECK_FALSE(h.has_recent_gossip(4000));
}

TEST_CASE("hearsay: failures fade, and a mark out of range says nothing") {
  PeerLoadTable h;
  h.record_gossip(0, 1, holding(5, "a", 0, 2));
  CHECK(h.failures(mark_of("a"), 0) == doctest::Approx(2));
  CHECK(h.failures(mark_of("a"), 2000) == doctest::Approx(1));
  LoadGossip n;
  n.endpoint_loads.push_back({LoadGossip::endpoint_tag_count, 5, 1});
  h.record_gossip(10, 2, n);
  CHECK(h.failures(LoadGossip::endpoint_tag_count, 10) == 0);
}

TEST_CASE("the draw: what others hold and saw fail counts, a server known by a message alone gets nothing") {
  CHECK(share_of_a([](LoadBalancerHarness&) {}) == doctest::Approx(0.5).epsilon(0.15));
  CHECK(share_of_a([](LoadBalancerHarness& h) { h.load_balancer.on_gossip(h.now, 1, holding(1, "a", 3)); }) <
        0.1);
  CHECK(share_of_a([](LoadBalancerHarness& h) {
          h.load_balancer.on_gossip(h.now, 1, holding(1, "a", 0, 4));
        }) < 0.2);
  CHECK(share_of_a([](LoadBalancerHarness& h) {
          h.load_balancer.on_gossip(h.now, 1, holding(1, "stranger", 3));
        }) == doctest::Approx(0.5).epsilon(0.15));
}

TEST_CASE("where all servers are heard to be full, an RPC is given up at once") {
  LoadBalancerHarness h(talking());
  h.update_endpoints({make_endpoint("a"), make_endpoint("b")});
  for (const char* s : {"a", "b"}) h.load_balancer.on_gossip(h.now, s[0], holding(1, s, 9));
  h.start_rpc();
  bool pushed = false, sent = false;
  for (const Decision& d : h.take_decisions())
    pushed |= d.action == Action::reject, sent |= d.action == Action::send_attempt;
  CHECK(pushed);
  CHECK_FALSE(sent);
}

TEST_CASE("telling: what is in hand, then changes alone, and nothing where nothing changed") {
  LoadBalancerHarness h(talking());
  h.update_endpoints({make_endpoint("a")});
  const auto told = [&](double until) {
    std::vector<LoadGossip> all;
    for (; h.now < until; h.now += 10) {
      h.load_balancer.on_timer(h.now, 2);
      for (const Decision& d : h.take_decisions())
        if (d.action == Action::send_gossip) all.push_back(d.gossip);
    }
    return all;
  };
  told(h.now + 500);
  const std::string id = h.start_rpc("vital", 5000);
  const auto sent = told(h.now + 100);
  REQUIRE(sent.size() == 1);
  REQUIRE(sent[0].endpoint_loads.size() == 1);
  CHECK(sent[0].endpoint_loads[0].endpoint_tag == mark_of("a"));
  CHECK(sent[0].endpoint_loads[0].in_flight == 1);
  h.load_balancer.on_attempt_finished(h.now, id, 0, AttemptOutcome::error, 5, true, {});
  const auto ended = told(h.now + 100);
  REQUIRE(ended.size() == 1);
  CHECK(ended[0].endpoint_loads[0].in_flight == 0);
  CHECK(ended[0].endpoint_loads[0].failures == 1);
  LoadBalancerHarness alone;
  alone.update_endpoints({make_endpoint("a")});
  alone.start_rpc();
  for (const Decision& d : alone.take_decisions()) CHECK(d.action != Action::send_gossip);
}

TEST_CASE("a tenant's surplus waits less than what lies inside its share") {
  int picks[2] = {0, 0};
  for (const int over : {0, 1})
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
      LoadBalancerConfig t = talking();
      t.tenants = {{"acme", over ? 1e-6 : 1000}};
      t.over_quota_weight = 0.05;
      LoadBalancerHarness h(t, seed);
      h.update_endpoints({make_endpoint("a")});
      LoadGossip n = holding(1, "a", 1);
      n.arrivals_per_s = {50};
      h.load_balancer.on_gossip(h.now, 1, n);
      h.load_balancer.on_rpc_arrived(h.now, {"r", "vital", h.now + 300, {}, "acme"});
      for (const Decision& d : h.take_decisions()) picks[over] += d.action == Action::send_attempt;
    }
  CHECK(picks[0] > 40);
  CHECK(picks[1] < 20);
}

TEST_CASE(
    "the first seconds after a switch: an old list leads nowhere that has left, cold servers stay bounded") {
  for (const bool heard : {false, true}) {
    CAPTURE(heard);
    int cold = 0, gone = 0, all = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      LoadBalancerHarness h(talking(), seed);
      h.now = 100000;
      // What the older process left: the list with its starts. Then the list's own word.
      h.load_balancer.update_endpoints(
          h.now, true, false,
          {make_endpoint("warm"), make_endpoint("cold", h.now - 1000), make_endpoint("left")});
      h.load_balancer.update_endpoints(h.now, false, true, {make_endpoint("left", 0, EndpointState::gone)});
      for (std::uint32_t i = 0; i < 40; ++i, h.now += 50) {
        if (heard) h.load_balancer.on_gossip(h.now, 1, holding(i + 1, "left", 0));
        h.load_balancer.on_timer(h.now, 2);
        if (i % 20 == 0) h.load_balancer.on_timer(h.now, 1);
        const std::string id = h.start_rpc();
        for (const Decision& d : h.take_decisions()) {
          if (d.action != Action::send_attempt) continue;
          ++all, cold += d.endpoint_id == "cold", gone += d.endpoint_id == "left";
          h.load_balancer.on_attempt_finished(h.now + 1, d.rpc_id, d.attempt_index, AttemptOutcome::ok, 1,
                                              true, {});
        }
        h.take_decisions();
      }
    }
    CHECK(all > 700);
    CHECK(gone == 0);
    CHECK(cold > 0);
    // Half the multiple of 3 x a warmth of 0.2 to 0.36 is a third to a half of a warm one's; the bound on
    // chance halves it.
    CHECK(cold < all / 2);
  }
}

TEST_CASE("settings of the move: read where they stand, checked, and absent as before") {
  const auto decoded = [](const std::string& more) {
    const auto j = nlohmann::json::parse(
        R"({"methods":[{"name":"read","deadline":1000,"effect":"retryable"}])" + more + "}");
    return decode_load_balancer_config(JsonFields("settings", j));
  };
  const LoadBalancerConfig plain = decoded("");
  CHECK_FALSE(plain.gossip_enabled);
  CHECK_FALSE(plain.clients_mark_retries);
  CHECK(plain.tenants.empty());
  CHECK(plain.over_quota_weight == 1);
  const LoadBalancerConfig moved =
      decoded(R"(,"parties":[{"name":"acme","allowancePerS":22}],"surplusUtility":0.05,)"
              R"("bounds":{"mayTell":true},"charges":{"peer":0.03},"callers":{"marksRetry":true})");
  REQUIRE(moved.tenants.size() == 1);
  CHECK(moved.tenants[0].name == "acme");
  CHECK(moved.tenants[0].allowance_per_ms == doctest::Approx(0.022));
  CHECK(moved.over_quota_weight == 0.05);
  CHECK(moved.gossip_enabled);
  CHECK(moved.clients_mark_retries);
  CHECK(moved.gossip_message_cost == 0.03);
  for (const char* wrong : {R"(,"parties":[{"name":"acme","allowancePerS":-1}])", R"(,"surplusUtility":2)",
                            R"(,"charges":{"peer":-0.1})", R"(,"parties":[{"allowancePerS":1}])"}) {
    CAPTURE(wrong);
    CHECK_THROWS_AS(decoded(wrong), ParseError);
  }
}

TEST_CASE("a list that an older process leaves keeps starts and kinds") {
  EndpointListUpdate r;
  r.complete = true;
  r.entries.push_back({make_endpoint("a", 5000), "127.0.0.1:1"});
  r.entries[0].endpoint.machine_type = "fast";
  const EndpointListUpdate back = parse_endpoint_list(encode_endpoint_list(r));
  REQUIRE(back.entries.size() == 1);
  CHECK(back.entries[0].endpoint.started_at_ms == 5000);
  CHECK(back.entries[0].endpoint.machine_type == "fast");
}
