#include <cstdlib>
#include <iostream>

#include "config/command_line.h"
#include "proxy/sidecar.h"

int main(int argc, char** argv) {
  indigorill::block_signals();
  return indigorill::run_command_line(
      argc, argv, [](const char* name) { return std::getenv(name); }, std::cout, std::cerr);
}
