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

#include "admin/admin_server.h"
#include "cluster/cluster_node.h"
#include "cluster/envelope.h"
#include "config/options.h"
#include "config/sidecar_config.h"
#include "discovery/discovery_client.h"
#include "hot_restart/hot_restart.h"
#include "hot_restart/hot_restart_policy.h"
#include "load_gossip/load_gossip_codec.h"
#include "metrics/counters.h"
#include "support/host.h"

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

struct DatagramCase {
  std::string name;
  Envelope content;
};

Envelope datagram_of(Envelope::Kind kind) {
  Envelope e;
  e.fleet = "maps";
  e.name = "tiles-1.a";
  e.address = "127.0.0.1:7001";
  e.incarnation = 1764633600123;
  e.sequence_number = 70000;
  e.kind = kind;
  return e;
}

std::vector<DatagramCase> gossip_cases() {
  const std::vector<Member> updates = {{Member::State::alive, "tiles-2", "127.0.0.1:7002", 5},
                                       {Member::State::suspect, "tiles-3", "127.0.0.1:7003", 300},
                                       {Member::State::dead, "tiles-4", "127.0.0.1:7004", 70000},
                                       {Member::State::left, "tiles-5", "127.0.0.1:7005", 1764633600000}};
  const std::vector<std::pair<std::string, SwimMessage>> messages = {
      {"ping", {SwimMessage::Kind::ping, 1, "", "", updates}},
      {"ack", {SwimMessage::Kind::ack, 200, "", "", {}}},
      {"relay", {SwimMessage::Kind::ping_request, 4000, "tiles-2", "127.0.0.1:7002", {updates[1]}}},
      {"nack", {SwimMessage::Kind::nack, 4000, "", "", {}}},
      {"ask", {SwimMessage::Kind::view_request, 70000, "tiles-3", "", {}}},
      {"page", {SwimMessage::Kind::view_page, 70000, "tiles-5", "", updates}}};
  std::vector<DatagramCase> cases;
  for (const auto& [name, message] : messages) {
    Envelope e = datagram_of(Envelope::Kind::membership);
    e.swim_message = message;
    cases.push_back({"datagram-membership-" + name + ".bin", e});
  }
  return cases;
}

std::vector<DatagramCase> lease_cases() {
  const std::vector<std::pair<std::string, LeaseMessage>> messages = {
      {"prepare", {LeaseMessage::Type::prepare, {7, 11}, "", 0, 0, 0}},
      {"promise", {LeaseMessage::Type::promise, {7, 11}, "tiles-2", 99, 2500.5, 4100.1}},
      {"propose", {LeaseMessage::Type::propose, {300, 1764633600123}, "", 0, 0, 0}},
      {"accepted", {LeaseMessage::Type::accepted, {70000, 11}, "", 0, 0, 12000}},
      {"refused", {LeaseMessage::Type::rejected, {5000000000, 11}, "tiles-3", 100, 9999.25, 0.3}},
      {"released", {LeaseMessage::Type::released, {8, 12}, "", 0, 0, 0}}};
  std::vector<DatagramCase> cases;
  for (const auto& [name, message] : messages) {
    Envelope e = datagram_of(Envelope::Kind::lease);
    e.lease_message = message;
    cases.push_back({"datagram-lease-" + name + ".bin", e});
  }
  return cases;
}

std::vector<DatagramCase> quota_cases() {
  Envelope request = datagram_of(Envelope::Kind::quota_request);
  request.quota_request = {17, 42, 41, 59999.5, {3, 0.1, 1000000}};
  std::vector<DatagramCase> cases = {{"datagram-quota-request.bin", request}};
  const std::vector<std::pair<std::string, QuotaGrant>> grants = {
      {"given", {QuotaGrant::Status::granted, 17, 42, 2000, 60000, {2.5, 0.1}, {2, 0}, ""}},
      {"not-yet", {QuotaGrant::Status::not_ready, 17, 43, 0, 0, {}, {}, ""}},
      {"full", {QuotaGrant::Status::at_capacity, 17, 44, 0, 0, {}, {}, ""}},
      {"not-mine", {QuotaGrant::Status::not_leader, 17, 45, 0, 0, {}, {}, "tiles-2"}}};
  for (const auto& [name, grant] : grants) {
    Envelope e = datagram_of(Envelope::Kind::quota_grant);
    e.quota_grant = grant;
    cases.push_back({"datagram-quota-grant-" + name + ".bin", e});
  }
  return cases;
}

void check_datagrams(const std::vector<DatagramCase>& cases) {
  for (const DatagramCase& c : cases) {
    CAPTURE(c.name);
    check_bytes(c.name, encode(c.content));
    const auto decoded = decode_envelope(fixture(c.name), c.content.fleet);
    REQUIRE(std::holds_alternative<Envelope>(decoded));
    const Envelope& e = std::get<Envelope>(decoded);
    CHECK(e.fleet == c.content.fleet);
    CHECK(e.name == c.content.name);
    CHECK(e.address == c.content.address);
    CHECK(e.incarnation == c.content.incarnation);
    CHECK(e.sequence_number == c.content.sequence_number);
    CHECK(e.kind == c.content.kind);
    CHECK(e.swim_message == c.content.swim_message);
    CHECK(e.lease_message == c.content.lease_message);
    CHECK(e.quota_request == c.content.quota_request);
    CHECK(e.quota_grant == c.content.quota_grant);
    CHECK(e.load_gossip == c.content.load_gossip);
  }
}

// The digits of the text's numbers reach from the first to the last that one place holds.
LoadGossip load_news(bool whole) {
  LoadGossip n;
  n.sequence = whole ? 8099 : 91;
  n.is_complete = whole;
  n.arrivals_per_s = {0, 1, 45, 89};
  n.endpoint_loads = {{0, 0, 0}, {1, 17, 4}, {8099, 3, 1}};
  return n;
}

std::string socket_address_text(const sockaddr_in& address) {
  std::array<char, INET_ADDRSTRLEN> host_text{};
  ::inet_ntop(AF_INET, &address.sin_addr, host_text.data(), host_text.size());
  return std::string(host_text.data()) + ":" + std::to_string(ntohs(address.sin_port));
}

struct TemporaryFolder {
  std::string path = "/tmp/indigorill-fixtures-XXXXXX";
  TemporaryFolder() { REQUIRE(::mkdtemp(path.data())); }
  ~TemporaryFolder() { std::filesystem::remove_all(path); }
};

std::string contents_of(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  std::ostringstream bytes;
  bytes << in.rdbuf();
  return bytes.str();
}

// A UDP port that nobody has now.
sockaddr_in free_datagram_address() {
  sockaddr_in address = loopback_address();
  const FileDescriptor fd(::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0));
  REQUIRE(::bind(fd.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0);
  return local_address(fd);
}

// Times and incarnations of this run; all else in the JSON is the same in each run.
void mask_run(nlohmann::json& status) {
  REQUIRE(status.at("incarnation").is_number_unsigned());
  status["incarnation"] = 0;
}

std::string answer_of_second_address(const std::string& request_text, int status, const std::string& text) {
  EventLoop runs;
  Counters counts;
  AdminServer staff{runs, counts, [&](const AdminRequest&, const AdminServer::ResponseCallback& then) {
                      then(status, text);
                    }};
  FileDescriptor listener = listen_on_loopback();
  const sockaddr_in where = local_address(listener);
  staff.adopt_listener(std::move(listener));
  const FileDescriptor client = start_connect(where);
  std::string bytes;
  bool sent = false;
  bool closed = false;
  run_until(runs, [&] {
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
    const LoadGossip n = load_news(whole);
    check_bytes(name + ".txt", encode_load_gossip(n));
    const auto decoded = decode_load_gossip(fixture(name + ".txt"));
    REQUIRE(decoded);
    CHECK(decoded->sequence == n.sequence);
    CHECK(decoded->is_complete == n.is_complete);
    CHECK(decoded->arrivals_per_s == n.arrivals_per_s);
    REQUIRE(decoded->endpoint_loads.size() == n.endpoint_loads.size());
    for (std::size_t i = 0; i < n.endpoint_loads.size(); ++i) {
      CHECK(decoded->endpoint_loads[i].endpoint_tag == n.endpoint_loads[i].endpoint_tag);
      CHECK(decoded->endpoint_loads[i].in_flight == n.endpoint_loads[i].in_flight);
      CHECK(decoded->endpoint_loads[i].failures == n.endpoint_loads[i].failures);
    }
    Envelope e = datagram_of(Envelope::Kind::load_gossip);
    e.load_gossip = encode_load_gossip(n);
    check_datagrams({{"datagram-" + name + ".bin", e}});
  }
}

TEST_CASE("fixtures: the record that each of two processes of one sidecar leaves for the other") {
  const std::vector<std::pair<std::string, ProcessRecord>> records = {
      {"starting", {ProcessRecord::ProcessState::starting, 1764633600123.25, 0, false}},
      {"serving", {ProcessRecord::ProcessState::serving, 1764633600000, 7, true}},
      {"leaving", {ProcessRecord::ProcessState::draining, 1, 18446744073709551615u, false}}};
  for (const auto& [name, r] : records) {
    const std::string file = "hot-restart-record-" + name + ".json";
    check_bytes(file, encode(r));
    CHECK(decode_process_record(fixture(file)) == r);
  }
}

TEST_CASE("fixtures: the file of endpoints that were ejected by hand") {
  const EjectionRecord ejected{9, {"a", "b c\"", "\xc3\xa9"}, {{"d", 1764633600123.25}, {"e", 1}}};
  check_bytes("ejections.json", encode(ejected));
  CHECK(decode_ejection_record(fixture("ejections.json")) == ejected);
  check_bytes("ejections-none.json", encode(EjectionRecord{}));
  CHECK(decode_ejection_record(fixture("ejections-none.json")) == EjectionRecord{});
}

TEST_CASE("fixtures: a process finds the ejections and the endpoint list that a former version left") {
  TemporaryFolder shared;
  const std::string folder = shared.path + "/indigorill-n_0_x";
  std::filesystem::create_directory(folder);
  std::ofstream(folder + "/bans.json", std::ios::binary) << fixture("ejections.json");
  std::ofstream(folder + "/list.json", std::ios::binary) << fixture("endpoint-list.json");
  EventLoop runs;
  std::ostringstream log_text;
  Logger lines{log_text, LogLevel::debug};
  HotRestart process(runs, lines, shared.path, "n:0/x");
  CHECK(process.ejections() == decode_ejection_record(fixture("ejections.json")));
  CHECK(process.read_endpoint_list() == fixture("endpoint-list.json"));
  process.start([] {}, [](const EjectionRecord&) {});
  // Its own record stands where the other process of a former version looks for it.
  const auto own = decode_process_record(contents_of(folder + "/slot-0.json"));
  REQUIRE(own);
  CHECK(own->state == ProcessRecord::ProcessState::starting);
  CHECK(own->ejection_revision == 9);
  process.write_endpoint_list("[]");
  CHECK(contents_of(folder + "/list.json") == "[]");
  bool changed = false;
  process.change_ejections([](EjectionRecord& b) { b.ejected = {"z"}; }, [&](bool done) { changed = done; });
  CHECK(changed);
  CHECK(decode_ejection_record(contents_of(folder + "/bans.json")) ==
        EjectionRecord{10, {"z"}, {{"d", 1764633600123.25}, {"e", 1}}});
}

TEST_CASE("fixtures: the endpoint list that one process leaves for the next") {
  EndpointListUpdate list;
  list.version = 1234567890123;
  list.complete = true;
  list.entries = {{{"a", "z1", 3, 1764633600123.5, EndpointState::ready, "large"}, "127.0.0.1:8001"},
                  {{"b", "", 0, 0, EndpointState::draining, ""}, "127.0.0.1:8002"},
                  {{"c", "z2", 1, 5, EndpointState::gone, ""}, ""}};
  check_bytes("endpoint-list.json", encode_endpoint_list(list));
  const EndpointListUpdate decoded = parse_endpoint_list(fixture("endpoint-list.json"));
  CHECK(decoded.version == list.version);
  CHECK(decoded.complete == list.complete);
  REQUIRE(decoded.entries.size() == list.entries.size());
  for (std::size_t i = 0; i < list.entries.size(); ++i) {
    const EndpointListUpdate::Entry& expected = list.entries[i];
    const EndpointListUpdate::Entry& entry = decoded.entries[i];
    CHECK(entry.address == expected.address);
    CHECK(entry.endpoint.id == expected.endpoint.id);
    CHECK(entry.endpoint.zone == expected.endpoint.zone);
    CHECK(entry.endpoint.cell == expected.endpoint.cell);
    CHECK(entry.endpoint.started_at_ms == expected.endpoint.started_at_ms);
    CHECK(entry.endpoint.state == expected.endpoint.state);
    CHECK(entry.endpoint.machine_type == expected.endpoint.machine_type);
  }
}

TEST_CASE("fixtures: the text of /-/counters") {
  Counters c;
  std::ostringstream zeros;
  zeros << c;
  check_bytes("counters-zero.txt", zeros.str());
  Counters::Count next = 1;
  for (Counters::Count* value : {&c.rpcs_received,           &c.rpcs_ok,
                                 &c.rpcs_rejected,           &c.rpcs_failed,
                                 &c.rpcs_abandoned,          &c.malformed_requests,
                                 &c.timed_out_clients,       &c.resource_rejections,
                                 &c.streamed_requests,       &c.streamed_responses,
                                 &c.truncated_responses,     &c.undelivered_responses,
                                 &c.connections_accepted,    &c.connections_opened,
                                 &c.connections_reused,      &c.connections_retired,
                                 &c.connections_evicted,     &c.manually_ejected_endpoints,
                                 &c.admin_requests,          &c.rejected_admin_requests,
                                 &c.endpoint_list_updates,   &c.endpoint_poll_failures,
                                 &c.malformed_endpoint_lists})
    *value = next++;
  for (Counters::Count& value : c.attempts) value = next++;
  for (Counters::Count& value : c.health_checks) value = next++;
  for (Counters::Count& value : c.evictions_by_state) value = next++;
  std::ostringstream text;
  text << c;
  check_bytes("counters.txt", text.str());
}

TEST_CASE("fixtures: the JSON of /-/members and /-/budgets, without and with a share of quotas") {
  for (const bool divides : {false, true}) {
    ClusterNode::Config with;
    with.fleet = "maps";
    with.name = "tiles-1";
    with.listen_address = free_datagram_address();
    with.advertised_address = "127.0.0.1:7900";
    with.probe_interval_ms = 60000;  // no probe of its own within the test
    if (divides) {
      with.voters = {"tiles-1"};
      QuotaConfig budgets;
      budgets.budgets = {{"further_picks", 20, 2, 1000}, {"connections", 100, 0, 0}};
      budgets.max_holders = 10;
      with.quota = budgets;
    }
    EventLoop runs;
    std::ostringstream log_text;
    Logger lines{log_text, LogLevel::info};
    ClusterNode node(runs, lines, with, 1);
    Envelope e = datagram_of(Envelope::Kind::membership);
    e.name = "tiles-2";
    e.address = "127.0.0.1:9";
    e.swim_message = gossip_cases().front().content.swim_message;
    const std::string bytes = encode(e);
    const FileDescriptor sender(::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0));
    const auto send = [&](const std::string& datagram) {
      const auto heard = node.counters().received;
      ::sendto(sender.get(), datagram.data(), datagram.size(), 0,
               reinterpret_cast<const sockaddr*>(&with.listen_address), sizeof with.listen_address);
      REQUIRE(run_until(runs, [&] { return node.counters().received > heard; }));
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
  const Options o = decode_options(toml::parse(fixture("options.toml")));
  CHECK(o.log_level == LogLevel::debug);
  CHECK(o.log_format == LogFormat::json);
  CHECK(o.counters_interval_ms == 2500);
  CHECK(o.max_memory_bytes == 64 * 1024 * 1024);
  CHECK(o.max_descriptors == 100);
  REQUIRE(o.cluster);
  const ClusterNode::Config& m = *o.cluster;
  CHECK(m.fleet == "maps");
  CHECK(socket_address_text(m.listen_address) == "127.0.0.1:7900");
  CHECK(m.advertised_address == "127.0.0.1:7999");
  CHECK(m.seed_addresses == std::vector<std::string>{"127.0.0.1:7901", "127.0.0.1:7902"});
  CHECK(m.probe_interval_ms == 500);
  CHECK(m.probe_timeout_ms == 200);
  CHECK(m.voters == std::vector<std::string>{"tiles-1", "tiles-2", "tiles-3"});
  CHECK(m.lease_ms == 6000);
  CHECK(m.max_clock_drift == 0.02);
  REQUIRE(m.quota);
  CHECK(m.quota->max_holders == 10);
  CHECK(m.quota->grant_duration_ms == 1500);
  CHECK(m.quota->registration_duration_ms == 30000);
  CHECK(m.quota->max_clock_drift == 0.02);
  REQUIRE(m.quota->budgets.size() == 1);
  const FleetBudget& b = m.quota->budgets.front();
  CHECK(b.name == "further_picks");
  CHECK(b.total == 20);
  CHECK(b.guaranteed_minimum == 2);
  CHECK(b.window_ms == 1000);
}

TEST_CASE("fixtures: a config file with every key") {
  const std::string path = std::string(INDIGORILL_FIXTURES) + "/config.json";
  const SidecarConfig s = load_sidecar_config(
      [&](const char* name) { return std::string_view(name) == "LB_CONFIG" ? path.c_str() : nullptr; });
  CHECK(s.name == "tiles-1");
  CHECK(socket_address_text(s.listen_address) == "127.0.0.1:7100");
  REQUIRE(s.admin_address);
  CHECK(socket_address_text(*s.admin_address) == "127.0.0.1:7101");
  CHECK(socket_address_text(s.discovery_address) == "127.0.0.1:7102");
  CHECK(s.discovery_host == "127.0.0.1:7102");
  CHECK(s.seed == 0x1f);
  CHECK(s.max_memory_bytes == 100 * 1024 * 1024);
  CHECK(s.max_descriptors == 500);
  CHECK(s.initial_endpoints.version == 7);
  CHECK(s.initial_endpoints.complete);
  REQUIRE(s.initial_endpoints.entries.size() == 1);
  CHECK(s.initial_endpoints.entries[0].address == "127.0.0.1:8001");
  CHECK(s.initial_endpoints.entries[0].endpoint.id == "a");
  CHECK(s.initial_endpoints.entries[0].endpoint.zone == "z1");
  CHECK(s.initial_endpoints.entries[0].endpoint.cell == 3);
  CHECK(s.initial_endpoints.entries[0].endpoint.started_at_ms == 5.5);
  CHECK(s.initial_endpoints.entries[0].endpoint.state == EndpointState::draining);
  CHECK(s.initial_endpoints.entries[0].endpoint.machine_type == "large");
  CHECK(s.upstream.idle_timeout_ms == 7000);
  CHECK(s.upstream.connect_timeout_ms == 350);
  CHECK(s.upstream.drain_grace_ms == 1500);
}

TEST_CASE("fixtures: the settings of a balancer with every key") {
  const nlohmann::json config = nlohmann::json::parse(fixture("config.json"));
  const LoadBalancerConfig t = decode_load_balancer_config(JsonFields("settings", config.at("settings")));
  REQUIRE(t.methods.size() == 4);
  const MethodConfig& read = t.methods[0];
  CHECK(read.name == "read");
  CHECK(read.priority_weight == 2.5);
  CHECK(read.late_weight == 0.25);
  CHECK(read.retry_safety == RetrySafety::idempotent);
  CHECK(read.deadline_ms == 300);
  CHECK(read.latency_objective_ms == 100);
  CHECK(read.deduplication_scope == DeduplicationScope::global);
  CHECK(read.deduplication_window_ms == 0);
  const MethodConfig& write = t.methods[1];
  CHECK(write.name == "write");
  CHECK(write.priority_weight == 3);
  CHECK(write.deadline_ms == 400);
  CHECK(write.latency_objective_ms == 150);
  CHECK(write.late_weight == 0);
  CHECK(write.retry_safety == RetrySafety::idempotency_key);
  CHECK(write.deduplication_scope == DeduplicationScope::cell);
  CHECK(write.deduplication_window_ms == 60000);
  const MethodConfig& send = t.methods[2];
  CHECK(send.name == "send");
  CHECK(send.priority_weight == 1);
  CHECK(send.retry_safety == RetrySafety::non_idempotent);
  CHECK(send.latency_objective_ms == 500);
  CHECK(send.deduplication_scope == DeduplicationScope::zone);
  CHECK(t.methods[3].name == "plain");
  CHECK(t.methods[3].deadline_ms == 600);
  CHECK(t.methods[3].deduplication_scope == DeduplicationScope::global);
  CHECK(t.zone == "z1");
  CHECK(t.tick_ms == 2);
  CHECK(t.sidecar_count == 12);
  CHECK(t.must_poll_endpoints);
  CHECK(t.key_affinity);
  CHECK(t.max_attempts == 3);
  CHECK(t.cancellation_enabled);
  CHECK(t.probing_enabled);
  CHECK(t.probes_report_load);
  CHECK(t.max_retry_after_ms == 2000);
  CHECK(t.cross_zone_cost == 0.01);
  CHECK(t.probe_cost == 0.02);
  CHECK(t.handshake_cost == 0.03);
  CHECK(t.gossip_message_cost == 0.04);
  CHECK(t.max_poll_silence_ms == 8000);
  CHECK(t.slow_start_initial_weight == 0.2);
  CHECK(t.slow_start_duration_ms == 20000);
  CHECK(t.slow_start_overload_factor == 3);
  CHECK(t.slow_start_burst_ms == 1000);
  REQUIRE(t.tenants.size() == 2);
  CHECK(t.tenants[0].name == "north");
  CHECK(t.tenants[0].allowance_per_ms == 0.05);
  CHECK(t.tenants[1].name == "south");
  CHECK(t.tenants[1].allowance_per_ms == 0);
  CHECK(t.over_quota_weight == 0.5);
  CHECK(t.clients_mark_retries);
  CHECK(t.gossip_enabled);
}
