#include "load/play.h"

#include <sys/resource.h>
#include <sys/socket.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cmath>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <set>

#include "config/load_balancer_config.h"
#include "emulator/scenario_table.h"
#include "emulator/sweep.h"
#include "load/crew.h"

namespace indigorill::loading {
namespace {

using emulator::Fault;

std::string format_hex(std::uint64_t v) {
  std::ostringstream s;
  s << std::hex << v;
  return s.str();
}

// As many descriptors as this process may have.
std::size_t raise_descriptor_limit() {
  rlimit most{};
  ::getrlimit(RLIMIT_NOFILE, &most);
  most.rlim_cur = most.rlim_max;
  ::setrlimit(RLIMIT_NOFILE, &most);
  ::getrlimit(RLIMIT_NOFILE, &most);
  constexpr std::size_t enough = 1 << 20;
  return std::min<std::size_t>(most.rlim_cur, enough);
}

std::vector<std::string> find_rule_violations(const ClientMetrics& heard, const FakeFleet& stand_ins,
                                              const LoadClients& apps) {
  std::vector<std::string> broken;
  if (heard.unanswered > 0)
    broken.push_back("rule 1: " + std::to_string(heard.unanswered) +
                     " RPCs got no answer before their deadline");
  std::uint64_t twice = 0, ran = 0;
  std::string example;
  for (const auto& [id, s] : stand_ins.rpcs())
    if (s.executed > 1 && apps.is_non_idempotent(id)) ++twice, example = id;
  if (twice > 0)
    broken.push_back("rule 2: " + std::to_string(twice) + " non-idempotent RPCs ran twice, " + example +
                     " for one");
  for (const std::string& id : heard.rejected_non_idempotent) {
    const auto it = stand_ins.rpcs().find(id);
    if (it != stand_ins.rpcs().end() && it->second.executed > 0) ++ran, example = id;
  }
  if (ran > 0)
    broken.push_back("rule 2: " + std::to_string(ran) +
                     " non-idempotent RPCs were pushed back though they ran, " + example + " for one");
  if (stand_ins.malformed_requests > 0)
    broken.push_back(std::to_string(stand_ins.malformed_requests) +
                     " RPCs came to endpoints without what clients sent");
  return broken;
}

}  // namespace

nlohmann::json make_sidecar_config(const emulator::Scenario& s, std::size_t sidecar,
                                   const std::string& listen, const std::string& discovery,
                                   const std::string& known, std::uint64_t seed) {
  using nlohmann::json;
  const auto us = [](double ms) { return static_cast<std::uint64_t>(std::llround(ms * 1000)); };
  const LoadBalancerConfig t = s.load_balancer_config(static_cast<int>(sidecar) % s.zones);
  json methods = json::array();
  for (const MethodConfig& m : t.methods) {
    const char* effects[] = {"retryable", "dedup", "fragile"};
    const char* groups[] = {"all", "zone", "cell"};
    methods.push_back({{"name", m.name},
                       {"latencyTarget", us(m.latency_objective_ms)},
                       {"deadline", us(m.deadline_ms)},
                       {"utility", m.priority_weight},
                       {"overdueUtility", m.late_weight},
                       {"effect", effects[static_cast<std::size_t>(m.retry_safety)]},
                       {"group", groups[static_cast<std::size_t>(m.deduplication_scope)]},
                       {"dedupWindow", us(m.deduplication_window_ms)}});
  }
  json settings{
      {"methods", methods},
      {"zone", t.zone},
      {"round", us(t.tick_ms)},
      {"balancers", t.sidecar_count},
      {"discovery", t.must_poll_endpoints ? "subscribe" : "automatic"},
      {"bounds",
       {{"maxPicks", t.max_attempts},
        {"cancelling", t.cancellation_enabled},
        {"probes", t.probing_enabled},
        {"retryAfter", t.max_retry_after_ms > 0},
        {"maxRetryAfter", us(t.max_retry_after_ms)},
        {"keepalive", us(s.network.idle_timeout_ms)},
        {"connectTimeout", us(s.network.connect_timeout_ms)}}},
      {"reporting",
       {{"how", t.probes_report_load ? "answers" : "none"}, {"fields", json::array({in_flight_key})}}},
      {"charges",
       {{"crossZone", t.cross_zone_cost}, {"probe", t.probe_cost}, {"handshake", t.handshake_cost}}},
      {"rules",
       {{"askWithin", us(t.max_poll_silence_ms)},
        {"coldFrom", t.slow_start_initial_weight},
        {"cold", us(t.slow_start_duration_ms)},
        {"overloadFactor", t.slow_start_overload_factor},
        {"fall", us(t.slow_start_burst_ms)},
        {"drainGrace", us(s.rules.drain_grace_ms)}}}};
  return {{"name", "n" + std::to_string(sidecar)},
          {"listen", listen},
          {"discovery", discovery},
          {"seed", format_hex(emulator::derive_seed(seed, emulator::RandomPurpose::policy, sidecar))},
          {"known", json::parse(known)},
          {"settings", settings}};
}

namespace {

// Stand-ins and where the sidecars are to be.
struct LoadTestBed {
  explicit LoadTestBed(const LoadRunConfig& with)
      : descriptors{raise_descriptor_limit() - reserved_descriptors}, clock(loop) {
    if (with.scenario.sidecars > static_cast<int>(sidecar_port_offset))
      throw std::runtime_error("at most " + std::to_string(sidecar_port_offset) + " sidecars on sockets");
    if (with.base_port > 0 &&
        with.base_port + server_port_offset + with.scenario.initial_server_count() > 65535)
      throw std::runtime_error("--base-port leaves no room for the servers' ports");
    fleet = std::make_unique<FakeFleet>(loop, descriptors, clock, with.scenario, with.seed, with.base_port);
    for (std::size_t i = 0; i < static_cast<std::size_t>(with.scenario.sidecars); ++i)
      sidecar_addresses.push_back(
          with.base_port ? loopback_at(port_of(with.base_port, sidecar_port_offset + i)) : reserve_port());
  }
  static constexpr std::size_t reserved_descriptors = 32;  // descriptors for all that is no socket
  EventLoop loop;
  FileDescriptorBudget descriptors;
  WallClockScheduler clock;
  std::unique_ptr<FakeFleet> fleet;
  std::vector<sockaddr_in> sidecar_addresses;
};

nlohmann::json make_config_at(const LoadRunConfig& with, const LoadTestBed& on, std::size_t i) {
  return make_sidecar_config(with.scenario, i, format_address(on.sidecar_addresses[i]),
                             on.fleet->agent_address(i), on.fleet->endpoint_list(), with.seed);
}

std::optional<GossipOptions> gossip_options(const emulator::Scenario& s) {
  if (!s.gossip.enabled) return {};
  const emulator::GossipConfig& gossip = s.gossip;
  return GossipOptions{.cluster_name = "load",
                       .probe_interval_ms = gossip.probe_interval_ms,
                       .probe_timeout_ms = gossip.probe_timeout_ms,
                       .seed_count = gossip.seeds,
                       .conditions = {.loss = gossip.loss_rate,
                                      .duplicated = gossip.duplicate_rate,
                                      .delay_ms = gossip.delay_ms,
                                      .jitter_ms = gossip.jitter_ms,
                                      .late = gossip.late_rate,
                                      .late_by_ms = gossip.late_by_ms},
                       .voter_count = gossip.voters,
                       .lease_ms = gossip.lease_ms,
                       .quota_refresh_ms = gossip.quota_refresh_ms,
                       .registration_lease_ms = gossip.registration_lease_ms,
                       .retries_per_second = gossip.retries_per_second,
                       .guaranteed_minimum = gossip.guaranteed_minimum,
                       .max_quota_holders = gossip.max_quota_holders};
}

bool is_sidecar_fault(Fault::Kind what) {
  using Kind = Fault::Kind;
  return what == Kind::restart_sidecars || what == Kind::suspend_sidecars ||
         what == Kind::terminate_sidecars || what == Kind::gossip_partition;
}

void schedule_fault(const Fault& t, std::size_t which, LoadTestBed& on, LoadClients& apps, std::uint64_t seed,
                    SidecarProcesses* sidecars) {
  const auto at = [&](double when, emulator::EventQueue::Callback what) {
    on.clock.schedule(when, emulator::EventPriority::fault, std::move(what));
  };
  if (t.kind == Fault::Kind::load_surge) {
    at(t.start_ms, [&apps, much = t.factor] { apps.multiply_rate(much); });
    return at(t.start_ms + t.duration_ms, [&apps, much = t.factor] { apps.multiply_rate(1 / much); });
  }
  using Kind = Fault::Kind;
  if (!is_sidecar_fault(t.kind)) return on.fleet->schedule_fault(t, which);
  emulator::RandomStream draw(
      emulator::derive_seed(seed, emulator::RandomPurpose::fault_schedule, which + 1));
  const std::vector<std::uint32_t> some = emulator::sample_indices(sidecars->size(), t.share, draw);
  if (t.kind == Kind::gossip_partition) {
    const std::set<std::size_t> apart(some.begin(), some.end());
    for (const bool is : {true, false})
      at(is ? t.start_ms : t.start_ms + t.duration_ms, [sidecars, apart, is, one_way = t.one_way] {
        for (std::size_t a = 0; a < sidecars->size(); ++a)
          for (const std::size_t b : apart)
            if (apart.count(a) == 0) {
              sidecars->datagram_proxy().set_partitioned(a, b, is);
              if (!one_way) sidecars->datagram_proxy().set_partitioned(b, a, is);
            }
      });
    return;
  }
  for (const std::size_t s : some) {
    const double when = t.start_ms + t.spread_ms * draw.uniform();
    if (t.kind == Kind::suspend_sidecars) {
      // Its machine stands still, its application too: what that had asked is lost to it.
      at(when, [sidecars, &apps, s] {
        sidecars->process(s).send_signal(SIGSTOP);
        apps.on_sidecar_stopped(s);
      });
      at(when + t.duration_ms, [sidecars, &apps, s] {
        sidecars->process(s).send_signal(SIGCONT);
        apps.on_sidecar_started(s);
      });
      continue;
    }
    at(when, [sidecars, &apps, s, in_order = t.kind == Kind::terminate_sidecars] {
      if (in_order)
        sidecars->process(s).send_signal(SIGTERM);
      else
        sidecars->process(s).kill_and_wait();
      apps.on_sidecar_stopped(s);
    });
    at(when + t.duration_ms, [sidecars, &on, &apps, s] {
      sidecars->process(s).kill_and_wait();  // one that was told to end and hangs
      sidecars->start(s);
      // Its application waits until it is ready, without holding up the others.
      const auto again = std::make_shared<emulator::EventQueue::Callback>();
      *again = [&on, &apps, s, again = std::weak_ptr(again)] {
        const FileDescriptor fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
        const auto* where = reinterpret_cast<const sockaddr*>(&on.sidecar_addresses[s]);
        constexpr double pause = 5;
        if (fd && ::connect(fd.get(), where, sizeof on.sidecar_addresses[s]) == 0)
          return apps.on_sidecar_started(s);
        if (const auto self = again.lock())
          on.clock.schedule(on.clock.now() + pause, emulator::EventPriority::client, [self] { (*self)(); });
      };
      (*again)();
    });
  }
}

}  // namespace

void write_configs(const LoadRunConfig& with, const std::string& to) {
  const LoadTestBed on(with);
  std::filesystem::create_directories(to);
  for (std::size_t i = 0; i < on.sidecar_addresses.size(); ++i)
    write_file(std::filesystem::path(to) / ("n" + std::to_string(i) + ".json"),
               make_config_at(with, on, i).dump(1));
}

namespace {

// Judged by what came to the stand-ins: picks that were sent within a window come within a little more.
void check_retry_budget(const emulator::Scenario& s, const FakeFleet& stand_ins, LoadRunResult& o) {
  constexpr double window = 1000, on_the_way = 50;  // ms
  o.retries = stand_ins.retry_times().size();
  o.retries_by_second.resize(static_cast<std::size_t>(std::ceil(s.duration_ms / window)));
  for (const double at : stand_ins.retry_times())
    if (const auto second = static_cast<std::size_t>(std::max(at, 0.0) / window);
        second < o.retries_by_second.size())
      ++o.retries_by_second[second];
  if (!s.gossip.enabled || s.gossip.retries_per_second <= 0) return;
  o.max_retries_per_second = stand_ins.max_retries_within(window - on_the_way);
  o.budget_used_fraction =
      static_cast<double>(o.retries) / (s.gossip.retries_per_second * s.duration_ms / window);
  if (static_cast<double>(o.max_retries_per_second) <= s.gossip.retries_per_second) return;
  ++o.budget_violations;
  std::ostringstream text;
  text << "budget: " << o.max_retries_per_second << " further picks in a second, of "
       << s.gossip.retries_per_second;
  o.violations.push_back(text.str());
}

}  // namespace

LoadRunResult run_scenario(const LoadRunConfig& with) {
  ::signal(SIGPIPE, SIG_IGN);
  LoadTestBed on(with);
  std::unique_ptr<SidecarProcesses> sidecars;
  if (!with.sidecar_command.empty()) {
    sidecars = std::make_unique<SidecarProcesses>(
        on.loop, with.sidecar_command, on.sidecar_addresses,
        [&](std::size_t i) { return make_config_at(with, on, i); }, gossip_options(with.scenario), with.seed);
    for (std::size_t i = 0; i < on.sidecar_addresses.size(); ++i) sidecars->start(i);
  }
  constexpr double to_begin = 10000;
  for (std::size_t i = 0; i < on.sidecar_addresses.size(); ++i) {
    const auto gone = [&] { return sidecars && sidecars->process(i).has_exited(); };
    if (!wait_until_ready(on.loop, on.sidecar_addresses[i], to_begin, gone))
      throw std::runtime_error("sidecar n" + std::to_string(i) + " at " +
                               format_address(on.sidecar_addresses[i]) + " is not ready" +
                               (sidecars ? ": " + sidecars->process(i).last_line() : ""));
  }
  LoadClients apps(on.loop, on.descriptors, on.clock, with.scenario, with.seed, with.max_requests,
                   on.sidecar_addresses);
  apps.start();
  for (std::size_t i = 0; i < with.scenario.faults.size(); ++i)
    schedule_fault(with.scenario.faults[i], i, on, apps, with.seed, sidecars.get());
  on.clock.start();
  constexpr double spare = 1000, round = 20;
  const double end = with.scenario.duration_ms + with.scenario.longest_deadline_ms();
  while (on.clock.now() < with.scenario.duration_ms || (apps.open() > 0 && on.clock.now() < end + spare))
    on.loop.run_once(round);

  LoadRunResult o;
  o.client_metrics = apps.metrics();
  for (const auto& [id, s] : on.fleet->rpcs()) {
    o.attempts_received += static_cast<std::uint64_t>(s.received);
    o.attempts_executed += static_cast<std::uint64_t>(s.executed);
  }
  o.health_checks = on.fleet->health_checks;
  o.connections = on.fleet->connections;
  o.crashes = on.fleet->crashes;
  o.discovery_polls = on.fleet->discovery_polls;
  o.violations = find_rule_violations(o.client_metrics, *on.fleet, apps);
  check_retry_budget(with.scenario, *on.fleet, o);
  // The clock of a busy process stands: what it measures then is itself.
  constexpr double too_late = 5, q = 0.99;
  if (o.client_metrics.send_delay.quantile(q) > too_late) {
    std::ostringstream text;
    text << "one RPC in a hundred was sent " << o.client_metrics.send_delay.quantile(q) << " ms late or more";
    o.pace_failure = text.str();
  } else if (o.client_metrics.skipped > 0) {
    o.pace_failure = std::to_string(o.client_metrics.skipped) + " RPCs were not sent, for lack of room";
  }
  o.kept_pace = o.pace_failure.empty();
  return o;
}

namespace {

void print_result(std::ostream& out, const LoadRunResult& o) {
  const auto line = [&](const char* name, double v) {
    out << "  " << std::left << std::setw(18) << name << std::setprecision(4) << v << '\n';
  };
  const auto share = [&](std::uint64_t n) {
    return o.client_metrics.requests ? static_cast<double>(n) / static_cast<double>(o.client_metrics.requests)
                                     : 0;
  };
  out << o.client_metrics.requests << " RPCs wanted, " << o.client_metrics.sent << " sent with retries\n";
  line("utility", o.client_metrics.utility());
  line("p50_ms", o.client_metrics.latency.quantile(0.5));
  line("p99_ms", o.client_metrics.latency.quantile(0.99));
  out << "  " << std::left << std::setw(18) << "p99.9_ms" << o.client_metrics.latency.quantile(0.999)
      << (o.client_metrics.latency.has_too_few_samples(0.999) ? " *" : "") << '\n';
  line("ok", share(o.client_metrics.ok));
  line("late", share(o.client_metrics.late));
  line("pushed_back", share(o.client_metrics.rejected));
  line("aborted", share(o.client_metrics.failed));
  line("unanswered", share(o.client_metrics.unanswered));
  line("lost", share(o.client_metrics.lost));
  line("picks", share(o.attempts_received));
  line("handshakes", share(o.connections));
  line("probes", share(o.health_checks));
  line("list_calls", static_cast<double>(o.discovery_polls));
  line("falls", static_cast<double>(o.crashes));
  line("further_picks", static_cast<double>(o.retries));
  if (o.budget_used_fraction >= 0) {
    line("most_a_second", static_cast<double>(o.max_retries_per_second));
    line("over_budget", static_cast<double>(o.budget_violations));
    line("used_of_budget", o.budget_used_fraction);
    out << "  further picks, second by second:\n";
    constexpr std::size_t widest = 60;
    const std::size_t most = *std::max_element(o.retries_by_second.begin(), o.retries_by_second.end());
    for (std::size_t second = 0; second < o.retries_by_second.size(); ++second) {
      const std::size_t n = o.retries_by_second[second];
      out << "  " << std::right << std::setw(4) << second << std::setw(5) << n << ' '
          << std::string(most > widest ? n * widest / most : n, '#') << '\n';
    }
  }
  line("sent_late_p99_ms", o.client_metrics.send_delay.quantile(0.99));
  for (const std::string& b : o.violations) out << "  broken: " << b << '\n';
  if (!o.kept_pace) out << "  could not keep its own pace: " << o.pace_failure << '\n';
  if (o.client_metrics.latency.has_too_few_samples(0.999))
    out << "* fewer than ten samples lie beyond this quantile\n";
}

}  // namespace

int run_command(int argc, const char* const* argv, std::ostream& out, std::ostream& err) {
  CLI::App app(
      "Plays a scenario on sockets: open-loop load on sidecars, with stand-ins for endpoints and discovery, "
      "all on "
      "loopback. Exit status: 0, 1 if it can't begin, 2 for words or a scenario at fault, 3 if a rule was "
      "broken, "
      "4 if it could not keep its own pace.",
      "indigorill-load");
  std::string file, folder_for_configs;
  std::vector<std::string> settings;
  LoadRunConfig with;
  app.add_option("scenario", file, "the scenario, a TOML file")->required();
  app.add_option("--set", settings, "path=value in place of the file's, as load.rate=500");
  app.add_option("--seed", with.seed, "in place of the scenario's");
  app.add_option("--start", with.sidecar_command,
                 "the sidecar's program, started as often as the scenario says");
  app.add_option("--base-port", with.base_port,
                 "agents listen from here on, sidecars 1000 above, endpoints 2000 above");
  app.add_option("--write-configs", folder_for_configs, "write the sidecars' configs into a folder, and end");
  app.add_option("--most", with.max_requests, "RPCs, at most")->check(CLI::Range(1, 100000000));
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    return app.exit(e, out, err) == 0 ? 0 : 2;
  }
  try {
    toml::table t = read_toml_file(file);
    with.scenario = emulator::decode_scenario(t);
    for (const std::string& text : settings) {
      const auto [path, value] = emulator::parse_setting(text);
      emulator::set_value(t, path, value);
    }
    with.scenario = emulator::decode_scenario(t);
    if (app.count("--seed") == 0) with.seed = with.scenario.seed;
    std::string wrong;
    for (const std::string& fault : find_unsupported_features(with.scenario))
      wrong += (wrong.empty() ? "" : "\n") + fault;
    for (const Fault& is : with.scenario.faults)
      if (is.kind == Fault::Kind::gossip_partition && !with.scenario.gossip.enabled)
        wrong = "trouble cut_talk wants a section talk";
    if (with.sidecar_command.empty() && with.base_port == 0)
      wrong = "neither --start nor --base-port: where are the sidecars?";
    if (with.sidecar_command.empty())
      for (const Fault& is : with.scenario.faults)
        if (is_sidecar_fault(is.kind))
          wrong =
              "trouble restart_sidecars wants --start, as do all of sidecars: only what it started does it "
              "kill";
    if (!wrong.empty()) throw ConfigError(wrong);
    if (!folder_for_configs.empty()) {
      write_configs(with, folder_for_configs);
      out << with.scenario.sidecars << " configs in " << folder_for_configs << '\n';
      return 0;
    }
    const LoadRunResult o = run_scenario(with);
    print_result(out, o);
    return !o.violations.empty() ? 3 : !o.kept_pace ? 4 : 0;
  } catch (const ConfigError& e) {
    err << e.what() << '\n';
    return 2;
  } catch (const std::exception& e) {
    err << "indigorill-load: " << e.what() << '\n';
    return 1;
  }
}

}  // namespace indigorill::loading
