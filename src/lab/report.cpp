#include "report.h"

#include <algorithm>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>

namespace indigorill::lab {
namespace {

using json = nlohmann::ordered_json;

std::string shortly(double v) {
  std::ostringstream s;
  s << std::setprecision(4) << v;
  return s.str();
}

std::string label(const point& p) {
  std::string text = name_of(p.by);
  for (const auto& [path, value] : p.at) text += " " + path + "=" + shortly(value);
  return text;
}

std::vector<double> values(const point& p, const measure& m) {
  std::vector<double> all;
  for (const figures& f : p.runs) all.push_back(m.of(f));
  return all;
}

bool few(const point& p, const measure& m) {
  return std::any_of(p.runs.begin(), p.runs.end(), [&](const figures& f) { return m.few(f); });
}

std::string with_half(const spread& s) {
  return shortly(s.mean) + (s.runs > 1 ? " +- " + shortly(s.half) : "");
}

}  // namespace

void print_table(std::ostream& out, const std::vector<point>& points) {
  bool marked = false;
  for (const point& p : points) {
    out << label(p) << ", " << p.runs.size() << (p.runs.size() == 1 ? " run\n" : " runs\n");
    for (const measure& m : measures()) {
      const bool scarce = few(p, m);
      marked |= scarce;
      out << "  " << std::left << std::setw(18) << m.name << with_half(spread_of(values(p, m)))
          << (scarce ? " *" : "") << '\n';
    }
    std::size_t shown = 0;
    for (const figures& f : p.runs)
      for (const breach& b : f.breaches)
        if (constexpr std::size_t most = 5; shown++ < most) out << "  broken: " << describe(b) << '\n';
  }
  if (marked) out << "* fewer than ten samples lie beyond this quantile in some run\n";
}

void print_differences(std::ostream& out, const std::vector<point>& points) {
  if (points.size() < 2) return;
  out << "beside " << name_of(points[0].by) << ", on the same seeds:\n";
  for (const point& p : points) {
    if (&p == &points[0]) continue;
    out << "  " << std::left << std::setw(14) << name_of(p.by);
    for (const char* name : {"utility", "p50_ms", "p99_ms"}) {
      const auto m = std::find_if(measures().begin(), measures().end(),
                                  [&](const measure& is) { return std::string(is.name) == name; });
      std::vector<double> apart = values(p, *m), own = values(points[0], *m);
      for (std::size_t i = 0; i < apart.size(); ++i) apart[i] -= own[i];
      out << name << ' ' << std::showpos << with_half(spread_of(apart)) << std::noshowpos << "  ";
    }
    out << '\n';
  }
}

void write_summary(std::ostream& out, const std::vector<point>& points) {
  std::vector<std::string> paths;
  if (!points.empty())
    for (const auto& [path, value] : points[0].at) paths.push_back(path);
  for (const std::string& path : paths) out << path << ',';
  out << "policy,measure,mean,half95,runs,few\n" << std::setprecision(9);
  for (const point& p : points)
    for (const measure& m : measures()) {
      const spread s = spread_of(values(p, m));
      for (const auto& [path, value] : p.at) out << value << ',';
      out << name_of(p.by) << ',' << m.name << ',' << s.mean << ',' << s.half << ',' << s.runs << ','
          << (few(p, m) ? 1 : 0) << '\n';
    }
}

void write_seconds(std::ostream& out, const std::vector<point>& points) {
  out << "point,second,offered,gained,arrived,ok,late,pushed_back,aborted,picks,handshakes,probes,list_calls,"
         "connect_failed,cold_began\n"
      << std::setprecision(9);
  for (std::size_t i = 0; i < points.size(); ++i) {
    std::size_t longest = 0;
    for (const figures& f : points[i].runs) longest = std::max(longest, f.seconds.size());
    for (std::size_t at = 0; at < longest; ++at) {
      const auto mean = [&](auto of) {
        double sum = 0;
        for (const figures& f : points[i].runs)
          if (at < f.seconds.size()) sum += static_cast<double>(f.seconds[at].*of);
        return sum / static_cast<double>(points[i].runs.size());
      };
      out << i << ',' << at << ',' << mean(&second::offered) << ',' << mean(&second::gained);
      for (const auto of : {&second::arrived, &second::ok, &second::late, &second::pushed_back,
                            &second::aborted, &second::picks, &second::handshakes, &second::probes,
                            &second::list_calls, &second::connect_failed, &second::cold_began})
        out << ',' << mean(of);
      out << '\n';
    }
  }
}

void write_runs(std::ostream& out, const std::vector<point>& points) {
  for (const point& p : points)
    for (std::size_t i = 0; i < p.runs.size(); ++i) {
      const figures& f = p.runs[i];
      json line{{"policy", name_of(p.by)}, {"seed", p.seeds[i]}};
      for (const auto& [path, value] : p.at) line["at"][path] = value;
      for (const measure& m : measures()) {
        line[m.name] = m.of(f);
        if (m.few(f)) line["few"].push_back(m.name);
      }
      line["arrived"] = f.arrived;
      line["open"] = f.open;
      line["events"] = f.events;
      for (const breach& b : f.breaches) line["broken"].push_back(describe(b));
      out << line.dump() << '\n';
    }
}

void write_plot(std::ostream& out, const std::vector<point>& points) {
  out << "# gnuplot plot.gp draws plot.png from the files beside it\n"
         "set terminal pngcairo size 1100,800\nset output 'plot.png'\nset datafile separator ','\n"
         "set key outside right\nset grid\n";
  const std::size_t axes = points.empty() ? 0 : points[0].at.size();
  if (axes == 0) {
    out << "set multiplot layout 3,1\nset xlabel 'second'\n";
    const auto panel = [&](const char* title, const char* what) {
      out << "set ylabel '" << title << "'\nplot ";
      for (std::size_t i = 0; i < points.size(); ++i)
        out << (i ? ", " : "") << "'seconds.csv' using ($1==" << i << "?$2:1/0):(" << what
            << ") with linespoints pointsize 0.4 title '" << label(points[i]) << "' noenhanced";
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
    for (const point& p : points) second_values.insert(p.at[1].second);
  }
  std::set<policy> policies;
  double least = points[0].at[0].second, most = least;
  for (const point& p : points) {
    policies.insert(p.by);
    least = std::min(least, p.at[0].second);
    most = std::max(most, p.at[0].second);
  }
  constexpr double decade = 10;
  out << "set xlabel '" << points[0].at[0].first << "' noenhanced\n";
  if (least > 0 && most >= decade * least) out << "set logscale x\n";
  std::ostringstream plots;
  int blocks = 0;
  for (const char* name : {"utility", "p99_ms"}) {
    const auto m = std::find_if(measures().begin(), measures().end(),
                                [&](const measure& is) { return std::string(is.name) == name; });
    plots << "set ylabel '" << name << "' noenhanced\nplot ";
    bool first = true;
    for (const policy by : policies)
      for (const double v : second_values) {
        out << "$d" << blocks << " << EOD\n" << std::setprecision(9);
        for (const point& p : points) {
          if (p.by != by || (axes > 1 && p.at[1].second != v)) continue;
          const spread s = spread_of(values(p, *m));
          out << p.at[0].second << ',' << s.mean << ',' << s.half << '\n';
        }
        out << "EOD\n";
        plots << (first ? "" : ", ") << "$d" << blocks++ << " using 1:2:3 with yerrorlines title '"
              << name_of(by) << (axes > 1 ? " " + points[0].at[1].first + "=" + shortly(v) : "")
              << "' noenhanced";
        first = false;
      }
    plots << '\n';
  }
  out << "set multiplot layout 2,1\n" << plots.str() << "unset multiplot\n";
}

void write_all(const std::filesystem::path& folder, const std::vector<point>& points) {
  std::filesystem::create_directories(folder);
  const auto file = [&](const char* name, void (*write)(std::ostream&, const std::vector<point>&)) {
    std::ofstream out(folder / name);
    write(out, points);
    if (!out.flush()) throw std::runtime_error("can't write " + (folder / name).string());
  };
  file("summary.csv", write_summary);
  file("seconds.csv", write_seconds);
  file("runs.jsonl", write_runs);
  file("plot.gp", write_plot);
}

void record_file::saw(const entry& e) {
  using what = entry::what;
  static constexpr const char* names[]{
      "server_is", "told",          "rpc_taken", "pick_decided", "pick_written", "pick_came", "pick_began",
      "pick_over", "probe_written", "answered",  "client_left",  "sidecar_died", "end"};
  static constexpr const char* endings[]{"ok",    "error",     "full", "timed_out", "connect_failed",
                                         "reset", "cancelled", "moot"};
  static constexpr const char* answers[]{"ok", "pushed_back", "aborted"};
  static constexpr const char* standings[]{"ready", "draining", "gone"};
  json line{{"at", e.at}, {"what", names[static_cast<std::size_t>(e.is)]}};
  const auto in = [&](std::initializer_list<what> those) {
    return std::find(those.begin(), those.end(), e.is) != those.end();
  };
  if (!in({what::server_is, what::end})) line["sidecar"] = e.sidecar;
  if (!in({what::rpc_taken, what::client_left, what::sidecar_died, what::end}))
    line["server"] = "s" + std::to_string(e.server);
  if (e.rpc) line["rpc"] = e.rpc;
  if (in({what::pick_decided, what::pick_written, what::pick_came, what::pick_began, what::pick_over}))
    line["pick"] = e.pick;
  if (e.is == what::rpc_taken) line["deadline"] = e.deadline;
  if (e.is == what::pick_over) line["how"] = endings[static_cast<std::size_t>(e.how)];
  if (e.is == what::answered) line["answer"] = answers[static_cast<std::size_t>(e.final)];
  if (e.is == what::told) line["state"] = standings[static_cast<std::size_t>(e.state)];
  if (in({what::told, what::server_is}) && e.started > 0) line["started"] = e.started;
  if (e.is == what::pick_came) line["work"] = e.work;
  if (e.is == what::server_is) line["capacity"] = e.capacity;
  out << line.dump() << '\n';
}

}  // namespace indigorill::lab
