/// \file
/// The metrics by which runs are compared and reported.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "emulator/run_metrics.h"

namespace indigorill::emulator {

struct Metric {
  const char* name;  ///< as in the reports
  std::function<double(const RunMetrics&)> value;
  double quantile = 0;  ///< over 0 for a quantile of the latency, which needs enough samples

  bool has_too_few_samples(const RunMetrics& run) const {
    return quantile > 0 && run.latency.has_too_few_samples(quantile);
  }
};

/// All metrics, in the order of the reports.
const std::vector<Metric>& all_metrics();

/// The metric of this name, which must exist.
const Metric& find_metric(const std::string& name);

}  // namespace indigorill::emulator
