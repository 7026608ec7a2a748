/// \file
/// Prints the readable report of a run on sockets.
#pragma once

#include <ostream>

#include "load/load_run.h"
#include "load/soak_runner.h"

namespace indigorill::load_generator {

void print_result(std::ostream& out, const LoadRunResult& result);

void print_soak_result(std::ostream& out, std::uint64_t seed, const SoakResult& result);

}  // namespace indigorill::load_generator
