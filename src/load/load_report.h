/// \file
/// The report of a run on sockets, for people.
#pragma once

#include <ostream>

#include "load/load_run.h"

namespace indigorill::load_generator {

void print_result(std::ostream& out, const LoadRunResult& result);

}  // namespace indigorill::load_generator
