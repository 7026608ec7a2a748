// Several processes of the program, with faults between them. Judged by what each says, bounded in time.
#include <doctest/doctest.h>

#include <csignal>

#include "cluster/envelope.h"
#include "load/load_test_bed.h"
#include "load/loopback.h"
#include "load/scenario_runner.h"
#include "load/sidecar_processes.h"

using namespace indigorill;
using namespace indigorill::load_generator;

namespace {

// Far more than is needed: a machine under load must not change the verdict.
constexpr double max_wait_ms = 60000;

const char* minimal_scenario = R"(seconds = 1
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

struct ProcessCluster {
  EventLoop event_loop;
  emulator::Scenario scenario = emulator::decode_scenario(toml::parse(minimal_scenario));
  std::vector<sockaddr_in> datagram_addresses;
  std::unique_ptr<SidecarProcesses> processes;

  explicit ProcessCluster(std::size_t n, GossipOptions how = {"crew", 200, 60, 2, {}}) {
    for (std::size_t i = 0; i < n; ++i) datagram_addresses.push_back(reserve_port());
    processes = std::make_unique<SidecarProcesses>(
        event_loop, INDIGORILL_SIDECAR, datagram_addresses,
        [&](std::size_t i) {
          return make_sidecar_config(scenario, i, format_address(datagram_addresses[i]),
                                     format_address(reserve_port()), R"({"generation":0,"instances":[]})", 1);
        },
        how, 1);
    for (std::size_t i = 0; i < n; ++i) processes->start(i);
    for (std::size_t i = 0; i < n; ++i)
      REQUIRE_MESSAGE(processes->wait_until_ready(i, max_wait_ms), processes->process(i).last_line());
  }
  bool all_report(std::size_t whom, const std::string& state, std::vector<std::size_t> but = {}) {
    for (std::size_t i = 0; i < processes->size(); ++i)
      if (i != whom && std::find(but.begin(), but.end(), i) == but.end() &&
          processes->membership_view(i, whom) != state)
        return false;
    return true;
  }
  bool await_convergence(const std::vector<std::size_t>& but = {}) {
    return processes->wait_until(
        [&] {
          for (std::size_t i = 0; i < processes->size(); ++i)
            if (std::find(but.begin(), but.end(), i) == but.end() && !all_report(i, "alive", but))
              return false;
          return true;
        },
        max_wait_ms);
  }
};

}  // namespace

TEST_CASE("processes: five join through two seeds, one dies and returns, one leaves by word") {
  ProcessCluster t(5);
  REQUIRE(t.await_convergence());
  t.processes->process(3).kill_and_wait();
  CHECK(t.processes->wait_until([&] { return t.all_report(3, "dead"); }, max_wait_ms));
  t.processes->start(3);
  REQUIRE(t.processes->wait_until_ready(3, max_wait_ms));
  CHECK(t.await_convergence());
  t.processes->process(4).send_signal(SIGTERM);
  CHECK(t.processes->wait_until([&] { return t.processes->process(4).has_exited(); }, max_wait_ms));
  CHECK(t.processes->wait_until([&] { return t.all_report(4, "left"); }, max_wait_ms));
}

TEST_CASE("processes: at loss, doubling and reordering all meet; forged and repeated datagrams are dropped") {
  ProcessCluster t(4, {"crew", 200, 60, 2, {0.1, 0.2, 1, 20, 0.02, 200}});
  REQUIRE(t.await_convergence());
  REQUIRE(t.processes->wait_until(
      [&] { return t.processes->datagram_proxy().recent_datagrams_to(1).size() > 8; }, max_wait_ms));
  const auto late = t.processes->datagram_proxy().recent_datagrams_to(1);
  t.processes->run_for(300);
  for (const std::string& bytes : late) t.processes->datagram_proxy().inject(1, bytes);
  t.processes->datagram_proxy().inject(1, "what is this?");
  t.processes->datagram_proxy().inject(1, std::string(1500, 'x'));
  t.processes->datagram_proxy().inject(
      1, encode(Envelope{"another", "n0", "127.0.0.1:9", 1, 1, Envelope::Kind::membership, {}, {}}));
  const auto dropped = [&](const char* why) {
    const auto said = t.processes->admin_query(1, "/-/members");
    return said.is_object() ? said.at("datagrams").at("dropped").at(why).get<int>() : 0;
  };
  CHECK(t.processes->wait_until(
      [&] {
        return dropped("doubled") + dropped("late") >= 3 && dropped("torn") == 1 &&
               dropped("too_long") == 1 && dropped("foreign") == 1;
      },
      max_wait_ms));
}

TEST_CASE("processes: one stopped for long is taken for dead, wakes, and takes nobody for dead itself") {
  ProcessCluster t(4);
  REQUIRE(t.await_convergence());
  t.processes->process(2).send_signal(SIGSTOP);
  CHECK(t.processes->wait_until([&] { return t.all_report(2, "dead"); }, max_wait_ms));
  t.processes->process(2).send_signal(SIGCONT);
  CHECK(t.await_convergence());
  const auto said = t.processes->admin_query(2, "/-/members");
  CHECK(said.at("probes").at("slept").get<int>() >= 1);
}

TEST_CASE("processes: two sides of a cut meet again; one way is no reason for a death") {
  ProcessCluster t(6);
  REQUIRE(t.await_convergence());
  const auto cut = [&](bool is) {
    for (std::size_t a = 0; a < 6; ++a)
      for (std::size_t b = 0; b < 6; ++b)
        if ((a < 3) != (b < 3)) t.processes->datagram_proxy().set_partitioned(a, b, is);
  };
  cut(true);
  CHECK(t.processes->wait_until(
      [&] {
        return t.processes->membership_view(0, 5) == "dead" && t.processes->membership_view(5, 0) == "dead";
      },
      max_wait_ms));
  cut(false);
  CHECK(t.await_convergence());
  t.processes->datagram_proxy().set_partitioned(
      0, 1, true);  // its pings are lost, and its answers; others ask for it
  t.processes->run_for(5000);
  CHECK(t.processes->membership_view(1, 0) != "dead");
  CHECK(t.processes->membership_view(0, 1) != "dead");
}

namespace {

// Who says that it holds the right to divide, each in one instant; the number of none is -1, of more than one
// -2.
int current_leader(ProcessCluster& t) {
  int found = -1;
  for (std::size_t i = 0; i < t.processes->size(); ++i) {
    const auto said = t.processes->admin_query(i, "/-/members");
    if (said.is_object() && said.at("right").at("holds") == true)
      found = found == -1 ? static_cast<int>(i) : -2;
  }
  return found;
}

GossipOptions election_settings(int voters) {
  GossipOptions how{"crew", 200, 60, 2, {}};
  how.voter_count = voters;
  how.lease_ms = 1500;
  return how;
}

}  // namespace

TEST_CASE("processes: one divides; stopped, killed, ended or cut off, another one does") {
  ProcessCluster t(5, election_settings(3));
  int held = -1;
  const auto another = [&](int but) {
    const bool is =
        t.processes->wait_until([&] { return (held = current_leader(t)) >= 0 && held != but; }, max_wait_ms);
    return is;
  };
  REQUIRE(another(-1));
  const auto name = [](int i) { return std::string("n").append(std::to_string(i)); };
  CHECK(t.processes->wait_until(
      [&] {
        for (std::size_t i = 0; i < 3; ++i)
          if (t.processes->admin_query(i, "/-/members").at("right").at("holder") != name(held)) return false;
        return true;
      },
      max_wait_ms));

  int was = held;
  t.processes->process(static_cast<std::size_t>(was)).send_signal(SIGSTOP);
  REQUIRE(another(was));
  t.processes->process(static_cast<std::size_t>(was)).send_signal(SIGCONT);
  // It slept for longer than its lease: the first thing that it says is that it is over.
  CHECK(t.processes->admin_query(static_cast<std::size_t>(was), "/-/members").at("right").at("holds") ==
        false);

  was = held;
  t.processes->process(static_cast<std::size_t>(was)).kill_and_wait();
  REQUIRE(another(was));
  t.processes->start(static_cast<std::size_t>(was));
  REQUIRE(t.processes->wait_until_ready(static_cast<std::size_t>(was), max_wait_ms));
  const auto back = t.processes->admin_query(static_cast<std::size_t>(was), "/-/members");
  CHECK(back.at("right").at("holds") == false);
  // Until all that it might have promised has ended it has no vote.
  CHECK(t.processes->wait_until(
      [&] {
        return t.processes->admin_query(static_cast<std::size_t>(was), "/-/members")
                   .at("right")
                   .at("abstains") == false;
      },
      max_wait_ms));
  REQUIRE(t.await_convergence());

  was = held = current_leader(t);
  for (std::size_t i = 0; i < 5 && was >= 0; ++i)
    for (const bool out : {true, false}) {
      const auto w = static_cast<std::size_t>(was);
      if (i != w) t.processes->datagram_proxy().set_partitioned(out ? w : i, out ? i : w, true);
    }
  REQUIRE(another(was));
  for (std::size_t a = 0; a < 5; ++a)
    for (std::size_t b = 0; b < 5; ++b) t.processes->datagram_proxy().set_partitioned(a, b, false);
  REQUIRE(t.await_convergence());

  REQUIRE(t.processes->wait_until([&] { return (held = current_leader(t)) >= 0; }, max_wait_ms));
  was = held;
  t.processes->process(static_cast<std::size_t>(was)).send_signal(SIGTERM);
  REQUIRE(another(was));
}

namespace {

GossipOptions budget_settings(int most) {
  GossipOptions how = election_settings(3);
  how.retries_per_second = 40;
  how.guaranteed_minimum = 2;
  how.max_quota_holders = most;
  how.quota_refresh_ms = 400;
  how.registration_lease_ms = 2000;
  return how;
}

double sum_over_budgets(ProcessCluster& t, const char* what) {
  double sum = 0;
  for (std::size_t i = 0; i < t.processes->size(); ++i) {
    const auto said = t.processes->admin_query(i, "/-/budgets");
    if (said.is_object() && !said.at("budgets").empty())
      sum += said.at("budgets").at(0).at(what).get<double>();
  }
  return sum;
}

}  // namespace

TEST_CASE("processes: a budget is divided among those that are there, and anew when one dies") {
  ProcessCluster t(5, budget_settings(5));
  // All of it: what is not set aside for floors, and the floors.
  REQUIRE(t.processes->wait_until([&] { return sum_over_budgets(t, "own") == 40; }, max_wait_ms));
  t.processes->process(4).kill_and_wait();
  REQUIRE(t.processes->wait_until([&] { return sum_over_budgets(t, "own") == 38; }, max_wait_ms));
  CHECK(t.processes->admin_query(0, "/-/budgets").at("budgets").at(0).at("whole") == 40);
}

TEST_CASE("processes: more sidecars than allowed: one gets nothing, says so and serves") {
  ProcessCluster t(5, budget_settings(4));
  const auto full = [&] {
    int n = 0;
    for (std::size_t i = 0; i < 5; ++i) {
      const auto said = t.processes->admin_query(i, "/-/budgets");
      if (said.is_object() && said.at("full") == true) {
        ++n;
        CHECK(said.at("budgets").at(0).at("own") == 0);
        CHECK(t.processes->wait_until_ready(i, max_wait_ms));
      }
    }
    return n;
  };
  CHECK(t.processes->wait_until([&] { return full() == 1; }, max_wait_ms));
}

TEST_CASE(
    "processes: a budget of further picks holds while processes are stopped, killed, ended and cut off") {
  emulator::Scenario s = emulator::decode_scenario(toml::parse(R"(seconds = 12
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
)"));
  LoadRunConfig with;
  with.scenario = s;
  with.sidecar_command = INDIGORILL_SIDECAR;
  const LoadRunResult o = run_scenario(with);
  CHECK(o.budget_violations == 0);
  // A machine under load may keep an answer past its time, which is no matter of budgets.
  for (const std::string& b : o.violations) CHECK_MESSAGE(b.starts_with("rule 1"), b);
  CHECK(o.retries > 12);
  CHECK(o.max_retries_per_second > 3);
}
