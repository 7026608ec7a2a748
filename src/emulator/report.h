/// \file
/// What experiments print and write: a table for people, CSV and JSON lines. The names in it are those of the
/// metrics; see also gnuplot.h and trace_writer.h.
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
/// Each policy against the first, seed by seed.
void print_differences(std::ostream& out, const std::vector<ExperimentPoint>& points);

/// CSV: each metric of each point, with its confidence interval.
void write_summary(std::ostream& out, const std::vector<ExperimentPoint>& points);
/// CSV: each second of each point, means over its runs.
void write_seconds(std::ostream& out, const std::vector<ExperimentPoint>& points);
/// JSON lines: each run.
void write_runs(std::ostream& out, const std::vector<ExperimentPoint>& points);

/// Writes summary.csv, seconds.csv, runs.jsonl and plot.gp. Throws std::runtime_error.
void write_all(const std::filesystem::path& directory, const std::vector<ExperimentPoint>& points);

/// Four significant digits.
std::string format_number(double value);
/// The policy and the settings of a point.
std::string point_label(const ExperimentPoint& point);
/// The mean over the point's runs.
ConfidenceInterval metric_interval(const ExperimentPoint& point, const Metric& metric);

}  // namespace indigorill::emulator
