/// \file
/// Membership, the leader lease and quotas in a fleet of sidecar processes, with faults between them. Each
/// check waits a bounded time for the status that the processes report.
#include <doctest/doctest.h>

#include <csignal>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "cluster/envelope.h"
#include "load/load_test_bed.h"
#include "load/loopback.h"
#include "load/scenario_runner.h"
#include "load/sidecar_processes.h"

namespace {

using indigorill::encode;
using indigorill::Envelope;
using indigorill::EventLoop;
using indigorill::load_generator::DatagramProxy;
using indigorill::load_generator::format_address;
using indigorill::load_generator::GossipOptions;
using indigorill::load_generator::LoadRunConfig;
using indigorill::load_generator::LoadRunResult;
using indigorill::load_generator::make_sidecar_config;
using indigorill::load_generator::reserve_port;
using indigorill::load_generator::SidecarProcess;
using indigorill::load_generator::SidecarProcesses;
namespace emulator = indigorill::emulator;

// Far longer than needed, so that load on the machine does not change the result.
constexpr double max_wait_ms = 60000;

constexpr std::string_view minimal_scenario = R"(seconds = 1
sidecars = 1
[[server]]
count = 1
[load]
rate = 1
[[method]]
name = "read"
work_ms = 1
latency_target_ms = 100
deadline_ms = 500
)";

GossipOptions membership_options(const DatagramProxy::NetworkConditions& conditions = {}) {
  GossipOptions options;
  options.cluster_name = "crew";
  options.probe_interval_ms = 200;
  options.probe_timeout_ms = 60;
  options.seed_count = 2;
  options.conditions = conditions;
  return options;
}

GossipOptions election_options(int voter_count) {
  GossipOptions options = membership_options();
  options.voter_count = voter_count;
  options.lease_ms = 1500;
  return options;
}

GossipOptions quota_options(int max_quota_holders) {
  GossipOptions options = election_options(3);
  options.retries_per_second = 40;
  options.guaranteed_minimum = 2;
  options.max_quota_holders = max_quota_holders;
  options.quota_refresh_ms = 400;
  options.registration_lease_ms = 2000;
  return options;
}

/// Sidecar processes that reach each other through a proxy and are queried at their admin addresses. The
/// constructor waits until all of them are ready.
class ProcessCluster {
 public:
  explicit ProcessCluster(std::size_t size, const GossipOptions& options = membership_options()) {
    for (std::size_t i = 0; i < size; ++i) addresses_.push_back(reserve_port());
    const auto config = [this](std::size_t i) {
      return make_sidecar_config(scenario_, i, format_address(addresses_[i]), format_address(reserve_port()),
                                 R"({"generation":0,"instances":[]})", 1);
    };
    processes_ =
        std::make_unique<SidecarProcesses>(event_loop_, INDIGORILL_SIDECAR, addresses_, config, options, 1);
    for (std::size_t i = 0; i < size; ++i) processes_->start(i);
    for (std::size_t i = 0; i < size; ++i) REQUIRE_MESSAGE(wait_until_ready(i), process(i).last_line());
  }

  std::size_t size() const { return processes_->size(); }
  SidecarProcess& process(std::size_t i) { return processes_->process(i); }
  DatagramProxy& proxy() { return processes_->datagram_proxy(); }
  void run_for(double duration_ms) { processes_->run_for(duration_ms); }
  bool wait_until(const std::function<bool()>& condition) {
    return processes_->wait_until(condition, max_wait_ms);
  }
  /// Waits until the sidecar is ready. Returns false if it exits before or the time runs out.
  bool wait_until_ready(std::size_t i) { return processes_->wait_until_ready(i, max_wait_ms); }
  bool restart(std::size_t i) {
    processes_->start(i);
    return wait_until_ready(i);
  }

  nlohmann::json members_status(std::size_t i) { return processes_->admin_query(i, "/-/members"); }
  nlohmann::json lease_status(std::size_t i) { return members_status(i).at("right"); }
  nlohmann::json quota_status(std::size_t i) { return processes_->admin_query(i, "/-/budgets"); }

  /// The state in which the observer sees another sidecar: "alive", "suspect", "dead", "left"; empty if
  /// unknown.
  std::string state_seen_by(std::size_t observer, std::size_t i) {
    return processes_->membership_view(observer, i);
  }
  bool all_see(std::size_t i, const std::string& state) {
    for (std::size_t observer = 0; observer < size(); ++observer) {
      if (observer != i && state_seen_by(observer, i) != state) return false;
    }
    return true;
  }
  /// Waits until each sidecar sees all others as alive. Returns false if the time runs out.
  bool wait_until_converged() {
    return wait_until([this] {
      for (std::size_t i = 0; i < size(); ++i) {
        if (!all_see(i, "alive")) return false;
      }
      return true;
    });
  }

 private:
  EventLoop event_loop_;
  emulator::Scenario scenario_ = emulator::decode_scenario(toml::parse(minimal_scenario));
  std::vector<sockaddr_in> addresses_;
  std::unique_ptr<SidecarProcesses> processes_;
};

}  // namespace

TEST_CASE("processes: five sidecars join through two seeds and all see a death and a restart and a leave") {
  ProcessCluster cluster(5);
  REQUIRE(cluster.wait_until_converged());
  cluster.process(3).kill_and_wait();
  CHECK(cluster.wait_until([&] { return cluster.all_see(3, "dead"); }));
  REQUIRE(cluster.restart(3));
  CHECK(cluster.wait_until_converged());
  cluster.process(4).send_signal(SIGTERM);
  CHECK(cluster.wait_until([&] { return cluster.process(4).has_exited(); }));
  CHECK(cluster.wait_until([&] { return cluster.all_see(4, "left"); }));
}

TEST_CASE(
    "processes: all sidecars join despite loss and duplicates and reordering; forged and replayed datagrams "
    "are dropped") {
  DatagramProxy::NetworkConditions conditions;
  conditions.loss = 0.1;
  conditions.duplicated = 0.2;
  conditions.delay_ms = 1;
  conditions.jitter_ms = 20;
  conditions.late = 0.02;
  conditions.late_by_ms = 200;
  ProcessCluster cluster(4, membership_options(conditions));
  REQUIRE(cluster.wait_until_converged());
  REQUIRE(cluster.wait_until([&] { return cluster.proxy().recent_datagrams_to(1).size() > 8; }));
  const std::vector<std::string> recorded = cluster.proxy().recent_datagrams_to(1);
  cluster.run_for(300);
  for (const std::string& bytes : recorded) cluster.proxy().inject(1, bytes);
  cluster.proxy().inject(1, "what is this?");
  cluster.proxy().inject(1, std::string(1500, 'x'));
  Envelope other_fleet_envelope;
  other_fleet_envelope.fleet = "another";
  other_fleet_envelope.name = "n0";
  other_fleet_envelope.address = "127.0.0.1:9";
  other_fleet_envelope.incarnation = 1;
  other_fleet_envelope.sequence_number = 1;
  cluster.proxy().inject(1, encode(other_fleet_envelope));
  const auto dropped = [&](const char* reason) {
    const auto status = cluster.members_status(1);
    return status.is_object() ? status.at("datagrams").at("dropped").at(reason).get<int>() : 0;
  };
  CHECK(cluster.wait_until([&] {
    return dropped("doubled") + dropped("late") >= 3 && dropped("torn") == 1 && dropped("too_long") == 1 &&
           dropped("foreign") == 1;
  }));
}

TEST_CASE(
    "processes: a sidecar stopped for long is declared dead and after it resumes all see each other as "
    "alive") {
  ProcessCluster cluster(4);
  REQUIRE(cluster.wait_until_converged());
  cluster.process(2).send_signal(SIGSTOP);
  CHECK(cluster.wait_until([&] { return cluster.all_see(2, "dead"); }));
  cluster.process(2).send_signal(SIGCONT);
  CHECK(cluster.wait_until_converged());
  CHECK(cluster.members_status(2).at("probes").at("slept").get<int>() >= 1);
}

TEST_CASE("processes: two sides of a healed partition reconnect; one broken link does not lead to a death") {
  ProcessCluster cluster(6);
  REQUIRE(cluster.wait_until_converged());
  const auto set_partitioned = [&](bool is_partitioned) {
    for (std::size_t a = 0; a < 6; ++a) {
      for (std::size_t b = 0; b < 6; ++b) {
        if ((a < 3) != (b < 3)) cluster.proxy().set_partitioned(a, b, is_partitioned);
      }
    }
  };
  set_partitioned(true);
  CHECK(cluster.wait_until(
      [&] { return cluster.state_seen_by(0, 5) == "dead" && cluster.state_seen_by(5, 0) == "dead"; }));
  set_partitioned(false);
  CHECK(cluster.wait_until_converged());
  // Pings and replies from sidecar 0 to sidecar 1 are lost; other sidecars probe on behalf of both.
  cluster.proxy().set_partitioned(0, 1, true);
  cluster.run_for(5000);
  CHECK(cluster.state_seen_by(1, 0) != "dead");
  CHECK(cluster.state_seen_by(0, 1) != "dead");
}

namespace {

constexpr int no_leader = -1;
constexpr int several_leaders = -2;

/// Index of the sidecar that reports that it holds the lease, or no_leader or several_leaders. The sidecars
/// are queried one after another, not at the same time.
int current_leader(ProcessCluster& cluster) {
  int leader = no_leader;
  for (std::size_t i = 0; i < cluster.size(); ++i) {
    const auto status = cluster.members_status(i);
    if (!status.is_object() || status.at("right").at("holds") != true) continue;
    leader = leader == no_leader ? static_cast<int>(i) : several_leaders;
  }
  return leader;
}

/// Waits for a single leader other than `previous`, and fails the test if there is none.
std::size_t wait_for_leader(ProcessCluster& cluster, int previous = no_leader) {
  int leader = no_leader;
  REQUIRE(cluster.wait_until([&] {
    leader = current_leader(cluster);
    return leader >= 0 && leader != previous;
  }));
  return static_cast<std::size_t>(leader);
}

std::size_t wait_for_leader_after(ProcessCluster& cluster, std::size_t previous) {
  return wait_for_leader(cluster, static_cast<int>(previous));
}

}  // namespace

TEST_CASE(
    "processes: one leader is elected and another one after it is stopped or killed or isolated or "
    "terminated") {
  ProcessCluster cluster(5, election_options(3));
  std::size_t leader = wait_for_leader(cluster);
  const std::string leader_name = "n" + std::to_string(leader);
  CHECK(cluster.wait_until([&] {
    for (std::size_t i = 0; i < 3; ++i) {
      if (cluster.lease_status(i).at("holder") != leader_name) return false;
    }
    return true;
  }));

  std::size_t previous = leader;
  cluster.process(previous).send_signal(SIGSTOP);
  leader = wait_for_leader_after(cluster, previous);
  cluster.process(previous).send_signal(SIGCONT);
  // It was stopped for longer than its lease, so already its first report says that it does not hold the
  // lease.
  CHECK(cluster.lease_status(previous).at("holds") == false);

  previous = leader;
  cluster.process(previous).kill_and_wait();
  wait_for_leader_after(cluster, previous);
  REQUIRE(cluster.restart(previous));
  CHECK(cluster.lease_status(previous).at("holds") == false);
  // It abstains until every lease that it may have accepted before its restart has ended.
  CHECK(cluster.wait_until([&] { return cluster.lease_status(previous).at("abstains") == false; }));
  REQUIRE(cluster.wait_until_converged());

  previous = wait_for_leader(cluster);
  for (std::size_t i = 0; i < cluster.size(); ++i) {
    if (i == previous) continue;
    cluster.proxy().set_partitioned(previous, i, true);
    cluster.proxy().set_partitioned(i, previous, true);
  }
  wait_for_leader_after(cluster, previous);
  for (std::size_t a = 0; a < cluster.size(); ++a) {
    for (std::size_t b = 0; b < cluster.size(); ++b) cluster.proxy().set_partitioned(a, b, false);
  }
  REQUIRE(cluster.wait_until_converged());

  previous = wait_for_leader(cluster);
  cluster.process(previous).send_signal(SIGTERM);
  wait_for_leader_after(cluster, previous);
}

namespace {

double sum_over_fleet(ProcessCluster& cluster, const char* field) {
  double sum = 0;
  for (std::size_t i = 0; i < cluster.size(); ++i) {
    const auto status = cluster.quota_status(i);
    if (!status.is_object() || status.at("budgets").empty()) continue;
    sum += status.at("budgets").at(0).at(field).get<double>();
  }
  return sum;
}

}  // namespace

TEST_CASE("processes: a budget is allocated to all live sidecars and reallocated after one of them dies") {
  ProcessCluster cluster(5, quota_options(5));
  // The whole budget: the guaranteed minimums and the rest.
  REQUIRE(cluster.wait_until([&] { return sum_over_fleet(cluster, "own") == 40; }));
  cluster.process(4).kill_and_wait();
  REQUIRE(cluster.wait_until([&] { return sum_over_fleet(cluster, "own") == 38; }));
  CHECK(cluster.quota_status(0).at("budgets").at(0).at("whole") == 40);
}

TEST_CASE(
    "processes: the sidecar beyond the allowed number gets no quota and reports this and still serves") {
  ProcessCluster cluster(5, quota_options(4));
  const auto count_rejected = [&] {
    int count = 0;
    for (std::size_t i = 0; i < cluster.size(); ++i) {
      const auto status = cluster.quota_status(i);
      if (!status.is_object() || status.at("full") != true) continue;
      ++count;
      CHECK(status.at("budgets").at(0).at("own") == 0);
      CHECK(cluster.wait_until_ready(i));
    }
    return count;
  };
  CHECK(cluster.wait_until([&] { return count_rejected() == 1; }));
}

namespace {

constexpr std::string_view fleet_retry_quota_scenario = R"(seconds = 12
sidecars = 6
[[server]]
count = 6
cores = 4
queue = 40
error_share = 0.4
[load]
rate = 100
[rules]
most_picks = 4
[[method]]
name = "read"
work_ms = 2
latency_target_ms = 250
deadline_ms = 800
[talk]
voters = 3
seeds = 2
period_ms = 200
timeout_ms = 60
lease_ms = 1500
share_ms = 400
seat_s = 2
most = 6
further_picks = 12
floor = 1
loss = 0.03
doubled = 0.1
jitter_ms = 10
late = 0.02
late_by_ms = 2000
[[trouble]]
what = "stop_sidecars"
at_s = 4
for_s = 2
share = 0.34
[[trouble]]
what = "cut_talk"
at_s = 6.5
for_s = 1.5
share = 0.5
[[trouble]]
what = "end_sidecars"
at_s = 8.5
for_s = 0.5
share = 0.34
[[trouble]]
what = "restart_sidecars"
at_s = 9.5
for_s = 0.3
share = 0.5
)";

}  // namespace

TEST_CASE(
    "processes: the retry quota is kept while sidecars are stopped or restarted or terminated or "
    "partitioned") {
  LoadRunConfig config;
  config.scenario = emulator::decode_scenario(toml::parse(fleet_retry_quota_scenario));
  config.sidecar_command = INDIGORILL_SIDECAR;
  const LoadRunResult result = run_scenario(config);
  CHECK(result.budget_violations == 0);
  // On a loaded machine an answer may come after its deadline (rule 1), which does not concern budgets.
  for (const std::string& violation : result.violations) {
    CHECK_MESSAGE(violation.starts_with("rule 1"), violation);
  }
  CHECK(result.retries > 12);
  CHECK(result.max_retries_per_second > 3);
}
