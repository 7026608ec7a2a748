// What experiments print and leave behind: a table for people, CSV, JSON lines and a gnuplot script.
#pragma once

#include <filesystem>
#include <fstream>
#include <ostream>
#include <vector>

#include "experiment.h"

namespace indigorill::lab {

void print_table(std::ostream& out, const std::vector<point>& points);
// Each policy beside the first, seed by seed.
void print_differences(std::ostream& out, const std::vector<point>& points);

void write_summary(std::ostream& out, const std::vector<point>& points);  // CSV
void write_seconds(std::ostream& out, const std::vector<point>& points);  // CSV, means over runs
void write_runs(std::ostream& out, const std::vector<point>& points);     // JSON lines
void write_plot(std::ostream& out, const std::vector<point>& points);

void write_all(const std::filesystem::path& folder, const std::vector<point>& points);

// The record as JSON lines.
class record_file : public witness {
 public:
  explicit record_file(std::ostream& to) : out(to) {}
  void saw(const entry& e) override;

 private:
  std::ostream& out;
};

}  // namespace indigorill::lab
