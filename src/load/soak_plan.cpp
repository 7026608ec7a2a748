#include "load/soak_plan.h"

#include <algorithm>
#include <array>
#include <sstream>

#include "emulator/random_stream.h"

namespace indigorill::load_generator {
namespace {

using emulator::Fault;
using emulator::RandomStream;
using Kind = emulator::Fault::Kind;

// Limits of the protocol page: clients open new connections for 0.2 to 0.4 s after SIGTERM, SIGKILL follows
// SIGTERM no sooner than after the longest deadline and 0.7 s, and SIGHUP does not come in the first second.
constexpr double min_new_connections_ms = 200;
constexpr double max_new_connections_ms = 400;
constexpr double kill_after_deadline_ms = 700;
constexpr double first_reload_ms = 1000;

constexpr std::array<double, 5> deadlines_ms{150, 300, 600, 1500, 3000};
constexpr std::array<double, 3> graces_ms{300, 500, 1000};
constexpr std::array<Kind, 6> server_faults{Kind::stall_servers, Kind::kill_servers, Kind::replace_servers,
                                            Kind::drain_servers, Kind::slow_servers, Kind::server_errors};
constexpr std::array<DiscoveryMode, 5> discovery_faults{DiscoveryMode::silent, DiscoveryMode::refuses,
                                                        DiscoveryMode::unavailable, DiscoveryMode::slow,
                                                        DiscoveryMode::half_response};

double between(RandomStream& random, double low, double high) {
  return low + (high - low) * random.uniform();
}

template <std::size_t Size, class Value>
Value one_of(RandomStream& random, const std::array<Value, Size>& values) {
  return values.at(static_cast<std::size_t>(random.uniform() * Size));
}

void draw_settings(emulator::Scenario& scenario, RandomStream& random) {
  constexpr double objective_fraction = 0.6;
  for (emulator::MethodWorkload& workload : scenario.methods) {
    workload.method.deadline_ms = one_of(random, deadlines_ms);
    workload.method.latency_objective_ms = objective_fraction * workload.method.deadline_ms;
  }
  scenario.discovery.is_polled = random.bernoulli(0.5);
  scenario.rules.drain_grace_ms = one_of(random, graces_ms);
  scenario.rules.cancellation_enabled = random.bernoulli(0.5);
  scenario.rules.probing_enabled = random.bernoulli(0.5);
  scenario.rules.max_attempts = random.bernoulli(0.3) ? 1 : 4;
  scenario.rules.max_retry_after_ms = random.bernoulli(0.5) ? 500 : 0;
  scenario.clients.retries = random.bernoulli(0.5) ? 2 : 0;
}

void draw_server_faults(SoakPlan& plan, RandomStream& random) {
  constexpr int max_faults = 4;
  const auto count = static_cast<int>(between(random, 1, max_faults + 1));
  for (int i = 0; i < count; ++i) {
    Fault fault{.kind = one_of(random, server_faults)};
    fault.start_ms = between(random, 0, plan.terminate_at_ms + max_new_connections_ms);
    fault.duration_ms = between(random, 300, 3000);
    fault.share = between(random, 0.15, 0.5);
    fault.factor = fault.kind == Kind::server_errors ? between(random, 0.1, 0.5) : between(random, 2, 6);
    plan.scenario.faults.push_back(fault);
  }
  if (!random.bernoulli(0.4)) return;
  // Some servers stall through the whole shutdown.
  plan.scenario.faults.push_back({.kind = Kind::stall_servers,
                                  .start_ms = plan.terminate_at_ms - between(random, 0, 200),
                                  .duration_ms = plan.kill_at_ms - plan.terminate_at_ms + 1000,
                                  .share = between(random, 0.2, 0.6)});
}

void draw_discovery_phases(SoakPlan& plan, RandomStream& random) {
  double time_ms = between(random, 0, 1500);
  while (time_ms < plan.kill_at_ms && random.bernoulli(0.7)) {
    DiscoveryPhase phase{.start_ms = time_ms, .mode = one_of(random, discovery_faults)};
    phase.response_delay_ms = between(random, 100, 2000);
    phase.end_ms = time_ms + between(random, 300, 4000);
    plan.discovery_phases.push_back(phase);
    time_ms = phase.end_ms + between(random, 0, 2000);
  }
}

void draw_signals(SoakPlan& plan, RandomStream& random) {
  constexpr double burst_interval_ms = 30;
  if (random.bernoulli(0.6)) {
    const double first_ms = between(random, first_reload_ms, plan.terminate_at_ms + 300);
    const auto count = static_cast<int>(between(random, 1, 4));
    for (int i = 0; i < count; ++i) plan.reloads_ms.push_back(first_ms + i * burst_interval_ms);
  }
  if (random.bernoulli(0.3)) plan.reloads_ms.push_back(plan.terminate_at_ms + between(random, 1, 300));
  std::sort(plan.reloads_ms.begin(), plan.reloads_ms.end());
  while (random.bernoulli(0.5))
    plan.repeated_terminations_ms.push_back(between(random, plan.terminate_at_ms, plan.kill_at_ms));
  while (random.bernoulli(0.3)) plan.counter_dumps_ms.push_back(between(random, 0, plan.kill_at_ms));
  // The suspensions do not overlap, so that each stays within the limit of the protocol page.
  for (double time_ms = between(random, 0, 2000); time_ms < plan.kill_at_ms && random.bernoulli(0.7);
       time_ms += between(random, 500, 2000))
    plan.suspensions_ms.push_back(time_ms);
}

void draw_clients(SoakPlan& plan, RandomStream& random) {
  plan.departure_share = random.bernoulli(0.5) ? 0.2 : 0;
  while (random.bernoulli(0.4))
    plan.departure_bursts_ms.push_back(between(random, 200, plan.terminate_at_ms + 500));
  if (!random.bernoulli(0.3)) return;
  plan.crowd_at_ms = between(random, 0, plan.terminate_at_ms - 500);
  plan.idle_clients = static_cast<std::size_t>(between(random, 100, 400));
  plan.half_written_clients = static_cast<std::size_t>(between(random, 0, 40));
}

}  // namespace

SoakPlan draw_soak_plan(const emulator::Scenario& base, std::uint64_t seed) {
  RandomStream random(emulator::derive_seed(seed, emulator::RandomPurpose::fault_schedule));
  SoakPlan plan;
  plan.scenario = base;
  draw_settings(plan.scenario, random);
  plan.terminate_at_ms = between(random, 0.4, 1) * base.duration_ms;
  plan.new_connections_until_ms =
      plan.terminate_at_ms + between(random, min_new_connections_ms, max_new_connections_ms);
  plan.kill_at_ms = plan.terminate_at_ms + plan.scenario.longest_deadline_ms() + kill_after_deadline_ms;
  // Clients go on using open connections until SIGKILL.
  plan.scenario.duration_ms = plan.kill_at_ms;
  draw_server_faults(plan, random);
  draw_discovery_phases(plan, random);
  draw_signals(plan, random);
  draw_clients(plan, random);
  return plan;
}

std::string describe(const SoakPlan& plan) {
  static constexpr std::array<const char*, 6> mode_names{"healthy",     "silent", "refuses",
                                                         "unavailable", "slow",   "half response"};
  std::ostringstream text;
  const auto list = [&](const char* name, const std::vector<double>& times_ms) {
    if (times_ms.empty()) return;
    text << "  " << name << " at";
    for (const double time_ms : times_ms) text << ' ' << time_ms;
    text << " ms\n";
  };
  text << "  " << (plan.scenario.discovery.is_polled ? "polled" : "pushed") << " lists, grace "
       << plan.scenario.rules.drain_grace_ms << " ms, deadlines";
  for (const emulator::MethodWorkload& workload : plan.scenario.methods)
    text << ' ' << workload.method.deadline_ms;
  text << " ms\n";
  list("first SIGTERM", {plan.terminate_at_ms});
  list("SIGKILL", {plan.kill_at_ms});
  list("more SIGTERM", plan.repeated_terminations_ms);
  list("SIGHUP", plan.reloads_ms);
  list("SIGUSR1", plan.counter_dumps_ms);
  list("held up", plan.suspensions_ms);
  list("clients leave", plan.departure_bursts_ms);
  if (plan.has_crowd())
    text << "  crowd of " << plan.idle_clients << " idle and " << plan.half_written_clients
         << " half-written at " << plan.crowd_at_ms << " ms\n";
  for (const DiscoveryPhase& phase : plan.discovery_phases)
    text << "  discovery " << mode_names.at(static_cast<std::size_t>(phase.mode)) << " from "
         << phase.start_ms << " to " << phase.end_ms << " ms, " << phase.response_delay_ms << " ms if slow\n";
  return text.str();
}

}  // namespace indigorill::load_generator
