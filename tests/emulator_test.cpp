// Tests of the emulator: agreement with queueing theory, order of events, request counts, the rule checker on
// traces that violate the rules, and invalid scenarios.
#include <doctest/doctest.h>

#include <cmath>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "emulator/command_line.h"
#include "emulator/experiment.h"
#include "emulator/gnuplot.h"
#include "emulator/report.h"
#include "emulator/scenario_table.h"
#include "emulator/simulation.h"
#include "emulator/statistics.h"
#include "emulator/worst_case_search.h"

using namespace indigorill;
using namespace indigorill::emulator;

namespace {

// Returns the mean wait in ms of the jobs after the warm-up, from arrival until service begins, in one queue.
// The mean work is 1 ms.
double mean_wait(int cores, Distribution service, double utilization, std::uint64_t seed) {
  EventQueue events;
  std::vector<double> arrival_times_ms;
  double wait_sum_ms = 0;
  double measured_jobs = 0;
  constexpr std::size_t job_count = 60000;
  constexpr std::size_t warmup_job_count = 10000;
  EmulatedServer server(events, {cores, 1 << 30, 1, 1, 0, 0, 0, 0}, seed,
                        {[&](std::uint64_t job) {
                           if (job >= warmup_job_count)
                             wait_sum_ms += events.now() - arrival_times_ms[job], ++measured_jobs;
                         },
                         [](std::uint64_t, EmulatedServer::JobOutcome, double) {},
                         {}});
  RandomStream arrival_random(derive_seed(seed, RandomPurpose::arrivals));
  RandomStream work_random(derive_seed(seed, RandomPurpose::arrival_pattern));
  std::function<void()> arrive = [&] {
    if (arrival_times_ms.size() >= job_count) return;
    arrival_times_ms.push_back(events.now());
    server.submit(arrival_times_ms.size() - 1, work_random.sample(service));
    events.schedule(events.now() + arrival_random.exponential(1 / (utilization * cores)),
                    EventPriority::client, arrive);
  };
  arrive();
  while (events.run_next(1e12)) {
  }
  return wait_sum_ms / measured_jobs;
}

double erlang_c_wait(int cores, double utilization) {  // mean wait in M/M/c; the mean work is 1
  const double offered_load = utilization * cores;
  double sum = 0;
  double term = 1;
  for (int k = 0; k < cores; ++k) sum += term, term *= offered_load / (k + 1);
  const double queued = term / (1 - utilization);
  return queued / (sum + queued) / (cores - offered_load);
}

// Returns the mean time in a system of many servers, in ms. Each job goes to the server with the fewest jobs
// in flight among `choices` servers drawn at random.
double mean_time_with_choices(int choices, double utilization, std::uint64_t seed) {
  EventQueue events;
  constexpr std::size_t server_count = 300;
  constexpr std::size_t job_count = 90000;
  constexpr std::size_t warmup_job_count = 30000;
  std::vector<double> arrival_times_ms;
  double time_sum_ms = 0;
  double measured_jobs = 0;
  std::vector<std::unique_ptr<EmulatedServer>> servers;
  for (std::size_t i = 0; i < server_count; ++i)
    servers.push_back(std::make_unique<EmulatedServer>(
        events, EmulatedServer::Config{1, 1 << 30, 1, 1, 0, 0, 0, 0}, i,
        EmulatedServer::Callbacks{{},
                                  [&](std::uint64_t job, EmulatedServer::JobOutcome, double) {
                                    if (job >= warmup_job_count && job < job_count)
                                      time_sum_ms += events.now() - arrival_times_ms[job], ++measured_jobs;
                                  },
                                  {}}));
  RandomStream arrival_random(derive_seed(seed, RandomPurpose::arrivals));
  RandomStream work_random(derive_seed(seed, RandomPurpose::arrival_pattern));
  RandomStream choice_random(seed);
  std::function<void()> arrive = [&] {
    if (arrival_times_ms.size() >= job_count) return;
    arrival_times_ms.push_back(events.now());
    EmulatedServer* chosen = servers[choice_random.uniform_index(server_count)].get();
    for (int i = 1; i < choices; ++i) {
      EmulatedServer* other = servers[choice_random.uniform_index(server_count)].get();
      if (other->jobs_in_flight() < chosen->jobs_in_flight()) chosen = other;
    }
    chosen->submit(arrival_times_ms.size() - 1, work_random.exponential(1));
    events.schedule(events.now() + arrival_random.exponential(1 / (utilization * server_count)),
                    EventPriority::client, arrive);
  };
  arrive();
  while (events.run_next(1e12)) {
  }
  return time_sum_ms / measured_jobs;
}

ConfidenceInterval interval_over_seeds(int runs, const std::function<double(std::uint64_t)>& measure) {
  std::vector<double> values;
  for (int i = 1; i <= runs; ++i) values.push_back(measure(static_cast<std::uint64_t>(i)));
  return confidence_interval(values);
}

bool contains(const ConfidenceInterval& interval, double expected) {
  return std::abs(interval.mean - expected) <= interval.half_width;
}

// A small fleet with every kind of fault that the emulator supports.
const char* scenario_with_faults = R"(name = "rough"
seconds = 12
warmup_s = 1
sidecars = 8
[[server]]
kind = "small"
count = 12
cores = 1
queue = 6
zones = 3
speed_spread = 0.1
cold_from = 0.2
cold_ms = 4000
connections = 30
error_share = 0.001
[load]
rate = 250
shape = "bursts"
burst_times = 2
burst_ms = 500
calm_ms = 2000
skew = 0.5
[net]
handshake_ms = 1
handshake_work_ms = 1
cross_zone_ms = 0.5
loss = 0.001
idle_ms = 400
[clients]
retries = 2
wait_ms = 50
doubles = true
heeds = 0.5
[list]
mode = "asked"
whole_ms = 20
changes_ms = 5
queue = 4
notice_ms = 300
[rules]
advice_ms = 500
probes = true
reports = true
probe_price = 0.002
handshake_price = 0.01
[[method]]
name = "read"
share = 0.6
work_ms = 20
latency_target_ms = 150
deadline_ms = 500
[[method]]
name = "order"
share = 0.3
work_ms = 25
law = "lognormal"
latency_target_ms = 200
deadline_ms = 500
utility = 3
late_utility = 0.3
repeats = "non-idempotent"
[[method]]
name = "put"
share = 0.1
work_ms = 15
law = "pareto"
latency_target_ms = 150
deadline_ms = 400
repeats = "deduplicated"
group = "zone"
remembers_ms = 300
[[trouble]]
what = "restart_sidecars"
at_s = 2
for_s = 0.5
over_s = 0.3
share = 0.6
[[trouble]]
what = "lose_zone"
at_s = 3
for_s = 2
zone = 1
[[trouble]]
what = "replace"
at_s = 4
for_s = 1
over_s = 2
share = 0.4
[[trouble]]
what = "kill_servers"
at_s = 7
for_s = 1
share = 0.2
[[trouble]]
what = "drain"
at_s = 6
for_s = 1
share = 0.2
[[trouble]]
what = "stall"
at_s = 5
for_s = 0.4
share = 0.2
[[trouble]]
what = "slow"
at_s = 8
for_s = 2
share = 0.3
factor = 3
[[trouble]]
what = "errors"
at_s = 8
for_s = 2
share = 0.2
rate = 0.5
[[trouble]]
what = "loss"
at_s = 9
for_s = 1
rate = 0.05
[[trouble]]
what = "surge"
at_s = 10
for_s = 1
factor = 3
[[trouble]]
what = "list_overbooked"
at_s = 2
for_s = 3
factor = 10
[[trouble]]
what = "list_silent"
at_s = 6
for_s = 2
)";

toml::table table_with_faults() { return toml::parse(scenario_with_faults); }

std::string replace_in_scenario(const std::string& original, const std::string& replacement) {
  std::string text = scenario_with_faults;
  const std::size_t position = text.find(original);
  REQUIRE(position != std::string::npos);
  return text.replace(position, original.size(), replacement);
}

struct TemporaryDirectory {
  std::filesystem::path path;
  TemporaryDirectory() {
    std::string name = (std::filesystem::temp_directory_path() / "indigorill-emulator-XXXXXX").string();
    REQUIRE(::mkdtemp(name.data()));
    path = name;
  }
  ~TemporaryDirectory() { std::filesystem::remove_all(path); }
  std::string write_file(const std::string& name, const std::string& text) const {
    std::ofstream(path / name) << text;
    return (path / name).string();
  }
};

int run_emulator(std::vector<const char*> arguments, std::string* out = nullptr, std::string* err = nullptr) {
  arguments.insert(arguments.begin(), "indigorill-emulator");
  std::ostringstream output;
  std::ostringstream errors;
  const int status = run_command(static_cast<int>(arguments.size()), arguments.data(), output, errors);
  if (out) *out = output.str();
  if (err) *err = errors.str();
  return status;
}

}  // namespace

TEST_CASE("emulator: mean waits match theory for M/M/1 and M/M/c and M/D/1 but not for other distributions") {
  const auto wait_interval = [](int cores, Distribution service, double utilization) {
    return interval_over_seeds(
        10, [=](std::uint64_t seed) { return mean_wait(cores, service, utilization, seed); });
  };
  const Distribution exponential{DistributionShape::exponential, 1, 1};
  const Distribution fixed{DistributionShape::fixed, 1, 1};
  struct {
    const char* what;
    int cores;
    Distribution service;
    double utilization, theory;
  } table[] = {
      {"M/M/1 at 0.5", 1, exponential, 0.5, 1.0},
      {"M/M/1 at 0.8", 1, exponential, 0.8, 4.0},
      {"M/D/1 at 0.8", 1, fixed, 0.8, 2.0},
      {"M/M/4 at 0.8", 4, exponential, 0.8, erlang_c_wait(4, 0.8)},
      {"M/M/16 at 0.9", 16, exponential, 0.9, erlang_c_wait(16, 0.9)},
  };
  for (const auto& row : table) {
    CAPTURE(row.what);
    const ConfidenceInterval interval = wait_interval(row.cores, row.service, row.utilization);
    CAPTURE(interval.mean);
    CAPTURE(interval.half_width);
    CHECK(contains(interval, row.theory));
    CHECK(interval.half_width < 0.15 * row.theory);
  }
  CHECK(erlang_c_wait(1, 0.8) == doctest::Approx(4));
  CHECK_FALSE(contains(wait_interval(1, fixed, 0.8), 4.0));
  CHECK_FALSE(contains(wait_interval(1, {DistributionShape::lognormal, 1, 1.6}, 0.8), 4.0));
}

TEST_CASE(
    "emulator: two random choices shorten the time in the system as theory predicts (Mitzenmacher 2001)") {
  constexpr double utilization = 0.9;
  double theory = 0;
  for (int i = 1; i < 8; ++i) theory += std::pow(utilization, std::pow(2, i) - 2);
  const ConfidenceInterval two_choices =
      interval_over_seeds(5, [](std::uint64_t seed) { return mean_time_with_choices(2, utilization, seed); });
  const ConfidenceInterval one_choice =
      interval_over_seeds(5, [](std::uint64_t seed) { return mean_time_with_choices(1, utilization, seed); });
  CAPTURE(two_choices.mean);
  CAPTURE(one_choice.mean);
  // The theory assumes infinitely many servers; 300 servers deviate from it by a few percent.
  CHECK(std::abs(two_choices.mean - theory) <= two_choices.half_width + 0.04 * theory);
  CHECK(one_choice.mean > 2.5 * two_choices.mean);
}

TEST_CASE("emulator: samples of each distribution have its configured mean") {
  for (const Distribution distribution :
       {Distribution{DistributionShape::fixed, 7, 0}, Distribution{DistributionShape::exponential, 7, 0},
        Distribution{DistributionShape::lognormal, 7, 0.8}, Distribution{DistributionShape::pareto, 7, 3}}) {
    CAPTURE(static_cast<int>(distribution.shape));
    const ConfidenceInterval interval = interval_over_seeds(20, [&](std::uint64_t seed) {
      RandomStream random(seed);
      double sum = 0;
      for (int i = 0; i < 20000; ++i) sum += random.sample(distribution);
      return sum / 20000;
    });
    CHECK(std::abs(interval.mean - 7) <= interval.half_width + 0.05);
  }
}

TEST_CASE("emulator: events at the same time run in the order of priority and scheduling") {
  EventQueue events;
  std::string order;
  events.schedule(5, EventPriority::client, [&] { order += "c"; });
  events.schedule(5, EventPriority::timer, [&] { order += "t"; });
  events.schedule(5, EventPriority::fault, [&] {
    order += "T";
    events.schedule(1, EventPriority::server, [&] { order += "p"; });  // scheduled in the past: runs now
  });
  events.schedule(5, EventPriority::network, [&] { order += "n"; });
  events.schedule(5, EventPriority::network, [&] { order += "m"; });
  events.schedule(4, EventPriority::client, [&] { order += "0"; });
  events.schedule(5, EventPriority::server, [&] { order += "s"; });
  events.schedule(5, EventPriority::discovery, [&] { order += "l"; });
  while (events.run_next(5)) CHECK(events.now() <= 5);
  CHECK(order == "0Tspnmltc");
  CHECK_FALSE(events.run_next(9));
  CHECK(events.now() == 9);
}

TEST_CASE("emulator: a server applies its queue capacity and faults and slow start to its jobs") {
  EventQueue events;
  std::vector<std::pair<std::uint64_t, EmulatedServer::JobOutcome>> finished_jobs;
  std::vector<double> finish_times_ms;
  int crash_count = 0;
  const auto make_server = [&](EmulatedServer::Config config) {
    finished_jobs.clear();
    finish_times_ms.clear();
    return std::make_unique<EmulatedServer>(
        events, config, 1,
        EmulatedServer::Callbacks{{},
                                  [&](std::uint64_t job, EmulatedServer::JobOutcome outcome, double) {
                                    finished_jobs.emplace_back(job, outcome);
                                    finish_times_ms.push_back(events.now());
                                  },
                                  [&] { ++crash_count; }});
  };
  const auto run_all_events = [&] {
    while (events.run_next(events.now() + 1e6)) {
    }
  };
  using Outcome = EmulatedServer::JobOutcome;
  SUBCASE("a full queue rejects jobs and a cancelled job leaves the queue") {
    auto server = make_server({1, 1, 1, 1, 0, 0, 0, 0});
    for (std::uint64_t job : {1, 2, 3}) server->submit(job, 10);
    CHECK(finished_jobs == std::vector<std::pair<std::uint64_t, Outcome>>{{3, Outcome::queue_full}});
    server->cancel_queued(2);
    server->cancel_queued(1);  // already running, so it is not cancelled
    run_all_events();
    CHECK(finished_jobs.size() == 2);
    CHECK(finish_times_ms.back() == doctest::Approx(10));
  }
  SUBCASE("a stall delays running and new jobs") {
    auto server = make_server({1, 5, 1, 1, 0, 0, 0, 0});
    server->submit(1, 10);
    server->stall(100);
    server->submit(2, 10);
    run_all_events();
    CHECK(finish_times_ms[0] == doctest::Approx(110));
    CHECK(finish_times_ms[1] == doctest::Approx(120));
  }
  SUBCASE("a slowdown and slow start lengthen service times") {
    auto server = make_server({1, 5, 2, 0.25, 1000, 0, 0, 0});
    server->submit(1, 10);
    run_all_events();
    CHECK(finish_times_ms[0] == doctest::Approx(5));
    server->set_slowdown(3);
    const double slowed_at_ms = events.now();
    server->submit(2, 10);
    run_all_events();
    CHECK(finish_times_ms[1] == doctest::Approx(slowed_at_ms + 15));
    server->set_slowdown(1);
    const double restarted_at_ms = events.now();
    server->restart();
    server->submit(3, 10);
    run_all_events();
    CHECK(finish_times_ms[2] == doctest::Approx(restarted_at_ms + 20));
  }
  SUBCASE("termination loses all jobs in flight and later ones") {
    auto server = make_server({1, 5, 1, 1, 0, 0, 0, 0});
    server->submit(1, 10);
    server->submit(2, 10);
    server->terminate();
    server->submit(3, 10);
    run_all_events();
    CHECK(finished_jobs == std::vector<std::pair<std::uint64_t, Outcome>>{
                               {1, Outcome::lost}, {2, Outcome::lost}, {3, Outcome::lost}});
  }
  SUBCASE("overload crashes a server in slow start but not a warmed-up one") {
    for (const bool in_slow_start : {false, true}) {
      crash_count = 0;
      auto server = make_server({1, 100, 1, 0.1, 100000, 0, 2, 100});
      events.schedule(events.now() + 1, EventPriority::fault, [&] {
        if (in_slow_start) server->restart();
        for (std::uint64_t job = 0; job < 10; ++job)
          server->submit(job, 5);  // 50 ms of work in total; 2 x 0.1 x 100 ms are allowed
      });
      run_all_events();
      CHECK(crash_count == (in_slow_start ? 1 : 0));
      CHECK(server->is_running() != in_slow_start);
    }
  }
}

TEST_CASE(
    "emulator: request counts add up after each event of a run with faults and no connection remains open") {
  for (const PolicyKind policy : {PolicyKind::load_balancer, PolicyKind::two_choices}) {
    // Almost no requests arrive in the last second, which is longer than any RPC lasts and any connection
    // stays idle.
    Simulation simulation(decode_scenario(toml::parse(
                              std::string(scenario_with_faults) +
                              "[[trouble]]\nwhat = \"surge\"\nat_s = 10.9\nfor_s = 1.1\nfactor = 0.001\n")),
                          policy, 3);
    std::uint64_t event_count = 0;
    bool always_conserved = true;
    while (simulation.run_next_event()) {
      ++event_count;
      always_conserved &= simulation.is_conserved();
    }
    const RunMetrics metrics = simulation.run_to_end();
    CHECK(always_conserved);
    CHECK(event_count == metrics.events);
    CHECK(metrics.arrived > 2000);
    CHECK(metrics.open_at_end == 0);
    CHECK(metrics.lost > 0);
    CHECK(metrics.handshakes > 0);
    for (std::uint32_t server = 0; server < simulation.server_count(); ++server)
      CHECK(simulation.connections_at(server) == 0);
  }
}

TEST_CASE("emulator: a run whose queues never drain ends after its duration plus the longest deadline") {
  toml::table scenario = table_with_faults();
  set_value(scenario, "load.rate", 3000);
  set_value(scenario, "server[0].queue", 1000000);
  set_value(scenario, "seconds", 11);
  Simulation simulation(decode_scenario(scenario), PolicyKind::random, 1);
  simulation.run_to_end();
  CHECK(simulation.now() == 11500);
  CHECK(simulation.is_conserved());
}

TEST_CASE(
    "emulator: the load balancer keeps the rules in a run with faults and random selection violates rule 4") {
  toml::table scenario = table_with_faults();
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    const RunMetrics metrics = run_simulation(decode_scenario(scenario), PolicyKind::load_balancer, seed);
    CAPTURE(metrics.violations.empty() ? "" : describe(metrics.violations[0]));
    CHECK(metrics.violation_count == 0);
    CHECK(metrics.crashes == 0);
    CHECK(metrics.utility() > 0.3);
  }
  // Random selection overloads servers in slow start until they crash.
  set_value(scenario, "trouble[2].share", 0.6);
  set_value(scenario, "server[0].cold_from", 0.05);
  set_value(scenario, "server[0].cold_ms", 8000);
  const RunMetrics metrics = run_simulation(decode_scenario(scenario), PolicyKind::random, 1);
  CHECK(metrics.crashes > 0);
  REQUIRE(metrics.violation_count > 0);
  CHECK(metrics.violations[0].rule == 4);
}

TEST_CASE("emulator: output depends on the seed but not on the number of threads") {
  Experiment experiment;
  experiment.base_scenario = table_with_faults();
  set_value(experiment.base_scenario, "seconds", 11);
  experiment.axes = {parse_axis("load.rate=100,200")};
  experiment.policies = {PolicyKind::load_balancer, PolicyKind::true_state};
  experiment.run_count = 2;
  const auto bytes = [&](unsigned threads, std::uint64_t seed) {
    experiment.threads = threads;
    experiment.first_seed = seed;
    const auto points = run_experiment(experiment);
    std::ostringstream output;
    write_summary(output, points);
    write_seconds(output, points);
    write_runs(output, points);
    write_plot(output, points);
    return output.str();
  };
  const std::string one = bytes(1, 7);
  CHECK(one == bytes(4, 7));
  CHECK(one != bytes(4, 8));
}

TEST_CASE("emulator: two policies with the same seed receive the same number of requests") {
  const Scenario scenario = decode_scenario([] {
    toml::table table = table_with_faults();
    table.erase("trouble");
    return table;
  }());
  CHECK(run_simulation(scenario, PolicyKind::random, 5).arrived ==
        run_simulation(scenario, PolicyKind::load_balancer, 5).arrived);
}

TEST_CASE("emulator: quantiles and confidence intervals are correct and too few samples are detected") {
  LatencyHistogram histogram;
  CHECK(histogram.quantile(0.5) == 0);
  for (int i = 1; i <= 1000; ++i) histogram.add(i);
  CHECK(histogram.quantile(0.5) == doctest::Approx(500).epsilon(0.01));
  CHECK(histogram.quantile(0.99) == doctest::Approx(990).epsilon(0.01));
  CHECK_FALSE(histogram.has_too_few_samples(0.99));
  CHECK(histogram.has_too_few_samples(0.999));
  LatencyHistogram doubled;
  doubled.add(histogram);
  doubled.add(histogram);
  CHECK(doubled.count() == 2000);
  CHECK(doubled.mean() == doctest::Approx(500.5));
  CHECK(doubled.quantile(0.5) == doctest::Approx(500).epsilon(0.01));
  histogram.add(1e9);
  histogram.add(0);
  CHECK(histogram.quantile(1) == 100000);
  // The 97.5 % quantile of Student's t with 4 degrees of freedom is 2.776.
  const ConfidenceInterval interval = confidence_interval({1, 2, 3, 4, 5});
  CHECK(interval.mean == 3);
  CHECK(interval.half_width == doctest::Approx(2.776 * std::sqrt(2.5 / 5)).epsilon(0.001));
  CHECK(confidence_interval({4}).half_width == 0);
}

// ---- the rule checker ---------------------------------------------------------------------------------

namespace {

using Kind = TraceEvent::Kind;

TraceEvent make_event(double time_ms, Kind kind, std::uint64_t rpc = 0, int attempt = 0,
                      std::uint32_t server = 0) {
  TraceEvent e{kind};
  e.time_ms = time_ms;
  e.rpc = rpc;
  e.attempt = attempt;
  e.server = server;
  return e;
}
TraceEvent rpc_received_event(double time_ms, std::uint64_t rpc, RetrySafety retry_safety,
                              DeduplicationScope deduplication_scope = DeduplicationScope::global) {
  TraceEvent e = make_event(time_ms, Kind::rpc_received, rpc);
  e.deadline_ms = time_ms + 100;
  e.retry_safety = retry_safety;
  e.deduplication_scope = deduplication_scope;
  e.deduplication_window_ms = 50;
  return e;
}
TraceEvent attempt_finished_event(double time_ms, std::uint64_t rpc, int attempt, std::uint32_t server,
                                  AttemptOutcome outcome) {
  TraceEvent e = make_event(time_ms, Kind::attempt_finished, rpc, attempt, server);
  e.outcome = outcome;
  return e;
}
TraceEvent answered_event(double time_ms, std::uint64_t rpc, RpcAnswer answer) {
  TraceEvent e = make_event(time_ms, Kind::answered, rpc);
  e.answer = answer;
  return e;
}
TraceEvent endpoint_notified_event(double time_ms, std::uint32_t server, EndpointState state,
                                   double started_at_ms = 0) {
  TraceEvent e = make_event(time_ms, Kind::endpoint_notified, 0, 0, server);
  e.state = state;
  e.started_at_ms = started_at_ms;
  return e;
}
TraceEvent server_state_event(double time_ms, std::uint32_t server, double started_at_ms = 0, int zone = 0,
                              int cell = 0) {
  TraceEvent e = make_event(time_ms, Kind::server_state, 0, 0, server);
  e.capacity = 1;
  e.started_at_ms = started_at_ms;
  e.slow_start_initial_capacity = 0.1;
  e.slow_start_duration_ms = 100000;
  e.zone = zone;
  e.cell = cell;
  return e;
}
TraceEvent attempt_received_event(double time_ms, std::uint32_t server, double work_ms,
                                  std::uint64_t rpc = 9) {
  TraceEvent e = make_event(time_ms, Kind::attempt_received, rpc, 0, server);
  e.work_ms = work_ms;
  return e;
}

}  // namespace

TEST_CASE("emulator: the rule checker reports the violated rule of a trace and none for a valid trace") {
  const auto idempotent = RetrySafety::idempotent;
  const auto non_idempotent = RetrySafety::non_idempotent;
  const auto deduplicated = RetrySafety::idempotency_key;
  const auto decided = Kind::attempt_decided;
  const auto sent = Kind::attempt_sent;
  const auto started = Kind::attempt_started;
  struct {
    const char* name;
    std::vector<TraceEvent> trace;
    int rule;  // 0: no violation
    std::uint64_t rpc;
    std::uint32_t server;
    double time_ms;
  } table[] = {
      {"an attempt succeeds and is answered",
       {rpc_received_event(0, 1, non_idempotent), make_event(0, decided, 1, 0, 4),
        make_event(0, sent, 1, 0, 4), make_event(1, started, 1, 0, 4),
        attempt_finished_event(9, 1, 0, 4, AttemptOutcome::ok), answered_event(9, 1, RpcAnswer::ok),
        make_event(200, Kind::run_ended)},
       0,
       0,
       0,
       0},
      {"no answer by the deadline",
       {rpc_received_event(0, 1, idempotent), make_event(200, Kind::run_ended)},
       1,
       1,
       0,
       200},
      {"no answer, but the deadline is after the end of the run",
       {rpc_received_event(150, 1, idempotent), make_event(200, Kind::run_ended)},
       0,
       0,
       0,
       0},
      {"no answer because the sidecar died",
       {rpc_received_event(0, 1, idempotent), make_event(5, Kind::sidecar_died),
        make_event(200, Kind::run_ended)},
       0,
       0,
       0,
       0},
      {"no answer because the client disconnected",
       {rpc_received_event(0, 1, idempotent), make_event(5, Kind::client_disconnected, 1),
        make_event(200, Kind::run_ended)},
       0,
       0,
       0,
       0},
      {"two final answers",
       {rpc_received_event(0, 1, idempotent), answered_event(5, 1, RpcAnswer::rejected),
        answered_event(6, 1, RpcAnswer::failed)},
       1,
       1,
       0,
       6},
      {"answered after the deadline",
       {rpc_received_event(0, 1, idempotent), answered_event(101, 1, RpcAnswer::failed)},
       1,
       1,
       0,
       101},
      {"answered ok without an attempt",
       {rpc_received_event(0, 1, idempotent), answered_event(5, 1, RpcAnswer::ok)},
       1,
       1,
       0,
       5},
      {"received twice",
       {rpc_received_event(0, 1, idempotent), rpc_received_event(1, 1, idempotent)},
       1,
       1,
       0,
       1},
      {"answered but never received", {answered_event(5, 3, RpcAnswer::failed)}, 1, 3, 0, 5},
      {"attempt decided after the answer",
       {rpc_received_event(0, 1, idempotent), answered_event(5, 1, RpcAnswer::failed),
        make_event(6, decided, 1, 0, 4)},
       1,
       1,
       4,
       6},
      {"attempt sent after the answer",
       {rpc_received_event(0, 1, idempotent), make_event(1, decided, 1, 0, 4),
        answered_event(5, 1, RpcAnswer::failed), make_event(6, sent, 1, 0, 4)},
       1,
       1,
       4,
       6},
      {"attempt sent after the deadline",
       {rpc_received_event(0, 1, idempotent), make_event(1, decided, 1, 0, 4),
        make_event(101, sent, 1, 0, 4)},
       1,
       1,
       4,
       101},
      {"non-idempotent: second attempt while the first is in flight",
       {rpc_received_event(0, 1, non_idempotent), make_event(0, decided, 1, 0, 4),
        make_event(2, decided, 1, 1, 5)},
       2,
       1,
       5,
       2},
      {"non-idempotent: second attempt after a timeout",
       {rpc_received_event(0, 1, non_idempotent), make_event(0, decided, 1, 0, 4),
        attempt_finished_event(9, 1, 0, 4, AttemptOutcome::timed_out), make_event(10, decided, 1, 1, 5)},
       2,
       1,
       5,
       10},
      {"non-idempotent: second attempt after a failed connection",
       {rpc_received_event(0, 1, non_idempotent), make_event(0, decided, 1, 0, 4),
        attempt_finished_event(9, 1, 0, 4, AttemptOutcome::connect_failed), make_event(10, decided, 1, 1, 5)},
       0,
       0,
       0,
       0},
      {"idempotent: second attempt after a reset",
       {rpc_received_event(0, 1, idempotent), make_event(0, decided, 1, 0, 4),
        attempt_finished_event(9, 1, 0, 4, AttemptOutcome::reset), make_event(10, decided, 1, 1, 5)},
       0,
       0,
       0,
       0},
      {"non-idempotent: rejected although it may have been executed",
       {rpc_received_event(0, 1, non_idempotent), make_event(0, decided, 1, 0, 4),
        attempt_finished_event(9, 1, 0, 4, AttemptOutcome::cancelled),
        answered_event(10, 1, RpcAnswer::rejected)},
       2,
       1,
       0,
       10},
      {"executed after the sidecar recorded that it was not",
       {rpc_received_event(0, 1, non_idempotent), make_event(0, decided, 1, 0, 4),
        attempt_finished_event(9, 1, 0, 4, AttemptOutcome::rejected), make_event(10, started, 1, 0, 4)},
       2,
       1,
       4,
       10},
      {"executed, then recorded by the sidecar as not executed",
       {rpc_received_event(0, 1, non_idempotent), make_event(0, decided, 1, 0, 4),
        make_event(1, started, 1, 0, 4), attempt_finished_event(9, 1, 0, 4, AttemptOutcome::rejected)},
       2,
       1,
       4,
       9},
      {"executed without a decided attempt",
       {rpc_received_event(0, 1, non_idempotent), make_event(3, started, 1, 0, 4)},
       1,
       1,
       4,
       3},
      {"deduplicated: second attempt within the zone",
       {server_state_event(0, 4, 0, 1), server_state_event(0, 5, 0, 1),
        rpc_received_event(0, 1, deduplicated, DeduplicationScope::zone), make_event(0, decided, 1, 0, 4),
        make_event(10, decided, 1, 1, 5)},
       0,
       0,
       0,
       0},
      {"deduplicated: second attempt outside the zone",
       {server_state_event(0, 4, 0, 1), server_state_event(0, 5, 0, 2),
        rpc_received_event(0, 1, deduplicated, DeduplicationScope::zone), make_event(0, decided, 1, 0, 4),
        make_event(10, decided, 1, 1, 5)},
       2,
       1,
       5,
       10},
      {"deduplicated: second attempt outside the cell",
       {server_state_event(0, 4, 0, 1, 1), server_state_event(0, 5, 0, 1, 2),
        rpc_received_event(0, 1, deduplicated, DeduplicationScope::cell), make_event(0, decided, 1, 0, 4),
        make_event(10, decided, 1, 1, 5)},
       2,
       1,
       5,
       10},
      {"deduplicated: second attempt after the window",
       {rpc_received_event(0, 1, deduplicated), make_event(0, decided, 1, 0, 4),
        make_event(51, decided, 1, 1, 4)},
       2,
       1,
       4,
       51},
      {"deduplicated in a zone: rejected although it may have been executed",
       {rpc_received_event(0, 1, deduplicated, DeduplicationScope::zone), make_event(0, decided, 1, 0, 4),
        attempt_finished_event(5, 1, 0, 4, AttemptOutcome::reset), answered_event(6, 1, RpcAnswer::rejected)},
       2,
       1,
       0,
       6},
      {"attempt sent within the grace period",
       {endpoint_notified_event(0, 4, EndpointState::draining), rpc_received_event(480, 1, idempotent),
        make_event(490, decided, 1, 0, 4), make_event(499, sent, 1, 0, 4)},
       0,
       0,
       0,
       0},
      {"attempt sent after the grace period",
       {endpoint_notified_event(0, 4, EndpointState::draining), rpc_received_event(480, 1, idempotent),
        make_event(490, decided, 1, 0, 4), make_event(501, sent, 1, 0, 4)},
       3,
       1,
       4,
       501},
      {"grace period starts at the first of two notifications",
       {endpoint_notified_event(0, 4, EndpointState::draining),
        endpoint_notified_event(400, 4, EndpointState::gone), rpc_received_event(480, 1, idempotent),
        make_event(490, decided, 1, 0, 4), make_event(501, sent, 1, 0, 4)},
       3,
       1,
       4,
       501},
      {"health check sent after the grace period",
       {endpoint_notified_event(0, 4, EndpointState::gone),
        make_event(600, Kind::health_check_sent, 0, 0, 4)},
       3,
       0,
       4,
       600},
      {"health check sent after the server is ready again",
       {endpoint_notified_event(0, 4, EndpointState::draining),
        endpoint_notified_event(400, 4, EndpointState::ready, 300),
        make_event(600, Kind::health_check_sent, 0, 0, 4)},
       0,
       0,
       0,
       0},
      // The limit is 3 x 0.1 x 1500 = 450 ms of work and rises slightly as the server warms up.
      {"slow start: work within the limit",
       {server_state_event(10, 4, 10), endpoint_notified_event(11, 4, EndpointState::ready, 10),
        attempt_received_event(20, 4, 440)},
       0,
       0,
       0,
       0},
      {"slow start: work over the limit in one window",
       {server_state_event(10, 4, 10), endpoint_notified_event(11, 4, EndpointState::ready, 10),
        attempt_received_event(20, 4, 300), attempt_received_event(900, 4, 200)},
       4,
       9,
       4,
       900},
      {"slow start: work spread over two windows",
       {server_state_event(10, 4, 10), endpoint_notified_event(11, 4, EndpointState::ready, 10),
        attempt_received_event(20, 4, 300), attempt_received_event(1600, 4, 300)},
       0,
       0,
       0,
       0},
      {"slow start: work from a sidecar that was not notified",
       {server_state_event(10, 4, 10), attempt_received_event(20, 4, 3000)},
       0,
       0,
       0,
       0},
      {"no slow start",
       {server_state_event(0, 4, 0), endpoint_notified_event(1, 4, EndpointState::ready),
        attempt_received_event(20, 4, 3000)},
       0,
       0,
       0,
       0},
  };
  for (const auto& row : table) {
    CAPTURE(row.name);
    RuleChecker checker({500, 3, 1500});
    for (const TraceEvent& e : row.trace) checker.on_event(e);
    CHECK(checker.count() == (row.rule ? 1 : 0));
    if (!row.rule || checker.violations().empty()) continue;
    const RuleViolation& violation = checker.violations()[0];
    CAPTURE(describe(violation));
    CHECK(violation.rule == row.rule);
    CHECK(checker.count(row.rule) == 1);
    CHECK(violation.rpc == row.rpc);
    CHECK(violation.server == row.server);
    CHECK(violation.time_ms == row.time_ms);
  }
}

// ---- scenarios, experiments, the command line ---------------------------------------------------------

TEST_CASE("emulator: invalid scenarios are rejected with line and reason") {
  struct {
    std::string original, replacement, reason;
    int line;
  } table[] = {
      {"sidecars = 8", "sidecars = 0", "sidecars is 0, not in the range 1 to 100000", 4},
      {"sidecars = 8", "sidecars = 2.5", "sidecars is not a whole number", 4},
      {"sidecars = 8", "sidecars = \"many\"", "sidecars is not a number", 4},
      {"sidecars = 8", "sidecar = 8", "sidecars is missing", 1},
      {"sidecars = 8", "sidecars = 8\nmood = 1", "mood is unknown", 5},
      {"warmup_s = 1", "warmup_s = 12", "leaves no time to measure", 3},
      {"seconds = 12", "seconds = nan", "seconds is nan", 2},
      {"cores = 1", "cores = -1", "server.cores is -1", 8},
      {"queue = 6", "queues = 6", "server.queues is unknown", 9},
      {"shape = \"bursts\"", "shape = \"lumps\"", "load.shape is not one of bursts, poisson, ramp", 18},
      {"burst_times = 2", "", "load.burst_times is missing", 16},
      {"loss = 0.001", "loss = true", "net.loss is not a number", 27},
      {"doubles = true", "doubles = 1", "clients.doubles is not true or false", 32},
      {"latency_target_ms = 150", "latency_target_ms = 0", "must be over 0", 50},
      {"deadline_ms = 500", "deadline_ms = 50", "is less than latency_target_ms", 51},
      {"repeats = \"non-idempotent\"", "repeats = 3", "method.repeats is not one of", 61},
      {"law = \"pareto\"", "law = \"pareto\"\nspread = 0.9", "must be over 1 for pareto", 67},
      {"at_s = 2\n", "at_s = 20\n", "is outside the run", 74},
      {"zone = 1", "zone = 7", "trouble.zone is 7, not in the range 0 to 2", 82},
      {"what = \"stall\"", "what = \"stall\"\nfactor = 2", "trouble.factor is unknown", 101},
      {"[load]", "[load", "expected ']'", 16},
  };
  for (const auto& row : table) {
    CAPTURE(row.replacement);
    const TemporaryDirectory folder;
    const std::string file = folder.write_file("s.toml", replace_in_scenario(row.original, row.replacement));
    std::string text;
    try {
      decode_scenario(read_toml_file(file));
    } catch (const ConfigError& error) {
      text = error.what();
    }
    CAPTURE(text);
    CHECK(text.find(file + ":" + std::to_string(row.line) + ": ") != std::string::npos);
    CHECK(text.find(row.reason) != std::string::npos);
    std::string out;
    std::string err;
    CHECK(run_emulator({"run", file.c_str()}, &out, &err) == 2);
    CHECK(out.empty());
    CHECK(err == text + "\n");
  }
  // All errors are reported at once.
  const TemporaryDirectory folder;
  const std::string invalid_file =
      folder.write_file("s.toml", replace_in_scenario("queue = 6", "queue = -6\nnonsense = 1"));
  std::string err;
  CHECK(run_emulator({"run", invalid_file.c_str()}, nullptr, &err) == 2);
  CHECK(std::count(err.begin(), err.end(), '\n') == 2);
  CHECK(run_emulator({"run", "/nowhere/s.toml"}, nullptr, &err) == 2);
  CHECK(err.find("/nowhere/s.toml") == 0);
}

TEST_CASE("emulator: variables are set and read by path and invalid axes are rejected") {
  toml::table scenario_table = table_with_faults();
  set_value(scenario_table, "trouble[1].for_s", 2.5);
  CHECK(value_at(scenario_table, "trouble[1].for_s") == 2.5);
  set_value(scenario_table, "sidecars", 9);
  CHECK(decode_scenario(scenario_table).sidecars == 9);
  for (const char* path : {"trouble[40].for_s", "nothing.here", "load.", "seconds[0]"}) {
    CAPTURE(path);
    CHECK_THROWS_AS(set_value(scenario_table, path, 1), ConfigError);
  }
  CHECK_THROWS_AS(value_at(scenario_table, "load.none"), ConfigError);
  struct {
    const char* text;
    std::vector<double> values;  // empty: invalid
  } table[] = {{"a=1,2.5", {1, 2.5}},
               {"a=1:3:3", {1, 2, 3}},
               {"a=7", {7}},
               {"a=", {}},
               {"=1", {}},
               {"a", {}},
               {"a=1:2", {}},
               {"a=x", {}},
               {"a=1:2:1", {}},
               {"a=1,", {}},
               {"a=1:2:2.5", {}},
               {"a=inf", {}}};
  for (const auto& row : table) {
    CAPTURE(row.text);
    if (row.values.empty())
      CHECK_THROWS_AS(parse_axis(row.text), ConfigError);
    else
      CHECK(parse_axis(row.text).values == row.values);
  }
  toml::table with_ranges = table_with_faults();
  with_ranges.insert("ranges", toml::table{{"load.rate", toml::array{500, 100}}});
  CHECK_THROWS_AS(decode_scenario(with_ranges), ConfigError);
}

TEST_CASE("emulator: the worst-case search finds the harmful fault and removes the other one") {
  // Only one of the two faults reduces utility, and only if it affects many servers.
  const char* text = R"(seconds = 8
sidecars = 4
[[server]]
count = 8
queue = 100
[load]
rate = 100
[[method]]
name = "read"
work_ms = 20
latency_target_ms = 100
[[trouble]]
what = "surge"
at_s = 1
for_s = 1
factor = 1.01
[[trouble]]
what = "slow"
at_s = 2
for_s = 4
share = 0.05
factor = 8
[ranges]
"trouble[1].share" = [0.05, 0.9]
"net.delay_ms" = [0.2, 0.3]
)";
  WorstCaseSearch search;
  search.base_scenario = toml::parse(text);
  set_value(*search.base_scenario.insert_or_assign("net", toml::table{}).first->second.as_table(), "delay_ms",
            0.2);
  search.baseline = PolicyKind::true_state;
  search.trial_count = 16;
  search.runs_per_trial = 1;
  search.threads = 2;
  const WorstCase worst_case = find_worst_case(search);
  CHECK(worst_case.worst_loss > 0.02);
  CHECK(worst_case.smallest_loss >= search.loss_fraction_kept * worst_case.worst_loss);
  CHECK(value_at(worst_case.worst_scenario, "trouble[1].share") > 0.1);
  CHECK_FALSE(worst_case.reductions.empty());
  CHECK(worst_case.smallest_scenario["trouble"].as_array()->size() == 1);
  CHECK(worst_case.smallest_scenario["trouble"][0]["what"].value_or(std::string()) == "slow");
  CHECK_NOTHROW(decode_scenario(worst_case.smallest_scenario));
  // The result does not depend on the number of threads.
  search.threads = 1;
  CHECK(find_worst_case(search).worst_loss == worst_case.worst_loss);
}

TEST_CASE("emulator: the subcommands write their output and invalid arguments are rejected") {
  const TemporaryDirectory folder;
  const std::string file = folder.write_file(
      "s.toml", std::string(scenario_with_faults) + "[ranges]\n\"load.rate\" = [100, 300]\n");
  const std::string output_directory = (folder.path / "out").string();
  const std::string trace_file = (folder.path / "log.jsonl").string();
  std::string out;
  std::string err;
  CHECK(run_emulator({"run", file.c_str(), "--out", output_directory.c_str(), "--log", trace_file.c_str(),
                      "--set", "load.rate=100"},
                     &out, &err) == 0);
  CHECK(out.find("module, 1 run\n") == 0);
  for (const char* name : {"summary.csv", "seconds.csv", "runs.jsonl", "plot.gp"})
    CHECK(std::filesystem::file_size(folder.path / "out" / name) > 100);
  std::ifstream trace(trace_file);
  RuleChecker again({500, 3, 1500});
  std::size_t line_count = 0;
  for (std::string line; std::getline(trace, line); ++line_count) REQUIRE(nlohmann::json::accept(line));
  CHECK(line_count > 1000);

  CHECK(run_emulator(
            {"compare", file.c_str(), "--runs", "2", "--policy", "module", "random", "--set", "load.rate=60"},
            &out) != 2);
  CHECK(out.find("beside module") != std::string::npos);
  CHECK(run_emulator({"sweep", file.c_str(), "--over", "load.rate=60,90", "sidecars=2,4"}, &out) == 0);
  CHECK(out.find("load.rate=90 sidecars=4, 1 run") != std::string::npos);
  CHECK(run_emulator({"search", file.c_str(), "--tries", "2", "--out", output_directory.c_str()}, &out) == 0);
  CHECK(std::filesystem::exists(folder.path / "out" / "smallest.toml"));

  const char* invalid_arguments[][4]{{"run", file.c_str(), "--set", "load.rat"},
                                     {"run", file.c_str(), "--policy", "best"},
                                     {"run", file.c_str(), "--runs", "0"},
                                     {"run", file.c_str(), "--set", "load.rate=-4"},
                                     {"sweep", file.c_str(), "--over", "nothing[3].x=1"},
                                     {"sweep", file.c_str(), "--runs", "1"},
                                     {"search", file.c_str(), "--against", "nobody"},
                                     {"dance", file.c_str(), "--runs", "1"}};
  for (const auto& arguments : invalid_arguments) {
    CAPTURE(arguments[0]);
    CAPTURE(arguments[3]);
    CHECK(run_emulator({arguments[0], arguments[1], arguments[2], arguments[3]}, &out, &err) == 2);
    CHECK(out.empty());
    CHECK_FALSE(err.empty());
  }
  CHECK(run_emulator({"--help"}, &out, &err) == 0);
}
