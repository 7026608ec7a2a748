/// \file
/// The metrics by which runs are compared and reported.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "emulator/run_metrics.h"

namespace indigorill::emulator {

struct Metric {
  const char* name;  ///< name in the reports
  std::function<double(const RunMetrics&)> value;
  double quantile = 0;  ///< fraction of a latency quantile, which needs enough samples; otherwise 0

  bool has_too_few_samples(const RunMetrics& run) const {
    return quantile > 0 && run.latency.has_too_few_samples(quantile);
  }
};

/// All metrics, in the order of the reports.
const std::vector<Metric>& all_metrics();

/// The metric with this name. Throws std::logic_error if there is none.
const Metric& find_metric(const std::string& name);

}  // namespace indigorill::emulator
