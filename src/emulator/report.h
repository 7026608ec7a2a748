/// \file
/// The output of experiments: a readable table, CSV and JSON lines. Values have the names of their metrics.
/// See also gnuplot.h and trace_writer.h.
#pragma once

#include <filesystem>
#include <ostream>
#include <string>
#include <vector>

#include "emulator/experiment.h"
#include "emulator/metric.h"
#include "emulator/statistics.h"

namespace indigorill::emulator {

void print_table(std::ostream& out, const std::vector<ExperimentPoint>& points);
/// Prints the mean difference of each policy from the first one, paired by seed.
void print_differences(std::ostream& out, const std::vector<ExperimentPoint>& points);

/// Writes CSV: a line for each metric of each point, with its confidence interval.
void write_summary(std::ostream& out, const std::vector<ExperimentPoint>& points);
/// Writes CSV: a line for each second of each point, with means over the point's runs.
void write_seconds(std::ostream& out, const std::vector<ExperimentPoint>& points);
/// Writes JSON lines: one for each run.
void write_runs(std::ostream& out, const std::vector<ExperimentPoint>& points);

/// Writes summary.csv, seconds.csv, runs.jsonl and plot.gp. Throws std::runtime_error.
void write_all(const std::filesystem::path& directory, const std::vector<ExperimentPoint>& points);

/// Formats the value with four significant digits.
std::string format_number(double value);
/// A label with the policy and the settings of the point.
std::string point_label(const ExperimentPoint& point);
/// The mean of the metric over the point's runs, with its confidence interval.
ConfidenceInterval metric_interval(const ExperimentPoint& point, const Metric& metric);

}  // namespace indigorill::emulator
