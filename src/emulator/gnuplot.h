/// \file
/// The gnuplot script of an experiment.
#pragma once

#include <ostream>
#include <vector>

#include "emulator/experiment.h"

namespace indigorill::emulator {

/// Without variables, courses over the seconds from seconds.csv beside the script; otherwise utility and p99
/// over the first variable, with a line for each policy and each value of the second variable.
void write_plot(std::ostream& out, const std::vector<ExperimentPoint>& points);

}  // namespace indigorill::emulator
