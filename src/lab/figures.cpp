#include "figures.h"

#include <boost/math/distributions/students_t.hpp>
#include <cmath>
#include <numeric>

namespace indigorill::lab {
namespace {

constexpr double shortest = 0.01, longest = 100000;  // ms
constexpr unsigned bins_in_all = 2300;

}  // namespace

times::times() : bins(boost::histogram::make_histogram(axis(bins_in_all, shortest, longest))) {}

void times::add(const times& other) {
  bins += other.bins;
  n += other.n;
  sum += other.sum;
}

double times::quantile(double q) const {
  if (n == 0) return 0;
  const double wanted = q * static_cast<double>(n);
  double below = 0;
  for (auto&& bin : boost::histogram::indexed(bins, boost::histogram::coverage::all)) {
    const double here = *bin;
    if (here > 0 && below + here >= wanted) {
      const double from = bin.bin().lower(), to = bin.bin().upper();
      if (!std::isfinite(from) || from <= 0) return shortest;
      if (!std::isfinite(to)) return longest;
      return from * std::pow(to / from, std::max(0.0, (wanted - below) / here));
    }
    below += here;
  }
  return longest;
}

bool times::few(double q) const {
  constexpr double beyond = 10;
  return static_cast<double>(n) * (1 - q) < beyond;
}

spread spread_of(const std::vector<double>& values) {
  spread s;
  s.runs = values.size();
  if (values.empty()) return s;
  const double n = static_cast<double>(values.size());
  s.mean = std::accumulate(values.begin(), values.end(), 0.0) / n;
  if (values.size() < 2) return s;
  double squares = 0;
  for (const double v : values) squares += (v - s.mean) * (v - s.mean);
  const boost::math::students_t t(n - 1);
  s.half = boost::math::quantile(boost::math::complement(t, 0.025)) * std::sqrt(squares / (n - 1) / n);
  return s;
}

}  // namespace indigorill::lab
