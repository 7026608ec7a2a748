#include "emulator/worst_case_search.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <optional>

#include "emulator/experiment.h"
#include "emulator/random_stream.h"
#include "emulator/scenario_table.h"

namespace indigorill::emulator {
namespace {

// Trials are drawn in rounds of a fixed size, so that the result does not depend on the number of threads.
constexpr std::size_t trials_per_round = 8;
// A range is sampled on a logarithmic scale if its minimum is above 0 and its maximum is more than this
// multiple of it.
constexpr double logarithmic_range_ratio = 10;
// Largest step of a value from the worst trial so far, as a fraction of its range.
constexpr double neighbour_step = 0.2;

using RangeValues = std::vector<double>;  // one value per range

class WorstCaseFinder {
 public:
  explicit WorstCaseFinder(const WorstCaseSearch& search);
  WorstCase run();

 private:
  struct Trial {
    RangeValues values;
    double loss;
  };

  Trial find_worst_trial();
  double clamp_to_range(std::size_t index, double value) const;
  RangeValues sample_uniformly();
  RangeValues sample_near(RangeValues values);
  toml::table make_scenario_table(const RangeValues& values) const;
  std::optional<Scenario> decode_without_ranges(toml::table table) const;
  std::vector<std::optional<double>> evaluate_losses(const std::vector<toml::table>& tables);
  bool try_reduction(WorstCase& found, const toml::table& table, const std::string& description);
  bool remove_a_fault(WorstCase& found);
  bool halve_size(WorstCase& found);
  bool halve_duration(WorstCase& found);
  void reset_variables(WorstCase& found, const RangeValues& worst);

  const WorstCaseSearch& search_;
  std::vector<SearchRange> ranges_;
  std::uint64_t seed_;
  RandomStream random_;
  std::vector<bool> integer_ranges_;
  RangeValues base_values_;
  std::size_t run_count_ = 0;
};

WorstCaseFinder::WorstCaseFinder(const WorstCaseSearch& search)
    : search_(search),
      ranges_(decode_search_ranges(search.base_scenario)),
      seed_(decode_scenario(search.base_scenario).seed),
      random_(derive_seed(seed_, RandomPurpose::arrival_pattern, 1)) {
  for (const SearchRange& range : ranges_) {
    integer_ranges_.push_back(search_.base_scenario.at_path(range.path).is_integer());
    base_values_.push_back(value_at(search_.base_scenario, range.path));
  }
}

WorstCase WorstCaseFinder::run() {
  const Trial worst = find_worst_trial();
  WorstCase found;
  found.worst_loss = worst.loss;
  found.worst_scenario = make_scenario_table(worst.values);
  found.smallest_scenario = found.worst_scenario;
  found.smallest_loss = found.worst_loss;
  bool reduced = true;
  while (reduced) {
    reduced = remove_a_fault(found);
    if (halve_size(found)) reduced = true;
    if (halve_duration(found)) reduced = true;
  }
  reset_variables(found, worst.values);
  found.worst_scenario.erase("ranges");
  found.smallest_scenario.erase("ranges");
  found.run_count = run_count_;
  return found;
}

// Draws the first half of the trials from the whole ranges, and the second half near the worst trial so far.
WorstCaseFinder::Trial WorstCaseFinder::find_worst_trial() {
  Trial worst{base_values_, 0};
  worst.loss = evaluate_losses({make_scenario_table(base_values_)}).front().value_or(0);
  for (std::size_t tried = 0; tried < search_.trial_count; tried += trials_per_round) {
    std::vector<RangeValues> candidates;
    std::vector<toml::table> tables;
    const bool explores = tried < search_.trial_count / 2;
    for (std::size_t i = 0; i < std::min(trials_per_round, search_.trial_count - tried); ++i) {
      candidates.push_back(explores ? sample_uniformly() : sample_near(worst.values));
      tables.push_back(make_scenario_table(candidates.back()));
    }
    const auto losses = evaluate_losses(tables);
    for (std::size_t i = 0; i < losses.size(); ++i) {
      if (losses[i] && *losses[i] > worst.loss) worst = {candidates[i], *losses[i]};
    }
  }
  return worst;
}

double WorstCaseFinder::clamp_to_range(std::size_t index, double value) const {
  const double clamped = std::clamp(value, ranges_[index].minimum, ranges_[index].maximum);
  return integer_ranges_[index] ? std::round(clamped) : clamped;
}

RangeValues WorstCaseFinder::sample_uniformly() {
  RangeValues values;
  for (std::size_t i = 0; i < ranges_.size(); ++i) {
    const double minimum = ranges_[i].minimum;
    const double maximum = ranges_[i].maximum;
    const bool by_logarithm = minimum > 0 && maximum / minimum > logarithmic_range_ratio;
    const double fraction = random_.uniform();
    values.push_back(clamp_to_range(i, by_logarithm ? minimum * std::pow(maximum / minimum, fraction)
                                                    : minimum + (maximum - minimum) * fraction));
  }
  return values;
}

RangeValues WorstCaseFinder::sample_near(RangeValues values) {
  if (values.empty()) return values;
  const std::size_t i = random_.uniform_index(values.size());
  const double width = ranges_[i].maximum - ranges_[i].minimum;
  values[i] = clamp_to_range(i, values[i] + (random_.uniform() * 2 - 1) * neighbour_step * width);
  return values;
}

toml::table WorstCaseFinder::make_scenario_table(const RangeValues& values) const {
  toml::table table = search_.base_scenario;
  for (std::size_t i = 0; i < values.size(); ++i) set_value(table, ranges_[i].path, values[i]);
  return table;
}

std::optional<Scenario> WorstCaseFinder::decode_without_ranges(toml::table table) const {
  table.erase("ranges");
  try {
    return decode_scenario(table);
  } catch (const ConfigError&) {
    return std::nullopt;
  }
}

// Returns the mean loss of utility to the baseline for each table, or nullopt if a table is not a valid
// scenario.
std::vector<std::optional<double>> WorstCaseFinder::evaluate_losses(const std::vector<toml::table>& tables) {
  std::vector<RunRequest> requests;
  std::vector<bool> is_valid;
  for (const toml::table& table : tables) {
    const std::optional<Scenario> scenario = decode_without_ranges(table);
    is_valid.push_back(scenario.has_value());
    if (!scenario) continue;
    for (std::size_t run = 0; run < search_.runs_per_trial; ++run) {
      requests.push_back({*scenario, PolicyKind::load_balancer, seed_ + run});
      requests.push_back({*scenario, search_.baseline, seed_ + run});
    }
  }
  const std::vector<RunMetrics> results = run_all(requests, search_.threads);
  run_count_ += requests.size();
  std::vector<std::optional<double>> losses;
  auto result = results.begin();
  for (const bool valid : is_valid) {
    if (!valid) {
      losses.emplace_back();
      continue;
    }
    double loss_sum = 0;
    for (std::size_t run = 0; run < search_.runs_per_trial; ++run) {
      const double own_utility = (result++)->utility();
      const double baseline_utility = (result++)->utility();
      loss_sum += baseline_utility - own_utility;
    }
    losses.emplace_back(loss_sum / static_cast<double>(search_.runs_per_trial));
  }
  return losses;
}

// Makes the table the smallest scenario if its loss is still large enough.
bool WorstCaseFinder::try_reduction(WorstCase& found, const toml::table& table,
                                    const std::string& description) {
  const auto loss = evaluate_losses({table}).front();
  if (!loss || *loss < search_.loss_fraction_kept * found.worst_loss) return false;
  found.smallest_scenario = table;
  found.smallest_loss = *loss;
  found.reductions.push_back(description);
  return true;
}

bool WorstCaseFinder::remove_a_fault(WorstCase& found) {
  const toml::array* faults = found.smallest_scenario["trouble"].as_array();
  if (!faults) return false;
  for (std::size_t i = faults->size(); i-- > 0;) {
    toml::table table = found.smallest_scenario;
    toml::array& remaining = *table["trouble"].as_array();
    const std::string kind = remaining[i].at_path("what").value_or(std::string("?"));
    remaining.erase(remaining.begin() + static_cast<std::ptrdiff_t>(i));
    if (try_reduction(found, table, "without " + kind)) return true;
  }
  return false;
}

bool WorstCaseFinder::halve_size(WorstCase& found) {
  toml::table table = found.smallest_scenario;
  const double sidecars = value_at(table, "sidecars");
  const toml::array* groups = table["server"].as_array();
  if (sidecars < 2 || !groups) return false;
  for (std::size_t i = 0; i < groups->size(); ++i) {
    const std::string path = "server[" + std::to_string(i) + "].count";
    const double count = value_at(table, path);
    if (count < 2) return false;
    set_value(table, path, std::floor(count / 2));
  }
  set_value(table, "sidecars", std::floor(sidecars / 2));
  set_value(table, "load.rate", value_at(table, "load.rate") / 2);
  return try_reduction(found, table, "half the sidecars, servers and load");
}

bool WorstCaseFinder::halve_duration(WorstCase& found) {
  toml::table table = found.smallest_scenario;
  const double seconds = value_at(table, "seconds");
  const double halved_seconds = std::ceil(seconds / 2);
  if (halved_seconds >= seconds) return false;
  set_value(table, "seconds", halved_seconds);
  return try_reduction(found, table, "half as long");
}

// Resets each variable to its value in the base scenario if the loss is still large enough then.
void WorstCaseFinder::reset_variables(WorstCase& found, const RangeValues& worst) {
  for (std::size_t i = 0; i < ranges_.size(); ++i) {
    const std::string& path = ranges_[i].path;
    if (worst[i] == base_values_[i]) continue;
    if (!found.smallest_scenario.at_path(path).value<double>()) continue;
    // After a fault was removed, a path into the list of faults may refer to a different fault.
    if (path.starts_with("trouble[") && !found.reductions.empty()) continue;
    toml::table table = found.smallest_scenario;
    set_value(table, path, base_values_[i]);
    try_reduction(found, table, path + " as it was");
  }
}

}  // namespace

WorstCase find_worst_case(const WorstCaseSearch& search) { return WorstCaseFinder(search).run(); }

}  // namespace indigorill::emulator
