/// \file
/// The sidecar's entry point.
#include <cstdlib>
#include <iostream>

#include "config/command_line.h"
#include "proxy/sidecar.h"

int main(int argc, char** argv) {
  indigorill::block_signals();
  const auto environment = [](const char* name) { return std::getenv(name); };
  return indigorill::run_command_line(argc, argv, environment, std::cout, std::cerr);
}
