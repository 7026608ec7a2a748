#include "emulator/experiment.h"

#include <algorithm>
#include <atomic>
#include <exception>
#include <mutex>
#include <thread>

#include "emulator/scenario_table.h"
#include "emulator/simulation.h"

namespace indigorill::emulator {
namespace {

// Iterates over all combinations of the axes' values; the last axis varies fastest.
class AxisCounter {
 public:
  explicit AxisCounter(const std::vector<SweepAxis>& axes) : axes_(axes), positions_(axes.size(), 0) {}

  std::vector<VariableSetting> settings() const {
    std::vector<VariableSetting> settings;
    for (std::size_t i = 0; i < axes_.size(); ++i)
      settings.push_back({axes_[i].path, axes_[i].values[positions_[i]]});
    return settings;
  }

  // Returns false after the last combination.
  bool advance() {
    for (std::size_t i = positions_.size(); i-- > 0;) {
      ++positions_[i];
      if (positions_[i] < axes_[i].values.size()) return true;
      positions_[i] = 0;
    }
    return false;
  }

 private:
  const std::vector<SweepAxis>& axes_;
  std::vector<std::size_t> positions_;
};

Scenario scenario_at(const toml::table& base, const std::vector<VariableSetting>& settings) {
  toml::table table = base;
  for (const VariableSetting& setting : settings) set_value(table, setting.path, setting.value);
  return decode_scenario(table);
}

}  // namespace

std::vector<RunMetrics> run_all(const std::vector<RunRequest>& requests, unsigned threads) {
  std::vector<RunMetrics> results(requests.size());
  std::atomic<std::size_t> next{0};
  std::mutex error_mutex;
  std::exception_ptr error;
  const auto work = [&] {
    for (std::size_t i = next++; i < requests.size(); i = next++) {
      try {
        results[i] = run_simulation(requests[i].scenario, requests[i].policy, requests[i].seed);
      } catch (...) {
        const std::lock_guard<std::mutex> lock(error_mutex);
        error = std::current_exception();
      }
    }
  };
  std::vector<std::thread> workers;
  const std::size_t worker_count = std::min<std::size_t>(std::max(threads, 1U), requests.size());
  for (std::size_t i = 1; i < worker_count; ++i) workers.emplace_back(work);
  work();
  for (std::thread& worker : workers) worker.join();
  if (error) std::rethrow_exception(error);
  return results;
}

std::vector<ExperimentPoint> run_experiment(const Experiment& experiment) {
  std::vector<ExperimentPoint> points;
  std::vector<RunRequest> requests;
  AxisCounter counter(experiment.axes);
  do {
    const std::vector<VariableSetting> settings = counter.settings();
    const Scenario scenario = scenario_at(experiment.base_scenario, settings);
    const std::uint64_t first_seed = experiment.first_seed > 0 ? experiment.first_seed : scenario.seed;
    for (const PolicyKind policy : experiment.policies) {
      ExperimentPoint point{.settings = settings, .policy = policy, .seeds = {}, .results = {}};
      // All policies use the same seeds, so that clients send the same requests and differences are paired.
      for (std::size_t run = 0; run < experiment.run_count; ++run) {
        point.seeds.push_back(first_seed + run);
        requests.push_back({scenario, policy, first_seed + run});
      }
      points.push_back(std::move(point));
    }
  } while (counter.advance());
  const std::vector<RunMetrics> results = run_all(requests, experiment.threads);
  auto next_result = results.begin();
  for (ExperimentPoint& point : points) {
    const auto end = next_result + static_cast<std::ptrdiff_t>(point.seeds.size());
    point.results.assign(next_result, end);
    next_result = end;
  }
  return points;
}

}  // namespace indigorill::emulator
