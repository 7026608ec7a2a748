#include "load/command_line.h"

#include <CLI/CLI.hpp>
#include <string>
#include <vector>

#include "config/toml_section.h"
#include "emulator/scenario_table.h"
#include "emulator/sweep.h"
#include "load/load_faults.h"
#include "load/load_report.h"
#include "load/load_run.h"
#include "load/load_test_bed.h"
#include "load/scenario_runner.h"
#include "load/soak_runner.h"

namespace indigorill::load_generator {
namespace {

using emulator::Fault;

constexpr int exit_ok = 0;
constexpr int exit_failure = 1;
constexpr int exit_usage = 2;
constexpr int exit_rule_violated = 3;
constexpr int exit_pace_failure = 4;

struct CommandOptions {
  std::string scenario_path;
  std::string config_directory;  // if not empty, the configs are written there and nothing is run
  std::vector<std::string> settings;
  bool soaks = false;
  LoadRunConfig run;
};

emulator::Scenario load_scenario(const CommandOptions& options) {
  toml::table table = read_toml_file(options.scenario_path);
  // Decodes the unchanged file first, so that errors in it are reported with their line.
  emulator::decode_scenario(table);
  for (const std::string& text : options.settings) {
    const emulator::VariableSetting setting = emulator::parse_setting(text);
    emulator::set_value(table, setting.path, setting.value);
  }
  return emulator::decode_scenario(table);
}

bool has_fault(const emulator::Scenario& scenario, bool (*predicate)(Fault::Kind)) {
  for (const Fault& fault : scenario.faults) {
    if (predicate(fault.kind)) return true;
  }
  return false;
}

bool is_gossip_partition(Fault::Kind kind) { return kind == Fault::Kind::gossip_partition; }

std::string join_lines(const std::vector<std::string>& lines) {
  std::string text;
  for (const std::string& line : lines) text += (text.empty() ? "" : "\n") + line;
  return text;
}

// Returns the first reason found why this run is impossible, or an empty string if it is possible. If the
// reason is unsupported features of the scenario, all of them are listed, one on each line.
std::string find_run_error(const LoadRunConfig& config) {
  const emulator::Scenario& scenario = config.scenario;
  if (config.sidecar_command.empty()) {
    if (has_fault(scenario, is_sidecar_fault))
      return "restart_sidecars and all other troubles of sidecars require --start: only processes that "
             "indigorill-load has started are killed";
    if (config.base_port == 0)
      return "either --start (starts sidecars) or --base-port (ports of running sidecars) is required";
  }
  if (has_fault(scenario, is_gossip_partition) && !scenario.gossip.enabled)
    return "trouble cut_talk requires a section [talk]";
  return join_lines(find_unsupported_features(scenario));
}

void add_options(CLI::App& app, CommandOptions& options) {
  app.add_option("scenario", options.scenario_path, "scenario file (TOML)")->required();
  app.add_option("--set", options.settings,
                 "override a value of the scenario, given as path=value, for example load.rate=500");
  app.add_option("--seed", options.run.seed, "seed that overrides the one of the scenario");
  app.add_option("--start", options.run.sidecar_command,
                 "program of the sidecar; one process is started for each sidecar of the scenario");
  app.add_option(
      "--base-port", options.run.base_port,
      "first port of the discovery agents; sidecars listen from 1000 above it, endpoints from 2000 above it");
  app.add_option("--write-configs", options.config_directory,
                 "write the sidecars' configs to a directory and exit without a run");
  app.add_flag("--soak", options.soaks,
               "run one sidecar from its start to SIGKILL, with faults, signals and crowds of clients drawn "
               "from the seed");
  app.add_option("--most", options.run.max_requests, "maximum number of RPCs, not counting client retries")
      ->check(CLI::Range(1, 100000000));
}

int execute_soak(const LoadRunConfig& run, std::ostream& out) {
  if (run.sidecar_command.empty()) throw ConfigError("--soak requires --start");
  if (run.scenario.sidecars != 1) throw ConfigError("--soak requires a scenario with one sidecar");
  const SoakResult result = run_soak(run);
  print_soak_result(out, run.seed, result);
  return result.violations.empty() ? exit_ok : exit_rule_violated;
}

int execute(CommandOptions& options, bool has_seed, std::ostream& out) {
  LoadRunConfig& run = options.run;
  run.scenario = load_scenario(options);
  if (!has_seed) run.seed = run.scenario.seed;
  const std::string error = find_run_error(run);
  if (!error.empty()) throw ConfigError(error);
  if (!options.config_directory.empty()) {
    write_sidecar_configs(run, options.config_directory);
    out << run.scenario.sidecars << " configs in " << options.config_directory << '\n';
    return exit_ok;
  }
  if (options.soaks) return execute_soak(run, out);
  const LoadRunResult result = run_scenario(run);
  print_result(out, result);
  if (!result.violations.empty()) return exit_rule_violated;
  return result.kept_pace() ? exit_ok : exit_pace_failure;
}

}  // namespace

int run_command(int argc, const char* const* argv, std::ostream& out, std::ostream& err) {
  CLI::App app(
      "Runs a scenario on sockets: open-loop load on sidecars, with fake endpoints and discovery agents, all "
      "on loopback. Exit status: 0 on success, 1 if the run can't start, 2 for invalid arguments or an "
      "invalid scenario, 3 if a rule was violated, 4 if the load generator could not send the load on time.",
      "indigorill-load");
  CommandOptions options;
  add_options(app, options);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error, out, err) == 0 ? exit_ok : exit_usage;
  }
  try {
    return execute(options, app.count("--seed") > 0, out);
  } catch (const ConfigError& error) {
    err << error.what() << '\n';
    return exit_usage;
  } catch (const std::exception& error) {
    err << "indigorill-load: " << error.what() << '\n';
    return exit_failure;
  }
}

}  // namespace indigorill::load_generator
