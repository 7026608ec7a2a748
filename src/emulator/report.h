// What experiments print and leave behind: a table for people, CSV, JSON lines and a gnuplot script.
#pragma once

#include <filesystem>
#include <fstream>
#include <ostream>
#include <vector>

#include "emulator/experiment.h"

namespace indigorill::emulator {

void print_table(std::ostream& out, const std::vector<ExperimentPoint>& points);
// Each policy beside the first, seed by seed.
void print_differences(std::ostream& out, const std::vector<ExperimentPoint>& points);

void write_summary(std::ostream& out, const std::vector<ExperimentPoint>& points);  // CSV
void write_seconds(std::ostream& out, const std::vector<ExperimentPoint>& points);  // CSV, means over runs
void write_runs(std::ostream& out, const std::vector<ExperimentPoint>& points);     // JSON lines
void write_plot(std::ostream& out, const std::vector<ExperimentPoint>& points);

void write_all(const std::filesystem::path& folder, const std::vector<ExperimentPoint>& points);

// The record as JSON lines.
class TraceWriter : public TraceListener {
 public:
  explicit TraceWriter(std::ostream& to) : output_(to) {}
  void on_event(const TraceEvent& e) override;

 private:
  std::ostream& output_;
};

}  // namespace indigorill::emulator
