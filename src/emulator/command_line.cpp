#include "emulator/command_line.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <string>
#include <thread>
#include <vector>

#include "config/toml_section.h"
#include "emulator/experiment.h"
#include "emulator/membership_experiment.h"
#include "emulator/report.h"
#include "emulator/scenario_table.h"
#include "emulator/simulation.h"
#include "emulator/trace_writer.h"
#include "emulator/worst_case_search.h"

namespace indigorill::emulator {
namespace {

constexpr int exit_ok = 0;
constexpr int exit_failure = 1;
constexpr int exit_usage = 2;
constexpr int exit_rule_violated = 3;

struct CommandOptions {
  std::string scenario_path;
  std::string output_directory;  // empty: no files
  std::string trace_path;        // empty: no trace
  std::vector<std::string> settings;
  std::vector<std::string> axes;
  std::vector<std::string> policies{"module"};
  std::string baseline = "true-state";
  std::uint64_t seed = 0;  // 0: the scenario's seed
  std::size_t run_count = 1;
  std::size_t trial_count = 40;
  double loss_fraction_kept = 0.8;
  unsigned threads = std::max(std::thread::hardware_concurrency(), 1U);

  MembershipExperiment membership;
  std::vector<int> membership_sizes{10, 100};
  std::vector<double> membership_losses{0, 0.05, 0.2};
};

struct Subcommands {
  CLI::App* run;
  CLI::App* sweep;
  CLI::App* compare;
  CLI::App* search;
  CLI::App* gather;
};

PolicyKind require_policy_kind(const std::string& name) {
  const auto kind = parse_policy_kind(name);
  if (!kind) throw ConfigError("unknown policy " + name);
  return *kind;
}

toml::table load_scenario_table(const CommandOptions& options) {
  toml::table table = read_toml_file(options.scenario_path);
  // Checked before the settings are applied, so that errors name the line in the file.
  if (const auto unsupported = find_unsupported_feature(decode_scenario(table)))
    throw ConfigError(options.scenario_path + ": " + *unsupported);
  for (const std::string& text : options.settings) {
    const VariableSetting setting = parse_setting(text);
    set_value(table, setting.path, setting.value);
  }
  return table;
}

bool any_violation(const std::vector<ExperimentPoint>& points) {
  for (const ExperimentPoint& point : points) {
    for (const RunMetrics& run : point.results) {
      if (run.violation_count > 0) return true;
    }
  }
  return false;
}

void write_trace(const CommandOptions& options, const Experiment& experiment) {
  std::ofstream file(options.trace_path);
  if (!file) throw std::runtime_error("can't write " + options.trace_path);
  TraceWriter writer(file);
  const Scenario scenario = decode_scenario(experiment.base_scenario);
  const std::uint64_t seed = options.seed > 0 ? options.seed : scenario.seed;
  run_simulation(scenario, experiment.policies.front(), seed, &writer);
}

int run_experiment_command(const CommandOptions& options, std::ostream& out) {
  Experiment experiment;
  experiment.base_scenario = load_scenario_table(options);
  for (const std::string& text : options.axes) experiment.axes.push_back(parse_axis(text));
  experiment.policies.clear();
  for (const std::string& name : options.policies) experiment.policies.push_back(require_policy_kind(name));
  experiment.first_seed = options.seed;
  experiment.run_count = options.run_count;
  experiment.threads = options.threads;
  if (!options.trace_path.empty()) write_trace(options, experiment);
  const std::vector<ExperimentPoint> points = run_experiment(experiment);
  print_table(out, points);
  if (experiment.axes.empty()) print_differences(out, points);
  if (!options.output_directory.empty()) {
    write_all(options.output_directory, points);
    out << "files in " << options.output_directory << "; gnuplot plot.gp there draws plot.png\n";
  }
  return any_violation(points) ? exit_rule_violated : exit_ok;
}

void write_table(const std::string& directory, const char* name, const toml::table& table) {
  std::ofstream file(std::filesystem::path(directory) / name);
  file << table << '\n';
  if (!file.flush()) throw std::runtime_error("can't write into " + directory);
}

int run_search_command(const CommandOptions& options, std::ostream& out) {
  WorstCaseSearch search;
  search.base_scenario = load_scenario_table(options);
  if (options.seed > 0) set_value(search.base_scenario, "seed", static_cast<double>(options.seed));
  search.baseline = require_policy_kind(options.baseline);
  search.trial_count = options.trial_count;
  search.runs_per_trial = options.run_count;
  search.loss_fraction_kept = options.loss_fraction_kept;
  search.threads = options.threads;
  if (decode_search_ranges(search.base_scenario).empty())
    throw ConfigError(options.scenario_path + ": the table 'ranges' is missing; the search needs it");
  const WorstCase found = find_worst_case(search);
  out << "worst of " << options.trial_count << " days, " << found.run_count << " runs: loses "
      << found.worst_loss << " of utility to " << options.baseline << '\n';
  for (const std::string& reduction : found.reductions) out << "  cut down: " << reduction << '\n';
  out << "the smallest that still does loses " << found.smallest_loss << '\n';
  if (options.output_directory.empty()) {
    out << found.smallest_scenario << '\n';
    return exit_ok;
  }
  std::filesystem::create_directories(options.output_directory);
  write_table(options.output_directory, "worst.toml", found.worst_scenario);
  write_table(options.output_directory, "smallest.toml", found.smallest_scenario);
  out << "worst.toml and smallest.toml in " << options.output_directory << '\n';
  return exit_ok;
}

int run_membership_command(const CommandOptions& options, std::ostream& out) {
  std::vector<MembershipMeasurement> measurements;
  for (const int sidecars : options.membership_sizes) {
    for (const double loss : options.membership_losses) {
      MembershipExperiment experiment = options.membership;
      experiment.sidecars = sidecars;
      experiment.loss = loss;
      measurements.push_back({experiment, run_membership_experiment(experiment)});
    }
  }
  print_membership_results(out, measurements);
  return exit_ok;
}

void add_common_options(CLI::App& command, CommandOptions& options) {
  command.add_option("scenario", options.scenario_path, "scenario file (TOML)")->required();
  command.add_option("--set", options.settings,
                     "path=value: overrides a value of the file, for example load.rate=500");
  command.add_option("--seed", options.seed, "first seed; overrides the scenario's");
  command.add_option("--threads", options.threads, "number of threads; the results do not depend on it")
      ->check(CLI::Range(1, 1024));
  command.add_option("--out", options.output_directory, "folder for the output files");
}

void add_runs_option(CLI::App& command, CommandOptions& options) {
  command.add_option("--runs", options.run_count, "number of independent runs, with consecutive seeds")
      ->check(CLI::Range(1, 100000));
}

CLI::App* add_run_command(CLI::App& app, CommandOptions& options) {
  CLI::App* command = app.add_subcommand("run", "run one scenario");
  add_common_options(*command, options);
  add_runs_option(*command, options);
  command
      ->add_option("--policy", options.policies,
                   "module (the load balancer), random, round-robin, two-choices or true-state")
      ->expected(1);
  command->add_option("--log", options.trace_path, "file for the trace of the first run, as JSON lines");
  return command;
}

CLI::App* add_sweep_command(CLI::App& app, CommandOptions& options) {
  CLI::App* command = app.add_subcommand("sweep", "run a scenario over the values of one or two variables");
  add_common_options(*command, options);
  add_runs_option(*command, options);
  command->add_option("--over", options.axes, "variable and its values: path=a,b,c or path=from:to:count")
      ->required()
      ->expected(1, 2);
  command->add_option("--policy", options.policies, "one or more policies");
  return command;
}

CLI::App* add_compare_command(CLI::App& app, CommandOptions& options) {
  CLI::App* command =
      app.add_subcommand("compare", "compare the load balancer with baselines on the same seeds");
  add_common_options(*command, options);
  add_runs_option(*command, options);
  command->add_option("--policy", options.policies, "policies; the others are compared with the first");
  return command;
}

CLI::App* add_search_command(CLI::App& app, CommandOptions& options) {
  CLI::App* command =
      app.add_subcommand("search", "find the worst case within the scenario's ranges and reduce it");
  add_common_options(*command, options);
  add_runs_option(*command, options);
  command->add_option("--against", options.baseline, "baseline that shows which utility was possible");
  command->add_option("--tries", options.trial_count, "number of trial scenarios to draw")
      ->check(CLI::Range(1, 100000));
  command
      ->add_option("--keep", options.loss_fraction_kept,
                   "fraction of the worst loss that a reduced scenario must keep")
      ->check(CLI::Range(0.0, 1.0));
  return command;
}

CLI::App* add_gather_command(CLI::App& app, CommandOptions& options) {
  CLI::App* command =
      app.add_subcommand("gather", "measure how soon members learn of changes, and their traffic");
  MembershipExperiment& membership = options.membership;
  command->add_option("--sidecars", options.membership_sizes, "number of sidecars; one or more values")
      ->check(CLI::Range(3, 5000));
  command
      ->add_option("--loss", options.membership_losses,
                   "share of datagrams that are lost; one or more values")
      ->check(CLI::Range(0.0, 0.9));
  command->add_option("--period", membership.probe_interval_ms, "interval between probes, in ms")
      ->check(CLI::Range(50.0, 60000.0));
  command->add_option("--timeout", membership.probe_timeout_ms, "timeout of a direct probe, in ms")
      ->check(CLI::Range(1.0, 30000.0));
  command->add_option("--seed", membership.seed, "seed of the random numbers");
  return command;
}

int execute(const Subcommands& subcommands, CommandOptions& options, std::ostream& out) {
  if (*subcommands.gather) return run_membership_command(options, out);
  if (*subcommands.search) return run_search_command(options, out);
  if (*subcommands.compare && subcommands.compare->count("--policy") == 0)
    options.policies = {"module", "random", "round-robin", "two-choices", "true-state"};
  return run_experiment_command(options, out);
}

}  // namespace

int run_command(int argc, const char* const* argv, std::ostream& out, std::ostream& err) {
  CLI::App app("Runs scenarios against the load balancer in an emulated fleet.", "indigorill-emulator");
  app.require_subcommand(1);
  CommandOptions options;
  const Subcommands subcommands{.run = add_run_command(app, options),
                                .sweep = add_sweep_command(app, options),
                                .compare = add_compare_command(app, options),
                                .search = add_search_command(app, options),
                                .gather = add_gather_command(app, options)};
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error, out, err) == 0 ? exit_ok : exit_usage;
  }
  try {
    return execute(subcommands, options, out);
  } catch (const ConfigError& error) {
    err << error.what() << '\n';
    return exit_usage;
  } catch (const std::exception& error) {
    err << "indigorill-emulator: " << error.what() << '\n';
    return exit_failure;
  }
}

}  // namespace indigorill::emulator
