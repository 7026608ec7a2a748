#include "emulator/command_line.h"

#include <CLI/CLI.hpp>
#include <fstream>
#include <thread>

#include "emulator/membership_experiment.h"
#include "emulator/report.h"

namespace indigorill::emulator {
namespace {

struct CommandOptions {
  std::string scenario_path, output_directory, trace_path;
  std::vector<std::string> settings, axes, policies{"module"};
  std::string baseline = "true-state";
  std::uint64_t seed = 0;
  std::size_t run_count = 1, trial_count = 40;
  double loss_fraction_kept = 0.8;
  unsigned threads = std::max(std::thread::hardware_concurrency(), 1u);
};

PolicyKind require_policy_kind(const std::string& word) {
  const auto p = parse_policy_kind(word);
  if (!p) throw ConfigError("no policy is named " + word);
  return *p;
}

toml::table load_scenario_table(const CommandOptions& w) {
  toml::table t = read_toml_file(w.scenario_path);
  // As it stands in the file, where faults have lines.
  if (const auto fault = find_unsupported_feature(decode_scenario(t)))
    throw ConfigError(w.scenario_path + ": " + *fault);
  for (const std::string& text : w.settings) {
    const auto [path, value] = parse_setting(text);
    set_value(t, path, value);
  }
  return t;
}

bool any_violation(const std::vector<ExperimentPoint>& points) {
  for (const ExperimentPoint& p : points)
    for (const RunMetrics& f : p.results)
      if (f.violation_count > 0) return true;
  return false;
}

int run_experiment_command(const CommandOptions& w, std::ostream& out) {
  Experiment e;
  e.base_scenario = load_scenario_table(w);
  for (const std::string& text : w.axes) e.axes.push_back(parse_axis(text));
  e.policies.clear();
  for (const std::string& word : w.policies) e.policies.push_back(require_policy_kind(word));
  e.first_seed = w.seed;
  e.run_count = w.run_count;
  e.threads = w.threads;
  if (!w.trace_path.empty()) {
    std::ofstream file(w.trace_path);
    if (!file) throw std::runtime_error("can't write " + w.trace_path);
    TraceWriter record(file);
    const Scenario s = decode_scenario(e.base_scenario);
    run_simulation(s, e.policies.front(), w.seed ? w.seed : s.seed, &record);
  }
  const std::vector<ExperimentPoint> points = run_experiment(e);
  print_table(out, points);
  if (e.axes.empty()) print_differences(out, points);
  if (!w.output_directory.empty()) {
    write_all(w.output_directory, points);
    out << "files in " << w.output_directory << "; gnuplot plot.gp there draws plot.png\n";
  }
  return any_violation(points) ? 3 : 0;
}

int run_search_command(const CommandOptions& w, std::ostream& out) {
  WorstCaseSearch h;
  h.base_scenario = load_scenario_table(w);
  if (w.seed) set_value(h.base_scenario, "seed", static_cast<double>(w.seed));
  h.baseline = require_policy_kind(w.baseline);
  h.trial_count = w.trial_count;
  h.runs_per_trial = w.run_count;
  h.loss_fraction_kept = w.loss_fraction_kept;
  h.threads = w.threads;
  if (decode_search_ranges(h.base_scenario).empty())
    throw ConfigError(w.scenario_path + ": has no table 'ranges' to search in");
  const WorstCase d = find_worst_case(h);
  out << "worst of " << w.trial_count << " days, " << d.run_count << " runs: loses " << d.worst_loss
      << " of utility to " << w.baseline << '\n';
  for (const std::string& step : d.reductions) out << "  cut down: " << step << '\n';
  out << "the smallest that still does loses " << d.smallest_loss << '\n';
  if (w.output_directory.empty()) {
    out << d.smallest_scenario << '\n';
    return 0;
  }
  std::filesystem::create_directories(w.output_directory);
  for (const auto& [name, table] :
       {std::pair("worst.toml", &d.worst_scenario), std::pair("smallest.toml", &d.smallest_scenario)}) {
    std::ofstream file(std::filesystem::path(w.output_directory) / name);
    file << *table << '\n';
    if (!file.flush()) throw std::runtime_error("can't write into " + w.output_directory);
  }
  out << "worst.toml and smallest.toml in " << w.output_directory << '\n';
  return 0;
}

}  // namespace

int run_command(int argc, const char* const* argv, std::ostream& out, std::ostream& err) {
  CLI::App app("Plays scenarios against the balancer in an emulated fleet.", "indigorill-emulator");
  app.require_subcommand(1);
  CommandOptions w;
  const auto common = [&](CLI::App* c) {
    c->add_option("scenario", w.scenario_path, "the scenario, a TOML file")->required();
    c->add_option("--set", w.settings, "path=value in place of the file's, as load.rate=500");
    c->add_option("--seed", w.seed, "the first seed, in place of the scenario's");
    c->add_option("--threads", w.threads, "changes nothing but the time it takes")
        ->check(CLI::Range(1, 1024));
    c->add_option("--out", w.output_directory, "a folder for the files");
  };
  const auto runs_of = [&](CLI::App* c) {
    c->add_option("--runs", w.run_count, "independent runs, on seeds one after the other")
        ->check(CLI::Range(1, 100000));
  };
  CLI::App* run = app.add_subcommand("run", "one scenario");
  common(run);
  runs_of(run);
  run->add_option("--policy", w.policies, "module, random, round-robin, two-choices or true-state")
      ->expected(1);
  run->add_option("--log", w.trace_path, "all that happened in the first run, as JSON lines");
  CLI::App* sweep = app.add_subcommand("sweep", "one or two variables");
  common(sweep);
  runs_of(sweep);
  sweep->add_option("--over", w.axes, "path=a,b,c or path=from:to:count")->required()->expected(1, 2);
  sweep->add_option("--policy", w.policies, "one or more policies");
  CLI::App* compare = app.add_subcommand("compare", "the module beside baselines, on the same seeds");
  common(compare);
  runs_of(compare);
  compare->add_option("--policy", w.policies, "the first is what the others are held against");
  CLI::App* find = app.add_subcommand("search", "the worst day within the scenario's ranges, cut down");
  common(find);
  runs_of(find);
  find->add_option("--against", w.baseline, "the policy that shows what was within reach");
  find->add_option("--tries", w.trial_count, "days to draw")->check(CLI::Range(1, 100000));
  find->add_option("--keep", w.loss_fraction_kept, "the share of the worst loss that a smaller day must keep")
      ->check(CLI::Range(0.0, 1.0));
  CLI::App* gathers = app.add_subcommand("gather", "how soon members know of each other, and what it costs");
  MembershipExperiment g;
  std::vector<int> sizes{10, 100};
  std::vector<double> losses{0, 0.05, 0.2};
  gathers->add_option("--sidecars", sizes, "how many, one or more")->check(CLI::Range(3, 5000));
  gathers->add_option("--loss", losses, "the share of datagrams that is lost, one or more")
      ->check(CLI::Range(0.0, 0.9));
  gathers->add_option("--period", g.probe_interval_ms, "ms, of a probe")->check(CLI::Range(50.0, 60000.0));
  gathers->add_option("--timeout", g.probe_timeout_ms, "ms, for a direct answer")
      ->check(CLI::Range(1.0, 30000.0));
  gathers->add_option("--seed", g.seed, "of chance");
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    return app.exit(e, out, err) == 0 ? 0 : 2;
  }
  try {
    if (*gathers) {
      std::vector<MembershipMeasurement> all;
      for (const int n : sizes)
        for (const double loss : losses) {
          g.sidecars = n;
          g.loss = loss;
          all.push_back({g, run_membership_experiment(g)});
        }
      print_membership_results(out, all);
      return 0;
    }
    if (*find) return run_search_command(w, out);
    if (*compare && compare->count("--policy") == 0)
      w.policies = {"module", "random", "round-robin", "two-choices", "true-state"};
    return run_experiment_command(w, out);
  } catch (const ConfigError& e) {
    err << e.what() << '\n';
    return 2;
  } catch (const std::exception& e) {
    err << "indigorill-emulator: " << e.what() << '\n';
    return 1;
  }
}

}  // namespace indigorill::emulator
