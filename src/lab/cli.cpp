#include "cli.h"

#include <CLI/CLI.hpp>
#include <fstream>
#include <thread>

#include "gathering.h"
#include "report.h"

namespace indigorill::lab {
namespace {

struct wanted {
  std::string scenario, folder, log;
  std::vector<std::string> settings, axes, policies{"module"};
  std::string against = "true-state";
  std::uint64_t seed = 0;
  std::size_t runs = 1, tries = 40;
  double keep = 0.8;
  unsigned threads = std::max(std::thread::hardware_concurrency(), 1u);
};

policy policy_of(const std::string& word) {
  const auto p = policy_named(word);
  if (!p) throw faulty("no policy is named " + word);
  return *p;
}

toml::table load(const wanted& w) {
  toml::table t = read_toml(w.scenario);
  // As it stands in the file, where faults have lines.
  if (const auto fault = not_emulated(decode_scenario(t))) throw faulty(w.scenario + ": " + *fault);
  for (const std::string& text : w.settings) {
    const auto [path, value] = parse_setting(text);
    set_value(t, path, value);
  }
  return t;
}

bool broken(const std::vector<point>& points) {
  for (const point& p : points)
    for (const figures& f : p.runs)
      if (f.breached > 0) return true;
  return false;
}

int play_points(const wanted& w, std::ostream& out) {
  experiment e;
  e.base = load(w);
  for (const std::string& text : w.axes) e.axes.push_back(parse_axis(text));
  e.policies.clear();
  for (const std::string& word : w.policies) e.policies.push_back(policy_of(word));
  e.first_seed = w.seed;
  e.runs = w.runs;
  e.threads = w.threads;
  if (!w.log.empty()) {
    std::ofstream file(w.log);
    if (!file) throw std::runtime_error("can't write " + w.log);
    record_file record(file);
    const scenario s = decode_scenario(e.base);
    play(s, e.policies.front(), w.seed ? w.seed : s.seed, &record);
  }
  const std::vector<point> points = conduct(e);
  print_table(out, points);
  if (e.axes.empty()) print_differences(out, points);
  if (!w.folder.empty()) {
    write_all(w.folder, points);
    out << "files in " << w.folder << "; gnuplot plot.gp there draws plot.png\n";
  }
  return broken(points) ? 3 : 0;
}

int play_search(const wanted& w, std::ostream& out) {
  hunt h;
  h.base = load(w);
  if (w.seed) set_value(h.base, "seed", static_cast<double>(w.seed));
  h.against = policy_of(w.against);
  h.tries = w.tries;
  h.runs = w.runs;
  h.keep = w.keep;
  h.threads = w.threads;
  if (ranges_of(h.base).empty()) throw faulty(w.scenario + ": has no table 'ranges' to search in");
  const found_day d = search(h);
  out << "worst of " << w.tries << " days, " << d.played << " runs: loses " << d.loss << " of utility to "
      << w.against << '\n';
  for (const std::string& step : d.steps) out << "  cut down: " << step << '\n';
  out << "the smallest that still does loses " << d.smallest_loss << '\n';
  if (w.folder.empty()) {
    out << d.smallest << '\n';
    return 0;
  }
  std::filesystem::create_directories(w.folder);
  for (const auto& [name, table] :
       {std::pair("worst.toml", &d.worst), std::pair("smallest.toml", &d.smallest)}) {
    std::ofstream file(std::filesystem::path(w.folder) / name);
    file << *table << '\n';
    if (!file.flush()) throw std::runtime_error("can't write into " + w.folder);
  }
  out << "worst.toml and smallest.toml in " << w.folder << '\n';
  return 0;
}

}  // namespace

int command(int argc, const char* const* argv, std::ostream& out, std::ostream& err) {
  CLI::App app("Plays scenarios against the balancer in an emulated fleet.", "indigorill-lab");
  app.require_subcommand(1);
  wanted w;
  const auto common = [&](CLI::App* c) {
    c->add_option("scenario", w.scenario, "the scenario, a TOML file")->required();
    c->add_option("--set", w.settings, "path=value in place of the file's, as load.rate=500");
    c->add_option("--seed", w.seed, "the first seed, in place of the scenario's");
    c->add_option("--threads", w.threads, "changes nothing but the time it takes")
        ->check(CLI::Range(1, 1024));
    c->add_option("--out", w.folder, "a folder for the files");
  };
  const auto runs_of = [&](CLI::App* c) {
    c->add_option("--runs", w.runs, "independent runs, on seeds one after the other")
        ->check(CLI::Range(1, 100000));
  };
  CLI::App* run = app.add_subcommand("run", "one scenario");
  common(run);
  runs_of(run);
  run->add_option("--policy", w.policies, "module, random, round-robin, two-choices or true-state")
      ->expected(1);
  run->add_option("--log", w.log, "all that happened in the first run, as JSON lines");
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
  find->add_option("--against", w.against, "the policy that shows what was within reach");
  find->add_option("--tries", w.tries, "days to draw")->check(CLI::Range(1, 100000));
  find->add_option("--keep", w.keep, "the share of the worst loss that a smaller day must keep")
      ->check(CLI::Range(0.0, 1.0));
  CLI::App* gathers = app.add_subcommand("gather", "how soon members know of each other, and what it costs");
  gathering g;
  std::vector<int> sizes{10, 100};
  std::vector<double> losses{0, 0.05, 0.2};
  gathers->add_option("--sidecars", sizes, "how many, one or more")->check(CLI::Range(3, 5000));
  gathers->add_option("--loss", losses, "the share of datagrams that is lost, one or more")
      ->check(CLI::Range(0.0, 0.9));
  gathers->add_option("--period", g.period, "ms, of a probe")->check(CLI::Range(50.0, 60000.0));
  gathers->add_option("--timeout", g.timeout, "ms, for a direct answer")->check(CLI::Range(1.0, 30000.0));
  gathers->add_option("--seed", g.seed, "of chance");
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    return app.exit(e, out, err) == 0 ? 0 : 2;
  }
  try {
    if (*gathers) {
      std::vector<std::pair<gathering, gathered>> all;
      for (const int n : sizes)
        for (const double loss : losses) {
          g.sidecars = n;
          g.loss = loss;
          all.emplace_back(g, gather(g));
        }
      print_gathered(out, all);
      return 0;
    }
    if (*find) return play_search(w, out);
    if (*compare && compare->count("--policy") == 0)
      w.policies = {"module", "random", "round-robin", "two-choices", "true-state"};
    return play_points(w, out);
  } catch (const faulty& e) {
    err << e.what() << '\n';
    return 2;
  } catch (const std::exception& e) {
    err << "indigorill-lab: " << e.what() << '\n';
    return 1;
  }
}

}  // namespace indigorill::lab
