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
  std::string config_directory;  // not empty: the configs are written, nothing is run
  std::vector<std::string> settings;
  bool soaks = false;
  LoadRunConfig run;
};

emulator::Scenario load_scenario(const CommandOptions& options) {
  toml::table table = read_toml_file(options.scenario_path);
  // As it stands in the file, where errors have lines.
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

// Why the run can't be played like this; empty where it can. Of several reasons the last is the one to mend
// first.
std::string find_run_error(const LoadRunConfig& config) {
  const emulator::Scenario& scenario = config.scenario;
  if (config.sidecar_command.empty()) {
    if (has_fault(scenario, is_sidecar_fault))
      return "trouble restart_sidecars wants --start, as do all of sidecars: only what it started does it "
             "kill";
    if (config.base_port == 0) return "neither --start nor --base-port: where are the sidecars?";
  }
  if (has_fault(scenario, is_gossip_partition) && !scenario.gossip.enabled)
    return "trouble cut_talk wants a section talk";
  return join_lines(find_unsupported_features(scenario));
}

void add_options(CLI::App& app, CommandOptions& options) {
  app.add_option("scenario", options.scenario_path, "the scenario, a TOML file")->required();
  app.add_option("--set", options.settings, "path=value in place of the file's, as load.rate=500");
  app.add_option("--seed", options.run.seed, "in place of the scenario's");
  app.add_option("--start", options.run.sidecar_command,
                 "the sidecar's program, started as often as the scenario says");
  app.add_option("--base-port", options.run.base_port,
                 "agents listen from here on, sidecars 1000 above, endpoints 2000 above");
  app.add_option("--write-configs", options.config_directory,
                 "write the sidecars' configs into a folder, and end");
  app.add_flag(
      "--soak", options.soaks,
      "one sidecar from its start to its kill, under faults, signals and crowds that the seed draws");
  app.add_option("--most", options.run.max_requests, "RPCs, at most")->check(CLI::Range(1, 100000000));
}

int execute_soak(const LoadRunConfig& run, std::ostream& out) {
  if (run.sidecar_command.empty()) throw ConfigError("--soak wants --start");
  if (run.scenario.sidecars != 1) throw ConfigError("--soak wants a scenario of one sidecar");
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
      "Plays a scenario on sockets: open-loop load on sidecars, with stand-ins for endpoints and discovery, "
      "all on loopback. Exit status: 0, 1 if it can't begin, 2 for words or a scenario at fault, 3 if a rule "
      "was broken, 4 if it could not keep its own pace.",
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
