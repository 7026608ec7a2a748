#include "emulator/gnuplot.h"

#include <algorithm>
#include <iomanip>
#include <set>
#include <sstream>
#include <string>

#include "emulator/report.h"

namespace indigorill::emulator {
namespace {

constexpr int data_precision = 9;
// An axis is logarithmic if its minimum is above 0 and its maximum is at least this multiple of it.
constexpr double logarithmic_axis_ratio = 10;

// `column` is a gnuplot expression over the columns of seconds.csv.
void write_panel(std::ostream& out, const std::vector<ExperimentPoint>& points, const char* title,
                 const char* column) {
  out << "set ylabel '" << title << "'\nplot ";
  for (std::size_t i = 0; i < points.size(); ++i)
    out << (i > 0 ? ", " : "") << "'seconds.csv' using ($1==" << i << "?$2:1/0):(" << column
        << ") with linespoints pointsize 0.4 title '" << point_label(points[i]) << "' noenhanced";
  out << '\n';
}

void write_course_over_seconds(std::ostream& out, const std::vector<ExperimentPoint>& points) {
  out << "set multiplot layout 3,1\nset xlabel 'second'\n";
  write_panel(out, points, "utility gained of offered", "$3>0?$4/$3:1/0");
  write_panel(out, points, "pushed back a second", "$8");
  write_panel(out, points, "handshakes a second", "$11");
  out << "unset multiplot\n";
}

bool has_second_variable(const std::vector<ExperimentPoint>& points) {
  return points.front().settings.size() > 1;
}

// Returns {0} if there is no second variable.
std::set<double> values_of_second_variable(const std::vector<ExperimentPoint>& points) {
  if (!has_second_variable(points)) return {0};
  std::set<double> values;
  for (const ExperimentPoint& point : points) values.insert(point.settings[1].value);
  return values;
}

void write_x_axis(std::ostream& out, const std::vector<ExperimentPoint>& points) {
  double minimum = points.front().settings[0].value;
  double maximum = minimum;
  for (const ExperimentPoint& point : points) {
    minimum = std::min(minimum, point.settings[0].value);
    maximum = std::max(maximum, point.settings[0].value);
  }
  out << "set xlabel '" << points.front().settings[0].path << "' noenhanced\n";
  if (minimum > 0 && maximum >= logarithmic_axis_ratio * minimum) out << "set logscale x\n";
}

struct Line {
  PolicyKind policy;
  double second_value;  // value of the second variable; 0 if there is none
};

bool is_on_line(const ExperimentPoint& point, const Line& line) {
  if (point.policy != line.policy) return false;
  return point.settings.size() < 2 || point.settings[1].value == line.second_value;
}

// Each line has its own data block, because gnuplot interrupts a line from a filtered file at each point that
// the filter leaves out.
void write_data_block(std::ostream& out, const std::vector<ExperimentPoint>& points, const Line& line,
                      const Metric& metric) {
  out << std::setprecision(data_precision);
  for (const ExperimentPoint& point : points) {
    if (!is_on_line(point, line)) continue;
    const ConfidenceInterval interval = metric_interval(point, metric);
    out << point.settings[0].value << ',' << interval.mean << ',' << interval.half_width << '\n';
  }
  out << "EOD\n";
}

std::string line_title(const std::vector<ExperimentPoint>& points, const Line& line) {
  std::string title = policy_name(line.policy);
  if (has_second_variable(points))
    title += " " + points.front().settings[1].path + "=" + format_number(line.second_value);
  return title;
}

void write_lines_over_variable(std::ostream& out, const std::vector<ExperimentPoint>& points) {
  std::set<PolicyKind> policies;
  for (const ExperimentPoint& point : points) policies.insert(point.policy);
  const std::set<double> second_values = values_of_second_variable(points);
  write_x_axis(out, points);
  std::ostringstream plots;
  int next_block = 0;
  for (const char* name : {"utility", "p99_ms"}) {
    plots << "set ylabel '" << name << "' noenhanced\nplot ";
    const char* separator = "";
    for (const PolicyKind policy : policies) {
      for (const double second_value : second_values) {
        const Line line{policy, second_value};
        out << "$d" << next_block << " << EOD\n";
        write_data_block(out, points, line, find_metric(name));
        plots << separator << "$d" << next_block << " using 1:2:3 with yerrorlines title '"
              << line_title(points, line) << "' noenhanced";
        separator = ", ";
        ++next_block;
      }
    }
    plots << '\n';
  }
  out << "set multiplot layout 2,1\n" << plots.str() << "unset multiplot\n";
}

}  // namespace

void write_plot(std::ostream& out, const std::vector<ExperimentPoint>& points) {
  out << "# gnuplot plot.gp draws plot.png from the files beside it\n"
         "set terminal pngcairo size 1100,800\nset output 'plot.png'\nset datafile separator ','\n"
         "set key outside right\nset grid\n";
  if (points.empty() || points.front().settings.empty())
    write_course_over_seconds(out, points);
  else
    write_lines_over_variable(out, points);
}

}  // namespace indigorill::emulator
