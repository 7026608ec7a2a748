#include "emulator/report.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <fstream>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>

#include "emulator/gnuplot.h"

namespace indigorill::emulator {
namespace {

constexpr int csv_precision = 9;
constexpr int table_precision = 4;
constexpr std::size_t max_printed_violations = 5;  // per point

std::vector<double> metric_values(const ExperimentPoint& point, const Metric& metric) {
  std::vector<double> values;
  for (const RunMetrics& run : point.results) values.push_back(metric.value(run));
  return values;
}

bool has_too_few_samples(const ExperimentPoint& point, const Metric& metric) {
  return std::any_of(point.results.begin(), point.results.end(),
                     [&](const RunMetrics& run) { return metric.has_too_few_samples(run); });
}

std::string format_interval(const ConfidenceInterval& interval) {
  std::string text = format_number(interval.mean);
  if (interval.sample_count > 1) text += " +- " + format_number(interval.half_width);
  return text;
}

void print_violations(std::ostream& out, const ExperimentPoint& point) {
  std::size_t printed = 0;
  for (const RunMetrics& run : point.results) {
    for (const RuleViolation& violation : run.violations) {
      if (printed == max_printed_violations) return;
      out << "  broken: " << describe(violation) << '\n';
      ++printed;
    }
  }
}

// The mean of a field over the runs; a run that ended before this second counts as 0.
template <class Field>
double mean_of_second(const ExperimentPoint& point, std::size_t second, Field field) {
  double sum = 0;
  for (const RunMetrics& run : point.results) {
    if (second < run.seconds.size()) sum += static_cast<double>(run.seconds[second].*field);
  }
  return sum / static_cast<double>(point.results.size());
}

std::size_t longest_run(const ExperimentPoint& point) {
  std::size_t seconds = 0;
  for (const RunMetrics& run : point.results) seconds = std::max(seconds, run.seconds.size());
  return seconds;
}

nlohmann::ordered_json run_as_json(const ExperimentPoint& point, std::size_t index) {
  const RunMetrics& run = point.results[index];
  nlohmann::ordered_json line{{"policy", policy_name(point.policy)}, {"seed", point.seeds[index]}};
  for (const VariableSetting& setting : point.settings) line["at"][setting.path] = setting.value;
  for (const Metric& metric : all_metrics()) {
    line[metric.name] = metric.value(run);
    if (metric.has_too_few_samples(run)) line["few"].push_back(metric.name);
  }
  line["arrived"] = run.arrived;
  line["open"] = run.open_at_end;
  line["events"] = run.events;
  for (const RuleViolation& violation : run.violations) line["broken"].push_back(describe(violation));
  return line;
}

}  // namespace

std::string format_number(double value) {
  std::ostringstream text;
  text << std::setprecision(table_precision) << value;
  return text.str();
}

std::string point_label(const ExperimentPoint& point) {
  std::string label = policy_name(point.policy);
  for (const VariableSetting& setting : point.settings)
    label += " " + setting.path + "=" + format_number(setting.value);
  return label;
}

ConfidenceInterval metric_interval(const ExperimentPoint& point, const Metric& metric) {
  return confidence_interval(metric_values(point, metric));
}

void print_table(std::ostream& out, const std::vector<ExperimentPoint>& points) {
  bool any_marked = false;
  for (const ExperimentPoint& point : points) {
    const std::size_t runs = point.results.size();
    out << point_label(point) << ", " << runs << (runs == 1 ? " run\n" : " runs\n");
    for (const Metric& metric : all_metrics()) {
      const bool marked = has_too_few_samples(point, metric);
      any_marked |= marked;
      out << "  " << std::left << std::setw(18) << metric.name
          << format_interval(metric_interval(point, metric)) << (marked ? " *" : "") << '\n';
    }
    print_violations(out, point);
  }
  if (any_marked) out << "* fewer than ten samples lie beyond this quantile in some run\n";
}

void print_differences(std::ostream& out, const std::vector<ExperimentPoint>& points) {
  if (points.size() < 2) return;
  const ExperimentPoint& reference = points.front();
  out << "beside " << policy_name(reference.policy) << ", on the same seeds:\n";
  for (std::size_t i = 1; i < points.size(); ++i) {
    out << "  " << std::left << std::setw(14) << policy_name(points[i].policy);
    for (const char* name : {"utility", "p50_ms", "p99_ms"}) {
      const Metric& metric = find_metric(name);
      std::vector<double> differences = metric_values(points[i], metric);
      const std::vector<double> reference_values = metric_values(reference, metric);
      for (std::size_t run = 0; run < differences.size(); ++run) differences[run] -= reference_values[run];
      out << name << ' ' << std::showpos << format_interval(confidence_interval(differences))
          << std::noshowpos << "  ";
    }
    out << '\n';
  }
}

void write_summary(std::ostream& out, const std::vector<ExperimentPoint>& points) {
  if (!points.empty()) {
    for (const VariableSetting& setting : points.front().settings) out << setting.path << ',';
  }
  out << "policy,measure,mean,half95,runs,few\n" << std::setprecision(csv_precision);
  for (const ExperimentPoint& point : points) {
    for (const Metric& metric : all_metrics()) {
      const ConfidenceInterval interval = metric_interval(point, metric);
      for (const VariableSetting& setting : point.settings) out << setting.value << ',';
      out << policy_name(point.policy) << ',' << metric.name << ',' << interval.mean << ','
          << interval.half_width << ',' << interval.sample_count << ','
          << (has_too_few_samples(point, metric) ? 1 : 0) << '\n';
    }
  }
}

void write_seconds(std::ostream& out, const std::vector<ExperimentPoint>& points) {
  using Second = SecondMetrics;
  constexpr std::array counters{&Second::arrived,
                                &Second::ok,
                                &Second::late,
                                &Second::rejected,
                                &Second::failed,
                                &Second::attempts,
                                &Second::handshakes,
                                &Second::health_checks,
                                &Second::discovery_polls,
                                &Second::connect_failed,
                                &Second::started_in_slow_start};
  out << "point,second,offered,gained,arrived,ok,late,pushed_back,aborted,picks,handshakes,probes,list_calls,"
         "connect_failed,cold_began\n"
      << std::setprecision(csv_precision);
  for (std::size_t i = 0; i < points.size(); ++i) {
    const ExperimentPoint& point = points[i];
    for (std::size_t second = 0; second < longest_run(point); ++second) {
      out << i << ',' << second;
      out << ',' << mean_of_second(point, second, &Second::offered_utility);
      out << ',' << mean_of_second(point, second, &Second::gained_utility);
      for (const auto counter : counters) out << ',' << mean_of_second(point, second, counter);
      out << '\n';
    }
  }
}

void write_runs(std::ostream& out, const std::vector<ExperimentPoint>& points) {
  for (const ExperimentPoint& point : points) {
    for (std::size_t i = 0; i < point.results.size(); ++i) out << run_as_json(point, i).dump() << '\n';
  }
}

void write_all(const std::filesystem::path& directory, const std::vector<ExperimentPoint>& points) {
  using Writer = void (*)(std::ostream&, const std::vector<ExperimentPoint>&);
  std::filesystem::create_directories(directory);
  const auto write_file = [&](const char* name, Writer write) {
    const std::filesystem::path path = directory / name;
    std::ofstream out(path);
    write(out, points);
    if (!out.flush()) throw std::runtime_error("can't write " + path.string());
  };
  write_file("summary.csv", write_summary);
  write_file("seconds.csv", write_seconds);
  write_file("runs.jsonl", write_runs);
  write_file("plot.gp", write_plot);
}

}  // namespace indigorill::emulator
