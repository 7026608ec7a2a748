#include "emulator/experiment.h"

#include <algorithm>
#include <atomic>
#include <charconv>
#include <cmath>
#include <exception>
#include <mutex>
#include <optional>
#include <thread>

namespace indigorill::emulator {

std::vector<RunMetrics> run_all(const std::vector<RunRequest>& plan, unsigned threads) {
  std::vector<RunMetrics> all(plan.size());
  std::atomic<std::size_t> next{0};
  std::mutex guard;
  std::exception_ptr wrong;
  const auto work = [&] {
    for (std::size_t i = next++; i < plan.size(); i = next++) try {
        all[i] = run_simulation(plan[i].scenario, plan[i].policy, plan[i].seed);
      } catch (...) {
        const std::lock_guard<std::mutex> hold(guard);
        wrong = std::current_exception();
      }
  };
  std::vector<std::thread> hands;
  for (unsigned i = 1; i < std::min<std::size_t>(std::max(threads, 1u), plan.size()); ++i)
    hands.emplace_back(work);
  work();
  for (std::thread& t : hands) t.join();
  if (wrong) std::rethrow_exception(wrong);
  return all;
}

const std::vector<Metric>& measures() {
  const auto share = [](std::uint64_t RunMetrics::*of) {
    return [of](const RunMetrics& f) {
      return f.arrived ? static_cast<double>(f.*of) / static_cast<double>(f.arrived) : 0;
    };
  };
  const auto whole = [](std::uint64_t RunMetrics::*of) {
    return [of](const RunMetrics& f) { return static_cast<double>(f.*of); };
  };
  const auto quantile = [](double q) { return [q](const RunMetrics& f) { return f.latency.quantile(q); }; };
  static const std::vector<Metric> all{
      {"utility", [](const RunMetrics& f) { return f.utility(); }},
      {"mean_ms", [](const RunMetrics& f) { return f.latency.mean(); }},
      {"p50_ms", quantile(0.5), 0.5},
      {"p99_ms", quantile(0.99), 0.99},
      {"p99.9_ms", quantile(0.999), 0.999},
      {"ok", share(&RunMetrics::ok)},
      {"late", share(&RunMetrics::late)},
      {"pushed_back", share(&RunMetrics::rejected)},
      {"aborted", share(&RunMetrics::failed)},
      {"unanswered", share(&RunMetrics::unanswered)},
      {"lost", share(&RunMetrics::lost)},
      {"picks", share(&RunMetrics::attempts)},
      {"handshakes", share(&RunMetrics::handshakes)},
      {"probes", share(&RunMetrics::health_checks)},
      {"connect_failed", share(&RunMetrics::connect_failed)},
      {"timed_out", share(&RunMetrics::timed_out)},
      {"full", share(&RunMetrics::queue_full)},
      {"errors", share(&RunMetrics::errors)},
      {"list_calls", whole(&RunMetrics::discovery_polls)},
      {"list_refusals", whole(&RunMetrics::discovery_rejections)},
      {"all_told_ms", [](const RunMetrics& f) { return f.endpoint_convergence_ms; }},
      {"most_connections", whole(&RunMetrics::peak_connections)},
      {"most_handshakes", whole(&RunMetrics::peak_handshakes_per_second)},
      {"most_probes", whole(&RunMetrics::peak_health_checks_per_second)},
      {"most_list_calls", whole(&RunMetrics::peak_discovery_polls_per_second)},
      {"denied", share(&RunMetrics::limit_denials)},
      {"worst_cold", [](const RunMetrics& f) { return f.peak_slow_start_overload; }},
      {"falls", whole(&RunMetrics::crashes)},
      {"breaches", whole(&RunMetrics::violation_count)},
  };
  return all;
}

namespace {

double parse_number(const std::string& text, const std::string& of) {
  double v = 0;
  const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), v);
  if (text.empty() || fault != std::errc() || end != text.data() + text.size() || !std::isfinite(v))
    throw ConfigError(of + ": '" + text + "' is not a number");
  return v;
}

std::vector<std::string> split(const std::string& text, char at) {
  std::vector<std::string> parts;
  std::size_t from = 0;
  for (std::size_t to; (to = text.find(at, from)) != std::string::npos; from = to + 1)
    parts.push_back(text.substr(from, to - from));
  parts.push_back(text.substr(from));
  return parts;
}

std::pair<std::string, std::string> split_assignment(const std::string& text) {
  const std::size_t at = text.find('=');
  if (at == std::string::npos || at == 0) throw ConfigError(text + ": no name=value");
  return {text.substr(0, at), text.substr(at + 1)};
}

}  // namespace

std::pair<std::string, double> parse_setting(const std::string& text) {
  const auto [path, value] = split_assignment(text);
  return {path, parse_number(value, text)};
}

SweepAxis parse_axis(const std::string& text) {
  const auto [path, values] = split_assignment(text);
  SweepAxis a{path, {}};
  const std::vector<std::string> range = split(values, ':');
  if (range.size() == 3) {
    const double from = parse_number(range[0], text), to = parse_number(range[1], text),
                 steps = parse_number(range[2], text);
    constexpr double most = 1000;
    if (steps < 2 || steps > most || steps != std::floor(steps))
      throw ConfigError(text + ": from:to:count wants 2 to 1000 points");
    for (double i = 0; i < steps; ++i) a.values.push_back(from + (to - from) * i / (steps - 1));
  } else if (range.size() == 1) {
    for (const std::string& v : split(values, ',')) a.values.push_back(parse_number(v, text));
  } else {
    throw ConfigError(text + ": neither a,b,c nor from:to:count");
  }
  return a;
}

std::vector<ExperimentPoint> run_experiment(const Experiment& e) {
  std::vector<ExperimentPoint> points;
  std::vector<RunRequest> plan;
  std::vector<std::size_t> at(e.axes.size(), 0);
  for (bool more = true; more;) {
    toml::table here = e.base_scenario;
    ExperimentPoint p;
    for (std::size_t i = 0; i < at.size(); ++i) {
      p.settings.emplace_back(e.axes[i].path, e.axes[i].values[at[i]]);
      set_value(here, e.axes[i].path, e.axes[i].values[at[i]]);
    }
    const Scenario s = decode_scenario(here);
    for (const PolicyKind by : e.policies) {
      p.policy = by;
      p.seeds.clear();
      // The same seeds for all: what clients ask for is then the same, and differences are paired.
      for (std::size_t run = 0; run < e.run_count; ++run) {
        p.seeds.push_back((e.first_seed ? e.first_seed : s.seed) + run);
        plan.push_back({s, by, p.seeds.back()});
      }
      points.push_back(p);
    }
    more = false;
    for (std::size_t i = at.size(); i-- > 0;) {
      if (++at[i] < e.axes[i].values.size()) {
        more = true;
        break;
      }
      at[i] = 0;
    }
  }
  const std::vector<RunMetrics> all = run_all(plan, e.threads);
  for (std::size_t i = 0; i < points.size(); ++i)
    points[i].results.assign(all.begin() + static_cast<std::ptrdiff_t>(i * e.run_count),
                             all.begin() + static_cast<std::ptrdiff_t>((i + 1) * e.run_count));
  return points;
}

namespace {

using RangeValues = std::vector<double>;  // a value for each of the ranges

class WorstCaseFinder {
 public:
  explicit WorstCaseFinder(const WorstCaseSearch& with)
      : search_(with),
        ranges_(decode_search_ranges(with.base_scenario)),
        seed_(decode_scenario(with.base_scenario).seed) {
    for (const SearchRange& r : ranges_) integer_ranges_.push_back(is_integer(r));
    base_values_.reserve(ranges_.size());
    for (const SearchRange& r : ranges_) base_values_.push_back(value_at(search_.base_scenario, r.path));
  }

  WorstCase run() {
    WorstCase found;
    RandomStream chance(derive_seed(seed_, RandomPurpose::arrival_pattern, 1));
    RangeValues best = base_values_;
    found.worst_loss = evaluate_losses({make_scenario_table(base_values_)}).front().value_or(0);
    // In rounds of a fixed size, so that the number of threads changes nothing. The first half is drawn from
    // the whole of the ranges, the second near the worst so far.
    constexpr std::size_t at_once = 8;
    for (std::size_t tried = 0; tried < search_.trial_count; tried += at_once) {
      std::vector<RangeValues> settings;
      std::vector<toml::table> tables;
      for (std::size_t i = 0; i < std::min(at_once, search_.trial_count - tried); ++i) {
        settings.push_back(tried < search_.trial_count / 2 ? sample_uniformly(chance)
                                                           : sample_near(best, chance));
        tables.push_back(make_scenario_table(settings.back()));
      }
      const auto lost = evaluate_losses(tables);
      for (std::size_t i = 0; i < lost.size(); ++i)
        if (lost[i] && *lost[i] > found.worst_loss) found.worst_loss = *lost[i], best = settings[i];
    }
    found.worst_scenario = make_scenario_table(best);
    found.smallest_scenario = found.worst_scenario;
    found.smallest_loss = found.worst_loss;
    reduce(found, best);
    found.worst_scenario.erase("ranges");
    found.smallest_scenario.erase("ranges");
    found.run_count = run_count_;
    return found;
  }

 private:
  bool is_integer(const SearchRange& r) const { return search_.base_scenario.at_path(r.path).is_integer(); }

  double clamp_to_range(std::size_t i, double v) const {
    v = std::clamp(v, ranges_[i].minimum, ranges_[i].maximum);
    return integer_ranges_[i] ? std::round(v) : v;
  }
  RangeValues sample_uniformly(RandomStream& chance) const {
    RangeValues s;
    for (std::size_t i = 0; i < ranges_.size(); ++i) {
      const SearchRange& r = ranges_[i];
      constexpr double decades = 10;  // a range this wide is drawn by its logarithm
      const bool by_log = r.minimum > 0 && r.maximum / r.minimum > decades;
      const double x = chance.uniform();
      s.push_back(clamp_to_range(i, by_log ? r.minimum * std::pow(r.maximum / r.minimum, x)
                                           : r.minimum + (r.maximum - r.minimum) * x));
    }
    return s;
  }
  RangeValues sample_near(RangeValues s, RandomStream& chance) const {
    if (s.empty()) return s;
    constexpr double step = 0.2;  // of the range
    const std::size_t i = chance.uniform_index(s.size());
    s[i] = clamp_to_range(
        i, s[i] + (chance.uniform() * 2 - 1) * step * (ranges_[i].maximum - ranges_[i].minimum));
    return s;
  }
  toml::table make_scenario_table(const RangeValues& s) const {
    toml::table t = search_.base_scenario;
    for (std::size_t i = 0; i < s.size(); ++i) set_value(t, ranges_[i].path, s[i]);
    return t;
  }

  // None where the table is no scenario.
  std::vector<std::optional<double>> evaluate_losses(const std::vector<toml::table>& tables) {
    std::vector<RunRequest> plan;
    std::vector<bool> sound;
    for (const toml::table& t : tables) {
      try {
        toml::table alone = t;
        alone.erase("ranges");
        const Scenario s = decode_scenario(alone);
        sound.push_back(true);
        for (std::size_t run = 0; run < search_.runs_per_trial; ++run)
          for (const PolicyKind by : {PolicyKind::load_balancer, search_.baseline})
            plan.push_back({s, by, seed_ + run});
      } catch (const ConfigError&) {
        sound.push_back(false);
      }
    }
    const std::vector<RunMetrics> all = run_all(plan, search_.threads);
    run_count_ += plan.size();
    std::vector<std::optional<double>> lost;
    std::size_t at = 0;
    for (const bool is : sound) {
      if (!is) {
        lost.push_back({});
        continue;
      }
      double sum = 0;
      for (std::size_t run = 0; run < search_.runs_per_trial; ++run, at += 2)
        sum += all[at + 1].utility() - all[at].utility();
      lost.push_back(sum / static_cast<double>(search_.runs_per_trial));
    }
    return lost;
  }

  bool try_reduction(WorstCase& found, const toml::table& t, const std::string& what) {
    const auto lost = evaluate_losses({t}).front();
    if (!lost || *lost < search_.loss_fraction_kept * found.worst_loss) return false;
    found.smallest_scenario = t;
    found.smallest_loss = *lost;
    found.reductions.push_back(what);
    return true;
  }

  void reduce(WorstCase& found, const RangeValues& best) {
    for (bool shorter = true; shorter;) {
      shorter = false;
      if (const toml::array* all = found.smallest_scenario["trouble"].as_array())
        for (std::size_t i = all->size(); i-- > 0;) {
          toml::table t = found.smallest_scenario;
          toml::array& troubles = *t["trouble"].as_array();
          const std::string what = troubles[i].at_path("what").value_or(std::string("?"));
          troubles.erase(troubles.begin() + static_cast<std::ptrdiff_t>(i));
          if (try_reduction(found, t, "without " + what)) {
            shorter = true;
            break;
          }
        }
      if (auto t = halve_size(found.smallest_scenario);
          t && try_reduction(found, *t, "half the sidecars, servers and load"))
        shorter = true;
      toml::table brief = found.smallest_scenario;
      set_value(brief, "seconds", std::ceil(value_at(brief, "seconds") / 2));
      if (value_at(brief, "seconds") < value_at(found.smallest_scenario, "seconds") &&
          try_reduction(found, brief, "half as long"))
        shorter = true;
    }
    for (std::size_t i = 0; i < ranges_.size(); ++i) {
      // Paths into troubles that went lead nowhere.
      if (best[i] == base_values_[i] || !found.smallest_scenario.at_path(ranges_[i].path).value<double>())
        continue;
      if (ranges_[i].path.rfind("trouble[", 0) == 0 && !found.reductions.empty()) continue;
      toml::table t = found.smallest_scenario;
      set_value(t, ranges_[i].path, base_values_[i]);
      try_reduction(found, t, ranges_[i].path + " as it was");
    }
  }

  static std::optional<toml::table> halve_size(const toml::table& from) {
    toml::table t = from;
    const double sidecars = value_at(t, "sidecars");
    toml::array* servers = t["server"].as_array();
    if (sidecars < 2 || !servers) return {};
    for (std::size_t i = 0; i < servers->size(); ++i) {
      const std::string path = "server[" + std::to_string(i) + "].count";
      if (value_at(t, path) < 2) return {};
      set_value(t, path, std::floor(value_at(t, path) / 2));
    }
    set_value(t, "sidecars", std::floor(sidecars / 2));
    set_value(t, "load.rate", value_at(t, "load.rate") / 2);
    return t;
  }

  const WorstCaseSearch& search_;
  std::vector<SearchRange> ranges_;
  std::uint64_t seed_;
  std::vector<bool> integer_ranges_;
  RangeValues base_values_;
  std::size_t run_count_ = 0;
};

}  // namespace

WorstCase find_worst_case(const WorstCaseSearch& h) { return WorstCaseFinder(h).run(); }

}  // namespace indigorill::emulator
