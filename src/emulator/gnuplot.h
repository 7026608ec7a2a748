/// \file
/// The gnuplot script of an experiment.
#pragma once

#include <ostream>
#include <vector>

#include "emulator/experiment.h"

namespace indigorill::emulator {

/// Writes a script that plots, without variables, time series from seconds.csv in the script's folder.
/// Otherwise it plots utility and p99 latency over the first variable, with a line for each policy and each
/// value of the second variable.
void write_plot(std::ostream& out, const std::vector<ExperimentPoint>& points);

}  // namespace indigorill::emulator
