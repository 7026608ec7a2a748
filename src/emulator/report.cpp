#include "emulator/report.h"

#include <algorithm>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>

#include "emulator/statistics.h"

namespace indigorill::emulator {
namespace {

using Json = nlohmann::ordered_json;

std::string format_number(double v) {
  std::ostringstream s;
  s << std::setprecision(4) << v;
  return s.str();
}

std::string point_label(const ExperimentPoint& p) {
  std::string text = policy_name(p.policy);
  for (const auto& [path, value] : p.settings) text += " " + path + "=" + format_number(value);
  return text;
}

std::vector<double> metric_values(const ExperimentPoint& p, const Metric& m) {
  std::vector<double> all;
  for (const RunMetrics& f : p.results) all.push_back(m.value(f));
  return all;
}

bool has_too_few_samples(const ExperimentPoint& p, const Metric& m) {
  return std::any_of(p.results.begin(), p.results.end(),
                     [&](const RunMetrics& f) { return m.has_too_few_samples(f); });
}

std::string format_interval(const ConfidenceInterval& s) {
  return format_number(s.mean) + (s.sample_count > 1 ? " +- " + format_number(s.half_width) : "");
}

}  // namespace

void print_table(std::ostream& out, const std::vector<ExperimentPoint>& points) {
  bool marked = false;
  for (const ExperimentPoint& p : points) {
    out << point_label(p) << ", " << p.results.size() << (p.results.size() == 1 ? " run\n" : " runs\n");
    for (const Metric& m : measures()) {
      const bool scarce = has_too_few_samples(p, m);
      marked |= scarce;
      out << "  " << std::left << std::setw(18) << m.name
          << format_interval(confidence_interval(metric_values(p, m))) << (scarce ? " *" : "") << '\n';
    }
    std::size_t shown = 0;
    for (const RunMetrics& f : p.results)
      for (const RuleViolation& b : f.violations)
        if (constexpr std::size_t most = 5; shown++ < most) out << "  broken: " << describe(b) << '\n';
  }
  if (marked) out << "* fewer than ten samples lie beyond this quantile in some run\n";
}

void print_differences(std::ostream& out, const std::vector<ExperimentPoint>& points) {
  if (points.size() < 2) return;
  out << "beside " << policy_name(points[0].policy) << ", on the same seeds:\n";
  for (const ExperimentPoint& p : points) {
    if (&p == &points[0]) continue;
    out << "  " << std::left << std::setw(14) << policy_name(p.policy);
    for (const char* name : {"utility", "p50_ms", "p99_ms"}) {
      const auto m = std::find_if(measures().begin(), measures().end(),
                                  [&](const Metric& is) { return std::string(is.name) == name; });
      std::vector<double> apart = metric_values(p, *m), own = metric_values(points[0], *m);
      for (std::size_t i = 0; i < apart.size(); ++i) apart[i] -= own[i];
      out << name << ' ' << std::showpos << format_interval(confidence_interval(apart)) << std::noshowpos
          << "  ";
    }
    out << '\n';
  }
}

void write_summary(std::ostream& out, const std::vector<ExperimentPoint>& points) {
  std::vector<std::string> paths;
  if (!points.empty())
    for (const auto& [path, value] : points[0].settings) paths.push_back(path);
  for (const std::string& path : paths) out << path << ',';
  out << "policy,measure,mean,half95,runs,few\n" << std::setprecision(9);
  for (const ExperimentPoint& p : points)
    for (const Metric& m : measures()) {
      const ConfidenceInterval s = confidence_interval(metric_values(p, m));
      for (const auto& [path, value] : p.settings) out << value << ',';
      out << policy_name(p.policy) << ',' << m.name << ',' << s.mean << ',' << s.half_width << ','
          << s.sample_count << ',' << (has_too_few_samples(p, m) ? 1 : 0) << '\n';
    }
}

void write_seconds(std::ostream& out, const std::vector<ExperimentPoint>& points) {
  out << "point,second,offered,gained,arrived,ok,late,pushed_back,aborted,picks,handshakes,probes,list_calls,"
         "connect_failed,cold_began\n"
      << std::setprecision(9);
  for (std::size_t i = 0; i < points.size(); ++i) {
    std::size_t longest = 0;
    for (const RunMetrics& f : points[i].results) longest = std::max(longest, f.seconds.size());
    for (std::size_t at = 0; at < longest; ++at) {
      const auto mean = [&](auto of) {
        double sum = 0;
        for (const RunMetrics& f : points[i].results)
          if (at < f.seconds.size()) sum += static_cast<double>(f.seconds[at].*of);
        return sum / static_cast<double>(points[i].results.size());
      };
      out << i << ',' << at << ',' << mean(&SecondMetrics::offered_utility) << ','
          << mean(&SecondMetrics::gained_utility);
      for (const auto of :
           {&SecondMetrics::arrived, &SecondMetrics::ok, &SecondMetrics::late, &SecondMetrics::rejected,
            &SecondMetrics::failed, &SecondMetrics::attempts, &SecondMetrics::handshakes,
            &SecondMetrics::health_checks, &SecondMetrics::discovery_polls, &SecondMetrics::connect_failed,
            &SecondMetrics::started_in_slow_start})
        out << ',' << mean(of);
      out << '\n';
    }
  }
}

void write_runs(std::ostream& out, const std::vector<ExperimentPoint>& points) {
  for (const ExperimentPoint& p : points)
    for (std::size_t i = 0; i < p.results.size(); ++i) {
      const RunMetrics& f = p.results[i];
      Json line{{"policy", policy_name(p.policy)}, {"seed", p.seeds[i]}};
      for (const auto& [path, value] : p.settings) line["at"][path] = value;
      for (const Metric& m : measures()) {
        line[m.name] = m.value(f);
        if (m.has_too_few_samples(f)) line["few"].push_back(m.name);
      }
      line["arrived"] = f.arrived;
      line["open"] = f.open_at_end;
      line["events"] = f.events;
      for (const RuleViolation& b : f.violations) line["broken"].push_back(describe(b));
      out << line.dump() << '\n';
    }
}

void write_plot(std::ostream& out, const std::vector<ExperimentPoint>& points) {
  out << "# gnuplot plot.gp draws plot.png from the files beside it\n"
         "set terminal pngcairo size 1100,800\nset output 'plot.png'\nset datafile separator ','\n"
         "set key outside right\nset grid\n";
  const std::size_t axes = points.empty() ? 0 : points[0].settings.size();
  if (axes == 0) {
    out << "set multiplot layout 3,1\nset xlabel 'second'\n";
    const auto panel = [&](const char* title, const char* what) {
      out << "set ylabel '" << title << "'\nplot ";
      for (std::size_t i = 0; i < points.size(); ++i)
        out << (i ? ", " : "") << "'seconds.csv' using ($1==" << i << "?$2:1/0):(" << what
            << ") with linespoints pointsize 0.4 title '" << point_label(points[i]) << "' noenhanced";
      out << '\n';
    };
    panel("utility gained of offered", "$3>0?$4/$3:1/0");
    panel("pushed back a second", "$8");
    panel("handshakes a second", "$11");
    out << "unset multiplot\n";
    return;
  }
  // Lines over the first variable, one for each policy and value of the second; each has its own block of
  // data, since a line drawn from a filtered file is broken at what is left out.
  std::set<double> second_values{0};
  if (axes > 1) {
    second_values.clear();
    for (const ExperimentPoint& p : points) second_values.insert(p.settings[1].second);
  }
  std::set<PolicyKind> policies;
  double least = points[0].settings[0].second, most = least;
  for (const ExperimentPoint& p : points) {
    policies.insert(p.policy);
    least = std::min(least, p.settings[0].second);
    most = std::max(most, p.settings[0].second);
  }
  constexpr double decade = 10;
  out << "set xlabel '" << points[0].settings[0].first << "' noenhanced\n";
  if (least > 0 && most >= decade * least) out << "set logscale x\n";
  std::ostringstream plots;
  int blocks = 0;
  for (const char* name : {"utility", "p99_ms"}) {
    const auto m = std::find_if(measures().begin(), measures().end(),
                                [&](const Metric& is) { return std::string(is.name) == name; });
    plots << "set ylabel '" << name << "' noenhanced\nplot ";
    bool first = true;
    for (const PolicyKind by : policies)
      for (const double v : second_values) {
        out << "$d" << blocks << " << EOD\n" << std::setprecision(9);
        for (const ExperimentPoint& p : points) {
          if (p.policy != by || (axes > 1 && p.settings[1].second != v)) continue;
          const ConfidenceInterval s = confidence_interval(metric_values(p, *m));
          out << p.settings[0].second << ',' << s.mean << ',' << s.half_width << '\n';
        }
        out << "EOD\n";
        plots << (first ? "" : ", ") << "$d" << blocks++ << " using 1:2:3 with yerrorlines title '"
              << policy_name(by)
              << (axes > 1 ? " " + points[0].settings[1].first + "=" + format_number(v) : "")
              << "' noenhanced";
        first = false;
      }
    plots << '\n';
  }
  out << "set multiplot layout 2,1\n" << plots.str() << "unset multiplot\n";
}

void write_all(const std::filesystem::path& folder, const std::vector<ExperimentPoint>& points) {
  std::filesystem::create_directories(folder);
  const auto file = [&](const char* name, void (*write)(std::ostream&, const std::vector<ExperimentPoint>&)) {
    std::ofstream out(folder / name);
    write(out, points);
    if (!out.flush()) throw std::runtime_error("can't write " + (folder / name).string());
  };
  file("summary.csv", write_summary);
  file("seconds.csv", write_seconds);
  file("runs.jsonl", write_runs);
  file("plot.gp", write_plot);
}

void TraceWriter::on_event(const TraceEvent& e) {
  using What = TraceEvent::Kind;
  static constexpr const char* names[]{
      "server_is", "told",          "rpc_taken", "pick_decided", "pick_written", "pick_came", "pick_began",
      "pick_over", "probe_written", "answered",  "client_left",  "sidecar_died", "end"};
  static constexpr const char* endings[]{"ok",    "error",     "full", "timed_out", "connect_failed",
                                         "reset", "cancelled", "moot"};
  static constexpr const char* answers[]{"ok", "pushed_back", "aborted"};
  static constexpr const char* standings[]{"ready", "draining", "gone"};
  Json line{{"at", e.time_ms}, {"what", names[static_cast<std::size_t>(e.kind)]}};
  const auto in = [&](std::initializer_list<What> those) {
    return std::find(those.begin(), those.end(), e.kind) != those.end();
  };
  if (!in({What::server_state, What::run_ended})) line["sidecar"] = e.sidecar;
  if (!in({What::rpc_received, What::client_disconnected, What::sidecar_died, What::run_ended}))
    line["server"] = "s" + std::to_string(e.server);
  if (e.rpc) line["rpc"] = e.rpc;
  if (in({What::attempt_decided, What::attempt_sent, What::attempt_received, What::attempt_started,
          What::attempt_finished}))
    line["pick"] = e.attempt;
  if (e.kind == What::rpc_received) line["deadline"] = e.deadline_ms;
  if (e.kind == What::attempt_finished) line["how"] = endings[static_cast<std::size_t>(e.outcome)];
  if (e.kind == What::answered) line["answer"] = answers[static_cast<std::size_t>(e.answer)];
  if (e.kind == What::endpoint_notified) line["state"] = standings[static_cast<std::size_t>(e.state)];
  if (in({What::endpoint_notified, What::server_state}) && e.started_at_ms > 0)
    line["started"] = e.started_at_ms;
  if (e.kind == What::attempt_received) line["work"] = e.work_ms;
  if (e.kind == What::server_state) line["capacity"] = e.capacity;
  output_ << line.dump() << '\n';
}

}  // namespace indigorill::emulator
