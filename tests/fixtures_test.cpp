// Byte compatibility: version 0.6.0 wrote the files in tests/fixtures, before the names in its code were
// changed. The current encoders must produce exactly these bytes and the current decoders must read them, so
// that processes of two versions can communicate and stored data stays readable. The tests never write the
// fixtures; a missing fixture fails the test.
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

namespace indigorill {
namespace {

std::string fixture(const std::string& name) {
  std::ifstream in(std::string(INDIGORILL_FIXTURES) + "/" + name, std::ios::binary);
  CAPTURE(name);
  REQUIRE(in);
  std::ostringstream bytes;
  bytes << in.rdbuf();
  return bytes.str();
}

std::string to_hex(const std::string& bytes) {
  constexpr std::string_view digits = "0123456789abcdef";
  std::string text;
  for (const char c : bytes) {
    const auto value = static_cast<unsigned char>(c);
    text += digits[value >> 4];
    text += digits[value & 15];
  }
  return text;
}

// Compares hexadecimal digits, so that a failure shows which byte differs.
void check_bytes(const std::string& name, const std::string& bytes) {
  CAPTURE(name);
  CHECK(to_hex(bytes) == to_hex(fixture(name)));
}

struct DatagramCase {
  std::string name;
  Envelope content;
};

Envelope make_datagram(Envelope::Kind kind) {
  Envelope envelope;
  envelope.fleet = "maps";
  envelope.name = "tiles-1.a";
  envelope.address = "127.0.0.1:7001";
  envelope.incarnation = 1764633600123;
  envelope.sequence_number = 70000;
  envelope.kind = kind;
  return envelope;
}

std::vector<DatagramCase> membership_cases() {
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
    Envelope envelope = make_datagram(Envelope::Kind::membership);
    envelope.swim_message = message;
    cases.push_back({"datagram-membership-" + name + ".bin", envelope});
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
    Envelope envelope = make_datagram(Envelope::Kind::lease);
    envelope.lease_message = message;
    cases.push_back({"datagram-lease-" + name + ".bin", envelope});
  }
  return cases;
}

std::vector<DatagramCase> quota_cases() {
  Envelope request = make_datagram(Envelope::Kind::quota_request);
  request.quota_request = {17, 42, 41, 59999.5, {3, 0.1, 1000000}};
  std::vector<DatagramCase> cases = {{"datagram-quota-request.bin", request}};
  const std::vector<std::pair<std::string, QuotaGrant>> grants = {
      {"given", {QuotaGrant::Status::granted, 17, 42, 2000, 60000, {2.5, 0.1}, {2, 0}, ""}},
      {"not-yet", {QuotaGrant::Status::not_ready, 17, 43, 0, 0, {}, {}, ""}},
      {"full", {QuotaGrant::Status::at_capacity, 17, 44, 0, 0, {}, {}, ""}},
      {"not-mine", {QuotaGrant::Status::not_leader, 17, 45, 0, 0, {}, {}, "tiles-2"}}};
  for (const auto& [name, grant] : grants) {
    Envelope envelope = make_datagram(Envelope::Kind::quota_grant);
    envelope.quota_grant = grant;
    cases.push_back({"datagram-quota-grant-" + name + ".bin", envelope});
  }
  return cases;
}

void check_datagrams(const std::vector<DatagramCase>& cases) {
  for (const DatagramCase& datagram : cases) {
    CAPTURE(datagram.name);
    const Envelope& expected = datagram.content;
    check_bytes(datagram.name, encode(expected));
    const auto decoded = decode_envelope(fixture(datagram.name), expected.fleet);
    REQUIRE(std::holds_alternative<Envelope>(decoded));
    const Envelope& envelope = std::get<Envelope>(decoded);
    CHECK(envelope.fleet == expected.fleet);
    CHECK(envelope.name == expected.name);
    CHECK(envelope.address == expected.address);
    CHECK(envelope.incarnation == expected.incarnation);
    CHECK(envelope.sequence_number == expected.sequence_number);
    CHECK(envelope.kind == expected.kind);
    CHECK(envelope.swim_message == expected.swim_message);
    CHECK(envelope.lease_message == expected.lease_message);
    CHECK(envelope.quota_request == expected.quota_request);
    CHECK(envelope.quota_grant == expected.quota_grant);
    CHECK(envelope.load_gossip == expected.load_gossip);
  }
}

// The numbers include the lowest and the highest digit of the text, 0 and 89.
LoadGossip make_load_gossip(bool complete) {
  LoadGossip gossip;
  gossip.sequence = complete ? 8099 : 91;
  gossip.is_complete = complete;
  gossip.arrivals_per_s = {0, 1, 45, 89};
  gossip.endpoint_loads = {{0, 0, 0}, {1, 17, 4}, {8099, 3, 1}};
  return gossip;
}

std::string socket_address_text(const sockaddr_in& address) {
  std::array<char, INET_ADDRSTRLEN> host_text{};
  ::inet_ntop(AF_INET, &address.sin_addr, host_text.data(), host_text.size());
  return std::string(host_text.data()) + ":" + std::to_string(ntohs(address.sin_port));
}

struct TemporaryDirectory {
  std::string path = "/tmp/indigorill-fixtures-XXXXXX";
  TemporaryDirectory() { REQUIRE(::mkdtemp(path.data())); }
  ~TemporaryDirectory() { std::filesystem::remove_all(path); }
};

std::string read_file(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  std::ostringstream bytes;
  bytes << in.rdbuf();
  return bytes.str();
}

// Returns a loopback address with a UDP port that is not in use now.
sockaddr_in free_datagram_address() {
  sockaddr_in address = host::loopback_address();
  const FileDescriptor fd(::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0));
  REQUIRE(::bind(fd.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0);
  return host::local_address(fd);
}

// Masks the incarnation, which differs between runs; the rest of the JSON is the same in each run.
void mask_values_of_run(nlohmann::json& status) {
  REQUIRE(status.at("incarnation").is_number_unsigned());
  status["incarnation"] = 0;
}

std::string response_of_admin_server(const std::string& request_text, int status, const std::string& text) {
  EventLoop event_loop;
  Counters counters;
  AdminServer admin_server{
      event_loop, counters,
      [&](const AdminRequest&, const AdminServer::ResponseCallback& respond) { respond(status, text); }};
  FileDescriptor listener = host::listen_on_loopback();
  const sockaddr_in address = host::local_address(listener);
  admin_server.adopt_listener(std::move(listener));
  const FileDescriptor client = start_connect(address);
  std::string response;
  bool sent = false;
  bool closed = false;
  host::run_until(event_loop, [&] {
    if (!sent)
      sent = ::send(client.get(), request_text.data(), request_text.size(), MSG_NOSIGNAL) ==
             static_cast<ssize_t>(request_text.size());
    std::array<char, 4096> part;
    const ssize_t received = sent ? ::recv(client.get(), part.data(), part.size(), MSG_DONTWAIT) : -1;
    if (received > 0) response.append(part.data(), static_cast<std::size_t>(received));
    closed = received == 0;
    return closed;
  });
  CHECK(closed);
  return response;
}

}  // namespace

TEST_CASE("fixtures: membership datagrams keep their bytes") { check_datagrams(membership_cases()); }

TEST_CASE("fixtures: leader lease datagrams keep their bytes") { check_datagrams(lease_cases()); }

TEST_CASE("fixtures: quota datagrams keep their bytes") { check_datagrams(quota_cases()); }

TEST_CASE("fixtures: load gossip keeps its bytes alone and in its datagram") {
  for (const bool complete : {true, false}) {
    const std::string name = complete ? "load-gossip-full" : "load-gossip-changes";
    CAPTURE(name);
    const LoadGossip gossip = make_load_gossip(complete);
    check_bytes(name + ".txt", encode_load_gossip(gossip));
    const auto decoded = decode_load_gossip(fixture(name + ".txt"));
    REQUIRE(decoded);
    CHECK(decoded->sequence == gossip.sequence);
    CHECK(decoded->is_complete == gossip.is_complete);
    CHECK(decoded->arrivals_per_s == gossip.arrivals_per_s);
    REQUIRE(decoded->endpoint_loads.size() == gossip.endpoint_loads.size());
    for (std::size_t i = 0; i < gossip.endpoint_loads.size(); ++i) {
      CHECK(decoded->endpoint_loads[i].endpoint_tag == gossip.endpoint_loads[i].endpoint_tag);
      CHECK(decoded->endpoint_loads[i].in_flight == gossip.endpoint_loads[i].in_flight);
      CHECK(decoded->endpoint_loads[i].failures == gossip.endpoint_loads[i].failures);
    }
    Envelope envelope = make_datagram(Envelope::Kind::load_gossip);
    envelope.load_gossip = encode_load_gossip(gossip);
    check_datagrams({{"datagram-" + name + ".bin", envelope}});
  }
}

TEST_CASE("fixtures: the process records of a hot restart keep their bytes") {
  const std::vector<std::pair<std::string, ProcessRecord>> records = {
      {"starting", {ProcessRecord::ProcessState::starting, 1764633600123.25, 0, false}},
      {"serving", {ProcessRecord::ProcessState::serving, 1764633600000, 7, true}},
      {"leaving", {ProcessRecord::ProcessState::draining, 1, 18446744073709551615u, false}}};
  for (const auto& [name, record] : records) {
    const std::string file = "hot-restart-record-" + name + ".json";
    check_bytes(file, encode(record));
    CHECK(decode_process_record(fixture(file)) == record);
  }
}

TEST_CASE("fixtures: the file of manually ejected endpoints keeps its bytes") {
  const EjectionRecord ejected{9, {"a", "b c\"", "\xc3\xa9"}, {{"d", 1764633600123.25}, {"e", 1}}};
  check_bytes("ejections.json", encode(ejected));
  CHECK(decode_ejection_record(fixture("ejections.json")) == ejected);
  check_bytes("ejections-none.json", encode(EjectionRecord{}));
  CHECK(decode_ejection_record(fixture("ejections-none.json")) == EjectionRecord{});
}

TEST_CASE("fixtures: a process reads the ejections and the endpoint list of a former version") {
  TemporaryDirectory shared;
  const std::string directory = shared.path + "/indigorill-n_0_x";
  std::filesystem::create_directory(directory);
  std::ofstream(directory + "/bans.json", std::ios::binary) << fixture("ejections.json");
  std::ofstream(directory + "/list.json", std::ios::binary) << fixture("endpoint-list.json");
  EventLoop event_loop;
  std::ostringstream log_text;
  Logger logger{log_text, LogLevel::debug};
  HotRestart hot_restart(event_loop, logger, shared.path, "n:0/x");
  CHECK(hot_restart.ejections() == decode_ejection_record(fixture("ejections.json")));
  CHECK(hot_restart.read_endpoint_list() == fixture("endpoint-list.json"));
  hot_restart.start([] {}, [](const EjectionRecord&) {});
  // The record of this process is in the file where a process of a former version reads it.
  const auto own = decode_process_record(read_file(directory + "/slot-0.json"));
  REQUIRE(own);
  CHECK(own->state == ProcessRecord::ProcessState::starting);
  CHECK(own->ejection_revision == 9);
  hot_restart.write_endpoint_list("[]");
  CHECK(read_file(directory + "/list.json") == "[]");
  bool changed = false;
  hot_restart.change_ejections([](EjectionRecord& record) { record.ejected = {"z"}; },
                               [&](bool done) { changed = done; });
  CHECK(changed);
  CHECK(decode_ejection_record(read_file(directory + "/bans.json")) ==
        EjectionRecord{10, {"z"}, {{"d", 1764633600123.25}, {"e", 1}}});
}

TEST_CASE("fixtures: the stored endpoint list keeps its bytes") {
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

TEST_CASE("fixtures: the text of /-/counters keeps its bytes") {
  Counters counters;
  std::ostringstream zeros;
  zeros << counters;
  check_bytes("counters-zero.txt", zeros.str());
  Counters::Count next = 1;
  for (Counters::Count* value : {&counters.rpcs_received,           &counters.rpcs_ok,
                                 &counters.rpcs_rejected,           &counters.rpcs_failed,
                                 &counters.rpcs_abandoned,          &counters.malformed_requests,
                                 &counters.timed_out_clients,       &counters.resource_rejections,
                                 &counters.streamed_requests,       &counters.streamed_responses,
                                 &counters.truncated_responses,     &counters.undelivered_responses,
                                 &counters.connections_accepted,    &counters.connections_opened,
                                 &counters.connections_reused,      &counters.connections_retired,
                                 &counters.connections_evicted,     &counters.manually_ejected_endpoints,
                                 &counters.admin_requests,          &counters.rejected_admin_requests,
                                 &counters.endpoint_list_updates,   &counters.endpoint_poll_failures,
                                 &counters.malformed_endpoint_lists})
    *value = next++;
  for (Counters::Count& value : counters.attempts) value = next++;
  for (Counters::Count& value : counters.health_checks) value = next++;
  for (Counters::Count& value : counters.evictions_by_state) value = next++;
  counters.incomplete_responses = next++;
  counters.overdue_requests = next++;
  std::ostringstream text;
  text << counters;
  check_bytes("counters.txt", text.str());
}

TEST_CASE("fixtures: the JSON of /-/members and /-/budgets keeps its bytes without and with quotas") {
  for (const bool with_quota : {false, true}) {
    ClusterNode::Config config;
    config.fleet = "maps";
    config.name = "tiles-1";
    config.listen_address = free_datagram_address();
    config.advertised_address = "127.0.0.1:7900";
    config.probe_interval_ms = 60000;  // so long that the node sends no probe during the test
    if (with_quota) {
      config.voters = {"tiles-1"};
      QuotaConfig quota;
      quota.budgets = {{"further_picks", 20, 2, 1000}, {"connections", 100, 0, 0}};
      quota.max_holders = 10;
      config.quota = quota;
    }
    EventLoop event_loop;
    std::ostringstream log_text;
    Logger logger{log_text, LogLevel::info};
    ClusterNode node(event_loop, logger, config, 1);
    Envelope envelope = make_datagram(Envelope::Kind::membership);
    envelope.name = "tiles-2";
    envelope.address = "127.0.0.1:9";
    envelope.swim_message = membership_cases().front().content.swim_message;
    const std::string bytes = encode(envelope);
    const FileDescriptor sender(::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0));
    const auto send = [&](const std::string& datagram) {
      const auto received_before = node.counters().received;
      ::sendto(sender.get(), datagram.data(), datagram.size(), 0,
               reinterpret_cast<const sockaddr*>(&config.listen_address), sizeof config.listen_address);
      REQUIRE(host::run_until(event_loop, [&] { return node.counters().received > received_before; }));
    };
    send(bytes);
    send(bytes);     // replayed
    send("no msg");  // malformed
    nlohmann::json members_status = node.as_json();
    mask_values_of_run(members_status);
    const std::string kind = with_quota ? "-with-quota" : "";
    check_bytes("members" + kind + ".json", members_status.dump(1) + "\n");
    check_bytes("budgets" + kind + ".json", node.budgets_as_json().dump(1) + "\n");
  }
}

TEST_CASE("fixtures: the responses of the admin server keep their bytes") {
  const std::string get_status = "GET /status HTTP/1.1\r\nHost: a\r\n\r\n";
  for (const int status : {200, 400, 404, 405, 503})
    check_bytes("admin-status-" + std::to_string(status) + ".http",
                response_of_admin_server(get_status, status, {}));
  check_bytes("admin-json.http",
              response_of_admin_server("GET /-/members HTTP/1.1\r\nHost: a\r\n\r\n", 200, "{}\n"));
  const std::vector<std::pair<std::string, std::string>> malformed_requests = {
      {"unknown-call", "GET /other HTTP/1.1\r\nHost: a\r\n\r\n"},
      {"wrong-method", "GET /maintenance/enter?host=a HTTP/1.1\r\nHost: a\r\n\r\n"},
      {"missing-host", "PUT /maintenance/exit HTTP/1.1\r\nHost: a\r\n\r\n"}};
  for (const auto& [name, text] : malformed_requests)
    check_bytes("admin-" + name + ".http", response_of_admin_server(text, 200, {}));
}

TEST_CASE("fixtures: an options file with every key is decoded") {
  const Options options = decode_options(toml::parse(fixture("options.toml")));
  CHECK(options.log_level == LogLevel::debug);
  CHECK(options.log_format == LogFormat::json);
  CHECK(options.counters_interval_ms == 2500);
  CHECK(options.max_memory_bytes == 64 * 1024 * 1024);
  CHECK(options.max_descriptors == 100);
  REQUIRE(options.cluster);
  const ClusterNode::Config& cluster = *options.cluster;
  CHECK(cluster.fleet == "maps");
  CHECK(socket_address_text(cluster.listen_address) == "127.0.0.1:7900");
  CHECK(cluster.advertised_address == "127.0.0.1:7999");
  CHECK(cluster.seed_addresses == std::vector<std::string>{"127.0.0.1:7901", "127.0.0.1:7902"});
  CHECK(cluster.probe_interval_ms == 500);
  CHECK(cluster.probe_timeout_ms == 200);
  CHECK(cluster.voters == std::vector<std::string>{"tiles-1", "tiles-2", "tiles-3"});
  CHECK(cluster.lease_ms == 6000);
  CHECK(cluster.max_clock_drift == 0.02);
  REQUIRE(cluster.quota);
  CHECK(cluster.quota->max_holders == 10);
  CHECK(cluster.quota->grant_duration_ms == 1500);
  CHECK(cluster.quota->registration_duration_ms == 30000);
  CHECK(cluster.quota->max_clock_drift == 0.02);
  REQUIRE(cluster.quota->budgets.size() == 1);
  const FleetBudget& budget = cluster.quota->budgets.front();
  CHECK(budget.name == "further_picks");
  CHECK(budget.total == 20);
  CHECK(budget.guaranteed_minimum == 2);
  CHECK(budget.window_ms == 1000);
}

TEST_CASE("fixtures: a config file with every key is decoded") {
  const std::string path = std::string(INDIGORILL_FIXTURES) + "/config.json";
  const SidecarConfig config = load_sidecar_config(
      [&](const char* name) { return std::string_view(name) == "LB_CONFIG" ? path.c_str() : nullptr; });
  CHECK(config.name == "tiles-1");
  CHECK(socket_address_text(config.listen_address) == "127.0.0.1:7100");
  REQUIRE(config.admin_address);
  CHECK(socket_address_text(*config.admin_address) == "127.0.0.1:7101");
  CHECK(socket_address_text(config.discovery_address) == "127.0.0.1:7102");
  CHECK(config.discovery_host == "127.0.0.1:7102");
  CHECK(config.seed == 0x1f);
  CHECK(config.max_memory_bytes == 100 * 1024 * 1024);
  CHECK(config.max_descriptors == 500);
  CHECK(config.initial_endpoints.version == 7);
  CHECK(config.initial_endpoints.complete);
  REQUIRE(config.initial_endpoints.entries.size() == 1);
  const EndpointListUpdate::Entry& entry = config.initial_endpoints.entries.front();
  CHECK(entry.address == "127.0.0.1:8001");
  CHECK(entry.endpoint.id == "a");
  CHECK(entry.endpoint.zone == "z1");
  CHECK(entry.endpoint.cell == 3);
  CHECK(entry.endpoint.started_at_ms == 5.5);
  CHECK(entry.endpoint.state == EndpointState::draining);
  CHECK(entry.endpoint.machine_type == "large");
  CHECK(config.upstream.idle_timeout_ms == 7000);
  CHECK(config.upstream.connect_timeout_ms == 350);
  CHECK(config.upstream.drain_grace_ms == 1500);
}

TEST_CASE("fixtures: load balancer settings with every key are decoded") {
  const nlohmann::json file = nlohmann::json::parse(fixture("config.json"));
  const LoadBalancerConfig config = decode_load_balancer_config(JsonFields("settings", file.at("settings")));
  REQUIRE(config.methods.size() == 4);
  const MethodConfig& read = config.methods[0];
  CHECK(read.name == "read");
  CHECK(read.priority_weight == 2.5);
  CHECK(read.late_weight == 0.25);
  CHECK(read.retry_safety == RetrySafety::idempotent);
  CHECK(read.deadline_ms == 300);
  CHECK(read.latency_objective_ms == 100);
  CHECK(read.deduplication_scope == DeduplicationScope::global);
  CHECK(read.deduplication_window_ms == 0);
  const MethodConfig& write = config.methods[1];
  CHECK(write.name == "write");
  CHECK(write.priority_weight == 3);
  CHECK(write.deadline_ms == 400);
  CHECK(write.latency_objective_ms == 150);
  CHECK(write.late_weight == 0);
  CHECK(write.retry_safety == RetrySafety::idempotency_key);
  CHECK(write.deduplication_scope == DeduplicationScope::cell);
  CHECK(write.deduplication_window_ms == 60000);
  const MethodConfig& send = config.methods[2];
  CHECK(send.name == "send");
  CHECK(send.priority_weight == 1);
  CHECK(send.retry_safety == RetrySafety::non_idempotent);
  CHECK(send.latency_objective_ms == 500);
  CHECK(send.deduplication_scope == DeduplicationScope::zone);
  CHECK(config.methods[3].name == "plain");
  CHECK(config.methods[3].deadline_ms == 600);
  CHECK(config.methods[3].deduplication_scope == DeduplicationScope::global);
  CHECK(config.zone == "z1");
  CHECK(config.tick_ms == 2);
  CHECK(config.sidecar_count == 12);
  CHECK(config.must_poll_endpoints);
  CHECK(config.key_affinity);
  CHECK(config.max_attempts == 3);
  CHECK(config.cancellation_enabled);
  CHECK(config.probing_enabled);
  CHECK(config.probes_report_load);
  CHECK(config.max_retry_after_ms == 2000);
  CHECK(config.cross_zone_cost == 0.01);
  CHECK(config.probe_cost == 0.02);
  CHECK(config.handshake_cost == 0.03);
  CHECK(config.gossip_message_cost == 0.04);
  CHECK(config.max_poll_silence_ms == 8000);
  CHECK(config.slow_start_initial_weight == 0.2);
  CHECK(config.slow_start_duration_ms == 20000);
  CHECK(config.slow_start_overload_factor == 3);
  CHECK(config.slow_start_burst_ms == 1000);
  REQUIRE(config.tenants.size() == 2);
  CHECK(config.tenants[0].name == "north");
  CHECK(config.tenants[0].allowance_per_ms == 0.05);
  CHECK(config.tenants[1].name == "south");
  CHECK(config.tenants[1].allowance_per_ms == 0);
  CHECK(config.over_quota_weight == 0.5);
  CHECK(config.clients_mark_retries);
  CHECK(config.gossip_enabled);
}

}  // namespace indigorill
