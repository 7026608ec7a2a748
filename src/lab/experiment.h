// Many runs of the emulator: the same plan in parallel, over a variable, beside baselines, and in search of
// the worst day. What comes out hangs on the plan alone, never on the number of threads.
#pragma once

#include <functional>
#include <ostream>
#include <string>
#include <vector>

#include "world.h"

namespace indigorill::lab {

struct one_run {
  scenario plays;
  policy by = policy::module;
  std::uint64_t seed = 1;
};

std::vector<figures> play_all(const std::vector<one_run>& plan, unsigned threads);

// What runs are compared by; `q` is set for quantiles, which need enough samples.
struct measure {
  const char* name;
  std::function<double(const figures&)> of;
  double q = 0;
  bool few(const figures& f) const { return q > 0 && f.answered.few(q); }
};
const std::vector<measure>& measures();

// A variable and the values that it takes.
struct axis {
  std::string path;
  std::vector<double> values;
};
axis parse_axis(const std::string& text);  // "load.rate=100,200" or "load.rate=100:400:4"; throws faulty
std::pair<std::string, double> parse_setting(const std::string& text);  // "load.rate=100"

// One point of an experiment: where it stands, who decided, and what its runs gave.
struct point {
  std::vector<std::pair<std::string, double>> at;
  policy by = policy::module;
  std::vector<std::uint64_t> seeds;
  std::vector<figures> runs;
};

struct experiment {
  toml::table base;
  std::vector<axis> axes;
  std::vector<policy> policies{policy::module};
  std::uint64_t first_seed = 0;  // 0: the scenario's
  std::size_t runs = 1;
  unsigned threads = 1;
};
std::vector<point> conduct(const experiment& e);

// The worst day within the scenario's ranges, and the smallest that still loses most of that.
struct found_day {
  toml::table worst, smallest;
  double loss = 0, smallest_loss = 0;  // of utility, behind the policy it is held against
  std::size_t played = 0;
  std::vector<std::string> steps;  // what was cut down, a line each
};
struct hunt {
  toml::table base;
  policy against = policy::true_state;
  std::size_t tries = 40, runs = 2;
  double keep = 0.8;  // of the worst loss
  unsigned threads = 1;
};
found_day search(const hunt& h);

}  // namespace indigorill::lab
