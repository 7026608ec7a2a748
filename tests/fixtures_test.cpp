// Compatibility of bytes: each file in tests/fixtures was written by version 0.6.0, before its code was
// renamed. Today's encoders must give exactly these bytes and today's decoders must read them, so that
// processes of two versions understand each other and stored data stays readable. The fixtures are never
// written by the tests: one that is missing fails.
#include <doctest/doctest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <variant>
#include <vector>

#include "../src/handover/handover.h"
#include "../src/members/envelope.h"
#include "../src/net/admin.h"
#include "../src/net/company.h"
#include "../src/net/config.h"
#include "../src/net/counters.h"
#include "../src/net/discovery.h"
#include "../src/net/twin.h"
#include "../src/options/options.h"
#include "../src/peers/peers.h"
#include "host.h"

using namespace host;

namespace {

std::string fixture(const std::string& name) {
  std::ifstream in(std::string(INDIGORILL_FIXTURES) + "/" + name, std::ios::binary);
  CAPTURE(name);
  REQUIRE(in);
  std::ostringstream bytes;
  bytes << in.rdbuf();
  return bytes.str();
}

std::string hex_of(const std::string& bytes) {
  constexpr std::string_view digits = "0123456789abcdef";
  std::string text;
  for (const char c : bytes) {
    const auto value = static_cast<unsigned char>(c);
    text += digits[value >> 4];
    text += digits[value & 15];
  }
  return text;
}

// Compared as hexadecimal digits: a failure then shows which byte differs.
void check_bytes(const std::string& name, const std::string& bytes) {
  CAPTURE(name);
  CHECK(hex_of(bytes) == hex_of(fixture(name)));
}

struct datagram_case {
  std::string name;
  envelope content;
};

envelope datagram_of(envelope::kind kind) {
  envelope e;
  e.fleet = "maps";
  e.name = "tiles-1.a";
  e.address = "127.0.0.1:7001";
  e.incarnation = 1764633600123;
  e.serial = 70000;
  e.what = kind;
  return e;
}

std::vector<datagram_case> gossip_cases() {
  const std::vector<member> updates = {{member::state::alive, "tiles-2", "127.0.0.1:7002", 5},
                                       {member::state::suspect, "tiles-3", "127.0.0.1:7003", 300},
                                       {member::state::dead, "tiles-4", "127.0.0.1:7004", 70000},
                                       {member::state::left, "tiles-5", "127.0.0.1:7005", 1764633600000}};
  const std::vector<std::pair<std::string, gossip>> messages = {
      {"ping", {gossip::kind::ping, 1, "", "", updates}},
      {"ack", {gossip::kind::ack, 200, "", "", {}}},
      {"relay", {gossip::kind::relay, 4000, "tiles-2", "127.0.0.1:7002", {updates[1]}}},
      {"nack", {gossip::kind::nack, 4000, "", "", {}}},
      {"ask", {gossip::kind::ask, 70000, "tiles-3", "", {}}},
      {"page", {gossip::kind::page, 70000, "tiles-5", "", updates}}};
  std::vector<datagram_case> cases;
  for (const auto& [name, message] : messages) {
    envelope e = datagram_of(envelope::kind::gossip);
    e.talk = message;
    cases.push_back({"datagram-membership-" + name + ".bin", e});
  }
  return cases;
}

std::vector<datagram_case> lease_cases() {
  const std::vector<std::pair<std::string, lease_word>> messages = {
      {"prepare", {lease_word::kind::prepare, {7, 11}, "", 0, 0, 0}},
      {"promise", {lease_word::kind::promise, {7, 11}, "tiles-2", 99, 2500.5, 4100.1}},
      {"propose", {lease_word::kind::propose, {300, 1764633600123}, "", 0, 0, 0}},
      {"accepted", {lease_word::kind::accepted, {70000, 11}, "", 0, 0, 12000}},
      {"refused", {lease_word::kind::refused, {5000000000, 11}, "tiles-3", 100, 9999.25, 0.3}},
      {"released", {lease_word::kind::released, {8, 12}, "", 0, 0, 0}}};
  std::vector<datagram_case> cases;
  for (const auto& [name, message] : messages) {
    envelope e = datagram_of(envelope::kind::lease);
    e.vote = message;
    cases.push_back({"datagram-lease-" + name + ".bin", e});
  }
  return cases;
}

std::vector<datagram_case> quota_cases() {
  envelope request = datagram_of(envelope::kind::ask);
  request.asks = {17, 42, 41, 59999.5, {3, 0.1, 1000000}};
  std::vector<datagram_case> cases = {{"datagram-quota-request.bin", request}};
  const std::vector<std::pair<std::string, share_grant>> grants = {
      {"given", {share_grant::kind::given, 17, 42, 2000, 60000, {2.5, 0.1}, {2, 0}, ""}},
      {"not-yet", {share_grant::kind::not_yet, 17, 43, 0, 0, {}, {}, ""}},
      {"full", {share_grant::kind::full, 17, 44, 0, 0, {}, {}, ""}},
      {"not-mine", {share_grant::kind::not_mine, 17, 45, 0, 0, {}, {}, "tiles-2"}}};
  for (const auto& [name, grant] : grants) {
    envelope e = datagram_of(envelope::kind::grant);
    e.grants = grant;
    cases.push_back({"datagram-quota-grant-" + name + ".bin", e});
  }
  return cases;
}

void check_datagrams(const std::vector<datagram_case>& cases) {
  for (const datagram_case& c : cases) {
    CAPTURE(c.name);
    check_bytes(c.name, encode(c.content));
    const auto decoded = decode_envelope(fixture(c.name), c.content.fleet);
    REQUIRE(std::holds_alternative<envelope>(decoded));
    const envelope& e = std::get<envelope>(decoded);
    CHECK(e.fleet == c.content.fleet);
    CHECK(e.name == c.content.name);
    CHECK(e.address == c.content.address);
    CHECK(e.incarnation == c.content.incarnation);
    CHECK(e.serial == c.content.serial);
    CHECK(e.what == c.content.what);
    CHECK(e.talk == c.content.talk);
    CHECK(e.vote == c.content.vote);
    CHECK(e.asks == c.content.asks);
    CHECK(e.grants == c.content.grants);
    CHECK(e.told == c.content.told);
  }
}

// The digits of the text's numbers reach from the first to the last that one place holds.
news load_news(bool whole) {
  news n;
  n.serial = whole ? 8099 : 91;
  n.whole = whole;
  n.arrivals = {0, 1, 45, 89};
  n.stakes = {{0, 0, 0}, {1, 17, 4}, {8099, 3, 1}};
  return n;
}

std::string address_text(const sockaddr_in& address) {
  std::array<char, INET_ADDRSTRLEN> host_text{};
  ::inet_ntop(AF_INET, &address.sin_addr, host_text.data(), host_text.size());
  return std::string(host_text.data()) + ":" + std::to_string(ntohs(address.sin_port));
}

struct temporary_folder {
  std::string path = "/tmp/indigorill-fixtures-XXXXXX";
  temporary_folder() { REQUIRE(::mkdtemp(path.data())); }
  ~temporary_folder() { std::filesystem::remove_all(path); }
};

std::string contents_of(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  std::ostringstream bytes;
  bytes << in.rdbuf();
  return bytes.str();
}

// A UDP port that nobody has now.
sockaddr_in free_datagram_address() {
  sockaddr_in address = any_loopback();
  const descriptor fd(::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0));
  REQUIRE(::bind(fd.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0);
  return address_of(fd);
}

// Times and incarnations of this run; all else in the JSON is the same in each run.
void mask_run(nlohmann::json& status) {
  REQUIRE(status.at("incarnation").is_number_unsigned());
  status["incarnation"] = 0;
}

std::string answer_of_second_address(const std::string& request_text, int status, const std::string& text) {
  loop runs;
  std::ostringstream log_text;
  logger lines{log_text, level::error};
  counters counts;
  admin staff{runs, counts, lines, [&](const order&, const admin::answered& then) { then(status, text); }};
  descriptor listener = loopback();
  const sockaddr_in where = address_of(listener);
  staff.adopt(std::move(listener));
  const descriptor client = connect_to(where);
  std::string bytes;
  bool sent = false;
  bool closed = false;
  until(runs, [&] {
    if (!sent)
      sent = ::send(client.get(), request_text.data(), request_text.size(), MSG_NOSIGNAL) ==
             static_cast<ssize_t>(request_text.size());
    std::array<char, 4096> part;
    const ssize_t got = sent ? ::recv(client.get(), part.data(), part.size(), MSG_DONTWAIT) : -1;
    if (got > 0) bytes.append(part.data(), static_cast<std::size_t>(got));
    closed = got == 0;
    return closed;
  });
  CHECK(closed);
  return bytes;
}

}  // namespace

TEST_CASE("fixtures: datagrams of membership") { check_datagrams(gossip_cases()); }

TEST_CASE("fixtures: datagrams of the leader lease") { check_datagrams(lease_cases()); }

TEST_CASE("fixtures: datagrams of quotas") { check_datagrams(quota_cases()); }

TEST_CASE("fixtures: load gossip, alone and in its datagram") {
  for (const bool whole : {true, false}) {
    const std::string name = whole ? "load-gossip-full" : "load-gossip-changes";
    CAPTURE(name);
    const news n = load_news(whole);
    check_bytes(name + ".txt", encode_news(n));
    const auto decoded = decode_news(fixture(name + ".txt"));
    REQUIRE(decoded);
    CHECK(decoded->serial == n.serial);
    CHECK(decoded->whole == n.whole);
    CHECK(decoded->arrivals == n.arrivals);
    REQUIRE(decoded->stakes.size() == n.stakes.size());
    for (std::size_t i = 0; i < n.stakes.size(); ++i) {
      CHECK(decoded->stakes[i].server == n.stakes[i].server);
      CHECK(decoded->stakes[i].in_hand == n.stakes[i].in_hand);
      CHECK(decoded->stakes[i].failures == n.stakes[i].failures);
    }
    envelope e = datagram_of(envelope::kind::news);
    e.told = encode_news(n);
    check_datagrams({{"datagram-" + name + ".bin", e}});
  }
}

TEST_CASE("fixtures: the record that each of two processes of one sidecar leaves for the other") {
  const std::vector<std::pair<std::string, record>> records = {
      {"starting", {record::stage::starting, 1764633600123.25, 0, false}},
      {"serving", {record::stage::serving, 1764633600000, 7, true}},
      {"leaving", {record::stage::leaving, 1, 18446744073709551615u, false}}};
  for (const auto& [name, r] : records) {
    const std::string file = "hot-restart-record-" + name + ".json";
    check_bytes(file, encode(r));
    CHECK(decode_record(fixture(file)) == r);
  }
}

TEST_CASE("fixtures: the file of endpoints that were ejected by hand") {
  const bans ejected{9, {"a", "b c\"", "\xc3\xa9"}, {{"d", 1764633600123.25}, {"e", 1}}};
  check_bytes("ejections.json", encode(ejected));
  CHECK(decode_bans(fixture("ejections.json")) == ejected);
  check_bytes("ejections-none.json", encode(bans{}));
  CHECK(decode_bans(fixture("ejections-none.json")) == bans{});
}

TEST_CASE("fixtures: a process finds the ejections and the endpoint list that a former version left") {
  temporary_folder shared;
  const std::string folder = shared.path + "/indigorill-n_0_x";
  std::filesystem::create_directory(folder);
  std::ofstream(folder + "/bans.json", std::ios::binary) << fixture("ejections.json");
  std::ofstream(folder + "/list.json", std::ios::binary) << fixture("endpoint-list.json");
  loop runs;
  std::ostringstream log_text;
  logger lines{log_text, level::debug};
  twin process(runs, lines, shared.path, "n:0/x");
  CHECK(process.agreed() == decode_bans(fixture("ejections.json")));
  CHECK(process.left_list() == fixture("endpoint-list.json"));
  process.begin([] {}, [](const bans&) {});
  // Its own record stands where the other process of a former version looks for it.
  const auto own = decode_record(contents_of(folder + "/slot-0.json"));
  REQUIRE(own);
  CHECK(own->at == record::stage::starting);
  CHECK(own->bans == 9);
  process.leave_list("[]");
  CHECK(contents_of(folder + "/list.json") == "[]");
  bool changed = false;
  process.change([](bans& b) { b.out = {"z"}; }, [&](bool done) { changed = done; });
  CHECK(changed);
  CHECK(decode_bans(contents_of(folder + "/bans.json")) ==
        bans{10, {"z"}, {{"d", 1764633600123.25}, {"e", 1}}});
}

TEST_CASE("fixtures: the endpoint list that one process leaves for the next") {
  roster list;
  list.version = 1234567890123;
  list.whole = true;
  list.entries = {{{"a", "z1", 3, 1764633600123.5, standing::ready, "large"}, "127.0.0.1:8001"},
                  {{"b", "", 0, 0, standing::draining, ""}, "127.0.0.1:8002"},
                  {{"c", "z2", 1, 5, standing::gone, ""}, ""}};
  check_bytes("endpoint-list.json", encode_roster(list));
  const roster decoded = read_roster(fixture("endpoint-list.json"));
  CHECK(decoded.version == list.version);
  CHECK(decoded.whole == list.whole);
  REQUIRE(decoded.entries.size() == list.entries.size());
  for (std::size_t i = 0; i < list.entries.size(); ++i) {
    const roster::entry& expected = list.entries[i];
    const roster::entry& entry = decoded.entries[i];
    CHECK(entry.address == expected.address);
    CHECK(entry.is.id == expected.is.id);
    CHECK(entry.is.zone == expected.is.zone);
    CHECK(entry.is.cell == expected.is.cell);
    CHECK(entry.is.started == expected.is.started);
    CHECK(entry.is.state == expected.is.state);
    CHECK(entry.is.kind == expected.is.kind);
  }
}

TEST_CASE("fixtures: the text of /-/counters") {
  counters c;
  std::ostringstream zeros;
  zeros << c;
  check_bytes("counters-zero.txt", zeros.str());
  counters::count next = 1;
  for (counters::count* value : {&c.taken,
                                 &c.ok,
                                 &c.pushed_back,
                                 &c.aborted,
                                 &c.left,
                                 &c.bad_input,
                                 &c.silent,
                                 &c.out_of_room,
                                 &c.long_requests,
                                 &c.long_answers,
                                 &c.cut,
                                 &c.unheard,
                                 &c.accepted,
                                 &c.opened,
                                 &c.reused,
                                 &c.retired,
                                 &c.closed_for_room,
                                 &c.out_by_hand,
                                 &c.orders,
                                 &c.orders_refused,
                                 &c.lists,
                                 &c.list_failures,
                                 &c.malformed_lists})
    *value = next++;
  for (counters::count& value : c.picks) value = next++;
  for (counters::count& value : c.probes) value = next++;
  for (counters::count& value : c.closed_by_use) value = next++;
  std::ostringstream text;
  text << c;
  check_bytes("counters.txt", text.str());
}

TEST_CASE("fixtures: the JSON of /-/members and /-/budgets, without and with a share of quotas") {
  for (const bool divides : {false, true}) {
    company::traits with;
    with.fleet = "maps";
    with.name = "tiles-1";
    with.listen = free_datagram_address();
    with.advertised = "127.0.0.1:7900";
    with.period = 60000;  // no probe of its own within the test
    if (divides) {
      with.voters = {"tiles-1"};
      shares_traits budgets;
      budgets.budgets = {{"further_picks", 20, 2, 1000}, {"connections", 100, 0, 0}};
      budgets.most = 10;
      with.budgets = budgets;
    }
    loop runs;
    std::ostringstream log_text;
    logger lines{log_text, level::info};
    company node(runs, lines, with, 1);
    envelope e = datagram_of(envelope::kind::gossip);
    e.name = "tiles-2";
    e.address = "127.0.0.1:9";
    e.talk = gossip_cases().front().content.talk;
    const std::string bytes = encode(e);
    const descriptor sender(::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0));
    const auto send = [&](const std::string& datagram) {
      const auto heard = node.counted().heard;
      ::sendto(sender.get(), datagram.data(), datagram.size(), 0,
               reinterpret_cast<const sockaddr*>(&with.listen), sizeof with.listen);
      REQUIRE(until(runs, [&] { return node.counted().heard > heard; }));
    };
    send(bytes);
    send(bytes);     // a replay
    send("no msg");  // torn
    nlohmann::json members_status = node.as_json();
    mask_run(members_status);
    const std::string kind = divides ? "-with-quota" : "";
    check_bytes("members" + kind + ".json", members_status.dump(1) + "\n");
    check_bytes("budgets" + kind + ".json", node.budgets_as_json().dump(1) + "\n");
  }
}

TEST_CASE("fixtures: answers of the second address, head and body") {
  const std::string get_status = "GET /status HTTP/1.1\r\nHost: a\r\n\r\n";
  for (const int status : {200, 400, 404, 405, 503})
    check_bytes("admin-status-" + std::to_string(status) + ".http",
                answer_of_second_address(get_status, status, {}));
  check_bytes("admin-json.http",
              answer_of_second_address("GET /-/members HTTP/1.1\r\nHost: a\r\n\r\n", 200, "{}\n"));
  const std::vector<std::pair<std::string, std::string>> faults = {
      {"unknown-call", "GET /other HTTP/1.1\r\nHost: a\r\n\r\n"},
      {"wrong-method", "GET /maintenance/enter?host=a HTTP/1.1\r\nHost: a\r\n\r\n"},
      {"missing-host", "PUT /maintenance/exit HTTP/1.1\r\nHost: a\r\n\r\n"}};
  for (const auto& [name, text] : faults)
    check_bytes("admin-" + name + ".http", answer_of_second_address(text, 200, {}));
}

TEST_CASE("fixtures: an options' file with every key") {
  const options o = decode_options(toml::parse(fixture("options.toml")));
  CHECK(o.shown == level::debug);
  CHECK(o.form == log_form::json);
  CHECK(o.counters_every == 2500);
  CHECK(o.memory == 64 * 1024 * 1024);
  CHECK(o.descriptors == 100);
  REQUIRE(o.with_others);
  const company::traits& m = *o.with_others;
  CHECK(m.fleet == "maps");
  CHECK(address_text(m.listen) == "127.0.0.1:7900");
  CHECK(m.advertised == "127.0.0.1:7999");
  CHECK(m.seeds == std::vector<std::string>{"127.0.0.1:7901", "127.0.0.1:7902"});
  CHECK(m.period == 500);
  CHECK(m.timeout == 200);
  CHECK(m.voters == std::vector<std::string>{"tiles-1", "tiles-2", "tiles-3"});
  CHECK(m.lease == 6000);
  CHECK(m.drift == 0.02);
  REQUIRE(m.budgets);
  CHECK(m.budgets->most == 10);
  CHECK(m.budgets->share == 1500);
  CHECK(m.budgets->seat == 30000);
  CHECK(m.budgets->drift == 0.02);
  REQUIRE(m.budgets->budgets.size() == 1);
  const budget_of_all& b = m.budgets->budgets.front();
  CHECK(b.name == "further_picks");
  CHECK(b.whole == 20);
  CHECK(b.floor == 2);
  CHECK(b.window == 1000);
}

TEST_CASE("fixtures: a config file with every key") {
  const std::string path = std::string(INDIGORILL_FIXTURES) + "/config.json";
  const start s = read_start(
      [&](const char* name) { return std::string_view(name) == "LB_CONFIG" ? path.c_str() : nullptr; });
  CHECK(s.name == "tiles-1");
  CHECK(address_text(s.listen) == "127.0.0.1:7100");
  REQUIRE(s.second);
  CHECK(address_text(*s.second) == "127.0.0.1:7101");
  CHECK(address_text(s.discovery) == "127.0.0.1:7102");
  CHECK(s.discovery_host == "127.0.0.1:7102");
  CHECK(s.seed == 0x1f);
  CHECK(s.memory == 100 * 1024 * 1024);
  CHECK(s.descriptors == 500);
  CHECK(s.known.version == 7);
  CHECK(s.known.whole);
  REQUIRE(s.known.entries.size() == 1);
  CHECK(s.known.entries[0].address == "127.0.0.1:8001");
  CHECK(s.known.entries[0].is.id == "a");
  CHECK(s.known.entries[0].is.zone == "z1");
  CHECK(s.known.entries[0].is.cell == 3);
  CHECK(s.known.entries[0].is.started == 5.5);
  CHECK(s.known.entries[0].is.state == standing::draining);
  CHECK(s.known.entries[0].is.kind == "large");
  CHECK(s.with.idle == 7000);
  CHECK(s.with.connect == 350);
  CHECK(s.with.grace == 1500);
}

TEST_CASE("fixtures: the settings of a balancer with every key") {
  const nlohmann::json config = nlohmann::json::parse(fixture("config.json"));
  const terrain t = decode_settings(fields("settings", config.at("settings")));
  REQUIRE(t.methods.size() == 4);
  const method& read = t.methods[0];
  CHECK(read.name == "read");
  CHECK(read.utility == 2.5);
  CHECK(read.late_utility == 0.25);
  CHECK(read.repeats == repeatable::idempotent);
  CHECK(read.deadline == 300);
  CHECK(read.latency_target == 100);
  CHECK(read.drops_repeats == group::everywhere);
  CHECK(read.remembers == 0);
  const method& write = t.methods[1];
  CHECK(write.name == "write");
  CHECK(write.utility == 3);
  CHECK(write.deadline == 400);
  CHECK(write.latency_target == 150);
  CHECK(write.late_utility == 0);
  CHECK(write.repeats == repeatable::deduplicated);
  CHECK(write.drops_repeats == group::cell);
  CHECK(write.remembers == 60000);
  const method& send = t.methods[2];
  CHECK(send.name == "send");
  CHECK(send.utility == 1);
  CHECK(send.repeats == repeatable::non_idempotent);
  CHECK(send.latency_target == 500);
  CHECK(send.drops_repeats == group::zone);
  CHECK(t.methods[3].name == "plain");
  CHECK(t.methods[3].deadline == 600);
  CHECK(t.methods[3].drops_repeats == group::everywhere);
  CHECK(t.zone == "z1");
  CHECK(t.tick == 2);
  CHECK(t.sidecars == 12);
  CHECK(t.must_ask);
  CHECK(t.warm_keys);
  CHECK(t.most_picks == 3);
  CHECK(t.cancelling);
  CHECK(t.probing);
  CHECK(t.probes_report);
  CHECK(t.longest_retry_after == 2000);
  CHECK(t.cross_zone_price == 0.01);
  CHECK(t.probe_price == 0.02);
  CHECK(t.handshake_price == 0.03);
  CHECK(t.message_price == 0.04);
  CHECK(t.ask_within == 8000);
  CHECK(t.cold_from == 0.2);
  CHECK(t.cold_for == 20000);
  CHECK(t.cold_multiple == 3);
  CHECK(t.cold_span == 1000);
  REQUIRE(t.tenants.size() == 2);
  CHECK(t.tenants[0].name == "north");
  CHECK(t.tenants[0].allowance == 0.05);
  CHECK(t.tenants[1].name == "south");
  CHECK(t.tenants[1].allowance == 0);
  CHECK(t.surplus_utility == 0.5);
  CHECK(t.marks_repeats);
  CHECK(t.telling);
}
